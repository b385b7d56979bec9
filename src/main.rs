//! The command line.

use argh::FromArgs;

/// Dispatches sync jobs to channel workers.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Version(Version),
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn main() {
    match argh::from_env::<Args>().command {
        Command::Version(Version {}) => println!("pumiceway {}", env!("CARGO_PKG_VERSION")),
    }
}
