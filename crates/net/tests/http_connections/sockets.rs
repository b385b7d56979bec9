//! Client sockets, and helpers that send and receive on them.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long a test waits for an expected event.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(8);
/// The shortest step of the frontend's clock.
pub const MILLISECOND: Duration = Duration::from_millis(1);
const OVERLOADED_STATUS: &str = "HTTP/1.1 503 ";

/// A request for the readiness of the dispatcher.
pub const READINESS_REQUEST: &[u8] = b"GET /-/ready HTTP/1.1\r\n\r\n";

/// A request with a chunked body.
pub const CHUNKED_REQUEST: &str = "POST /rate-push/k HTTP/1.1\r\nX-Txn: t1\r\nX-Remaining-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n";

/// A request with a `Content-Length`.
pub fn request(id: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /rate-push/k HTTP/1.1\r\nX-Txn: {id}\r\nX-Remaining-Ms: 5000\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream
}

/// Waits until `condition` holds. Panics with `failure` on a timeout.
pub fn wait_until(failure: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "{failure}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// The state of one end of a connection, according to the operating system.
struct SocketState {
    tcp_state: u8,
    /// Sent bytes that the other end has not acknowledged.
    unacknowledged: u32,
    /// Received bytes that the application has not read.
    unread: u32,
}

fn socket_state(local: SocketAddr, remote: SocketAddr) -> Option<SocketState> {
    let name = |address: SocketAddr| format!("0100007F:{:04X}", address.port());
    let hex = |text: &str| u32::from_str_radix(text, 16).unwrap();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (unacknowledged, unread) = fields.get(4)?.split_once(':')?;
        (fields[1..3] == [name(local), name(remote)]).then(|| SocketState {
            tcp_state: hex(fields[3]) as u8,
            unacknowledged: hex(unacknowledged),
            unread: hex(unread),
        })
    })
}

/// Waits until the frontend has read all bytes that were sent.
pub fn wait_until_all_is_read(stream: &TcpStream) {
    let (client, frontend) = (stream.local_addr().unwrap(), stream.peer_addr().unwrap());
    wait_until("the frontend has not read all bytes", || {
        matches!(
            (
                socket_state(client, frontend),
                socket_state(frontend, client)
            ),
            (
                Some(SocketState {
                    unacknowledged: 0,
                    ..
                }),
                Some(SocketState { unread: 0, .. })
            )
        )
    });
}

/// Waits until the client has received the end of the frontend's stream. Reads nothing.
pub fn wait_until_end_is_received(stream: &TcpStream) {
    const CLOSE_WAIT: u8 = 8;
    let (client, frontend) = (stream.local_addr().unwrap(), stream.peer_addr().unwrap());
    wait_until("the end of the stream is not received", || {
        socket_state(client, frontend).is_some_and(|socket| socket.tcp_state == CLOSE_WAIT)
    });
}

/// Waits until the frontend has ended its stream, even if the client has no buffer space for the
/// last bytes.
pub fn wait_until_end_is_sent(stream: &TcpStream) {
    const FIN_WAIT: [u8; 2] = [4, 5];
    let (client, frontend) = (stream.local_addr().unwrap(), stream.peer_addr().unwrap());
    wait_until("the frontend does not end its stream", || {
        socket_state(frontend, client).is_some_and(|socket| FIN_WAIT.contains(&socket.tcp_state))
    });
}

/// Waits until bytes are received, and leaves them unread.
pub fn wait_for_bytes(stream: &TcpStream) {
    let received = stream.peek(&mut [0]);
    assert!(matches!(received, Ok(1)), "{received:?}");
}

/// Asserts that no byte and no end of the stream is received yet.
pub fn assert_nothing_received(stream: &TcpStream) {
    stream.set_nonblocking(true).unwrap();
    let nothing = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    let is_nothing = |error: &std::io::Error| error.kind() == ErrorKind::WouldBlock;
    assert!(nothing.as_ref().is_err_and(is_nothing), "{nothing:?}");
}

/// Reads the head of a response, and nothing after it.
pub fn read_head(mut stream: &TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        head.extend(byte);
    }
    String::from_utf8(head).unwrap()
}

/// Reads to the end of the stream. Panics on a reset, which may discard bytes before it.
pub fn read_to_end(mut stream: &TcpStream) -> String {
    let mut text = Vec::new();
    let end = stream.read_to_end(&mut text);
    let text = String::from_utf8_lossy(&text).into_owned();
    assert!(end.is_ok(), "after {text:?}: {end:?}");
    text
}

pub fn assert_overloaded(response: &str) {
    assert!(
        response.starts_with(OVERLOADED_STATUS) && response.contains("retry-after: "),
        "{response:?}"
    );
}

/// Sends this many bytes of filler. Fails if the other end resets the connection.
pub fn send_filler(mut stream: &TcpStream, bytes: usize) -> std::io::Result<()> {
    (0..bytes >> 14).try_for_each(|_| stream.write_all(&[b'x'; 1 << 14]))
}

/// Sends filler and ends the stream. Panics if the frontend resets the connection: the reset that
/// the first bytes cause makes a later write fail.
pub fn send_filler_and_end(stream: &TcpStream) {
    send_filler(stream, 1 << 20).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
}
