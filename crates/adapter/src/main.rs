//! Connects the decision module to the simulator's wire. No decision is made here.

mod host;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pumiceway-adapter: {e}");
            ExitCode::from(2)
        }
    }
}

fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), String> {
    let mut host = host::Host::default();
    let (mut line, mut reply) = (String::new(), Vec::new());
    for number in 1u64.. {
        line.clear();
        if input.read_line(&mut line).map_err(|e| format!("reading line {number}: {e}"))? == 0 {
            break;
        }
        reply.clear();
        host.batch(line.trim_end(), &mut reply).map_err(|e| format!("line {number}: {e}"))?;
        reply.push(b'\n');
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("writing reply {number}: {e}"))?;
    }
    Ok(())
}
