//! Prints how long 100,000 sightings take: `cargo run --release -p invariants --example pace`.

use cluster_model::draw;
use cluster_model::scenario::{Site, Traffic};
use cluster_model::seen::{Dealt, Got, Seen, What};
use cluster_model::{Time, MS};
use invariants::Judge;
use std::time::Instant;

const REQUESTS: u64 = 20_000;

/// Five sightings each: asked, received, ended, out, answered; one request every 5 ms.
fn sightings() -> Vec<Seen> {
    let life = |thing: u64| {
        let request = draw::id(thing, 0);
        let at: Time = thing * 5 * MS;
        let (gateway, host, units) = (thing as u32 % 3, thing as u32 % 10, (1 + thing % 6) as f64);
        let asked = What::Asked {
            request,
            first_try: request,
            gateway,
            customer: thing % 500,
            class: u32::from(thing % 6 == 0),
            plan: thing as u32 % 2,
            units,
            patience: 1_500 * MS,
        };
        let received = What::Received { request, host, gateway, first_byte: at + MS, work: 75 * MS };
        let ended = What::Ended { request, host, gateway, dealt: Dealt::Served, units: Some(units) };
        [
            Seen { at, what: asked },
            Seen { at: at + 2 * MS, what: received },
            Seen { at: at + 80 * MS, what: ended },
            Seen { at: at + 80 * MS, what: What::Out { request, host, gateway } },
            Seen { at: at + 82 * MS, what: What::Answered { request, gateway, got: Got::Served(true) } },
        ]
    };
    let mut seen: Vec<Seen> = (1..=REQUESTS).flat_map(life).collect();
    seen.sort_by_key(|seen| seen.at);
    seen
}

fn main() {
    let seen = sightings();
    let began = Instant::now();
    let mut judge = Judge::new(&Site::default(), &Traffic::default(), 0);
    seen.iter().for_each(|seen| judge.see(seen));
    let verdict = judge.finish(REQUESTS * 5 * MS + 3_000 * MS);
    let (took, served) = (began.elapsed(), verdict.counts.served);
    println!("{} sightings of {served} served requests judged in {took:?}", seen.len());
}
