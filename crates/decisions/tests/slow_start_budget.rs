//! The budget of an endpoint in slow start, shared by dispatchers that do not communicate.
//!
//! The tests sum the work that all dispatchers send to the endpoint over a sliding window.

mod common;
use common::*;
use pumiceway_decisions::api::*;
use std::time::Duration;

/// The class of the request that arrives at a dispatcher in a step, if one does. Called once for
/// every [`STEP`].
type Traffic = fn(instance_index: usize, age: Duration) -> Option<usize>;

const STEP: Duration = Duration::from_millis(20);

/// Slots of each endpoint.
const SLOTS: f64 = 4.0;

/// Start time of the endpoint in slow start; the warm-up of all dispatchers ends before it.
const STARTED_AT: Timestamp =
    Timestamp::from_micros(START.as_micros() + 1_000_000 * MS.as_micros() as u64);

/// Samples of a normal distribution, in arbitrary order.
const NORMAL_SAMPLES: [f64; 10] = [0.4, -0.7, 1.5, -0.1, -1.5, 0.1, -1.0, 0.7, -0.4, 1.0];

/// A number of dispatchers with their traffic, running times and load reports.
struct Scenario {
    instance_count: usize,
    /// The running time of the requests of each class.
    run_times: Vec<Duration>,
    traffic: Traffic,
    /// Scale of the noise in the free slots that an idle endpoint reports, relative to its slots.
    report_noise: f64,
    /// Ratio of running time to work hint; `None`: requests have no work hint.
    slowdown: Option<u32>,
    /// Work hints vary widely between requests.
    varied_hints: bool,
    /// How long requests were queued at the endpoint before they ran, during the warm-up.
    queue_time: Duration,
}

/// Work that was sent to the endpoint.
struct SentWork {
    /// Time since the start of the endpoint.
    age: Duration,
    run_time: Duration,
}

/// The result of a scenario.
struct BudgetUse {
    /// The largest work within any window, as a share of the budget.
    largest_window_share: f64,
    /// Total work as a share of the endpoint's capacity during slow start.
    utilization: f64,
}

impl Scenario {
    fn run(&self) -> BudgetUse {
        let settings = self.settings();
        let mut hosts: Vec<TestHost> = (0..self.instance_count)
            .map(|instance_index| {
                self.warmed_up_host(Settings {
                    instance_index,
                    ..settings.clone()
                })
            })
            .collect();
        let mut sent = Vec::new();
        let step_count = settings.slow_start_duration.as_micros() / STEP.as_micros();
        for step in 0..step_count as usize {
            let age = STEP * step as u32;
            for (instance_index, host) in hosts.iter_mut().enumerate() {
                host.now = STARTED_AT + age;
                host.work_hint = self.work_hint(instance_index + step);
                host.reported_free = self.reported_free(instance_index + step);
                let class = (self.traffic)(instance_index, age);
                for run_time in self.run_step(host, class) {
                    sent.push(SentWork { age, run_time });
                }
            }
        }
        budget_use(&settings, &sent)
    }

    fn settings(&self) -> Settings {
        let run_times = self.run_times.iter();
        Settings {
            classes: run_times.map(|_| class(Idempotency::Idempotent)).collect(),
            instance_count: self.instance_count,
            kind_count: 2,
            reports_start: true,
            slow_start_share: 0.15,
            slow_start_duration: 17_000 * MS,
            overload_multiple: 1.5,
            overload_window: 1_500 * MS,
            ..settings(Idempotency::Idempotent)
        }
    }

    /// Fires the timer, submits a request of this class and carries out the actions. Returns the
    /// running times of the requests that were sent.
    fn run_step(&self, host: &mut TestHost, class: Option<usize>) -> Vec<Duration> {
        let mut run_times = Vec::new();
        let mut actions = host.handle(Event::TimerFired);
        if let Some(class) = class {
            actions.extend(host.submit(class, 1.0).1);
        }
        let mut position = 0;
        while position < actions.len() {
            match actions[position] {
                Action::CheckHealth { endpoint } => {
                    actions.extend(host.report_free(endpoint.0, host.reported_free));
                }
                Action::Send { request, .. } => {
                    let run_time = self.run_time(host, request);
                    run_times.push(run_time);
                    // Succeeds at once, so that only the budget limits what is sent.
                    actions.extend(host.attempt_succeeded(request, 0, run_time));
                }
                _ => {}
            }
            position += 1;
        }
        run_times
    }

