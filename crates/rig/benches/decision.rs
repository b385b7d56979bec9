//! What a decision, a list read anew and a report cost, by the number of next hops, in a small fleet and in a large
//! one. Run with `cargo bench -p pumiceway-rig`.

use pumiceway_decisions::Balancer;
use pumiceway_decisions::api::*;
use pumiceway_rig::fleet::{Day, MS, Plan, Site, settings};
use std::time::{Duration, Instant};

const TIMES: u64 = 20_000;

struct Play {
    balancer: Balancer,
    names: Vec<String>,
    now: Micros,
    out: Vec<Action>,
}

impl Play {
    fn event(&mut self, event: Event) -> Duration {
        self.out.clear();
        let start = Instant::now();
        self.balancer.handle(self.now, event, &mut self.out);
        start.elapsed()
    }

    fn list(&mut self) -> Duration {
        let names = std::mem::take(&mut self.names);
        let entries: Vec<Entry> = (names.iter().enumerate())
            .map(|(n, id)| Entry {
                worker: WorkerId(n as u32),
                id,
                zone: ZoneId(n % 3),
                kind: KindId(0),
                cell: None,
                state: WorkerState::Ready,
                ready_at: 0,
                size: 1.0,
                warm: false,
                jobs: None,
            })
            .collect();
        let took = self.event(Event::List { kind: ListKind::Whole, entries: &entries });
        drop(entries);
        self.names = names;
        took
    }

    fn report(&mut self, worker: WorkerId) -> Duration {
        let report = Some(Report { free_slots: Some(3.0), free_memory: Some(3.0), ..Report::default() });
        self.event(Event::Probed(Probed { worker, status: Status::Ok, latency: MS, report }))
    }
}

fn main() -> Result<(), SettingsError> {
    println!("instances  next hops  decision us  of that asking us  list us  report us");
    for instances in [3, 300] {
        for hops in [10, 60, 200] {
            let plan = Plan { site: Site::Asked, instances, hops, day: Day::Calm, seed: 1, planted: None };
            let mut play = Play {
                balancer: Balancer::new(settings(plan, 1), 7)?,
                names: (0..hops).map(|n| format!("s-{n:03}")).collect(),
                now: 1_000_000 * MS,
                out: Vec::new(),
            };
            let lists: Duration = (0..200).map(|_| play.list()).sum();
            let (mut decisions, mut asked, mut reports) = (Duration::ZERO, Duration::ZERO, Duration::ZERO);
            for n in 0..TIMES {
                play.now += 100 * MS;
                let job = Incoming {
                    request: RequestId(n),
                    class: ClassId(0),
                    left: 3_000 * MS,
                    slots: 1.0,
                    memory: 0.0,
                    work: None,
                    tenant: None,
                    key: Some(n * n % 97),
                };
                let mut took = play.event(Event::Request(job));
                loop {
                    let (mut probe, mut sent) = (None, None);
                    for action in &play.out {
                        match action {
                            Action::Probe { worker } => probe = Some(*worker),
                            Action::Send { worker, .. } => sent = Some(*worker),
                            _ => {}
                        }
                    }
                    if let Some(worker) = sent {
                        let (status, latency, closed, report) = (Status::Ok, MS, true, None);
                        let request = RequestId(n);
                        let over = Outcome { request, attempt: 0, worker, status, latency, closed, report };
                        play.event(Event::Outcome(over));
                        break;
                    }
                    let Some(worker) = probe else { break };
                    let more = play.report(worker);
                    asked += more;
                    took += more;
                }
                decisions += took;
                reports += play.report(WorkerId((n % hops as u64) as u32));
            }
            let us = |all: Duration, of: u64| all.as_secs_f64() * 1e6 / of as f64;
            println!(
                "{instances:9}  {hops:9}  {:11.2}  {:17.2}  {:7.1}  {:9.2}",
                us(decisions, TIMES),
                us(asked, TIMES),
                us(lists, 200),
                us(reports, TIMES)
            );
        }
    }
    Ok(())
}
