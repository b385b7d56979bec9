//! Calls to a discovery service, each on a separate connection.
//!
//! An agent on this machine either responds immediately or, while it has nothing to send, not at
//! all. It may never answer a call that it accepted in that state, even after it has recovered.
//! Further calls are therefore made in parallel with the unanswered ones, and the first response
//! counts.

use bytes::Bytes;
use http_body_util::Empty;
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use pumiceway_decisions::settings::DiscoveryMode;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout_at};

/// Limit of what hyper reads ahead, and of the head of a response.
const MAX_READ_AHEAD_BYTES: usize = 16 << 10;
/// Timeout of a call to a service that all dispatchers share.
pub(super) const SERVICE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout of a call to the agent on this machine.
const AGENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the agent is called again while calls are unanswered. Short enough to detect
/// that the agent has recovered well within the grace period of draining endpoints.
const AGENT_REPEAT_INTERVAL: Duration = Duration::from_millis(250);

/// A response whose head has been received and whose body is still to be read. Dropping it closes
/// the connection.
#[derive(Debug)]
pub(super) struct CallResponse {
    /// The body.
    pub(super) body: Incoming,
    _sender: SendRequest<Empty<Bytes>>,
}

/// Why a call has no response. No variant indicates whether the list has changed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// No connection could be opened.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke before a response was received, or the response is not valid HTTP.
    #[error("call failed: {0}")]
    Broken(#[from] hyper::Error),
    /// The path or the address does not form a valid request.
    #[error("invalid request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The response does not have a success status.
    #[error("response has status {0}")]
    Status(hyper::StatusCode),
    /// No response was received within the timeout.
    #[error("timed out waiting for a response")]
    TimedOut,
}

/// The timeout of calls and the interval at which they are repeated.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallPolicy {
    /// Time after which a call without a response fails.
    pub(super) timeout: Duration,
    /// Time without a response after which a further call is made.
    repeat_interval: Duration,
}

impl CallPolicy {
    /// Returns the policy for a polled service or for an agent that pushes lists.
    pub(super) fn new(mode: DiscoveryMode) -> CallPolicy {
        match mode {
            DiscoveryMode::Polled => CallPolicy {
                timeout: SERVICE_TIMEOUT,
                repeat_interval: SERVICE_TIMEOUT,
            },
            DiscoveryMode::Pushed => CallPolicy {
                timeout: AGENT_TIMEOUT,
                repeat_interval: AGENT_REPEAT_INTERVAL,
            },
        }
    }

    /// Requests a path from the service at this address and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the first call that completes has failed, or none completes within the
    /// timeout.
    pub(super) async fn call(self, address: &str, path: &str) -> Result<CallResponse, CallError> {
        let deadline = Instant::now() + self.timeout;
        let mut calls = JoinSet::new();
        loop {
            calls.spawn(call_once(address.to_owned(), path.to_owned()));
            let repeat_at = deadline.min(Instant::now() + self.repeat_interval);
            match timeout_at(repeat_at, calls.join_next()).await {
                Ok(Some(Ok(result))) => return result,
                Ok(_) => return Err(CallError::TimedOut),
                Err(_) if repeat_at == deadline => return Err(CallError::TimedOut),
                Err(_) => {}
            }
        }
    }
}

async fn call_once(address: String, path: String) -> Result<CallResponse, CallError> {
    let stream = TcpStream::connect(&address).await?;
    // Best effort: a failure only costs latency.
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = Builder::new()
        .max_buf_size(MAX_READ_AHEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    tokio::spawn(connection);
    let request = Request::get(path)
        .header("Host", &address)
        .body(Empty::new())?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    if !status.is_success() {
        return Err(CallError::Status(status));
    }
    Ok(CallResponse {
        body: response.into_body(),
        _sender: sender,
    })
}
