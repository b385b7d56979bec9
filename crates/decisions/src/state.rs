//! The records that `balance.rs` keeps: plain data and averages, no decision.

use crate::api::*;
use crate::health::{Health, catch_up};
use crate::order::Round;
use std::collections::BTreeMap;

/// What a balancer remembers; all of it starts empty.
#[derive(Default)]
pub(crate) struct Memory {
    pub(crate) workers: Vec<Worker>,
    /// Every worker ever listed, in id order.
    pub(crate) by_id: Vec<WorkerId>,
    /// Workers with our work out, or suspected; and where the round of refreshing probes stands.
    pub(crate) watched: Vec<WorkerId>,
    pub(crate) refresh_at: usize,
    pub(crate) round: Round,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) held: Vec<RequestId>,
    pub(crate) last_request: Micros,
    /// When one that may be repeated last came.
    pub(crate) last_safe: Micros,
    /// How often a worker's report is refreshed, as repeats of it tell.
    pub(crate) report_period: f64,
    pub(crate) ask_at: Option<Micros>,
    pub(crate) ask_failures: u32,
    pub(crate) armed: Option<Micros>,
    /// When we last came back from standing still: what was silent before says nothing.
    pub(crate) awake: Micros,
    /// Connections unused for this long are not trusted until then; 0 for none.
    pub(crate) idle_limit: Micros,
    pub(crate) idle_limit_until: Micros,
    /// A job is out whose start is to be told yet.
    pub(crate) waiting_start: bool,
}

/// The workers open to a class in the order it tries them; the first `home` are the home-zone block.
#[derive(Default)]
pub(crate) struct Tag {
    /// Each with the number of its block.
    pub(crate) script: Vec<(u8, WorkerId)>,
    pub(crate) home: usize,
}

pub(crate) struct ClassBelief {
    pub(crate) run: f64,
    /// How many have been served: until one has, `run` is a guess.
    pub(crate) served: u32,
    /// What the first of them took together.
    pub(crate) first: f64,
    /// The longest time left that a request of this class came with: a first try's.
    pub(crate) most_left: Micros,
}

/// What is known of one worker.
#[derive(Default)]
pub(crate) struct Worker {
    pub(crate) id: String,
    pub(crate) zone: ZoneId,
    pub(crate) kind: KindId,
    pub(crate) cell: Option<u64>,
    pub(crate) size: f64,
    pub(crate) state: WorkerState,
    pub(crate) ready_at: Micros,
    pub(crate) listed: bool,
    pub(crate) warm: bool,
    /// Jobs that it takes at a time, where it keeps no queue.
    pub(crate) jobs: Option<u32>,
    /// In the list of watched workers.
    pub(crate) watched: bool,
    pub(crate) own: f64,
    pub(crate) own_memory: f64,
    pub(crate) own_count: usize,
    pub(crate) own_average: f64,
    pub(crate) own_at: Micros,
    pub(crate) others: f64,
    pub(crate) others_memory: f64,
    pub(crate) report_at: Micros,
    pub(crate) report: Report,
    /// What it ends for what it is in use.
    pub(crate) health: Health,
    pub(crate) full_until: Micros,
    /// Jobs in a row that it did not start at once, though it seemed to have room.
    pub(crate) late: u32,
    pub(crate) heard: Micros,
    /// When a job of ours last told or ended there, and when a connection was last used.
    pub(crate) answered: Micros,
    pub(crate) used: Micros,
    /// Failed: closed until then, when a probe asks again.
    pub(crate) bad_until: Option<Micros>,
    pub(crate) strikes: u32,
    /// When a probe last failed; and its last start as the list tells it.
    pub(crate) down_at: Micros,
    pub(crate) listed_start: Micros,
    /// Back from failure: one safe request at a time until it answers.
    pub(crate) trial: bool,
    pub(crate) probe_out: bool,
    pub(crate) probe_at: Micros,
    /// The same at every instance: shares out the turns; and its place for keys, of its id alone.
    pub(crate) salt: u64,
    pub(crate) place: u64,
    /// The last turn in which we sent to it while cold, and how much work.
    pub(crate) cold_turn: u64,
    pub(crate) cold_used: f64,
    /// When our jobs went there that have not told of their start, where workers tell.
    pub(crate) unstarted: Vec<Micros>,
}

/// Others' use of a worker is averaged over this time: one job's length would chase noise.
pub(crate) const OTHERS_SMOOTHING: f64 = 1_000_000.0;

/// One request until it is over.
pub(crate) struct Request {
    pub(crate) class: ClassId,
    /// When the client first asked, as far as the time left tells.
    pub(crate) start: Micros,
    pub(crate) deadline: Micros,
    pub(crate) slots: f64,
    pub(crate) memory: f64,
    pub(crate) work: Option<Micros>,
    pub(crate) key: Option<u64>,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) answered: bool,
    /// Probes sent for it.
    pub(crate) probes: u32,
}

/// One send of a request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) worker: WorkerId,
    pub(crate) sent: Micros,
    pub(crate) fate: Fate,
    pub(crate) started: bool,
    /// When it told of its start, once it has.
    pub(crate) began: Micros,
    /// When it was last heard of; and whether its slots were freed, its answer being overdue.
    pub(crate) heard: Micros,
    pub(crate) overdue: bool,
    /// How long our connections to the worker had been unused when it was sent.
    pub(crate) idle: Micros,
}

/// What is known of how an attempt ended.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

impl Worker {
    /// Brings the average of our own slots up to now.
    pub(crate) fn note_own(&mut self, now: Micros) {
        let weight = catch_up(now.saturating_sub(self.own_at) as f64, OTHERS_SMOOTHING);
        self.own_average += weight * (self.own - self.own_average);
        self.own_at = now;
    }
}
