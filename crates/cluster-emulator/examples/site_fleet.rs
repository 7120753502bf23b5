//! What the loss of a building comes to, with and without a plan for it, in virtual time: a table.
//!
//!     cargo run --release -p cluster-emulator --example site_fleet -- GATEWAYS SECONDS FIRST_SEED SEEDS
//!
//! The building is lost with its gateways and hosts for so many seconds at the busiest moment, and comes back cold.
//! `no plan`: the program as it is without one. `at once`: a plan whose ramp takes no time. `told`: operators say by
//! hand that the site is lost, half a second late, and take it back as it comes back.

use anyhow::{bail, Context, Result};
use cluster_emulator::{operators_of, run_virtual, GatewayFactory, RunOutcome, VirtualOptions};
use cluster_model::file;
use cluster_model::scenario::Scenario;
use config_language::model::At;
use gateway::{serve, Config, Operators};
use runtime::{Env, Time};
use std::sync::Arc;

const PLAN: &str = include_str!("../../../scenarios/site-lost.fb");
const SECOND: Time = 1_000_000_000;
/// When clients begin, on the virtual clock.
const START: Time = 1_800_000_002 * SECOND;
/// When the building is lost, in seconds.
const LOST_AT: u64 = 15;

/// A site like that of the days of a whole fleet, with the load of its busiest hour.
fn scenario(gateways: u32, seconds: u64) -> Result<Scenario> {
    let back = LOST_AT + seconds;
    let text = format!(
        "scenario \"A building is lost for {seconds} s\"\nlength {} s\nsite\n  gateways 300, hosts 150, buildings 3\n\
         \x20 start-within 1.5 s, retry-after 1 s\n  host cores 1, speed 0.75, connections 200\n\
         \x20 counter parts 3, rate 1200 calls/s, queue 22\n  plan standard share 48 %, spread 3 gateways\n\
         \x20 plan premium share 52 %, spread 100 gateways\ntraffic\n  rate 640 requests/s, uneven 3\n\
         at {LOST_AT} s: kill all gateways of building 2 for {seconds} s\n\
         at {LOST_AT} s: kill all hosts of building 2 for {seconds} s\n\
         at {LOST_AT}.5 s: reload all gateways\nat {back} s: reload all gateways\n",
        back + 60
    );
    let whole = file::parse("site-loss", &text)?;
    let sized = file::to_text(&whole.with_gateways(gateways));
    Ok(file::parse("site-loss", &sized)?)
}

/// Gateways whose operators' file says by hand that the second building is lost while it is, half a second late.
fn told(plan: Operators, seconds: u64) -> GatewayFactory {
    let lost = START + LOST_AT * SECOND + SECOND / 2..START + (LOST_AT + seconds) * SECOND;
    Arc::new(move |start| {
        let (plan, lost, env, document) = (plan.clone(), lost.clone(), start.env.clone(), start.document);
        let read = move || {
            let mut operators = plan.clone();
            if lost.contains(&env.now()) {
                let site = &mut operators.sites[1];
                site.told = Some(At { value: "lost".into(), origin: site.name.origin.clone() });
            }
            Ok(Config { operators, ..Config::parse(document.text().as_bytes())? })
        };
        Box::pin(async move { Ok(serve(start.env, read()?, read, start.signals).await?) })
    })
}

fn options(policy: &str, plan: &Operators, seconds: u64) -> VirtualOptions<'static> {
    let mut operators = plan.clone();
    match policy {
        "no plan" => VirtualOptions::default(),
        "told" => VirtualOptions { gateway: Some(told(operators, seconds)), ..VirtualOptions::default() },
        "at once" => {
            for site in &mut operators.sites {
                site.ramp = Some(At { value: 0, origin: site.name.origin.clone() });
            }
            VirtualOptions { operators, ..VirtualOptions::default() }
        }
        _ => VirtualOptions { operators, ..VirtualOptions::default() },
    }
}

fn row(policy: &str, seconds: u64, seed: u64, played: &RunOutcome) -> String {
    let verdict = &played.verdict;
    let served = |name: &str| {
        let of = verdict.classes.iter().find(|class| class.name == name).map(|class| class.counts);
        of.map_or(0.0, |counts| 100.0 * counts.served as f64 / counts.asked.max(1) as f64)
    };
    let fell = verdict.hosts.iter().filter(|host| host.overload_crashed).count();
    let wrong = verdict.violations.len() + played.history.findings.len() + played.errors.len();
    format!(
        "| {policy} | {seconds} s | {seed} | {:.3} | {:.3} | {:.1} % | {:.1} % | {fell} | {wrong} |",
        verdict.weighted_share,
        verdict.weighted_share_worst_10s,
        served("unit-order"),
        served("price-read"),
    )
}

fn main() -> Result<()> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [gateways, seconds, first, seeds] = &words[..] else {
        bail!("site_fleet GATEWAYS SECONDS FIRST_SEED SEEDS");
    };
    let (gateways, seconds) = (gateways.parse()?, seconds.parse()?);
    let (first, seeds): (u64, u64) = (first.parse()?, seeds.parse()?);
    let scenario = scenario(gateways, seconds)?;
    let plan = operators_of("site-lost.fb", PLAN, &scenario).context("the plan")?;
    println!("| policy | lost for | seed | worth | worst 10 s | orders served | reads served | hosts that fell | rules broken |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for seed in first..first + seeds {
        for policy in ["no plan", "plan", "at once", "told"] {
            let played = run_virtual(&scenario, seed, options(policy, &plan, seconds))?;
            println!("{}", row(policy, seconds, seed, &played));
        }
    }
    Ok(())
}
