//! The command line.

mod console;

use argh::FromArgs;
use pumiceway_net::config::{Config, ConfigError, GearmanConfig, Reload, ZooKeeperConfig};
use pumiceway_net::log;
use pumiceway_net::shell::Dispatcher;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
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
    /// file that switches on a route set in ZooKeeper
    #[argh(option)]
    zookeeper: Option<PathBuf>,
}

/// Read the configuration, say what is wrong with it, and end.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {
    /// file that switches the Gearman front on
    #[argh(option)]
    gearman: Option<PathBuf>,
    /// file that switches on a route set in ZooKeeper
    #[argh(option)]
    zookeeper: Option<PathBuf>,
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
        Command::Serve(Serve { gearman, zookeeper }) => config(gearman, zookeeper).and_then(serve),
        Command::CheckConfig(CheckConfig { gearman, zookeeper }) => {
            config(gearman, zookeeper).map(|c| println!("{}: good", c.name))
        }
        Command::Console(Console { address, command }) => console::run(address, command.as_deref()),
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

fn config(gearman: Option<PathBuf>, zookeeper: Option<PathBuf>) -> Result<Config, String> {
    let read = || -> Result<Config, ConfigError> {
        let mut config = Config::from_environment(|key| std::env::var(key).ok())?;
        let inbound = config.sockets.inbound;
        config.gearman = gearman.map(|f| GearmanConfig::from_file(&f, &config.conf, inbound)).transpose()?;
        config.zookeeper = zookeeper.map(|f| ZooKeeperConfig::from_file(&f)).transpose()?;
        Ok(config)
    };
    read().map_err(|e| e.to_string())
}

fn serve(config: Config) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    let run = async {
        let (mut terminate, mut interrupt) =
            (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
        let mut hangup = signal(SignalKind::hangup())?;
        let (tell, reloads) = tokio::sync::mpsc::unbounded_channel();
        let fixed = config.fixed.clone();
        tokio::spawn(async move {
            while hangup.recv().await.is_some() {
                // Prevents: a file that is wrong or half written takes a dispatcher down that serves.
                match Reload::read(&fixed, |key| std::env::var(key).ok()) {
                    Ok(reload) => drop(tell.send(reload)),
                    Err(e) => log!("configuration not taken, the old one stays: {e}"),
                }
            }
        });
        let stop = async {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        Dispatcher::bind(config).await?.run(stop, reloads).await
    };
    runtime.block_on(run).map_err(|e: std::io::Error| e.to_string())
}
