//! Which requests may be sent again, and until when, with the settings documents of three different
//! deployments.

mod common;
use common::*;
use pumiceway_decisions::api::*;
use pumiceway_decisions::settings::DeploymentSettings;
use std::time::Duration;

/// Resolution of the clock.
const MICROSECOND: Duration = Duration::from_micros(1);

/// The first has short deduplication windows and deadlines, the second deduplicates within a zone
/// and has long windows, and the third deduplicates within a cell and has many attempts and long
/// deadlines.
const DEPLOYMENTS: [&str; 3] = [
    r#"{"lanes":[
      {"name":"look","aim-us":300000,"deadline-us":300000,"points":1,
       "semantics":"read_like"},
      {"name":"put","aim-us":2000000,"deadline-us":2000000,"points":2,
       "semantics":"idempotency_key","dedup-scope":"all","window-us":800000},
      {"name":"pay","aim-us":2000000,"deadline-us":2000000,"points":3,
       "semantics":"non_idempotent"}],
      "limits":{"most-tries":2,"cancel":true,"second-copies":true,"retry-after":true,
       "max-retry-after-us":500000,"connect-timeout-us":250000},
      "rules":{"drain-grace-us":100000}}"#,
    r#"{"zones":["north","south"],"my-zone":"north","lanes":[
      {"name":"look","aim-us":5000000,"deadline-us":5000000,"points":1,
       "semantics":"read_like"},
      {"name":"put","aim-us":15000000,"deadline-us":15000000,"points":2,
       "semantics":"idempotency_key","dedup-scope":"zone","window-us":7500000},
      {"name":"pay","aim-us":15000000,"deadline-us":15000000,"points":3,
       "semantics":"non_idempotent"}],
      "limits":{"most-tries":3,"connect-timeout-us":250000},"rules":{"drain-grace-us":500000}}"#,
    r#"{"lanes":[
      {"name":"look","aim-us":20000000,"deadline-us":20000000,"points":1,
       "semantics":"read_like"},
      {"name":"put","aim-us":20000000,"deadline-us":20000000,"points":2,
       "semantics":"idempotency_key","dedup-scope":"cell","window-us":2000000},
      {"name":"pay","aim-us":20000000,"deadline-us":20000000,"points":3,
       "semantics":"non_idempotent"}],
      "limits":{"most-tries":6,"cancel":true},"rules":{}}"#,
];

/// The settings from a document of [`DEPLOYMENTS`].
fn deployment_settings(document: &str) -> Settings {
    let document: DeploymentSettings = serde_json::from_str(document).unwrap();
    document.to_settings().unwrap()
}

/// A request whose first attempt is in flight.
struct InFlight {
    host: TestHost,
    request: RequestId,
    /// The endpoint of the first attempt.
    first: u32,
}

/// A request with id 0, class 0 and one slot.
fn incoming_request() -> IncomingRequest {
    IncomingRequest {
        request: RequestId(0),
        class: ClassId(0),
        function: None,
        remaining: Duration::ZERO,
        slots: 1.0,
        memory: 0.0,
        work_hint: None,
        tenant: None,
        affinity_key: None,
    }
}

/// Sends a request of this class to one of two endpoints in the same deduplication group. A third
/// endpoint is outside the group.
fn send_first_attempt(settings: &Settings, class: usize) -> InFlight {
    let outside = EndpointEntry {
        cell: Some(1),
        ..entry(2, settings.zone_count - 1)
    };
    let endpoints = [entry(0, 0), entry(1, 0), outside];
    let mut host = TestHost::new(settings.clone(), &endpoints, 4.0);
    let incoming = IncomingRequest {
        class: ClassId(class),
        remaining: settings.classes[class].deadline,
        ..incoming_request()
    };
    let actions = host.handle(Event::RequestArrived(incoming));
    InFlight {
        host,
        request: incoming.request,
        first: sent_to(&actions).expect("all are idle"),
    }
}

