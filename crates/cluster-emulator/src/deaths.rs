//! A gateway that dies at a point of its own program, among two others: the same short day of orders and reads each
//! time, on real sockets, with the counter whole or silent for most of it.
//!
//! The program has to be a test build with the feature `crash-points`.

use crate::play::{play_real, Played, RealOptions};
use crate::real::Special;
use anyhow::{bail, Result};
use cluster_model::file;
use cluster_model::scenario::Scenario;
use cluster_model::{Span, MS};
use gateway::CrashPoint;
use std::path::Path;

/// A gateway that has died is back after this.
const BACK: Span = 700 * MS;
/// A run that was held up is played so often at the most.
const TURNS: u32 = 4;

/// One death.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Death {
    /// Where in its program; `None`: it does not die, to compare with.
    pub point: Option<CrashPoint>,
    /// The how manieth time, from 1, that it comes there.
    pub nth: u64,
    /// The counter says nothing from 1 s on, for 4 s.
    pub cut: bool,
}

impl Death {
    /// At the point, once requests and counter calls are under way.
    pub fn at(point: CrashPoint, cut: bool) -> Death {
        let nth = match point {
            // With the counter cut it is silent meanwhile: the first answers after it.
            CrashPoint::Counted => 12,
            CrashPoint::CallWritten => 20,
            CrashPoint::AttemptWritten | CrashPoint::AnswerRead | CrashPoint::InAnswer => 40,
            CrashPoint::Accepted => 3,
            CrashPoint::ListRead => 2,
            CrashPoint::ReloadRead | CrashPoint::ReloadHalf | CrashPoint::Stopping => 1,
        };
        Death { point: Some(point), nth, cut }
    }

    /// Three gateways and reads and orders within and beyond quotas that bind; something for each point: a reload, a
    /// host that drains, a planned restart.
    pub fn scenario(&self) -> Scenario {
        let cut = if self.cut { "at 1 s: counter silent for 4 s\n" } else { "" };
        let text = format!("{DAY}{cut}{EVENTS}");
        file::parse("death", &text).expect("a scenario of our own")
    }

    /// Plays it. `program` is a test build; every gateway runs it. A run in which something went wrong while the
    /// machine held this process up for longer than answers may be late says nothing, and is played again.
    ///
    /// # Errors
    /// Where it cannot be played, or the machine was too slow each time.
    pub fn play(&self, program: &Path, seed: u64) -> Result<Played> {
        let mut too_slow = String::new();
        for _ in 0..TURNS {
            let played = self.play_once(program, seed)?;
            let well = played.verdict.violations.is_empty() && played.history.findings.is_empty();
            match played.too_slow.clone().filter(|_| !well) {
                None => return Ok(played),
                Some(why) => too_slow = why,
            }
        }
        bail!("{too_slow}")
    }

    fn play_once(&self, program: &Path, seed: u64) -> Result<Played> {
        let switch = self.point.map(|point| format!("{}:{}", point.name(), self.nth));
        let special = switch.map(|switch| Special {
            gateway: 0,
            program: program.to_owned(),
            environment: vec![("FENNELBEAM_CRASH".into(), switch)],
            dies: Some(BACK),
        });
        let options = RealOptions {
            program: program.to_owned(),
            launcher: None,
            links: false,
            replay: None,
            logs: None,
            operators: None,
            special,
            progress: None,
        };
        play_real(&self.scenario(), seed, options)
    }
}

const DAY: &str = "scenario \"A gateway dies at a point of its program\"
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
