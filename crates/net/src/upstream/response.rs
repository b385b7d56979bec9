//! The response to an attempt, and how it ends the attempt.
//!
//! With status 200 it is a JSON object on each line, and the first line with a final state ends the
//! attempt. With any other status the head ends it. The rest is read only so that the connection
//! can be reused, within a time and a size.

use super::attempt::AttemptConnection;
use super::client::AttemptObserver;
use super::headers;
use super::load_report::{self, JsonObject};
use super::progress_limit::{ProgressLimit, TooManyLines};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use pumiceway_core::{AttemptOutcome, AttemptUpdate};
use pumiceway_decisions::api::LoadReport;
use serde::Deserialize;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// The longest line, in bytes: a result of 64 KiB, of which JSON may write each byte as six, and
/// what goes with it.
const MAX_LINE_BYTES: usize = (6 * 64 + 16) << 10;
/// A piece of a line counts as this many bytes at least: a line in pieces of one byte each takes as
/// much work as one that is many times as long.
const MIN_PIECE_BYTES: usize = 16;
/// The rest of a response may take this long and this many bytes; otherwise its connection is
/// closed.
const REST_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_REST_BYTES: usize = 64 << 10;

/// How an attempt ended.
#[derive(Debug)]
pub(super) struct AttemptEnd {
    pub(super) outcome: AttemptOutcome,
    pub(super) report: Option<LoadReport>,
}

/// Why a response cannot be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResponseError {
    /// The connection failed, or the body is malformed.
    #[error("the body cannot be read")]
    Body(#[source] hyper::Error),
    /// The body ended before a line with a final state.
    #[error("the body ended without a last line")]
    NoLastLine,
    /// A line is longer than any result.
    #[error("a line is too long")]
    LineTooLong,
    /// Lines without end before the last one.
    #[error(transparent)]
    TooManyLines(#[from] TooManyLines),
    /// A line is not what it should be.
    #[error("a line is malformed")]
    MalformedLine(#[source] serde_json::Error),
    /// A line belongs to another request.
    #[error("a line is for request {0}")]
    WrongRequest(String),
}

#[derive(Deserialize)]
struct ResponseLine {
    #[serde(rename = "id")]
    request_id: String,
    #[serde(flatten)]
    state: JobState,
    load: Option<JsonObject>,
}

#[derive(Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
enum JobState {
    Started,
    Running {
        #[serde(default, rename = "share")]
        fraction: f64,
    },
    #[serde(rename = "done")]
    Completed {
        #[serde(default)]
        result: String,
    },
    Failed,
    #[serde(rename = "returned")]
    Rejected,
    Lost,
}

impl ResponseLine {
    fn parse(line: &[u8], request_id: &str) -> Result<ResponseLine, ResponseError> {
        let line: ResponseLine =
            serde_json::from_slice(line).map_err(ResponseError::MalformedLine)?;
        if line.request_id != request_id {
            return Err(ResponseError::WrongRequest(line.request_id));
        }
        Ok(line)
    }
}

/// Reads a response with status 200 up to its last line. Returns how that ends the attempt.
///
/// # Errors
///
/// The response cannot be used; the job may have run.
pub(super) async fn read(
    body: &mut Incoming,
    request_id: &str,
    observer: &mut impl AttemptObserver,
) -> Result<AttemptEnd, ResponseError> {
    let mut reader = ResponseReader {
        request_id,
        observer,
        limit: ProgressLimit::new(Instant::now()),
        line: Vec::new(),
        line_bytes: 0,
    };
    loop {
        let data = next_data(body).await?;
        for piece in data.split_inclusive(|&byte| byte == b'\n') {
            if let Some(end) = reader.push(piece)? {
                return Ok(end);
            }
        }
    }
}

async fn next_data(body: &mut Incoming) -> Result<Bytes, ResponseError> {
    match body.frame().await {
        Some(Ok(frame)) => Ok(frame.into_data().unwrap_or_default()),
        Some(Err(error)) => Err(ResponseError::Body(error)),
        None => Err(ResponseError::NoLastLine),
    }
}

/// Puts lines together, and passes updates on to the observer.
struct ResponseReader<'a, T> {
    request_id: &'a str,
    observer: &'a mut T,
    limit: ProgressLimit,
    /// The line so far, and what its pieces count as.
    line: Vec<u8>,
    line_bytes: usize,
}

impl<T: AttemptObserver> ResponseReader<'_, T> {
    /// Takes in a piece of a line, with its end if it has come. Returns the end of the attempt with
    /// the last line.
    fn push(&mut self, piece: &[u8]) -> Result<Option<AttemptEnd>, ResponseError> {
        self.line.extend_from_slice(piece);
        self.line_bytes += piece.len().max(MIN_PIECE_BYTES);
        if self.line_bytes > MAX_LINE_BYTES {
            return Err(ResponseError::LineTooLong);
        }
        if !piece.ends_with(b"\n") {
            return Ok(None);
        }
        let line = std::mem::take(&mut self.line);
        let bytes = std::mem::take(&mut self.line_bytes);
        self.read_line(&line, bytes)
    }

    fn read_line(
        &mut self,
        line: &[u8],
        bytes: usize,
    ) -> Result<Option<AttemptEnd>, ResponseError> {
        let now = Instant::now();
        if line.trim_ascii().is_empty() {
            self.limit.count_line(now, bytes)?;
            return Ok(None);
        }
        let line = ResponseLine::parse(line, self.request_id)?;
        let outcome = match line.state {
            JobState::Started => {
                self.limit.count_line(now, bytes)?;
                if self.limit.passes_start() {
                    self.observer.updated(AttemptUpdate::Started);
                }
                return Ok(None);
            }
            JobState::Running { fraction } => {
                self.limit.count_line(now, bytes)?;
                if self.limit.passes_fraction(now) {
                    self.observer.updated(AttemptUpdate::Fraction(fraction));
                }
                return Ok(None);
            }
            JobState::Completed { result } => AttemptOutcome::Served(result.into()),
            JobState::Failed => AttemptOutcome::Error,
            JobState::Rejected => AttemptOutcome::Rejected,
            JobState::Lost => AttemptOutcome::Reset,
        };
        let report = line.load.as_ref().map(load_report::from_json);
        Ok(Some(AttemptEnd { outcome, report }))
    }
}

/// How a status other than 200 ends an attempt.
pub(super) fn outcome_of_status(response: &Response<Incoming>) -> AttemptOutcome {
    let is_rejected = response
        .headers()
        .get(headers::REJECTED)
        .is_some_and(|value| value == "1");
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_rejected => {
            AttemptOutcome::Rejected
        }
        status if status.is_client_error() => AttemptOutcome::InvalidJob,
        _ => AttemptOutcome::Error,
    }
}

/// Reads the rest of a response after the attempt has ended. A connection whose response was not
/// read to its end cannot be reused; one whose response does not end in time is closed.
pub(super) async fn discard_rest(mut body: Incoming, connection: &AttemptConnection) {
    let rest = timeout(REST_TIMEOUT, reaches_end(&mut body)).await;
    if !matches!(rest, Ok(true)) {
        connection.close();
    }
}

/// Whether a body ends without an error, within the bytes that it may have.
async fn reaches_end(body: &mut Incoming) -> bool {
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        bytes += frame.data_ref().map_or(0, Bytes::len);
        if bytes > MAX_REST_BYTES {
            return false;
        }
    }
    true
}
