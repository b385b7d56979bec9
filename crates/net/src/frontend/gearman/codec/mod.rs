//! The codec of the Gearman protocol: binary packets, and lines of text for admin commands.
//!
//! A packet begins with a zero byte, so the first byte tells the two apart. A peer that sends
//! anything else, or more than the limits allow, is disconnected.

mod decode;
mod encode;
mod packet;
#[cfg(test)]
mod tests;

pub use packet::Packet;

use bytes::{Buf, BytesMut};
use tokio_util::codec::Decoder;

/// The size limit of a workload or a result, as over HTTP, in bytes.
pub const MAX_WORKLOAD: usize = 64 << 10;
/// The size limit of the body of a packet, in bytes: names and ids come on top of a workload.
const MAX_BODY: usize = MAX_WORKLOAD + (4 << 10);
/// The size limit of an admin command, in bytes.
const MAX_LINE: usize = 1 << 10;

/// What the packets of peers begin with.
const REQUEST_MAGIC: [u8; 4] = *b"\0REQ";
/// What the packets of this side begin with.
const RESPONSE_MAGIC: [u8; 4] = *b"\0RES";
/// The length of a packet's head: magic, type and length of the body, 4 bytes each.
const HEAD_LENGTH: usize = 12;

/// What a peer sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// A packet.
    Packet(Packet),
    /// An admin command.
    AdminCommand(String),
}

/// What a peer sends cannot be read. It gets an ERROR packet, and its connection is closed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Malformed {
    /// The connection broke.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Neither a request packet nor a line of text.
    #[error("not a request packet")]
    Magic,
    /// Longer than allowed.
    #[error("longer than {0} bytes")]
    TooLong(usize),
    /// A type that no peer may send here.
    #[error("packet type {0} is not known here")]
    Type(u32),
    /// Arguments that are missing or cannot be read.
    #[error("packet type {0} with bad arguments")]
    Arguments(u32),
}

/// Decodes what peers send.
#[derive(Debug, Default)]
pub struct Codec;

impl Decoder for Codec {
    type Item = Received;
    type Error = Malformed;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Received>, Malformed> {
        match src.first() {
            None => Ok(None),
            Some(first) if *first == REQUEST_MAGIC[0] => {
                Ok(decode_packet(src)?.map(Received::Packet))
            }
            Some(_) => Ok(decode_line(src)?.map(Received::AdminCommand)),
        }
    }
}

/// The next packet, if all of it has arrived.
fn decode_packet(src: &mut BytesMut) -> Result<Option<Packet>, Malformed> {
    let available = src.len().min(REQUEST_MAGIC.len());
    if src[..available] != REQUEST_MAGIC[..available] {
        return Err(Malformed::Magic);
    }
    let Some(mut head) = src.get(REQUEST_MAGIC.len()..HEAD_LENGTH) else {
        return Ok(None);
    };
    let packet_type = head.get_u32();
    let body_length = head.get_u32() as usize;
    if body_length > MAX_BODY {
        return Err(Malformed::TooLong(MAX_BODY));
    }
    let packet_length = HEAD_LENGTH + body_length;
    if src.len() < packet_length {
        src.reserve(packet_length - src.len());
        return Ok(None);
    }
    src.advance(HEAD_LENGTH);
    let body = src.split_to(body_length).freeze();
    decode::decode(packet_type, body).map(Some)
}

/// The next line, if all of it has arrived.
fn decode_line(src: &mut BytesMut) -> Result<Option<String>, Malformed> {
    match src.iter().position(|&byte| byte == b'\n') {
        Some(end) if end <= MAX_LINE => {
            let line = src.split_to(end + 1);
            let text = std::str::from_utf8(&line).map_err(|_| Malformed::Magic)?;
            Ok(Some(text.trim().to_owned()))
        }
        None if src.len() <= MAX_LINE => Ok(None),
        _ => Err(Malformed::TooLong(MAX_LINE)),
    }
}
