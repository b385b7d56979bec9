//! Serves a single connection with hyper until the client, a timeout, an eviction or the shutdown
//! ends it, and then closes it.

use crate::frontend::admission::{
    self, ClientConnection, ConnectionPermit, EndReason, FinalResponse, InspectedStream,
    poll_disconnected,
};
use crate::frontend::{CloseSignal, wait_for_close};
use axum::Router;
use axum::body::Body;
use axum::http::{HeaderValue, header};
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep_until};
use tower_service::Service as _;
use tracing::debug;

/// Size limit of the head of a request.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Serves a connection until it ends, and closes it. Without a router, the connection is closed
/// with an overload response at once.
pub(super) async fn serve_connection(
    stream: TcpStream,
    router: Option<Router>,
    permit: ConnectionPermit,
    closing: CloseSignal,
) {
    let connection = &permit.connection;
    let _ = stream.set_nodelay(true);
    let stream = Arc::new(stream);
    let reason = match router {
        Some(router) => serve_requests(&stream, router, connection, closing).await,
        None => EndReason::Evicted,
    };
    let final_response = connection.final_response(reason);
    debug!(
        frontend = "http",
        reason = reason.as_str(),
        phase = connection.phase_name(),
        request_bytes = connection.request_bytes(),
        final_response = final_response.map(FinalResponse::as_str),
        "connection closed"
    );
    admission::close(&stream, connection, final_response).await;
}

/// Serves the requests of a connection. Returns the reason for which the connection ends; the
/// caller has to close it.
async fn serve_requests(
    stream: &Arc<TcpStream>,
    router: Router,
    connection: &Arc<ClientConnection>,
    mut closing: CloseSignal,
) -> EndReason {
    let parser = || {
        let service = service_fn(|request| call(router.clone(), connection.clone(), request));
        let inspected = InspectedStream::new(stream.clone(), connection.clone());
        let connection = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(inspected), service);
        Box::pin(connection)
    };
    // Allocated with the first byte, so that silent connections take little memory.
    let mut http = None;
    let mut timeout = pin!(sleep_until(connection.phase_deadline()));
    let mut evicted = pin!(connection.eviction_requested());
    let mut closing = pin!(wait_for_close(&mut closing));
    let (mut is_closing, mut is_evicted) = (false, false);
    poll_fn(|cx| {
        if http.is_none() && has_input(stream, connection, cx) {
            http = Some(parser());
        }
        if let Some(http) = &mut http {
            match http.as_mut().poll(cx) {
                // hyper has already responded to most requests that it cannot read, but not to all.
                Poll::Ready(Err(error)) if error.is_parse() => {
                    return Poll::Ready(EndReason::Malformed);
                }
                // All responses were written, or the client can no longer be read from.
                Poll::Ready(_) => return Poll::Ready(connection.disconnect_reason()),
                Poll::Pending => {}
            }
        }
        if !is_closing && let Poll::Ready(respond_by) = closing.as_mut().poll(cx) {
            is_closing = true;
            connection.shut_down(respond_by);
        }
        is_evicted = is_evicted || evicted.as_mut().poll(cx).is_ready();
        if poll_disconnected(stream, connection, cx).is_ready() {
            return Poll::Ready(connection.disconnect_reason());
        }
        let reason = if let Some(reason) = connection.due_end() {
            reason
        } else {
            ready!(poll_timeout(timeout.as_mut(), connection, cx));
            connection.timeout_reason()
        };
        // Without a response, the connection must not be closed over a request.
        if connection.final_response(reason).is_none() && connection.has_unreported_bytes(stream) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(reason)
    })
    .await
}

/// Whether the parser has something to read: bytes, or the end of the stream.
fn has_input(stream: &TcpStream, connection: &ClientConnection, cx: &mut Context<'_>) -> bool {
    // Peeks, because a new socket is reported as ready before anything has arrived.
    connection.has_read_ahead() || stream.poll_peek(cx, &mut ReadBuf::new(&mut [0])).is_ready()
}

/// Serves one request. Handlers get the connection from the extensions of the request.
fn call(
    mut router: Router,
    connection: Arc<ClientConnection>,
    request: hyper::Request<Incoming>,
) -> impl Future<Output = Result<axum::response::Response, std::convert::Infallible>> {
    let mut request = request.map(Body::new);
    connection.head_parsed(request.body().size_hint().exact());
    request.extensions_mut().insert(connection.clone());
    let response = router.call(request);
    async move {
        let mut response = response.await?;
        if connection.closes_after_response() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        connection.response_started();
        Ok(response)
    }
}

/// Ready once the timeout of the connection's current phase has expired.
fn poll_timeout(
    mut timeout: Pin<&mut Sleep>,
    connection: &ClientConnection,
    cx: &mut Context<'_>,
) -> Poll<()> {
    let deadline = connection.phase_deadline();
    if timeout.deadline() != deadline {
        timeout.as_mut().reset(deadline);
    }
    timeout.poll(cx)
}
