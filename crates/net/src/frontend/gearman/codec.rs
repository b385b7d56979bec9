//! Gearman's packets and the text lines of its admin commands: decoded once, encoded once.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use tokio_util::codec::Decoder;

/// A workload or a result holds at most this much, as over HTTP.
pub const WORKLOAD_MOST: usize = 64 << 10;
/// And a packet this much: names and ids come on top.
const PACKET_MOST: usize = WORKLOAD_MOST + (4 << 10);
/// A line of an admin command is at most this long.
const LINE_MOST: usize = 1 << 10;
/// Function names, unique ids, handles and client ids are at most this long.
const NAME_MOST: usize = 512;

/// A packet of either direction.
#[derive(Clone, Debug, PartialEq, Eq)]
#[allow(missing_docs)] // the protocol words every packet
pub enum Packet {
    CanDo {
        function: String,
    },
    CantDo {
        function: String,
    },
    ResetAbilities,
    PreSleep,
    Noop,
    SubmitJob {
        background: bool,
        function: String,
        unique: String,
        workload: Bytes,
    },
    JobCreated {
        handle: String,
    },
    GrabJob {
        with_unique: bool,
    },
    NoJob,
    JobAssign {
        handle: String,
        function: String,
        unique: Option<String>,
        workload: Bytes,
    },
    WorkStatus {
        handle: String,
        done: u64,
        of: u64,
    },
    WorkComplete {
        handle: String,
        data: Bytes,
    },
    WorkFail {
        handle: String,
    },
    WorkException {
        handle: String,
        data: Bytes,
    },
    WorkData {
        handle: String,
        data: Bytes,
    },
    WorkWarning {
        handle: String,
        data: Bytes,
    },
    GetStatus {
        handle: String,
    },
    StatusRes {
        handle: String,
        known: bool,
        running: bool,
        done: u64,
        of: u64,
    },
    EchoReq {
        data: Bytes,
    },
    EchoRes {
        data: Bytes,
    },
    Error {
        code: &'static str,
        text: String,
    },
    SetClientId {
        id: String,
    },
    AllYours,
    OptionReq {
        option: String,
    },
    OptionRes {
        option: String,
    },
}

/// What a peer sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Said {
    /// A packet.
    Packet(Packet),
    /// An admin command.
    Line(String),
}

/// What can't be read. The peer gets an ERROR packet and its connection is closed.
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
    /// Arguments that are missing or can't be read.
    #[error("packet type {0} with bad arguments")]
    Arguments(u32),
}

/// Reads what peers send.
#[derive(Debug, Default)]
pub struct Codec;

impl Decoder for Codec {
    type Item = Said;
    type Error = Malformed;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Option<Said>, Malformed> {
        match src.first() {
            None => return Ok(None),
            Some(0) => {}
            Some(_) => return line(src),
        }
        let magic = b"\0REQ";
        if src[..src.len().min(4)] != magic[..src.len().min(4)] {
            return Err(Malformed::Magic);
        }
        if src.len() < 12 {
            return Ok(None);
        }
        let mut head = &src[4..12];
        let (kind, size) = (head.get_u32(), head.get_u32() as usize);
        if size > PACKET_MOST {
            return Err(Malformed::TooLong(PACKET_MOST));
        }
        if src.len() < 12 + size {
            src.reserve(12 + size - src.len());
            return Ok(None);
        }
        src.advance(12);
        let body = src.split_to(size).freeze();
        decode(kind, body).map(|packet| Some(Said::Packet(packet)))
    }
}

fn line(src: &mut BytesMut) -> Result<Option<Said>, Malformed> {
    match src.iter().position(|&b| b == b'\n') {
        Some(end) if end <= LINE_MOST => {
            let line = src.split_to(end + 1);
            let text = std::str::from_utf8(&line).map_err(|_| Malformed::Magic)?;
            Ok(Some(Said::Line(text.trim().to_owned())))
        }
        None if src.len() <= LINE_MOST => Ok(None),
        _ => Err(Malformed::TooLong(LINE_MOST)),
    }
}

/// Takes the arguments of a packet one by one; all but the last end at a NUL byte.
struct Arguments {
    kind: u32,
    rest: Bytes,
}

impl Arguments {
    fn bad(&self) -> Malformed {
        Malformed::Arguments(self.kind)
    }

    fn text(&self, part: &[u8]) -> Result<String, Malformed> {
        match std::str::from_utf8(part) {
            Ok(text) if part.len() <= NAME_MOST && !text.contains(char::is_control) => {
                Ok(text.to_owned())
            }
            _ => Err(self.bad()),
        }
    }

    fn next(&mut self) -> Result<String, Malformed> {
        let end = self.rest.iter().position(|&b| b == 0).ok_or(self.bad())?;
        let part = self.rest.split_to(end);
        self.rest.advance(1);
        self.text(&part)
    }

    fn last(self) -> Result<String, Malformed> {
        match self.rest.contains(&0) {
            true => Err(self.bad()),
            false => self.text(&self.rest),
        }
    }

