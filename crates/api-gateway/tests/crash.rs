//! One of three gateways on real sockets crashes at some of the crash points, which must not violate an invariant. All
//! crash points are covered by a sweep that is started manually (see docs/history.md).

use cluster_emulator::Death;
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
                let death = Death { point: Some(point), nth, cut };
                let played = death.play(Path::new(env!("CARGO_BIN_EXE_api-gateway")), 1).unwrap();
                assert_eq!(played.died.len(), 1, "{death:?}");
                assert_eq!(played.verdict.breaches, [], "{death:?}");
                assert_eq!(played.history.findings, [], "{death:?}");
                assert_eq!(played.troubles, [""; 0], "{death:?}");
            });
        }
    });
}