/// A retry may arrive up to the connect timeout after it was sent, and must not arrive after the
/// deduplication window.
#[test]
fn retry_is_sent_only_while_it_can_still_arrive_within_the_window() {
    for (number, document) in DEPLOYMENTS.iter().enumerate() {
        let settings = deployment_settings(document);
        let connect_timeout = Duration::from_micros([50_000, 250_000, 1_000_000][number]);
        assert_eq!(settings.connect_timeout, connect_timeout);
        let window = settings
            .classes
            .iter()
            .find_map(|class| match class.idempotency {
                Idempotency::Keyed { window, .. } => Some(window),
                _ => None,
            })
            .unwrap();
        let last = window.checked_sub(settings.connect_timeout).unwrap();
        for (elapsed, in_time) in [
            (last.checked_sub(MICROSECOND).unwrap(), true),
            (last, false),
            (window.checked_sub(MICROSECOND).unwrap(), false),
        ] {
            for class in 0..3 {
                let InFlight {
                    mut host,
                    request,
                    first,
                } = send_first_attempt(&settings, class);
                if elapsed + Duration::from_secs(1) >= settings.classes[class].deadline {
                    continue;
                }
                host.now += elapsed;
                let actions = host.attempt_finished(request, 0, first, Outcome::Error);
                let is_retried = match settings.classes[class].idempotency {
                    Idempotency::Idempotent => true,
                    Idempotency::Keyed { .. } => in_time,
                    Idempotency::NonIdempotent => false,
                };
                assert_eq!(
                    sent_to(&actions).is_some(),
                    is_retried,
                    "deployment {number}, class {class}, {elapsed:?}: {actions:?}"
                );
                assert!(
                    is_retried || is_shed(&actions, request) || is_failed(&actions, request),
                    "deployment {number}, class {class}: {actions:?}"
                );
            }
        }
    }
}

/// The endpoint of the first attempt is found to be unreachable near the end of the deduplication
/// window.
#[test]
fn hedge_is_sent_only_while_it_can_still_arrive_within_the_window() {
    for (margin, is_hedged) in [(MICROSECOND, true), (Duration::ZERO, false)] {
        let settings = deployment_settings(DEPLOYMENTS[0]);
        let InFlight {
            mut host,
            request,
            first,
        } = send_first_attempt(&settings, 1);
        host.advance(700 * MS, &[0, 1, 2]);
        host.now += (100 * MS)
            .checked_sub(settings.connect_timeout + margin)
            .unwrap();
        let other_request = RequestId(1);
        let incoming = IncomingRequest {
            request: other_request,
            class: ClassId(0),
            function: None,
            remaining: 300 * MS,
            ..incoming_request()
        };
        let actions = host.handle(Event::RequestArrived(incoming));
        assert_eq!(sent_to(&actions), Some(first));
        host.attempt_finished(other_request, 0, first, Outcome::ConnectFailed);
        let actions = host.handle(Event::TimerFired);
        let sent_again = actions
            .iter()
            .any(|action| matches!(action, Action::Send { request: id, .. } if *id == request));
        assert_eq!(sent_again, is_hedged, "{actions:?}");
        assert!(
            !is_shed(&actions, request) && !is_failed(&actions, request),
            "its first attempt is still in flight: {actions:?}"
        );
    }
}

