//! Parses and formats events.

use super::errors::{ParseResult, Position, Reason};
use super::lexer::TokenKind;
use super::line::{Bounds, Line};
use super::quantity::{number_text, share_text, span_text};
use super::{MAX_BUILDINGS, MAX_GATEWAYS, MAX_HOSTS, MAX_LENGTH, MAX_LISTED_MACHINES};
use crate::scenario::{
    CounterFault, DiscoveryFault, Event, LinkDirection, LinkEnd, LinkFault, PartitionSide, RequestFault,
    Selector,
};
use crate::{Span, MS};
use std::fmt;

/// The words that events begin with, except for the event that begins with a share: `10 % of the clients
/// leave early for 10 s`.
pub const EVENT_KEYWORDS: [&str; 23] = [
    "kill",
    "restart",
    "reload",
    "traffic",
    "lean",
    "slow",
    "pause",
    "drain",
    "add",
    "replace",
    "heavy",
    "garble",
    "cut",
    "reset",
    "stale",
    "swallow",
    "counter",
    "discovery",
    "links",
    "stop",
    "lose",
    "freeze",
    "clock",
];

/// Keywords of link faults.
const LINK_FAULTS: [&str; 6] = ["hold", "cut", "slow", "narrow", "reset", "flap"];

/// Bounds of a duration.
const DURATION: Bounds<Span> = (MS, MAX_LENGTH);
/// Bounds of a span that may be 0.
const SPAN_OR_ZERO: Bounds<Span> = (0, MAX_LENGTH);
/// Bounds of a share that affects at least something.
const NONZERO_SHARE: Bounds<f64> = (0.0001, 1.0);
/// Bounds of the factor on the traffic of a building.
const SKEW_FACTOR: Bounds<f64> = (0.01, 100.0);
/// Bounds of the factor by which something becomes slower or more expensive.
const SLOWDOWN_FACTOR: Bounds<f64> = (1.0, 1000.0);

/// Bounds of the rate of a link in KiB per second.
const LINK_RATE: Bounds<f64> = (0.1, 1e6);

/// Positions of the parts of an event or trigger that depend on other lines of the file.
#[derive(Clone, Debug, Default)]
pub(super) struct NamePositions(pub Vec<Position>);

/// A reference to machines, buildings or classes: one for each of the [`NamePositions`] of an event or
/// trigger, in the order of the text.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Reference<'a> {
    Gateway(u32),
    Host(u32),
    Building(u32),
    Gateways(u32),
    Hosts(u32),
    Class(&'a str),
}

/// The kinds of machines that events affect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MachineKind {
    Gateways,
    Hosts,
}

impl MachineKind {
    fn plural(self) -> &'static str {
        match self {
            MachineKind::Gateways => "gateways",
            MachineKind::Hosts => "hosts",
        }
    }

    fn singular(self) -> &'static str {
        match self {
            MachineKind::Gateways => "gateway",
            MachineKind::Hosts => "host",
        }
    }
}

/// Reads one event.
struct EventParser<'l, 'a> {
    line: &'l mut Line<'a>,
    positions: NamePositions,
}

/// Reads an event, up to the end of the line.
pub(super) fn read(line: &mut Line<'_>) -> ParseResult<(Event, NamePositions)> {
    let mut parser = EventParser { line, positions: NamePositions::default() };
    let event = parser.event()?;
    parser.line.require_end()?;
    Ok((event, parser.positions))
}

