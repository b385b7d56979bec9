//! A watch's stream, cut into the JSON values that it holds.

/// Bytes as they come, up to the end of a value. Each is looked at once, however the stream is cut
/// into frames.
///
/// Prevents: a list that comes indented is read line by line, none of which is a value, and each is
/// malformed.
#[derive(Default)]
pub(super) struct Pieces {
    held: Vec<u8>,
    depth: u32,
    quoted: bool,
    escaped: bool,
}

impl Pieces {
    /// What has come of a piece that isn't whole yet.
    pub(super) fn held(&self) -> &[u8] {
        &self.held
    }

    /// The next whole piece, up to which the frame is used up: an object or array on however many
    /// lines, or else a line, which is empty where nothing has changed.
    pub(super) fn next(&mut self, frame: &mut &[u8]) -> Option<Vec<u8>> {
        let end = frame.iter().position(|&b| self.ends(b)).map(|at| at + 1);
        let (taken, rest) = frame.split_at(end.unwrap_or(frame.len()));
        self.held.extend_from_slice(taken);
        *frame = rest;
        end.map(|_| std::mem::take(self).held)
    }

    /// Whether a piece ends with this byte.
    fn ends(&mut self, byte: u8) -> bool {
        if std::mem::take(&mut self.escaped) {
            return false;
        }
        match byte {
            // No string goes over the end of a line: whatever this is, it can't become a value any
            // more.
            b'\n' => return self.quoted || self.depth == 0,
            b'\\' => self.escaped = self.quoted,
            b'"' => self.quoted = !self.quoted,
            b'{' | b'[' if !self.quoted => self.depth += 1,
            b'}' | b']' if !self.quoted => {
                self.depth = self.depth.saturating_sub(1);
                return self.depth == 0;
            }
            _ => {}
        }
        false
    }
}
