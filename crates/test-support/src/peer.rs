//! One side of a connection: it sends the messages of a scenario, reads HTTP messages and Gearman
//! packets, and compares them with patterns.

use crate::gearman;
use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// How long a peer waits for what it expects.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(8);
/// How often a listener is polled for a connection.
const ACCEPT_POLL: Duration = Duration::from_millis(2);
const READ_SIZE: usize = 4096;
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const LAST_CHUNK: &str = "0\r\n\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// One side of a connection.
pub struct Peer {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// The `X-Txn` header of the message that was read last.
    request_id: String,
}

impl Peer {
    /// A peer on this connection.
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Peer {
            stream,
            buffer: Vec::new(),
            request_id: String::new(),
        }
    }

    /// Sends a message, in the language of [`scenario`](crate::scenario).
    pub fn send(&mut self, message: &str) {
        let bytes = self.encode(message);
        // If the other side has closed the connection, the next expectation fails.
        let _ = self.stream.write_all(&bytes);
    }

    /// Sends bytes. Returns false if the connection has failed.
    pub(crate) fn send_bytes(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// The `X-Txn` header of the message that was read last.
    pub(crate) fn request_id(&self) -> &str {
        &self.request_id
    }

    fn encode(&self, message: &str) -> Vec<u8> {
        let words: Vec<&str> = message.splitn(3, ' ').collect();
        match words[..] {
            ["first", length, message] => self.encode_all(message)[..parse(length)].to_vec(),
            ["after", length, message] => self.encode_all(message)[parse(length)..].to_vec(),
            _ => self.encode_all(message),
        }
    }

    fn encode_all(&self, messages: &str) -> Vec<u8> {
        let messages = messages.split(" && ");
        messages
            .flat_map(|message| self.encode_one(message))
            .collect()
    }

    fn encode_one(&self, message: &str) -> Vec<u8> {
        let words: Vec<&str> = message.splitn(5, ' ').collect();
        match words[..] {
            ["POST", path, id, remaining_ms, body] => {
                request(path, id, remaining_ms, body).into_bytes()
            }
            ["200"] => CHUNKED_HEAD.into(),
            ["."] => LAST_CHUNK.into(),
            ["+", ..] => chunk(&message["+ ".len()..]).into_bytes(),
            ["done", result] => self.done_response(result).into_bytes(),
            ["json", ..] => json_response(&message["json ".len()..]).into_bytes(),
            ["raw", ..] => unescape(&message["raw ".len()..]).into_bytes(),
            _ if message.starts_with('[') => gearman::encode(message),
            _ => panic!("not a message: {message:?}"),
        }
    }

    /// A complete response to the request that was read last.
    fn done_response(&self, result: &str) -> String {
        let id = &self.request_id;
        let line = format!(r#"{{"id":"{id}","from":"w","state":"done","result":"{result}"}}"#);
        format!("{CHUNKED_HEAD}{}{LAST_CHUNK}", chunk(&line))
    }

    /// Reads one message and compares it with a pattern, in the language of
    /// [`scenario`](crate::scenario). Returns the variables that the pattern binds.
    pub fn expect(&mut self, pattern: &str) -> Result<HashMap<String, String>, String> {
        if pattern == "end" {
            return self.expect_end();
        }
        if let Some(inside) = pattern.strip_prefix('[').and_then(|p| p.strip_suffix(']')) {
            return self.expect_packet(inside);
        }
        let message = self.read_message()?;
        if matches_message(pattern, &message) {
            Ok(HashMap::new())
        } else {
            Err(format!("received {message:?}"))
        }
    }

    fn expect_end(&mut self) -> Result<HashMap<String, String>, String> {
        if self.read_more()? {
            let buffer = self.buffer_text();
            return Err(format!("expected the end, received {buffer:?}"));
        }
        Ok(HashMap::new())
    }

    fn expect_packet(&mut self, pattern: &str) -> Result<HashMap<String, String>, String> {
        let (name, arguments) = self.read_packet()?;
        let (expected_name, expected) = gearman::split_text(pattern);
        let expected: Vec<&str> = if expected.is_empty() {
            vec![]
        } else {
            expected.split('|').collect()
        };
        let is_equal = |(expected, argument): (&&str, &String)| {
            *expected == "*" || expected.starts_with('$') || *expected == argument
        };
        if name != expected_name
            || expected.len() != arguments.len()
            || !expected.iter().zip(&arguments).all(is_equal)
        {
            return Err(format!("received {name} {arguments:?}"));
        }
        let variable = |(expected, argument): (&&str, String)| {
            let name = expected.strip_prefix('$')?;
            Some((name.to_owned(), argument))
        };
        Ok(expected
            .iter()
            .zip(arguments)
            .filter_map(variable)
            .collect())
    }

    /// Reads one HTTP message: a request or response whose body length, if any, is given by
    /// `Content-Length`.
    pub fn read_message(&mut self) -> Result<String, String> {
        let head_length = self.read_head()?;
        let head = String::from_utf8_lossy(&self.buffer[..head_length]).to_lowercase();
        let header = |name: &str| {
            let mut values = head.lines().filter_map(|line| line.strip_prefix(name));
            values.next().map(|value| value.trim().to_owned())
        };
        let body_length = header("content-length:").map_or(0, |value| value.parse().unwrap());
        self.request_id = header("x-txn:").unwrap_or_default();
        self.read_to(head_length + body_length)?;
        let bytes: Vec<u8> = self.buffer.drain(..head_length + body_length).collect();
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    fn read_head(&mut self) -> Result<usize, String> {
        loop {
            let mut windows = self.buffer.windows(HEAD_END.len());
            if let Some(end) = windows.position(|window| window == HEAD_END) {
                return Ok(end + HEAD_END.len());
            }
            self.read_to(self.buffer.len() + 1)?;
        }
    }

    /// Reads one Gearman packet. Returns its name and its arguments.
    pub fn read_packet(&mut self) -> Result<(String, Vec<String>), String> {
        self.read_to(gearman::HEADER_LENGTH)?;
        let number = |at: usize| u32::from_be_bytes(self.buffer[at..at + 4].try_into().unwrap());
        let (packet_type, size) = (number(4), number(8) as usize);
        let length = gearman::HEADER_LENGTH + size;
        self.read_to(length)?;
        let packet: Vec<u8> = self.buffer.drain(..length).collect();
        let name = gearman::type_name(packet_type).to_owned();
        let arguments = gearman::decode_arguments(&packet[gearman::HEADER_LENGTH..]);
        Ok((name, arguments))
    }

    /// Reads text until the received text ends with `end`. No text may follow it.
    pub fn read_until(&mut self, end: &str) -> String {
        while !self.buffer.ends_with(end.as_bytes()) {
            self.read_to(self.buffer.len() + 1).unwrap();
        }
        String::from_utf8(std::mem::take(&mut self.buffer)).unwrap()
    }

    fn read_to(&mut self, length: usize) -> Result<(), String> {
        while self.buffer.len() < length {
            if !self.read_more()? {
                return Err(format!("closed after {:?}", self.buffer_text()));
            }
        }
        Ok(())
    }

    /// Reads once. Returns whether anything was read; false if the connection is closed or reset.
    fn read_more(&mut self) -> Result<bool, String> {
        let mut part = [0; READ_SIZE];
        match self.stream.read(&mut part) {
            Ok(length) => {
                self.buffer.extend_from_slice(&part[..length]);
                Ok(length > 0)
            }
            Err(error) if error.kind() == ErrorKind::ConnectionReset => Ok(false),
            Err(error) => Err(format!("{error} after {:?}", self.buffer_text())),
        }
    }

    fn buffer_text(&self) -> String {
        String::from_utf8_lossy(&self.buffer).into_owned()
    }

    /// Resets the connection.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Whether the other side has closed the connection, or has sent something.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Whether the connection has failed, or was closed before anything that is unread.
    pub(crate) fn has_failed(&self) -> bool {
        let error = self.stream.take_error();
        !matches!(error, Ok(None)) || matches!(self.stream.peek(&mut [0]), Ok(0) | Err(_))
    }

    /// Sends chunks of a single byte, one per interval, until `is_over` or the other side closes.
    pub(crate) fn trickle(&mut self, interval: Duration, is_over: impl Fn() -> bool) {
        while !is_over() && self.stream.write_all(b"1\r\n \r\n").is_ok() {
            std::thread::sleep(interval);
        }
    }
}

fn parse(length: &str) -> usize {
    length.parse().unwrap()
}

fn request(path: &str, id: &str, remaining_ms: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Remaining-Ms: {remaining_ms}\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

fn json_response(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// A chunk that contains this line.
fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

fn unescape(text: &str) -> String {
    text.replace("\\r", "\r")
        .replace("\\n", "\n")
        .replace("\\t", "\t")
        .replace("\\0", "\0")
}

/// Whether an HTTP message matches the status, or the method and path, and the texts of a pattern.
fn matches_message(pattern: &str, message: &str) -> bool {
    let mut parts = pattern.split(' ');
    let first = parts.next().unwrap_or_default();
    let start = if first.starts_with(|c: char| c.is_ascii_digit()) {
        format!("HTTP/1.1 {first}")
    } else {
        format!("{first} {}", parts.next().unwrap_or_default())
    };
    let matches_part = |part: &str| match part.strip_prefix('!') {
        Some(part) => !message.contains(part),
        None => message.contains(&part.replace("\\x20", " ").replace("\\x09", "\t")),
    };
    message.starts_with(&start) && parts.all(matches_part)
}

/// Serves each connection to a listener on a separate thread, for as long as the test runs.
pub fn serve_each(listener: TcpListener, serve: impl Fn(Peer) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let serve = serve.clone();
            std::thread::spawn(move || serve(Peer::new(stream)));
        }
    });
}

/// Waits for a connection; none after a timeout.
pub(crate) fn accept(listener: &TcpListener) -> Option<TcpStream> {
    listener.set_nonblocking(true).unwrap();
    let end = Instant::now() + TIMEOUT;
    while Instant::now() < end {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                return Some(stream);
            }
            Err(_) => std::thread::sleep(ACCEPT_POLL),
        }
    }
    None
}
