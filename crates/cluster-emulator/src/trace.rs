//! What a real run did to its site and when, as a text that plays it again.
//!
//! A line for each thing. Times are nanoseconds from the first request, below 0 before it:
//!
//! ```text
//! fennelbeam-trace 1
//! seed 7
//! scenario building-lost 30          so many lines of it follow
//! event 10000412345 3                the third event of the scenario began
//! link 10000512345 gateway-1 counter 10012 cut answers for 3000000000 at calls 2 4711
//! process 20000412345 gateway-2 stop
//! end 120                            so many lines stand before this one
//! ```

mod lines;

use crate::real::{Pair, REPLAY_WAIT};
use cluster_model::file;
use cluster_model::scenario::{Event, Scenario};
use fault_proxy::{Fault, LastActivity};
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::path::Path;
use std::time::Duration;

/// Bytes of a trace.
pub(crate) const MOST_BYTES: usize = 16 * 1024 * 1024;
/// What a trace begins with. Another version is another number.
const HEAD: &str = "fennelbeam-trace 1";

/// What was done in a run on processes with links between them.
#[derive(Clone, Debug, PartialEq)]
pub struct RunTrace {
    /// The run's seed.
    pub seed: u64,
    /// What was played.
    pub scenario: Scenario,
    /// Events of the scenario, by their places from 0, and when they began.
    pub(crate) events: Vec<(i64, usize)>,
    /// Faults of links, in the order in which they were asked for.
    pub(crate) links: Vec<LinkLine>,
    /// What processes of gateways were told, and their starts.
    pub(crate) processes: Vec<ProcessLine>,
}

/// A fault of a link that the scenario asked for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LinkLine {
    /// When it began.
    pub at: i64,
    /// Which link.
    pub link: LinkName,
    pub fault: Fault,
    pub lasts: Option<Duration>,
    /// What the link had done last when it began.
    pub after: LastActivity,
}

/// A link: who opens connections to whom, and the port at which those are led to.
pub(crate) type LinkName = (Pair, u16);

/// A gateway's process, numbered from 0, was told something.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ProcessLine {
    pub at: i64,
    pub gateway: u32,
    pub told: &'static str,
}

/// What processes are told.
pub(crate) const TOLD: [&str; 6] = ["start", "reload", "terminate", "kill", "stop", "continue"];

/// Why a trace cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The file cannot be read.
    #[error("{file}: {error}")]
    File {
        /// Its name.
        file: String,
        /// What the system said.
        error: io::Error,
    },
    /// It is larger than any trace that is written.
    #[error("{0}: a trace has {MOST_BYTES} bytes at the most")]
    Large(String),
    /// A line of it means nothing.
    #[error("{file}:{line}: {reason}")]
    Line {
        /// The file's name.
        file: String,
        /// The line, from 1.
        line: usize,
        /// What is wrong there.
        reason: String,
    },
    /// A run did more than a trace holds.
    #[error("the run did more than a trace of {MOST_BYTES} bytes can tell: {0}")]
    TooMuch(String),
}

impl RunTrace {
    /// As text, with the version in its first line.
    ///
    /// # Errors
    /// Where that is longer than a trace may be.
    pub fn to_text(&self) -> Result<String, TraceError> {
        let scenario = file::to_text(&self.scenario);
        // A file may be called anything; the name is one word here.
        let name = self.scenario.name.split_ascii_whitespace().collect::<Vec<_>>().join("-");
        let head = format!("{HEAD}\nseed {}\nscenario {name} {}\n", self.seed, scenario.lines().count());
        let mut text = head + &scenario;
        for (at, place) in &self.events {
            text += &format!("event {at} {}\n", place + 1);
        }
        for line in &self.links {
            text += &format!("{}\n", lines::link_text(line));
        }
        for ProcessLine { at, gateway, told } in &self.processes {
            text += &format!("process {at} gateway-{} {told}\n", gateway + 1);
        }
        text += &format!("end {}\n", text.lines().count());
        if text.len() > MOST_BYTES {
            return Err(TraceError::TooMuch(format!("{} bytes", text.len())));
        }
        Ok(text)
    }

