//! What stands behind `at 10 s:`.

use super::errors::{Parsed, Place, Reason};
use super::figure::{number_text, share_text, span_text};
use super::lexer::Kind;
use super::line::{Bounds, Line};
use super::{MAX_BUILDINGS, MAX_GATEWAYS, MAX_HOSTS, MAX_LENGTH, MAX_LISTED_MACHINES};
use crate::scenario::{
    CounterFault, DiscoveryFault, Event, LinkDirection, LinkEnd, LinkFault, PartitionSide, RequestFault,
    Selector,
};
use crate::{Span, MS};
use std::fmt;

/// The words that events begin with. The one without a verb begins with its share: `10 % of the clients leave
/// early for 10 s`.
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

/// How links fail.
const LINK_FAULTS: [&str; 6] = ["hold", "cut", "slow", "narrow", "reset", "flap"];

/// How long something lasts.
const LASTING: Bounds<Span> = (MS, MAX_LENGTH);
/// A span that may be nothing.
const WITHIN: Bounds<Span> = (0, MAX_LENGTH);
/// A share that hits something.
const SHARE: Bounds<f64> = (0.0001, 1.0);
/// How many times its part a building gets.
const LEANING: Bounds<f64> = (0.01, 100.0);
/// How many times slower or costlier.
const WORSE: Bounds<f64> = (1.0, 1000.0);

/// KiB a second of a narrow link.
const RATE: Bounds<f64> = (0.1, 1e6);

/// Where parts of an event stand that only the whole file tells right from wrong.
#[derive(Clone, Debug, Default)]
pub(super) struct Marks(pub Vec<Place>);

/// What an event names, in the order of the text: one for each of its [`Marks`].
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Named<'a> {
    Gateway(u32),
    Host(u32),
    Building(u32),
    Gateways(u32),
    Hosts(u32),
    Class(&'a str),
}

/// A kind of machine that events hit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Machines {
    Gateways,
    Hosts,
}

impl Machines {
    fn plural(self) -> &'static str {
        match self {
            Machines::Gateways => "gateways",
            Machines::Hosts => "hosts",
        }
    }

    fn singular(self) -> &'static str {
        match self {
            Machines::Gateways => "gateway",
            Machines::Hosts => "host",
        }
    }
}

/// An event being read.
struct Reader<'l, 'a> {
    line: &'l mut Line<'a>,
    marks: Marks,
}

/// Reads an event up to the end of its line.
pub(super) fn read(line: &mut Line<'_>) -> Parsed<(Event, Marks)> {
    let mut reader = Reader { line, marks: Marks::default() };
    let event = reader.event()?;
    reader.line.require_end()?;
    Ok((event, reader.marks))
}

impl Reader<'_, '_> {
    fn event(&mut self) -> Parsed<Event> {
        if self.line.is_at_figure() {
            return self.leaving();
        }
        match self.line.one_of("event", &EVENT_KEYWORDS)? {
            "kill" => self.kill(),
            "restart" => Ok(match self.machines()? {
                (Machines::Gateways, which) => Event::RestartGateways(which, self.over()?),
                (Machines::Hosts, which) => Event::RestartHosts(which),
            }),
            "reload" => Ok(Event::ReloadGateways(self.only(Machines::Gateways)?)),
            "traffic" => self.traffic(),
            "lean" => self.lean(),
            "slow" => {
                let (machines, which) = self.machines()?;
                let (times, lasting) = (self.line.times("x", WORSE)?, self.lasting()?);
                Ok(match machines {
                    Machines::Gateways => Event::SlowGateways(which, times, lasting),
                    Machines::Hosts => Event::SlowHosts(which, times, lasting),
                })
            }
            "pause" => Ok(Event::PauseHosts(self.only(Machines::Hosts)?, self.lasting()?)),
            "drain" => self.drain(),
            "add" => self.add(),
            "replace" => self.replace(),
            "heavy" => self.heavy(),
            "garble" => self.garble(),
            "cut" => self.cut(),
            "reset" => self.mishap(RequestFault::ConnectionReset),
            "swallow" => self.mishap(RequestFault::Dropped),
            "stale" => self.stale(),
            "counter" => self.counter(),
            "links" => self.links(),
            "stop" => self.stop(),
            "freeze" => Ok(Event::FreezeGateways(self.only(Machines::Gateways)?, self.lasting()?)),
            "clock" => self.clock(),
            "lose" => {
                let building = self.building()?;
                Ok(Event::PowerLoss(building, self.lasting()?))
            }
            _ => self.discovery(),
        }
    }

