//! All keys of the platform's wire protocol, by object: those that this crate reads and those that it ignores.

/// Keys of the document itself.
pub(crate) const DOCUMENT: &[&str] = &[
    "allowed",
    "balancers",
    "clients",
    "discovery",
    "domain",
    "family",
    "feedback",
    "goal",
    "localities",
    "machine-types",
    "me",
    "prices",
    "rules",
    "services",
    "tariffs",
    "tick",
    "tier",
    "tiers",
    "weights",
    "zone",
];
/// Keys of `allowed`: actions and limits that the platform allows a gateway.
pub(crate) const ALLOWED: &[&str] = &[
    "cancel",
    "conn-idle",
    "cpu-us-per-request",
    "cpu-us-per-s",
    "dial-timeout",
    "max-attempts",
    "max-open",
    "max-retry-after",
    "max-streams",
    "may-duplicate",
    "peer-messages",
    "probes",
    "retry-after",
];
/// Keys of `domain`: quotas and the shared counter.
pub(crate) const DOMAIN: &[&str] =
    &["count-fee", "counter-timeout", "metering", "peer-intake", "post-paid", "shared-counter", "units-top"];
/// Keys of `rules`: the rules that a gateway must follow.
pub(crate) const RULES: &[&str] =
    &["answer-slack", "cold", "cold-share", "drain-grace", "fall", "fall-multiple", "must-ask-in"];
/// Keys of `feedback`: the load reports of hosts.
pub(crate) const FEEDBACK: &[&str] = &["fields", "how"];
/// Keys of an entry of `services`, a class of requests.
pub(crate) const SERVICE: &[&str] = &[
    "aim",
    "aim-stretch",
    "dedup-scope",
    "hard-limit",
    "key-ttl",
    "late-worth",
    "name",
    "semantics",
    "stream",
    "worth",
];
/// Keys of an entry of `tariffs`, a customer's plan.
pub(crate) const TARIFF: &[&str] = &[
    "burst",
    "cap-slack",
    "ceiling-rate",
    "concurrency",
    "extra-worth",
    "name",
    "never-over-depth",
    "overrun-cost",
    "refill",
    "worth-factor",
];
