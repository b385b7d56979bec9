//! What a decision, a list read anew and a report cost, by the number of next hops, in a small
//! fleet and in a large one. Run with `cargo bench -p pumiceway-test-support`.

use pumiceway_decisions::Balancer;
use pumiceway_decisions::api::*;
use pumiceway_test_support::fleet::{Day, Plan, Site, settings};
use std::time::{Duration, Instant};

const TIMES: u64 = 20_000;
const MS: Duration = Duration::from_millis(1);

struct Play {
    balancer: Balancer,
    names: Vec<String>,
    now: Timestamp,
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
        let entries: Vec<EndpointEntry> = (names.iter().enumerate())
            .map(|(n, name)| EndpointEntry {
                endpoint: EndpointId(n as u32),
                name,
                zone: ZoneId(n % 3),
                kind: KindId(0),
                cell: None,
                state: EndpointState::Ready,
                started_at: Timestamp::ORIGIN,
                relative_size: 1.0,
                starts_warm: false,
                max_concurrent: None,
            })
            .collect();
        let took = self.event(Event::EndpointList {
            kind: ListKind::Snapshot,
            entries: &entries,
        });
        drop(entries);
        self.names = names;
        took
    }

    fn report(&mut self, endpoint: EndpointId) -> Duration {
        let report = Some(LoadReport {
            free_slots: Some(3.0),
            free_memory: Some(3.0),
            ..LoadReport::default()
        });
        self.event(Event::HealthChecked(HealthCheckResult {
            endpoint,
            outcome: Outcome::Success,
            latency: MS,
            report,
        }))
    }
}

fn main() -> Result<(), SettingsError> {
    println!("instances  next hops  decision us  of that asking us  list us  report us");
    for instances in [3, 300] {
        for endpoints in [10, 60, 200] {
            let plan = Plan {
                site: Site::Asked,
                instances,
                endpoints,
                day: Day::Calm,
                seed: 1,
                planted: None,
            };
            let mut play = Play {
                balancer: Balancer::new(settings(plan, 1), 7)?,
                names: (0..endpoints).map(|n| format!("s-{n:03}")).collect(),
                now: Timestamp::ORIGIN + 1_000_000 * MS,
                out: Vec::new(),
            };
            let lists: Duration = (0..200).map(|_| play.list()).sum();
            let (mut decisions, mut asked, mut reports) =
                (Duration::ZERO, Duration::ZERO, Duration::ZERO);
            for n in 0..TIMES {
                play.now += 100 * MS;
                let job = IncomingRequest {
                    request: RequestId(n),
                    class: ClassId(0),
                    remaining: 3_000 * MS,
                    slots: 1.0,
                    memory: 0.0,
                    work_hint: None,
                    tenant: None,
                    affinity_key: Some(n * n % 97),
                };
                let mut took = play.event(Event::RequestArrived(job));
                loop {
                    let (mut probe, mut sent) = (None, None);
                    for action in &play.out {
                        match action {
                            Action::CheckHealth { endpoint } => probe = Some(*endpoint),
                            Action::Send { endpoint, .. } => sent = Some(*endpoint),
                            _ => {}
                        }
                    }
                    if let Some(endpoint) = sent {
                        let (outcome, latency, request_done, report) =
                            (Outcome::Success, MS, true, None);
                        let request = RequestId(n);
                        let over = AttemptResult {
                            request,
                            attempt_index: 0,
                            endpoint,
                            outcome,
                            latency,
                            request_done,
                            report,
                        };
                        play.event(Event::AttemptEnded(over));
                        break;
                    }
                    let Some(endpoint) = probe else { break };
                    let more = play.report(endpoint);
                    asked += more;
                    took += more;
                }
                decisions += took;
                reports += play.report(EndpointId((n % endpoints as u64) as u32));
            }
            let us = |all: Duration, of: u64| all.as_secs_f64() * 1e6 / of as f64;
            println!(
                "{instances:9}  {endpoints:9}  {:11.2}  {:17.2}  {:7.1}  {:9.2}",
                us(decisions, TIMES),
                us(asked, TIMES),
                us(lists, 200),
                us(reports, TIMES)
            );
        }
    }
    Ok(())
}
