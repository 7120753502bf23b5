//! Prints the time to check 100,000 observations: `cargo run --release -p invariants --example throughput`.

use cluster_model::observation::{ClientOutcome, HostOutcome, Observation, ObservationKind};
use cluster_model::requests;
use cluster_model::scenario::{Site, Traffic};
use cluster_model::{Time, MS};
use invariants::InvariantChecker;
use std::time::Instant;

const REQUESTS: u64 = 20_000;

/// Returns five observations for each request: sent, received, ended, closed, response; one request every 5 ms.
fn observations() -> Vec<Observation> {
    let life = |thing: u64| {
        let request = requests::request_id(thing, 0);
        let at: Time = thing * 5 * MS;
        let (gateway, host, units) = (thing as u32 % 3, thing as u32 % 10, (1 + thing % 6) as f64);
        let asked = ObservationKind::RequestSent {
            request,
            first_request: request,
            gateway,
            customer: thing % 500,
            class: u32::from(thing % 6 == 0),
            plan: thing as u32 % 2,
            units,
            timeout: 1_500 * MS,
        };
        let received = ObservationKind::AttemptReceived {
            request,
            host,
            gateway,
            first_byte: at + MS,
            expected_work: 75 * MS,
        };
        let ended = ObservationKind::AttemptEnded {
            request,
            host,
            gateway,
            outcome: HostOutcome::Served,
            units: Some(units),
        };
        [
            Observation { at, kind: asked },
            Observation { at: at + 2 * MS, kind: received },
            Observation { at: at + 80 * MS, kind: ended },
            Observation { at: at + 80 * MS, kind: ObservationKind::AttemptClosed { request, host, gateway } },
            Observation {
                at: at + 82 * MS,
                kind: ObservationKind::RequestEnded {
                    request,
                    gateway,
                    outcome: ClientOutcome::Served(true),
                },
            },
        ]
    };
    let mut seen: Vec<Observation> = (1..=REQUESTS).flat_map(life).collect();
    seen.sort_by_key(|seen| seen.at);
    seen
}

fn main() {
    let seen = observations();
    let began = Instant::now();
    let mut checker = InvariantChecker::new(&Site::default(), &Traffic::default(), 0);
    seen.iter().for_each(|seen| checker.observe(seen));
    let verdict = checker.finish(REQUESTS * 5 * MS + 3_000 * MS);
    let (took, served) = (began.elapsed(), verdict.counts.served);
    println!("{} sightings of {served} served requests judged in {took:?}", seen.len());
}
