//! Scenarios: the description of a site, its traffic, and the events that happen to it during a run.

use crate::observation::Lifecycle;
use crate::{Span, Time, MS, SECOND};

/// The description of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Short name, as given on the command line.
    pub name: String,
    /// One-line description for people.
    pub title: String,
    /// How long clients send requests.
    pub length: Span,
    /// The machines and services.
    pub site: Site,
    /// The load that clients generate.
    pub traffic: Traffic,
    /// Events in the order of the file. Events scheduled for the same instant are applied in this order, and
    /// all of them before any message that is delivered at that instant.
    pub events: Vec<ScheduledEvent>,
}

/// An event and the time or condition at which it begins.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledEvent {
    /// Time since the first request. For an event with a trigger: the latest time at which the trigger may
    /// fire.
    pub at: Span,
    /// The condition that starts the event; `None` if the event starts at a fixed time.
    pub trigger: Option<Trigger>,
    /// Line number in the scenario file; 0 for an event that was not read from a file.
    pub line: u32,
    /// The event itself.
    pub event: Event,
}

/// An observable condition that starts an event when it occurs for the first or the n-th time. Machines are
/// numbered from 1.
#[derive(Clone, Debug, PartialEq)]
pub enum Trigger {
    /// The counter has processed the n-th call of this gateway.
    CounterCall(u32, u32),
    /// The n-th attempt of this gateway has been received completely by this host, or by any host if `None`.
    HostAttempt(u32, Option<u32>, u32),
    /// Clients have written the n-th request to this gateway.
    Request(u32, u32),
    /// Clients have received the n-th complete response from this gateway.
    Response(u32, u32),
    /// Discovery has written to this gateway that this host is in this state.
    DiscoveryUpdate(u32, u32, Lifecycle),
    /// This host is ordered to drain.
    HostDrain(u32),
    /// A process of this gateway has started (`true`) or ended (`false`).
    GatewayProcess(u32, bool),
    /// This host has started (`true`) or stopped (`false`).
    HostProcess(u32, bool),
    /// A log line of this gateway contains this text.
    LogLine(u32, String),
}

/// The machines and services of a site. [`Site::default`] has the values of `iasi-park`, in the middle of
/// their ranges.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// Number of gateways.
    pub gateways: u32,
    /// Number of hosts in service at the start.
    pub hosts: u32,
    /// Number of buildings; gateways and hosts are assigned to them round-robin.
    pub buildings: u32,
    /// Properties of each host.
    pub host: HostSpec,
    /// The counter service.
    pub counter: CounterSpec,
    /// The discovery service.
    pub discovery: DiscoverySpec,
    /// The network.
    pub network: NetworkSpec,
    /// Request classes.
    pub classes: Vec<ClassSpec>,
    /// Customer plans.
    pub plans: Vec<PlanSpec>,
    /// Limits of the five rules that a run is checked against.
    pub rules: RulesSpec,
    /// File descriptors that a gateway may have open.
    pub file_descriptors: u32,
    /// Memory of a gateway in MB.
    pub memory_mb: u32,
    /// Longest retry-after hint that clients follow; `None` if rejections carry no such hint.
    pub retry_after: Option<Span>,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Gateways that are started together start at random times within this span; 0: all at the same instant.
    pub start_jitter: Span,
    /// Whether a request may be hedged: two attempts of one request in flight at the same time.
    pub hedging: bool,
}

/// A host. Work is measured in nanoseconds of one core at speed 1.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSpec {
    /// Number of cores.
    pub cores: u32,
    /// Mean speed of a core; each host draws its own between `speed * (1 - speed_spread)` and
    /// `speed * (1 + speed_spread)`.
    pub speed: f64,
    /// Relative spread of `speed`.
    pub speed_spread: f64,
    /// Concurrency slots: requests that are processed at the same time.
    pub slots: u32,
    /// Requests that may wait for a slot; the host rejects further ones.
    pub queue: u32,
    /// Admitted requests per core above which the host loses capacity.
    pub thrash_threshold: f64,
    /// Share of capacity lost for each admitted request per core beyond the threshold; capacity never falls
    /// below a quarter.
    pub thrash_loss: f64,
    /// Share of its capacity that a host has when it starts.
    pub warmup_share: f64,
    /// Time from the start of a host until it has its full capacity.
    pub warmup: Span,
    /// Connections that a host accepts; further ones are reset.
    pub connections: u32,
    /// Work that a new connection costs.
    pub handshake: Span,
    /// Share of requests that end in an error after they have run.
    pub error_rate: f64,
    /// Idle time after which a host closes a connection.
    pub idle_timeout: Span,
}

