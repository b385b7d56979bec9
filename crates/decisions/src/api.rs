//! The whole interface of the decision module: settings, events and actions.
//!
//! The host hands out integer handles for requests and workers; classes, zones and machine kinds are
//! indices into the settings. The decisions can therefore not depend on what anything is called. The
//! id text of a worker serves list order only.
//!
//! All times are microseconds on the host's own clock, which starts anywhere and only advances.

/// Microseconds: a point on the host's clock, or a span of it.
pub type Micros = u64;

/// Host-chosen handle of a request; never used twice by one [`Balancer`](crate::Balancer).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Host-chosen handle of a worker; small, dense from 0, and the same for as long as the id is the same. Once a worker is
/// gone, no probe of it is out and no open request was sent to it, the host may give its handle to another id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);

/// Index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassId(pub usize);

/// Index of a zone, below [`Settings::zones`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneId(pub usize);

/// Index of a machine kind, below [`Settings::kinds`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindId(pub usize);

/// Index into [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);

/// One of those who share the workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second in its share, over all instances together.
    pub quota: f64,
}

/// The workers that recognise and drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every worker.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeating is harmless.
    Safe,
    /// Repeats are dropped by `group`, for `window` from the first send that may have run.
    Keyed {
        /// Who drops a repeat.
        group: Group,
        /// For how long.
        window: Micros,
    },
    /// Must never run twice.
    Unsafe,
}

/// One class of request; each class is one tag of the script.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// What repeating a request may do.
    pub effect: Effect,
    /// Worth of a request (or of a unit of its work) answered in time.
    pub worth: f64,
    /// An answer within this time, plus `stretch` times the request's own work, earns the worth.
    pub aim: Micros,
    /// Share of the request's own work by which the aim grows.
    pub stretch: f64,
    /// Total time a client waits over all its tries.
    pub deadline: Micros,
    /// Workers start what waits in order of priority, highest first; 0 for all where they keep another order.
    pub priority: u32,
    /// How long a request may wait for its start; `None`: for as long as the aim is believed to be met.
    pub wait: Option<Micros>,
    /// The only zones that the class may be sent to; `None`: any. An empty list allows nobody.
    pub zones: Option<Vec<ZoneId>>,
    /// The only machine kinds that the class may be sent to; `None`: any. An empty list allows nobody.
    pub kinds: Option<Vec<KindId>>,
}

/// Prices that the decisions weigh, in shares of the mean worth of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// For sending a request across zones once.
    pub cross_zone: f64,
    /// For one probe a request.
    pub probe: f64,
}

/// Where load reports come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportVia {
    /// With outcomes and with probe results.
    Answers,
    /// With probe results only.
    Probe,
    /// From nowhere.
    None,
}

/// What the deployment tells a balancer at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This instance's number among `instances`, from 0.
    pub me: usize,
    /// How many instances there are.
    pub instances: usize,
    /// Number of zones.
    pub zones: usize,
    /// The zone of this instance, if it has one.
    pub my_zone: Option<ZoneId>,
    /// Number of machine kinds.
    pub kinds: usize,
    /// The classes of request.
    pub classes: Vec<Class>,
    /// Who shares the workers; nobody in particular where empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of its class's worth.
    pub over_share_worth: f64,
    /// Prices.
    pub prices: Prices,
    /// Where load reports come from.
    pub report_via: ReportVia,
    /// The worker list must be asked for; otherwise its changes arrive unasked.
    pub list_by_asking: bool,
    /// An instance that has not asked for this long counts as told.
    pub ask_within: Micros,
    /// Nothing new goes to a worker later than this after its instance was told that it drains or is gone.
    pub drain_grace: Micros,
    /// Probing is allowed.
    pub probes: bool,
    /// Cancelling an attempt is allowed.
    pub cancel: bool,
    /// A request may have two attempts out at once.
    pub second_copies: bool,
    /// Clients are told how long to stay away.
    pub retry_after: bool,
    /// The longest such advice that clients heed.
    pub max_retry_after: Micros,
    /// Attempts that one request may have.
    pub max_attempts: usize,
    /// A connection not made within this time has failed: so long after it is decided an attempt may arrive.
    pub connect_timeout: Micros,
    /// A connection unused for this long closes; 0 where that is not known.
    pub connection_idle: Micros,
    /// The shortest time between two calls of the balancer.
    pub resolution: Micros,
    /// Workers tell when a job starts.
    pub tells_start: bool,
    /// Interval of progress notes; 0 for none.
    pub progress_every: Micros,
    /// A restarted worker has at least this share of its capacity.
    pub cold_from: f64,
    /// And the whole of it after this time.
    pub cold_for: Micros,
    /// A cold worker falls over when sent more than this multiple of its present capacity ...
    pub tip_multiple: f64,
    /// ... over a window of this length.
    pub fall_window: Micros,
    /// Requests that may be held at once; the least worth of them is refused for one more. 0: no bound here.
    pub held_most: usize,
}

impl Settings {
    /// Whether these settings can work at all.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        let range = |what, index, count| match index < count {
            true => Ok(()),
            false => Err(SettingsError::OutOfRange { what, index, count }),
        };
        range("instance", self.me, self.instances)?;
        if let Some(zone) = self.my_zone {
            range("zone", zone.0, self.zones)?;
        }
        for class in &self.classes {
            for zone in class.zones.iter().flatten() {
                range("zone of a class", zone.0, self.zones)?;
            }
            for kind in class.kinds.iter().flatten() {
                range("kind of a class", kind.0, self.kinds)?;
            }
        }
        Ok(())
    }
}

