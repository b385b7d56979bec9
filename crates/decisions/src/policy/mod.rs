//! All decisions of pumiceway. The interface (settings, events, actions) stands in `api.rs`; the records kept
//! of workers and requests, plain data, in `state.rs`.
//!
//! Reading order: script, validity, cold, placement, life, belief, probes.
//! The mechanism is that of Allocation Priority Policies; each departure is named so where it stands.

mod belief;
mod cold;
mod life;
mod placement;
mod probes;
mod script;
mod validity;

use crate::api::*;
use crate::state::*;

/// Decides for one dispatcher. Every instance is on its own: it knows what its events have told it.
pub struct Balancer {
    s: Settings,
    rng: fastrand::Rng,
    m: Memory,
    /// The script: a tag for each class.
    tags: Vec<Tag>,
}

impl Balancer {
    /// A balancer that knows no worker yet; `seed` drives its few random choices.
    pub fn new(settings: Settings, seed: u64) -> Result<Balancer, SettingsError> {
        settings.check()?;
        let (rng, m) = (fastrand::Rng::with_seed(seed), Memory::new(&settings, probes::SAVED));
        let tags = settings.classes.iter().map(|_| Tag::default()).collect();
        Ok(Balancer { s: settings, rng, m, tags })
    }

    /// Takes one event and appends what is to be done, in this order. Handles of workers must have been on
    /// a list and indices must be in range; events for requests that have ended are ignored.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        // Prevents: after a stall the clock has jumped, and answers in the backlog look lost.
        if self.m.armed.is_some_and(|at| now > at + self.tick_length()) {
            self.m.awake = now;
        }
        match event {
            Event::List { kind, entries } => self.on_list(now, kind, entries),
            Event::Request(e) => self.on_request(now, e, out),
            Event::Outcome(e) => self.on_outcome(now, e, out),
            Event::Note(e) => self.on_note(now, e, out),
            Event::Gone { request } => self.close(request, out),
            Event::Expired { request } => self.give_up(now, request, out),
            Event::Probed(e) => self.on_probed(now, e, out),
            Event::Wake => {
                self.m.armed = None;
                self.tick(now, out);
            }
        }
        let pause = match self.m.requests.is_empty() {
            true => 4 * self.tick_length(),
            false if self.m.waiting_start => self.prompt().min(self.tick_length()),
            false => self.tick_length(),
        };
        if self.m.armed.is_none_or(|at| at > now + pause) {
            self.m.armed = Some(now + pause);
            out.push(Action::Wake { after: pause });
        }
    }

    fn on_list(&mut self, now: Micros, kind: ListKind, entries: &[Entry]) {
        match kind {
            ListKind::Bootstrap if self.s.list_by_asking => {
                self.m.ask_at = Some(now + self.rng.u64(0..=self.s.ask_within / 4));
            }
            ListKind::Lost => {
                let wait = (self.s.ask_within / 8) << self.m.ask_failures.min(2);
                self.m.ask_failures += 1;
                self.m.ask_at = Some(now + wait / 2 + self.rng.u64(0..=wait));
            }
            _ => self.m.ask_failures = 0,
        }
        if self.m.last_safe == 0 {
            self.m.last_safe = now;
        }
        self.m.merge(now, kind, entries);
        self.rebuild_script();
    }

    /// Time in which an idle worker answers a probe or tells of a start.
    fn prompt(&self) -> Micros {
        2 * self.s.resolution + (2.0 * self.m.probe_time) as Micros
    }

    fn tick_length(&self) -> Micros {
        let aim = self.s.classes.iter().map(|c| c.aim).min().unwrap_or(0);
        (aim / 4).clamp(20_000, 100_000)
    }

    fn asks(&self) -> bool {
        self.s.probes && self.s.report_via != ReportVia::None
    }

    /// Instances outnumber workers: none sees much of any worker, and what reports show others see as well.
    fn thin(&self) -> bool {
        self.asks() && self.many()
    }

    /// The same where nobody may be asked.
    fn unasked(&self) -> bool {
        !self.asks() && self.many()
    }

    fn many(&self) -> bool {
        self.tags.iter().all(|t| t.script.len() < self.s.instances)
    }
}
