//! The errors of the console.

use std::net::SocketAddr;
use std::{error, fmt, io};

/// Why the console stopped.
#[derive(Debug)]
pub enum ConsoleError {
    /// The argument of `--command` is not a command.
    UnknownCommand(UnknownCommand),
    /// No connection can be opened to the address.
    Connect {
        address: SocketAddr,
        source: io::Error,
    },
    /// The dispatcher closed the connection.
    ConnectionClosed,
    /// An admin command cannot be sent.
    Send(io::Error),
    /// The response cannot be read, or did not arrive in time.
    Receive(io::Error),
    /// Standard input cannot be read.
    Input(io::Error),
}

/// The text is not a command of the console.
#[derive(Debug, PartialEq, Eq)]
pub struct UnknownCommand(pub String);

impl fmt::Display for UnknownCommand {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unknown command {:?}; help lists the commands", self.0)
    }
}

impl error::Error for UnknownCommand {}

impl fmt::Display for ConsoleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConsoleError::UnknownCommand(unknown) => unknown.fmt(f),
            ConsoleError::Connect { address, source } => {
                write!(f, "cannot connect to the dispatcher at {address}: {source}")
            }
            ConsoleError::ConnectionClosed => f.write_str("the dispatcher closed the connection"),
            ConsoleError::Send(source) => write!(f, "cannot send the command: {source}"),
            ConsoleError::Receive(source) => write!(f, "cannot read the response: {source}"),
            ConsoleError::Input(source) => write!(f, "cannot read standard input: {source}"),
        }
    }
}

impl error::Error for ConsoleError {}

impl From<UnknownCommand> for ConsoleError {
    fn from(unknown: UnknownCommand) -> ConsoleError {
        ConsoleError::UnknownCommand(unknown)
    }
}
