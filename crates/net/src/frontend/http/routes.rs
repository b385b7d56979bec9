//! The routes: readiness, and one for each class, to which clients submit jobs.

use super::HttpFrontend;
use super::request::{RequestError, read_request};
use super::response::into_http;
use crate::frontend::admission::{ClientConnection, RETRY_AFTER_SECONDS};
use axum::Router;
use axum::extract::{Extension, Request, State};
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get};
use hyper::body::Body as _;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// The router for connections that are served.
pub(super) fn router(frontend: HttpFrontend) -> Router {
    Router::new()
        .route("/-/ready", get(ready))
        .route("/-/{*rest}", any(unknown_path))
        .route("/{class}", any(submit))
        .route("/{class}/{*key}", any(submit))
        .fallback(unknown_path)
        .with_state(frontend)
}

/// The router for connections over the limit, which sends an overload response to any request.
pub(super) fn overload_router() -> Router {
    Router::new().fallback(too_many_connections)
}

async fn ready(State(frontend): State<HttpFrontend>) -> StatusCode {
    if frontend.ready.load(Ordering::Relaxed) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn unknown_path() -> RequestError {
    RequestError::UnknownPath
}

async fn too_many_connections() -> impl IntoResponse {
    let headers = [
        (header::RETRY_AFTER, RETRY_AFTER_SECONDS),
        (header::CONNECTION, "close"),
    ];
    let body = "too many connections";
    (StatusCode::SERVICE_UNAVAILABLE, headers, body)
}

async fn submit(
    State(frontend): State<HttpFrontend>,
    Extension(connection): Extension<Arc<ClientConnection>>,
    request: Request,
) -> Result<Response, RequestError> {
    let body_bytes = request.body().size_hint().exact();
    let request = read_request(&frontend, &connection, request).await?;
    // The connection was evicted while the last bytes of the request were on their way.
    if connection.is_evicted() {
        return Ok(too_many_connections().await.into_response());
    }
    connection.request_received();
    let response = frontend.events.submit(request, None).response().await;
    let mut response = into_http(response);
    // Bytes that the client has sent in the meantime were discarded, and may have been the
    // beginning of another request.
    if connection.has_excess(body_bytes) {
        response
            .headers_mut()
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}
