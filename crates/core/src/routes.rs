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

#[derive(Default)]
pub(super) struct RouteSet {
    hops: Vec<(Source, NextHop)>,
    handles: HashMap<String, WorkerId>,
    /// What a list that was up to date told to be draining or gone.
    left: HashSet<WorkerId>,
}

impl RouteSet {
    pub(super) fn reach(&self, hop: WorkerId) -> Option<&Reach> {
        self.hops.get(hop.0 as usize).map(|(_, h)| &h.reach)
    }

    pub(super) fn hops(&self) -> impl Iterator<Item = &NextHop> {
        self.hops.iter().map(|(_, h)| h)
    }

    pub(super) fn any_ready(&self) -> bool {
        self.hops().any(|h| h.state == WorkerState::Ready)
    }

    /// Takes the news in; the lines that the decisions are to be told of, and as what.
    pub(super) fn apply(&mut self, source: Source, news: RouteNews) -> (ListKind, Vec<WorkerId>) {
        let older = matches!(news, RouteNews::Older(_));
        let (kind, lines) = match news {
            RouteNews::Whole(lines) => (ListKind::Whole, lines),
            RouteNews::Older(mut lines) => {
                lines.iter_mut().for_each(|line| self.hold(line));
                (ListKind::Whole, lines)
            }
            RouteNews::WarmCopy(lines) => (ListKind::WarmCopy, lines),
            RouteNews::Changes(lines) => (ListKind::Changes, lines),
            RouteNews::Lost => return (ListKind::Lost, Vec::new()),
        };
        let whole = kind != ListKind::Changes;
        if whole {
            for (n, (_, hop)) in self.hops.iter_mut().enumerate().filter(|(_, (s, _))| *s == source) {
                hop.state = WorkerState::Gone;
                if !older {
                    self.left.insert(WorkerId(n as u32));
                }
            }
        }
        let mut changed: Vec<WorkerId> = Vec::new();
        for line in lines {
            let known = self.handles.get(&line.name).copied();
            let handle = known.unwrap_or(WorkerId(self.hops.len() as u32));
            match known {
                // Prevents: one source takes over what another lists under the same name.
                Some(h) if self.hops[h.0 as usize].0 != source => continue,
                Some(h) => self.hops[h.0 as usize].1 = line,
                None => {
                    self.handles.insert(line.name.clone(), handle);
                    self.hops.push((source, line));
                }
            }
            let ready = self.hops[handle.0 as usize].1.state == WorkerState::Ready;
            if ready {
                self.left.remove(&handle);
            } else if !older {
                self.left.insert(handle);
            }
            changed.push(handle);
        }
        if whole {
            // A whole list stands for every source: what the others list is told along with it.
            changed = (0..self.hops.len())
                .filter(|&n| self.hops[n].1.state != WorkerState::Gone)
                .map(|n| WorkerId(n as u32))
                .collect();
        }
        (kind, changed)
    }

    /// Prevents: a list that is out of date takes back that a next hop drains or is gone, and it is sent to although
    /// we were told. It is ready again once it has started anew, or by what is up to date or has changed since.
    fn hold(&self, line: &mut NextHop) {
        let Some(handle) = self.handles.get(&line.name).filter(|h| self.left.contains(h)) else { return };
        let known = &self.hops[handle.0 as usize].1;
        if line.state == WorkerState::Ready && known.ready_at >= line.ready_at {
            (line.state, line.ready_at) = (known.state, known.ready_at);
        }
    }

    pub(super) fn entry(&self, hop: WorkerId) -> Entry<'_> {
        let line = &self.hops[hop.0 as usize].1;
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