impl EventParser<'_, '_> {
    fn event(&mut self) -> ParseResult<Event> {
        if self.line.is_at_number() {
            return self.early_disconnects();
        }
        match self.line.one_of("event", &EVENT_KEYWORDS)? {
            "kill" => self.kill(),
            "restart" => Ok(match self.any_machines()? {
                (MachineKind::Gateways, selector) => Event::RestartGateways(selector, self.over()?),
                (MachineKind::Hosts, selector) => Event::RestartHosts(selector),
            }),
            "reload" => Ok(Event::ReloadGateways(self.machines_of_kind(MachineKind::Gateways)?)),
            "traffic" => self.traffic(),
            "lean" => self.skew_traffic(),
            "slow" => {
                let (machines, selector) = self.any_machines()?;
                let (factor, duration) = (self.line.factor("x", SLOWDOWN_FACTOR)?, self.duration()?);
                Ok(match machines {
                    MachineKind::Gateways => Event::SlowGateways(selector, factor, duration),
                    MachineKind::Hosts => Event::SlowHosts(selector, factor, duration),
                })
            }
            "pause" => Ok(Event::PauseHosts(self.machines_of_kind(MachineKind::Hosts)?, self.duration()?)),
            "drain" => self.drain(),
            "add" => self.add(),
            "replace" => self.replace(),
            "heavy" => self.expensive_requests(),
            "garble" => self.corrupt_responses(),
            "cut" => self.partition(),
            "reset" => self.request_faults(RequestFault::ConnectionReset),
            "swallow" => self.request_faults(RequestFault::Dropped),
            "stale" => self.stale_connections(),
            "counter" => self.counter(),
            "links" => self.links(),
            "stop" => self.suspend(),
            "freeze" => {
                Ok(Event::FreezeGateways(self.machines_of_kind(MachineKind::Gateways)?, self.duration()?))
            }
            "clock" => self.clock_offset(),
            "lose" => {
                let building = self.building()?;
                Ok(Event::PowerLoss(building, self.duration()?))
            }
            _ => self.discovery(),
        }
    }

    /// Reads what follows `stop`: `gateway 2 for 5 s`, `hosts 1, 3 for 5 s` or `the counter for 5 s`.
    fn suspend(&mut self) -> ParseResult<Event> {
        self.line.accept("the");
        if self.line.accept("counter") {
            return Ok(Event::SuspendCounter(self.duration()?));
        }
        let (machines, selector) = self.any_machines()?;
        let duration = self.duration()?;
        Ok(match machines {
            MachineKind::Gateways => Event::SuspendGateways(selector, duration),
            MachineKind::Hosts => Event::SuspendHosts(selector, duration),
        })
    }

    /// Reads what follows `clock`: `of gateway 2 ahead 2 s`.
    fn clock_offset(&mut self) -> ParseResult<Event> {
        self.line.require("of")?;
        let selector = self.machines_of_kind(MachineKind::Gateways)?;
        let is_ahead = self.line.one_of("direction", &["ahead", "behind"])? == "ahead";
        let offset = self.line.span("clock", SPAN_OR_ZERO)? as i64;
        Ok(Event::ClockOffset(selector, if is_ahead { offset } else { -offset }))
    }

    fn early_disconnects(&mut self) -> ParseResult<Event> {
        let share = self.line.share("clients", NONZERO_SHARE)?;
        for word in ["of", "the", "clients", "leave", "early"] {
            self.line.require(word)?;
        }
        Ok(Event::EarlyDisconnects(share, self.duration()?))
    }

    fn kill(&mut self) -> ParseResult<Event> {
        let (machines, selector) = self.any_machines()?;
        let downtime = if self.line.is_at_end() { None } else { self.duration_or_permanent()? };
        Ok(match machines {
            MachineKind::Gateways => Event::KillGateways(selector, downtime),
            MachineKind::Hosts => Event::KillHosts(selector, downtime),
        })
    }

    fn traffic(&mut self) -> ParseResult<Event> {
        let factor = self.line.factor("x", (0.0, 1000.0))?;
        let duration = self.duration()?;
        let mut rise = 0;
        if self.line.accept_separator()? {
            self.line.require("rising")?;
            self.line.require("in")?;
            rise = self.line.span("rising in", SPAN_OR_ZERO)?;
        }
        Ok(Event::Traffic(factor, duration, rise))
    }

    /// Reads what follows `lean`: `to building 2 x 3 for 15 s`.
    fn skew_traffic(&mut self) -> ParseResult<Event> {
        self.line.require("to")?;
        let building = self.building()?;
        Ok(Event::SkewTraffic(building, self.line.factor("x", SKEW_FACTOR)?, self.duration()?))
    }

    /// Reads an optional `over 10 s`.
    fn over(&mut self) -> ParseResult<Span> {
        if self.line.accept("over") {
            return self.line.span("over", SPAN_OR_ZERO);
        }
        Ok(0)
    }

