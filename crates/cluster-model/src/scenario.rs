//! A scenario: a site, its traffic, and what happens to it when.

use crate::observation::Lifecycle;
use crate::{Span, Time, MS, SECOND};

/// A whole rehearsal.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Its short name, as given on the command line.
    pub name: String,
    /// One line for people.
    pub title: String,
    /// For how long clients ask.
    pub length: Span,
    /// The site.
    pub site: Site,
    /// What clients ask.
    pub traffic: Traffic,
    /// What happens, in the order of the file; at the same instant, earlier lines first and all of them
    /// before any message that is due then.
    pub events: Vec<Timed>,
}

/// An event and when it happens.
#[derive(Clone, Debug, PartialEq)]
pub struct Timed {
    /// Counted from the first request. Behind a sign, the latest at which that may come.
    pub at: Span,
    /// By what it begins, if by something seen and not by the clock.
    pub sign: Option<Sign>,
    /// Line of the file; 0 where there is none.
    pub line: u32,
    /// What happens.
    pub event: Event,
}

/// Something seen by which an event begins, the first time or the n-th. Machines are numbered from 1.
#[derive(Clone, Debug, PartialEq)]
pub enum Sign {
    /// The counter is through with the n-th call of this gateway.
    CounterCall(u32, u32),
    /// The n-th call of this gateway has come whole to this host, or to any.
    HostCall(u32, Option<u32>, u32),
    /// Clients have written their n-th request to this gateway.
    Request(u32, u32),
    /// Clients have got their n-th whole answer from this gateway.
    Answer(u32, u32),
    /// Discovery has written to this gateway that this host is in this state.
    Told(u32, u32, Lifecycle),
    /// This host is told to drain.
    Drains(u32),
    /// A process of this gateway has started (true), or ended.
    Gateway(u32, bool),
    /// This host has started (true), or is gone.
    Host(u32, bool),
    /// A line of this gateway's log holds this text.
    Log(u32, String),
}

/// The machines of a site. The values of [`Site::default`] are those of `iasi-park`, in the middle of their
/// ranges.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Gateways.
    pub gateways: u32,
    /// Hosts in service at the start.
    pub hosts: u32,
    /// Buildings; gateways and hosts are dealt out to them in turn.
    pub buildings: u32,
    /// What a host is like.
    pub host: HostSpec,
    /// The counter.
    pub counter: CounterSpec,
    /// Discovery.
    pub discovery: DiscoverySpec,
    /// The network.
    pub network: NetworkSpec,
    /// Classes of requests.
    pub classes: Vec<ClassSpec>,
    /// Plans of customers.
    pub plans: Vec<PlanSpec>,
    /// Figures of the five rules.
    pub rules: RulesSpec,
    /// Descriptors of a gateway.
    pub sockets: u32,
    /// Memory of a gateway in MB.
    pub memory_mb: u32,
    /// Refusals may carry advice when to come back: the longest that clients follow.
    pub retry_after: Option<Span>,
    /// Attempts that a request may have.
    pub max_attempts: u32,
    /// Gateways that start at the same time do so within this, each at its own moment; 0: at one instant.
    pub start_within: Span,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
}

/// A host. Work is counted in nanoseconds of one core at speed 1.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSpec {
    /// Cores.
    pub cores: u32,
    /// Speed of a core; each host draws its own from `speed` times 1 +- `speed_spread`.
    pub speed: f64,
    /// See `speed`.
    pub speed_spread: f64,
    /// Requests in work at once.
    pub slots: u32,
    /// Requests that may wait beyond those; more are turned away.
    pub queue: u32,
    /// Requests held, per core, above which a host works less well.
    pub thrash_at: f64,
    /// Share of its capacity that it loses for each further one held per core, down to a quarter.
    pub thrash: f64,
    /// Share of its capacity at the start.
    pub cold_share: f64,
    /// It is warm after this.
    pub cold: Span,
    /// Connections it holds; further ones are reset.
    pub connections: u32,
    /// Work that a new connection costs.
    pub handshake: Span,
    /// Share of requests that end in an error after they have run.
    pub error_rate: f64,
    /// It closes connections that have stood idle for this long.
    pub idle: Span,
}