/// After the first attempt, its endpoint is listed in another zone and cell, or is gone. Only the
/// deduplication group that it was in at the time of the send recognises a repeat.
#[test]
fn retry_goes_to_the_group_that_the_first_endpoint_was_in_when_the_request_was_sent() {
    for document in &DEPLOYMENTS[1..] {
        let settings = deployment_settings(document);
        let changes: [fn(EndpointEntry<'static>) -> EndpointEntry<'static>; 2] = [
            |entry| EndpointEntry {
                zone: ZoneId(1),
                cell: Some(1),
                started_at: START,
                ..entry
            },
            |entry| EndpointEntry {
                state: EndpointState::Gone,
                ..entry
            },
        ];
        for change in changes {
            let settings = Settings {
                zone_count: 2,
                ..settings.clone()
            };
            let InFlight {
                mut host,
                request,
                first,
            } = send_first_attempt(&settings, 1);
            host.update_endpoints(ListKind::Delta, &[change(entry(first, 0))]);
            let actions = host.attempt_finished(request, 0, first, Outcome::Error);
            assert_eq!(sent_to(&actions), Some(1 - first), "{actions:?}");
        }
    }
}

/// A request whose client has disconnected must not be sent again, even if its attempt in flight
/// cannot be cancelled.
#[test]
fn request_of_a_disconnected_client_is_not_sent_again_where_cancellation_is_not_allowed() {
    for (number, document) in DEPLOYMENTS.iter().enumerate() {
        for (class, cancellation) in [(0, true), (0, false), (1, true), (1, false)] {
            let settings = Settings {
                cancellation,
                ..deployment_settings(document)
            };
            let InFlight {
                mut host,
                request,
                first,
            } = send_first_attempt(&settings, class);
            let actions = host.handle(Event::ClientDisconnected { request });
            assert_eq!(
                actions.contains(&Action::Cancel {
                    request,
                    attempt_index: 0
                }),
                cancellation,
                "deployment {number}: {actions:?}"
            );
            let mut actions = host.handle(Event::ClientDisconnected { request });
            actions.extend(host.attempt_finished(request, 0, first, Outcome::Reset));
            actions.extend(host.advance(500 * MS, &[0, 1, 2]));
            let concerns_the_request = |action: &Action| {
                !matches!(action, Action::SetTimer { .. } | Action::CheckHealth { .. })
            };
            assert!(
                !actions.iter().any(concerns_the_request),
                "deployment {number}, class {class}: {actions:?}"
            );
        }
    }
}

/// A second outcome of the same attempt must be ignored: it must neither free the slots again nor
/// trigger another retry.
#[test]
fn repeated_outcome_frees_its_slots_once() {
    for document in DEPLOYMENTS {
        for outcome in [
            Outcome::Rejected,
            Outcome::ConnectFailed,
            Outcome::Error,
            Outcome::Reset,
            Outcome::Timeout,
        ] {
            let settings = Settings {
                health_checks: false,
                ..deployment_settings(document)
            };
            let limited = EndpointEntry {
                max_concurrent: Some(3),
                ..entry(0, 0)
            };
            let mut host = TestHost::new(settings, std::slice::from_ref(&limited), 4.0);
            let submit = |host: &mut TestHost, number: u64| {
                let incoming = IncomingRequest {
                    request: RequestId(number),
                    remaining: 300 * MS,
                    ..incoming_request()
                };
                sent_to(&host.handle(Event::RequestArrived(incoming)))
            };
            assert!(
                (0..3).all(|number| submit(&mut host, number) == Some(0))
                    && submit(&mut host, 3).is_none()
            );
            host.attempt_finished(RequestId(0), 0, 0, outcome);
            host.attempt_finished(RequestId(0), 0, 0, outcome);
            // The restart clears rejections and ejections, so only used slots hold requests back.
            host.handle(Event::ClientDisconnected {
                request: RequestId(0),
            });
            let restarted = EndpointEntry {
                started_at: START,
                skips_slow_start: true,
                ..limited
            };
            host.update_endpoints(ListKind::Delta, &[restarted]);
            let sent_by_timer = host
                .handle(Event::TimerFired)
                .iter()
                .filter(|action| matches!(action, Action::Send { .. }))
                .count();
            let sent_on_arrival = (4..7)
                .filter(|&number| submit(&mut host, number).is_some())
                .count();
            assert!(
                sent_by_timer + sent_on_arrival <= 1,
                "{outcome:?}: {sent_by_timer} {sent_on_arrival}"
            );
        }
    }
}
