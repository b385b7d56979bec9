//! How long an endpoint list may be used: one case for each row of `docs/design/membership.md`,
//! with a clock that the test controls.

mod common;

use common::{MS, ONLY_CLASS, START, TestCore, endpoint, request, served, started_attempts};
use pumiceway_core::*;
use pumiceway_decisions::api::{EndpointState, Idempotency, LoadReportSource, Settings, Timestamp};
use pumiceway_decisions::rules::LeaseSignal;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// How long a list is used after the last message of its watch.
const WATCHED_LEASE: Duration = Duration::from_secs(6);

/// A dispatcher with a discovery service that lists one endpoint.
struct Dispatcher {
    core: TestCore,
    request_count: u64,
}

fn listed(state: EndpointState) -> Endpoint {
    Endpoint {
        state,
        ..endpoint("w")
    }
}

impl Dispatcher {
    /// A dispatcher that polls discovery, and starts with the bootstrap list of its configuration.
    fn start(max_poll_interval: Duration) -> Dispatcher {
        Dispatcher::start_with(true, max_poll_interval)
    }

    fn start_with(polls_discovery: bool, max_poll_interval: Duration) -> Dispatcher {
        let settings = Settings {
            health_checks: false,
            load_reports: LoadReportSource::None,
            polls_discovery,
            max_poll_interval,
            ..common::settings(Idempotency::Idempotent)
        };
        let core = TestCore::without_list(settings, CoreLimits::default());
        let mut dispatcher = Dispatcher {
            core,
            request_count: 0,
        };
        dispatcher.update_list(EndpointListUpdate::Bootstrap(vec![listed(
            EndpointState::Ready,
        )]));
        dispatcher.configure("discovery:1");
        dispatcher
    }

    fn configure(&mut self, discovery: &str) {
        self.core.reduce(Event::Configured {
            discovery: Some(discovery.to_owned()),
            list_version: Some(1),
            restart_required: vec![],
        });
    }

    /// Delivers an update of discovery that is current as of now.
    fn update_list(&mut self, update: EndpointListUpdate) {
        self.update_list_as_of(self.core.now, update);
    }

    /// Delivers an update of discovery that was sent at this earlier time.
    fn update_list_as_of(&mut self, as_of: Timestamp, update: EndpointListUpdate) {
        self.core
            .update_list_from(EndpointSource::Discovery, as_of, update);
    }

    /// Advances the clock in one step, and fires the timer at the end.
    fn advance(&mut self, span: Duration) {
        self.core.now += span;
        self.core.fire_timer();
    }

    fn is_ready(&self) -> bool {
        self.core.is_ready
    }

    /// Whether a new request is sent to an endpoint.
    fn sends(&mut self) -> bool {
        self.request_count += 1;
        let effects = self.core.submit_for(ONLY_CLASS, self.request_count, SECOND);
        let attempt = started_attempts(&effects).first().copied();
        if let Some(attempt) = attempt {
            self.core.end_attempt(attempt, served());
        }
        attempt.is_some()
    }
}

#[test]
fn a_bootstrap_list_is_used_only_once_it_is_confirmed() {
    for confirmation in [
        EndpointListUpdate::Unchanged,
        EndpointListUpdate::Delta(vec![]),
    ] {
        let mut dispatcher = Dispatcher::start(10 * SECOND);
        assert!(!dispatcher.sends() && !dispatcher.is_ready());
        // A failed call does not confirm the list.
        dispatcher.update_list(EndpointListUpdate::Lost(LeaseSignal::CallFailed));
        assert!(!dispatcher.sends() && !dispatcher.is_ready());
        dispatcher.update_list(confirmation);
        assert!(dispatcher.is_ready() && dispatcher.sends());
    }
}

#[test]
fn without_a_confirmed_list_the_dispatcher_becomes_ready_but_sends_nothing() {
    let mut dispatcher = Dispatcher::start(10 * SECOND);
    dispatcher.advance(5 * SECOND);
    assert!(dispatcher.is_ready() && !dispatcher.sends());
}