    fn drain(&mut self) -> ParseResult<Event> {
        let selector = self.machines_of_kind(MachineKind::Hosts)?;
        let over = self.over()?;
        self.line.require_symbol(',')?;
        self.line.require("gone")?;
        self.line.require("after")?;
        Ok(Event::DrainHosts(selector, over, self.line.span("gone after", SPAN_OR_ZERO)?))
    }

    fn add(&mut self) -> ParseResult<Event> {
        let count = self.line.integer("add", (1, MAX_HOSTS), "hosts")?;
        Ok(Event::AddHosts(count))
    }

    fn replace(&mut self) -> ParseResult<Event> {
        let selector = self.machines_of_kind(MachineKind::Hosts)?;
        let same_addresses = self.line.accept_separator()?;
        if same_addresses {
            for word in ["at", "the", "same", "addresses"] {
                self.line.require(word)?;
            }
        }
        Ok(Event::ReplaceHosts(selector, same_addresses))
    }

    fn expensive_requests(&mut self) -> ParseResult<Event> {
        let share = self.line.share("heavy", NONZERO_SHARE)?;
        self.line.require("of")?;
        self.record_position();
        let class = self.line.name("class")?.to_owned();
        Ok(Event::ExpensiveRequests(class, share, self.line.factor("x", SLOWDOWN_FACTOR)?, self.duration()?))
    }

    fn corrupt_responses(&mut self) -> ParseResult<Event> {
        let share = self.line.share("garble", NONZERO_SHARE)?;
        self.line.require("of")?;
        self.line.require("the")?;
        let owner = self.line.one_of("owner of answers", &["hosts'", "counter's"])?;
        self.line.require("answers")?;
        let duration = self.duration()?;
        Ok(match owner {
            "hosts'" => Event::CorruptHostResponses(share, duration),
            _ => Event::CorruptCounterReplies(share, duration),
        })
    }

    /// Reads what follows `reset` or `swallow`: `3 % of requests at all hosts for 20 s`.
    fn request_faults(&mut self, fault: RequestFault) -> ParseResult<Event> {
        let share = self.line.share("share", NONZERO_SHARE)?;
        for word in ["of", "requests", "at"] {
            self.line.require(word)?;
        }
        Ok(Event::RequestFaults(fault, share, self.machines_of_kind(MachineKind::Hosts)?, self.duration()?))
    }

    /// Reads what follows `stale`: `connections after 300 ms at all hosts for 20 s`.
    fn stale_connections(&mut self) -> ParseResult<Event> {
        self.line.require("connections")?;
        self.line.require("after")?;
        let after = self.line.span("after", SPAN_OR_ZERO)?;
        self.line.require("at")?;
        Ok(Event::StaleConnections(after, self.machines_of_kind(MachineKind::Hosts)?, self.duration()?))
    }

    fn partition(&mut self) -> ParseResult<Event> {
        if self.line.accept("off") {
            return Ok(Event::IsolateBuilding(self.building()?, self.duration()?));
        }
        let one = self.partition_side()?;
        self.line.require("from")?;
        let other = self.partition_side()?;
        let duration = self.duration()?;
        let resets = self.line.accept_separator()?;
        if resets {
            self.line.require("with")?;
            self.line.require("resets")?;
        }
        Ok(Event::Partition(one, other, duration, resets))
    }

    /// Reads what follows `links`: `gateways 1, 2 to the counter cut answers for 5 s`.
    fn links(&mut self) -> ParseResult<Event> {
        let gateways = self.machines_of_kind(MachineKind::Gateways)?;
        self.line.require("to")?;
        let end = self.link_end()?;
        let fault = match self.line.one_of("link fault", &LINK_FAULTS)? {
            "hold" => LinkFault::Hold(self.direction()),
            "cut" => LinkFault::Blackhole(self.direction()),
            "slow" => {
                let (from, to) = self.line.span_range("slow", SPAN_OR_ZERO)?;
                LinkFault::Delay(from, to)
            }
            "narrow" => LinkFault::RateLimit(self.line.number("narrow", LINK_RATE, "KiB/s")?),
            "reset" => return Ok(Event::Links(gateways, end, LinkFault::Reset, 0)),
            _ => {
                self.line.require("every")?;
                LinkFault::Flap(self.line.span("every", DURATION)?)
            }
        };
        Ok(Event::Links(gateways, end, fault, self.duration()?))
    }

