//! Gearman packets as text, and a worker that echoes its jobs.
//!
//! Scenarios write a packet as `[NAME argument|argument]`.

use crate::Peer;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The length of the header of a packet: its magic, type and size.
pub(crate) const HEADER_LENGTH: usize = 12;
const REQUEST_MAGIC: &[u8; 4] = b"\0REQ";

const PACKET_TYPES: [(&str, u32); 28] = [
    ("CAN_DO", 1),
    ("CANT_DO", 2),
    ("RESET_ABILITIES", 3),
    ("PRE_SLEEP", 4),
    ("NOOP", 6),
    ("SUBMIT_JOB", 7),
    ("JOB_CREATED", 8),
    ("GRAB_JOB", 9),
    ("NO_JOB", 10),
    ("JOB_ASSIGN", 11),
    ("WORK_STATUS", 12),
    ("WORK_COMPLETE", 13),
    ("WORK_FAIL", 14),
    ("GET_STATUS", 15),
    ("ECHO_REQ", 16),
    ("ECHO_RES", 17),
    ("SUBMIT_JOB_BG", 18),
    ("ERROR", 19),
    ("STATUS_RES", 20),
    ("SUBMIT_JOB_HIGH", 21),
    ("SET_CLIENT_ID", 22),
    ("WORK_EXCEPTION", 25),
    ("OPTION_REQ", 26),
    ("OPTION_RES", 27),
    ("WORK_DATA", 28),
    ("WORK_WARNING", 29),
    ("GRAB_JOB_UNIQ", 30),
    ("JOB_ASSIGN_UNIQ", 31),
];

/// The name of a packet type; `?` if it is unknown.
pub(crate) fn type_name(number: u32) -> &'static str {
    PACKET_TYPES
        .iter()
        .find(|(_, known)| *known == number)
        .map_or("?", |(name, _)| name)
}

fn type_number(name: &str) -> u32 {
    PACKET_TYPES
        .iter()
        .find(|(known, _)| *known == name)
        .unwrap_or_else(|| panic!("unknown packet type {name:?}"))
        .1
}

/// Splits the text of a packet, without its brackets, into its name and its arguments.
pub(crate) fn split_text(inside: &str) -> (&str, &str) {
    inside.split_once(' ').unwrap_or((inside, ""))
}

/// Encodes a packet that is sent to the dispatcher.
pub fn encode(text: &str) -> Vec<u8> {
    let inside = text.trim_start_matches('[').trim_end_matches(']');
    let (name, arguments) = split_text(inside);
    let body = arguments.replace('|', "\0");
    let mut bytes = REQUEST_MAGIC.to_vec();
    bytes.extend(type_number(name).to_be_bytes());
    bytes.extend((body.len() as u32).to_be_bytes());
    bytes.extend(body.bytes());
    bytes
}

/// The arguments in the body of a packet.
pub(crate) fn decode_arguments(body: &[u8]) -> Vec<String> {
    if body.is_empty() {
        return vec![];
    }
    body.split(|&byte| byte == 0)
        .map(|argument| String::from_utf8_lossy(argument).into_owned())
        .collect()
}

/// Runs a Gearman worker until its session ends. It spends this time on each job, and the result of
/// a job is its workload.
pub fn run_gearman_echo_worker(address: SocketAddr, job_duration: Duration) {
    let Ok(stream) = TcpStream::connect(address) else {
        return;
    };
    let mut peer = Peer::new(stream);
    peer.send("[CAN_DO booking-import]");
    peer.send("[CAN_DO rate-push]");
    peer.send("[GRAB_JOB]");
    while let Ok((name, arguments)) = peer.read_packet() {
        match name.as_str() {
            "JOB_ASSIGN" => {
                if !job_duration.is_zero() {
                    std::thread::sleep(job_duration);
                }
                let (handle, workload) = (&arguments[0], &arguments[2]);
                peer.send(&format!("[WORK_COMPLETE {handle}|{workload}]"));
                peer.send("[GRAB_JOB]");
            }
            "NO_JOB" => peer.send("[PRE_SLEEP]"),
            _ => peer.send("[GRAB_JOB]"),
        }
    }
}
