//! Health checks, which request the load report of an endpoint.
//!
//! If a health check fails on a reused connection, it is repeated on a new one: a healthy endpoint
//! may close idle connections. A health check that times out or is dropped closes its connection.

use super::attempt::AttemptConnection;
use super::client::{HttpClient, UpstreamClient};
use super::headers;
use super::load_report;
use super::request_body::RequestBody;
use crate::body::collect;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use pumiceway_decisions::api::{LoadReport, Outcome};
use pumiceway_memory::{AccountedBuffer, Holder};
use std::time::Instant;
use tokio::time::timeout;

const LOAD_REPORT_PATH: &str = "/-/load";
/// Size limit of the response body. A larger body is not read as a load report.
const MAX_REPORT_BYTES: usize = 16 << 10;

/// The result of one health check request.
struct CheckResult {
    outcome: Outcome,
    report: Option<LoadReport>,
    /// The request failed on a connection that had carried an earlier response.
    lost_reused_connection: bool,
}

impl CheckResult {
    fn failed(outcome: Outcome) -> CheckResult {
        CheckResult {
            outcome,
            report: None,
            lost_reused_connection: false,
        }
    }
}

/// Closes the connection of a health check if it is dropped before the check has ended.
struct CheckConnection(AttemptConnection);

impl Drop for CheckConnection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl UpstreamClient {
    /// Requests the load report of the endpoint. The outcome is [`Outcome::Timeout`] if the health
    /// check, with its repetition, exceeds its timeout.
    pub async fn check_health(&self) -> (Outcome, Option<LoadReport>) {
        let result = timeout(
            self.health_check_timeout,
            self.check_pooled_then_dedicated(),
        )
        .await
        .unwrap_or(CheckResult::failed(Outcome::Timeout));
        (result.outcome, result.report)
    }

    async fn check_pooled_then_dedicated(&self) -> CheckResult {
        let result = self.check_once(&self.pooled).await;
        if result.lost_reused_connection {
            return self.check_once(&self.dedicated).await;
        }
        result
    }

    async fn check_once(&self, client: &HttpClient) -> CheckResult {
        let request = Request::get(format!("http://{}{LOAD_REPORT_PATH}", self.address))
            .body(RequestBody::default());
        let Ok(mut request) = request else {
            return CheckResult::failed(Outcome::ConnectFailed);
        };
        let check = CheckConnection(AttemptConnection::new(&mut request));
        *request.body_mut() = RequestBody::new(Bytes::new(), check.0.clone(), None);
        match client.request(request).await {
            Ok(response) => self.read_report(response, &check.0).await,
            Err(error) if error.is_connect() => CheckResult::failed(Outcome::ConnectFailed),
            Err(_) => CheckResult {
                lost_reused_connection: check.0.has_received_response(),
                ..CheckResult::failed(Outcome::Reset)
            },
        }
    }

    async fn read_report(
        &self,
        response: Response<Incoming>,
        connection: &AttemptConnection,
    ) -> CheckResult {
        connection.begin_response();
        let outcome = outcome_of_head(&response);
        let report_in_headers = load_report::from_headers(&response);
        let account = self.memory.open(Holder::Response, Instant::now());
        let mut body = AccountedBuffer::new(account);
        let collected = collect(response.into_body(), MAX_REPORT_BYTES, &mut body).await;
        connection.end();
        let report_in_body = collected.ok().and_then(|()| {
            let body = body.into_bytes(Instant::now()).ok()?;
            load_report::parse(&body)
        });
        CheckResult {
            outcome,
            report: report_in_body.or(report_in_headers),
            lost_reused_connection: false,
        }
    }
}

fn outcome_of_head(response: &Response<Incoming>) -> Outcome {
    let is_rejected = response.headers().contains_key(headers::REJECTED);
    match response.status() {
        StatusCode::OK => Outcome::Success,
        StatusCode::SERVICE_UNAVAILABLE if is_rejected => Outcome::Rejected,
        _ => Outcome::Error,
    }
}
