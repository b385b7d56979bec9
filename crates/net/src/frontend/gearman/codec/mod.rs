//! The codec of the Gearman protocol: binary packets, and lines of text for admin commands.
//!
//! A packet begins with a zero byte and an admin command does not, so the first byte distinguishes
//! them. Input that is neither, or that exceeds a size limit, is malformed.

mod decode;
mod encode;
mod packet;
#[cfg(test)]
mod tests;

pub use packet::Packet;

use bytes::{Buf, BytesMut};
use tokio_util::codec::Decoder;

/// Size limit of a workload or a result, in bytes; the same as over HTTP.
pub const MAX_WORKLOAD: usize = 64 << 10;
/// Size limit of the body of a packet, in bytes: a workload, and the names and ids before it.
const MAX_BODY: usize = MAX_WORKLOAD + (4 << 10);
/// Size limit of an admin command, in bytes.
const MAX_LINE: usize = 1 << 10;

/// The magic bytes of packets that clients and workers send.
const REQUEST_MAGIC: [u8; 4] = *b"\0REQ";
/// The magic bytes of packets that the dispatcher sends.
const RESPONSE_MAGIC: [u8; 4] = *b"\0RES";
/// Length of a packet's header: magic bytes, packet type and length of the body, 4 bytes each.
const HEADER_LENGTH: usize = 12;

/// A packet or an admin command from a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// A packet.
    Packet(Packet),
    /// An admin command.
    AdminCommand(String),
}

/// Input from a peer that cannot be decoded. The peer gets an ERROR packet, and its connection is
/// closed.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Malformed {
    /// Reading from the connection failed. No ERROR packet is sent.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The input is neither a packet with the request magic nor a line of UTF-8 text.
    #[error("not a request packet")]
    Magic,
    /// A packet's body or an admin command exceeds its size limit, in bytes.
    #[error("longer than {0} bytes")]
    TooLong(usize),
    /// The packet type is unknown, or one that only the dispatcher sends.
    #[error("packet type {0} is not known here")]
    Type(u32),
    /// An argument of a packet of this type is missing or invalid.
    #[error("packet type {0} with bad arguments")]
    Arguments(u32),
}

/// Decodes packets and admin commands from peers.
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

/// Decodes the next packet; `None` until all of it has arrived.
fn decode_packet(src: &mut BytesMut) -> Result<Option<Packet>, Malformed> {
    let available = src.len().min(REQUEST_MAGIC.len());
    if src[..available] != REQUEST_MAGIC[..available] {
        return Err(Malformed::Magic);
    }
    let Some(mut header) = src.get(REQUEST_MAGIC.len()..HEADER_LENGTH) else {
        return Ok(None);
    };
    let packet_type = header.get_u32();
    let body_length = header.get_u32() as usize;
    if body_length > MAX_BODY {
        return Err(Malformed::TooLong(MAX_BODY));
    }
    let packet_length = HEADER_LENGTH + body_length;
    if src.len() < packet_length {
        src.reserve(packet_length - src.len());
        return Ok(None);
    }
    src.advance(HEADER_LENGTH);
    let body = src.split_to(body_length).freeze();
    decode::decode(packet_type, body).map(Some)
}

/// Decodes the next line; `None` until all of it has arrived.
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
