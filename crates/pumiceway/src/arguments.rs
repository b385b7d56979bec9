//! The command line. The doc comments of arguments and commands are the texts of `--help`.

#![allow(clippy::doc_markdown)] // doc comments are the texts of --help

use crate::config_files::ConfigFiles;
use argh::FromArgs;
use pumiceway_logging::{Format, LogFiles, LogFilter, Options, RateLimit, Sink};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;

/// The default address of the Gearman frontend.
const DEFAULT_GEARMAN_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 4730);
const MAX_LOG_MEGABYTES: usize = 1_024;
const MAX_OLDER_LOG_FILES: usize = 100;

/// Dispatches sync jobs to channel workers.
#[derive(FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Serve(Serve),
    CheckConfig(CheckConfig),
    #[cfg(feature = "appliance")]
    Init(crate::init::Init),
    Console(Console),
    Version(Version),
}

/// Serve until a signal asks the process to stop.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// the site file of an appliance; without one, `ROUTER_CONFIG` names the platform's
    /// configuration
    #[cfg(feature = "appliance")]
    #[argh(option)]
    site: Option<PathBuf>,
    /// file that switches the Gearman frontend on
    #[argh(option)]
    gearman: Option<PathBuf>,
    /// file that switches on an endpoint list in ZooKeeper
    #[argh(option)]
    zookeeper: Option<PathBuf>,
    /// which lines are logged: off, error, warn, info (the default), debug or trace; also for a
    /// part, as in `info,pumiceway_net::upstream=debug`
    #[argh(option)]
    log_level: Option<LogFilter>,
    /// how they look: text (the default) or json
    #[argh(option, default = "Format::Text")]
    log_format: Format,
    /// write them to this file, and older ones beside it, rather than to standard error
    #[argh(option)]
    log_file: Option<PathBuf>,
    /// a file larger than this many megabytes is rotated (8)
    #[argh(option, default = "8")]
    log_megabytes: usize,
    /// how many older files remain (4)
    #[argh(option, default = "4")]
    log_older: usize,
}

impl Serve {
    /// The configuration files that the arguments name.
    pub fn config_files(&self) -> ConfigFiles {
        ConfigFiles {
            #[cfg(feature = "appliance")]
            site: self.site.clone(),
            gearman: self.gearman.clone(),
            zookeeper: self.zookeeper.clone(),
        }
    }

    /// The settings of the log. Sizes and counts out of range are clamped.
    pub fn log_options(&self) -> Options {
        let sink = match &self.log_file {
            Some(path) => Sink::Files(LogFiles {
                path: path.clone(),
                max_file_size: self.log_megabytes.clamp(1, MAX_LOG_MEGABYTES) << 20,
                max_older_files: self.log_older.min(MAX_OLDER_LOG_FILES),
            }),
            None => Sink::Stderr,
        };
        Options {
            format: self.log_format,
            sink,
            filter: self.log_level.clone().unwrap_or_default(),
            rate_limit: RateLimit::default(),
        }
    }
}

/// Read the configuration, say what is wrong with it, and end.
#[derive(FromArgs)]
#[argh(subcommand, name = "check-config")]
pub struct CheckConfig {
    /// the site file of an appliance; without one, `ROUTER_CONFIG` names the platform's
    /// configuration
    #[cfg(feature = "appliance")]
    #[argh(option)]
    site: Option<PathBuf>,
    /// file that switches the Gearman frontend on
    #[argh(option)]
    gearman: Option<PathBuf>,
    /// file that switches on an endpoint list in ZooKeeper
    #[argh(option)]
    zookeeper: Option<PathBuf>,
}

impl CheckConfig {
    /// The configuration files that the arguments name.
    pub fn config_files(self) -> ConfigFiles {
        ConfigFiles {
            #[cfg(feature = "appliance")]
            site: self.site,
            gearman: self.gearman,
            zookeeper: self.zookeeper,
        }
    }
}

/// Look at a running dispatcher through its Gearman frontend.
#[derive(FromArgs)]
#[argh(subcommand, name = "console")]
pub struct Console {
    /// where the Gearman frontend listens (127.0.0.1:4730)
    #[argh(option, default = "DEFAULT_GEARMAN_ADDRESS")]
    pub address: SocketAddr,
    /// run this command and end
    #[argh(option)]
    pub command: Option<String>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
pub struct Version {}