/// Capacity, timing and location of the counter service.
#[derive(Clone, Debug, PartialEq)]
pub struct CounterSpec {
    /// Whether the site has a counter.
    pub enabled: bool,
    /// Number of shards among which counter names are divided.
    pub shards: u32,
    /// Calls per second that all shards together can process.
    pub calls_per_s: f64,
    /// Duration of a call without the network delay.
    pub service_time: Span,
    /// Calls that may wait at a shard; further ones are rejected.
    pub queue: u32,
    /// Time after which gateways abandon a call.
    pub timeout: Span,
    /// Building of the counter, numbered from 1.
    pub building: u32,
}

/// Delays of the discovery service.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoverySpec {
    /// Range of the delay until an agent learns of a change. Each agent draws a delay for each change.
    pub update_delay: (Span, Span),
    /// Range of the delay until an agent learns that a host has crashed without deregistering.
    pub crash_detection_delay: (Span, Span),
}

/// One-way network delays in nanoseconds, and buffer sizes.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkSpec {
    /// Delay between machines in the same building.
    pub intra_building: Span,
    /// Delay between machines in different buildings.
    pub inter_building: Span,
    /// Delay between a client and any gateway.
    pub client: Span,
    /// Maximum random increase of the delay of each message, as a share of the delay.
    pub jitter: f64,
    /// Bytes per direction of a connection that may be in transit or received but unread.
    pub window: u32,
}

/// Whether a request may run again once it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May be repeated without limit.
    Idempotent,
    /// Carries an idempotency key; hosts drop duplicates for this long.
    Keyed(Span),
    /// Must never run twice.
    NonIdempotent,
}

/// Load, latency objective, deadline and priority of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Name of the class.
    pub name: String,
    /// Share of all requests.
    pub share: f64,
    /// Mean work of a request, before scaling by its units.
    pub work: Span,
    /// Coefficient of variation of the work (lognormal).
    pub work_cv: f64,
    /// Latency within which a response earns the full priority weight.
    pub latency_objective: Span,
    /// Time after which clients abandon a request.
    pub deadline: Span,
    /// Priority weight, before scaling by units and plan.
    pub priority_weight: f64,
    /// Share of the priority weight that a response after the latency objective still earns.
    pub late_weight_share: f64,
    /// Whether a request may run again.
    pub idempotency: Idempotency,
}

/// Load, quota and priority of a customer plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlanSpec {
    /// Name of the plan.
    pub name: String,
    /// Share of the load within quotas, in units.
    pub share: f64,
    /// Refill rate of the token bucket in units per second.
    pub rate: f64,
    /// Size of the token bucket in units.
    pub burst: f64,
    /// Maximum attempts in flight; 0: no limit.
    pub max_in_flight: u32,
    /// Factor on the priority weight.
    pub weight_factor: f64,
    /// Share of the priority weight earned for responses beyond the quota.
    pub over_quota_weight_share: f64,
    /// Cost of forwarding a request beyond the quota, as a share of its priority weight.
    pub over_quota_cost: f64,
    /// Refill rate of the hard ceiling in units per second; 0: no ceiling.
    pub ceiling_rate: f64,
    /// Token bucket size of the hard ceiling in units.
    pub ceiling_burst: f64,
    /// Units by which the ceiling's token bucket may become negative.
    pub ceiling_slack: f64,
    /// Number of gateways that a customer uses; at most the number of gateways of the site.
    pub spread: u32,
}

/// Limits of the rules that a run is checked against.
#[derive(Clone, Debug, PartialEq)]
pub struct RulesSpec {
    /// Time after a host's drain or removal is announced, beyond which no new attempt may be sent to it.
    pub drain_grace: Span,
    /// A warming-up host fails if it receives more than this multiple of its current capacity...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_span: Span,
    /// Time after a client's deadline within which a response still counts.
    pub deadline_slack: Span,
}