/// The counter service.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterSpec {
    /// Whether there is one.
    pub on: bool,
    /// Parts, among which names are split.
    pub parts: u32,
    /// Calls a second that all parts together take.
    pub calls_per_s: f64,
    /// What a call takes beside the way there and back.
    pub call: Span,
    /// Calls that may wait at a part; more are turned away.
    pub queue: u32,
    /// Gateways give a call up after this.
    pub timeout: Span,
    /// The building that it stands in, numbered from 1.
    pub building: u32,
}

/// Discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoverySpec {
    /// How long until agents hear of a change: each agent draws its own delay for each change from here.
    pub notice: (Span, Span),
    /// How long until agents hear of a host that died without a word.
    pub silent_notice: (Span, Span),
}

/// One way, in nanoseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkSpec {
    /// Within a building.
    pub same: Span,
    /// Between buildings.
    pub cross: Span,
    /// From a client to any gateway.
    pub client: Span,
    /// Each message takes up to this share more.
    pub jitter: f64,
    /// Bytes that may be on their way and unread on a connection in one direction.
    pub window: u32,
}

/// What may happen again once it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeated at will.
    Safe,
    /// Hosts drop repeats for this long.
    Keyed(Span),
    /// Never again.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Share of all requests.
    pub share: f64,
    /// Mean work of a unit-free request.
    pub work: Span,
    /// Coefficient of variation of the work (lognormal).
    pub work_cv: f64,
    /// Wanted within this.
    pub aim: Span,
    /// Given up after this.
    pub deadline: Span,
    /// Worth, before units and plan.
    pub worth: f64,
    /// Share of the worth of a late answer.
    pub late_worth: f64,
    /// Whether it may run again.
    pub effect: Effect,
}

/// A plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSpec {
    /// Its name.
    pub name: String,
    /// Share of what is asked inside quotas, in units.
    pub share: f64,
    /// Units a second.
    pub rate: f64,
    /// Units the store holds.
    pub burst: f64,
    /// Attempts out at once; 0: no such limit.
    pub open: u32,
    /// Factor on the worth.
    pub price: f64,
    /// Share of the worth earned beyond the quota.
    pub extra_worth: f64,
    /// Share of the worth that sending beyond the quota costs.
    pub overrun_cost: f64,
    /// Units a second of a hard ceiling; 0: none.
    pub ceiling_rate: f64,
    /// Units that its store holds.
    pub ceiling_burst: f64,
    /// Units that its store may go below nothing.
    pub ceiling_slack: f64,
    /// Gateways that a customer comes through; the site's number of gateways at the most.
    pub spread: u32,
}

/// Figures of the rules.
#[derive(Clone, Debug, PartialEq)]
pub struct RulesSpec {
    /// Nothing new to a host later than this after the news that it drains or is gone.
    pub drain_grace: Span,
    /// A cold host falls when sent more than this many times what it can do...
    pub fall_multiple: f64,
    /// ... for this long.
    pub fall: Span,
    /// An answer counts until this long after the client's time.
    pub answer_slack: Span,
}

/// What clients ask.
#[derive(Clone, Debug, PartialEq)]
pub struct Traffic {
    /// Requests a second inside the quotas, on average.
    pub rate: f64,
    /// Units of a request: 1 up to this, small ones more often.
    pub most_units: u32,
    /// Requests carry a guess of their units that is off by this coefficient of variation; 0: the truth.
    pub guess_cv: f64,
    /// Share of its rate that a usual customer asks for, from and to.
    pub calm_use: (f64, f64),
    /// Share of the customers that use nearly all.
    pub full: f64,
    /// Share of the customers that ask for more for long spells, and up to how many times their rate.
    pub heavy: (f64, f64),
    /// Share of the customers that ask for more now and then, and up to how many times their rate.
    pub spiky: (f64, f64),
    /// Share of the customers that always ask for this many times their rate.
    pub greedy: (f64, f64),
    /// All that is asked beyond quotas is at most this share of what is asked inside.
    pub most_excess: f64,
    /// How unevenly a customer's requests come in over its gateways: 0 evenly.
    pub skew: f64,
    /// How unevenly all requests come in over the gateways, whoever asks: 0 evenly; at `u` the busiest get up to
    /// 1 + `u` times the mean, as far as customers' sets allow.
    pub uneven: f64,
    /// The gateways that get most change this often.
    pub shift: Span,
    /// Times that a client tries again by itself.
    pub retries: u32,
    /// How long it waits before (doubled each time).
    pub backoff: Span,
    /// Share of the clients that follow advice when to come back.
    pub honour: f64,
    /// Share of its class's time that a client gives a try, from and to.
    pub try_share: (f64, f64),
    /// Share of the clients that leave before their time is up.
    pub impatient: f64,
    /// How long requests go on coming to a gateway that has died, before the front notices.
    pub front_notice: Span,
}

