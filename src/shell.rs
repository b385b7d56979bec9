//! The shell: carries out what the core asks for, and tells it what has become of it.

use crate::api::{Micros, Report, WorkerId};
use crate::config::Config;
use crate::core::Ticket;
use crate::core::{
    Answer, BranchId, Core, Effect, Ending, Event, Job, News, Reach, Retention, RouteNews, Source,
};
use crate::discovery::Watcher;
use crate::front::http::Front;
use crate::front::{Gate, Heard};
use crate::hop::{self, Hop, Keeping, Teller};
use crate::log;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::AbortHandle;

/// The module's clock: Unix time at the start, and from then on only forward.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    /// A clock that reads Unix time now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: unix.as_micros() as Micros }
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }

    fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.unix))
    }
}

/// Runs what the core asks for.
struct Shell {
    clock: Clock,
    core: Core,
    gate: Gate,
    keeping: Keeping,
    hops: HashMap<WorkerId, Hop>,
    branches: HashMap<BranchId, (hop::Branch, AbortHandle)>,
    waiting: HashMap<Ticket, (oneshot::Sender<Answer>, Option<mpsc::UnboundedSender<News>>)>,
    nudge: Arc<Notify>,
    ready: Arc<AtomicBool>,
    close: watch::Sender<bool>,
    alarm: Option<Micros>,
    exit: bool,
}

struct BranchTeller {
    gate: Gate,
    branch: BranchId,
}

impl Teller for BranchTeller {
    fn news(&self, news: News) {
        self.gate.tell(Event::News { branch: self.branch, news });
    }

    fn ended(&mut self, ending: Ending, report: Option<Report>) {
        self.gate.tell(Event::Ended { branch: self.branch, ending, report });
    }
}

/// Runs the dispatcher until it has been told to stop and all it had taken is answered.
pub async fn run(config: Config) -> std::io::Result<()> {
    let clock = Clock::start();
    let core = Core::new(config.settings.clone(), config.seed, Retention::default())
        .map_err(|e| std::io::Error::other(e.to_string()))?;
    let listener = TcpListener::bind(config.listen).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (gate, mut heard) = Gate::new();
    let (close, closing) = watch::channel(false);
    let limits = &config.conf.limits;
    let keeping = Keeping {
        connect: Duration::from_micros(match limits.connect_timeout_us {
            0 => 1_000_000,
            us => us,
        }),
        // Prevents: a request is written to a connection that the other side has just dropped as idle.
        idle: Duration::from_micros(match limits.conn_idle_us {
            0 => 5_000_000,
            us => us * 2 / 3,
        }),
        most_idle: (config.sockets.idle / 32).max(2),
    };
    let mut shell = Shell {
        clock,
        core,
        gate: gate.clone(),
        keeping,
        hops: HashMap::new(),
        branches: HashMap::new(),
        waiting: HashMap::new(),
        nudge: Arc::default(),
        ready: Arc::default(),
        close,
        alarm: None,
        exit: false,
    };
    let known =
        config.known.unwrap_or(crate::discovery::Listing { index: 0, snapshot: true, endpoints: vec![] });
    let index = known.index;
    let routes = |news| Event::Routes { source: Source::Discovery, news };
    shell.feed(routes(RouteNews::WarmCopy(known.hops(&config.conf))));
    let (tell, mut told) = mpsc::unbounded_channel();
    if let Some(address) = config.discovery {
        let (conf, nudge) = (config.conf.clone(), shell.nudge.clone());
        tokio::spawn(Watcher { address, conf, index, nudge, tell }.run());
    } else {
        drop(tell);
        shell.feed(routes(RouteNews::Changes(vec![])));
    }
    let front = Front { gate: gate.clone(), conf: config.conf.clone(), ready: shell.ready.clone() };
    let sockets = config.sockets;
    tokio::spawn(async move {
        front.serve(listener, sockets, closing).await;
        gate.tell(Event::FrontsClosed);
    });
    log!("{} listens at {}", config.name, config.listen);
    while !shell.exit {
        let alarm = shell.alarm.map(|at| tokio::time::Instant::from_std(clock.instant(at)));
        tokio::select! {
            Some(heard) = heard.recv() => shell.hear(heard),
            Some(news) = told.recv() => shell.feed(routes(news)),
            _ = tokio::time::sleep_until(alarm.unwrap_or_else(tokio::time::Instant::now)), if alarm.is_some() => {
                shell.alarm = None;
                shell.feed(Event::Due);
            }
            _ = terminate.recv() => shell.feed(Event::Terminate),
            _ = interrupt.recv() => shell.feed(Event::Terminate),
        }
    }
    Ok(())
}

