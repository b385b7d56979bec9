//! Requests whose write deadline passes while the process is stalled.

use super::support::*;
use crate::upstream::PoolSettings;
use crate::upstream::client::WRITE_MARGIN;
use pumiceway_core::AttemptOutcome;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpListener;
use std::time::Duration;

// After the write deadline the endpoint may be draining, or the deduplication window may have
// ended. The outcome must not count against the endpoint, whether the connection is new or reused.
#[test]
fn request_is_not_written_after_its_write_deadline() {
    let run_case = |(is_reused, body_bytes)| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        // Long enough for the first request, and for a connection to be established once the
        // runtime polls its sockets again.
        let connect_timeout = Duration::from_secs(1);
        let client = client_with(
            &address,
            PoolSettings {
                connect_timeout,
                ..POOL
            },
        );
        block_on(async {
            let mut stream = None;
            if is_reused {
                let listener = listener.try_clone().unwrap();
                let endpoint = tokio::task::spawn_blocking(move || {
                    let mut accepted = listener.accept().unwrap().0;
                    read_request(&mut accepted);
                    accepted.write_all(completed("t0").as_bytes()).unwrap();
                    accepted
                });
                assert_eq!(
                    RunningAttempt::start(&client, &job("t0", body_bytes))
                        .end()
                        .await,
                    served("t0")
                );
                stream = Some(endpoint.await.unwrap());
                settle().await;
            }
            let late = RunningAttempt::start(&client, &job("t1", body_bytes));
            // Simulates a stalled process.
            std::thread::sleep(connect_timeout + WRITE_MARGIN + Duration::from_millis(20));
            assert_eq!(
                late.end().await,
                (AttemptOutcome::NotSent, None),
                "{is_reused} {body_bytes}"
            );
            let mut stream = stream.unwrap_or_else(|| listener.accept().unwrap().0);
            stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
            let read = stream.read(&mut [0; 4096]);
            let is_empty = matches!(&read, Ok(0))
                || read
                    .as_ref()
                    .is_err_and(|error| error.kind() == ErrorKind::ConnectionReset);
            assert!(is_empty, "{is_reused} {body_bytes}: {read:?}");
        });
    };
    std::thread::scope(|scope| {
        for case in [(false, 0), (false, 9), (true, 0), (true, 9)] {
            scope.spawn(move || run_case(case));
        }
    });
}
