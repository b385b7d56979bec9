//! Reads the response to an attempt and derives the outcome of the attempt.
//!
//! A response with status 200 has one JSON object on each line, and the first line with a final
//! state (the final line) ends the attempt. Any other status ends it with the head of the response.
//! The rest is read only to make the connection reusable, up to a limit of time and size.

use super::attempt::AttemptConnection;
use super::client::AttemptObserver;
use super::headers;
use super::load_report::{self, JsonObject};
use super::progress_limit::{ProgressLimit, TooManyLines};
use crate::body::next_frame;
use crate::excerpt::excerpt;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use pumiceway_core::{AttemptOutcome, AttemptUpdate};
use pumiceway_decisions::api::LoadReport;
use pumiceway_memory::{AccountedBuffer, MemoryAccount, Revoked};
use serde::Deserialize;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Size limit of a line: a result of 64 KiB, each byte of which JSON may escape as six bytes, and
/// 16 KiB for the other fields.
const MAX_LINE_BYTES: usize = (6 * 64 + 16) << 10;
/// Minimum that a fragment of a line counts towards the limits: a line that arrives byte by byte
/// takes as much work as a line that is many times as long.
const MIN_FRAGMENT_BYTES: usize = 16;
/// Time to read the rest of a response after the attempt has ended; afterwards the connection is
/// closed.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Size limit of the rest of a response; beyond it the connection is closed.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

/// The outcome of an attempt, and the load report that came with it.
#[derive(Debug)]
pub(super) struct AttemptEnd {
    pub(super) outcome: AttemptOutcome,
    pub(super) report: Option<LoadReport>,
}

/// Why a response cannot be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResponseError {
    /// The connection failed, or the encoding of the body is malformed.
    #[error("failed to read the response body")]
    Body(#[source] hyper::Error),
    /// The body ended before a line with a final state.
    #[error("response body ended without a final line")]
    NoFinalLine,
    /// Memory is short, and this response had held the most for the longest time.
    #[error(transparent)]
    MemoryShort(#[from] Revoked),
    /// The fragments of a line count for more than [`MAX_LINE_BYTES`].
    #[error("response line exceeds the size limit")]
    LineTooLong,
    /// The lines before the final one exceed the limit.
    #[error(transparent)]
    TooManyLines(#[from] TooManyLines),
    /// A line is not a JSON object with the expected fields.
    #[error("malformed response line")]
    MalformedLine(#[source] serde_json::Error),
    /// A line has the id of another request, of which this is an excerpt.
    #[error("response line has the id of another request, {0:?}")]
    WrongRequest(String),
}

/// One line of a response.
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
    fn parse(line: Line<'_>, request_id: &str) -> Result<ResponseLine, ResponseError> {
        let line: ResponseLine = match line {
            Line::Whole(line) => serde_json::from_slice(line),
            Line::Assembled(line) => serde_json::from_reader(line.reader()),
        }
        .map_err(ResponseError::MalformedLine)?;
        if line.request_id != request_id {
            return Err(ResponseError::WrongRequest(excerpt(&line.request_id)));
        }
        Ok(line)
    }
}

/// Reads a response with status 200 up to its final line, and returns the end of the attempt. Parts
/// of lines, and the result, draw their memory from the account.
///
/// # Errors
///
/// Returns an error if the response cannot be used. In that case the job may have run.
pub(super) async fn read(
    body: &mut Incoming,
    request_id: &str,
    observer: &mut impl AttemptObserver,
    account: MemoryAccount,
) -> Result<AttemptEnd, ResponseError> {
    let mut reader = ResponseReader {
        lines: LineReader {
            request_id,
            observer,
            limit: ProgressLimit::new(Instant::now()),
        },
        line: AccountedBuffer::new(account),
        counted_bytes: 0,
    };
    loop {
        let data = next_data(body, &reader.line).await?;
        for fragment in data.split_inclusive(|&byte| byte == b'\n') {
            if let Some(final_line) = reader.push(fragment).await? {
                return Ok(reader.end(final_line));
            }
        }
    }
}

async fn next_data(body: &mut Incoming, line: &AccountedBuffer) -> Result<Bytes, ResponseError> {
    match next_frame(body, line).await? {
        Some(Ok(frame)) => Ok(frame.into_data().unwrap_or_default()),
        Some(Err(error)) => Err(ResponseError::Body(error)),
        None => Err(ResponseError::NoFinalLine),
    }
}

/// Assembles the lines of a response.
struct ResponseReader<'a, T> {
    lines: LineReader<'a, T>,
    /// The received part of the current line.
    line: AccountedBuffer,
    /// Sum of the fragments of the current line, each counted with at least [`MIN_FRAGMENT_BYTES`].
    counted_bytes: usize,
}

/// Reads complete lines and notifies the observer of updates.
struct LineReader<'a, T> {
    request_id: &'a str,
    observer: &'a mut T,
    limit: ProgressLimit,
}

