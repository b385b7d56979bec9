//! Finds the end of a chunked body, without keeping or checking its contents.
//!
//! The HTTP parser checks the chunks; here only the bytes that it has read beyond the body are
//! recognised, because they belong to another request.

/// Base of the size of a chunk.
const SIZE_RADIX: u32 = 16;
/// Length of the line ending after the data of a chunk.
const LINE_ENDING_BYTES: u64 = 2;

/// The position in a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChunkedBody {
    /// In the digits of the size of a chunk.
    Size(u64),
    /// In the rest of the line after the size of a chunk.
    SizeLine(u64),
    /// In the data of a chunk, or in its line ending; the number of bytes left.
    Data(u64),
    /// In the trailer section, after this many bytes of the current line.
    Trailers(usize),
    /// After the end of the body.
    Complete,
}

impl ChunkedBody {
    /// The position at the start of a body.
    pub(super) fn start() -> ChunkedBody {
        ChunkedBody::Size(0)
    }

    /// The position after the next byte.
    pub(super) fn after(self, byte: u8) -> ChunkedBody {
        match (self, byte) {
            (ChunkedBody::Size(0) | ChunkedBody::SizeLine(0), b'\n') => ChunkedBody::Trailers(0),
            (ChunkedBody::Size(size) | ChunkedBody::SizeLine(size), b'\n') => {
                ChunkedBody::Data(size.saturating_add(LINE_ENDING_BYTES))
            }
            (ChunkedBody::Size(size), byte) => match char::from(byte).to_digit(SIZE_RADIX) {
                Some(digit) => {
                    let shifted = size.saturating_mul(u64::from(SIZE_RADIX));
                    ChunkedBody::Size(shifted.saturating_add(u64::from(digit)))
                }
                None => ChunkedBody::SizeLine(size),
            },
            (ChunkedBody::Data(1), _) => ChunkedBody::start(),
            (ChunkedBody::Data(left), _) => ChunkedBody::Data(left - 1),
            (ChunkedBody::Trailers(0), b'\n') => ChunkedBody::Complete,
            (ChunkedBody::Trailers(_), b'\n') => ChunkedBody::Trailers(0),
            (ChunkedBody::Trailers(bytes), byte) => {
                ChunkedBody::Trailers(bytes + usize::from(byte != b'\r'))
            }
            (ChunkedBody::SizeLine(_) | ChunkedBody::Complete, _) => self,
        }
    }
}
