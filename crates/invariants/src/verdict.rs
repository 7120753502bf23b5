//! The results of a check.

use serde::Serialize;

/// The rules of the site and its protocol, and the conditions that every run has to meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each request that a running gateway accepted gets exactly one final response before its deadline.
    #[serde(rename = "one-answer")]
    SingleResponse,
    /// No request takes effect twice, and no request that may have been executed is rejected as safe to retry.
    #[serde(rename = "nothing-twice")]
    NoDuplicateExecution,
    /// A gateway forwards no request to a draining or removed host once the grace period after the notification is
    /// over.
    #[serde(rename = "drains-kept")]
    DrainGrace,
    /// No host that is warming up is overloaded by gateways that knew that it was warming up.
    #[serde(rename = "cold-hosts")]
    SlowStart,
    /// Hard limits hold over all gateways together.
    Ceilings,
    /// A gateway runs until it is told to stop.
    NoCrash,
}

/// Why weight was lost, as far as the observed traffic shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// Rejected or failed without ever reaching a host, although the customer's quota was sufficient.
    Unsent,
    /// Rejected beyond the customer's quota, where a response would still have earned weight.
    BeyondQuota,
    /// Hosts rejected all of its attempts, or the attempts ended at the hosts before they were executed.
    #[serde(rename = "turned-away")]
    Rejected,
    /// An attempt was executed but no gateway received an intact response, and no further attempt succeeded in time.
    #[serde(rename = "unheard")]
    ResponseLost,
    /// Still at a host when the client's timeout expired.
    #[serde(rename = "in-work")]
    StillRunning,
    /// Served after the latency objective, on the first attempt.
    Late,
    /// Served after the latency objective, after more than one attempt.
    #[serde(rename = "late-again")]
    LateAfterRetry,
    /// The client disconnected, or its connection to the gateway broke.
    #[serde(rename = "gone")]
    ClientGone,
    /// The cost of forwarding beyond a quota, less the weight earned by admitting requests that an ideal single
    /// gateway would not have admitted.
    #[serde(rename = "overrun")]
    OverQuotaCost,
    /// The cost of holding a request for long and never forwarding it.
    #[serde(rename = "held")]
    HeldUnsent,
}

/// The weight lost to one cause.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct CauseFigures {
    /// The cause.
    pub cause: Cause,
    /// Number of operations affected.
    #[serde(rename = "things")]
    pub operations: u64,
    /// Share of the weight offered inside the quotas; negative where more was earned than offered. The shares of all
    /// causes add up to the difference between the weighted share and 1.
    pub share: f64,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule that was violated.
    pub rule: Rule,
    /// Time of the violation in seconds from the first request.
    pub at_s: f64,
    /// One sentence that describes the violation and names the request, host, customer or gateway.
    pub text: String,
}

/// Counts of operations. A client's first request and its retries count as one operation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Operations started.
    pub asked: u64,
    /// Operations that were served in the end.
    pub served: u64,
    /// Operations served within the latency objective, counted from the first request.
    #[serde(rename = "in_aim")]
    pub within_objective: u64,
    /// Operations that were rejected in the end.
    pub refused: u64,
    /// Operations that failed or were cut off in the end.
    pub failed: u64,
    /// Operations that the client abandoned.
    pub left: u64,
}

/// Latencies of served requests, in milliseconds from the last byte of the request to the last byte of the response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Maximum.
    pub max_ms: f64,
}

/// The results of one request class.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ClassFigures {
    /// Name of the class.
    pub name: String,
    /// Operations of the class.
    pub counts: Counts,
    /// Latencies of the class.
    pub latency: Latency,
}

/// The results of one plan.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PlanFigures {
    /// Name of the plan.
    pub name: String,
    /// Operations of the plan's customers.
    pub counts: Counts,
    /// Customers that sent requests.
    pub customers: u64,
    /// Units requested; retries do not count.
    pub asked_units: f64,
    /// Units forwarded to hosts, corrected to the actual units where a response reported them.
    pub passed_units: f64,
    /// Units forwarded beyond the quotas, over all customers: the units that were not available in the customers'
    /// token buckets.
    pub beyond_units: f64,
    /// Share of the weight offered inside the quotas that was served within the latency objective.
    #[serde(rename = "worth_share")]
    pub weighted_quota_share: f64,
    /// Share of the requests that were rejected although the customer's token bucket was at least half full.
    #[serde(rename = "refused_with_room")]
    pub rejected_with_quota: f64,
}

/// The quota use of one customer.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CustomerFigures {
    /// The customer's number.
    pub customer: u64,
    /// Index of the customer's plan.
    pub plan: u32,
    /// Units requested; retries do not count.
    pub asked_units: f64,
    /// Units forwarded to hosts.
    pub passed_units: f64,
    /// Units that the quota allowed over the whole run: rate times duration, plus the burst.
    pub allowed_units: f64,
    /// Units forwarded beyond those available in the customer's token bucket, summed over the requests.
    pub beyond_units: f64,
    /// Requests sent.
    pub asked: u64,
    /// Requests rejected.
    pub refused: u64,
    /// The longest time in seconds in which every request of the customer was rejected while its token bucket held
    /// enough units.
    pub longest_refused_s: f64,
}

