//! The command line.

mod console;
#[cfg(feature = "appliance")]
mod init;

use argh::FromArgs;
use pumiceway_logging::{Files, Flood, Format, Level, Log, Options, Sink};
use pumiceway_net::config::{Config, ConfigError, GearmanConfig, Reload, ZooKeeperConfig};
use pumiceway_net::event_loop::Dispatcher;
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
    #[cfg(feature = "appliance")]
    Init(init::Init),
    Console(Console),
    Version(Version),
}

/// Serve until told to stop.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the site file of an appliance; without one, ROUTER_CONFIG names the platform's configuration
    #[cfg(feature = "appliance")]
    #[argh(option)]
    site: Option<PathBuf>,
    /// file that switches the Gearman front on
    #[argh(option)]
    gearman: Option<PathBuf>,
    /// file that switches on a route set in ZooKeeper
    #[argh(option)]
    zookeeper: Option<PathBuf>,
    /// which lines are logged: off, error, warn, info (the default), debug or trace; also for a
    /// part, as in info,pumiceway_net::hop=debug
    #[argh(option)]
    log_level: Option<Level>,
    /// how they look: text (the default) or json
    #[argh(option, default = "Format::Text")]
    log_format: Format,
    /// write them to this file, and older ones beside it, rather than to standard error
    #[argh(option)]
    log_file: Option<PathBuf>,
    /// a file that has passed this many megabytes is put aside (8)
    #[argh(option, default = "8")]
    log_megabytes: usize,
    /// how many older files are kept (4)
    #[argh(option, default = "4")]
    log_older: usize,
}

impl Serve {
    fn log(&self) -> Options {
        let (bytes, older) = (
            self.log_megabytes.clamp(1, 1_024) << 20,
            self.log_older.min(100),
        );
        let sink = match &self.log_file {
            Some(path) => Sink::Files(Files {
                path: path.clone(),
                bytes,
                older,
            }),
            None => Sink::Stderr,
        };
        Options {
            format: self.log_format,
            sink,
            level: self.log_level.clone(),
            flood: Flood::default(),
        }
    }
}

/// Read the configuration, say what is wrong with it, and end.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
struct CheckConfig {
    /// the site file of an appliance; without one, ROUTER_CONFIG names the platform's configuration
    #[cfg(feature = "appliance")]
    #[argh(option)]
    site: Option<PathBuf>,
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
        Command::Serve(asked) => {
            let log = asked.log();
            let site = site!(asked);
            let reads_again = site.is_none();
            config(site, asked.gearman, asked.zookeeper).and_then(|config| {
                let _log = Log::start(log).map_err(|e| e.to_string())?;
                serve(config, reads_again)
            })
        }
        Command::CheckConfig(asked) => config(site!(asked), asked.gearman, asked.zookeeper)
            .map(|c| println!("{}: good", c.name)),
        #[cfg(feature = "appliance")]
        Command::Init(init) => init.run(),
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

/// The site file asked for, in a build that knows of any.
macro_rules! site {
    ($asked:ident) => {{
        #[cfg(feature = "appliance")]
        let site: Option<PathBuf> = $asked.site.clone();
        #[cfg(not(feature = "appliance"))]
        let site: Option<PathBuf> = None;
        site
    }};
}
use site;

#[cfg(feature = "appliance")]
fn read_site(file: &std::path::Path) -> Result<Config, String> {
    pumiceway_site::read_file(file).map_err(|e| e.to_string())
}

#[cfg(not(feature = "appliance"))]
fn read_site(file: &std::path::Path) -> Result<Config, String> {
    Err(format!(
        "{}: this build knows no site files",
        file.display()
    ))
}

fn config(
    site: Option<PathBuf>,
    gearman: Option<PathBuf>,
    zookeeper: Option<PathBuf>,
) -> Result<Config, String> {
    if let Some(site) = site {
        if gearman.is_some() {
            return Err(
                "--gearman: with a site file, its listen.gearman switches that front on".to_owned(),
            );
        }
        let mut config = read_site(&site)?;
        let zookeeper = zookeeper
            .map(|f| ZooKeeperConfig::from_file(&f))
            .transpose();
        config.zookeeper = zookeeper.map_err(|e| e.to_string())?;
        return Ok(config);
    }
    let read = || -> Result<Config, ConfigError> {
        let mut config = Config::from_environment(|key| std::env::var(key).ok())?;
        let inbound = config.sockets.inbound;
        config.gearman = gearman
            .map(|f| GearmanConfig::from_file(&f, &config.deployment, inbound))
            .transpose()?;
        config.zookeeper = zookeeper
            .map(|f| ZooKeeperConfig::from_file(&f))
            .transpose()?;
        Ok(config)
    };
    read().map_err(|e| e.to_string())
}

fn serve(config: Config, reads_again: bool) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    let run = async {
        let (mut terminate, mut interrupt) = (
            signal(SignalKind::terminate())?,
            signal(SignalKind::interrupt())?,
        );
        let mut hangup = signal(SignalKind::hangup())?;
        let (tell, reloads) = tokio::sync::mpsc::unbounded_channel();
        let fixed = config.fixed.clone();
        tokio::spawn(async move {
            while hangup.recv().await.is_some() {
                if !reads_again {
                    tracing::warn!(
                        "a site file is read at the start only: what has changed takes a restart"
                    );
                    continue;
                }
                // Prevents: a file that is wrong or half written takes a dispatcher down that
                // serves.
                match Reload::read(&fixed, |key| std::env::var(key).ok()) {
                    Ok(reload) => drop(tell.send(reload)),
                    Err(e) => {
                        tracing::error!(why = %e, "configuration not taken, the old one stays")
                    }
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
    runtime
        .block_on(run)
        .map_err(|e: std::io::Error| e.to_string())
}
