//! A gateway dies at a few points of its program among two others, on real sockets: no rule is broken by it. All
//! points are swept by hand (see docs/history.md).

use cluster_emulator::CrashScenario;
use gateway::CrashPoint;
use std::path::Path;

#[test]
fn no_rule_is_broken_by_a_gateway_that_dies_at_a_point_of_its_program() {
    let crash_scenarios = [
        (CrashPoint::AttemptWritten, 10, false),
        (CrashPoint::InAnswer, 10, true),
        (CrashPoint::Counted, 3, false),
        (CrashPoint::ReloadHalf, 1, true),
    ];
    std::thread::scope(|scope| {
        for (point, nth, cut) in crash_scenarios {
            scope.spawn(move || {
                let death = CrashScenario { point: Some(point), nth, counter_silent: cut };
                let played = death.run(Path::new(env!("CARGO_BIN_EXE_api-gateway")), 1).unwrap();
                assert_eq!(played.crashed.len(), 1, "{death:?}");
                assert_eq!(played.verdict.breaches, [], "{death:?}");
                assert_eq!(played.history.findings, [], "{death:?}");
                assert_eq!(played.errors, [""; 0], "{death:?}");
            });
        }
    });
}