    /// The running time of a request on the endpoint.
    fn run_time(&self, host: &TestHost, request: RequestId) -> Duration {
        let run_time_of_class = self.run_times[host.class_of(request)];
        host.work_hint_of(request).unwrap_or(run_time_of_class) * self.slowdown.unwrap_or(1)
    }

    fn work_hint(&self, index: usize) -> Option<Duration> {
        let varied_percent = [10, 40, 290, 20, 160, 80][index % 6];
        let percent = if self.varied_hints {
            varied_percent
        } else {
            100
        };
        self.slowdown.map(|_| self.run_times[0] * percent / 100)
    }

    fn reported_free(&self, index: usize) -> f64 {
        // About one report in a hundred is an outlier.
        let sample = if index % 97 == 20 {
            4.0
        } else {
            NORMAL_SAMPLES[index % NORMAL_SAMPLES.len()]
        };
        SLOTS * (1.0 + self.report_noise * sample)
    }

    /// The host of a dispatcher that has learnt the running times from another endpoint. That
    /// endpoint is gone, and the one in slow start has just started.
    fn warmed_up_host(&self, settings: Settings) -> TestHost {
        let mut host = TestHost::new(settings, &[entry(1, 0)], SLOTS);
        for index in 0..200 * self.run_times.len() {
            let class = index % self.run_times.len();
            host.report_free(1, self.reported_free(index));
            host.work_hint = self.work_hint(index);
            let (request, actions) = host.submit(class, 1.0);
            if let Some(endpoint) = sent_to(&actions) {
                host.now += self.queue_time;
                host.attempt_started(request, 0, endpoint);
                let run_time = self.run_time(&host, request);
                host.now += run_time;
                host.attempt_succeeded(request, endpoint, self.queue_time + run_time);
            }
        }
        assert!(host.now < STARTED_AT, "{:?}", host.now);
        host.now = STARTED_AT;
        let started = EndpointEntry {
            started_at: STARTED_AT,
            ..entry(0, 0)
        };
        host.update_endpoints(ListKind::Delta, &[gone_entry(1), started]);
        host
    }
}

fn budget_use(settings: &Settings, sent: &[SentWork]) -> BudgetUse {
    let window = settings.overload_window;
    let initial_share = settings.slow_start_share;
    let capacity_share = |age: Duration| {
        initial_share + (1.0 - initial_share) * micros(age) / micros(settings.slow_start_duration)
    };
    let mut largest_window_share = 0.0f64;
    for first in sent {
        let from = first.age;
        let in_window = sent
            .iter()
            .filter(|work| work.age >= from && work.age < from + window);
        let work: Duration = in_window.map(|work| work.run_time).sum();
        let mean_capacity = SLOTS * capacity_share(from + window / 2);
        let budget = settings.overload_multiple * mean_capacity * micros(window);
        largest_window_share = largest_window_share.max(micros(work) / budget);
    }
    let capacity = SLOTS * micros(settings.slow_start_duration) * (1.0 + initial_share) / 2.0;
    let total_work: f64 = sent.iter().map(|work| micros(work.run_time)).sum();
    BudgetUse {
        largest_window_share,
        utilization: total_work / capacity,
    }
}

fn micros(span: Duration) -> f64 {
    span.as_micros() as f64
}

fn assert_within_budget(scenario: &Scenario) {
    assert_within_share(scenario, 1.1);
}

/// Asserts that the work within any window is at most this share of the budget, and that more than
/// half of the capacity is used.
fn assert_within_share(scenario: &Scenario, max_window_share: f64) {
    let BudgetUse {
        largest_window_share,
        utilization,
    } = scenario.run();
    assert!(
        largest_window_share <= max_window_share,
        "the work within one window was {largest_window_share:.2} of the budget"
    );
    assert!(
        utilization > 0.5,
        "only {utilization:.2} of the capacity was used"
    );
}

#[test]
fn budget_holds_in_every_window_when_all_dispatchers_wait_for_the_endpoint() {
    assert_within_budget(&Scenario {
        instance_count: 45,
        run_times: vec![200 * MS],
        traffic: |_, _| Some(0),
        report_noise: 0.0,
        slowdown: None,
        queue_time: Duration::ZERO,
        varied_hints: false,
    });
}

