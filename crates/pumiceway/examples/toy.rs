//! A minimal Gearman worker and client, to run a first job through a dispatcher on this machine:
//!
//! ```text
//! cargo run --example toy worker rate-push          runs jobs until it is stopped
//! cargo run --example toy submit rate-push hello    submits one job and prints its result
//! ```
//!
//! `PUMICEWAY` names the address of the Gearman frontend, by default 127.0.0.1:4730.

use std::io::{Error, Read, Write};
use std::net::TcpStream;

const CAN_DO: u32 = 1;
const PRE_SLEEP: u32 = 4;
const SUBMIT_JOB: u32 = 7;
const JOB_CREATED: u32 = 8;
const GRAB_JOB: u32 = 9;
const NO_JOB: u32 = 10;
const JOB_ASSIGN: u32 = 11;
const WORK_COMPLETE: u32 = 13;
const WORK_FAIL: u32 = 14;

/// The length of a packet header: magic, type and length of the body, 4 bytes each.
const HEADER_LENGTH: usize = 12;

/// A received Gearman packet.
struct Packet {
    kind: u32,
    arguments: Vec<String>,
}

/// Sends a Gearman request packet; zero bytes separate its arguments.
fn send(stream: &mut TcpStream, kind: u32, arguments: &[&str]) -> Result<(), Error> {
    let body = arguments.join("\0");
    let mut packet = b"\0REQ".to_vec();
    packet.extend(kind.to_be_bytes());
    packet.extend((body.len() as u32).to_be_bytes());
    packet.extend(body.bytes());
    stream.write_all(&packet)
}

/// Receives a Gearman packet.
fn receive(stream: &mut TcpStream) -> Result<Packet, Error> {
    let mut header = [0; HEADER_LENGTH];
    stream.read_exact(&mut header)?;
    let [_, _, _, _, kind @ .., l0, l1, l2, l3] = header;
    let length = u32::from_be_bytes([l0, l1, l2, l3]);
    let mut body = vec![0; length as usize];
    stream.read_exact(&mut body)?;
    let arguments = body
        .split(|&byte| byte == 0)
        .map(|argument| String::from_utf8_lossy(argument).into_owned())
        .collect();
    Ok(Packet {
        kind: u32::from_be_bytes(kind),
        arguments,
    })
}

/// Runs jobs of a function: the result of each is its workload in upper case.
fn worker(stream: &mut TcpStream, function: &str) -> Result<(), Error> {
    send(stream, CAN_DO, &[function])?;
    send(stream, GRAB_JOB, &[])?;
    loop {
        let Packet { kind, arguments } = receive(stream)?;
        match (kind, &arguments[..]) {
            (JOB_ASSIGN, [handle, _, workload]) => {
                println!("{function}: {workload}");
                send(stream, WORK_COMPLETE, &[handle, &workload.to_uppercase()])?;
                send(stream, GRAB_JOB, &[])?;
            }
            // After PRE_SLEEP, the dispatcher sends a NOOP packet once a job is queued.
            (NO_JOB, _) => send(stream, PRE_SLEEP, &[])?,
            _ => send(stream, GRAB_JOB, &[])?,
        }
    }
}

/// Submits a job and prints the packets received up to its result.
fn submit(stream: &mut TcpStream, function: &str, workload: &str) -> Result<(), Error> {
    send(stream, SUBMIT_JOB, &[function, "", workload])?;
    loop {
        let Packet { kind, arguments } = receive(stream)?;
        match (kind, &arguments[..]) {
            (JOB_CREATED, [handle, ..]) => println!("submitted as {handle}"),
            (WORK_COMPLETE, [_, result, ..]) => {
                println!("served: {result}");
                return Ok(());
            }
            (WORK_COMPLETE | WORK_FAIL, _) => {
                println!("not served");
                return Ok(());
            }
            _ => println!("{}", arguments.join(" ")),
        }
    }
}

fn main() -> Result<(), Error> {
    let address = std::env::var("PUMICEWAY").unwrap_or_else(|_| "127.0.0.1:4730".to_owned());
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match arguments[..] {
        ["worker", function] => worker(&mut TcpStream::connect(address)?, function),
        ["submit", function, workload] => {
            submit(&mut TcpStream::connect(address)?, function, workload)
        }
        _ => Err(Error::other(
            "usage: toy worker FUNCTION, or toy submit FUNCTION WORKLOAD",
        )),
    }
}
