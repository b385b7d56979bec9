//! Runs balancers in the simulator: reads one JSON batch of events per line from standard input
//! and writes one line of actions per batch to standard output. All decisions are made in
//! `pumiceway-decisions`.

mod error;
mod instances;
mod name_table;
mod wire;

use error::AdapterError;
use instances::Instances;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

/// The exit code after input that cannot be used, or an I/O error.
const FAILURE: u8 = 2;

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pumiceway-adapter: {error}");
            ExitCode::from(FAILURE)
        }
    }
}

fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut instances = Instances::default();
    let mut text = String::new();
    let mut reply = Vec::new();
    for line in 1u64.. {
        text.clear();
        let length = input
            .read_line(&mut text)
            .map_err(|source| AdapterError::Read { line, source })?;
        if length == 0 {
            break;
        }
        reply.clear();
        instances
            .handle_batch(text.trim_end(), &mut reply)
            .map_err(|source| AdapterError::Batch { line, source })?;
        reply.push(b'\n');
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|source| AdapterError::Write { line, source })?;
    }
    Ok(())
}