    fn link_end(&mut self) -> ParseResult<LinkEnd> {
        self.line.accept("the");
        Ok(match self.line.peek() {
            TokenKind::Word("clients" | "counter" | "discovery") => {
                match self.line.one_of("end", &["clients", "counter", "discovery"])? {
                    "clients" => LinkEnd::Clients,
                    "counter" => LinkEnd::Counter,
                    _ => LinkEnd::Discovery,
                }
            }
            _ => LinkEnd::Hosts(self.machines_of_kind(MachineKind::Hosts)?),
        })
    }

    fn direction(&mut self) -> LinkDirection {
        match (self.line.accept("calls"), self.line.accept("answers")) {
            (true, _) => LinkDirection::FromInitiator,
            (_, true) => LinkDirection::ToInitiator,
            _ => LinkDirection::Both,
        }
    }

    fn partition_side(&mut self) -> ParseResult<PartitionSide> {
        self.line.accept("the");
        Ok(match self.line.one_of("side", &["building", "gateway", "host", "counter", "clients"])? {
            "building" => PartitionSide::Building(self.machine_number("building", MAX_BUILDINGS)?),
            "gateway" => PartitionSide::Gateway(self.machine_number("gateway", MAX_GATEWAYS)?),
            "host" => PartitionSide::Host(self.machine_number("host", MAX_HOSTS)?),
            "counter" => PartitionSide::Counter,
            _ => PartitionSide::Clients,
        })
    }

    fn counter(&mut self) -> ParseResult<Event> {
        let faults = ["lost", "silent", "mute", "slow", "split", "fresh", "flapping", "full"];
        let fault = match self.line.one_of("counter fault", &faults)? {
            "lost" => CounterFault::Unreachable,
            "silent" => CounterFault::DropCalls,
            "mute" => CounterFault::DropReplies,
            "slow" => {
                let (from, to) = self.line.span_range("slow", SPAN_OR_ZERO)?;
                CounterFault::DelayReplies(from, to)
            }
            "split" => CounterFault::SplitBrain(self.groups()?),
            "fresh" => return Ok(Event::Counter(CounterFault::Reset, 0)),
            "flapping" => {
                self.line.require("every")?;
                CounterFault::Flapping(self.line.span("every", DURATION)?)
            }
            _ => CounterFault::Overloaded,
        };
        Ok(Event::Counter(fault, self.duration()?))
    }

    /// Reads groups of gateways: `1 2 | 3`.
    fn groups(&mut self) -> ParseResult<Vec<Vec<u32>>> {
        let mut groups = Vec::new();
        loop {
            let mut group = vec![self.machine_number("gateway", MAX_GATEWAYS)?];
            while self.line.is_at_number() {
                group.push(self.machine_number("gateway", MAX_GATEWAYS)?);
            }
            groups.push(group);
            if !self.line.accept_symbol('|') {
                break;
            }
        }
        if groups.len() < 2 {
            return self.line.expected("`|` and another group of gateways");
        }
        Ok(groups)
    }

    fn discovery(&mut self) -> ParseResult<Event> {
        let faults = ["silent", "late", "repeats", "reordered", "cut"];
        let fault = match self.line.one_of("discovery fault", &faults)? {
            "silent" => DiscoveryFault::Stalled,
            "late" => {
                self.line.require("by")?;
                DiscoveryFault::Delayed(self.line.span("late by", DURATION)?)
            }
            "repeats" => DiscoveryFault::Duplicated,
            "cut" => {
                self.line.require("every")?;
                DiscoveryFault::WatchReset(self.line.span("every", DURATION)?)
            }
            _ => DiscoveryFault::Reordered,
        };
        Ok(Event::Discovery(fault, self.duration()?))
    }

