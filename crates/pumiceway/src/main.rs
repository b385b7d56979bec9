//! The `pumiceway` program: runs a dispatcher, checks and writes configuration files, and has a
//! console for operators.
//!
//! A command that fails writes one line to standard error and exits with code 2.

mod arguments;
mod config_files;
mod console;
mod error;
#[cfg(feature = "appliance")]
mod init;
mod serve;

use arguments::{Arguments, Command, Serve};
use error::CommandError;
use pumiceway_logging::Log;
use std::process::ExitCode;

/// The exit code of a command that fails.
const FAILURE: u8 = 2;

fn main() -> ExitCode {
    let Arguments { command } = argh::from_env();
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pumiceway: {error}");
            ExitCode::from(FAILURE)
        }
    }
}

fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Serve(arguments) => serve(&arguments)?,
        Command::CheckConfig(arguments) => {
            let config = arguments.config_files().load()?;
            println!("{}: good", config.name);
        }
        #[cfg(feature = "appliance")]
        Command::Init(init) => init.run()?,
        Command::Console(arguments) => {
            console::run(arguments.address, arguments.command.as_deref())?;
        }
        Command::Version(_) => println!("pumiceway {}", env!("CARGO_PKG_VERSION")),
    }
    Ok(())
}

fn serve(arguments: &Serve) -> Result<(), CommandError> {
    let files = arguments.config_files();
    let config = files.load()?;
    let _log = Log::start(arguments.log_options())?;
    serve::run(config, files.reload_policy())
}