#[test]
fn budget_holds_when_traffic_begins_at_any_point_of_a_turn() {
    const QUIET: Duration = Duration::from_secs(3);
    const BUSY: Duration = Duration::from_millis(1_500);
    // Each burst begins at a different point of a turn, independent of the length of turns.
    fn traffic(_instance_index: usize, age: Duration) -> Option<usize> {
        let cycle = QUIET.as_micros() / 3 + BUSY.as_micros();
        let position = (age.as_micros() + age.as_micros() / 7) % cycle;
        (position < BUSY.as_micros()).then_some(0)
    }
    assert_within_budget(&Scenario {
        instance_count: 45,
        run_times: vec![200 * MS],
        traffic,
        report_noise: 0.0,
        slowdown: None,
        queue_time: Duration::ZERO,
        varied_hints: false,
    });
}

#[test]
fn long_requests_use_more_of_the_budget_than_short_ones() {
    // Mostly short requests, so that the mean is close to theirs, alternating with only long ones.
    let traffic: Traffic = |instance_index, age| {
        let only_long = age.as_micros() / (5_000 * MS).as_micros() % 2 == 1;
        Some(usize::from(only_long || instance_index % 9 == 0))
    };
    // Requests are indivisible, and a single long one is a large share of the budget at first.
    assert_within_share(
        &Scenario {
            instance_count: 45,
            run_times: vec![100 * MS, 500 * MS],
            traffic,
            report_noise: 0.0,
            slowdown: None,
            queue_time: Duration::ZERO,
            varied_hints: false,
        },
        1.2,
    );
}

#[test]
fn single_outlying_load_report_does_not_enlarge_the_budget() {
    // With this noise, the mean of the reports that count as nearly idle is a fifth above the
    // actual slots.
    assert_within_share(
        &Scenario {
            instance_count: 45,
            run_times: vec![200 * MS],
            traffic: |_, _| Some(0),
            report_noise: 0.2,
            slowdown: None,
            queue_time: Duration::ZERO,
            varied_hints: false,
        },
        1.4,
    );
}

#[test]
fn endpoint_of_a_slow_machine_kind_has_a_smaller_budget() {
    let traffic: Traffic = |_, _| Some(0);
    assert_within_budget(&Scenario {
        instance_count: 45,
        run_times: vec![200 * MS],
        traffic,
        report_noise: 0.0,
        slowdown: Some(2),
        queue_time: Duration::ZERO,
        varied_hints: false,
    });
}

#[test]
fn queue_times_do_not_make_requests_look_too_long_for_the_budget() {
    let traffic: Traffic = |_, _| Some(0);
    let run_times = vec![200 * MS];
    assert_within_budget(&Scenario {
        instance_count: 45,
        run_times,
        traffic,
        report_noise: 0.0,
        slowdown: None,
        queue_time: 400 * MS,
        varied_hints: false,
    });
}

#[test]
fn request_that_would_overload_the_endpoint_by_itself_is_never_sent_there() {
    for work_hint in [20_000 * MS, 100 * MS] {
        let mut sent_count = 0;
        for microseconds in 0..20 {
            let starting = EndpointEntry {
                started_at: START.saturating_sub(3_700 * MS + Duration::from_micros(microseconds)),
                ..entry(0, 0)
            };
            let mut host = TestHost::new(settings(Idempotency::Idempotent), &[starting], SLOTS);
            host.work_hint = Some(work_hint);
            for _ in 0..4 {
                host.advance(1_000 * MS, &[0]);
                host.report_free(0, SLOTS);
                sent_count += host.submit_many(1).iter().flatten().count();
            }
        }
        assert_eq!(
            sent_count > 0,
            work_hint < 1_000 * MS,
            "{sent_count} requests of {work_hint:?}"
        );
    }
}

#[test]
fn requests_with_widely_varied_work_hints_stay_within_the_budget() {
    let traffic: Traffic = |_, _| Some(0);
    let run_times = vec![400 * MS];
    // The longest request is a large share of the budget.
    assert_within_share(
        &Scenario {
            instance_count: 45,
            run_times,
            traffic,
            report_noise: 0.0,
            slowdown: Some(1),
            varied_hints: true,
            queue_time: Duration::ZERO,
        },
        1.2,
    );
}
