//! Connects the decisions to the simulator's wire: one JSON batch of events per line on standard
//! input, one line of orders per batch on standard output. No decision is made here.

mod error;
mod host;
mod names;
mod wire;

use error::AdapterError;
use host::Host;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// Exit status after bad input.
const BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pumiceway-adapter: {error}");
            ExitCode::from(BAD_INPUT)
        }
    }
}

fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut line = String::new();
    let mut reply = Vec::new();
    for number in 1u64.. {
        line.clear();
        let length = input
            .read_line(&mut line)
            .map_err(|source| AdapterError::Read { number, source })?;
        if length == 0 {
            break;
        }
        reply.clear();
        host.handle_batch(line.trim_end(), &mut reply)
            .map_err(|source| AdapterError::Line { number, source })?;
        reply.push(b'\n');
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|source| AdapterError::Write { number, source })?;
    }
    Ok(())
}