impl Class {
    /// Whether placement allows the class on a worker of this zone and kind.
    pub fn open_to(&self, zone: ZoneId, kind: KindId) -> bool {
        self.zones.as_ref().is_none_or(|open| open.contains(&zone))
            && self.kinds.as_ref().is_none_or(|open| open.contains(&kind))
    }
}

/// Settings that cannot work.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// There is nothing to dispatch.
    #[error("the settings name no class of request")]
    NoClasses,
    /// No request could ever be sent.
    #[error("the settings allow no attempt for a request")]
    NoAttempts,
    /// An index points outside its table.
    #[error("{what} {index} is out of range: there are {count}")]
    OutOfRange {
        /// What the index names.
        what: &'static str,
        /// The index.
        index: usize,
        /// The size of its table.
        count: usize,
    },
    /// A figure that makes no sense.
    #[error("{0} is not usable")]
    Unusable(&'static str),
}

/// State of a worker on the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// Takes work.
    Ready,
    /// Listed, but nobody has confirmed that the list is current: nothing new goes there.
    Unconfirmed,
    /// Finishes what it has; nothing new goes there.
    Draining,
    /// Removed.
    #[default]
    Gone,
}

/// One line of the worker list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry<'a> {
    /// Handle.
    pub worker: WorkerId,
    /// Id text: list order only.
    pub id: &'a str,
    /// Zone.
    pub zone: ZoneId,
    /// Machine kind.
    pub kind: KindId,
    /// Cell: workers that share what they know of keys.
    pub cell: Option<u64>,
    /// State.
    pub state: WorkerState,
    /// When the process last started; 0 for long ago.
    pub ready_at: Micros,
    /// Size beside other workers, without unit; 0 where it is not known.
    pub size: f64,
    /// It has all its capacity from its start on, whenever that was.
    pub warm: bool,
    /// Jobs of any size that it takes at a time, turning further ones away; `None`: it queues them.
    pub jobs: Option<u32>,
}

/// What a list event holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines only.
    Changes,
    /// The whole list.
    Whole,
    /// The whole list as last held before a restart; may be out of date.
    Bootstrap,
    /// A call failed or the subscription broke; the old list stands.
    Lost,
}

/// A load report; values that the deployment does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests the worker holds, waiting ones included.
    pub in_flight: Option<f64>,
    /// Requests waiting.
    pub waiting: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory.
    pub free_memory: Option<f64>,
    /// Requests it serves each second.
    pub rate: Option<f64>,
    /// How busy its cores are: 0 to about 1.
    pub busy: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The worker answered with an error; it may have run.
    Error,
    /// Turned away unseen; it has not run.
    Full,
    /// No answer in time; it may have run or still be running.
    Timeout,
    /// No connection; it has not run.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Status {
    /// Whether this outcome proves that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Status::Full | Status::ConnectFailed | Status::Moot)
    }
}

/// What a running job tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// It has started.
    Started,
    /// This share of it is done.
    Progress(f64),
}

/// A request that has come in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Incoming {
    /// Its handle, new.
    pub request: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Time until the client gives this try up.
    pub left: Micros,
    /// Slots it takes.
    pub slots: f64,
    /// Memory it takes.
    pub memory: f64,
    /// Hint of its work, as time on a standard core.
    pub work: Option<Micros>,
    /// Whose it is; `None` where there are no tenants, or for one that belongs to none of them.
    pub tenant: Option<TenantId>,
    /// What it is about, where that is known: a worker that has just done the like is quicker.
    pub key: Option<u64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0 in the order of the sends.
    pub attempt: usize,
    /// The worker.
    pub worker: WorkerId,
    /// How it ended.
    pub status: Status,
    /// Time since the send.
    pub latency: Micros,
    /// The request has its final answer, by this or earlier.
    pub closed: bool,
    /// Load report that came along.
    pub report: Option<Report>,
}

/// News of an attempt that is still out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: usize,
    /// The worker.
    pub worker: WorkerId,
    /// What it tells.
    pub note: Note,
}

/// What a probe found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Probed {
    /// The worker.
    pub worker: WorkerId,
    /// How it ended.
    pub status: Status,
    /// Time since the probe went out.
    pub latency: Micros,
    /// Load report that came along.
    pub report: Option<Report>,
}

/// What the host tells the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// News of the worker list. The first event of a new instance is its list.
    List {
        /// What the lines are.
        kind: ListKind,
        /// The lines.
        entries: &'a [Entry<'a>],
    },
    /// A request has come in; one final answer is owed for it.
    Request(Incoming),
    /// An attempt ended; every send gets exactly one of these.
    Outcome(Outcome),
    /// News of an attempt that is still out.
    Note(Progress),
    /// The client has left; nothing is owed any more.
    Gone {
        /// The request.
        request: RequestId,
    },
    /// The time of a request is over and it has no final answer yet: one is owed at once.
    Expired {
        /// The request.
        request: RequestId,
    },
    /// A probe ended; every probe gets exactly one of these.
    Probed(Probed),
    /// The wake-up asked for by [`Action::Wake`] is due.
    Wake,
}

/// What the balancer wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where it goes.
        worker: WorkerId,
        /// Give the attempt up after this time; `None`: when the client gives up.
        timeout: Option<Micros>,
    },
    /// Stop waiting for one attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: usize,
    },
    /// Final answer: not served, and trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client had better stay away.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, nothing is promised about its effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Check a worker; an [`Event::Probed`] answers.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Close our unused connections to a worker; the next send opens a new one.
    Disconnect {
        /// The worker.
        worker: WorkerId,
    },
    /// Ask the list service for changes from now on; an [`Event::List`] answers.
    Subscribe,
    /// Call again with [`Event::Wake`] after this time; replaces any earlier wake-up.
    Wake {
        /// From now.
        after: Micros,
    },
    /// A line for the operators.
    Log(String),
}