    /// Reads `for 6 s`.
    fn duration(&mut self) -> ParseResult<Span> {
        self.line.require("for")?;
        self.line.span("for", DURATION)
    }

    /// Reads `for 6 s` or `for good`.
    fn duration_or_permanent(&mut self) -> ParseResult<Option<Span>> {
        self.line.require("for")?;
        if self.line.accept("good") {
            return Ok(None);
        }
        self.line.span("for", DURATION).map(Some)
    }

    /// Reads a selector of machines of this kind.
    fn machines_of_kind(&mut self, wanted: MachineKind) -> ParseResult<Selector> {
        self.selector(&[wanted]).map(|(_, selector)| selector)
    }

    fn any_machines(&mut self) -> ParseResult<(MachineKind, Selector)> {
        self.selector(&[MachineKind::Gateways, MachineKind::Hosts])
    }

    /// Reads a selector of machines of one of these kinds: `all hosts`, `all hosts of building 2`, `20 % of
    /// the hosts`, `2 hosts` or `hosts 2, 5`.
    fn selector(&mut self, kinds: &[MachineKind]) -> ParseResult<(MachineKind, Selector)> {
        if self.line.accept("all") {
            let kind = self.kind(kinds)?;
            let selector =
                if self.line.accept("of") { Selector::Building(self.building()?) } else { Selector::All };
            return Ok((kind, selector));
        }
        if self.line.is_at_share() {
            let share = self.line.share("share", NONZERO_SHARE)?;
            self.line.require("of")?;
            self.line.accept("the");
            return Ok((self.kind(kinds)?, Selector::Share(share)));
        }
        if self.line.is_at_number() {
            self.record_position();
            let count = self.line.integer("count", (1, MAX_HOSTS), "")?;
            return Ok((self.kind(kinds)?, Selector::Count(count)));
        }
        let kind = self.kind(kinds)?;
        Ok((kind, Selector::Numbers(self.numbers(kind)?)))
    }

    fn kind(&mut self, kinds: &[MachineKind]) -> ParseResult<MachineKind> {
        let found =
            kinds.iter().find(|kind| self.line.accept(kind.plural()) || self.line.accept(kind.singular()));
        if let Some(found) = found {
            return Ok(*found);
        }
        let names: Vec<String> = kinds.iter().map(|kind| format!("`{}`", kind.plural())).collect();
        self.line.expected(names.join(" or "))
    }

    /// Reads a list of machine numbers: `2, 5 and 7`.
    fn numbers(&mut self, kind: MachineKind) -> ParseResult<Vec<u32>> {
        let max = match kind {
            MachineKind::Gateways => MAX_GATEWAYS,
            MachineKind::Hosts => MAX_HOSTS,
        };
        let mut numbers = vec![self.machine_number(kind.singular(), max)?];
        while self.line.accept_comma_before_number() || self.line.accept("and") {
            if numbers.len() == MAX_LISTED_MACHINES {
                return self.line.error(Reason::TooManyListedMachines);
            }
            numbers.push(self.machine_number(kind.singular(), max)?);
        }
        Ok(numbers)
    }

    /// Reads `building 2`.
    fn building(&mut self) -> ParseResult<u32> {
        self.line.require("building")?;
        self.machine_number("building", MAX_BUILDINGS)
    }

    /// Reads the number of a machine or building, and records its position.
    fn machine_number(&mut self, kind: &'static str, max: u32) -> ParseResult<u32> {
        self.record_position();
        self.line.integer(kind, (1, max), "")
    }

    fn record_position(&mut self) {
        self.positions.0.push(self.line.position());
    }
}

