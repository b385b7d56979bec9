//! Decodes the bodies of packets.
//!
//! A zero byte ends every argument but the last, which takes the rest of the body.

use super::packet::types;
use super::{Malformed, Packet};
use bytes::{Buf, Bytes};

/// Size limit, in bytes, of text arguments such as function names, unique ids, handles and client
/// ids.
const MAX_TEXT: usize = 512;

/// Decodes a packet from its type and its body.
pub(super) fn decode(packet_type: u32, body: Bytes) -> Result<Packet, Malformed> {
    let mut arguments = Arguments {
        packet_type,
        rest: body,
    };
    Ok(match packet_type {
        types::CAN_DO => Packet::CanDo {
            function: arguments.last_non_empty()?,
        },
        types::CAN_DO_TIMEOUT => can_do_timeout(arguments)?,
        types::CANT_DO => Packet::CantDo {
            function: arguments.last_non_empty()?,
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
            handle: arguments.next_text()?,
            data: arguments.rest,
        },
        types::WORK_FAIL => Packet::WorkFail {
            handle: arguments.last_non_empty()?,
        },
        types::WORK_EXCEPTION => Packet::WorkException {
            handle: arguments.next_text()?,
            data: arguments.rest,
        },
        types::WORK_DATA => Packet::WorkData {
            handle: arguments.next_text()?,
            data: arguments.rest,
        },
        types::WORK_WARNING => Packet::WorkWarning {
            handle: arguments.next_text()?,
            data: arguments.rest,
        },
        types::GET_STATUS => Packet::GetStatus {
            handle: arguments.last_non_empty()?,
        },
        types::ECHO_REQ => Packet::EchoReq {
            data: arguments.rest,
        },
        types::SET_CLIENT_ID => Packet::SetClientId {
            id: arguments.last_text()?,
        },
        types::ALL_YOURS => Packet::AllYours,
        types::OPTION_REQ => Packet::OptionReq {
            option: arguments.last_non_empty()?,
        },
        _ => return Err(Malformed::Type(packet_type)),
    })
}

/// Checks the timeout and then ignores it: a job's deadline depends on its class only, not on the
/// worker.
fn can_do_timeout(mut arguments: Arguments) -> Result<Packet, Malformed> {
    let function = arguments.next_text()?;
    arguments.last_number()?;
    Ok(Packet::CanDo { function })
}

fn submit_job(mut arguments: Arguments, background: bool) -> Result<Packet, Malformed> {
    let function = arguments.next_text()?;
    let unique_id = arguments.next_text()?;
    if function.is_empty() {
        return Err(arguments.error());
    }
    Ok(Packet::SubmitJob {
        background,
        function,
        unique_id,
        workload: arguments.rest,
    })
}

fn work_status(mut arguments: Arguments) -> Result<Packet, Malformed> {
    let handle = arguments.next_text()?;
    let numerator = arguments.next_text()?;
    Ok(Packet::WorkStatus {
        handle,
        numerator: arguments.number(&numerator)?,
        denominator: arguments.last_number()?,
    })
}

/// Decodes the arguments of a packet one by one.
struct Arguments {
    packet_type: u32,
    /// The part of the body that is not decoded yet.
    rest: Bytes,
}

impl Arguments {
    fn error(&self) -> Malformed {
        Malformed::Arguments(self.packet_type)
    }

    /// Decodes the next argument, up to the zero byte that ends it.
    fn next_text(&mut self) -> Result<String, Malformed> {
        let end = self.rest.iter().position(|&byte| byte == 0);
        let end = end.ok_or_else(|| self.error())?;
        let argument = self.rest.split_to(end);
        self.rest.advance(1);
        self.text(&argument)
    }

    /// Decodes the last argument.
    fn last_text(self) -> Result<String, Malformed> {
        if self.rest.contains(&0) {
            return Err(self.error());
        }
        self.text(&self.rest)
    }

    /// Decodes the last argument, which must not be empty.
    fn last_non_empty(self) -> Result<String, Malformed> {
        let error = self.error();
        let text = self.last_text()?;
        if text.is_empty() {
            return Err(error);
        }
        Ok(text)
    }

    /// Decodes the last argument as a number.
    fn last_number(&self) -> Result<u64, Malformed> {
        let text = std::str::from_utf8(&self.rest).map_err(|_| self.error())?;
        self.number(text)
    }

    /// Checks that an argument is UTF-8 text within the size limit and without control characters.
    fn text(&self, argument: &[u8]) -> Result<String, Malformed> {
        match std::str::from_utf8(argument) {
            Ok(text) if argument.len() <= MAX_TEXT && !text.contains(char::is_control) => {
                Ok(text.to_owned())
            }
            _ => Err(self.error()),
        }
    }

    fn number(&self, text: &str) -> Result<u64, Malformed> {
        text.parse().map_err(|_| self.error())
    }
}
