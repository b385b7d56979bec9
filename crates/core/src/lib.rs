//! The core: transactions, branches, route set, timers, drain state and the decisions, behind one reducer.
//!
//! It knows no wire, no socket and no clock. What happens outside comes in as an [`Event`] with the time;
//! what is to be done outside goes out as [`Effect`]s, whose results come back as events.

mod kept;
mod reducer;
mod routes;
mod spent;

pub use kept::{Identity, Retention};
pub use reducer::Core;
pub use routes::{NextHop, Reach, RouteNews, Source};

use bytes::Bytes;
use pumiceway_decisions::api::{ClassId, Micros, Report, Status, TenantId, WorkerId};
use pumiceway_decisions::rules::Contact;
use std::sync::Arc;

/// A client that waits for the answer to a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// One branch: an attempt to have a transaction done by a next hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BranchId(pub u64);

/// What is to be done, as it is passed on to next hops.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The id that the client gave it.
    pub id: String,
    /// Path and query.
    pub path: String,
    /// What next hops know a repeat of it by, passed on byte for byte with each branch.
    pub repeat_key: Option<String>,
    /// Body.
    pub body: Bytes,
}

impl Job {
    /// What it is about, as a number: the last part of a path that has more than the class.
    pub fn key(&self) -> Option<u64> {
        let path = self.path.split('?').next().unwrap_or_default().trim_matches('/');
        let (_, key) = path.rsplit_once('/')?;
        Some(key.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)))
    }
}

/// A transaction as a front hands it in.
#[derive(Clone, Debug)]
pub struct Transaction {
    /// Its class.
    pub class: ClassId,
    /// Time until the client stops waiting.
    pub left: Micros,
    /// Slots it takes.
    pub slots: f64,
    /// Memory it takes.
    pub memory: f64,
    /// Whose it is.
    pub tenant: Option<TenantId>,
    /// What is to be done.
    pub job: Arc<Job>,
    /// What its client calls it by when it comes again: it then joins the transaction that is running, or
    /// gets the kept answer.
    pub identity: Option<Identity>,
}

/// The final answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// What a next hop made of it.
    Served(Bytes),
    /// Busy answer: it has not run, or may run again; trying again is harmless.
    Busy {
        /// How long the client had better stay away.
        retry_after: Option<Micros>,
    },
    /// Failed; it may have run.
    Failed(&'static str),
    /// Not taken, and not to be tried again as it is; it has not run.
    Rejected(Rejection),
}

impl Answer {
    /// Its sort, in a word.
    pub fn word(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Busy { .. } => "busy",
            Answer::Failed(_) => "failed",
            Answer::Rejected(_) => "rejected",
        }
    }
}

/// Why a transaction is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Its id belongs to another one that is open, with other content.
    IdInUse,
    /// A next hop can't make anything of it.
    Unusable,
}

impl Rejection {
    /// In words.
    pub fn why(self) -> &'static str {
        match self {
            Rejection::IdInUse => "the id is in use",
            Rejection::Unusable => "no next hop can use it",
        }
    }
}

/// News of a branch that is still out.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// The job has started.
    Started,
    /// This share of it is done.
    Share(f64),
    /// Part of what it makes, for the client.
    Data(Bytes),
    /// A warning for the client.
    Warning(Bytes),
}

/// How a branch ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Done, with this result.
    Served(Bytes),
    /// The next hop failed at it; it may have run.
    Error,
    /// The next hop says that the job is wrong, as any other would.
    Unusable,
    /// Turned away or handed back; it has not run.
    TurnedAway,
    /// It provably never reached the next hop.
    NotConnected,
    /// There was nothing to try it with here: it never ran, and that says nothing of the next hop.
    NotTried,
    /// The connection ended before the result; it may have run.
    Reset,
    /// The same before any answer, on a connection kept from an earlier one: the next hop may be well.
    KeptReset,
    /// Not waited for any longer; it may have run or may yet.
    TimedOut,
}

impl Ending {
    /// Its sort, in a word.
    pub fn word(&self) -> &'static str {
        match self {
            Ending::Served(_) => "served",
            Ending::Error => "error",
            Ending::Unusable => "unusable",
            Ending::TurnedAway => "turned away",
            Ending::NotConnected => "not connected",
            Ending::NotTried => "not tried",
            Ending::Reset => "reset",
            Ending::KeptReset => "reset when kept",
            Ending::TimedOut => "timed out",
        }
    }
}