    /// `gateway 2 for 5 s`, `hosts 1, 3 for 5 s` or `the counter for 5 s`.
    fn stop(&mut self) -> Parsed<Event> {
        self.line.accept("the");
        if self.line.accept("counter") {
            return Ok(Event::SuspendCounter(self.lasting()?));
        }
        let (machines, which) = self.machines()?;
        let lasting = self.lasting()?;
        Ok(match machines {
            Machines::Gateways => Event::SuspendGateways(which, lasting),
            Machines::Hosts => Event::SuspendHosts(which, lasting),
        })
    }

    /// `of gateway 2 ahead 2 s`.
    fn clock(&mut self) -> Parsed<Event> {
        self.line.require("of")?;
        let which = self.only(Machines::Gateways)?;
        let is_ahead = self.line.one_of("direction", &["ahead", "behind"])? == "ahead";
        let by = self.line.span("clock", WITHIN)? as i64;
        Ok(Event::ClockOffset(which, if is_ahead { by } else { -by }))
    }

    fn leaving(&mut self) -> Parsed<Event> {
        let share = self.line.share("clients", SHARE)?;
        for word in ["of", "the", "clients", "leave", "early"] {
            self.line.require(word)?;
        }
        Ok(Event::EarlyDisconnects(share, self.lasting()?))
    }

    fn kill(&mut self) -> Parsed<Event> {
        let (machines, which) = self.machines()?;
        let back = if self.line.is_at_end() { None } else { self.lasting_or_good()? };
        Ok(match machines {
            Machines::Gateways => Event::KillGateways(which, back),
            Machines::Hosts => Event::KillHosts(which, back),
        })
    }

    fn traffic(&mut self) -> Parsed<Event> {
        let times = self.line.times("x", (0.0, 1000.0))?;
        let lasting = self.lasting()?;
        let mut rise = 0;
        if self.line.another()? {
            self.line.require("rising")?;
            self.line.require("in")?;
            rise = self.line.span("rising in", WITHIN)?;
        }
        Ok(Event::Traffic(times, lasting, rise))
    }

    /// `to building 2 x 3 for 15 s`.
    fn lean(&mut self) -> Parsed<Event> {
        self.line.require("to")?;
        let building = self.building()?;
        Ok(Event::SkewTraffic(building, self.line.times("x", LEANING)?, self.lasting()?))
    }

    /// `over 10 s`, or nothing.
    fn over(&mut self) -> Parsed<Span> {
        if self.line.accept("over") {
            return self.line.span("over", WITHIN);
        }
        Ok(0)
    }

    fn drain(&mut self) -> Parsed<Event> {
        let which = self.only(Machines::Hosts)?;
        let over = self.over()?;
        self.line.require_mark(',')?;
        self.line.require("gone")?;
        self.line.require("after")?;
        Ok(Event::DrainHosts(which, over, self.line.span("gone after", WITHIN)?))
    }

    fn add(&mut self) -> Parsed<Event> {
        let count = self.line.count("add", (1, MAX_HOSTS), "hosts")?;
        Ok(Event::AddHosts(count))
    }

    fn replace(&mut self) -> Parsed<Event> {
        let which = self.only(Machines::Hosts)?;
        let same = self.line.another()?;
        if same {
            for word in ["at", "the", "same", "addresses"] {
                self.line.require(word)?;
            }
        }
        Ok(Event::ReplaceHosts(which, same))
    }

    fn heavy(&mut self) -> Parsed<Event> {
        let share = self.line.share("heavy", SHARE)?;
        self.line.require("of")?;
        self.mark();
        let class = self.line.name("class")?.to_owned();
        Ok(Event::ExpensiveRequests(class, share, self.line.times("x", WORSE)?, self.lasting()?))
    }

    fn garble(&mut self) -> Parsed<Event> {
        let share = self.line.share("garble", SHARE)?;
        self.line.require("of")?;
        self.line.require("the")?;
        let whose = self.line.one_of("owner of answers", &["hosts'", "counter's"])?;
        self.line.require("answers")?;
        let lasting = self.lasting()?;
        Ok(match whose {
            "hosts'" => Event::CorruptHostResponses(share, lasting),
            _ => Event::CorruptCounterReplies(share, lasting),
        })
    }

