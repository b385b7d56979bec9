//! Encodes the packets that the dispatcher sends.

use super::packet::types;
use super::{HEADER_LENGTH, Packet, RESPONSE_MAGIC};
use bytes::{BufMut, BytesMut};

impl Packet {
    /// Appends the packet to `out`; appends nothing for packets that only clients and workers send.
    pub fn encode(&self, out: &mut BytesMut) {
        match self {
            Packet::Noop => put(out, types::NOOP, &[]),
            Packet::JobCreated { handle } => put(out, types::JOB_CREATED, &[handle.as_bytes()]),
            Packet::NoJob => put(out, types::NO_JOB, &[]),
            Packet::JobAssign {
                handle,
                function,
                unique_id,
                workload,
            } => put_job_assign(out, handle, function, unique_id.as_deref(), workload),
            Packet::WorkStatus {
                handle,
                numerator,
                denominator,
            } => put_numbers(out, types::WORK_STATUS, handle, &[*numerator, *denominator]),
            Packet::WorkComplete { handle, data } => {
                put(out, types::WORK_COMPLETE, &[handle.as_bytes(), data]);
            }
            Packet::WorkFail { handle } => put(out, types::WORK_FAIL, &[handle.as_bytes()]),
            Packet::WorkException { handle, data } => {
                put(out, types::WORK_EXCEPTION, &[handle.as_bytes(), data]);
            }
            Packet::WorkData { handle, data } => {
                put(out, types::WORK_DATA, &[handle.as_bytes(), data]);
            }
            Packet::WorkWarning { handle, data } => {
                put(out, types::WORK_WARNING, &[handle.as_bytes(), data]);
            }
            Packet::StatusRes {
                handle,
                known,
                running,
                numerator,
                denominator,
            } => {
                let numbers = [
                    u64::from(*known),
                    u64::from(*running),
                    *numerator,
                    *denominator,
                ];
                put_numbers(out, types::STATUS_RES, handle, &numbers);
            }
            Packet::EchoRes { data } => put(out, types::ECHO_RES, &[data]),
            Packet::Error { code, text } => {
                put(out, types::ERROR, &[code.as_bytes(), text.as_bytes()]);
            }
            Packet::OptionRes { option } => put(out, types::OPTION_RES, &[option.as_bytes()]),
            Packet::CanDo { .. }
            | Packet::CantDo { .. }
            | Packet::ResetAbilities
            | Packet::PreSleep
            | Packet::SubmitJob { .. }
            | Packet::GrabJob { .. }
            | Packet::GetStatus { .. }
            | Packet::EchoReq { .. }
            | Packet::SetClientId { .. }
            | Packet::AllYours
            | Packet::OptionReq { .. } => {}
        }
    }
}

/// Appends `JOB_ASSIGN`, or `JOB_ASSIGN_UNIQ` with a unique id.
fn put_job_assign(
    out: &mut BytesMut,
    handle: &str,
    function: &str,
    unique_id: Option<&str>,
    workload: &[u8],
) {
    let handle = handle.as_bytes();
    let function = function.as_bytes();
    match unique_id {
        Some(unique_id) => put(
            out,
            types::JOB_ASSIGN_UNIQ,
            &[handle, function, unique_id.as_bytes(), workload],
        ),
        None => put(out, types::JOB_ASSIGN, &[handle, function, workload]),
    }
}

/// Appends a packet whose arguments are a job handle and numbers in decimal.
fn put_numbers(out: &mut BytesMut, packet_type: u32, handle: &str, numbers: &[u64]) {
    let numbers: Vec<String> = numbers.iter().map(u64::to_string).collect();
    let mut arguments = vec![handle.as_bytes()];
    arguments.extend(numbers.iter().map(std::string::String::as_bytes));
    put(out, packet_type, &arguments);
}

/// Appends a packet, with a zero byte between its arguments.
fn put(out: &mut BytesMut, packet_type: u32, arguments: &[&[u8]]) {
    let body = arguments.join(&0u8);
    out.reserve(HEADER_LENGTH + body.len());
    out.put_slice(&RESPONSE_MAGIC);
    out.put_u32(packet_type);
    out.put_u32(body.len() as u32);
    out.put_slice(&body);
}
