//! What the judge finds.

use serde::Serialize;

/// The rules of BRIEF and PROTOCOL, and what any run has to keep besides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each request that a running gateway took gets one final answer in time.
    OneAnswer,
    /// Nothing takes effect twice, and nothing that may have run is refused as harmless.
    NothingTwice,
    /// Nothing new to a host later than the grace after the news that it drains or is gone.
    DrainsKept,
    /// No cold host is pushed over by gateways that knew it to be cold.
    ColdHosts,
    /// Hard ceilings hold over all gateways together.
    Ceilings,
    /// A gateway ran on until it was told to stop.
    NoCrash,
}

/// Why worth was lost, as far as the wires tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Refused or failed, never having come to a host, though its customer's quota had room.
    Unsent,
    /// Refused beyond its customer's quota, where that would have been worth something.
    BeyondQuota,
    /// All of its attempts were turned away by hosts, or ended there before they ran.
    TurnedAway,
    /// An attempt ran and no gateway got its answer, or a spoilt one: no further one was made, or none in time.
    Unheard,
    /// It was still at a host when its client's time was over.
    InWork,
    /// Answered after its aim, at the first attempt.
    Late,
    /// Answered after its aim, after more than one attempt.
    LateAgain,
    /// Its client went away, or its connection to the gateway broke.
    Gone,
    /// What it costs to send beyond a quota, less what was earned by letting in where one gateway would not have.
    Overrun,
    /// What it costs to hold a request for long and never send it.
    Held,
}

/// Worth lost for one cause.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct CauseFigures {
    /// Which.
    pub cause: Cause,
    /// Things asked for that it concerns.
    pub things: u64,
    /// Of the worth asked for inside the quotas; below 0 where more was earned. All causes add up to what is missing
    /// from 1.
    pub share: f64,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// When, in seconds from the first request.
    pub at_s: f64,
    /// What happened, in one sentence that names the request, host or customer.
    pub text: String,
}

/// Counts of first tries with all their retries: a thing asked for counts once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Things asked for.
    pub asked: u64,
    /// Served in the end.
    pub served: u64,
    /// Served within the aim, counted from the first try.
    pub in_aim: u64,
    /// Refused in the end.
    pub refused: u64,
    /// Failed in the end, or broken off.
    pub failed: u64,
    /// Left by the client.
    pub left: u64,
}

/// Latencies of served tries, in milliseconds from the try's last byte to its answer's last byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Median.
    pub p50_ms: f64,
    /// 95 of 100 are quicker.
    pub p95_ms: f64,
    /// 99 of 100 are quicker.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

/// How a class fared.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ClassFigures {
    /// Its name.
    pub name: String,
    /// Its requests.
    pub counts: Counts,
    /// Its latencies.
    pub latency: Latency,
}

/// How a plan fared.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PlanFigures {
    /// Its name.
    pub name: String,
    /// Its requests.
    pub counts: Counts,
    /// Customers seen.
    pub customers: u64,
    /// Units asked for, first tries only.
    pub asked_units: f64,
    /// Units passed on to hosts (settled by the true ones where an answer told them).
    pub passed_units: f64,
    /// Units passed on beyond the quotas, over all customers: what the customers' stores did not hold.
    pub beyond_units: f64,
    /// Share of the worth asked for inside the quotas that was served within the aim.
    pub worth_share: f64,
    /// Share of the tries refused although half of the customer's store was there.
    pub refused_with_room: f64,
}

/// How one customer's quota fared.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CustomerFigures {
    /// Its number.
    pub customer: u64,
    /// Position of its plan.
    pub plan: u32,
    /// Units asked for, first tries only.
    pub asked_units: f64,
    /// Units passed on.
    pub passed_units: f64,
    /// What the quota allowed over the whole run: rate times time, and the burst.
    pub allowed_units: f64,
    /// Units passed on beyond what its store held, step by step.
    pub beyond_units: f64,
    /// Tries asked.
    pub asked: u64,
    /// Tries refused.
    pub refused: u64,
    /// The longest time in seconds through which every try of it was refused, while its store held units.
    pub longest_refused_s: f64,
}