    /// `3 % of requests at all hosts for 20 s`.
    fn mishap(&mut self, mishap: RequestFault) -> Parsed<Event> {
        let share = self.line.share("share", SHARE)?;
        for word in ["of", "requests", "at"] {
            self.line.require(word)?;
        }
        Ok(Event::RequestFaults(mishap, share, self.only(Machines::Hosts)?, self.lasting()?))
    }

    /// `connections after 300 ms at all hosts for 20 s`.
    fn stale(&mut self) -> Parsed<Event> {
        self.line.require("connections")?;
        self.line.require("after")?;
        let after = self.line.span("after", WITHIN)?;
        self.line.require("at")?;
        Ok(Event::StaleConnections(after, self.only(Machines::Hosts)?, self.lasting()?))
    }

    fn cut(&mut self) -> Parsed<Event> {
        if self.line.accept("off") {
            return Ok(Event::IsolateBuilding(self.building()?, self.lasting()?));
        }
        let one = self.side()?;
        self.line.require("from")?;
        let other = self.side()?;
        let lasting = self.lasting()?;
        let resets = self.line.another()?;
        if resets {
            self.line.require("with")?;
            self.line.require("resets")?;
        }
        Ok(Event::Partition(one, other, lasting, resets))
    }

    /// `gateways 1, 2 to the counter cut answers for 5 s`.
    fn links(&mut self) -> Parsed<Event> {
        let gateways = self.only(Machines::Gateways)?;
        self.line.require("to")?;
        let end = self.link_end()?;
        let fault = match self.line.one_of("link fault", &LINK_FAULTS)? {
            "hold" => LinkFault::Hold(self.way()),
            "cut" => LinkFault::Blackhole(self.way()),
            "slow" => {
                let (from, to) = self.line.spans("slow", WITHIN)?;
                LinkFault::Delay(from, to)
            }
            "narrow" => LinkFault::RateLimit(self.line.number("narrow", RATE, "KiB/s")?),
            "reset" => return Ok(Event::Links(gateways, end, LinkFault::Reset, 0)),
            _ => {
                self.line.require("every")?;
                LinkFault::Flap(self.line.span("every", LASTING)?)
            }
        };
        Ok(Event::Links(gateways, end, fault, self.lasting()?))
    }

    fn link_end(&mut self) -> Parsed<LinkEnd> {
        self.line.accept("the");
        Ok(match self.line.peek() {
            Kind::Word("clients" | "counter" | "discovery") => {
                match self.line.one_of("end", &["clients", "counter", "discovery"])? {
                    "clients" => LinkEnd::Clients,
                    "counter" => LinkEnd::Counter,
                    _ => LinkEnd::Discovery,
                }
            }
            _ => LinkEnd::Hosts(self.only(Machines::Hosts)?),
        })
    }

    fn way(&mut self) -> LinkDirection {
        match (self.line.accept("calls"), self.line.accept("answers")) {
            (true, _) => LinkDirection::FromInitiator,
            (_, true) => LinkDirection::ToInitiator,
            _ => LinkDirection::Both,
        }
    }

    fn side(&mut self) -> Parsed<PartitionSide> {
        self.line.accept("the");
        Ok(match self.line.one_of("side", &["building", "gateway", "host", "counter", "clients"])? {
            "building" => PartitionSide::Building(self.numbered("building", MAX_BUILDINGS)?),
            "gateway" => PartitionSide::Gateway(self.numbered("gateway", MAX_GATEWAYS)?),
            "host" => PartitionSide::Host(self.numbered("host", MAX_HOSTS)?),
            "counter" => PartitionSide::Counter,
            _ => PartitionSide::Clients,
        })
    }

    fn counter(&mut self) -> Parsed<Event> {
        let faults = ["lost", "silent", "mute", "slow", "split", "fresh", "flapping", "full"];
        let fault = match self.line.one_of("counter fault", &faults)? {
            "lost" => CounterFault::Unreachable,
            "silent" => CounterFault::DropCalls,
            "mute" => CounterFault::DropReplies,
            "slow" => {
                let (from, to) = self.line.spans("slow", WITHIN)?;
                CounterFault::DelayReplies(from, to)
            }
            "split" => CounterFault::SplitBrain(self.groups()?),
            "fresh" => return Ok(Event::Counter(CounterFault::Reset, 0)),
            "flapping" => {
                self.line.require("every")?;
                CounterFault::Flapping(self.line.span("every", LASTING)?)
            }
            _ => CounterFault::Overloaded,
        };
        Ok(Event::Counter(fault, self.lasting()?))
    }

