//! The rules over whole fleets, small and large, for each deployment and day. `SOAK` plays more
//! seeds.

use pumiceway_test_support::fleet::*;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// An instance spreads its first call to discovery over this time for each instance of the fleet.
const CALL_SPREAD_EACH: Duration = Duration::from_millis(50);
/// Calls of a fleet are spread over a second at least.
const MIN_CALL_SPREAD: Duration = Duration::from_secs(1);

/// Plays all plans, as many at a time as there are cores. Returns them sorted by plan.
fn play_all(plans: Vec<Plan>) -> Vec<(Plan, Summary)> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    let cores = std::thread::available_parallelism().map_or(1, |cores| cores.get());
    std::thread::scope(|scope| {
        for _ in 0..cores.min(plans.len()) {
            scope.spawn(|| {
                while let Some(&plan) = plans.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let summary = play(plan);
                    results.lock().unwrap().push((plan, summary));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap();
    results.sort_by_key(|(plan, _)| format!("{plan:?}"));
    results
}

fn polled(instances: usize, endpoints: usize, day: Day) -> Plan {
    Plan {
        deployment: Deployment::Polled,
        instances,
        endpoints,
        day,
        seed: 1,
        injected_fault: None,
    }
}

fn pushed(instances: usize, endpoints: usize, day: Day) -> Plan {
    Plan {
        deployment: Deployment::Pushed,
        ..polled(instances, endpoints, day)
    }
}

fn with_fault(fault: InjectedFault, day: Day) -> Summary {
    play(Plan {
        injected_fault: Some(fault),
        ..polled(30, 20, day)
    })
}

/// Asserts what the settings of a plan allow: each assertion is a rule, or what keeps one.
fn assert_rules_hold(plan: Plan, summary: &Summary) {
    let is_polled = plan.deployment == Deployment::Polled;
    let context = format!("{plan:?}: {summary:?}");
    assert!(summary.violations.is_empty(), "{context}");
    // Where jobs differ in length a few long ones may come together.
    let tolerance = if is_polled { 0.0 } else { 0.15 };
    assert!(
        summary.peak_slow_start_load <= 1.0 + tolerance,
        "an endpoint is overloaded in its slow start: {context}"
    );
    // Where lists are pushed, an instance counts as notified of what its agent has from the start.
    let first_list_limit = if is_polled {
        NOTIFICATION_LIMIT
    } else {
        DRAIN_GRACE
    };
    assert!(
        summary.max_first_list_delay <= first_list_limit
            && summary.max_change_delay <= NOTIFICATION_LIMIT,
        "{context}"
    );
    // Where lists are pushed each instance calls an agent of its own, at no cost to the others.
    assert!(
        !is_polled || (summary.peak_discovery_calls as f64) <= max_calls_per_second(plan),
        "{context}"
    );
    assert!(
        summary.health_checks as f64 <= max_health_checks(plan, summary),
        "{context}"
    );
    assert!(summary.connections <= 2 * summary.requests, "{context}");
    assert!(
        summary.served + summary.overloaded + summary.failed <= summary.requests,
        "{context}"
    );
}

/// Instances draw their first calls from 50 ms for each, or half of the longest poll interval if
/// that is less. What comes together by chance is on top.
fn max_calls_per_second(plan: Plan) -> f64 {
    let spread = (CALL_SPREAD_EACH * plan.instances.max(2) as u32)
        .min(settings(plan, 0).max_poll_interval / 2)
        .max(MIN_CALL_SPREAD);
    let mut mean = plan.instances as f64 * 1e6 / spread.as_micros() as f64;
    // A new configuration reaches an eighth of them a second, which call within another.
    if plan.day == Day::DiscoveryMoved {
        mean += plan.instances as f64 / 8.0;
    }
    mean + 5.0 * mean.sqrt() + 1.0
}

/// Two health checks for a request, and eight saved up in each process of an instance. Where
/// endpoints outnumber the instances they are checked in turn as well, each at first and one for
/// each request, in that proportion.
fn max_health_checks(plan: Plan, summary: &Summary) -> f64 {
    let endpoints = if plan.day == Day::EndpointsAdded {
        2 * plan.endpoints
    } else {
        plan.endpoints
    };
    let in_turn = (1.5 - 1.5 * plan.instances as f64 / endpoints as f64).clamp(0.0, 1.0);
    let per_request = 2.0 + in_turn;
    let at_start = 2 * plan.instances * (8 + (in_turn * endpoints as f64) as usize);
    // Checks of suspected endpoints are on top: less than a tenth, as measured over seeds.
    1.1 * per_request * summary.requests as f64 + at_start as f64
}

#[test]
fn the_rules_hold_on_every_day_at_every_size() {
    let sizes = [
        (1, 10),
        (3, 10),
        (30, 20),
        (100, 60),
        (100, 200),
        (300, 30),
        (300, 200),
    ];
    let soak = std::env::var_os("SOAK").is_some();
    let seeds = if soak { 1..=12 } else { 1..=1 };
    let polled_plans = sizes.iter().flat_map(|&(instances, endpoints)| {
        days(Deployment::Polled).map(move |day| polled(instances, endpoints, day))
    });
    // Between the small and the large fleet, those days on which the list changes most.
    let changing = [Day::EndpointsReplaced, Day::ZoneLost, Day::EndpointsAdded];
    let polled_plans = polled_plans.filter(|plan| {
        soak || (plan.instances, plan.endpoints) != (100, 200) || changing.contains(&plan.day)
    });
    let sizes = [(1, 3), (3, 3), (3, 9), (3, 13), (8, 13), (60, 13)];
    let pushed_plans = sizes.iter().flat_map(|&(instances, endpoints)| {
        days(Deployment::Pushed).map(move |day| pushed(instances, endpoints, day))
    });
    let plans = polled_plans
        .chain(pushed_plans)
        .flat_map(|plan| seeds.clone().map(move |seed| Plan { seed, ..plan }))
        .collect();
    let mut resumed_jobs = 0;
    for (plan, summary) in play_all(plans) {
        assert_rules_hold(plan, &summary);
        resumed_jobs += summary.resumed_jobs;
    }
    assert!(
        resumed_jobs > 0,
        "the jobs of the pushed deployment are never suspended"
    );
}

fn others_requested(summary: &Summary) -> f64 {
    let others = summary.service_by_tenant[1..].iter();
    others.map(|service| service.requested_weight).sum()
}

fn others_earned(summary: &Summary) -> f64 {
    let others = summary.service_by_tenant[1..].iter();
    others.map(|service| service.earned_weight).sum()
}

fn requests(summary: &Summary) -> f64 {
    summary.requests as f64
}

fn sum(plays: &[(Plan, Summary)], part: fn(&Summary) -> f64) -> f64 {
    plays.iter().map(|(_, summary)| part(summary)).sum()
}

#[test]
fn a_flood_of_one_tenant_leaves_the_others_what_they_have_on_a_calm_day() {
    // Each of eight sees so little of a tenant that it takes some of what is within a quota for
    // more.
    for (instances, endpoints, tolerance) in [(3, 13, 0.1), (8, 13, 0.25)] {
        let [calm, flood] = [Day::Calm, Day::TenantFlood].map(|day| {
            let seeds = (1..=4).map(|seed| Plan {
                seed,
                ..pushed(instances, endpoints, day)
            });
            play_all(seeds.collect())
        });
        assert!(
            sum(&flood, requests) > 2.0 * sum(&calm, requests),
            "{flood:?}"
        );
        let within_quota = sum(&flood, others_requested) / sum(&calm, others_requested);
        assert!((0.85..1.15).contains(&within_quota), "{within_quota}");
        let service =
            [&calm, &flood].map(|plays| sum(plays, others_earned) / sum(plays, others_requested));
        assert!(
            service[1] > service[0] - tolerance,
            "{instances} {endpoints}: {service:?}"
        );
    }
}

#[test]
fn equal_plans_have_equal_outcomes() {
    for plan in [
        polled(30, 20, Day::InstancesKilled),
        polled(30, 20, Day::ImpatientClients),
        pushed(3, 13, Day::ImpatientClients),
    ] {
        assert_eq!(play(plan), play(plan));
    }
}

#[test]
fn nothing_jumps_where_instances_outnumber_endpoints() {
    let play_sizes = |sizes: [usize; 3], day| {
        let plans = sizes.iter().flat_map(|&instances| {
            (1..=3).map(move |seed| Plan {
                seed,
                ..polled(instances, 60, day)
            })
        });
        play_all(plans.collect())
    };
    for day in [Day::Calm, Day::EndpointsReplaced, Day::EndpointsAdded] {
        let sides = [play_sizes([54, 57, 60], day), play_sizes([61, 64, 67], day)];
        let shares = sides.each_ref().map(|plays| {
            let served: usize = plays.iter().map(|(_, summary)| summary.served).sum();
            let requests: usize = plays.iter().map(|(_, summary)| summary.requests).sum();
            served as f64 / requests as f64
        });
        assert!(
            (shares[0] - shares[1]).abs() < 0.01 && shares[0] > 0.97,
            "{day:?}: {shares:?}"
        );
        // Rounds of health checks that begin in full where the fleet counts as large take more than
        // the two that a request is allowed.
        let plays = sides.iter().flatten();
        let health_checks: Vec<f64> = plays
            .map(|(_, summary)| summary.health_checks as f64 / summary.requests as f64)
            .collect();
        assert!(
            health_checks.iter().all(|&per_request| per_request < 2.0),
            "{day:?}: {health_checks:?}"
        );
    }
}

#[test]
fn a_list_that_grows_past_the_instances_in_mid_day_costs_no_round_of_health_checks() {
    let summary = play(polled(300, 200, Day::EndpointsAdded));
    assert!(
        summary.health_checks < 2 * summary.requests && summary.connections < 2 * summary.requests,
        "{summary:?}"
    );
}

fn found(summary: &Summary, text: &str) -> bool {
    let mut violations = summary.violations.iter();
    violations.any(|violation| violation.contains(text))
}

// One injected fault for each rule shows that the summary looks at what it counts.
#[test]
fn injected_faults_are_found() {
    let delayed = with_fault(InjectedFault::ListDelayed, Day::EndpointsReplaced);
    assert!(
        found(&delayed, "after it was notified that it leaves"),
        "{delayed:?}"
    );
    let omitted = play(Plan {
        injected_fault: Some(InjectedFault::StartTimeOmitted),
        ..polled(20, 20, Day::EndpointsReplaced)
    });
    assert!(omitted.peak_slow_start_load > 1.0, "{omitted:?}");
    let timer = play(Plan {
        injected_fault: Some(InjectedFault::TimerLost),
        ..polled(3, 10, Day::EndpointsSilent)
    });
    assert!(found(&timer, "in time"), "{timer:?}");
    let repeated = with_fault(InjectedFault::ResponseRepeated, Day::Calm);
    assert!(found(&repeated, "a second response"), "{repeated:?}");
    let reset = with_fault(
        InjectedFault::ResetReportedAsConnectFailed,
        Day::ImpatientClients,
    );
    assert!(found(&reset, "may have run"), "{reset:?}");
    let early = with_fault(InjectedFault::EarlyExit, Day::RollingRestart);
    assert!(found(&early, "responses outstanding"), "{early:?}");
    let slow = play(Plan {
        injected_fault: Some(InjectedFault::DiscoveryCallsSlow),
        ..polled(300, 20, Day::InstancesKilled)
    });
    assert!(slow.max_first_list_delay > NOTIFICATION_LIMIT, "{slow:?}");
    let bootstrap = play_all(
        (1..=4)
            .map(|seed| Plan {
                seed,
                injected_fault: Some(InjectedFault::BootstrapConfirmed),
                ..polled(30, 20, Day::InstancesKilledBeforeDrain)
            })
            .collect(),
    );
    let leaves = "after it was notified that it leaves";
    assert!(
        bootstrap.iter().any(|(_, summary)| found(summary, leaves)),
        "{bootstrap:?}"
    );
}

// The rules that only the pushed deployment has, and those that it words in its own way.
#[test]
fn injected_faults_of_the_pushed_deployment_are_found() {
    let reset = play_all(
        (1..=6)
            .map(|seed| Plan {
                seed,
                injected_fault: Some(InjectedFault::ResetReportedAsConnectFailed),
                ..pushed(60, 13, Day::ImpatientClients)
            })
            .collect(),
    );
    let zone = "class 2 is sent to another zone, and may have run";
    assert!(
        reset.iter().any(|(_, summary)| found(summary, zone)),
        "{reset:?}"
    );
    let overloaded = play(Plan {
        injected_fault: Some(InjectedFault::FailureSentAsOverloaded),
        ..pushed(3, 13, Day::ImpatientClients)
    });
    assert!(
        found(&overloaded, "has an overload response, and may have run"),
        "{overloaded:?}"
    );
    let delayed = play(Plan {
        injected_fault: Some(InjectedFault::ListDelayed),
        ..pushed(3, 13, Day::EndpointsReplaced)
    });
    assert!(
        found(&delayed, "after it was notified that it leaves"),
        "{delayed:?}"
    );
}
