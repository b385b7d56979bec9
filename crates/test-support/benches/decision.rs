//! Measures the time of a decision, of an endpoint list and of a load report, by the number of
//! endpoints, in a small and in a large fleet. Run with `cargo bench -p pumiceway-test-support`.

use pumiceway_decisions::Balancer;
use pumiceway_decisions::api::*;
use pumiceway_test_support::fleet::{Deployment, Disruption, Plan, settings};
use std::time::{Duration, Instant};

const DECISIONS: u64 = 20_000;
const LISTS: u64 = 200;
const MILLISECOND: Duration = Duration::from_millis(1);
/// The time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const ZONES: usize = 3;

struct Bench {
    balancer: Balancer,
    names: Vec<String>,
    now: Timestamp,
    actions: Vec<Action>,
}

/// The processing time of a request.
struct DecisionCost {
    total: Duration,
    /// The share of it that was spent on load reports of health checks.
    reports: Duration,
}

impl Bench {
    fn new(instances: usize, endpoints: usize) -> Result<Bench, SettingsError> {
        let plan = Plan {
            deployment: Deployment::Polled,
            instances,
            endpoints,
            disruption: Disruption::None,
            seed: 1,
            injected_fault: None,
        };
        Ok(Bench {
            balancer: Balancer::new(settings(plan, 1), 7)?,
            names: (0..endpoints).map(|n| format!("s-{n:03}")).collect(),
            now: Timestamp::ORIGIN + 1_000_000 * MILLISECOND,
            actions: Vec::new(),
        })
    }

    /// Passes an event to the balancer. Returns how long it took.
    fn handle(&mut self, event: Event) -> Duration {
        self.actions.clear();
        let start = Instant::now();
        self.balancer.handle(self.now, event, &mut self.actions);
        start.elapsed()
    }

    fn handle_list(&mut self) -> Duration {
        let names = std::mem::take(&mut self.names);
        let entries: Vec<EndpointEntry> = names.iter().enumerate().map(entry).collect();
        let elapsed = self.handle(Event::EndpointList {
            kind: ListKind::Snapshot,
            entries: &entries,
        });
        drop(entries);
        self.names = names;
        elapsed
    }

    fn handle_report(&mut self, endpoint: EndpointId) -> Duration {
        let report = Some(LoadReport {
            free_slots: Some(3.0),
            free_memory: Some(3.0),
            ..LoadReport::default()
        });
        self.handle(Event::HealthChecked(HealthCheckResult {
            endpoint,
            outcome: Outcome::Success,
            latency: MILLISECOND,
            report,
        }))
    }

    /// Completes all health checks of a request, and serves it at the endpoint that it is sent to.
    fn handle_request(&mut self, number: u64) -> DecisionCost {
        let mut cost = DecisionCost {
            total: self.handle(Event::RequestArrived(request(number))),
            reports: Duration::ZERO,
        };
        loop {
            if let Some(endpoint) = self.send_target() {
                self.handle(Event::AttemptEnded(success(number, endpoint)));
                return cost;
            }
            let Some(endpoint) = self.health_check_target() else {
                return cost;
            };
            let elapsed = self.handle_report(endpoint);
            cost.reports += elapsed;
            cost.total += elapsed;
        }
    }

    fn send_target(&self) -> Option<EndpointId> {
        let mut latest_first = self.actions.iter().rev();
        latest_first.find_map(|action| match action {
            Action::Send { endpoint, .. } => Some(*endpoint),
            _ => None,
        })
    }

    fn health_check_target(&self) -> Option<EndpointId> {
        let mut latest_first = self.actions.iter().rev();
        latest_first.find_map(|action| match action {
            Action::CheckHealth { endpoint } => Some(*endpoint),
            _ => None,
        })
    }
}

fn entry((index, name): (usize, &String)) -> EndpointEntry<'_> {
    EndpointEntry {
        endpoint: EndpointId(index as u32),
        name,
        zone: ZoneId(index % ZONES),
        kind: KindId(0),
        functions: FunctionSet::empty(),
        cell: None,
        state: EndpointState::Ready,
        started_at: Timestamp::ORIGIN,
        relative_size: 1.0,
        skips_slow_start: false,
        max_concurrent: None,
    }
}

fn request(number: u64) -> IncomingRequest {
    IncomingRequest {
        request: RequestId(number),
        class: ClassId(0),
        function: None,
        remaining: 3_000 * MILLISECOND,
        slots: 1.0,
        memory: 0.0,
        work_hint: None,
        tenant: None,
        affinity_key: Some(number * number % 97),
    }
}

fn success(number: u64, endpoint: EndpointId) -> AttemptResult {
    AttemptResult {
        request: RequestId(number),
        attempt_index: 0,
        endpoint,
        outcome: Outcome::Success,
        latency: MILLISECOND,
        request_done: true,
        report: None,
    }
}

fn mean_us(total: Duration, count: u64) -> f64 {
    total.as_secs_f64() * 1e6 / count as f64
}

fn run(instances: usize, endpoints: usize) -> Result<(), SettingsError> {
    let mut bench = Bench::new(instances, endpoints)?;
    let lists: Duration = (0..LISTS).map(|_| bench.handle_list()).sum();
    let mut decisions = Duration::ZERO;
    let mut health_checks = Duration::ZERO;
    let mut reports = Duration::ZERO;
    for number in 0..DECISIONS {
        bench.now += REQUEST_INTERVAL;
        let cost = bench.handle_request(number);
        decisions += cost.total;
        health_checks += cost.reports;
        reports += bench.handle_report(EndpointId((number % endpoints as u64) as u32));
    }
    println!(
        "{instances:9}  {endpoints:9}  {:11.2}  {:24.2}  {:7.1}  {:9.2}",
        mean_us(decisions, DECISIONS),
        mean_us(health_checks, DECISIONS),
        mean_us(lists, LISTS),
        mean_us(reports, DECISIONS)
    );
    Ok(())
}

fn main() -> Result<(), SettingsError> {
    println!("instances  endpoints  decision us  of that health checks us  list us  report us");
    for instances in [3, 300] {
        for endpoints in [10, 60, 200] {
            run(instances, endpoints)?;
        }
    }
    Ok(())
}