    /// `1 2 | 3`.
    fn groups(&mut self) -> Parsed<Vec<Vec<u32>>> {
        let mut groups = Vec::new();
        loop {
            let mut group = vec![self.numbered("gateway", MAX_GATEWAYS)?];
            while self.line.is_at_figure() {
                group.push(self.numbered("gateway", MAX_GATEWAYS)?);
            }
            groups.push(group);
            if !self.line.accept_mark('|') {
                break;
            }
        }
        if groups.len() < 2 {
            return self.line.expected("`|` and another group of gateways");
        }
        Ok(groups)
    }

    fn discovery(&mut self) -> Parsed<Event> {
        let faults = ["silent", "late", "repeats", "reordered", "cut"];
        let fault = match self.line.one_of("discovery fault", &faults)? {
            "silent" => DiscoveryFault::Stalled,
            "late" => {
                self.line.require("by")?;
                DiscoveryFault::Delayed(self.line.span("late by", LASTING)?)
            }
            "repeats" => DiscoveryFault::Duplicated,
            "cut" => {
                self.line.require("every")?;
                DiscoveryFault::WatchReset(self.line.span("every", LASTING)?)
            }
            _ => DiscoveryFault::Reordered,
        };
        Ok(Event::Discovery(fault, self.lasting()?))
    }

    /// `for 6 s`.
    fn lasting(&mut self) -> Parsed<Span> {
        self.line.require("for")?;
        self.line.span("for", LASTING)
    }

    /// `for 6 s`, or `for good`.
    fn lasting_or_good(&mut self) -> Parsed<Option<Span>> {
        self.line.require("for")?;
        if self.line.accept("good") {
            return Ok(None);
        }
        self.line.span("for", LASTING).map(Some)
    }

    /// Machines of this kind alone.
    fn only(&mut self, wanted: Machines) -> Parsed<Selector> {
        self.which(&[wanted]).map(|(_, which)| which)
    }

    fn machines(&mut self) -> Parsed<(Machines, Selector)> {
        self.which(&[Machines::Gateways, Machines::Hosts])
    }

    /// `all hosts`, `all hosts of building 2`, `20 % of the hosts`, `2 hosts` or `hosts 2, 5`, of one of these kinds.
    fn which(&mut self, kinds: &[Machines]) -> Parsed<(Machines, Selector)> {
        if self.line.accept("all") {
            let kind = self.kind(kinds)?;
            let which =
                if self.line.accept("of") { Selector::Building(self.building()?) } else { Selector::All };
            return Ok((kind, which));
        }
        if self.line.is_at_share() {
            let share = self.line.share("share", SHARE)?;
            self.line.require("of")?;
            self.line.accept("the");
            return Ok((self.kind(kinds)?, Selector::Share(share)));
        }
        if self.line.is_at_figure() {
            self.mark();
            let count = self.line.count("count", (1, MAX_HOSTS), "")?;
            return Ok((self.kind(kinds)?, Selector::Count(count)));
        }
        let kind = self.kind(kinds)?;
        Ok((kind, Selector::Numbers(self.numbers(kind)?)))
    }

    fn kind(&mut self, kinds: &[Machines]) -> Parsed<Machines> {
        let found =
            kinds.iter().find(|kind| self.line.accept(kind.plural()) || self.line.accept(kind.singular()));
        if let Some(found) = found {
            return Ok(*found);
        }
        let names: Vec<String> = kinds.iter().map(|kind| format!("`{}`", kind.plural())).collect();
        self.line.expected(names.join(" or "))
    }

    /// `2, 5 and 7`.
    fn numbers(&mut self, kind: Machines) -> Parsed<Vec<u32>> {
        let most = match kind {
            Machines::Gateways => MAX_GATEWAYS,
            Machines::Hosts => MAX_HOSTS,
        };
        let mut numbers = vec![self.numbered(kind.singular(), most)?];
        while self.line.accept_comma_before_figure() || self.line.accept("and") {
            if numbers.len() == MAX_LISTED_MACHINES {
                return self.line.fault(Reason::ManyNumbers);
            }
            numbers.push(self.numbered(kind.singular(), most)?);
        }
        Ok(numbers)
    }

    /// `building 2`.
    fn building(&mut self) -> Parsed<u32> {
        self.line.require("building")?;
        self.numbered("building", MAX_BUILDINGS)
    }

    /// The number of a machine or building.
    fn numbered(&mut self, kind: &'static str, most: u32) -> Parsed<u32> {
        self.mark();
        self.line.count(kind, (1, most), "")
    }

