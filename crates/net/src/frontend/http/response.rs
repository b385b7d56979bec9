//! Maps responses of the core to HTTP responses.

use axum::body::Body;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use pumiceway_core::{ClientResponse, Rejection};
use std::time::Duration;

/// Maps a response of the core to an HTTP response.
pub(super) fn into_http(response: ClientResponse) -> Response {
    match response {
        ClientResponse::Served(result) => Response::new(Body::from(result)),
        ClientResponse::Overloaded { retry_after } => overloaded(retry_after),
        ClientResponse::Rejected(rejection) => rejected(rejection),
        ClientResponse::Failed(failure) => {
            (StatusCode::BAD_GATEWAY, failure.to_string()).into_response()
        }
    }
}

fn overloaded(retry_after: Option<Duration>) -> Response {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let Some(retry_after) = retry_after else {
        return status.into_response();
    };
    let seconds = format!("{:.3}", retry_after.as_micros() as f64 / 1e6);
    (status, [(header::RETRY_AFTER, seconds)]).into_response()
}

fn rejected(rejection: Rejection) -> Response {
    let status = match rejection {
        Rejection::IdInUse => StatusCode::CONFLICT,
        Rejection::InvalidJob => StatusCode::UNPROCESSABLE_ENTITY,
    };
    let headers = [(header::CONNECTION, "close")];
    (status, headers, rejection.to_string()).into_response()
}
