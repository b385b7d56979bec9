//! Finds the ends of the messages in the stream of a watch.
//!
//! A message is either a JSON object or array, which may span several lines, or a single line. An
//! empty line is a heartbeat. An indented list must not be read line by line, because its lines are
//! not JSON values on their own.

/// The position in a message. Each byte is examined once, however the stream is divided into frames.
#[derive(Default)]
pub(super) struct MessageDecoder {
    /// Nesting depth of open objects and arrays.
    depth: u32,
    in_string: bool,
    after_backslash: bool,
}

/// A part of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct MessagePart<'a> {
    pub(super) bytes: &'a [u8],
    /// Whether the message ends with it.
    pub(super) is_last: bool,
}

impl MessageDecoder {
    /// Takes the part of `frame` that belongs to the current message, and advances `frame` past it.
    pub(super) fn next<'a>(&mut self, frame: &mut &'a [u8]) -> MessagePart<'a> {
        let last = frame.iter().position(|&byte| self.ends_message(byte));
        let end = last.map_or(frame.len(), |position| position + 1);
        let (bytes, rest) = frame.split_at(end);
        *frame = rest;
        if last.is_some() {
            *self = MessageDecoder::default();
        }
        MessagePart {
            bytes,
            is_last: last.is_some(),
        }
    }

    /// Updates the state with a byte and returns whether the message ends with it.
    fn ends_message(&mut self, byte: u8) -> bool {
        if std::mem::take(&mut self.after_backslash) {
            return false;
        }
        match byte {
            // A JSON string cannot contain a raw newline, so an open string cannot become valid;
            // the message ends here.
            b'\n' => return self.in_string || self.depth == 0,
            b'\\' => self.after_backslash = self.in_string,
            b'"' => self.in_string = !self.in_string,
            b'{' | b'[' if !self.in_string => self.depth += 1,
            b'}' | b']' if !self.in_string => {
                self.depth = self.depth.saturating_sub(1);
                return self.depth == 0;
            }
            _ => {}
        }
        false
    }
}

#[cfg(test)]
mod tests;