#[test]
fn each_watch_message_renews_the_lease_and_without_messages_it_expires() {
    let mut dispatcher = Dispatcher::start(10 * SECOND);
    dispatcher.update_list(EndpointListUpdate::Delta(vec![]));
    for _ in 0..5 {
        dispatcher.advance(WATCHED_LEASE.checked_sub(MS).unwrap());
        assert!(dispatcher.sends());
        dispatcher.update_list(EndpointListUpdate::Unchanged);
    }
    dispatcher.advance(WATCHED_LEASE);
    assert!(!dispatcher.sends());
    // A heartbeat on a new watch confirms the list again.
    dispatcher.update_list(EndpointListUpdate::Unchanged);
    assert!(dispatcher.sends());
}

#[test]
fn an_expired_lease_is_noticed_without_a_timer_between_its_expiry_and_a_request() {
    let mut dispatcher = Dispatcher::start(10 * SECOND);
    dispatcher.update_list(EndpointListUpdate::Delta(vec![]));
    dispatcher.core.now += 3_600 * SECOND;
    assert!(!dispatcher.sends());
}

#[test]
fn without_a_watch_a_lease_lasts_for_the_poll_interval_of_the_settings() {
    let mut dispatcher = Dispatcher::start(2 * SECOND);
    dispatcher.update_list(EndpointListUpdate::Delta(vec![]));
    dispatcher.update_list(EndpointListUpdate::Lost(LeaseSignal::WatchEnded));
    dispatcher.advance((2 * SECOND).checked_sub(MS).unwrap());
    assert!(dispatcher.sends());
    dispatcher.advance(MS);
    assert!(!dispatcher.sends());
}

#[test]
fn a_failed_call_neither_renews_a_lease_nor_ends_one() {
    for polls_discovery in [true, false] {
        let mut dispatcher = Dispatcher::start_with(polls_discovery, 10 * SECOND);
        dispatcher.update_list(EndpointListUpdate::Delta(vec![]));
        for _ in 0..5 {
            dispatcher.advance(SECOND);
            dispatcher.update_list(EndpointListUpdate::Lost(LeaseSignal::CallFailed));
            assert!(dispatcher.sends());
        }
        dispatcher.advance(SECOND.checked_sub(MS).unwrap());
        dispatcher.update_list(EndpointListUpdate::Lost(LeaseSignal::CallFailed));
        assert!(dispatcher.sends());
        dispatcher.advance(MS);
        assert!(!dispatcher.sends());
        dispatcher.update_list(EndpointListUpdate::Lost(LeaseSignal::CallFailed));
        assert!(!dispatcher.sends());
    }
}

#[test]
fn a_message_that_is_read_late_renews_the_lease_from_its_earliest_send_time() {
    let mut dispatcher = Dispatcher::start(10 * SECOND);
    dispatcher.update_list(EndpointListUpdate::Delta(vec![]));
    dispatcher.advance(5 * SECOND);
    dispatcher.update_list_as_of(START + SECOND, EndpointListUpdate::Unchanged);
    dispatcher.advance((2 * SECOND).checked_sub(MS).unwrap());
    assert!(dispatcher.sends());
    dispatcher.advance(MS);
    assert!(!dispatcher.sends());
    // A message that is too old renews nothing, and one older than the last message changes
    // nothing.
    dispatcher.update_list_as_of(START + SECOND, EndpointListUpdate::Unchanged);
    assert!(!dispatcher.sends());
    dispatcher.update_list(EndpointListUpdate::Unchanged);
    dispatcher.update_list_as_of(START, EndpointListUpdate::Unchanged);
    assert!(dispatcher.sends());
}

#[test]
fn a_pushed_list_is_used_no_longer_than_the_drain_grace_after_the_end_of_its_watch() {
    let mut dispatcher = Dispatcher::start_with(false, 10 * SECOND);
    dispatcher.update_list(EndpointListUpdate::Delta(vec![]));
    dispatcher.advance(SECOND);
    dispatcher.update_list(EndpointListUpdate::Lost(LeaseSignal::WatchEnded));
    dispatcher.advance(200 * MS);
    dispatcher.update_list(EndpointListUpdate::Lost(LeaseSignal::CallFailed));
    dispatcher.advance(149 * MS);
    assert!(dispatcher.sends());
    dispatcher.advance(MS);
    assert!(!dispatcher.sends());
    dispatcher.update_list(EndpointListUpdate::Delta(vec![]));
    assert!(dispatcher.sends());
    // A silent watch does not count as ended until it is abandoned.
    dispatcher.advance(3 * SECOND);
    assert!(dispatcher.sends());
    dispatcher.update_list(EndpointListUpdate::Lost(LeaseSignal::WatchEnded));
    dispatcher.advance(350 * MS);
    assert!(!dispatcher.sends());
}