/// The load that clients generate.
#[derive(Clone, Debug, PartialEq)]
pub struct Traffic {
    /// Mean requests per second within the quotas.
    pub rate: f64,
    /// Maximum units of a request; requests have 1 or more units, and small requests are more frequent.
    pub max_units: u32,
    /// Coefficient of variation of the error of the unit estimate that a request carries; 0: exact.
    pub estimate_cv: f64,
    /// Range of the share of its rate that a typical customer uses.
    pub normal_use: (f64, f64),
    /// Share of the customers that use nearly all of their rate.
    pub near_quota: f64,
    /// Share of the customers that exceed their rate for long periods, and the maximum multiple of their
    /// rate.
    pub heavy: (f64, f64),
    /// Share of the customers that exceed their rate in short bursts, and the maximum multiple of their rate.
    pub bursty: (f64, f64),
    /// Share of the customers that always exceed their rate, and the multiple of their rate.
    pub greedy: (f64, f64),
    /// Maximum load beyond quotas, as a share of the load within quotas.
    pub max_excess: f64,
    /// Imbalance of a customer's requests across its gateways; 0: even.
    pub skew: f64,
    /// Imbalance of all requests across the gateways, over all customers; 0: even. At `u` the busiest
    /// gateways receive up to 1 + `u` times the mean, limited by the customers' gateway sets.
    pub gateway_imbalance: f64,
    /// Interval at which the set of busiest gateways changes.
    pub imbalance_interval: Span,
    /// Number of times that a client retries an operation.
    pub retries: u32,
    /// Client backoff before the first retry; it doubles with each retry.
    pub backoff: Span,
    /// Share of the clients that follow retry-after hints.
    pub follows_retry_after: f64,
    /// Range of the client's timeout for a single request, as a share of the deadline of its class.
    pub request_timeout_share: (f64, f64),
    /// Share of the clients that disconnect before their deadline.
    pub early_disconnects: f64,
    /// How long requests keep arriving at a crashed gateway until the front end detects the crash.
    pub front_detection_delay: Span,
}

/// Selects the machines that an event affects.
#[derive(Clone, Debug, PartialEq)]
pub enum Selector {
    /// All machines.
    All,
    /// This share of the existing machines, rounded to the nearest integer but at least one.
    Share(f64),
    /// This number of machines, chosen at random.
    Count(u32),
    /// The machines with these numbers, counted from 1.
    Numbers(Vec<u32>),
    /// All machines of this building, numbered from 1.
    Building(u32),
}

/// One side of a network partition.
#[derive(Clone, Debug, PartialEq)]
pub enum PartitionSide {
    /// All machines of a building, numbered from 1.
    Building(u32),
    /// A gateway, numbered from 1.
    Gateway(u32),
    /// A host, numbered from 1 in the order in which hosts join.
    Host(u32),
    /// The counter.
    Counter,
    /// All clients.
    Clients,
}

/// The remote end of the links of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkEnd {
    /// All clients, which connect to the gateway.
    Clients,
    /// Hosts, to which the gateway connects.
    Hosts(Selector),
    /// The counter, to which the gateway connects.
    Counter,
    /// The gateway's discovery agent, to which the gateway connects.
    Discovery,
}

/// The direction of a link that a fault affects. The initiator is the end that opened the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkDirection {
    /// Both directions.
    Both,
    /// From the initiator.
    FromInitiator,
    /// To the initiator.
    ToInitiator,
}

/// A fault of network links.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkFault {
    /// Bytes are held back and delivered all at once when the fault ends, including those of a process that
    /// has died in the meantime.
    Hold(LinkDirection),
    /// Nothing is delivered.
    Blackhole(LinkDirection),
    /// Each message is delayed by an additional time from this range, in each direction.
    Delay(Span, Span),
    /// Each connection is limited to this many KiB per second in each direction.
    RateLimit(f64),
    /// All connections are reset once, when the event occurs.
    Reset,
    /// The link alternates between down and up, each for this long.
    Flap(Span),
}

/// A fault of the counter.
#[derive(Clone, Debug, PartialEq)]
pub enum CounterFault {
    /// Connections are refused and open ones are reset; the counter keeps its values.
    Unreachable,
    /// Calls are received but neither applied nor answered.
    DropCalls,
    /// Calls are applied but not answered.
    DropReplies,
    /// Calls are applied at once, and each reply is delayed by a time from this range.
    DelayReplies(Span, Span),
    /// Each group of gateways (numbered from 1) uses its own copy of the counter, which starts from the
    /// current values. When the fault ends, the additions of all groups are summed.
    SplitBrain(Vec<Vec<u32>>),
    /// The counter loses all values once, when the event occurs, and resets all connections.
    Reset,
    /// The counter alternates between unreachable and reachable, each for this long.
    Flapping(Span),
    /// The counter rejects all calls as if its queue were full.
    Overloaded,
}

