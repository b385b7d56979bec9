//! The route set: next hops as their sources list them, under the handles that the decisions use.

use pumiceway_decisions::api::{Entry, KindId, ListKind, Micros, WorkerId, WorkerState, ZoneId};
use pumiceway_decisions::rules::{self, Contact, Denial, Lease, LeaseTerms};
use std::collections::{HashMap, HashSet};

/// Where to find a next hop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reach {
    /// At this address.
    Address(String),
    /// At the other end of this session, which it opened itself.
    Session(u64),
}

impl std::fmt::Display for Reach {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Reach::Address(address) => f.write_str(address),
            Reach::Session(session) => write!(f, "session {session}"),
        }
    }
}

/// Who lists next hops. What one source lists says nothing of another's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// The discovery service.
    Discovery,
    /// Sessions of Gearman workers.
    Gearman,
    /// Ephemeral nodes in ZooKeeper.
    ZooKeeper,
}

/// One line of the route set.
#[derive(Clone, Debug, PartialEq)]
pub struct NextHop {
    /// Its id, the same wherever it is.
    pub name: String,
    /// Where it is; may change.
    pub reach: Reach,
    /// Zone.
    pub zone: ZoneId,
    /// Machine kind.
    pub kind: KindId,
    /// Cell.
    pub cell: Option<u64>,
    /// State.
    pub state: WorkerState,
    /// When it last started; 0 for long ago.
    pub ready_at: Micros,
    /// Size beside others.
    pub size: f64,
    /// It has all its capacity from its start on.
    pub warm: bool,
    /// Jobs that it takes at a time, where it keeps no queue of its own.
    pub jobs: Option<u32>,
}

/// What a source tells.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteNews {
    /// All that it lists.
    Whole(Vec<NextHop>),
    /// All that it lists, at a version before one that it has told: it lags behind itself, or counts anew after a
    /// restart of its own.
    Older(Vec<NextHop>),
    /// All that it listed before a restart; may be out of date.
    Bootstrap(Vec<NextHop>),
    /// What has changed.
    Changes(Vec<NextHop>),
    /// What has changed since an older list.
    OlderChanges(Vec<NextHop>),
    /// Nothing has changed.
    Unchanged,
    /// It can't be heard; what it listed stands for as long as its lease.
    Lost(Contact),
}

impl RouteNews {
    /// What it says of whether the source's list is current; nothing where it is not the source's own word.
    pub(super) fn contact(&self) -> Option<Contact> {
        match self {
            RouteNews::Bootstrap(_) => None,
            RouteNews::Lost(contact) => Some(*contact),
            RouteNews::Older(_) | RouteNews::OlderChanges(_) => Some(Contact::Outdated),
            RouteNews::Whole(_) | RouteNews::Changes(_) | RouteNews::Unchanged => Some(Contact::Confirmed),
        }
    }
}

/// So many next hops that are gone are remembered, far more than leave while a list may lag behind. Prevents: where
/// every start brings a new name, memory grows for as long as the program runs.
const GONE_MOST: usize = 1_024;

#[derive(Default)]
pub(super) struct RouteSet {
    /// What each handle stands for.
    hops: Vec<Place>,
    handles: HashMap<String, WorkerId>,
    /// What a list that was up to date told to be draining or gone.
    left: HashSet<WorkerId>,
    /// How much news has come.
    count: u64,
    /// How long what each source has listed may be used.
    leases: Leases,
    /// Whether each lease was valid when the decisions were last told.
    usable: Leased<bool>,
}

/// One of each source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Leased<T> {
    discovery: T,
    gearman: T,
    zookeeper: T,
}

type Leases = Leased<Lease>;

impl<T> Leased<T> {
    fn of(&self, source: Source) -> &T {
        match source {
            Source::Discovery => &self.discovery,
            Source::Gearman => &self.gearman,
            Source::ZooKeeper => &self.zookeeper,
        }
    }

    fn of_mut(&mut self, source: Source) -> &mut T {
        match source {
            Source::Discovery => &mut self.discovery,
            Source::Gearman => &mut self.gearman,
            Source::ZooKeeper => &mut self.zookeeper,
        }
    }
}

impl Leases {
    fn valid(&self, now: Micros) -> Leased<bool> {
        Leased {
            discovery: self.discovery.valid(now),
            gearman: self.gearman.valid(now),
            zookeeper: self.zookeeper.valid(now),
        }
    }