/// Which machines.
#[derive(Clone, Debug, PartialEq)]
pub enum Which {
    /// All.
    All,
    /// This share of those there are: rounded to the nearest whole number, one at the least.
    Share(f64),
    /// So many, drawn by chance.
    Count(u32),
    /// These, numbered from 1.
    These(Vec<u32>),
    /// All of this building, numbered from 1.
    Building(u32),
}

/// A side of a cut.
#[derive(Clone, Debug, PartialEq)]
pub enum Side {
    /// All machines of a building, numbered from 1.
    Building(u32),
    /// A gateway, numbered from 1.
    Gateway(u32),
    /// A host, numbered from 1 in the order of their coming.
    Host(u32),
    /// The counter.
    Counter,
    /// All clients.
    Clients,
}

/// The far end of the links of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkEnd {
    /// All clients, who call the gateway.
    Clients,
    /// Hosts, which the gateway calls.
    Hosts(Which),
    /// The counter, which the gateway calls.
    Counter,
    /// The gateway's agent of discovery, which it calls.
    Discovery,
}

/// Directions of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkWay {
    /// Both.
    Both,
    /// From the one that connected.
    Calls,
    /// To the one that connected.
    Answers,
}

/// How links fail.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkFault {
    /// Bytes wait and pass all at once when it is over, also those of a process that has died meanwhile.
    Hold(LinkWay),
    /// Nothing passes.
    Cut(LinkWay),
    /// Each message takes this much longer, from and to, each way.
    Slow(Span, Span),
    /// So many KiB a second pass on a connection in each direction.
    Narrow(f64),
    /// All connections are reset, at that moment.
    Reset,
    /// Cut for so long, then whole for as long, and so on.
    Flap(Span),
}

/// How the counter fails.
#[derive(Clone, Debug, PartialEq)]
pub enum CounterFault {
    /// No connection comes up, open ones are reset; it keeps its counts.
    Lost,
    /// It takes calls in and says nothing; the calls are not added.
    Silent,
    /// It adds and does not answer.
    Mute,
    /// Each answer takes this long, from and to; the call is added at once.
    Slow(Span, Span),
    /// Each group of gateways (numbered from 1) speaks to a counter of its own, which starts from what there
    /// was. When it is over the groups' additions are summed.
    Split(Vec<Vec<u32>>),
    /// It has forgotten everything, at that moment; connections are reset.
    Fresh,
    /// Lost and back by turns of this length.
    Flapping(Span),
    /// It refuses all calls as if it was full.
    Full,
}

/// How discovery fails.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryFault {
    /// Agents are sent nothing and their watches fall silent.
    Silent,
    /// All news comes this much later.
    Late(Span),
    /// Each change is told twice or more.
    Repeats,
    /// Changes are told in another order than they came in.
    Reordered,
    /// Watches are reset each time so long has passed.
    Cut(Span),
}

