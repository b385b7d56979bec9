//! One call to a discovery service, on a connection of its own.

use bytes::Bytes;
use http_body_util::Empty;
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// The head of an answer, and its body to come. Ends when both are dropped.
pub(super) type CallResponse = (SendRequest<Empty<Bytes>>, Incoming);

/// Why a call was not answered. None of it shows whether discovery has anything to tell.
#[derive(Debug, thiserror::Error)]
pub(super) enum CallError {
    /// No connection came up.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke before an answer, or what came was none.
    #[error("call failed: {0}")]
    Broken(#[from] hyper::Error),
    /// The path or address can't be worded.
    #[error("cannot ask: {0}")]
    Request(#[from] hyper::http::Error),
    /// It was answered otherwise than with success.
    #[error("answered {0}")]
    Refused(hyper::StatusCode),
    /// No answer came in time.
    #[error("no answer in time")]
    TimedOut,
}

/// Asks the service at this address for this path, and waits for the head of the answer.
pub(super) async fn call(address: String, path: String) -> Result<CallResponse, CallError> {
    let stream = TcpStream::connect(&address).await?;
    let _ = stream.set_nodelay(true);
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = Request::get(path)
        .header("Host", &address)
        .body(Empty::new())?;
    let answer = sender.send_request(request).await?;
    match answer.status() {
        status if status.is_success() => Ok((sender, answer.into_body())),
        status => Err(CallError::Refused(status)),
    }
}
