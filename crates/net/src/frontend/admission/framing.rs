//! Inspects the framing of a request: the length of its head, and the headers that determine where
//! its body ends.
//!
//! The HTTP parser merges repeated framing headers and does not expose bytes that it has read after
//! a message. Another parser on the path may take these bytes for a second request (request
//! smuggling). Therefore the bytes are inspected before they are passed to the parser.

use super::chunked::ChunkedBody;
use thiserror::Error;

const CONTENT_LENGTH: &[u8] = b"content-length:";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding:";
/// Number of bytes kept of each line: enough to recognise both framing headers.
const LINE_START_BYTES: usize = TRANSFER_ENCODING.len();

/// Why a message can be interpreted in more than one way.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum FramingError {
    /// The parser has read the request together with the previous one.
    #[error("a request before the answer to the last one")]
    Pipelined,
    /// The request line contains a fragment, or bytes other than printable ASCII.
    #[error("bytes in the path")]
    InvalidRequestLine,
    /// Both `Content-Length` and `Transfer-Encoding` are present.
    #[error("Content-Length beside Transfer-Encoding")]
    LengthAndTransferEncoding,
    /// `Content-Length` is repeated.
    #[error("Content-Length twice")]
    RepeatedLength,
}

/// Counts the bytes of a message and records the framing headers in its head.
#[derive(Debug, Default)]
pub(super) struct MessageFraming {
    received_bytes: u64,
    /// Length of the head; `None` until it is complete.
    head_bytes: Option<u64>,
    complete_lines: usize,
    /// Length of the current line without its line ending.
    line_bytes: usize,
    /// The first bytes of the current line, in lower case.
    line_start: Vec<u8>,
    content_lengths: usize,
    has_transfer_encoding: bool,
    has_invalid_request_line: bool,
    /// Length of the body; `None` if it is chunked or the head is incomplete.
    body_bytes: Option<u64>,
    /// The position in a chunked body; `None` for other bodies.
    chunked_body: Option<ChunkedBody>,
    /// Bytes after a chunked body were received.
    has_bytes_after_chunks: bool,
    /// The first bytes of the message were received together with the previous one.
    is_pipelined: bool,
}

impl MessageFraming {
    /// A message whose first bytes were received together with the previous message.
    pub(super) fn pipelined() -> MessageFraming {
        MessageFraming {
            is_pipelined: true,
            ..MessageFraming::default()
        }
    }

    /// Records that the parser has read the head, and the length of the body, unless it is chunked.
    pub(super) fn head_parsed(&mut self, body_bytes: Option<u64>) {
        self.body_bytes = body_bytes;
    }

    /// Processes the next bytes of the message.
    pub(super) fn observe(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.received_bytes += 1;
            match (self.head_bytes, self.chunked_body) {
                (None, _) => self.observe_head(byte),
                (Some(_), Some(ChunkedBody::Complete)) => self.has_bytes_after_chunks = true,
                (Some(_), Some(body)) => self.chunked_body = Some(body.after(byte)),
                (Some(_), None) => {}
            }
        }
    }

    fn observe_head(&mut self, byte: u8) {
        if byte == b'\n' {
            self.end_line();
            return;
        }
        // A target with a byte that is not allowed would be forwarded in a different form.
        self.has_invalid_request_line |=
            self.complete_lines == 0 && !is_allowed_in_request_line(byte);
        self.line_bytes += usize::from(byte != b'\r');
        if self.line_start.len() < LINE_START_BYTES {
            self.line_start.push(byte.to_ascii_lowercase());
        }
    }

    fn end_line(&mut self) {
        if self.line_bytes > 0 {
            self.complete_lines += 1;
            self.content_lengths += usize::from(self.line_start.starts_with(CONTENT_LENGTH));
            self.has_transfer_encoding |= self.line_start.starts_with(TRANSFER_ENCODING);
        } else if self.complete_lines > 0 {
            self.head_bytes = Some(self.received_bytes);
            self.chunked_body = self.has_transfer_encoding.then(ChunkedBody::start);
        }
        self.line_bytes = 0;
        self.line_start.clear();
    }

    /// Number of bytes of the message that were received.
    pub(super) fn received_bytes(&self) -> u64 {
        self.received_bytes
    }

    /// Whether no byte of the message has been received.
    pub(super) fn is_empty(&self) -> bool {
        self.received_bytes == 0 && !self.is_pipelined
    }

    /// Whether the first bytes of the message were received together with the previous message.
    pub(super) fn is_pipelined(&self) -> bool {
        self.is_pipelined
    }

    /// Whether the parser holds bytes of another message.
    pub(super) fn has_next_message(&self) -> bool {
        self.has_bytes_after_chunks || self.has_excess(self.body_bytes)
    }

    /// Checks that the head frames the message unambiguously.
    ///
    /// # Errors
    ///
    /// Returns the first reason for which the message is ambiguous.
    pub(super) fn check_head(&self) -> Result<(), FramingError> {
        if self.is_pipelined || self.head_bytes.is_none() {
            return Err(FramingError::Pipelined);
        }
        if self.has_invalid_request_line {
            return Err(FramingError::InvalidRequestLine);
        }
        if self.content_lengths > 0 && self.has_transfer_encoding {
            return Err(FramingError::LengthAndTransferEncoding);
        }
        if self.content_lengths > 1 {
            return Err(FramingError::RepeatedLength);
        }
        Ok(())
    }

    /// Whether bytes after the head and a body of `body_bytes` were received. Always `false` for a
    /// chunked body, whose length on the wire is unknown.
    pub(super) fn has_excess(&self, body_bytes: Option<u64>) -> bool {
        let (Some(head_bytes), Some(body_bytes)) = (self.head_bytes, body_bytes) else {
            return false;
        };
        !self.has_transfer_encoding && self.received_bytes > head_bytes.saturating_add(body_bytes)
    }
}

fn is_allowed_in_request_line(byte: u8) -> bool {
    byte == b'\r' || (byte != b'#' && (b' '..=b'~').contains(&byte))
}
