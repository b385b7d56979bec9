//! A connection for admin commands: lines of text, as Gearman has them.

use super::error::ConsoleError;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The dispatcher accepts the connection, and sends each line, within this time.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The line that ends a table.
const END_OF_TABLE: &str = ".";

pub struct AdminConnection(BufReader<TcpStream>);

impl AdminConnection {
    pub fn open(address: SocketAddr) -> Result<AdminConnection, ConsoleError> {
        let failed = |source| ConsoleError::Connect { address, source };
        let stream = TcpStream::connect_timeout(&address, TIMEOUT).map_err(failed)?;
        stream.set_read_timeout(Some(TIMEOUT)).map_err(failed)?;
        Ok(AdminConnection(BufReader::new(stream)))
    }

    /// Sends a command and receives the rows of its table.
    pub fn request_table(&mut self, command: &str) -> Result<Vec<Vec<String>>, ConsoleError> {
        self.send(command)?;
        let mut rows = Vec::new();
        loop {
            let line = self.receive_line()?;
            if line == END_OF_TABLE {
                return Ok(rows);
            }
            rows.push(line.split('\t').map(str::to_owned).collect());
        }
    }

    /// Sends a command and receives its line.
    pub fn request_line(&mut self, command: &str) -> Result<String, ConsoleError> {
        self.send(command)?;
        self.receive_line()
    }

    fn send(&mut self, command: &str) -> Result<(), ConsoleError> {
        let line = format!("{command}\n");
        self.0
            .get_mut()
            .write_all(line.as_bytes())
            .map_err(ConsoleError::Send)
    }

    fn receive_line(&mut self) -> Result<String, ConsoleError> {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(0) => Err(ConsoleError::ConnectionClosed),
            Ok(_) => Ok(line.trim_end().to_owned()),
            Err(error) => Err(ConsoleError::Receive(error)),
        }
    }
}