/// A fault of discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryFault {
    /// Agents receive no updates, and their watches send no events.
    Stalled,
    /// All updates are delayed by this much.
    Delayed(Span),
    /// Each change is delivered at least twice.
    Duplicated,
    /// Changes are delivered out of order.
    Reordered,
    /// Watches are reset at this interval.
    WatchReset(Span),
}

/// A fault that affects single requests at a host, without an error reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestFault {
    /// The host receives the request and never answers it.
    Dropped,
    /// The connection of the request is reset at a random stage: before it runs, after it has run, or in the
    /// middle of the response.
    ConnectionReset,
}

/// An event of a scenario. Unless stated otherwise, the last [`Span`] is how long it lasts.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Gateways crash. They restart after this time (`None`: never), with only their last endpoint list.
    KillGateways(Selector, Option<Span>),
    /// Planned restarts, one after another within the span: SIGTERM, then SIGKILL when it is permitted, then
    /// a new process.
    RestartGateways(Selector, Span),
    /// SIGHUP with a new configuration file.
    ReloadGateways(Selector),
    /// Traffic is multiplied by this factor. The first span is the duration of the event, including the rise
    /// and the fall, which take the last span each.
    Traffic(f64, Span, Span),
    /// The share of the traffic of the gateways in this building (numbered from 1) is multiplied by this
    /// factor.
    SkewTraffic(u32, f64, Span),
    /// Hosts work slower by this factor.
    SlowHosts(Selector, f64, Span),
    /// Hosts process nothing; connections stay open.
    PauseHosts(Selector, Span),
    /// Hosts drain one after another over the first span, finish their requests in flight, and stop after the
    /// second span.
    DrainHosts(Selector, Span, Span),
    /// Hosts crash without deregistering, and return after this time (`None`: never), warming up.
    KillHosts(Selector, Option<Span>),
    /// Processes of hosts restart at once: their connections are reset, and they are warming up.
    RestartHosts(Selector),
    /// This number of new hosts joins, warming up.
    AddHosts(u32),
    /// Hosts are replaced by hosts with new ids; `true`: at the addresses of the removed hosts.
    ReplaceHosts(Selector, bool),
    /// For this share of a class's requests, the work is multiplied by this factor.
    ExpensiveRequests(String, f64, f64, Span),
    /// This share of the hosts' responses is corrupted.
    CorruptHostResponses(f64, Span),
    /// A share of the requests at hosts is affected by this fault.
    RequestFaults(RequestFault, f64, Selector, Span),
    /// Connections to hosts that have been idle for longer than the first span are dead without notice: data
    /// written to one is lost, and then the connection is reset.
    StaleConnections(Span, Selector, Span),
    /// This share of the counter's replies is corrupted.
    CorruptCounterReplies(f64, Span),
    /// Nothing is delivered between the two sides; `true`: connections are reset, `false`: they are silent.
    Partition(PartitionSide, PartitionSide, Span, bool),
    /// The counter has this fault.
    Counter(CounterFault, Span),
    /// Discovery has this fault.
    Discovery(DiscoveryFault, Span),
    /// This share of the clients disconnects before the deadline.
    EarlyDisconnects(f64, Span),
    /// Links between gateways and a remote end have this fault.
    Links(Selector, LinkEnd, LinkFault, Span),
    /// Processes of gateways are suspended (SIGSTOP, SIGCONT); their clocks keep running.
    SuspendGateways(Selector, Span),
    /// The machines of gateways are frozen including their clocks, as a paused virtual machine is: on return,
    /// they continue from the old time.
    FreezeGateways(Selector, Span),
    /// Processes of hosts are suspended; their kernels still accept connections and bytes.
    SuspendHosts(Selector, Span),
    /// The process of the counter is suspended; its kernel still accepts connections and bytes.
    SuspendCounter(Span),
    /// The clocks of gateway processes that start from now on (at 0: from the beginning) are ahead by this
    /// many nanoseconds, or behind if negative.
    ClockOffset(Selector, i64),
    /// Processes of gateways receive CPU time, in slices, for only one part in this many.
    SlowGateways(Selector, f64, Span),
    /// A building loses power: its gateways, its hosts, and the counter if it is in that building.
    PowerLoss(u32, Span),
    /// Nothing is delivered between a building and everything outside it.
    IsolateBuilding(u32, Span),
}

