//! Calls to a discovery service, each on a connection of its own.
//!
//! An agent on this machine responds at once or, while it has nothing to send, not at all. A call
//! that it accepted in that state would hide that it is back, so further calls are made beside the
//! unanswered ones and the first response counts.

use bytes::Bytes;
use http_body_util::Empty;
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use pumiceway_decisions::settings::DiscoveryMode;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout_at};

/// A call to a service that all dispatchers share fails after this time.
pub(super) const SERVICE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A call to the agent of this machine fails after this time.
const AGENT_TIMEOUT: Duration = Duration::from_secs(1);
/// The agent is called again after this time, beside the calls that are unanswered. Short enough to
/// notice its return well within the grace of endpoints that drain.
const AGENT_REPEAT_INTERVAL: Duration = Duration::from_millis(250);

/// The head of a response, with its body still to be read. The connection closes when it is
/// dropped.
#[derive(Debug)]
pub(super) struct CallResponse {
    /// The body.
    pub(super) body: Incoming,
    _sender: SendRequest<Empty<Bytes>>,
}

/// Why a call has no response. None of these shows whether the list has changed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// No connection could be opened.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke before a response, or the response is not HTTP.
    #[error("call failed: {0}")]
    Broken(#[from] hyper::Error),
    /// The path or the address does not make a valid request.
    #[error("invalid request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The status of the response is not a success.
    #[error("responded with status {0}")]
    Status(hyper::StatusCode),
    /// No response came in time.
    #[error("no response in time")]
    TimedOut,
}

/// How long calls are waited for, and when they are repeated.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallPolicy {
    /// A call without a response fails after this time.
    pub(super) timeout: Duration,
    /// A further call is made after this time without a response.
    repeat_interval: Duration,
}

impl CallPolicy {
    /// The policy for a service that is polled, or for an agent that pushes.
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

    /// Requests a path of the service at this address, and waits for the head of a response.
    ///
    /// # Errors
    ///
    /// The first call that ends fails, or none ends in time.
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
    // Only costs latency where the system refuses it.
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
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