    fn mark(&mut self) {
        self.marks.0.push(self.line.place());
    }
}

/// What an event names, as its marks stand.
pub(super) fn named(event: &Event) -> Vec<Named<'_>> {
    match event {
        Event::KillGateways(which, _)
        | Event::RestartGateways(which, _)
        | Event::ReloadGateways(which)
        | Event::SuspendGateways(which, _)
        | Event::FreezeGateways(which, _)
        | Event::ClockOffset(which, _)
        | Event::SlowGateways(which, _, _) => named_machines(which, Named::Gateway, Named::Gateways),
        Event::Links(which, end, ..) => {
            let mut named = named_machines(which, Named::Gateway, Named::Gateways);
            if let LinkEnd::Hosts(hosts) = end {
                named.extend(named_machines(hosts, Named::Host, Named::Hosts));
            }
            named
        }
        Event::PowerLoss(building, _) | Event::IsolateBuilding(building, _) => {
            vec![Named::Building(*building)]
        }
        Event::SlowHosts(which, _, _)
        | Event::PauseHosts(which, _)
        | Event::SuspendHosts(which, _)
        | Event::DrainHosts(which, _, _)
        | Event::KillHosts(which, _)
        | Event::RestartHosts(which)
        | Event::ReplaceHosts(which, _) => named_machines(which, Named::Host, Named::Hosts),
        Event::RequestFaults(_, _, which, _) | Event::StaleConnections(_, which, _) => {
            named_machines(which, Named::Host, Named::Hosts)
        }
        Event::SkewTraffic(building, ..) => vec![Named::Building(*building)],
        Event::ExpensiveRequests(class, ..) => vec![Named::Class(class)],
        Event::Partition(one, other, ..) => [one, other].into_iter().filter_map(named_side).collect(),
        Event::Counter(CounterFault::SplitBrain(groups), _) => {
            groups.iter().flatten().map(|gateway| Named::Gateway(*gateway)).collect()
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

fn named_machines(
    which: &Selector,
    one: fn(u32) -> Named<'static>,
    many: fn(u32) -> Named<'static>,
) -> Vec<Named<'static>> {
    match which {
        Selector::All | Selector::Share(_) => Vec::new(),
        Selector::Count(count) => vec![many(*count)],
        Selector::Numbers(these) => these.iter().copied().map(one).collect(),
        Selector::Building(number) => vec![Named::Building(*number)],
    }
}

fn named_side(side: &PartitionSide) -> Option<Named<'static>> {
    match side {
        PartitionSide::Building(number) => Some(Named::Building(*number)),
        PartitionSide::Gateway(number) => Some(Named::Gateway(*number)),
        PartitionSide::Host(number) => Some(Named::Host(*number)),
        PartitionSide::Counter | PartitionSide::Clients => None,
    }
}

