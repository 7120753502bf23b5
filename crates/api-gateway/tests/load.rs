//! The real program under generated load: its memory stays within the limit, and no request is lost.

use load_generator::{play, Customers, Outcome, Progress, Rig, Spec, Subject};
use std::path::PathBuf;

fn run(spec: &Spec) -> Outcome {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let subject = Subject::Gateway(PathBuf::from(env!("CARGO_BIN_EXE_api-gateway")));
    runtime.block_on(play(spec, &subject, &Rig::default(), &Progress::new())).unwrap()
}

#[test]
fn one_time_customers_do_not_exceed_the_memory_of_a_small_gateway() {
    let spec = Spec {
        draw: Customers::Once,
        customers: 10_000_000,
        regular: 50,
        memory_mb: 8,
        sockets: 256,
        hosts: 8,
        service_ms: 1.0,
        connections: 16,
        warm_s: 0.2,
        length_s: 3.0,
        ..Spec::default()
    };
    let outcome = run(&spec);
    // Of the 8 MB, 6 are reserved for the program, most of which are pages of its executable: the system decides how
    // many of those of a test build are resident. The anonymous memory beside them is 2.0 MB if customers stay within
    // their part.
    assert!(outcome.anonymous_mb < 2.5, "{} MB", outcome.anonymous_mb);
    // Regular customers are served as well as all others, also on a slow machine.
    let Outcome { all, regular, ended_well, .. } = outcome;
    assert!(all.due > 100 && regular.due > 10, "{all:?}");
    assert_eq!((all.lost, all.wrong, all.failed), (0, 0, 0), "{all:?}");
    assert!(regular.refused <= regular.due / 50 && ended_well, "{regular:?}");
}