/// What a host does to a request, without a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mishap {
    /// It takes it in and never answers.
    Swallowed,
    /// Its connection is reset: before it runs, when it has run, or within its answer, as chance has it.
    Reset,
}

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Gateways die, and come back after a while with nothing but their last list of hosts.
    KillGateways(Which, Option<Span>),
    /// Planned restarts, one after another within the span: SIGTERM, SIGKILL when it may come, a fresh start.
    RestartGateways(Which, Span),
    /// SIGHUP with a new configuration file.
    ReloadGateways(Which),
    /// Traffic is this many times the usual for a while; it rises and falls over the last span.
    Traffic(f64, Span, Span),
    /// Gateways of this building (numbered from 1) get this many times their part of the traffic for a while.
    Lean(u32, f64, Span),
    /// Hosts work this many times slower for a while.
    SlowHosts(Which, f64, Span),
    /// Hosts do nothing for a while, connections stay open.
    PauseHosts(Which, Span),
    /// Hosts drain (one after another over the first span), finish what they have, and go after the second.
    DrainHosts(Which, Span, Span),
    /// Hosts die without a word and come back cold after a while, or never.
    KillHosts(Which, Option<Span>),
    /// Processes of hosts start anew at once: connections are reset, they are cold.
    RestartHosts(Which),
    /// So many new hosts come into service, cold.
    AddHosts(u32),
    /// Hosts go and others come under new ids; true: at the addresses of those that went.
    ReplaceHosts(Which, bool),
    /// This share of a class's requests costs so many times the usual work for a while.
    Heavy(String, f64, f64, Span),
    /// This share of hosts' answers comes spoilt for a while.
    GarbleHosts(f64, Span),
    /// This happens to a share of the requests at hosts for a while.
    Mishaps(Mishap, f64, Which, Span),
    /// Connections to hosts that have stood idle for longer are dead, and nobody tells, for a while: what is written
    /// to one is lost, and then it is reset.
    Stale(Span, Which, Span),
    /// This share of the counter's answers comes spoilt for a while.
    GarbleCounter(f64, Span),
    /// Nothing passes between two sides for a while; true: connections are reset, else silence.
    Cut(Side, Side, Span, bool),
    /// The counter fails for a while.
    Counter(CounterFault, Span),
    /// Discovery fails for a while.
    Discovery(DiscoveryFault, Span),
    /// This share of the clients leaves early for a while.
    Impatient(f64, Span),
    /// Links between gateways and others fail for a while.
    Links(Which, LinkEnd, LinkFault, Span),
    /// Processes of gateways do not run for a while (SIGSTOP, SIGCONT); the clock goes on.
    StopGateways(Which, Span),
    /// Gateways' whole machines stand still for a while, their clocks too: they go on where they were, and believe
    /// that it is that long ago.
    FreezeGateways(Which, Span),
    /// Processes of hosts do not run for a while; their systems still take connections and bytes in.
    StopHosts(Which, Span),
    /// The counter's process does not run for a while; its system still takes connections and bytes in.
    StopCounter(Span),
    /// Gateways whose processes start from now on (at 0: from the beginning) have clocks that are ahead by so many
    /// nanoseconds, or behind.
    Clock(Which, i64),
    /// Processes of gateways run one part of so many of the time, in slices, for a while.
    SlowGateways(Which, f64, Span),
    /// A building loses power for a while: its gateways, its hosts, and its counter if it has that.
    LoseBuilding(u32, Span),
    /// Nothing passes between a building and all that is not in it for a while.
    CutOff(u32, Span),
}

impl Which {
    /// How many of `all` machines are meant, at the most for those of a building. A share is rounded to the nearest whole number, since that is the
    /// closest that a small site comes to it; one at the least, since an event that hits nothing rehearses
    /// nothing: 41 % of 3 gateways is 1, of 10 it is 4.
    pub fn count(&self, all: u32) -> u32 {
        match self {
            Which::All | Which::Building(_) => all,
            Which::Share(share) => (libm::round(share * f64::from(all)) as u32).clamp(1, all.max(1)).min(all),
            Which::Count(count) => (*count).min(all),
            Which::These(these) => these.iter().filter(|n| (1..=all).contains(*n)).count() as u32,
        }
    }
}

impl Default for HostSpec {
    fn default() -> Self {
        HostSpec {
            cores: 2,
            speed: 1.0,
            speed_spread: 0.15,
            slots: 8,
            queue: 40,
            thrash_at: 6.0,
            thrash: 0.05,
            cold_share: 0.25,
            cold: 10 * SECOND,
            connections: 1200,
            handshake: 900_000,
            error_rate: 0.001,
            idle: 15 * SECOND,
        }
    }
}