/// The words of a scenario file.
impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let gateways = |which| machines_text(Machines::Gateways, which);
        let hosts = |which| machines_text(Machines::Hosts, which);
        match self {
            Event::KillGateways(which, back) => write!(f, "kill {} {}", gateways(which), back_text(*back)),
            Event::RestartGateways(which, over) => {
                write!(f, "restart {}", gateways(which))?;
                write_if(f, *over > 0, format_args!(" over {}", span_text(*over)))
            }
            Event::ReloadGateways(which) => write!(f, "reload {}", gateways(which)),
            Event::Traffic(times, span, rise) => {
                write!(f, "traffic x {} for {}", number_text(*times), span_text(*span))?;
                write_if(f, *rise > 0, format_args!(", rising in {}", span_text(*rise)))
            }
            Event::SkewTraffic(building, times, span) => {
                let (times, span) = (number_text(*times), span_text(*span));
                write!(f, "lean to building {building} x {times} for {span}")
            }
            Event::SlowHosts(which, times, span) => {
                write!(f, "slow {} x {} for {}", hosts(which), number_text(*times), span_text(*span))
            }
            Event::PauseHosts(which, span) => write!(f, "pause {} for {}", hosts(which), span_text(*span)),
            Event::DrainHosts(which, over, gone) => {
                write!(f, "drain {}", hosts(which))?;
                write_if(f, *over > 0, format_args!(" over {}", span_text(*over)))?;
                write!(f, ", gone after {}", span_text(*gone))
            }
            Event::KillHosts(which, back) => write!(f, "kill {} {}", hosts(which), back_text(*back)),
            Event::RestartHosts(which) => write!(f, "restart {}", hosts(which)),
            Event::AddHosts(count) => {
                write!(f, "add {}", machines_text(Machines::Hosts, &Selector::Count(*count)))
            }
            Event::ReplaceHosts(which, same) => {
                write!(f, "replace {}", hosts(which))?;
                write_if(f, *same, format_args!(", at the same addresses"))
            }
            Event::ExpensiveRequests(class, share, times, span) => {
                let (share, times, span) = (share_text(*share), number_text(*times), span_text(*span));
                write!(f, "heavy {share} of {class} x {times} for {span}")
            }
            Event::CorruptHostResponses(share, span) => {
                write!(f, "garble {} of the hosts' answers for {}", share_text(*share), span_text(*span))
            }
            Event::RequestFaults(mishap, share, which, span) => {
                let verb = match mishap {
                    RequestFault::Dropped => "swallow",
                    RequestFault::ConnectionReset => "reset",
                };
                let (share, span) = (share_text(*share), span_text(*span));
                write!(f, "{verb} {share} of requests at {} for {span}", hosts(which))
            }
            Event::StaleConnections(after, which, span) => {
                let (after, span) = (span_text(*after), span_text(*span));
                write!(f, "stale connections after {after} at {} for {span}", hosts(which))
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
            Event::Links(which, end, fault, span) => {
                write!(f, "links {} to {} ", gateways(which), link_end_text(end))?;
                link_text(f, fault, *span)
            }
            Event::SuspendGateways(which, span) => {
                write!(f, "stop {} for {}", gateways(which), span_text(*span))
            }
            Event::FreezeGateways(which, span) => {
                write!(f, "freeze {} for {}", gateways(which), span_text(*span))
            }
            Event::SuspendHosts(which, span) => write!(f, "stop {} for {}", hosts(which), span_text(*span)),
            Event::SuspendCounter(span) => write!(f, "stop the counter for {}", span_text(*span)),
            Event::ClockOffset(which, by) => {
                let way = if *by < 0 { "behind" } else { "ahead" };
                write!(f, "clock of {} {way} {}", gateways(which), span_text(by.unsigned_abs()))
            }
            Event::SlowGateways(which, times, span) => {
                write!(f, "slow {} x {} for {}", gateways(which), number_text(*times), span_text(*span))
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

fn write_if(f: &mut fmt::Formatter<'_>, wanted: bool, text: fmt::Arguments<'_>) -> fmt::Result {
    if wanted {
        f.write_fmt(text)?;
    }
    Ok(())
}

fn machines_text(kind: Machines, which: &Selector) -> String {
    let numbers = |these: &[u32]| these.iter().map(u32::to_string).collect::<Vec<_>>().join(", ");
    match which {
        Selector::All => format!("all {}", kind.plural()),
        Selector::Share(share) => format!("{} of the {}", share_text(*share), kind.plural()),
        Selector::Building(number) => format!("all {} of building {number}", kind.plural()),
        Selector::Count(1) => format!("1 {}", kind.singular()),
        Selector::Count(count) => format!("{count} {}", kind.plural()),
        Selector::Numbers(these) if these.len() == 1 => format!("{} {}", kind.singular(), numbers(these)),
        Selector::Numbers(these) => format!("{} {}", kind.plural(), numbers(these)),
    }
}

fn back_text(back: Option<Span>) -> String {
    back.map_or("for good".into(), |span| format!("for {}", span_text(span)))
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
        LinkEnd::Hosts(which) => machines_text(Machines::Hosts, which),
        LinkEnd::Counter => "the counter".into(),
        LinkEnd::Discovery => "discovery".into(),
    }
}

fn link_text(f: &mut fmt::Formatter<'_>, fault: &LinkFault, span: Span) -> fmt::Result {
    let way = |way: &LinkDirection| match way {
        LinkDirection::Both => "",
        LinkDirection::FromInitiator => " calls",
        LinkDirection::ToInitiator => " answers",
    };
    match fault {
        LinkFault::Hold(held) => write!(f, "hold{}", way(held))?,
        LinkFault::Blackhole(cut) => write!(f, "cut{}", way(cut))?,
        LinkFault::Delay(from, to) => write!(f, "slow {} to {}", span_text(*from), span_text(*to))?,
        LinkFault::RateLimit(rate) => write!(f, "narrow {} KiB/s", number_text(*rate))?,
        // It happens at one moment: there is nothing to last.
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
        // It forgets at one moment: there is nothing to last.
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
