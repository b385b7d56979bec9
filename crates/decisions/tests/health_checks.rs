//! Health checks: how their outcomes affect an endpoint and the connections to it.

mod common;
use common::*;
use pumiceway_decisions::api::*;

#[test]
fn successful_health_check_restores_an_endpoint_after_a_failed_connection() {
    let mut host = TestHost::new(
        settings(Idempotency::Idempotent),
        &[entry(0, 0), entry(1, 0)],
        4.0,
    );
    let (request, _) = host.submit(0, 1.0);
    let actions = host.attempt_finished(request, 0, 0, Outcome::ConnectFailed);
    assert!(
        actions.contains(&Action::CheckHealth {
            endpoint: EndpointId(0)
        }),
        "{actions:?}"
    );
    assert_eq!(sent_to(&actions), Some(1));
    host.report_free(0, 4.0);
    assert_eq!(host.submit_many(2), [Some(0), Some(0)]);
}

#[test]
fn timed_out_health_check_ejects_the_endpoint_and_a_rejected_one_does_not() {
    let mut host = TestHost::new(
        settings(Idempotency::Idempotent),
        &[entry(0, 0), entry(1, 0)],
        4.0,
    );
    let endpoint = EndpointId(0);
    host.handle(Event::HealthChecked(HealthCheckResult {
        endpoint,
        outcome: Outcome::Timeout,
        latency: 100 * MS,
        report: None,
    }));
    assert_eq!(host.submit_many(1), [Some(1)]);
    let mut host = TestHost::new(
        settings(Idempotency::Idempotent),
        &[entry(0, 0), entry(1, 0)],
        4.0,
    );
    host.handle(Event::HealthChecked(HealthCheckResult {
        endpoint,
        outcome: Outcome::Rejected,
        latency: MS,
        report: None,
    }));
    assert_eq!(
        host.submit_many(1),
        [Some(0)],
        "an endpoint that rejects a health check is reachable"
    );
}

#[test]
fn request_lost_on_an_idle_connection_closes_the_idle_connections() {
    let closes_before_the_third_request = |second_is_lost: bool| {
        let mut settings = settings(Idempotency::Idempotent);
        settings.reports_start = true;
        let mut host = TestHost::new(settings, &[entry(0, 0)], 4.0);
        let (first, _) = host.submit(0, 1.0);
        host.attempt_finished(first, 0, 0, Outcome::Success);
        host.advance(2_000 * MS, &[0]);
        let (second, _) = host.submit(0, 1.0);
        if !second_is_lost {
            host.attempt_finished(second, 0, 0, Outcome::Success);
        }
        host.advance(2_500 * MS, &[0]);
        host.submit(0, 1.0)
            .1
            .contains(&Action::CloseIdleConnections {
                endpoint: EndpointId(0),
            })
    };
    assert!(closes_before_the_third_request(true));
    assert!(!closes_before_the_third_request(false));
}
