//! What stands on the counter at some triggers, read by a caller of its own in the process of a real gateway.

use crate::ledger::Ledger;
use crate::mix::START;
use anyhow::{ensure, Context, Result};
use bytes::BytesMut;
use cluster_emulator::{run_virtual, GatewayFactory, GatewayStart, VirtualOptions};
use cluster_model::file;
use cluster_model::scenario::{PlanSpec, Site};
use cluster_model::SECOND;
use gateway::{serve, Config};
use policy::api::{CounterKey, CustomerId};
use policy::counter_keys::{leased, reconciled, EPOCH};
use quota::bound::{max_overshoot, Failure, Quota};
use resp::{decode, encode_array_header, encode_bulk, fill, Frame};
use runtime::{Env, Stream, Time};
use simulated_runtime::SimEnv;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::AsyncWriteExt;

/// Units that are leased or were told late, as the counter has them: by customer, and when that was read.
type Totals = BTreeMap<u64, (Time, f64)>;

/// Real gateways; beside the first one, somebody reads the totals of all customers in the ledger at this
/// moment.
fn read_at(moment: Time, ledger: Arc<Mutex<Ledger>>, totals: Arc<Mutex<Totals>>) -> GatewayFactory {
    Arc::new(move |start| {
        let GatewayStart { env, document, signals } = start;
        let read = move || Ok(Config::parse(document.text().as_bytes())?);
        let config: Config = read().expect("a configuration");
        if config.platform.settings.gateway_index == 0 {
            let (own, ledger, totals) = (env.clone(), ledger.clone(), totals.clone());
            let counter = config.counter.expect("a counter");
            env.spawn(async move {
                own.sleep_until(moment).await;
                let customers: Vec<u64> = ledger.lock().unwrap().tallies.keys().copied().collect();
                let read = read_all(&own, counter, &customers).await;
                *totals.lock().unwrap() = read.expect("the counter answers");
            });
        }
        Box::pin(async move { Ok(serve(env, config, read, signals).await?) })
    })
}

async fn read_all(env: &SimEnv, counter: SocketAddr, customers: &[u64]) -> Result<Totals> {
    let (mut reader, mut writer) = env.connect(counter).await?.into_split();
    let (mut input, mut totals) = (BytesMut::new(), Totals::new());
    for customer in customers {
        let (id, now) = (CustomerId(*customer), env.now());
        let mut units = 0.0;
        // Names of the epoch before are still there for some seconds.
        for at in [now, now - EPOCH] {
            for name in [leased(id, at), reconciled(id, at)] {
                writer.write_all(&ask(name)).await?;
                let answer = loop {
                    match decode(&mut input)? {
                        Some(frame) => break frame,
                        None => fill(&mut reader, &mut input).await?,
                    }
                };
                // Behind the point are marks.
                units += number(&answer)?.floor();
            }
        }
        totals.insert(*customer, (env.now(), units));
    }
    Ok(totals)
}

/// A call that adds nothing.
fn ask(name: CounterKey) -> BytesMut {
    let mut out = BytesMut::new();
    encode_array_header(&mut out, 4);
    for word in ["ADDGET", &format!("{:016x}", name.0), "0", "60000"] {
        encode_bulk(&mut out, word.as_bytes());
    }
    out
}

fn number(answer: &Frame) -> Result<f64> {
    ensure!(matches!(answer, Frame::Bulk(_)), "turned away: {answer:?}");
    let Frame::Bulk(text) = answer else { return Ok(0.0) };
    std::str::from_utf8(text)?.parse().context("no total")
}

/// What the counter's totals say beyond what was passed on, 5 s after `back`, for each customer, and the
/// doubt that is stated: what may be leased ahead, and one request at each gateway.
pub fn differences(site: &str, events: &str, back: Time, seed: u64) -> Vec<(u64, f64, f64)> {
    let (read, length_s) = (back + 5, back + 8);
    let text = format!("scenario \"totals\"\nlength {length_s} s\n{site}\n{events}\n");
    let scenario = file::parse("totals", &text).unwrap();
    let (ledger, trace) = Ledger::open(&scenario.site);
    let totals = Arc::new(Mutex::new(Totals::default()));
    let gateway = read_at(START + read * SECOND, ledger.clone(), totals.clone());
    let options = VirtualOptions { trace: Some(trace), gateway: Some(gateway), ..VirtualOptions::default() };
    let played = run_virtual(&scenario, seed, options).expect("it can be played");
    assert_eq!(played.verdict.violations, []);
    let (ledger, totals) = (ledger.lock().unwrap(), totals.lock().unwrap());
    let difference = |(customer, (at, units)): (&u64, &(Time, f64))| {
        let tally = &ledger.tallies[customer];
        (*customer, units - tally.passed(*at), doubt(&tally.plan, &scenario.site))
    };
    totals.iter().map(difference).collect()
}

/// What is leased or in doubt of a greedy customer, and nothing else, by the statement.
fn doubt(plan: &PlanSpec, site: &Site) -> f64 {
    let quota = Quota {
        rate: plan.rate,
        burst: plan.burst,
        set_size: plan.spread.min(site.gateways),
        max_request_units: 6.0,
    };
    max_overshoot(&quota, &Failure::counter_unreachable(0.0, &quota), false)
}