/// A complete line.
#[derive(Clone, Copy)]
enum Line<'a> {
    /// It arrived in one fragment.
    Whole(&'a [u8]),
    /// It was assembled from fragments.
    Assembled(&'a AccountedBuffer),
}

impl Line<'_> {
    fn is_blank(self) -> bool {
        let is_visible = |byte: &u8| !byte.is_ascii_whitespace();
        match self {
            Line::Whole(line) => !line.iter().any(is_visible),
            Line::Assembled(line) => !line.any(is_visible),
        }
    }
}

/// The final line of a response.
struct FinalLine {
    state: FinalState,
    report: Option<LoadReport>,
}

enum FinalState {
    Completed(String),
    Other(AttemptOutcome),
}

impl<T: AttemptObserver> ResponseReader<'_, T> {
    /// Appends a fragment of a line, which may include its line feed. Returns the final line if the
    /// fragment completes it.
    async fn push(&mut self, fragment: &[u8]) -> Result<Option<FinalLine>, ResponseError> {
        self.counted_bytes += fragment.len().max(MIN_FRAGMENT_BYTES);
        if self.counted_bytes > MAX_LINE_BYTES {
            return Err(ResponseError::LineTooLong);
        }
        let is_complete = fragment.ends_with(b"\n");
        if is_complete && self.line.is_empty() {
            let bytes = std::mem::take(&mut self.counted_bytes);
            return self.lines.read(Line::Whole(fragment), bytes);
        }
        self.line.extend(fragment, std::time::Instant::now).await?;
        if !is_complete {
            return Ok(None);
        }
        let bytes = std::mem::take(&mut self.counted_bytes);
        let final_line = self.lines.read(Line::Assembled(&self.line), bytes)?;
        self.line.clear();
        Ok(final_line)
    }

    /// The end of the attempt. The memory of a result is drawn until its last clone is dropped.
    fn end(self, final_line: FinalLine) -> AttemptEnd {
        let outcome = match final_line.state {
            FinalState::Completed(result) => {
                let result = self
                    .line
                    .replace_by(result.into(), std::time::Instant::now());
                AttemptOutcome::Served(result.into())
            }
            FinalState::Other(outcome) => outcome,
        };
        AttemptEnd {
            outcome,
            report: final_line.report,
        }
    }
}

impl<T: AttemptObserver> LineReader<'_, T> {
    /// Reads a line that counts for this many bytes. Returns it if it is the final one.
    fn read(&mut self, line: Line<'_>, bytes: usize) -> Result<Option<FinalLine>, ResponseError> {
        let now = Instant::now();
        if line.is_blank() {
            self.limit.count_line(now, bytes)?;
            return Ok(None);
        }
        let line = ResponseLine::parse(line, self.request_id)?;
        let state = match line.state {
            JobState::Started => {
                self.limit.count_line(now, bytes)?;
                if self.limit.should_report_start() {
                    self.observer.updated(AttemptUpdate::Started);
                }
                return Ok(None);
            }
            JobState::Running { fraction } => {
                self.limit.count_line(now, bytes)?;
                if self.limit.should_report_fraction(now) {
                    self.observer.updated(AttemptUpdate::Fraction(fraction));
                }
                return Ok(None);
            }
            JobState::Completed { result } => FinalState::Completed(result),
            JobState::Failed => FinalState::Other(AttemptOutcome::Error),
            JobState::Rejected => FinalState::Other(AttemptOutcome::Rejected),
            JobState::Lost => FinalState::Other(AttemptOutcome::Reset),
        };
        let report = line.load.as_ref().map(load_report::from_json);
        Ok(Some(FinalLine { state, report }))
    }
}

/// The outcome of an attempt whose response has a status other than 200. Unless the status
/// `is_proof`, the response may belong to an earlier request, and the job may have run.
pub(super) fn outcome_of_status(response: &Response<Incoming>, is_proof: bool) -> AttemptOutcome {
    let is_rejected = response
        .headers()
        .get(headers::REJECTED)
        .is_some_and(|value| value == "1");
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_rejected => {
            if is_proof {
                AttemptOutcome::Rejected
            } else {
                AttemptOutcome::UnprovenRejection
            }
        }
        status if status.is_client_error() && is_proof => AttemptOutcome::InvalidJob,
        _ => AttemptOutcome::Error,
    }
}

/// Reads the rest of a response after the attempt has ended, because a connection can be reused
/// only after its response was read to the end. Closes the connection if the rest exceeds the
/// limits.
pub(super) async fn discard_rest(mut body: Incoming, connection: &AttemptConnection) {
    let reached_end = timeout(DISCARD_TIMEOUT, discard_to_end(&mut body)).await;
    if !matches!(reached_end, Ok(true)) {
        connection.close();
    }
}

/// Reads a body to its end. Returns `false` if it fails or exceeds [`MAX_DISCARDED_BYTES`].
async fn discard_to_end(body: &mut Incoming) -> bool {
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        bytes += frame.data_ref().map_or(0, Bytes::len);
        if bytes > MAX_DISCARDED_BYTES {
            return false;
        }
    }
    true
}