    /// Reads a file.
    ///
    /// # Errors
    /// Where it cannot be read, or is no whole trace of this version: the message names file, line and reason.
    pub fn read(path: &Path) -> Result<RunTrace, TraceError> {
        let file = path.display().to_string();
        let mut text = String::new();
        let opened = std::fs::File::open(path);
        let read = opened.and_then(|file| file.take(MOST_BYTES as u64 + 1).read_to_string(&mut text));
        if let Err(error) = read {
            return Err(TraceError::File { file, error });
        }
        if text.len() > MOST_BYTES {
            return Err(TraceError::Large(file));
        }
        RunTrace::parse(&text).map_err(|(line, reason)| TraceError::Line { file, line, reason })
    }

    /// Reads a text, or says which line is wrong, and why.
    pub(crate) fn parse(text: &str) -> Result<RunTrace, (usize, String)> {
        lines::parse(text)
    }

    /// The scenario with each event at the time at which it began, also where a sign was its moment; one whose sign
    /// never came waits for it again. Faults of links alone are asked for a little sooner, so that the place at which
    /// they began is still to come.
    pub fn timed(&self) -> Scenario {
        let mut scenario = self.scenario.clone();
        for (at, place) in &self.events {
            let Some(timed) = scenario.events.get_mut(*place) else { continue };
            timed.trigger = None;
            let sooner =
                matches!(timed.event, Event::Links(..) | Event::Partition(..) | Event::IsolateBuilding(..));
            let at = u64::try_from(*at).unwrap_or(0).min(scenario.length);
            timed.at = at.saturating_sub(if sooner { REPLAY_WAIT / 2 } else { 0 });
        }
        scenario
    }

    /// How near another run of it has come, in one line.
    pub fn compare(&self, again: &RunTrace) -> String {
        let (mine, other) = (self.by_link(), again.by_link());
        let at_place = mine.iter().map(|(link, faults)| {
            let there = other.get(link).map_or(&[][..], Vec::as_slice);
            faults
                .iter()
                .zip(there)
                .filter(|(one, two)| one.fault == two.fault && one.after == two.after)
                .count()
        });
        let (at_place, all): (usize, _) = (at_place.sum(), self.links.len());
        let (told, retold) = (self.by_gateway(), again.by_gateway());
        let alike = told.iter().filter(|(gateway, told)| retold.get(*gateway) == Some(*told)).count();
        format!(
            "replay: {at_place} of {all} faults of links began at the place that the trace names, the others at their \
             time; {alike} of {} gateways were told the same in the same order",
            told.len()
        )
    }

    /// Faults of each link, in order.
    pub(crate) fn by_link(&self) -> BTreeMap<LinkName, Vec<&LinkLine>> {
        let mut by_link: BTreeMap<LinkName, Vec<&LinkLine>> = BTreeMap::new();
        for line in &self.links {
            by_link.entry(line.link).or_default().push(line);
        }
        by_link
    }

