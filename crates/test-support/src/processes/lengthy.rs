//! Responses of endpoints that take as much memory in a dispatcher, for as long, as they can.

use crate::Peer;
use std::time::{Duration, Instant};

/// How long an endpoint goes on with a response that has no end.
const RESPONSE_DURATION: Duration = Duration::from_secs(20);
/// How often an endpoint that is silent checks whether its connection was closed.
const CLOSE_POLL: Duration = Duration::from_millis(20);
/// The length of a line without an end: shorter than any result may be when it is escaped.
const LINE_BYTES: usize = 390_000;
/// A slow line arrives in pieces of this length, at this interval.
const PIECE_BYTES: usize = 4 << 10;
const PIECE_INTERVAL: Duration = Duration::from_millis(20);
/// The length of the largest result.
const RESULT_BYTES: usize = 64 << 10;

/// The length of a slow load report, and the time between two of its bytes.
const REPORT_BYTES: usize = 16_000;
const REPORT_INTERVAL: Duration = Duration::from_micros(20);

/// What a response consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LengthyResponse {
    /// A line without an end, which arrives at once.
    Line,
    /// A line without an end, which arrives piece by piece.
    SlowLine,
    /// Progress lines, which follow each other as fast as they are read.
    Lines,
    /// A head without an end.
    Head,
    /// Interim responses, which follow each other as fast as they are read.
    InterimResponses,
    /// A result as large as it may be, each byte of which is escaped.
    LargeResult,
    /// A load report that arrives byte by byte. Jobs are served.
    SlowLoadReport,
}

impl LengthyResponse {
    /// Every kind.
    pub const ALL: &[LengthyResponse] = &[
        LengthyResponse::Line,
        LengthyResponse::SlowLine,
        LengthyResponse::Lines,
        LengthyResponse::Head,
        LengthyResponse::InterimResponses,
        LengthyResponse::LargeResult,
        LengthyResponse::SlowLoadReport,
    ];
}

/// Sends such a response to the request that was read last.
pub(super) fn respond(peer: &mut Peer, response: LengthyResponse) {
    match response {
        LengthyResponse::Line => {
            peer.send("200");
            peer.send_bytes(chunk(&line_start(peer)).as_bytes());
            peer.send_bytes(chunk(&"x".repeat(LINE_BYTES)).as_bytes());
            wait_for_close(peer);
        }
        LengthyResponse::SlowLine => {
            peer.send("200");
            peer.send_bytes(chunk(&line_start(peer)).as_bytes());
            repeat(
                peer,
                &chunk(&"x".repeat(PIECE_BYTES)),
                PIECE_INTERVAL,
                LINE_BYTES,
            );
            wait_for_close(peer);
        }
        LengthyResponse::Lines => {
            peer.send("200");
            let id = peer.request_id();
            let line = format!(r#"{{"id":"{id}","from":"w","state":"running","share":0.1}}"#);
            repeat(
                peer,
                &chunk(&format!("{line}\n")),
                Duration::ZERO,
                usize::MAX,
            );
        }
        LengthyResponse::Head => {
            peer.send("raw HTTP/1.1 200 OK\\r\\n");
            repeat(peer, "a: b\r\n", Duration::ZERO, usize::MAX);
        }
        LengthyResponse::InterimResponses => {
            repeat(
                peer,
                "HTTP/1.1 102 Processing\r\n\r\n",
                Duration::ZERO,
                usize::MAX,
            );
        }
        LengthyResponse::LargeResult => {
            peer.send(&format!("done {}", "\\u0078".repeat(RESULT_BYTES)));
        }
        LengthyResponse::SlowLoadReport => peer.send("done yes"),
    }
}

/// Sends a load report byte by byte.
pub(super) fn report_load(peer: &mut Peer) {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {REPORT_BYTES}\r\n\r\n");
    peer.send_bytes(head.as_bytes());
    repeat(peer, " ", REPORT_INTERVAL, REPORT_BYTES);
}

fn line_start(peer: &Peer) -> String {
    let id = peer.request_id();
    format!(r#"{{"id":"{id}","from":"w","state":"done","result":""#)
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Sends a text again and again, up to this many bytes, until the other side closes the connection.
fn repeat(peer: &mut Peer, text: &str, interval: Duration, max_bytes: usize) {
    let end = Instant::now() + RESPONSE_DURATION;
    let mut sent = 0;
    while sent < max_bytes && Instant::now() < end && peer.send_bytes(text.as_bytes()) {
        sent += text.len();
        std::thread::sleep(interval);
    }
}

fn wait_for_close(peer: &Peer) {
    let end = Instant::now() + RESPONSE_DURATION;
    while Instant::now() < end && !peer.is_closed() {
        std::thread::sleep(CLOSE_POLL);
    }
}
