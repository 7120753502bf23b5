//! One of three gateways on real sockets crashes at some of the crash points, which must not violate an invariant. All
//! crash points are covered by a sweep that is started manually (see docs/history.md).

use cluster_emulator::CrashScenario;
use gateway::CrashPoint;
use std::path::Path;

#[test]
fn a_gateway_that_crashes_at_a_crash_point_violates_no_invariant() {
    let crashes = [
        (CrashPoint::AttemptWritten, 10, false),
        (CrashPoint::InAnswer, 10, true),
        (CrashPoint::Counted, 3, false),
        (CrashPoint::ReloadHalf, 1, true),
    ];
    std::thread::scope(|scope| {
        for (point, nth, cut) in crashes {
            scope.spawn(move || {
                let death = CrashScenario { point: Some(point), nth, counter_silent: cut };
                let played = death.run(Path::new(env!("CARGO_BIN_EXE_api-gateway")), 1).unwrap();
                assert_eq!(played.crashed.len(), 1, "{death:?}");
                assert_eq!(played.verdict.violations, [], "{death:?}");
                assert_eq!(played.history.findings, [], "{death:?}");
                assert_eq!(played.errors, [""; 0], "{death:?}");
            });
        }
    });
}