    fn all(&self) -> [Lease; 3] {
        [self.discovery, self.gearman, self.zookeeper]
    }
}

struct Place {
    source: Source,
    line: NextHop,
    /// Gone since so much news had come; `None` too while the news that tells so is taken in.
    gone: Option<u64>,
}

/// What comes of news.
pub(super) struct Applied {
    pub(super) kind: ListKind,
    /// The lines that the decisions are to be told of.
    pub(super) lines: Vec<WorkerId>,
    /// Handles that stand for another next hop from now on.
    pub(super) reused: Vec<WorkerId>,
}

impl RouteSet {
    pub(super) fn reach(&self, hop: WorkerId) -> Option<&Reach> {
        self.hops.get(hop.0 as usize).map(|p| &p.line.reach)
    }

    pub(super) fn hops(&self) -> impl Iterator<Item = &NextHop> {
        self.hops.iter().map(|p| &p.line)
    }

    /// The lists of this source expire from now on, by these terms, and those of its former address soon.
    pub(super) fn set_terms(&mut self, now: Micros, source: Source, terms: LeaseTerms) {
        self.leases.of_mut(source).set_terms(now, terms);
    }

    /// When the lease on what this source lists ends, if it is not renewed.
    pub(super) fn lease_end(&self, source: Source) -> Option<Micros> {
        self.leases.of(source).expires()
    }

    /// When the next of the leases that are valid expires, if it is not renewed.
    pub(super) fn next_expiry(&self, now: Micros) -> Option<Micros> {
        let valid = self.leases.all().into_iter().filter(|lease| lease.valid(now));
        valid.filter_map(|lease| lease.expires()).min()
    }

    /// Whether any source has a list that may be used.
    pub(super) fn any_valid(&self, now: Micros) -> bool {
        self.leases.all().iter().any(|lease| lease.valid(now))
    }

    /// Whether what may be used has changed since the decisions were last told; then all that is listed, for them.
    pub(super) fn review(&mut self, now: Micros) -> Option<Vec<WorkerId>> {
        let usable = self.leases.valid(now);
        (std::mem::replace(&mut self.usable, usable) != usable).then(|| self.listed())
    }

    fn listed(&self) -> Vec<WorkerId> {
        let listed = (0..self.hops.len()).filter(|&n| self.hops[n].line.state != WorkerState::Gone);
        listed.map(|n| WorkerId(n as u32)).collect()
    }

    /// Whether anything new may go to an endpoint, and until when its first byte may be written.
    pub(super) fn permission(&self, now: Micros, hop: WorkerId) -> Result<Option<Micros>, Denial> {
        let place = self.hops.get(hop.0 as usize).ok_or(Denial::UnknownEndpoint)?;
        rules::endpoint_permission(now, place.line.state, self.leases.of(place.source))
    }

    /// Zone and cell of an endpoint.
    pub(super) fn place(&self, hop: WorkerId) -> (ZoneId, Option<u64>) {
        self.hops.get(hop.0 as usize).map(|p| (p.line.zone, p.line.cell)).unwrap_or_default()
    }

    /// Takes in what a source has let us know of its list, at this time or later.
    pub(super) fn note_contact(&mut self, source: Source, since: Micros, contact: Contact) {
        self.leases.of_mut(source).note(since, contact);
    }

