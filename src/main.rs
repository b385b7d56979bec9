//! The command line.

use argh::FromArgs;
use pumiceway::config::Config;
use std::process::ExitCode;

/// Dispatches sync jobs to channel workers.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    CheckConfig(CheckConfig),
    Version(Version),
}

/// Serve until told to stop.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {}

/// Read the configuration, say what is wrong with it, and end.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn main() -> ExitCode {
    let result = match argh::from_env::<Args>().command {
        Command::Serve(Serve {}) => serve(),
        Command::CheckConfig(CheckConfig {}) => config().map(|c| println!("{}: good", c.name)),
        Command::Version(Version {}) => {
            println!("pumiceway {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pumiceway: {e}");
            ExitCode::from(2)
        }
    }
}

fn config() -> Result<Config, String> {
    Config::from_environment(|key| std::env::var(key).ok()).map_err(|e| e.to_string())
}

fn serve() -> Result<(), String> {
    let config = config()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    runtime.block_on(pumiceway::shell::run(config)).map_err(|e| e.to_string())
}
