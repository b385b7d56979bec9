//! The connection for the admin commands of the Gearman protocol, which are lines of text.

use super::error::ConsoleError;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The time limit for connecting, and for each line of a response.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The line that ends a table.
const END_OF_TABLE: &str = ".";

/// A connection to the Gearman frontend of a dispatcher.
pub struct AdminConnection(BufReader<TcpStream>);

impl AdminConnection {
    pub fn open(address: SocketAddr) -> Result<AdminConnection, ConsoleError> {
        let connect_error = |source| ConsoleError::Connect { address, source };
        let stream = TcpStream::connect_timeout(&address, TIMEOUT).map_err(connect_error)?;
        stream
            .set_read_timeout(Some(TIMEOUT))
            .map_err(connect_error)?;
        Ok(AdminConnection(BufReader::new(stream)))
    }

    /// Sends a command and returns the cells of the rows in its response.
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

    /// Sends a command and returns the line of its response.
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