    /// Takes the news in; `owed` names the handles that something may still come for.
    pub(super) fn apply(
        &mut self,
        source: Source,
        news: RouteNews,
        owed: impl Fn() -> HashSet<WorkerId>,
    ) -> Applied {
        let older = matches!(news, RouteNews::Older(_) | RouteNews::OlderChanges(_));
        let (kind, mut lines) = match news {
            RouteNews::Whole(lines) => (ListKind::Whole, lines),
            RouteNews::Older(mut lines) => {
                lines.iter_mut().for_each(|line| self.hold(line));
                (ListKind::Whole, lines)
            }
            RouteNews::Bootstrap(lines) => (ListKind::Bootstrap, lines),
            RouteNews::Changes(lines) => (ListKind::Changes, lines),
            RouteNews::OlderChanges(mut lines) => {
                lines.iter_mut().for_each(|line| self.hold(line));
                (ListKind::Changes, lines)
            }
            RouteNews::Unchanged => {
                return Applied { kind: ListKind::Changes, lines: vec![], reused: vec![] };
            }
            RouteNews::Lost(_) => return Applied { kind: ListKind::Lost, lines: vec![], reused: vec![] },
        };
        let whole = kind != ListKind::Changes;
        if whole {
            for (n, place) in self.hops.iter_mut().enumerate().filter(|(_, p)| p.source == source) {
                place.line.state = WorkerState::Gone;
                if !older {
                    self.left.insert(WorkerId(n as u32));
                }
            }
        }
        // Prevents: a name that comes back has lost its handle to one that stands before it in the same list.
        lines.sort_by_cached_key(|line| !self.handles.contains_key(&line.name));
        let (mut changed, mut reused) = (Vec::new(), Vec::new());
        let mut spare: Option<Vec<WorkerId>> = None;
        for line in lines {
            let handle = match self.handles.get(&line.name).copied() {
                // Prevents: one source takes over what another lists under the same name.
                Some(h) if self.hops[h.0 as usize].source != source => continue,
                Some(h) => {
                    self.hops[h.0 as usize].line = line;
                    h
                }
                None => {
                    let old = spare.get_or_insert_with(|| self.spare(owed())).pop();
                    let handle = old.unwrap_or(WorkerId(self.hops.len() as u32));
                    self.handles.insert(line.name.clone(), handle);
                    let place = Place { source, line, gone: None };
                    match old {
                        Some(h) => {
                            let before = std::mem::replace(&mut self.hops[h.0 as usize], place);
                            self.handles.remove(&before.line.name);
                            self.left.remove(&h);
                            reused.push(h);
                        }
                        None => self.hops.push(place),
                    }
                    handle
                }
            };
            let ready = self.hops[handle.0 as usize].line.state == WorkerState::Ready;
            if ready {
                self.left.remove(&handle);
            } else if !older {
                self.left.insert(handle);
            }
            changed.push(handle);
        }
        self.note_gone();
        if whole {
            // A whole list stands for every source: what the others list is told along with it.
            changed = self.listed();
        }
        Applied { kind, lines: changed, reused }
    }

    /// Handles for new names, the one to take first at the end: of the next hops that were gone before this news, all
    /// but the last to leave, and none that anything may come for. Prevents: what comes late for one that is gone, or
    /// what is remembered of it, is laid to another.
    fn spare(&self, owed: HashSet<WorkerId>) -> Vec<WorkerId> {
        let gone = |(n, place): (usize, &Place)| {
            let since = place.gone.filter(|_| place.line.state == WorkerState::Gone)?;
            Some((since, WorkerId(n as u32)))
        };
        let mut gone: Vec<_> = self.hops.iter().enumerate().filter_map(gone).collect();
        gone.sort();
        gone.truncate(gone.len().saturating_sub(GONE_MOST));
        gone.into_iter().rev().map(|(_, hop)| hop).filter(|hop| !owed.contains(hop)).collect()
    }

    fn note_gone(&mut self) {
        self.count += 1;
        for place in &mut self.hops {
            let gone = place.line.state == WorkerState::Gone;
            place.gone = gone.then_some(place.gone.unwrap_or(self.count));
        }
    }

    /// Prevents: a list that is out of date takes back that a next hop drains or is gone, and it is sent to although
    /// we were told. It is ready again once it has started anew, or by what is up to date or has changed since.
    fn hold(&self, line: &mut NextHop) {
        let Some(handle) = self.handles.get(&line.name).filter(|h| self.left.contains(h)) else { return };
        let known = &self.hops[handle.0 as usize].line;
        if line.state == WorkerState::Ready && known.ready_at >= line.ready_at {
            (line.state, line.ready_at) = (known.state, known.ready_at);
        }
    }

    pub(super) fn entry(&self, hop: WorkerId) -> Entry<'_> {
        let Place { source, line, .. } = &self.hops[hop.0 as usize];
        let state = match line.state {
            WorkerState::Ready if !self.usable.of(*source) => WorkerState::Unconfirmed,
            state => state,
        };
        Entry {
            worker: hop,
            id: &line.name,
            zone: line.zone,
            kind: line.kind,
            cell: line.cell,
            state,
            ready_at: line.ready_at,
            size: line.size,
            warm: line.warm,
            jobs: line.jobs,
        }
    }
}