#[test]
fn an_outdated_list_neither_renews_the_lease_nor_makes_a_draining_endpoint_ready() {
    let mut dispatcher = Dispatcher::start(10 * SECOND);
    let ready = || vec![listed(EndpointState::Ready)];
    let draining = vec![listed(EndpointState::Draining)];
    dispatcher.update_list(EndpointListUpdate::Snapshot(draining));
    dispatcher.update_list(EndpointListUpdate::OutdatedSnapshot(ready()));
    assert!(!dispatcher.sends());
    dispatcher.update_list(EndpointListUpdate::OutdatedDelta(ready()));
    assert!(!dispatcher.sends());
    dispatcher.update_list(EndpointListUpdate::Delta(ready()));
    assert!(dispatcher.sends());
    dispatcher.advance(5 * SECOND);
    dispatcher.update_list(EndpointListUpdate::OutdatedSnapshot(ready()));
    dispatcher.advance(SECOND);
    assert!(!dispatcher.sends());
}

#[test]
fn a_source_that_requires_a_lease_is_used_only_while_it_is_confirmed() {
    let mut dispatcher = Dispatcher::start(10 * SECOND);
    let source = EndpointSource::ZooKeeper;
    dispatcher.core.reduce(Event::LeaseRequired { source });
    let snapshot = EndpointListUpdate::Snapshot(vec![endpoint("node")]);
    dispatcher.core.update_list_from(source, START, snapshot);
    dispatcher.advance(WATCHED_LEASE.checked_sub(MS).unwrap());
    assert!(dispatcher.sends());
    let watch_ended = EndpointListUpdate::Lost(LeaseSignal::WatchEnded);
    dispatcher
        .core
        .update_list_from(source, dispatcher.core.now, watch_ended);
    dispatcher.advance(MS);
    assert!(!dispatcher.sends());
}

#[test]
fn the_previous_address_of_discovery_renews_no_lease() {
    let mut dispatcher = Dispatcher::start(10 * SECOND);
    dispatcher.update_list(EndpointListUpdate::Delta(vec![]));
    dispatcher.configure("elsewhere:1");
    for _ in 0..4 {
        assert!(dispatcher.sends());
        dispatcher.advance(SECOND);
        dispatcher.core.reduce(Event::PreviousSourceUpdated {
            source: EndpointSource::Discovery,
            update: EndpointListUpdate::Unchanged,
        });
    }
    assert!(!dispatcher.sends());
    dispatcher.update_list(EndpointListUpdate::Snapshot(vec![listed(
        EndpointState::Ready,
    )]));
    assert!(dispatcher.sends());
}

#[test]
fn a_source_without_a_lease_does_not_depend_on_discovery() {
    let mut dispatcher = Dispatcher::start(10 * SECOND);
    let worker = Endpoint {
        address: EndpointAddress::Session(1),
        ..endpoint("session")
    };
    let delta = EndpointListUpdate::Delta(vec![worker]);
    dispatcher
        .core
        .update_list_from(EndpointSource::Gearman, Timestamp::ORIGIN, delta);
    dispatcher.advance(3_600 * SECOND);
    assert!(dispatcher.is_ready() && dispatcher.sends());
}

#[test]
fn the_first_byte_of_an_attempt_must_be_written_before_the_lease_expires() {
    let mut dispatcher = Dispatcher::start(10 * SECOND);
    dispatcher.update_list(EndpointListUpdate::Delta(vec![]));
    let effects = dispatcher
        .core
        .submit_request(99, request(ONLY_CLASS, "x", SECOND));
    let write_by = effects.iter().find_map(|effect| match effect {
        Effect::StartAttempt { write_by, .. } => Some(*write_by),
        _ => None,
    });
    assert_eq!(write_by, Some(Some(START + WATCHED_LEASE)), "{effects:?}");
}
