//! The platform's settings document: what the module is told, and what the program around it reads there.
//!
//! A document that could serve nobody, or would lift a limit by a slip, is refused with the key named.

mod reader;

use policy::api::*;
use reader::{Reader, Result};
use serde_json::Value;

/// Why a settings document cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct SettingsError(pub String);

/// The keys of an object that are not known, by their full names. One that looks like a known one that is
/// missing is refused: it was misspelt, and what it should have set would be silently left out.
pub fn unknown_keys(object: &Value, known: &'static [&'static str]) -> Result<Vec<String>> {
    let mut unknown = Vec::new();
    Reader::new(object, "", known, &mut unknown)?;
    Ok(unknown)
}

/// All keys that the platform's wire page names, by object; those that are read here and those that are not.
mod known {
    pub const DOCUMENT: &[&str] = &[
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
    pub const ALLOWED: &[&str] = &[
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
    pub const DOMAIN: &[&str] = &[
        "count-fee",
        "counter-timeout",
        "metering",
        "peer-intake",
        "post-paid",
        "shared-counter",
        "units-top",
    ];
    pub const RULES: &[&str] =
        &["answer-slack", "cold", "cold-share", "drain-grace", "fall", "fall-multiple", "must-ask-in"];
    pub const FEEDBACK: &[&str] = &["fields", "how"];
    pub const SERVICE: &[&str] = &[
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
    pub const TARIFF: &[&str] = &[
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
}

/// A settings document: what the module is told, and what the program around it reads there.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// The module's settings.
    pub settings: Settings,
    /// Names of the values in a load report.
    pub fields: Vec<String>,
    /// Answers to requests hold load reports.
    pub answers_report: bool,
    /// The most units that a request counts; zero: no bound is known.
    pub units_top: f64,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the plans.
    pub plans: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the kinds of machine.
    pub kinds: Vec<String>,
    /// A connection that is not up by then counts as failed.
    pub dial_timeout: Span,
    /// Servers close a connection that has stood idle for this long.
    pub conn_idle: Span,
    /// Keys that are not known here, by their full names; they are skipped.
    pub unknown: Vec<String>,
}

impl Site {
    /// Reads the document. The error names the first key that is missing, misspelt, of another kind, or says
    /// what no gateway can serve by.
    pub fn parse(json: &Value) -> Result<Site> {
        let mut unknown = Vec::new();
        let doc = Reader::new(json, "", known::DOCUMENT, &mut unknown)?;
        let allowed = doc.part("allowed", known::ALLOWED, &mut unknown)?;
        let domain = doc.part("domain", known::DOMAIN, &mut unknown)?;
        let rules = doc.part("rules", known::RULES, &mut unknown)?;
        let feedback = doc.part("feedback", known::FEEDBACK, &mut unknown)?;
        let services = named(&doc, "services", known::SERVICE, &mut unknown)?;
        let tariffs = named(&doc, "tariffs", known::TARIFF, &mut unknown)?;
        let zones = doc.texts("localities")?;
        Ok(Site {
            settings: Settings {
                classes: services.iter().map(class).collect::<Result<_>>()?,
                plans: tariffs.iter().map(plan).collect::<Result<_>>()?,
                zone: zone(&doc, zones.len())?,
                ..whole(&doc, &allowed, &domain, &rules)?
            },
            fields: feedback.texts("fields")?,
            answers_report: feedback.text("how")? == "answers",
            units_top: domain.number("units-top")?,
            classes: names(&services)?,
            plans: names(&tariffs)?,
            zones,
            kinds: doc.texts("machine-types")?,
            dial_timeout: allowed.some_span("dial-timeout")?,
            conn_idle: allowed.some_span("conn-idle")?,
            unknown,
        })
    }
}

/// What holds for the gateway as a whole.
fn whole(doc: &Reader, allowed: &Reader, domain: &Reader, rules: &Reader) -> Result<Settings> {
    let gateways = doc.count("balancers")?;
    let me = doc.count("me")?;
    if me >= gateways {
        return Err(
            doc.wrong("me", format_args!("is {me}, but `balancers` is {gateways}: they count from 0"))
        );
    }
    let max_attempts = allowed.count("max-attempts")?;
    if max_attempts == 0 {
        return Err(allowed.wrong("max-attempts", "is 0: no request would ever be sent"));
    }
    let counter = domain.bool("shared-counter")?;
    let advice = allowed.bool("retry-after")?;
    Ok(Settings {
        gateways,
        gateway_index: me,
        may_cancel: allowed.bool("cancel")?,
        may_hedge: allowed.bool("may-duplicate")?,
        max_retry_after: if advice { Some(allowed.span("max-retry-after")?) } else { None },
        max_attempts,
        has_counter: counter,
        counter_timeout: if counter { domain.some_span("counter-timeout")? } else { 0 },
        must_subscribe: doc.word("discovery", &["automatic", "subscribe"])? == 1,
        must_poll_within: rules.span("must-ask-in")?,
        cold_capacity: rules.share("cold-share")?,
        warm_up: rules.span("cold")?,
        ..Settings::default()
    })
}

fn zone(doc: &Reader, zones: usize) -> Result<u32> {
    let zone = doc.count("zone")?;
    if zones > 0 && zone as usize >= zones {
        return Err(doc.wrong("zone", format_args!("is {zone}, but `localities` names {zones} from 0")));
    }
    Ok(zone)
}

/// The entries of a list that has to name at least one, each by another name.
fn named<'a>(
    doc: &Reader<'a>,
    key: &'static str,
    known: &'static [&'static str],
    unknown: &mut Vec<String>,
) -> Result<Vec<Reader<'a>>> {
    doc.value(key)?;
    let mut entries = Vec::new();
    for (path, value) in doc.list(key)? {
        entries.push(Reader::new(value, path, known, unknown)?);
    }
    if entries.is_empty() {
        return Err(doc.wrong(key, "names none: nobody could be served"));
    }
    let mut seen = Vec::new();
    for entry in &entries {
        let name = entry.text("name")?;
        if name.is_empty() {
            return Err(entry.wrong("name", "is empty"));
        }
        if seen.contains(&name) {
            return Err(entry.wrong("name", format_args!("is `{name}`, like that of an entry before it")));
        }
        seen.push(name);
    }
    Ok(entries)
}