    /// A name that must not be empty.
    fn name(self) -> Result<String, Malformed> {
        let bad = self.bad();
        self.last()
            .and_then(|name| if name.is_empty() { Err(bad) } else { Ok(name) })
    }

    fn number(&self, text: &str) -> Result<u64, Malformed> {
        text.parse().map_err(|_| self.bad())
    }
}

fn decode(kind: u32, body: Bytes) -> Result<Packet, Malformed> {
    let mut a = Arguments { kind, rest: body };
    Ok(match kind {
        1 => Packet::CanDo {
            function: a.name()?,
        },
        // CAN_DO_TIMEOUT: the time that a job has comes from its class, as for every next hop.
        23 => {
            let function = a.next()?;
            a.number(std::str::from_utf8(&a.rest).unwrap_or_default())?;
            Packet::CanDo { function }
        }
        2 => Packet::CantDo {
            function: a.name()?,
        },
        3 => Packet::ResetAbilities,
        4 => Packet::PreSleep,
        7 | 21 | 33 | 18 | 32 | 34 => {
            let (function, unique) = (a.next()?, a.next()?);
            if function.is_empty() {
                return Err(a.bad());
            }
            Packet::SubmitJob {
                background: matches!(kind, 18 | 32 | 34),
                function,
                unique,
                workload: a.rest,
            }
        }
        9 => Packet::GrabJob { with_unique: false },
        30 => Packet::GrabJob { with_unique: true },
        12 => {
            let (handle, done) = (a.next()?, a.next()?);
            let (done, of) = (
                a.number(&done)?,
                a.number(std::str::from_utf8(&a.rest).unwrap_or_default())?,
            );
            Packet::WorkStatus { handle, done, of }
        }
        13 => Packet::WorkComplete {
            handle: a.next()?,
            data: a.rest,
        },
        14 => Packet::WorkFail { handle: a.name()? },
        25 => Packet::WorkException {
            handle: a.next()?,
            data: a.rest,
        },
        28 => Packet::WorkData {
            handle: a.next()?,
            data: a.rest,
        },
        29 => Packet::WorkWarning {
            handle: a.next()?,
            data: a.rest,
        },
        15 => Packet::GetStatus { handle: a.name()? },
        16 => Packet::EchoReq { data: a.rest },
        22 => Packet::SetClientId { id: a.last()? },
        24 => Packet::AllYours,
        26 => Packet::OptionReq { option: a.name()? },
        _ => return Err(Malformed::Type(kind)),
    })
}

impl Packet {
    /// The packet as this side sends it.
    pub fn encode(&self, out: &mut BytesMut) {
        let status = |known: &bool, running: &bool, done: &u64, of: &u64| {
            [u64::from(*known), u64::from(*running), *done, *of].map(|n| n.to_string())
        };
        let (kind, arguments): (u32, Vec<&[u8]>) = match self {
            Packet::Noop => (6, vec![]),
            Packet::JobCreated { handle } => (8, vec![handle.as_bytes()]),
            Packet::NoJob => (10, vec![]),
            Packet::JobAssign {
                handle,
                function,
                unique: None,
                workload,
            } => (11, vec![handle.as_bytes(), function.as_bytes(), workload]),
            Packet::JobAssign {
                handle,
                function,
                unique: Some(unique),
                workload,
            } => (
                31,
                vec![
                    handle.as_bytes(),
                    function.as_bytes(),
                    unique.as_bytes(),
                    workload,
                ],
            ),
            Packet::WorkStatus { handle, done, of } => {
                let (done, of) = (done.to_string(), of.to_string());
                return put(
                    out,
                    12,
                    &[handle.as_bytes(), done.as_bytes(), of.as_bytes()],
                );
            }
            Packet::WorkComplete { handle, data } => (13, vec![handle.as_bytes(), data]),
            Packet::WorkFail { handle } => (14, vec![handle.as_bytes()]),
            Packet::WorkException { handle, data } => (25, vec![handle.as_bytes(), data]),
            Packet::WorkData { handle, data } => (28, vec![handle.as_bytes(), data]),
            Packet::WorkWarning { handle, data } => (29, vec![handle.as_bytes(), data]),
            Packet::StatusRes {
                handle,
                known,
                running,
                done,
                of,
            } => {
                let figures = status(known, running, done, of);
                let mut arguments = vec![handle.as_bytes()];
                arguments.extend(figures.iter().map(|f| f.as_bytes()));
                return put(out, 20, &arguments);
            }
            Packet::EchoRes { data } => (17, vec![&data[..]]),
            Packet::Error { code, text } => (19, vec![code.as_bytes(), text.as_bytes()]),
            Packet::OptionRes { option } => (27, vec![option.as_bytes()]),
            // The rest is only ever received.
            _ => return,
        };
        put(out, kind, &arguments);
    }
}

fn put(out: &mut BytesMut, kind: u32, arguments: &[&[u8]]) {
    let body = arguments.join(&0u8);
    out.reserve(12 + body.len());
    out.put_slice(b"\0RES");
    out.put_u32(kind);
    out.put_u32(body.len() as u32);
    out.put_slice(&body);
}
