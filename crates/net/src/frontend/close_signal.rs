//! The signal that closes the frontends at the shutdown.

use tokio::sync::watch;
use tokio::time::Instant;

/// Whether the frontends accept connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontendState {
    /// Connections are accepted.
    Open,
    /// No connection is accepted, and the open ones end after the requests that have begun.
    Closing {
        /// When every request that has begun must have its response, even if it is incomplete.
        respond_by: Instant,
    },
}

/// Receives the state of the frontends.
pub type CloseSignal = watch::Receiver<FrontendState>;

/// Waits until the frontends are to close. Returns the time by which every request that has begun
/// must have its response; now, if the event loop has ended.
pub async fn wait_for_close(closing: &mut CloseSignal) -> Instant {
    let is_closing = |state: &FrontendState| *state != FrontendState::Open;
    match closing.wait_for(is_closing).await.as_deref() {
        Ok(FrontendState::Closing { respond_by }) => *respond_by,
        Ok(FrontendState::Open) | Err(_) => Instant::now(),
    }
}
