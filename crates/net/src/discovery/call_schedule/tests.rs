use super::*;
use std::collections::BTreeSet;

const MS: u64 = 1_000;

/// A service that takes this long (µs) for a call, in turn, and ends one unserved that has waited
/// for 2 s. Half way the fleet has to call anew. When the last dispatcher was served each time, in
/// µs; and the most calls in a second.
fn play(instances: usize, work: u64) -> ([u64; 2], usize) {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut paces = vec![CallSchedule::new(instances, Duration::from_secs(10)); instances];
    let (mut last, mut calls, mut free) = ([0; 2], Vec::new(), 0u64);
    for (n, last) in last.iter_mut().enumerate() {
        let begins = n as u64 * 60_000 * MS;
        let mut due: BTreeSet<(u64, usize)> = (paces.iter().enumerate())
            .map(|(at, pace)| (begins + pace.first(rng.f64()).as_micros() as u64, at))
            .collect();
        while let Some((now, at)) = due.pop_first() {
            calls.push(now);
            free = free.max(now) + work;
            if free - now <= 2_000 * MS {
                *last = (*last).max(free - begins);
                paces[at].next(Duration::from_secs(30), true, 0.0);
                continue;
            }
            let wait = paces[at].next(Duration::from_secs(2), false, rng.f64());
            due.insert((now + 2_000 * MS + wait.as_micros() as u64, at));
            assert!(
                now < begins + 60_000 * MS,
                "dispatchers are left that nobody serves"
            );
        }
    }
    let within = |from: u64| {
        calls
            .iter()
            .filter(|&&c| c >= from && c < from + 1_000 * MS)
            .count()
    };
    (last, calls.iter().map(|&c| within(c)).max().unwrap_or(0))
}

// Guards against a fleet that asks again faster than it is served: every call waited too long, its
// work was done for nobody, and dispatchers stayed with the list of their start for the whole day.
#[test]
fn a_fleet_that_calls_at_once_is_served_by_a_service_that_is_overbooked() {
    let plays = [
        (100, 50 * MS, 10, 36),
        (100, 100 * MS, 30, 36),
        (300, 17 * MS, 10, 84),
    ];
    for (instances, work, within, at_most) in plays {
        let (last, most) = play(instances, work);
        assert!(
            last.iter().all(|&l| l < within * 1_000 * MS),
            "{instances}, {work}: {last:?}"
        );
        // What comes by chance on top of a fifth of them.
        assert!(most <= at_most, "{instances}, {work}: {most}");
    }
}

// Guards against a dispatcher that counts as told that a worker has gone before it has asked, as it
// draws its turn from 15 s where there are 300: it went on sending there. After a failed call that
// comes four times later.
#[test]
fn whatever_the_size_of_the_fleet_a_call_is_over_before_its_news_counts_as_told() {
    let (call, silence) = (super::super::watcher::CALL, super::super::watcher::SILENCE);
    for instances in [0, 1, 3, 60, 100, 300, 10_000, usize::MAX] {
        for ask_within in [
            Duration::ZERO,
            Duration::from_secs(10),
            Duration::from_secs(30),
        ] {
            let mut pace = CallSchedule::new(instances, ask_within);
            assert!(
                ask_within.is_zero() || pace.first(1.0) + call <= ask_within,
                "{instances}"
            );
            assert!(pace.first_moved(1.0) + call <= TOLD_MOVED, "{instances}");
            assert!(
                pace.next(STOOD * 2, true, 1.0) + call <= TOLD,
                "{instances}"
            );
            // What a silent watch misses counts as told so long after its last word. Where many are
            // silent at once the call waits for its turn: less time to draw from makes more calls
            // wait in vain, and come again later.
            assert!(
                silence + pace.next(STOOD * 2, false, 1.0) <= TOLD,
                "{instances}"
            );
            let failed = (0..9)
                .map(|_| pace.next(Duration::ZERO, false, 1.0))
                .max()
                .unwrap_or_default();
            assert!(
                ask_within.is_zero() || failed + call <= ask_within * 4,
                "{instances}"
            );
        }
    }
}

// Guards against a dispatcher of a large fleet that calls its own agent as late as one that all
// share: what the agent has counts as told from the first moment of a new process on, and the grace
// of a drain is half a second.
#[test]
fn an_agent_of_its_own_is_called_at_once_however_large_the_fleet() {
    let conf = |discovery: &str, instances: usize| -> DeploymentSettings {
        let text = format!(
            r#"{{"lanes":[],"limits":{{"most-tries":1}},"rules":{{"ask-within-us":10000000}},
            "discovery":"{discovery}","n-instances":{instances}}}"#
        );
        serde_json::from_str(&text).unwrap()
    };
    for instances in [1, 3, 300, 10_000] {
        let mut pace = CallSchedule::of(&conf("automatic", instances));
        assert_eq!(
            (pace.first(1.0), pace.first_moved(1.0)),
            (Duration::ZERO, Duration::ZERO)
        );
        let again = (0..9)
            .map(|_| pace.next(Duration::ZERO, false, 1.0))
            .max()
            .unwrap_or_default();
        assert!(
            (LEAST..Duration::from_millis(250)).contains(&again),
            "{again:?}"
        );
        assert_eq!(pace.next(STOOD * 2, false, 1.0), LEAST);
    }
    let asked = CallSchedule::of(&conf("subscribe", 300));
    assert_eq!(
        asked.first(1.0),
        CallSchedule::new(300, Duration::from_secs(10)).first(1.0)
    );
}

#[test]
fn a_small_site_hears_again_at_once_and_waits_are_bounded() {
    for instances in [0, 1, 3] {
        let mut pace = CallSchedule::new(instances, Duration::ZERO);
        assert!(pace.first(1.0) <= Duration::from_millis(150));
        for _ in 0..40 {
            assert!(pace.next(Duration::ZERO, false, 1.0) <= Duration::from_millis(1_250));
        }
        assert!(pace.next(Duration::from_secs(3), false, 1.0) <= Duration::from_millis(200));
    }
    let mut vast = CallSchedule::new(usize::MAX, Duration::from_secs(10));
    assert!(vast.next(Duration::ZERO, false, 1.0) < Duration::MAX);
    let mut fleet = CallSchedule::new(300, Duration::from_secs(10));
    let waits: Vec<_> = (0..9)
        .map(|_| fleet.next(Duration::ZERO, false, 1.0))
        .collect();
    assert!(
        waits.iter().all(|&w| w <= Duration::from_millis(10_050)),
        "{waits:?}"
    );
}
