//! Runs in which one of three gateways crashes at a crash point of its program: the same short scenario of orders and
//! reads each time, on real sockets, with a working counter or one that is silent for most of the run.
//!
//! The gateway program has to be a test build with the feature `crash-points`.

use crate::real::GatewayOverride;
use crate::run::{run_real, RealOptions, RunOutcome};
use anyhow::{bail, Result};
use cluster_model::file;
use cluster_model::scenario::Scenario;
use cluster_model::{Span, MS};
use gateway::CrashPoint;
use std::path::Path;

/// Time from the crash of a gateway to its restart.
const RESTART_DELAY: Span = 700 * MS;
/// Most runs of a scenario when the machine is too slow.
const MAX_RUNS: u32 = 4;

/// A crash of one gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrashScenario {
    /// The crash point; `None`: no crash, for comparison.
    pub point: Option<CrashPoint>,
    /// Which pass of the crash point, counted from 1, crashes.
    pub nth: u64,
    /// The counter is silent from 1 s on, for 4 s.
    pub counter_silent: bool,
}

impl CrashScenario {
    /// Creates a crash at this point once requests and counter calls are in flight.
    pub fn at(point: CrashPoint, counter_silent: bool) -> CrashScenario {
        let nth = match point {
            // With a silent counter, these are the first replies after its silence.
            CrashPoint::Counted => 12,
            CrashPoint::CallWritten => 20,
            CrashPoint::AttemptWritten | CrashPoint::AnswerRead | CrashPoint::InAnswer => 40,
            CrashPoint::Accepted => 3,
            CrashPoint::ListRead => 2,
            CrashPoint::ReloadRead | CrashPoint::ReloadHalf | CrashPoint::Stopping => 1,
        };
        CrashScenario { point: Some(point), nth, counter_silent }
    }

    /// Returns a scenario of three gateways with reads and orders within and over their quotas. It has a reload, a
    /// draining host and a planned restart, so that each crash point is passed.
    pub fn scenario(&self) -> Scenario {
        let silence = if self.counter_silent { "at 1 s: counter silent for 4 s\n" } else { "" };
        let text = format!("{SITE}{silence}{EVENTS}");
        file::parse("death", &text).expect("built-in scenario parses")
    }

    /// Runs the scenario; each gateway runs `program`, which is a test build. A run with errors is repeated if the machine
    /// delayed this process for longer than the rules allow responses to be late, since it cannot be judged.
    ///
    /// # Errors
    /// Fails if the scenario cannot be run, or the machine was too slow each time.
    pub fn run(&self, program: &Path, seed: u64) -> Result<RunOutcome> {
        let mut too_slow = String::new();
        for _ in 0..MAX_RUNS {
            let outcome = self.run_once(program, seed)?;
            let passed = outcome.verdict.violations.is_empty() && outcome.history.findings.is_empty();
            match outcome.too_slow.clone().filter(|_| !passed) {
                None => return Ok(outcome),
                Some(reason) => too_slow = reason,
            }
        }
        bail!("{too_slow}")
    }

    fn run_once(&self, program: &Path, seed: u64) -> Result<RunOutcome> {
        let crash_setting = self.point.map(|point| format!("{}:{}", point.name(), self.nth));
        let gateway_override = crash_setting.map(|crash_setting| GatewayOverride {
            gateway: 0,
            program: program.to_owned(),
            environment: vec![("FENNELBEAM_CRASH".into(), crash_setting)],
            restart_after_crash: Some(RESTART_DELAY),
        });
        let options = RealOptions {
            program: program.to_owned(),
            launcher: None,
            links: false,
            replay: None,
            logs: None,
            operators: None,
            gateway_override,
            progress: None,
        };
        run_real(&self.scenario(), seed, options)
    }
}

const SITE: &str = "scenario \"A gateway dies at a point of its program\"
length 7 s
site
  gateways 3
  hosts 6
  only plans platform
  plan platform share 100 %, rate 25 units/s, burst 46 units, spread 3 gateways, price 1.6, overrun-cost 60 %
traffic
  rate 50 requests/s
";
const EVENTS: &str = "at 2 s: reload gateway 1
at 2.5 s: drain host 2, gone after 3 s
at 4 s: restart gateway 1
";
