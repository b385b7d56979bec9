//! Checks the rules over whole fleets, small and large, for each deployment and disruption. If
//! `SOAK` is set, more seeds are simulated.

use pumiceway_test_support::fleet::*;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Instances spread their first calls to discovery over this time, multiplied by the number of
/// instances.
const CALL_SPREAD_EACH: Duration = Duration::from_millis(50);
/// The calls of a fleet are spread over at least this time.
const MIN_CALL_SPREAD: Duration = Duration::from_secs(1);

/// Simulates all plans, as many in parallel as there are CPU cores. Returns them sorted by plan.
fn simulate_all(plans: Vec<Plan>) -> Vec<(Plan, Summary)> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    let cores = std::thread::available_parallelism().map_or(1, |cores| cores.get());
    std::thread::scope(|scope| {
        for _ in 0..cores.min(plans.len()) {
            scope.spawn(|| {
                while let Some(&plan) = plans.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let summary = simulate(plan);
                    results.lock().unwrap().push((plan, summary));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap();
    results.sort_by_key(|(plan, _)| format!("{plan:?}"));
    results
}

fn polled_plan(instances: usize, endpoints: usize, disruption: Disruption) -> Plan {
    Plan {
        deployment: Deployment::Polled,
        instances,
        endpoints,
        disruption,
        seed: 1,
        injected_fault: None,
    }
}

fn pushed_plan(instances: usize, endpoints: usize, disruption: Disruption) -> Plan {
    Plan {
        deployment: Deployment::Pushed,
        ..polled_plan(instances, endpoints, disruption)
    }
}

fn simulate_with_fault(fault: InjectedFault, disruption: Disruption) -> Summary {
    simulate(Plan {
        injected_fault: Some(fault),
        ..polled_plan(30, 20, disruption)
    })
}

/// Asserts the rules, and the limits that follow from the settings of a plan.
fn assert_rules_hold(plan: Plan, summary: &Summary) {
    let is_polled = plan.deployment == Deployment::Polled;
    let context = format!("{plan:?}: {summary:?}");
    assert!(summary.violations.is_empty(), "{context}");
    // If jobs differ in duration, a few long ones may coincide.
    let tolerance = if is_polled { 0.0 } else { 0.15 };
    assert!(
        summary.peak_slow_start_load <= 1.0 + tolerance,
        "an endpoint is overloaded in its slow start: {context}"
    );
    // With pushed lists, a new process counts as notified at once of the list that its agent has.
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
    // With pushed lists, each instance calls its own agent, which does not load the others.
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

/// Instances spread their first calls over 50 ms for each instance, or over half of the longest
/// poll interval if that is less. The limit leaves room for calls that coincide by chance.
fn max_calls_per_second(plan: Plan) -> f64 {
    let spread = (CALL_SPREAD_EACH * plan.instances.max(2) as u32)
        .min(settings(plan, 0).max_poll_interval / 2)
        .max(MIN_CALL_SPREAD);
    let mut mean = plan.instances as f64 * 1e6 / spread.as_micros() as f64;
    // A new configuration reaches an eighth of the instances per second, and they call within the
    // next second.
    if plan.disruption == Disruption::DiscoveryMoved {
        mean += plan.instances as f64 / 8.0;
    }
    mean + 5.0 * mean.sqrt() + 1.0
}

/// Two health checks for each request, and eight that each process of an instance may make in
/// advance. If there are more endpoints than instances, endpoints are also checked in turn: each of
/// them at the start, and one for each request, scaled by how much they outnumber the instances.
fn max_health_checks(plan: Plan, summary: &Summary) -> f64 {
    let endpoints = if plan.disruption == Disruption::EndpointsAdded {
        2 * plan.endpoints
    } else {
        plan.endpoints
    };
    let in_turn = (1.5 - 1.5 * plan.instances as f64 / endpoints as f64).clamp(0.0, 1.0);
    let per_request = 2.0 + in_turn;
    let at_start = 2 * plan.instances * (8 + (in_turn * endpoints as f64) as usize);
    // Checks of suspected endpoints add less than a tenth, as measured over several seeds.
    1.1 * per_request * summary.requests as f64 + at_start as f64
}

#[test]
fn the_rules_hold_under_every_disruption_at_every_size() {
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
        disruptions(Deployment::Polled)
            .map(move |disruption| polled_plan(instances, endpoints, disruption))
    });
    // For the size between the small and the large fleets, only the disruptions that change the
    // list most.
    let changing = [
        Disruption::EndpointsReplaced,
        Disruption::ZoneLost,
        Disruption::EndpointsAdded,
    ];
    let polled_plans = polled_plans.filter(|plan| {
        soak || (plan.instances, plan.endpoints) != (100, 200)
            || changing.contains(&plan.disruption)
    });
    let sizes = [(1, 3), (3, 3), (3, 9), (3, 13), (8, 13), (60, 13)];
    let pushed_plans = sizes.iter().flat_map(|&(instances, endpoints)| {
        disruptions(Deployment::Pushed)
            .map(move |disruption| pushed_plan(instances, endpoints, disruption))
    });
    let plans = polled_plans
        .chain(pushed_plans)
        .flat_map(|plan| seeds.clone().map(move |seed| Plan { seed, ..plan }))
        .collect();
    let mut resumed_jobs = 0;
    for (plan, summary) in simulate_all(plans) {
        assert_rules_hold(plan, &summary);
        resumed_jobs += summary.resumed_jobs;
    }
    assert!(
        resumed_jobs > 0,
        "the jobs of the pushed deployment are never suspended"
    );
}

fn others_requested(summary: &Summary) -> f64 {
    let others = summary.weights_by_tenant[1..].iter();
    others.map(|weights| weights.requested).sum()
}

fn others_earned(summary: &Summary) -> f64 {
    let others = summary.weights_by_tenant[1..].iter();
    others.map(|weights| weights.earned).sum()
}

fn requests(summary: &Summary) -> f64 {
    summary.requests as f64
}

fn sum(runs: &[(Plan, Summary)], value: fn(&Summary) -> f64) -> f64 {
    runs.iter().map(|(_, summary)| value(summary)).sum()
}

#[test]
fn a_flood_of_one_tenant_does_not_reduce_the_service_of_the_others() {
    // Each of eight instances receives so little traffic of a tenant that it takes some requests
    // within the quota for requests over it.
    for (instances, endpoints, tolerance) in [(3, 13, 0.1), (8, 13, 0.25)] {
        let [undisturbed, flood] = [Disruption::None, Disruption::TenantFlood].map(|disruption| {
            let seeds = (1..=4).map(|seed| Plan {
                seed,
                ..pushed_plan(instances, endpoints, disruption)
            });
            simulate_all(seeds.collect())
        });
        assert!(
            sum(&flood, requests) > 2.0 * sum(&undisturbed, requests),
            "{flood:?}"
        );
        let requested_ratio = sum(&flood, others_requested) / sum(&undisturbed, others_requested);
        assert!((0.85..1.15).contains(&requested_ratio), "{requested_ratio}");
        let service = [&undisturbed, &flood]
            .map(|runs| sum(runs, others_earned) / sum(runs, others_requested));
        assert!(
            service[1] > service[0] - tolerance,
            "{instances} {endpoints}: {service:?}"
        );
    }
}

#[test]
fn equal_plans_have_equal_outcomes() {
    for plan in [
        polled_plan(30, 20, Disruption::InstancesKilled),
        polled_plan(30, 20, Disruption::ImpatientClients),
        pushed_plan(3, 13, Disruption::ImpatientClients),
    ] {
        assert_eq!(simulate(plan), simulate(plan));
    }
}

#[test]
fn results_are_continuous_where_instances_outnumber_endpoints() {
    let simulate_sizes = |sizes: [usize; 3], disruption| {
        let plans = sizes.iter().flat_map(|&instances| {
            (1..=3).map(move |seed| Plan {
                seed,
                ..polled_plan(instances, 60, disruption)
            })
        });
        simulate_all(plans.collect())
    };
    for disruption in [
        Disruption::None,
        Disruption::EndpointsReplaced,
        Disruption::EndpointsAdded,
    ] {
        let sides = [
            simulate_sizes([54, 57, 60], disruption),
            simulate_sizes([61, 64, 67], disruption),
        ];
        let shares = sides.each_ref().map(|runs| {
            let served: usize = runs.iter().map(|(_, summary)| summary.served).sum();
            let requests: usize = runs.iter().map(|(_, summary)| summary.requests).sum();
            served as f64 / requests as f64
        });
        assert!(
            (shares[0] - shares[1]).abs() < 0.01 && shares[0] > 0.97,
            "{disruption:?}: {shares:?}"
        );
        // If the rounds of health checks began in full at the size at which the fleet counts as
        // large, they would exceed the two health checks that are allowed for each request.
        let runs = sides.iter().flatten();
        let health_checks: Vec<f64> = runs
            .map(|(_, summary)| summary.health_checks as f64 / summary.requests as f64)
            .collect();
        assert!(
            health_checks.iter().all(|&per_request| per_request < 2.0),
            "{disruption:?}: {health_checks:?}"
        );
    }
}

#[test]
fn a_list_that_grows_past_the_instances_costs_no_round_of_health_checks() {
    let summary = simulate(polled_plan(300, 200, Disruption::EndpointsAdded));
    assert!(
        summary.health_checks < 2 * summary.requests && summary.connections < 2 * summary.requests,
        "{summary:?}"
    );
}

fn has_violation(summary: &Summary, text: &str) -> bool {
    let mut violations = summary.violations.iter();
    violations.any(|violation| violation.contains(text))
}

// One injected fault for each rule shows that the summary detects violations of the rule.
#[test]
fn injected_faults_are_found() {
    let delayed = simulate_with_fault(InjectedFault::ListDelayed, Disruption::EndpointsReplaced);
    assert!(
        has_violation(&delayed, "after it was notified that it leaves"),
        "{delayed:?}"
    );
    let omitted = simulate(Plan {
        injected_fault: Some(InjectedFault::StartTimeOmitted),
        ..polled_plan(20, 20, Disruption::EndpointsReplaced)
    });
    assert!(omitted.peak_slow_start_load > 1.0, "{omitted:?}");
    let timer = simulate(Plan {
        injected_fault: Some(InjectedFault::TimerLost),
        ..polled_plan(3, 10, Disruption::EndpointsSilent)
    });
    assert!(has_violation(&timer, "in time"), "{timer:?}");
    let repeated = simulate_with_fault(InjectedFault::ResponseRepeated, Disruption::None);
    assert!(
        has_violation(&repeated, "a second response"),
        "{repeated:?}"
    );
    let reset = simulate_with_fault(
        InjectedFault::ResetReportedAsConnectFailed,
        Disruption::ImpatientClients,
    );
    assert!(has_violation(&reset, "may have run"), "{reset:?}");
    let early = simulate_with_fault(InjectedFault::EarlyExit, Disruption::RollingRestart);
    assert!(has_violation(&early, "responses outstanding"), "{early:?}");
    let slow = simulate(Plan {
        injected_fault: Some(InjectedFault::DiscoveryCallsSlow),
        ..polled_plan(300, 20, Disruption::InstancesKilled)
    });
    assert!(slow.max_first_list_delay > NOTIFICATION_LIMIT, "{slow:?}");
    let bootstrap = simulate_all(
        (1..=4)
            .map(|seed| Plan {
                seed,
                injected_fault: Some(InjectedFault::BootstrapConfirmed),
                ..polled_plan(30, 20, Disruption::InstancesKilledBeforeDrain)
            })
            .collect(),
    );
    let leaves = "after it was notified that it leaves";
    assert!(
        bootstrap
            .iter()
            .any(|(_, summary)| has_violation(summary, leaves)),
        "{bootstrap:?}"
    );
}

// The rules that only the pushed deployment has, and those that differ there.
#[test]
fn injected_faults_of_the_pushed_deployment_are_found() {
    let reset = simulate_all(
        (1..=6)
            .map(|seed| Plan {
                seed,
                injected_fault: Some(InjectedFault::ResetReportedAsConnectFailed),
                ..pushed_plan(60, 13, Disruption::ImpatientClients)
            })
            .collect(),
    );
    let zone = "class 2 is sent to another zone, and may have run";
    assert!(
        reset
            .iter()
            .any(|(_, summary)| has_violation(summary, zone)),
        "{reset:?}"
    );
    let overloaded = simulate(Plan {
        injected_fault: Some(InjectedFault::FailureSentAsOverloaded),
        ..pushed_plan(3, 13, Disruption::ImpatientClients)
    });
    assert!(
        has_violation(&overloaded, "has an overload response, and may have run"),
        "{overloaded:?}"
    );
    let delayed = simulate(Plan {
        injected_fault: Some(InjectedFault::ListDelayed),
        ..pushed_plan(3, 13, Disruption::EndpointsReplaced)
    });
    assert!(
        has_violation(&delayed, "after it was notified that it leaves"),
        "{delayed:?}"
    );
}
