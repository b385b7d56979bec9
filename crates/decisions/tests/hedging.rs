//! Hedging: a second attempt while the first has not started or does not respond.

mod common;
use common::*;
use pumiceway_decisions::api::*;

#[test]
fn request_that_has_not_started_is_hedged_and_cancelled_when_the_hedge_starts() {
    let mut settings = settings(Idempotency::Idempotent);
    settings.reports_start = true;
    let mut host = TestHost::new(settings, &[entry(0, 0), entry(1, 0)], 4.0);
    let (request, actions) = host.submit(0, 1.0);
    assert_eq!(sent_to(&actions), Some(0));
    host.report_free(1, 4.0);
    let actions = host.advance(60 * MS, &[0, 1]);
    assert!(actions.contains(&send_action(request, 1)), "{actions:?}");
    let actions = host.attempt_started(request, 1, 1);
    assert!(
        actions.contains(&Action::Cancel {
            request,
            attempt_index: 0
        }),
        "{actions:?}"
    );
}

#[test]
fn non_idempotent_request_is_not_hedged_when_its_endpoint_is_unresponsive() {
    let mut host = TestHost::new(
        settings(Idempotency::NonIdempotent),
        &[entry(0, 0), entry(1, 0)],
        4.0,
    );
    let (request, _) = host.submit(0, 1.0);
    let actions = host.advance(4_000 * MS, &[1]);
    assert!(sent_to(&actions).is_none() && !is_shed(&actions, request));
    let actions = host.attempt_finished(request, 0, 0, Outcome::Timeout);
    assert!(is_failed(&actions, request) && !is_shed(&actions, request));
}
