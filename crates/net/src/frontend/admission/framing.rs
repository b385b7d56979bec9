//! What frames a message: the length of its head, and the headers that say where its body ends.
//!
//! The HTTP parser accepts and merges repeated framing headers, and does not say what it has read
//! beyond a message; another parser on the way may see a second request there (request smuggling).
//! So the bytes are inspected before the parser sees them.

use thiserror::Error;

const CONTENT_LENGTH: &[u8] = b"content-length:";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding:";
/// Bytes of each line that are kept: enough to recognise both framing headers.
const LINE_START_BYTES: usize = TRANSFER_ENCODING.len();

/// Why a message can be read in more than one way.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum FramingError {
    /// The parser read the request together with the previous one.
    #[error("a request before the answer to the last one")]
    Pipelined,
    /// The request line has a fragment, or bytes that are not printable ASCII.
    #[error("bytes in the path")]
    InvalidRequestLine,
    /// Two headers contradict each other on where the body ends.
    #[error("Content-Length beside Transfer-Encoding")]
    LengthAndTransferEncoding,
    /// `Content-Length` is repeated.
    #[error("Content-Length twice")]
    RepeatedLength,
}

/// Counts the bytes of a message, and records the framing headers of its head.
#[derive(Debug, Default)]
pub(super) struct MessageFraming {
    received_bytes: u64,
    /// Length of the head; `None` until it is complete.
    head_bytes: Option<u64>,
    complete_lines: usize,
    /// Length of the current line, without its line ending.
    line_bytes: usize,
    /// The first bytes of the current line, in lower case.
    line_start: Vec<u8>,
    content_lengths: usize,
    has_transfer_encoding: bool,
    has_invalid_request_line: bool,
}

impl MessageFraming {
    /// Takes the next bytes of the message into account.
    pub(super) fn observe(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            self.received_bytes += 1;
            if self.head_bytes.is_none() {
                self.observe_head(byte);
            }
        }
    }

    fn observe_head(&mut self, byte: u8) {
        if byte == b'\n' {
            self.end_line();
            return;
        }
        // An endpoint would get such a target in another form than it was received in.
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
        }
        self.line_bytes = 0;
        self.line_start.clear();
    }

    /// Whether nothing of the message has been received.
    pub(super) fn is_empty(&self) -> bool {
        self.received_bytes == 0
    }

    /// Checks the head of the message.
    ///
    /// # Errors
    ///
    /// The first reason for which the message can be read in more than one way.
    pub(super) fn check_head(&self) -> Result<(), FramingError> {
        if self.head_bytes.is_none() {
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

    /// Whether more was received than the head and a body of `body_bytes`. Not known for a chunked
    /// body.
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
