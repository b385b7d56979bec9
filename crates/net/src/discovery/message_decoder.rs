//! Cuts the stream of a watch into messages.
//!
//! A message is a JSON value, on however many lines, or else a line; an empty line is a heartbeat.
//! A list that is indented must not be read line by line, as none of its lines is a value.

/// Collects bytes up to the end of a message. Each byte is visited once, however the stream is cut
/// into frames.
#[derive(Default)]
pub(super) struct MessageDecoder {
    partial: Vec<u8>,
    /// Objects and arrays that are open.
    depth: u32,
    in_string: bool,
    after_backslash: bool,
}

impl MessageDecoder {
    /// What has been received of a message that is not complete.
    pub(super) fn partial(&self) -> &[u8] {
        &self.partial
    }

    /// The next complete message. Advances `frame` past it, or to the end where no message is
    /// complete.
    pub(super) fn next(&mut self, frame: &mut &[u8]) -> Option<Vec<u8>> {
        let last = frame.iter().position(|&byte| self.ends_message(byte));
        let end = last.map_or(frame.len(), |position| position + 1);
        let (consumed, rest) = frame.split_at(end);
        self.partial.extend_from_slice(consumed);
        *frame = rest;
        last.map(|_| std::mem::take(self).partial)
    }

    /// Whether a message ends with this byte.
    fn ends_message(&mut self, byte: u8) -> bool {
        if std::mem::take(&mut self.after_backslash) {
            return false;
        }
        match byte {
            // No string may contain the end of a line, so what is open cannot become a value.
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