impl Default for CounterSpec {
    fn default() -> Self {
        CounterSpec {
            on: true,
            parts: 2,
            calls_per_s: 870.0,
            call: MS,
            queue: 40,
            timeout: 50 * MS,
            building: 1,
        }
    }
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        DiscoverySpec { notice: (500 * MS, 3 * SECOND), silent_notice: (6 * SECOND, 11 * SECOND) }
    }
}

impl Default for NetworkSpec {
    fn default() -> Self {
        NetworkSpec { same: 200_000, cross: MS, client: 600_000, jitter: 0.15, window: 64 * 1024 }
    }
}

impl Default for RulesSpec {
    fn default() -> Self {
        RulesSpec { drain_grace: 250 * MS, fall_multiple: 3.0, fall: 1500 * MS, answer_slack: 66 * MS }
    }
}

impl Default for Site {
    fn default() -> Self {
        let read = ClassSpec {
            name: "price-read".into(),
            share: 0.84,
            work: 75 * MS,
            work_cv: 0.8,
            aim: 600 * MS,
            deadline: 1500 * MS,
            worth: 3.0,
            late_worth: 0.2,
            effect: Effect::Safe,
        };
        let order = ClassSpec {
            name: "unit-order".into(),
            share: 0.16,
            deadline: 2 * SECOND,
            worth: 9.0,
            late_worth: 0.0,
            effect: Effect::Unsafe,
            ..read.clone()
        };
        let standard = PlanSpec {
            name: "standard".into(),
            share: 0.48,
            rate: 4.5,
            burst: 23.0,
            open: 4,
            price: 1.3,
            extra_worth: 0.3,
            overrun_cost: 0.0,
            ceiling_rate: 0.0,
            ceiling_burst: 0.0,
            ceiling_slack: 0.0,
            spread: 2,
        };
        let premium = PlanSpec {
            name: "premium".into(),
            share: 0.52,
            rate: 30.0,
            burst: 65.0,
            open: 0,
            price: 1.6,
            extra_worth: 0.0,
            overrun_cost: 0.6,
            spread: 3,
            ..standard.clone()
        };
        Site {
            gateways: 3,
            hosts: 10,
            buildings: 3,
            host: HostSpec::default(),
            counter: CounterSpec::default(),
            discovery: DiscoverySpec::default(),
            network: NetworkSpec::default(),
            classes: vec![read, order],
            plans: vec![standard, premium],
            rules: RulesSpec::default(),
            sockets: 1024,
            memory_mb: 192,
            retry_after: None,
            max_attempts: 4,
            start_within: 0,
            second_copies: true,
        }
    }
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic {
            rate: 130.0,
            most_units: 6,
            guess_cv: 0.4,
            calm_use: (0.15, 0.5),
            full: 0.2,
            heavy: (0.1, 4.9),
            spiky: (0.15, 7.9),
            greedy: (0.0, 5.0),
            most_excess: 0.9,
            skew: 0.8,
            uneven: 0.0,
            shift: 12 * SECOND,
            retries: 1,
            backoff: 100 * MS,
            honour: 0.7,
            try_share: (0.5, 1.0),
            impatient: 0.0,
            front_notice: 2 * SECOND,
        }
    }
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            name: "calm".into(),
            title: "A calm day".into(),
            length: 60 * SECOND,
            site: Site::default(),
            traffic: Traffic::default(),
            events: Vec::new(),
        }
    }
}

impl Scenario {
    /// When the last request comes, for a first one at `start`.
    pub fn end(&self, start: Time) -> Time {
        start + self.length
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_share_is_rounded_to_the_nearest_and_hits_one_at_the_least() {
        let count = |share: f64, all: u32| Which::Share(share).count(all);
        assert_eq!(
            [count(0.41, 3), count(0.41, 10), count(0.01, 3), count(1.0, 3), count(0.5, 0)],
            [1, 4, 1, 3, 0]
        );
    }
}