/// Returns what an event refers to, in the order of the recorded positions.
pub(super) fn references(event: &Event) -> Vec<Reference<'_>> {
    match event {
        Event::KillGateways(selector, _)
        | Event::RestartGateways(selector, _)
        | Event::ReloadGateways(selector)
        | Event::SuspendGateways(selector, _)
        | Event::FreezeGateways(selector, _)
        | Event::ClockOffset(selector, _)
        | Event::SlowGateways(selector, _, _) => {
            machine_references(selector, Reference::Gateway, Reference::Gateways)
        }
        Event::Links(selector, end, ..) => {
            let mut references = machine_references(selector, Reference::Gateway, Reference::Gateways);
            if let LinkEnd::Hosts(hosts) = end {
                references.extend(machine_references(hosts, Reference::Host, Reference::Hosts));
            }
            references
        }
        Event::PowerLoss(building, _) | Event::IsolateBuilding(building, _) => {
            vec![Reference::Building(*building)]
        }
        Event::SlowHosts(selector, _, _)
        | Event::PauseHosts(selector, _)
        | Event::SuspendHosts(selector, _)
        | Event::DrainHosts(selector, _, _)
        | Event::KillHosts(selector, _)
        | Event::RestartHosts(selector)
        | Event::ReplaceHosts(selector, _) => machine_references(selector, Reference::Host, Reference::Hosts),
        Event::RequestFaults(_, _, selector, _) | Event::StaleConnections(_, selector, _) => {
            machine_references(selector, Reference::Host, Reference::Hosts)
        }
        Event::SkewTraffic(building, ..) => vec![Reference::Building(*building)],
        Event::ExpensiveRequests(class, ..) => vec![Reference::Class(class)],
        Event::Partition(one, other, ..) => {
            [one, other].into_iter().filter_map(partition_side_reference).collect()
        }
        Event::Counter(CounterFault::SplitBrain(groups), _) => {
            groups.iter().flatten().map(|gateway| Reference::Gateway(*gateway)).collect()
        }
        Event::Traffic(..)
        | Event::AddHosts(_)
        | Event::CorruptHostResponses(..)
        | Event::CorruptCounterReplies(..)
        | Event::Counter(..)
        | Event::SuspendCounter(_)
        | Event::Discovery(..)
        | Event::EarlyDisconnects(..) => Vec::new(),
    }
}

fn machine_references(
    selector: &Selector,
    numbered: fn(u32) -> Reference<'static>,
    counted: fn(u32) -> Reference<'static>,
) -> Vec<Reference<'static>> {
    match selector {
        Selector::All | Selector::Share(_) => Vec::new(),
        Selector::Count(count) => vec![counted(*count)],
        Selector::Numbers(numbers) => numbers.iter().copied().map(numbered).collect(),
        Selector::Building(number) => vec![Reference::Building(*number)],
    }
}

fn partition_side_reference(side: &PartitionSide) -> Option<Reference<'static>> {
    match side {
        PartitionSide::Building(number) => Some(Reference::Building(*number)),
        PartitionSide::Gateway(number) => Some(Reference::Gateway(*number)),
        PartitionSide::Host(number) => Some(Reference::Host(*number)),
        PartitionSide::Counter | PartitionSide::Clients => None,
    }
}

