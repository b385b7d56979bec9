//! The route set: next hops as their sources list them, under the handles that the decisions use.

use pumiceway_decisions::api::{Entry, KindId, ListKind, Micros, WorkerId, WorkerState, ZoneId};
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
    WarmCopy(Vec<NextHop>),
    /// What has changed.
    Changes(Vec<NextHop>),
    /// It can't be heard; what it listed stands.
    Lost,
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

    pub(super) fn any_ready(&self) -> bool {
        self.hops().any(|h| h.state == WorkerState::Ready)
    }

    /// Takes the news in; `owed` names the handles that something may still come for.
    pub(super) fn apply(
        &mut self,
        source: Source,
        news: RouteNews,
        owed: impl Fn() -> HashSet<WorkerId>,
    ) -> Applied {
        let older = matches!(news, RouteNews::Older(_));
        let (kind, mut lines) = match news {
            RouteNews::Whole(lines) => (ListKind::Whole, lines),
            RouteNews::Older(mut lines) => {
                lines.iter_mut().for_each(|line| self.hold(line));
                (ListKind::Whole, lines)
            }
            RouteNews::WarmCopy(lines) => (ListKind::WarmCopy, lines),
            RouteNews::Changes(lines) => (ListKind::Changes, lines),
            RouteNews::Lost => return Applied { kind: ListKind::Lost, lines: vec![], reused: vec![] },
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
            changed = (0..self.hops.len())
                .filter(|&n| self.hops[n].line.state != WorkerState::Gone)
                .map(|n| WorkerId(n as u32))
                .collect();
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
        let line = &self.hops[hop.0 as usize].line;
        Entry {
            worker: hop,
            id: &line.name,
            zone: line.zone,
            kind: line.kind,
            cell: line.cell,
            state: line.state,
            ready_at: line.ready_at,
            size: line.size,
            warm: line.warm,
            jobs: line.jobs,
        }
    }
}
