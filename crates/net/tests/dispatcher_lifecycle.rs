//! Startup and shutdown of the dispatcher, on loopback.

use pumiceway_test_support::{SETTINGS, ScenarioRunner};

#[test]
fn a_dispatcher_with_unusual_settings_serves_requests() {
    let zones = r#""zones":["z"],"my-zone":"z","#;
    for (usual, unusual) in [
        (zones, r#""zones":["z"],"my-zone":"z","n-instances":0,"#),
        (zones, r#""zones":["z"],"my-zone":"z","n-instances":1,"#),
        (
            zones,
            r#""zones":["z"],"my-zone":"z","n-instances":300,"me":299,"#,
        ),
        (zones, r#""zones":["z"],"#),
        (zones, r#""zones":[],"#),
        (zones, ""),
        (zones, r#""zones":["empty","z"],"my-zone":"empty","#),
        (r#""kinds":["k"],"#, r#""kinds":[],"#),
    ] {
        let settings = SETTINGS.replacen(usual, unusual, 1);
        assert_ne!(settings, SETTINGS);
        ScenarioRunner::with_settings(&["w1"], None, &settings).continue_with(
            "c send POST /rate-push/k t1 5000 x
             w1 wait a
             a expect POST /rate-push/k t1
             a send done 1
             c expect 200 1",
        );
    }
}

#[test]
fn a_dispatcher_that_shuts_down_responds_to_the_requests_it_has_accepted() {
    let mut runner = ScenarioRunner::run(
        &["w1"],
        "c send POST /booking-import/k t1 5000 x
         i send POST /unknown/k t0 1 x
         i expect 400
         w1 wait a
         a expect POST /booking-import/k t1",
    );
    runner.request_stop();
    // Clients can still connect and receive a response.
    runner.continue_with(
        "d send POST /unknown/k t2 5000 x
         d expect 400
         i expect end
         d expect end
         a send done 3
         c expect 200 3
         c expect end",
    );
    runner.wait_for_exit();
}