/// Formats an event as in a scenario file.
impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let gateways = |selector| machines_text(MachineKind::Gateways, selector);
        let hosts = |selector| machines_text(MachineKind::Hosts, selector);
        match self {
            Event::KillGateways(selector, downtime) => {
                write!(f, "kill {} {}", gateways(selector), downtime_text(*downtime))
            }
            Event::RestartGateways(selector, over) => {
                write!(f, "restart {}", gateways(selector))?;
                write_if(f, *over > 0, format_args!(" over {}", span_text(*over)))
            }
            Event::ReloadGateways(selector) => write!(f, "reload {}", gateways(selector)),
            Event::Traffic(factor, span, rise) => {
                write!(f, "traffic x {} for {}", number_text(*factor), span_text(*span))?;
                write_if(f, *rise > 0, format_args!(", rising in {}", span_text(*rise)))
            }
            Event::SkewTraffic(building, factor, span) => {
                let (factor, span) = (number_text(*factor), span_text(*span));
                write!(f, "lean to building {building} x {factor} for {span}")
            }
            Event::SlowHosts(selector, factor, span) => {
                write!(f, "slow {} x {} for {}", hosts(selector), number_text(*factor), span_text(*span))
            }
            Event::PauseHosts(selector, span) => {
                write!(f, "pause {} for {}", hosts(selector), span_text(*span))
            }
            Event::DrainHosts(selector, over, stop_after) => {
                write!(f, "drain {}", hosts(selector))?;
                write_if(f, *over > 0, format_args!(" over {}", span_text(*over)))?;
                write!(f, ", gone after {}", span_text(*stop_after))
            }
            Event::KillHosts(selector, downtime) => {
                write!(f, "kill {} {}", hosts(selector), downtime_text(*downtime))
            }
            Event::RestartHosts(selector) => write!(f, "restart {}", hosts(selector)),
            Event::AddHosts(count) => {
                write!(f, "add {}", machines_text(MachineKind::Hosts, &Selector::Count(*count)))
            }
            Event::ReplaceHosts(selector, same_addresses) => {
                write!(f, "replace {}", hosts(selector))?;
                write_if(f, *same_addresses, format_args!(", at the same addresses"))
            }
            Event::ExpensiveRequests(class, share, factor, span) => {
                let (share, factor, span) = (share_text(*share), number_text(*factor), span_text(*span));
                write!(f, "heavy {share} of {class} x {factor} for {span}")
            }
            Event::CorruptHostResponses(share, span) => {
                write!(f, "garble {} of the hosts' answers for {}", share_text(*share), span_text(*span))
            }
            Event::RequestFaults(fault, share, selector, span) => {
                let verb = match fault {
                    RequestFault::Dropped => "swallow",
                    RequestFault::ConnectionReset => "reset",
                };
                let (share, span) = (share_text(*share), span_text(*span));
                write!(f, "{verb} {share} of requests at {} for {span}", hosts(selector))
            }
            Event::StaleConnections(after, selector, span) => {
                let (after, span) = (span_text(*after), span_text(*span));
                write!(f, "stale connections after {after} at {} for {span}", hosts(selector))
            }
            Event::CorruptCounterReplies(share, span) => {
                write!(f, "garble {} of the counter's answers for {}", share_text(*share), span_text(*span))
            }
            Event::Partition(one, other, span, resets) => {
                write!(f, "cut {} from {} for {}", side_text(one), side_text(other), span_text(*span))?;
                write_if(f, *resets, format_args!(", with resets"))
            }
            Event::Counter(fault, span) => counter_text(f, fault, *span),
            Event::Discovery(fault, span) => {
                let fault = discovery_text(fault);
                write!(f, "discovery {fault} for {}", span_text(*span))
            }
            Event::Links(selector, end, fault, span) => {
                write!(f, "links {} to {} ", gateways(selector), link_end_text(end))?;
                link_text(f, fault, *span)
            }
            Event::SuspendGateways(selector, span) => {
                write!(f, "stop {} for {}", gateways(selector), span_text(*span))
            }
            Event::FreezeGateways(selector, span) => {
                write!(f, "freeze {} for {}", gateways(selector), span_text(*span))
            }
            Event::SuspendHosts(selector, span) => {
                write!(f, "stop {} for {}", hosts(selector), span_text(*span))
            }
            Event::SuspendCounter(span) => write!(f, "stop the counter for {}", span_text(*span)),
            Event::ClockOffset(selector, offset) => {
                let direction = if *offset < 0 { "behind" } else { "ahead" };
                write!(f, "clock of {} {direction} {}", gateways(selector), span_text(offset.unsigned_abs()))
            }
            Event::SlowGateways(selector, factor, span) => {
                write!(f, "slow {} x {} for {}", gateways(selector), number_text(*factor), span_text(*span))
            }
            Event::PowerLoss(building, span) => {
                write!(f, "lose building {building} for {}", span_text(*span))
            }
            Event::IsolateBuilding(building, span) => {
                write!(f, "cut off building {building} for {}", span_text(*span))
            }
            Event::EarlyDisconnects(share, span) => {
                write!(f, "{} of the clients leave early for {}", share_text(*share), span_text(*span))
            }
        }
    }
}

fn write_if(f: &mut fmt::Formatter<'_>, condition: bool, text: fmt::Arguments<'_>) -> fmt::Result {
    if condition {
        f.write_fmt(text)?;
    }
    Ok(())
}