/// The results of one host.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct HostFigures {
    /// The host's number.
    pub host: u32,
    /// Commands received.
    pub received: u64,
    /// Commands served.
    pub served: u64,
    /// Commands rejected.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
    /// Connections opened to the host.
    pub connections: u64,
    /// Whether the host crashed because of overload.
    #[serde(rename = "fell")]
    pub overload_crashed: bool,
}

/// One second of the run, for plots.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SecondFigures {
    /// Requests that arrived.
    pub offered: u32,
    /// Requests served within the latency objective.
    pub served: u32,
    /// Requests served after the latency objective.
    pub late: u32,
    /// Requests rejected.
    pub refused: u32,
    /// Requests that failed, were cut off or got no response.
    pub failed: u32,
    /// Units forwarded, by plan.
    pub units: Vec<f64>,
    /// Units a second that the quotas of all customers observed so far grant, by plan.
    pub quota: Vec<f64>,
    /// Utilization of each running host, from 0 to 1, indexed by the host's number.
    pub busy: Vec<Option<f64>>,
    /// Gateways that are running.
    pub gateways_up: u32,
    /// Calls to the counter.
    pub counter_calls: u32,
}

/// The load that all gateways together put on the counter, the hosts and discovery, and its effect. Rates are means
/// from the first request of the run to the last.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FleetFigures {
    /// Gateways of the site.
    pub gateways: u32,
    /// Calls to the counter a second.
    pub counter_calls_per_s: f64,
    /// Share of the counter calls that the counter rejected.
    #[serde(rename = "counter_turned_away")]
    pub counter_rejected: f64,
    /// Share of the counter calls that the counter neither rejected nor answered within the gateways' timeout.
    pub counter_unanswered: f64,
    /// Share of the counter calls that added no units.
    #[serde(rename = "counter_only_read")]
    pub counter_read_only: f64,
    /// Health checks of hosts a second.
    #[serde(rename = "probes_per_s")]
    pub health_checks_per_s: f64,
    /// Connections opened to hosts a second.
    pub connections_per_s: f64,
    /// Maximum number of connections to hosts that were open at the same time.
    #[serde(rename = "connections_open_most")]
    pub peak_open_connections: u64,
    /// Host CPU time that connection handshakes cost, in cores at speed 1.
    pub handshake_cores: f64,
    /// Requests to discovery for a complete endpoint list, a second.
    pub list_calls_per_s: f64,
    /// Watches opened a second.
    pub watches_per_s: f64,
    /// Watch events and complete endpoint lists sent to gateways, a second.
    pub list_lines_per_s: f64,
    /// Units forwarded beyond quotas, as a share of all units forwarded.
    pub beyond_quota: f64,
    /// Share of the requests that were rejected although the customer's token bucket was at least half full.
    #[serde(rename = "refused_with_room")]
    pub rejected_with_quota: f64,
    /// Median time from the last byte of a request to the first byte of its first attempt, in milliseconds.
    pub first_attempt_p50_ms: f64,
    /// 99th percentile of the same time.
    pub first_attempt_p99_ms: f64,
}

/// The complete results of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// Violations in chronological order; only the first of each rule for each request, host, customer or gateway.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// All operations.
    pub counts: Counts,
    /// Share of the operations that were served.
    pub share_served: f64,
    /// Weight served within the latency objective divided by the weight offered inside the quotas, at most 1. A late
    /// response earns the class's share for late responses.
    #[serde(rename = "worth_whole")]
    pub weighted_share: f64,
    /// The weighted share of the worst 10 s.
    #[serde(rename = "worth_worst_10s")]
    pub weighted_share_worst_10s: f64,
    /// The weighted share of the worst plan.
    #[serde(rename = "worth_worst_plan")]
    pub weighted_share_worst_plan: f64,
    /// The score of the site: 55 % the weighted share of the run, 20 % the worst 10 s, 25 % the worst plan.
    #[serde(rename = "worth")]
    pub weighted_score: f64,
    /// Causes of the lost weight, the largest share first.
    pub causes: Vec<CauseFigures>,
    /// Results by class.
    pub classes: Vec<ClassFigures>,
    /// Results by plan.
    pub plans: Vec<PlanFigures>,
    /// Customers, the one furthest beyond its quota first.
    pub customers: Vec<CustomerFigures>,
    /// Results by host.
    pub hosts: Vec<HostFigures>,
    /// Complete commands received by hosts, for each request received by a gateway.
    pub attempts_per_request: f64,
    /// Counter calls for each request received by a gateway.
    pub counter_calls_per_request: f64,
    /// The load that all gateways together caused.
    pub fleet: FleetFigures,
    /// The run by second.
    pub timeline: Vec<SecondFigures>,
    /// Events of the scenario: seconds from the first request, and a description.
    pub events: Vec<(f64, String)>,
    /// Inconsistencies: observations that contradict each other, and hosts that crashed, or did not crash, contrary
    /// to the checker's own accounting. Empty when the model and the checker agree.
    pub notes: Vec<String>,
}
