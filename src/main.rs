//! The command line.

use argh::FromArgs;
use pumiceway::config::{Config, GearmanConfig};
use pumiceway::shell::Dispatcher;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

const DEFAULT_FRONT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 4730);

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
    Console(Console),
    Version(Version),
}

/// Serve until told to stop.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// file that switches the Gearman front on
    #[argh(option)]
    gearman: Option<PathBuf>,
}

/// Read the configuration, say what is wrong with it, and end.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {
    /// file that switches the Gearman front on
    #[argh(option)]
    gearman: Option<PathBuf>,
}

/// Look at a running dispatcher through its Gearman front.
#[derive(FromArgs)]
#[argh(subcommand, name = "console")]
struct Console {
    /// where the Gearman front listens (127.0.0.1:4730)
    #[argh(option, default = "DEFAULT_FRONT")]
    address: SocketAddr,
    /// run this command and end
    #[argh(option)]
    command: Option<String>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn main() -> ExitCode {
    let result = match argh::from_env::<Args>().command {
        Command::Serve(Serve { gearman }) => serve(gearman.as_deref()),
        Command::CheckConfig(CheckConfig { gearman }) => {
            config(gearman.as_deref()).map(|(c, _)| println!("{}: good", c.name))
        }
        Command::Console(Console { address, command }) => {
            pumiceway::console::run(address, command.as_deref())
        }
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

fn config(gearman: Option<&Path>) -> Result<(Config, Option<GearmanConfig>), String> {
    let config = Config::from_environment(|key| std::env::var(key).ok()).map_err(|e| e.to_string())?;
    let gearman = gearman.map(|file| GearmanConfig::from_file(file, &config.conf, config.sockets.inbound));
    Ok((config, gearman.transpose().map_err(|e| e.to_string())?))
}

fn serve(gearman: Option<&Path>) -> Result<(), String> {
    let (config, gearman) = config(gearman)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    let run = async {
        let (mut terminate, mut interrupt) =
            (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        let stop = async {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        Dispatcher::bind(config, gearman).await?.run(stop).await
    };
    runtime.block_on(run).map_err(|e: std::io::Error| e.to_string())
}
