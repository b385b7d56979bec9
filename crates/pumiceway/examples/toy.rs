//! A toy worker and a toy client, to see a first job run through a dispatcher on this machine:
//!
//! ```text
//! cargo run --example toy worker rate-push          takes jobs until it is stopped
//! cargo run --example toy submit rate-push hello    hands one job in and prints its answer
//! ```

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

/// A Gearman packet: its kind, and its parts, which a zero byte parts.
fn send(stream: &mut TcpStream, kind: u32, parts: &[&str]) -> Result<(), Error> {
    let body = parts.join("\0");
    let mut packet = b"\0REQ".to_vec();
    packet.extend(kind.to_be_bytes());
    packet.extend((body.len() as u32).to_be_bytes());
    packet.extend(body.bytes());
    stream.write_all(&packet)
}

fn receive(stream: &mut TcpStream) -> Result<(u32, Vec<String>), Error> {
    let mut head = [0; 12];
    stream.read_exact(&mut head)?;
    let number =
        |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
    let mut body = vec![0; number(8) as usize];
    stream.read_exact(&mut body)?;
    let parts = body
        .split(|&b| b == 0)
        .map(|part| String::from_utf8_lossy(part).into_owned());
    Ok((number(4), parts.collect()))
}

fn worker(stream: &mut TcpStream, function: &str) -> Result<(), Error> {
    send(stream, CAN_DO, &[function])?;
    send(stream, GRAB_JOB, &[])?;
    loop {
        let (kind, parts) = receive(stream)?;
        match (kind, &parts[..]) {
            (JOB_ASSIGN, [handle, _, workload]) => {
                println!("{function}: {workload}");
                send(stream, WORK_COMPLETE, &[handle, &workload.to_uppercase()])?;
                send(stream, GRAB_JOB, &[])?;
            }
            // Nothing to do: sleep until called.
            (NO_JOB, _) => send(stream, PRE_SLEEP, &[])?,
            _ => send(stream, GRAB_JOB, &[])?,
        }
    }
}

fn submit(stream: &mut TcpStream, function: &str, workload: &str) -> Result<(), Error> {
    send(stream, SUBMIT_JOB, &[function, "", workload])?;
    loop {
        let (kind, parts) = receive(stream)?;
        match kind {
            JOB_CREATED => println!("taken as {}", parts[0]),
            WORK_COMPLETE | WORK_FAIL => {
                println!(
                    "{}",
                    parts
                        .get(1)
                        .map_or("not served".to_owned(), |made| format!("served: {made}"))
                );
                return Ok(());
            }
            _ => println!("{}", parts.join(" ")),
        }
    }
}

fn main() -> Result<(), Error> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let address = std::env::var("PUMICEWAY").unwrap_or_else(|_| "127.0.0.1:4730".to_owned());
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        ["worker", function] => worker(&mut TcpStream::connect(address)?, function),
        ["submit", function, workload] => {
            submit(&mut TcpStream::connect(address)?, function, workload)
        }
        _ => Err(Error::other(
            "toy worker FUNCTION, or toy submit FUNCTION WORKLOAD",
        )),
    }
}