fn names(entries: &[Reader]) -> Result<Vec<String>> {
    entries.iter().map(|entry| entry.text("name").map(str::to_owned)).collect()
}

fn class(doc: &Reader) -> Result<Class> {
    let effect = match doc.word("semantics", &["safe", "keyed", "unsafe"])? {
        0 => Idempotency::Idempotent,
        1 => Idempotency::WithKey(scope(doc)?, doc.some_span("key-ttl")?),
        _ => Idempotency::NotIdempotent,
    };
    let aim = doc.some_span("aim")?;
    let deadline = doc.some_span("hard-limit")?;
    if aim > deadline {
        let reason = format!("is {aim}, beyond `hard-limit` {deadline}: no answer could come in time");
        return Err(doc.wrong("aim", reason));
    }
    Ok(Class {
        latency_objective: aim,
        objective_stretch: doc.number_or_zero("aim-stretch")?,
        deadline,
        priority_weight: doc.number("worth")?,
        late_fraction: doc.share("late-worth")?,
        idempotency: effect,
        streaming: doc.bool("stream")?,
    })
}

fn scope(doc: &Reader) -> Result<DedupScope> {
    let scopes = [DedupScope::All, DedupScope::Zone, DedupScope::Cell];
    Ok(scopes[doc.word("dedup-scope", &["all", "zone", "cell"])?])
}

fn plan(doc: &Reader) -> Result<Plan> {
    let rate = doc.number("refill")?;
    let burst = doc.number("burst")?;
    let ceiling_rate = doc.number("ceiling-rate")?;
    let ceiling_burst = doc.number("never-over-depth")?;
    for (rate, burst, depth) in [(rate, burst, "burst"), (ceiling_rate, ceiling_burst, "never-over-depth")] {
        if rate > 0.0 && burst == 0.0 {
            return Err(doc.wrong(depth, "is 0 beside a rate: a store of no depth lets nothing through"));
        }
    }
    Ok(Plan {
        rate,
        burst,
        max_concurrent: doc.count("concurrency")?,
        weight_factor: doc.number("worth-factor")?,
        over_quota_weight: doc.number("extra-worth")?,
        over_quota_cost: doc.number("overrun-cost")?,
        ceiling_rate,
        ceiling_burst,
        ceiling_slack: doc.number("cap-slack")?,
    })
}
