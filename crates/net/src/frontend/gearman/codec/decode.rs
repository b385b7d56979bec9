//! Decodes the bodies of packets.
//!
//! All arguments but the last end at a zero byte; the last one takes the rest of the body.

use super::packet::packet_type as types;
use super::{Malformed, Packet};
use bytes::{Buf, Bytes};

/// The size limit of function names, unique ids, handles and client ids, in bytes.
const MAX_NAME: usize = 512;

/// The packet of this type with this body.
pub(super) fn decode(packet_type: u32, body: Bytes) -> Result<Packet, Malformed> {
    let mut arguments = Arguments {
        packet_type,
        rest: body,
    };
    Ok(match packet_type {
        types::CAN_DO => Packet::CanDo {
            function: arguments.name()?,
        },
        types::CAN_DO_TIMEOUT => can_do_timeout(arguments)?,
        types::CANT_DO => Packet::CantDo {
            function: arguments.name()?,
        },
        types::RESET_ABILITIES => Packet::ResetAbilities,
        types::PRE_SLEEP => Packet::PreSleep,
        types::SUBMIT_JOB | types::SUBMIT_JOB_HIGH | types::SUBMIT_JOB_LOW => {
            submit_job(arguments, false)?
        }
        types::SUBMIT_JOB_BG | types::SUBMIT_JOB_HIGH_BG | types::SUBMIT_JOB_LOW_BG => {
            submit_job(arguments, true)?
        }
        types::GRAB_JOB => Packet::GrabJob { with_unique: false },
        types::GRAB_JOB_UNIQ => Packet::GrabJob { with_unique: true },
        types::WORK_STATUS => work_status(arguments)?,
        types::WORK_COMPLETE => Packet::WorkComplete {
            handle: arguments.next()?,
            data: arguments.rest,
        },
        types::WORK_FAIL => Packet::WorkFail {
            handle: arguments.name()?,
        },
        types::WORK_EXCEPTION => Packet::WorkException {
            handle: arguments.next()?,
            data: arguments.rest,
        },
        types::WORK_DATA => Packet::WorkData {
            handle: arguments.next()?,
            data: arguments.rest,
        },
        types::WORK_WARNING => Packet::WorkWarning {
            handle: arguments.next()?,
            data: arguments.rest,
        },
        types::GET_STATUS => Packet::GetStatus {
            handle: arguments.name()?,
        },
        types::ECHO_REQ => Packet::EchoReq {
            data: arguments.rest,
        },
        types::SET_CLIENT_ID => Packet::SetClientId {
            id: arguments.last()?,
        },
        types::ALL_YOURS => Packet::AllYours,
        types::OPTION_REQ => Packet::OptionReq {
            option: arguments.name()?,
        },
        _ => return Err(Malformed::Type(packet_type)),
    })
}

/// The timeout is checked and then ignored: the deadline of a job comes from its class, whatever
/// the endpoint.
fn can_do_timeout(mut arguments: Arguments) -> Result<Packet, Malformed> {
    let function = arguments.next()?;
    arguments.last_number()?;
    Ok(Packet::CanDo { function })
}

fn submit_job(mut arguments: Arguments, background: bool) -> Result<Packet, Malformed> {
    let function = arguments.next()?;
    let unique = arguments.next()?;
    if function.is_empty() {
        return Err(arguments.error());
    }
    Ok(Packet::SubmitJob {
        background,
        function,
        unique,
        workload: arguments.rest,
    })
}

fn work_status(mut arguments: Arguments) -> Result<Packet, Malformed> {
    let handle = arguments.next()?;
    let numerator = arguments.next()?;
    Ok(Packet::WorkStatus {
        handle,
        numerator: arguments.number(&numerator)?,
        denominator: arguments.last_number()?,
    })
}

/// The arguments of a packet that are not decoded yet.
struct Arguments {
    packet_type: u32,
    rest: Bytes,
}

impl Arguments {
    fn error(&self) -> Malformed {
        Malformed::Arguments(self.packet_type)
    }

    /// The next argument, which is not the last.
    fn next(&mut self) -> Result<String, Malformed> {
        let end = self.rest.iter().position(|&byte| byte == 0);
        let end = end.ok_or_else(|| self.error())?;
        let argument = self.rest.split_to(end);
        self.rest.advance(1);
        self.text(&argument)
    }

    /// The last argument.
    fn last(self) -> Result<String, Malformed> {
        if self.rest.contains(&0) {
            return Err(self.error());
        }
        self.text(&self.rest)
    }

    /// The last argument, which must not be empty.
    fn name(self) -> Result<String, Malformed> {
        let error = self.error();
        let name = self.last()?;
        if name.is_empty() {
            return Err(error);
        }
        Ok(name)
    }

    /// The last argument, which is a number.
    fn last_number(&self) -> Result<u64, Malformed> {
        let text = std::str::from_utf8(&self.rest).map_err(|_| self.error())?;
        self.number(text)
    }

    fn text(&self, argument: &[u8]) -> Result<String, Malformed> {
        match std::str::from_utf8(argument) {
            Ok(text) if argument.len() <= MAX_NAME && !text.contains(char::is_control) => {
                Ok(text.to_owned())
            }
            _ => Err(self.error()),
        }
    }

    fn number(&self, text: &str) -> Result<u64, Malformed> {
        text.parse().map_err(|_| self.error())
    }
}
