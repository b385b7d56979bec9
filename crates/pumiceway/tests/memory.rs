//! Checks the memory of a dispatcher process under pressure, files counted, and that sound clients
//! beside the troublesome ones get their responses.

mod common;

use pumiceway_test_support::processes::crowds::Conduct;
use pumiceway_test_support::processes::lengthy::LengthyResponse;
use pumiceway_test_support::processes::pressure::{Pressure, PressureReport};

/// The target: a process takes at most this share of its memory limit.
const MAX_MEMORY_SHARE: f64 = 0.8;

/// Runs the program under pressure, and checks its memory and the responses to sound clients.
fn run_and_check(pressure: &Pressure) -> PressureReport {
    let report = pressure.run(&common::release_program());
    let limit = pressure.memory_mb << 20;
    let peak = report.memory.peak;
    assert!(
        peak.total as f64 <= MAX_MEMORY_SHARE * limit as f64,
        "{peak:?} of {limit}, passed after {:?}: {pressure:?}",
        report.exceeded_after
    );
    let violations = &report.rules.violations;
    assert!(violations.is_empty(), "{violations:#?}: {pressure:?}");
    report
}

/// Like [`run_and_check`], where endpoints are sound: each awaited request is served.
fn run_and_check_served(pressure: &Pressure) {
    let rules = run_and_check(pressure).rules;
    assert_eq!(rules.awaited_served, rules.awaited, "{pressure:?}");
}

// Regression test for issue 53: each byte of a body that arrived alone kept the buffer that it was
// read into.
#[test]
fn memory_is_bounded_while_clients_write_large_bodies_slowly() {
    for conduct in [Conduct::SlowBody, Conduct::SlowChunks] {
        run_and_check_served(&Pressure {
            crowds: vec![(conduct, 100)],
            ..Pressure::none()
        });
    }
}

// Regression test for issue 53: the same of load reports.
#[test]
fn memory_is_bounded_while_endpoints_write_load_reports_slowly() {
    run_and_check(&Pressure {
        endpoints: 30,
        responses: vec![LengthyResponse::SlowLoadReport],
        ..Pressure::none()
    });
}

// Regression test for issue 53 and `review/2`: each attempt held a line of up to 400 KiB, and each
// connection a body of up to 64 KiB, and nothing bounded their sum.
#[test]
fn memory_is_bounded_while_clients_and_endpoints_hold_what_they_can() {
    run_and_check(&Pressure {
        memory_mb: 32,
        sockets: 1_024,
        endpoints: 100,
        clients: 200,
        crowds: vec![(Conduct::HalfBody, 40), (Conduct::LargeBodies, 40)],
        responses: vec![
            LengthyResponse::Line,
            LengthyResponse::SlowLine,
            LengthyResponse::LargeResult,
        ],
        ..Pressure::none()
    });
}
