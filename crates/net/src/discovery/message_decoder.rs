//! Splits the stream of a watch into messages.
//!
//! A message is either a JSON object or array, which may span several lines, or a single line. An
//! empty line is a heartbeat. An indented list must not be read line by line, because its lines are
//! not JSON values on their own.

/// Buffers bytes up to the end of a message. Each byte is examined once, however the stream is
/// divided into frames.
#[derive(Default)]
pub(super) struct MessageDecoder {
    partial: Vec<u8>,
    /// Nesting depth of open objects and arrays.
    depth: u32,
    in_string: bool,
    after_backslash: bool,
}

impl MessageDecoder {
    /// Returns the received part of an incomplete message.
    pub(super) fn partial(&self) -> &[u8] {
        &self.partial
    }

    /// Returns the next complete message and advances `frame` past it. If no message is complete,
    /// the whole frame is buffered.
    pub(super) fn next(&mut self, frame: &mut &[u8]) -> Option<Vec<u8>> {
        let last = frame.iter().position(|&byte| self.ends_message(byte));
        let end = last.map_or(frame.len(), |position| position + 1);
        let (consumed, rest) = frame.split_at(end);
        self.partial.extend_from_slice(consumed);
        *frame = rest;
        last.map(|_| std::mem::take(self).partial)
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
