//! Clients that leave right after a request, with much behind it that the dispatcher has not read,
//! and later send the same request again.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// How long a client waits for its response when it has come again.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);
/// Clients leave after a time within these limits, while their job runs.
const MIN_STAY_MS: u64 = 3;
const MAX_STAY_MS: u64 = 8;

/// A request whose client left and came again. Its class is the non-idempotent one.
#[derive(Clone, Debug)]
pub struct Departure {
    /// Its `X-Txn`.
    pub id: String,
    /// When its client left.
    pub left_at: Instant,
    /// When its client sent it again.
    pub returned_at: Instant,
}

/// Ids that begin with a name.
pub fn request_ids(name: &str, count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("{name}-{number}"))
        .collect()
}

/// Sends these requests and leaves, each with this many bytes behind it, so many clients at the same
/// time. Returns when each client left.
pub fn leave(
    address: SocketAddr,
    ids: &[String],
    excess_bytes: usize,
    clients: usize,
) -> Vec<(String, Instant)> {
    let excess = vec![b'x'; excess_bytes];
    in_parallel(clients, ids, |id| {
        let mut stream = TcpStream::connect(address).ok()?;
        stream.write_all(request(id).as_bytes()).ok()?;
        std::thread::sleep(Duration::from_millis(fastrand::u64(
            MIN_STAY_MS..MAX_STAY_MS,
        )));
        stream.set_nonblocking(true).ok()?;
        // As much as the system takes. Together with the request it would make the request invalid.
        let _ = stream.write(&excess);
        drop(stream);
        Some((id.clone(), Instant::now()))
    })
}

/// Sends the requests again and waits for the responses, so many clients at the same time.
pub fn come_again(
    address: SocketAddr,
    departed: Vec<(String, Instant)>,
    clients: usize,
) -> Vec<Departure> {
    in_parallel(clients, &departed, |(id, left_at)| {
        let returned_at = Instant::now();
        let mut stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).ok()?;
        stream.write_all(request(id).as_bytes()).ok()?;
        match stream.read(&mut [0; 256]) {
            Err(error) if error.kind() != ErrorKind::ConnectionReset => return None,
            _ => {}
        }
        Some(Departure {
            id: id.clone(),
            left_at: *left_at,
            returned_at,
        })
    })
}

fn request(id: &str) -> String {
    format!(
        "POST /booking-import/k HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Remaining-Ms: 3000\r\n\
         Content-Length: 1\r\n\r\nx"
    )
}

/// Applies a function to all items, some of them at the same time.
fn in_parallel<T: Sync, R: Send>(
    threads: usize,
    items: &[T],
    apply: impl Fn(&T) -> Option<R> + Sync,
) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let work = || {
        let taken = std::iter::from_fn(|| items.get(next.fetch_add(1, Ordering::Relaxed)));
        taken.filter_map(&apply).collect::<Vec<R>>()
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        let results = threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap());
        results.collect()
    })
}
