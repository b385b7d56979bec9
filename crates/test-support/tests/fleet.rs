//! The rules over whole fleets, small and large, in one process. `SOAK` plays more seeds.

use pumiceway_test_support::fleet::*;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Plays all of these, as many at a time as there are cores, in the order given.
fn all(plans: Vec<Plan>) -> Vec<(Plan, Counts)> {
    let (next, results) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..cores.min(plans.len()) {
            scope.spawn(|| {
                while let Some(&plan) = plans.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let counts = play(plan);
                    results.lock().unwrap().push((plan, counts));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap();
    results.sort_by_key(|(plan, _)| format!("{plan:?}"));
    results
}

fn plan(instances: usize, endpoints: usize, day: Day) -> Plan {
    Plan {
        site: Site::Asked,
        instances,
        endpoints,
        day,
        seed: 1,
        planted: None,
    }
}

fn pushed(instances: usize, endpoints: usize, day: Day) -> Plan {
    Plan {
        site: Site::Pushed,
        ..plan(instances, endpoints, day)
    }
}

fn planted(planted: Planted, day: Day) -> Counts {
    play(Plan {
        planted: Some(planted),
        ..plan(30, 20, day)
    })
}

/// What the settings allow: each is a rule, or what keeps one.
fn keeps(plan: Plan, c: &Counts) {
    let (s, asked) = (settings(plan, 0), plan.site == Site::Asked);
    let what = format!("{plan:?}: {c:?}");
    assert!(c.broken.is_empty(), "{what}");
    // Where jobs differ in length a few long ones may come together.
    let chance = if asked { 0.0 } else { 0.15 };
    assert!(
        c.cold <= 1.0 + chance,
        "a cold next hop is pushed over: {what}"
    );
    // Where lists are pushed, what the agent has counts as told from the first moment on.
    let first = if asked { TOLD } else { GRACE };
    assert!(c.first_told <= first && c.change_told <= TOLD, "{what}");
    // They draw their first calls from 50 ms each, or half of `ask-within` where that is less; and
    // what comes by chance on top.
    let hops = if plan.day == Day::Grown {
        2 * plan.endpoints
    } else {
        plan.endpoints
    };
    let spread = (50_000 * plan.instances.max(2) as u64)
        .min(s.max_poll_interval.as_micros() as u64 / 2)
        .max(SECOND);
    let mut mean = plan.instances as f64 * SECOND as f64 / spread as f64;
    // A new configuration reaches an eighth of them a second, which call within another.
    if plan.day == Day::Moved {
        mean += plan.instances as f64 / 8.0;
    }
    // Where lists are pushed each calls an agent of its own, at no cost to the others.
    assert!(
        !asked || (c.calls as f64) <= mean + 5.0 * mean.sqrt() + 1.0,
        "{what}"
    );
    // Two probes for a transaction and eight saved up in each life of an instance. Where next hops
    // outnumber the instances they are asked in turn as well, each at first and one for each
    // transaction, in that proportion.
    let share = (1.5 - 1.5 * plan.instances as f64 / hops as f64).clamp(0.0, 1.0);
    let each = 2.0 + share;
    let first = 2 * plan.instances * (8 + (share * hops as f64) as usize);
    // What asks suspected next hops for a sign of life comes on top: less than a tenth, as measured
    // over seeds.
    assert!(
        c.health_checks as f64 <= 1.1 * each * c.transactions as f64 + first as f64,
        "{what}"
    );
    assert!(c.connections <= 2 * c.transactions, "{what}");
    assert!(c.served + c.busy + c.failed <= c.transactions, "{what}");
}

// Guards against a rule that holds for a small site and breaks over a fleet, or the other way
// round.
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
    let plans = sizes
        .iter()
        .flat_map(|&(i, h)| days(Site::Asked).map(move |day| plan(i, h, day)));
    // Between the small and the large fleet, those days on which the list changes most.
    let some = [Day::Replaced, Day::ZoneLost, Day::Grown];
    let plans =
        plans.filter(|p| soak || (p.instances, p.endpoints) != (100, 200) || some.contains(&p.day));
    let sizes = [(1, 3), (3, 3), (3, 9), (3, 13), (8, 13), (60, 13)];
    let others = sizes
        .iter()
        .flat_map(|&(i, h)| days(Site::Pushed).map(move |day| pushed(i, h, day)));
    let plans = plans
        .chain(others)
        .flat_map(|p| seeds.clone().map(move |seed| Plan { seed, ..p }))
        .collect();
    let mut suspended = 0;
    for (plan, counts) in all(plans) {
        keeps(plan, &counts);
        suspended += counts.suspended;
    }
    assert!(suspended > 0, "the second site's jobs are never suspended");
}

// Guards against a tenant's flood that the others pay for; and against a flood that is none, and
// against a share that is counted as more than it is.
#[test]
fn a_flood_of_one_tenant_leaves_the_others_what_they_have_on_a_calm_day() {
    // Each of eight sees so little of a tenant that it takes some of what is within a share for
    // more.
    for (instances, endpoints, near) in [(3, 13, 0.1), (8, 13, 0.25)] {
        let [calm, flood] = [Day::Calm, Day::Flood].map(|day| {
            let seeds = (1..=4).map(|seed| Plan {
                seed,
                ..pushed(instances, endpoints, day)
            });
            all(seeds.collect())
        });
        let sum = |plays: &[(Plan, Counts)], part: fn(&Counts) -> f64| -> f64 {
            plays.iter().map(|(_, c)| part(c)).sum()
        };
        let others: fn(&Counts) -> f64 = |c| c.tenants[1..].iter().map(|t| t.asked).sum();
        let all: fn(&Counts) -> f64 = |c| c.transactions as f64;
        assert!(sum(&flood, all) > 2.0 * sum(&calm, all), "{flood:?}");
        let inside = sum(&flood, others) / sum(&calm, others);
        assert!((0.85..1.15).contains(&inside), "{inside}");
        let earned: fn(&Counts) -> f64 = |c| c.tenants[1..].iter().map(|t| t.earned).sum();
        let service = [&calm, &flood].map(|plays| sum(plays, earned) / sum(plays, others));
        assert!(
            service[1] > service[0] - near,
            "{instances} {endpoints}: {service:?}"
        );
    }
}

// Guards against a verdict that changes from play to play.
#[test]
fn equal_plans_have_equal_outcomes() {
    for plan in [
        plan(30, 20, Day::Killed),
        plan(30, 20, Day::Rude),
        pushed(3, 13, Day::Rude),
    ] {
        assert_eq!(play(plan), play(plan));
    }
}

// Guards against a step where instances come to outnumber next hops.
#[test]
fn nothing_jumps_where_instances_outnumber_next_hops() {
    let side = |sizes: [usize; 3], day| {
        let plans = sizes.iter().flat_map(|&i| {
            (1..=3).map(move |seed| Plan {
                seed,
                ..plan(i, 60, day)
            })
        });
        all(plans.collect())
    };
    for day in [Day::Calm, Day::Replaced, Day::Grown] {
        let sides = [side([54, 57, 60], day), side([61, 64, 67], day)];
        let shares = sides.each_ref().map(|plays| {
            let served: usize = plays.iter().map(|(_, c)| c.served).sum();
            served as f64 / plays.iter().map(|(_, c)| c.transactions).sum::<usize>() as f64
        });
        assert!(
            (shares[0] - shares[1]).abs() < 0.01 && shares[0] > 0.97,
            "{day:?}: {shares:?}"
        );
        // Rounds of probes begun in full at the line take more than the two that a transaction is
        // allowed.
        let plays = sides.iter().flatten();
        let health_checks: Vec<f64> = plays
            .map(|(_, c)| c.health_checks as f64 / c.transactions as f64)
            .collect();
        assert!(
            health_checks.iter().all(|&p| p < 2.0),
            "{day:?}: {health_checks:?}"
        );
    }
}

// Guards against three hundred instances that each ask two hundred new next hops as the list grows
// past them.
#[test]
fn a_list_that_grows_past_the_instances_in_mid_day_costs_no_round_of_probes() {
    let c = play(plan(300, 200, Day::Grown));
    assert!(
        c.health_checks < 2 * c.transactions && c.connections < 2 * c.transactions,
        "{c:?}"
    );
}

// Guards against counts that find nothing because they look at nothing: one planted breach for each
// rule.
#[test]
fn planted_breaches_are_found() {
    let found = |c: &Counts, what: &str| c.broken.iter().any(|b| b.contains(what));
    let news = planted(Planted::NewsHeldBack, Day::Replaced);
    assert!(found(&news, "after it was told that it leaves"), "{news:?}");
    let cold = play(Plan {
        planted: Some(Planted::ColdUntold),
        ..plan(20, 20, Day::Replaced)
    });
    assert!(cold.cold > 1.0, "{cold:?}");
    let alarm = play(Plan {
        planted: Some(Planted::NoAlarm),
        ..plan(3, 10, Day::Silent)
    });
    assert!(found(&alarm, "in time"), "{alarm:?}");
    let twice = planted(Planted::AnsweredTwice, Day::Calm);
    assert!(found(&twice, "a second answer"), "{twice:?}");
    let again = planted(Planted::ResetTakenForRefused, Day::Rude);
    assert!(found(&again, "may have run"), "{again:?}");
    let early = planted(Planted::EndsEarly, Day::Rolled);
    assert!(found(&early, "owes"), "{early:?}");
    let slow = play(Plan {
        planted: Some(Planted::SlowPace),
        ..plan(300, 20, Day::Killed)
    });
    assert!(slow.first_told > TOLD, "{slow:?}");
    let bootstrap = Some(Planted::BootstrapConfirmed);
    let day = Day::KilledBeforeDrain;
    let plays = (1..=4)
        .map(|seed| Plan {
            seed,
            planted: bootstrap,
            ..plan(30, 20, day)
        })
        .collect();
    let bootstrap = all(plays);
    let leaves = "after it was told that it leaves";
    assert!(
        bootstrap.iter().any(|(_, c)| found(c, leaves)),
        "{bootstrap:?}"
    );
    // The rules that only the second set has, and those that it words in its own way.
    let fault = Some(Planted::ResetTakenForRefused);
    let rude = all((1..=6)
        .map(|seed| Plan {
            seed,
            planted: fault,
            ..pushed(60, 13, Day::Rude)
        })
        .collect());
    let zone = "class 2 is sent to another zone, and may have run";
    assert!(rude.iter().any(|(_, c)| found(c, zone)), "{rude:?}");
    let busy = play(Plan {
        planted: Some(Planted::FailedToldBusy),
        ..pushed(3, 13, Day::Rude)
    });
    assert!(
        found(&busy, "is answered busy, and may have run"),
        "{busy:?}"
    );
    let news = play(Plan {
        planted: Some(Planted::NewsHeldBack),
        ..pushed(3, 13, Day::Replaced)
    });
    assert!(found(&news, "after it was told that it leaves"), "{news:?}");
}