/// How a host fared.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct HostFigures {
    /// Its number.
    pub host: u32,
    /// Commands that came.
    pub received: u64,
    /// Served.
    pub served: u64,
    /// Turned away.
    pub turned_away: u64,
    /// Connections opened to it.
    pub connections: u64,
    /// It was pushed over.
    pub fell: bool,
}

/// One second of the run, for plots.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SecondFigures {
    /// Tries that came.
    pub offered: u32,
    /// Tries served within the aim.
    pub served: u32,
    /// Tries served later than that.
    pub late: u32,
    /// Tries refused.
    pub refused: u32,
    /// Tries failed, broken off or never answered.
    pub failed: u32,
    /// Units passed on, by plan.
    pub units: Vec<f64>,
    /// Units that the quotas of the customers seen so far grant in a second, by plan.
    pub quota: Vec<f64>,
    /// Busy share of each host that runs (by its number), 0 to 1.
    pub busy: Vec<Option<f64>>,
    /// Gateways that are up.
    pub gateways_up: u32,
    /// Counter calls.
    pub counter_calls: u32,
}

/// What all gateways together cost the counter, hosts and discovery, and what it was good for. Rates are means
/// from the first request to the last try.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FleetFigures {
    /// Gateways of the site.
    pub gateways: u32,
    /// Calls to the counter a second.
    pub counter_calls_per_s: f64,
    /// Share of them that it turned away.
    pub counter_turned_away: f64,
    /// Share of them that it neither turned away nor answered within the gateways' time-out.
    pub counter_unanswered: f64,
    /// Share of them that added nothing.
    pub counter_only_read: f64,
    /// Probes of hosts a second.
    pub probes_per_s: f64,
    /// Connections opened to hosts, a second.
    pub connections_per_s: f64,
    /// Connections to hosts that were open at once, at the most.
    pub connections_open_most: u64,
    /// What opening them took of the hosts, in cores at speed 1.
    pub handshake_cores: f64,
    /// Whole lists asked of discovery a second.
    pub list_calls_per_s: f64,
    /// Watches opened a second.
    pub watches_per_s: f64,
    /// Lines written to watches and answers with whole lists, a second.
    pub list_lines_per_s: f64,
    /// Units passed on beyond quotas, as a share of all passed on.
    pub beyond_quota: f64,
    /// Share of the tries refused although half of the customer's store was there.
    pub refused_with_room: f64,
    /// Median time from a try's last byte to the first of its first attempt, in milliseconds.
    pub first_attempt_p50_ms: f64,
    /// 99 of 100 were sent on sooner.
    pub first_attempt_p99_ms: f64,
}

/// All that the judge found.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// Broken rules, in order of time; the first of each kind for each request, host or customer.
    pub breaches: Vec<Breach>,
    /// All requests.
    pub counts: Counts,
    /// Share of the things asked for that were served.
    pub share_served: f64,
    /// Worth served within the aim over worth asked for inside the quotas (late ones at their part), at most 1.
    pub worth_whole: f64,
    /// The same of the worst 10 s.
    pub worth_worst_10s: f64,
    /// The same of the worst plan.
    pub worth_worst_plan: f64,
    /// The site's figure: 55 % the whole, 20 % the worst 10 s, 25 % the worst plan.
    pub worth: f64,
    /// Why the rest of the worth was lost, the greatest part first.
    pub causes: Vec<CauseFigures>,
    /// By class.
    pub classes: Vec<ClassFigures>,
    /// By plan.
    pub plans: Vec<PlanFigures>,
    /// Customers, the most beyond their quota first.
    pub customers: Vec<CustomerFigures>,
    /// By host.
    pub hosts: Vec<HostFigures>,
    /// Commands that came whole to hosts, for each try that came to a gateway.
    pub attempts_per_request: f64,
    /// Counter calls for each try that came to a gateway.
    pub counter_calls_per_request: f64,
    /// What all gateways together cost.
    pub fleet: FleetFigures,
    /// By second.
    pub timeline: Vec<SecondFigures>,
    /// Events of the scenario: seconds from the first request, and words.
    pub events: Vec<(f64, String)>,
    /// What the judge could not make sense of, in words: sightings that do not fit together, and hosts that fell,
    /// or did not, against its own count. Empty when the model and the judge agree.
    pub notes: Vec<String>,
}