impl Shell {
    fn hear(&mut self, heard: Heard) {
        match heard {
            Heard::Event(event) => {
                if let Event::Ended { branch, .. } = &event {
                    self.branches.remove(branch);
                }
                self.feed(event);
            }
            Heard::Waiting { ticket, transaction, answer, news } => {
                self.waiting.insert(ticket, (answer, news));
                self.feed(Event::Submitted { ticket, transaction });
            }
        }
    }

    fn feed(&mut self, event: Event) {
        if let Event::Left { ticket } = &event {
            self.waiting.remove(ticket);
        }
        let now = self.clock.now();
        for effect in self.core.reduce(now, event) {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Start { branch, hop, reach, class: _, job, left } => {
                self.start(branch, hop, &reach, &job, Duration::from_micros(left));
            }
            Effect::Cut { branch } => {
                if let Some((branch, task)) = self.branches.remove(&branch) {
                    branch.cut();
                    task.abort();
                }
            }
            Effect::Answer { ticket, answer } => {
                if let Some((waiting, _)) = self.waiting.remove(&ticket) {
                    // A client that has just left needs none.
                    let _ = waiting.send(answer);
                }
            }
            Effect::Tell { ticket, news } => {
                if let Some((_, Some(listener))) = self.waiting.get(&ticket) {
                    let _ = listener.send(news);
                }
            }
            Effect::Probe { hop, probe, reach } => {
                let Reach::Address(address) = reach else { return };
                let (client, gate) = (self.hop(hop, &address), self.gate.clone());
                tokio::spawn(async move {
                    let (status, report) = client.probe().await;
                    gate.tell(Event::Probed { hop, probe, status, report });
                });
            }
            Effect::Disconnect { hop } => drop(self.hops.remove(&hop)),
            Effect::Watch => self.nudge.notify_one(),
            Effect::Alarm { at } => self.alarm = Some(at),
            Effect::Ready => self.ready.store(true, Ordering::Relaxed),
            Effect::CloseFronts => drop(self.close.send(true)),
            Effect::Exit => self.exit = true,
            Effect::Log(line) => log!("{line}"),
        }
    }

    fn start(&mut self, branch: BranchId, hop: WorkerId, reach: &Reach, job: &Job, left: Duration) {
        let Reach::Address(address) = reach else { return };
        let teller = BranchTeller { gate: self.gate.clone(), branch };
        match self.hop(hop, address).branch(job, left, teller) {
            Ok((line, drive)) => {
                let task = tokio::spawn(drive).abort_handle();
                self.branches.insert(branch, (line, task));
            }
            Err(e) => {
                log!("hop {address}: {e}");
                self.gate.tell(Event::Ended { branch, ending: Ending::NotConnected, report: None });
            }
        }
    }

    /// The client of a next hop; a new one where its address has changed.
    fn hop(&mut self, hop: WorkerId, address: &str) -> Hop {
        let keeping = self.keeping;
        let client = self.hops.entry(hop).or_insert_with(|| Hop::new(address, keeping));
        if client.address() != address {
            *client = Hop::new(address, keeping);
        }
        client.clone()
    }
}
