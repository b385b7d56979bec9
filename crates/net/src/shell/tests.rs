mod sockets;

use super::*;
use bytes::Bytes;
use pumiceway_core::Transaction;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

/// A shell whose one next hop is at this address, and what it has yet to hear.
fn shell(address: &str) -> (Shell, mpsc::UnboundedReceiver<Heard>) {
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","seed":"7","known":{{"index":1,"snapshot":true,"endpoints":[
          {{"name":"w1","address":"{address}","zone":"z","type":"k","status":"ready"}}]}},"settings":{}}}"#,
        pumiceway_rig::SETTINGS
    );
    let config = Config::from_text(&text, "config", |_| None).unwrap();
    let (gate, heard) = Gate::new();
    let core = Core::new(config.settings, config.seed, Retention::default()).unwrap();
    let mut shell = Shell::new(Clock::start(), core, gate, config.conf.clone(), &config.sockets);
    let known = config.known.unwrap().hops(&config.conf);
    shell.feed(Event::Routes { source: Source::Discovery, since: 0, news: RouteNews::Whole(known) });
    (shell, heard)
}

fn job(n: u64) -> Job {
    Job { id: format!("t{n}"), path: "/c".into(), repeat_key: None, body: Bytes::new() }
}

/// A client that hands in a job, and where its answer comes.
fn waiting(n: u64, class: ClassId, left: Micros) -> (Heard, oneshot::Receiver<Answer>) {
    let (answer, answered) = oneshot::channel();
    let transaction = Transaction {
        class,
        left,
        slots: 1.0,
        memory: 0.0,
        tenant: None,
        job: Arc::new(job(n)),
        identity: None,
    };
    (Heard::Waiting { ticket: Ticket(n), transaction, answer, news: None }, answered)
}

fn submit(shell: &mut Shell, n: u64, left: Micros) -> oneshot::Receiver<Answer> {
    let (heard, answered) = waiting(n, ClassId(1), left);
    shell.hear(heard);
    answered
}

fn serve(stream: &mut TcpStream, id: &str) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        assert_eq!(stream.read(&mut byte).unwrap(), 1, "closed before {id}");
        head.push(byte[0]);
    }
    let line = format!("{{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"{id}\"}}\n");
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", line.len());
    stream.write_all((head + &line).as_bytes()).unwrap();
}

// Guards against two endings of one attempt, a place that is kept for one that is over, and a connection closed under
// the next import: its answer, its time and its client's leaving meet in each order.
#[test]
fn what_ends_an_attempt_first_is_its_end_and_leaves_nothing_behind() {
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum End {
        Done,
        Time,
        Leaving,
    }
    use End::*;
    let each = |order: [End; 2]| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let server = std::thread::spawn(move || {
            let mut stream = listener.accept().unwrap().0;
            stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
            serve(&mut stream, "t1");
            // The same connection.
            serve(&mut stream, "t2");
        });
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            let (mut shell, mut heard) = shell(&address);
            // Long enough for its answer to come before it is over, however late we are.
            let left = 2_000_000;
            let until = shell.clock.now() + left;
            let mut answered = submit(&mut shell, 1, left);
            assert_eq!((shell.branches.len(), shell.hops.len(), shell.waiting.len()), (1, 1, 1));
            // It is told, and the shell has not heard it.
            let told = heard.recv().await.unwrap();
            let mut told = Some(told);
            assert!(matches!(&told, Some(Heard::Event(Event::Ended { ending: Ending::Served(_), .. }))));
            for end in order {
                match end {
                    Done => shell.hear(told.take().unwrap()),
                    Time => {
                        std::thread::sleep(Duration::from_micros(until.saturating_sub(shell.clock.now())));
                        shell.feed(Event::Due);
                    }
                    Leaving => shell.feed(Event::Left { ticket: Ticket(1) }),
                }
                assert!(shell.branches.is_empty() && shell.waiting.is_empty(), "{order:?} {end:?}");
            }
            if let Some(told) = told {
                shell.hear(told);
            }
            let answer = answered.try_recv();
            match order[0] {
                Done => assert_eq!(answer, Ok(Answer::Served("t1".into())), "{order:?}"),
                Time => assert!(matches!(answer, Ok(Answer::Failed(_))), "{order:?}: {answer:?}"),
                Leaving => assert!(answer.is_err(), "{order:?}: {answer:?}"),
            }
            assert_eq!((shell.branches.len(), shell.hops.len(), shell.waiting.len()), (0, 1, 0));
            let overview = shell.core.overview();
            assert!(overview.classes.iter().all(|c| *c == (0, 0)), "{order:?}: {overview:?}");
            // Whatever was cut, the next one goes on the same connection and has its answer.
            let mut answered = submit(&mut shell, 2, 5_000_000);
            while let Err(oneshot::error::TryRecvError::Empty) = answered.try_recv().map(|a| {
                assert_eq!(a, Answer::Served("t2".into()), "{order:?}");
            }) {
                let told = tokio::time::timeout(Duration::from_secs(5), heard.recv()).await;
                shell.hear(told.expect("no answer").unwrap());
            }
            assert!(shell.branches.is_empty() && shell.waiting.is_empty(), "{order:?}");
        });
        server.join().unwrap();
    };
    std::thread::scope(|scope| {
        for order in
            [[Done, Time], [Time, Done], [Done, Leaving], [Leaving, Done], [Time, Leaving], [Leaving, Time]]
        {
            scope.spawn(move || each(order));
        }
    });
}
