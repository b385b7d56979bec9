//! Collects the bodies of messages.
//!
//! hyper returns a body as frames that share the buffers that they were read into, and it reserves
//! kibibytes before each read. A sender that writes byte by byte would thus make the receiver keep
//! thousands of times as much as it has sent. Therefore each frame is copied and dropped.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use pumiceway_memory::{AccountedBuffer, Revoked};
use std::future::poll_fn;
use std::time::Instant;

/// Why a body was not collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CollectError {
    /// The body is longer than its limit.
    #[error("the body exceeds its size limit")]
    TooLong,
    /// The connection failed, or the encoding of the body is malformed.
    #[error("the body cannot be read")]
    Unreadable,
    /// Memory is short, and this body had to give up what it held.
    #[error("memory is short")]
    MemoryShort,
}

impl From<Revoked> for CollectError {
    fn from(_: Revoked) -> CollectError {
        CollectError::MemoryShort
    }
}

/// Collects a body of at most `max_bytes`, as the buffer can draw memory for it.
///
/// # Errors
///
/// Returns an error if the body is longer or cannot be read, or if the memory is revoked.
pub(crate) async fn collect<B>(
    mut body: B,
    max_bytes: usize,
    buffer: &mut AccountedBuffer,
) -> Result<(), CollectError>
where
    B: Body<Data = Bytes> + Unpin,
{
    while let Some(frame) = next_frame(&mut body, buffer).await? {
        let frame = frame.map_err(|_| CollectError::Unreadable)?;
        let data = frame.data_ref().map_or(&[][..], |data| data);
        if buffer.len() + data.len() > max_bytes {
            return Err(CollectError::TooLong);
        }
        buffer.extend(data, Instant::now).await?;
    }
    Ok(())
}

/// Waits for the next frame of a body, unless the memory of what was received is revoked first.
pub(crate) async fn next_frame<B: Body + Unpin>(
    body: &mut B,
    buffer: &AccountedBuffer,
) -> Result<Option<Result<Frame<B::Data>, B::Error>>, Revoked> {
    tokio::select! {
        biased;
        revoked = poll_fn(|cx| buffer.account().poll_revoked(cx)) => Err(revoked),
        frame = body.frame() => Ok(frame),
    }
}
