//! The configuration that the platform passes to a gateway of this site at its start: the settings, and the
//! configuration document that contains them. Durations are integers in nanoseconds; work and weights are as in the
//! scenario.

use crate::scenario::{ClassSpec, Idempotency, PlanSpec, Scenario};
use crate::{Span, MS, SECOND};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// A connection attempt that takes longer counts as failed.
pub const DIAL_TIMEOUT: Span = 250 * MS;
/// Concurrent requests on a connection to a host.
pub const STREAMS_PER_CONNECTION: u32 = 1;

/// The settings of a gateway, numbered from 0.
///
/// Health checks, load reports and messages between gateways are off, because the model does not support them.
/// Values that scenarios do not contain (prices, weights of the result, CPU) are those of `iasi-park`.
pub fn settings(scenario: &Scenario, gateway: u32) -> Value {
    let (site, traffic) = (&scenario.site, &scenario.traffic);
    let buildings: Vec<String> = (0..site.buildings).map(zone_name).collect();
    let classes: Vec<Value> = site.classes.iter().map(class).collect();
    let plans: Vec<Value> = site.plans.iter().map(plan).collect();
    json!({
        "allowed": allowed(scenario),
        "balancers": site.gateways,
        "clients": {"marks-retry": false},
        "discovery": "automatic",
        "domain": {
            "count-fee": 0.02,
            "counter-timeout": site.counter.timeout,
            "metering": 0,
            "peer-intake": 0.0,
            "post-paid": traffic.estimate_cv > 0.0,
            "shared-counter": site.counter.enabled,
            "units-top": traffic.max_units,
        },
        "family": "gate",
        "feedback": {"fields": [], "how": "none"},
        "goal": {"whole": 0.55, "worst-class": 0.0, "worst-tenant": 0.25, "worst-window": 0.2},
        "localities": buildings,
        "machine-types": [machine_type(scenario)],
        "me": gateway,
        "prices": prices(),
        "rules": {
            "answer-slack": site.rules.deadline_slack,
            "cold": site.host.warmup,
            "cold-share": site.host.warmup_share,
            "drain-grace": site.rules.drain_grace,
            "fall": site.rules.overload_span,
            "fall-multiple": site.rules.overload_factor,
            "must-ask-in": 10 * SECOND,
        },
        "services": classes,
        "tariffs": plans,
        "tick": 4 * MS,
        "tier": 0,
        "tiers": ["hosts"],
        "weights": "none",
        "zone": gateway % site.buildings.max(1),
    })
}

/// Machine type of all hosts, as in discovery and in the settings.
pub fn machine_type(scenario: &Scenario) -> String {
    format!("std-{}core", scenario.site.host.cores)
}

/// Zone name of a building, numbered from 0, as in discovery and in the settings.
pub fn zone_name(number: u32) -> String {
    format!("building-{}", number + 1)
}

fn allowed(scenario: &Scenario) -> Value {
    let site = &scenario.site;
    json!({
        "cancel": true,
        "conn-idle": site.host.idle_timeout,
        "cpu-us-per-request": 0.0,
        "cpu-us-per-s": 400_000,
        "dial-timeout": DIAL_TIMEOUT,
        "max-attempts": site.max_attempts,
        "max-open": 20_000,
        "max-retry-after": site.retry_after.unwrap_or(0),
        "max-streams": STREAMS_PER_CONNECTION,
        "may-duplicate": site.hedging,
        "peer-messages": false,
        "probes": false,
        "retry-after": site.retry_after.is_some(),
    })
}

fn prices() -> Value {
    json!({
        "connection": 0.0, "cross-zone": 0.01, "discovery": 0.0, "handshake": 0.0, "late-fail": 0.08,
        "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.08,
    })
}

fn class(class: &ClassSpec) -> Value {
    let (semantics, key_ttl) = match class.idempotency {
        Idempotency::Idempotent => ("safe", 0),
        Idempotency::Keyed(window) => ("keyed", window),
        Idempotency::NonIdempotent => ("unsafe", 0),
    };
    json!({
        "aim": class.latency_objective,
        "dedup-scope": "all",
        "hard-limit": class.deadline,
        "key-ttl": key_ttl,
        "late-worth": class.late_weight_share,
        "name": class.name,
        "semantics": semantics,
        "stream": false,
        "worth": class.priority_weight,
    })
}

fn plan(plan: &PlanSpec) -> Value {
    json!({
        "burst": plan.burst,
        "cap-slack": plan.ceiling_slack,
        "ceiling-rate": plan.ceiling_rate,
        "concurrency": plan.max_in_flight,
        "extra-worth": plan.over_quota_weight_share,
        "name": plan.name,
        "never-over-depth": plan.ceiling_burst,
        "overrun-cost": plan.over_quota_cost,
        "refill": plan.rate,
        "worth-factor": plan.weight_factor,
    })
}

/// Parameters of one start of a gateway process.
#[derive(Clone, Debug)]
pub struct GatewayStart {
    /// Name of the gateway, the same after a restart.
    pub name: String,
    /// Address that the gateway listens on for clients.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the counter; omitted from the document if the site has none.
    pub counter: SocketAddr,
    /// Seed for random numbers, different at each start.
    pub seed: u64,
    /// The endpoint list that the gateway last had, in discovery's format.
    pub known_endpoints: Value,
}

/// The configuration document of a gateway, numbered from 0.
pub fn config_document(scenario: &Scenario, gateway: u32, start: &GatewayStart) -> Value {
    let site = &scenario.site;
    let mut document = json!({
        "name": start.name,
        "listen": start.listen.to_string(),
        "discovery": start.discovery.to_string(),
        "seed": format!("{:016x}", start.seed),
        "limits": {"cores": 1.0, "memory_mb": site.memory_mb, "sockets": site.file_descriptors},
        "known": start.known_endpoints,
        "settings": settings(scenario, gateway),
    });
    if site.counter.enabled {
        document["counter"] = start.counter.to_string().into();
    }
    document
}
