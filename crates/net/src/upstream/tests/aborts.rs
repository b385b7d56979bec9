//! Attempts that are aborted before their request is written, and connections that are established
//! after their attempt has ended.

use super::support::*;
use crate::upstream::PoolSettings;
use pumiceway_core::AttemptOutcome;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::mpsc;
use std::time::Duration;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::timeout;

// When the attempt is aborted, its request is queued on a reused or a new connection but not
// written yet. It must not be written later, whether or not the attempt's future is dropped with
// the abort.
#[test]
fn request_of_an_attempt_aborted_before_the_write_is_never_written() {
    for (is_reused, is_dropped) in [(false, true), (false, false), (true, true), (true, false)] {
        let (endpoint, mut control) = scripted_endpoint();
        let server = std::thread::spawn(move || {
            let mut stream = endpoint.accept();
            if is_reused {
                read_request(&mut stream);
                stream.write_all(completed("a").as_bytes()).unwrap();
            }
            endpoint.pause_at("connected");
            read_rest(stream)
        });
        block_on(async {
            let client = client(&control.address);
            if is_reused {
                assert_eq!(
                    RunningAttempt::start(&client, &job("a", 9)).end().await,
                    served("a")
                );
                control.wait_for("connected").await;
                settle().await;
            }
            let observer = RecordingObserver::default();
            let (connection, attempt) = client
                .attempt(&job("b", 9), options(TEST_TIMEOUT), observer.clone())
                .unwrap();
            let mut attempt = Box::pin(attempt);
            assert!(!poll_once(&mut attempt.as_mut()).await);
            if !is_reused {
                // The connection is established, but the runtime has not polled it yet.
                control.block_until("connected");
            }
            connection.abort();
            if is_dropped {
                drop(attempt);
            } else {
                // The future completes without an outcome.
                timeout(TEST_TIMEOUT, attempt)
                    .await
                    .expect("the attempt does not end");
            }
            settle().await;
            control.resume();
            assert_eq!(observer.outcomes(), []);
        });
        assert_eq!(server.join().unwrap(), "", "{is_reused} {is_dropped}");
    }
}

// After an attempt was aborted or its connect timeout has passed, its connection must not be
// established any more.
#[test]
fn connecting_stops_with_an_abort_and_with_the_connect_timeout() {
    for connect_timeout in [TEST_TIMEOUT, Duration::from_millis(100)] {
        let (listener, filler) = listener_with_full_backlog();
        let address = listener.local_addr().unwrap().to_string();
        block_on(async {
            let client = client_with(
                &address,
                PoolSettings {
                    connect_timeout,
                    ..POOL
                },
            );
            let attempt = RunningAttempt::start(&client, &job("a", 9));
            settle().await;
            if connect_timeout == TEST_TIMEOUT {
                assert!(!attempt.task.is_finished());
                // The event loop aborts attempts in the same way.
                attempt.connection.abort();
                attempt.task.abort();
                assert!(attempt.task.await.unwrap_err().is_cancelled());
                assert!(attempt.ends.try_recv().is_err());
            } else {
                assert_eq!(attempt.end().await, (AttemptOutcome::ConnectFailed, None));
            }
            // Frees the backlog for a retransmitted SYN.
            drop(listener.accept().unwrap());
            drop(filler);
            let listener = tokio::net::TcpListener::from_std({
                listener.set_nonblocking(true).unwrap();
                listener
            })
            .unwrap();
            let late = timeout(Duration::from_millis(1_300), listener.accept()).await;
            assert!(late.is_err(), "connection was established: {late:?}");
        });
    }
}

// An attempt that waits for a new connection is sent on one that becomes idle first. The new
// connection must be pooled when it is established, carry nothing meanwhile, and serve the next
// attempt that needs a connection.
#[test]
fn new_connection_that_its_attempt_no_longer_needs_is_pooled() {
    let (listener, filler) = listener_with_full_backlog();
    let address = listener.local_addr().unwrap().to_string();
    let (step_sender, mut steps) = unbounded_channel();
    let (resume, resumed) = mpsc::channel::<()>();
    let server = std::thread::spawn(move || {
        // With the filler accepted, the next connection is that of the first attempt.
        drop((listener.accept().unwrap(), filler));
        let mut first = listener.accept().unwrap().0;
        // Fills the backlog again, so that the connection of the second attempt has to wait.
        let filler = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        read_request(&mut first);
        step_sender.send(()).unwrap();
        resumed.recv().unwrap();
        first.write_all(completed("a").as_bytes()).unwrap();
        read_request(&mut first);
        first.write_all(completed("b").as_bytes()).unwrap();
        drop((listener.accept().unwrap(), filler));
        let mut late = listener.accept().unwrap().0;
        step_sender.send(()).unwrap();
        resumed.recv().unwrap();
        late.set_nonblocking(true).unwrap();
        assert_eq!(
            late.read(&mut [0]).unwrap_err().kind(),
            ErrorKind::WouldBlock
        );
        late.set_nonblocking(false).unwrap();
        step_sender.send(()).unwrap();
        for stream in [&mut first, &mut late] {
            stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        }
        let heads = [read_request(&mut first), read_request(&mut late)];
        for (stream, head) in [&mut first, &mut late].into_iter().zip(heads) {
            let id = if head.contains("x-txn: c") { "c" } else { "d" };
            stream.write_all(completed(id).as_bytes()).unwrap();
        }
    });
    block_on(async {
        let client = client(&address);
        let start = |id| RunningAttempt::start(&client, &job(id, 9));
        let a = start("a");
        steps.recv().await.unwrap();
        let b = start("b");
        settle().await;
        resume.send(()).unwrap();
        assert_eq!((a.end().await, b.end().await), (served("a"), served("b")));
        steps.recv().await.unwrap();
        settle().await;
        resume.send(()).unwrap();
        steps.recv().await.unwrap();
        let (c, d) = (start("c"), start("d"));
        assert_eq!((c.end().await, d.end().await), (served("c"), served("d")));
    });
    server.join().unwrap();
}