impl Selector {
    /// Returns how many of `all` machines are selected; for a building, an upper bound. A share is rounded to
    /// the nearest integer, the closest that a small site can get, and is at least one, since an event that
    /// affects no machine tests nothing: 41 % of 3 gateways is 1, of 10 it is 4.
    pub fn count(&self, all: u32) -> u32 {
        match self {
            Selector::All | Selector::Building(_) => all,
            Selector::Share(share) => {
                (libm::round(share * f64::from(all)) as u32).clamp(1, all.max(1)).min(all)
            }
            Selector::Count(count) => (*count).min(all),
            Selector::Numbers(numbers) => numbers.iter().filter(|n| (1..=all).contains(*n)).count() as u32,
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
            thrash_threshold: 6.0,
            thrash_loss: 0.05,
            warmup_share: 0.25,
            warmup: 10 * SECOND,
            connections: 1200,
            handshake: 900_000,
            error_rate: 0.001,
            idle_timeout: 15 * SECOND,
        }
    }
}

impl Default for CounterSpec {
    fn default() -> Self {
        CounterSpec {
            enabled: true,
            shards: 2,
            calls_per_s: 870.0,
            service_time: MS,
            queue: 40,
            timeout: 50 * MS,
            building: 1,
        }
    }
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        DiscoverySpec {
            update_delay: (500 * MS, 3 * SECOND),
            crash_detection_delay: (6 * SECOND, 11 * SECOND),
        }
    }
}

impl Default for NetworkSpec {
    fn default() -> Self {
        NetworkSpec {
            intra_building: 200_000,
            inter_building: MS,
            client: 600_000,
            jitter: 0.15,
            window: 64 * 1024,
        }
    }
}

impl Default for RulesSpec {
    fn default() -> Self {
        RulesSpec {
            drain_grace: 250 * MS,
            overload_factor: 3.0,
            overload_span: 1500 * MS,
            deadline_slack: 66 * MS,
        }
    }
}

impl Default for Site {
    fn default() -> Self {
        let read = ClassSpec {
            name: "price-read".into(),
            share: 0.84,
            work: 75 * MS,
            work_cv: 0.8,
            latency_objective: 600 * MS,
            deadline: 1500 * MS,
            priority_weight: 3.0,
            late_weight_share: 0.2,
            idempotency: Idempotency::Idempotent,
        };
        let order = ClassSpec {
            name: "unit-order".into(),
            share: 0.16,
            deadline: 2 * SECOND,
            priority_weight: 9.0,
            late_weight_share: 0.0,
            idempotency: Idempotency::NonIdempotent,
            ..read.clone()
        };
        let standard = PlanSpec {
            name: "standard".into(),
            share: 0.48,
            rate: 4.5,
            burst: 23.0,
            max_in_flight: 4,
            weight_factor: 1.3,
            over_quota_weight_share: 0.3,
            over_quota_cost: 0.0,
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
            max_in_flight: 0,
            weight_factor: 1.6,
            over_quota_weight_share: 0.0,
            over_quota_cost: 0.6,
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
            file_descriptors: 1024,
            memory_mb: 192,
            retry_after: None,
            max_attempts: 4,
            start_jitter: 0,
            hedging: true,
        }
    }
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic {
            rate: 130.0,
            max_units: 6,
            estimate_cv: 0.4,
            normal_use: (0.15, 0.5),
            near_quota: 0.2,
            heavy: (0.1, 4.9),
            bursty: (0.15, 7.9),
            greedy: (0.0, 5.0),
            max_excess: 0.9,
            skew: 0.8,
            gateway_imbalance: 0.0,
            imbalance_interval: 12 * SECOND,
            retries: 1,
            backoff: 100 * MS,
            follows_retry_after: 0.7,
            request_timeout_share: (0.5, 1.0),
            early_disconnects: 0.0,
            front_detection_delay: 2 * SECOND,
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
    /// Returns the time of the last request if the first one is sent at `start`.
    pub fn end(&self, start: Time) -> Time {
        start + self.length
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_share_selects_the_nearest_number_of_machines_but_at_least_one() {
        let count = |share: f64, all: u32| Selector::Share(share).count(all);
        assert_eq!(
            [count(0.41, 3), count(0.41, 10), count(0.01, 3), count(1.0, 3), count(0.5, 0)],
            [1, 4, 1, 3, 0]
        );
    }
}
