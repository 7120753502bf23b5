//! The real program under the load rig: what it holds stays within what it was granted, and nothing is lost.

use load_generator::{play, Customers, Outcome, Progress, Rig, Spec, Subject};
use std::path::PathBuf;

fn run(spec: &Spec) -> Outcome {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    let subject = Subject::Gateway(PathBuf::from(env!("CARGO_BIN_EXE_api-gateway")));
    runtime.block_on(play(spec, &subject, &Rig::default(), &Progress::new())).unwrap()
}

#[test]
fn customers_that_come_once_do_not_push_a_small_gateway_over() {
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
    // Of 8 MB the program is granted 6, most of which are pages of its file: how many of a test build's are in memory
    // is the system's choice. What it holds beside them is its own, and 2.0 MB where customers are held to their part.
    assert!(outcome.anonymous_mb < 2.5, "{} MB", outcome.anonymous_mb);
    // However slow the machine, regular customers are served as all are.
    let Outcome { all, regular, ended_well, .. } = outcome;
    assert!(all.due > 100 && regular.due > 10, "{all:?}");
    assert_eq!((all.lost, all.wrong, all.failed), (0, 0, 0), "{all:?}");
    assert!(regular.refused <= regular.due / 50 && ended_well, "{regular:?}");
}