/// How things stand, for those who look after the dispatcher.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overview {
    /// For each class, transactions that run, and those of them with a branch out.
    pub classes: Vec<(usize, usize)>,
    /// The route set.
    pub hops: Vec<NextHop>,
    /// Answers kept for clients that come again.
    pub kept: usize,
}

/// What happened.
#[derive(Debug)]
pub enum Event {
    /// A client has handed in a transaction.
    Submitted {
        /// The client.
        ticket: Ticket,
        /// What it wants.
        transaction: Transaction,
    },
    /// A client has left without its answer.
    Left {
        /// The client.
        ticket: Ticket,
    },
    /// News of a branch.
    News {
        /// The branch.
        branch: BranchId,
        /// What it tells.
        news: News,
    },
    /// A branch has ended.
    Ended {
        /// The branch.
        branch: BranchId,
        /// How.
        ending: Ending,
        /// The load report that came along.
        report: Option<Report>,
    },
    /// A probe has ended.
    Probed {
        /// The next hop.
        hop: WorkerId,
        /// Number of the probe.
        probe: u64,
        /// How.
        status: Status,
        /// The load report that came along.
        report: Option<Report>,
    },
    /// News of the route set.
    Routes {
        /// Who tells.
        source: Source,
        /// The earliest time at which it can have been so: see [`pumiceway_decisions::rules::Lease::note`].
        since: Micros,
        /// What it tells.
        news: RouteNews,
    },
    /// The same from where the source was before a new configuration: it confirms nothing any more.
    FormerRoutes {
        /// Who tells.
        source: Source,
        /// What it tells.
        news: RouteNews,
    },
    /// What this source lists is used only while it confirms that, from now on.
    Expires {
        /// Which source.
        source: Source,
    },
    /// The configuration has been read, at the start or again.
    Configured {
        /// Where discovery is.
        discovery: Option<String>,
        /// Version of the list that is known from there; without one the whole list comes first.
        index: Option<u64>,
        /// Keys that take a restart to change, and have changed.
        needs_restart: Vec<String>,
    },
    /// The time asked for by [`Effect::Alarm`] has come.
    Due,
    /// The dispatcher is to stop.
    Terminate,
    /// No connection of a client is left.
    FrontsClosed,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Start a branch; news of it and one ending come back.
    Start {
        /// The branch.
        branch: BranchId,
        /// Which attempt of its request this is, from 0.
        attempt: usize,
        /// The next hop.
        hop: WorkerId,
        /// Where it is.
        reach: Reach,
        /// Class of the job.
        class: ClassId,
        /// What it is to do.
        job: Arc<Job>,
        /// How long it will be waited for.
        left: Micros,
        /// On a connection of its own.
        fresh: bool,
        /// No byte of it is written after this time, if given.
        not_after: Option<Micros>,
    },
    /// Stop waiting for a branch, and close its connection; nothing comes back.
    Cut {
        /// The branch.
        branch: BranchId,
    },
    /// Give a client its final answer.
    Answer {
        /// The client.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
    },
    /// Pass news on to a client.
    Tell {
        /// The client.
        ticket: Ticket,
        /// The news.
        news: News,
    },
    /// Probe a next hop; one result comes back.
    Probe {
        /// The next hop.
        hop: WorkerId,
        /// Number of the probe, to come back with its result.
        probe: u64,
        /// Where it is.
        reach: Reach,
    },
    /// Close the idle connections to a next hop.
    Disconnect {
        /// The next hop.
        hop: WorkerId,
    },
    /// Watch the discovery service at this address, and no other once it has been heard there.
    WatchAt {
        /// Where it is.
        address: String,
        /// Version of the list that is known from there; without one the whole list comes first.
        index: Option<u64>,
    },
    /// Send [`Event::Due`] at this time; replaces any earlier one.
    Alarm {
        /// When.
        at: Micros,
    },
    /// Requests can be served from now on.
    Ready,
    /// Take no new connection, and close those of clients as they fall idle.
    CloseFronts,
    /// All that was taken is answered: end the program.
    Exit,
    /// Tell those who look after the dispatcher what a source's word, or failure, made of the lease on its list.
    LeaseNoted {
        /// Whose list.
        source: Source,
        /// What came of it.
        contact: Contact,
        /// When the lease ends, unless it is renewed; `None` where none holds or it does not end.
        ends: Option<Micros>,
    },
    /// Tell those who look after the dispatcher.
    Warn {
        /// What is the matter.
        what: &'static str,
        /// With what.
        detail: String,
    },
}
