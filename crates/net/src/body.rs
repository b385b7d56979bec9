//! Collects the bodies of messages.
//!
//! hyper returns a body as frames that share the buffers that they were read into, and it reserves
//! kibibytes before each read. A sender that writes byte by byte would thus make the receiver keep
//! thousands of times as much as it has sent. Therefore each frame is copied and dropped.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

/// Why a body was not collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CollectError {
    /// The body is longer than its limit.
    #[error("the body exceeds its size limit")]
    TooLong,
    /// The connection failed, or the encoding of the body is malformed.
    #[error("the body cannot be read")]
    Unreadable,
}

/// Collects a body of at most `max_bytes`.
///
/// # Errors
///
/// Returns an error if the body is longer or cannot be read.
pub(crate) async fn collect<B>(mut body: B, max_bytes: usize) -> Result<Vec<u8>, CollectError>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut content = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CollectError::Unreadable)?;
        let data = frame.data_ref().map_or(&[][..], |data| data);
        if content.len() + data.len() > max_bytes {
            return Err(CollectError::TooLong);
        }
        content.extend_from_slice(data);
    }
    Ok(content)
}