fn machines_text(kind: MachineKind, selector: &Selector) -> String {
    let joined = |numbers: &[u32]| numbers.iter().map(u32::to_string).collect::<Vec<_>>().join(", ");
    match selector {
        Selector::All => format!("all {}", kind.plural()),
        Selector::Share(share) => format!("{} of the {}", share_text(*share), kind.plural()),
        Selector::Building(number) => format!("all {} of building {number}", kind.plural()),
        Selector::Count(1) => format!("1 {}", kind.singular()),
        Selector::Count(count) => format!("{count} {}", kind.plural()),
        Selector::Numbers(numbers) if numbers.len() == 1 => {
            format!("{} {}", kind.singular(), joined(numbers))
        }
        Selector::Numbers(numbers) => format!("{} {}", kind.plural(), joined(numbers)),
    }
}

fn downtime_text(downtime: Option<Span>) -> String {
    downtime.map_or("for good".into(), |span| format!("for {}", span_text(span)))
}

fn side_text(side: &PartitionSide) -> String {
    match side {
        PartitionSide::Building(number) => format!("building {number}"),
        PartitionSide::Gateway(number) => format!("gateway {number}"),
        PartitionSide::Host(number) => format!("host {number}"),
        PartitionSide::Counter => "the counter".into(),
        PartitionSide::Clients => "the clients".into(),
    }
}

fn link_end_text(end: &LinkEnd) -> String {
    match end {
        LinkEnd::Clients => "the clients".into(),
        LinkEnd::Hosts(selector) => machines_text(MachineKind::Hosts, selector),
        LinkEnd::Counter => "the counter".into(),
        LinkEnd::Discovery => "discovery".into(),
    }
}

fn link_text(f: &mut fmt::Formatter<'_>, fault: &LinkFault, span: Span) -> fmt::Result {
    let direction = |direction: &LinkDirection| match direction {
        LinkDirection::Both => "",
        LinkDirection::FromInitiator => " calls",
        LinkDirection::ToInitiator => " answers",
    };
    match fault {
        LinkFault::Hold(held) => write!(f, "hold{}", direction(held))?,
        LinkFault::Blackhole(dropped) => write!(f, "cut{}", direction(dropped))?,
        LinkFault::Delay(from, to) => write!(f, "slow {} to {}", span_text(*from), span_text(*to))?,
        LinkFault::RateLimit(rate) => write!(f, "narrow {} KiB/s", number_text(*rate))?,
        // A reset happens at one instant, so it has no duration.
        LinkFault::Reset => return f.write_str("reset"),
        LinkFault::Flap(every) => write!(f, "flap every {}", span_text(*every))?,
    }
    write!(f, " for {}", span_text(span))
}

fn counter_text(f: &mut fmt::Formatter<'_>, fault: &CounterFault, span: Span) -> fmt::Result {
    f.write_str("counter ")?;
    match fault {
        CounterFault::Unreachable => f.write_str("lost")?,
        CounterFault::DropCalls => f.write_str("silent")?,
        CounterFault::DropReplies => f.write_str("mute")?,
        CounterFault::DelayReplies(from, to) => write!(f, "slow {} to {}", span_text(*from), span_text(*to))?,
        CounterFault::SplitBrain(groups) => {
            let group = |group: &Vec<u32>| group.iter().map(u32::to_string).collect::<Vec<_>>().join(" ");
            write!(f, "split {}", groups.iter().map(group).collect::<Vec<_>>().join(" | "))?;
        }
        // The values are lost at one instant, so the fault has no duration.
        CounterFault::Reset => return f.write_str("fresh"),
        CounterFault::Flapping(every) => write!(f, "flapping every {}", span_text(*every))?,
        CounterFault::Overloaded => f.write_str("full")?,
    }
    write!(f, " for {}", span_text(span))
}

fn discovery_text(fault: &DiscoveryFault) -> String {
    match fault {
        DiscoveryFault::Stalled => "silent".into(),
        DiscoveryFault::Delayed(by) => format!("late by {}", span_text(*by)),
        DiscoveryFault::Duplicated => "repeats".into(),
        DiscoveryFault::Reordered => "reordered".into(),
        DiscoveryFault::WatchReset(every) => format!("cut every {}", span_text(*every)),
    }
}