    fn by_gateway(&self) -> BTreeMap<u32, Vec<&str>> {
        let mut by_gateway: BTreeMap<u32, Vec<&str>> = BTreeMap::new();
        for line in &self.processes {
            by_gateway.entry(line.gateway).or_default().push(line.told);
        }
        by_gateway
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::backend::MachineRole;
    use fault_proxy::{Direction, Directions, Place};

    const GATEWAY: MachineRole = MachineRole::Gateway(0);

    /// A trace with each fault, each kind of place and each word to a process.
    fn all() -> RunTrace {
        let span = Duration::from_nanos(1_500_000_001);
        let faults = [
            Fault::Cut { way: Directions::Answers },
            Fault::Hold { way: Directions::Both },
            Fault::Delay { way: Directions::Calls, base: span, jitter: Duration::ZERO },
            Fault::Rate { way: Directions::Both, bytes_per_s: 1024 },
            Fault::Unanswered,
            Fault::Refuse,
            Fault::Reset,
        ];
        let places = [
            LastActivity::Nothing,
            LastActivity::Connecting(3),
            LastActivity::Passed(Place { connection: 2, way: Direction::Answers, bytes: 4711 }),
        ];
        let ends = [MachineRole::Counter, MachineRole::Host(4), MachineRole::Gateway(0)];
        let line = |(n, fault): (usize, &Fault)| LinkLine {
            at: n as i64 * 1_000 - 2_000,
            link: ((GATEWAY, ends[n % 3]), 10_000 + n as u16),
            fault: fault.clone(),
            lasts: (*fault != Fault::Reset).then_some(span),
            after: places[n % 3],
        };
        let text = "scenario \"x\"\nat 1 s: add 1 hosts\nwhen gateway 1 ends: add 1 hosts\nwhen host 1 ends: add 1 hosts";
        RunTrace {
            seed: 7,
            scenario: file::parse("one.scenario", text).unwrap(),
            events: vec![(1_000_000_001, 0), (2_000_000_000, 1)],
            links: faults.iter().enumerate().map(line).collect(),
            processes: TOLD.map(|told| ProcessLine { at: -5, gateway: 2, told }).into(),
        }
    }

    #[test]
    fn a_trace_reads_back_as_it_was_written_and_its_events_have_times() {
        let trace = all();
        let text = trace.to_text().unwrap();
        let mut read = RunTrace::parse(&text).unwrap_or_else(|error| panic!("{error:?}\n{text}"));
        assert_eq!(read.to_text().unwrap(), text);
        // A text that was written has other lines.
        read.scenario.events = trace.scenario.events.clone();
        assert_eq!(read, trace);
        let timed = trace.timed();
        assert!(
            timed.events[1].trigger.is_none() && timed.events[1].at == 2_000_000_000,
            "{:?}",
            timed.events
        );
        assert!(timed.events[2].trigger.is_some(), "a sign that never came is waited for");
    }

    #[test]
    fn what_is_no_whole_trace_is_refused_by_line_and_reason() {
        let text = all().to_text().unwrap();
        let count = text.lines().count();
        let cut = text.rsplit_once("end ").unwrap().0;
        let cases = [
            (String::new(), 1, "expected `fennelbeam-trace 1`, found the end"),
            (
                text.replace("trace 1", "trace 2"),
                1,
                "expected `fennelbeam-trace 1`, found `fennelbeam-trace 2`",
            ),
            (text.replace("seed 7", "seed x"), 2, "expected a seed, found `x`"),
            (text.replace("seed 7", "sed 7"), 2, "expected `seed`, found `sed`"),
            (
                text.replace("at 1 s: add", "at 1 s: ad"),
                7,
                "scenario: unknown event `ad`; did you mean `add`?",
            ),
            (
                text.replace("event 1000000001 1", "event 1000000001 4"),
                10,
                "there is no event 4: the scenario has 3",
            ),
            (text.replace("cut answers", "cut sideways"), 12, "unknown direction `sideways`"),
            (text.replace("cut answers", "tear answers"), 12, "unknown fault `tear`"),
            (text.replace("at first", "at connection 0"), 12, "connections count from 1"),
            (text.replace("at first", "at first 2"), 12, "expected the end of the line, found `2`"),
            (
                text.replace("gateway-3 stop", "gateway-4 stop"),
                23,
                "there is no gateway 4: the scenario has 3",
            ),
            (text.replace("gateway-3 stop", "gateway-3 dance"), 23, "unknown word to a process `dance`"),
            (text.replace("gateway-3 stop", "counter stop"), 23, "expected a gateway"),
            (cut.to_owned(), count, "expected `end`, found the end"),
            (format!("{cut}end 3\n"), count, "24 lines stand before this one, and 3 should"),
            (format!("{text}\n"), count + 1, "nothing stands behind `end`"),
        ];
        for (text, line, reason) in cases {
            assert_eq!(RunTrace::parse(&text), Err((line, reason.to_owned())), "{text}");
        }
    }

    #[test]
    fn files_that_cannot_be_used_are_named() {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("a.trace");
        let name = file.display().to_string();
        let said = || RunTrace::read(&file).unwrap_err().to_string();
        assert!(said().starts_with(&format!("{name}: No such file")), "{}", said());
        std::fs::write(&file, "fennelbeam-trace 9").unwrap();
        assert_eq!(said(), format!("{name}:1: expected `fennelbeam-trace 1`, found `fennelbeam-trace 9`"));
        std::fs::write(&file, vec![b' '; MOST_BYTES + 1]).unwrap();
        assert_eq!(said(), format!("{name}: a trace has 16777216 bytes at the most"));
    }
}
