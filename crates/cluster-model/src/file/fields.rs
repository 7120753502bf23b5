//! The keys of sections, as one table per section for parsing, formatting and documentation.

use super::errors::ParseResult;
use super::line::{Bounds, Line};
use super::quantity::{number_text, share_text, size_text, span_text};
use super::{MAX_BUILDINGS, MAX_GATEWAYS, MAX_HOSTS};
use crate::scenario::*;
use crate::{Span, MS, SECOND};

const MINUTE: Span = 60 * SECOND;
const HOUR: Span = 60 * MINUTE;
/// Bounds of a share without restriction.
const ANY_SHARE: Bounds<f64> = (0.0, 1.0);

/// A key and its value in a struct `T`.
pub(super) struct Field<T: 'static> {
    /// Name of the key.
    pub key: &'static str,
    /// The words that introduce the value: the name of the key, or keywords that are values themselves.
    pub keywords: &'static [&'static str],
    /// Returns a reference to the value, with its bounds.
    pub value: for<'a> fn(&'a mut T) -> FieldValue<'a>,
}

/// A mutable reference to a value, with its syntax, bounds and unit.
pub(super) enum FieldValue<'a> {
    /// An integer with its unit.
    Integer(&'a mut u32, Bounds<u32>, &'static str),
    /// A size in bytes.
    Size(&'a mut u32, Bounds<u32>),
    /// A number with its unit.
    Number(&'a mut f64, Bounds<f64>, &'static str),
    /// A share, written as a percentage.
    Share(&'a mut f64, Bounds<f64>),
    /// A range of shares, written as percentages.
    ShareRange(&'a mut (f64, f64), Bounds<f64>),
    /// A factor, such as `x 3`.
    Factor(&'a mut f64, Bounds<f64>),
    /// A time span.
    Span(&'a mut Span, Bounds<Span>),
    /// A range of time spans.
    SpanRange(&'a mut (Span, Span), Bounds<Span>),
    /// A time span or `none`.
    OptionalSpan(&'a mut Option<Span>, Bounds<Span>),
    /// `yes` or `no`.
    YesNo(&'a mut bool),
    /// `on` or `off`, a keyword without a key.
    OnOff(&'a mut bool),
    /// `safe`, `unsafe` or `keyed for 5 s`, a keyword without a key.
    Idempotency(&'a mut Idempotency),
    /// Two values with a word between them, which may be empty.
    Pair(Box<FieldValue<'a>>, &'static str, Box<FieldValue<'a>>),
}

impl FieldValue<'_> {
    /// Reads the value that follows `word`, which introduces it.
    pub fn read(self, line: &mut Line<'_>, key: &str, word: &str) -> ParseResult<()> {
        match self {
            FieldValue::Integer(value, bounds, unit) => *value = line.integer(key, bounds, unit)?,
            FieldValue::Size(value, bounds) => *value = line.size(key, bounds)?,
            FieldValue::Number(value, bounds, unit) => *value = line.number(key, bounds, unit)?,
            FieldValue::Share(value, bounds) => *value = line.share(key, bounds)?,
            FieldValue::ShareRange(value, bounds) => *value = line.share_range(key, bounds)?,
            FieldValue::Factor(value, bounds) => *value = line.factor(key, bounds)?,
            FieldValue::Span(value, bounds) => *value = line.span(key, bounds)?,
            FieldValue::SpanRange(value, bounds) => *value = line.span_range(key, bounds)?,
            FieldValue::OptionalSpan(value, bounds) => {
                *value = if line.accept("none") { None } else { Some(line.span(key, bounds)?) }
            }
            FieldValue::YesNo(value) => *value = line.one_of("value", &["yes", "no"])? == "yes",
            FieldValue::OnOff(value) => *value = word == "on",
            FieldValue::Idempotency(value) => *value = read_idempotency(line, word)?,
            FieldValue::Pair(first, separator, second) => {
                first.read(line, key, word)?;
                if !separator.is_empty() {
                    line.require(separator)?;
                }
                second.read(line, key, word)?;
            }
        }
        Ok(())
    }

    /// Formats the value for a file.
    pub fn text(&self) -> String {
        match self {
            FieldValue::Integer(value, _, unit) => format!("{value} {unit}").trim_end().to_owned(),
            FieldValue::Size(value, _) => size_text(**value),
            FieldValue::Number(value, _, unit) => {
                format!("{} {unit}", number_text(**value)).trim_end().to_owned()
            }
            FieldValue::Share(value, _) => share_text(**value),
            FieldValue::ShareRange(value, _) => format!("{} to {}", share_text(value.0), share_text(value.1)),
            FieldValue::Factor(value, _) => format!("x {}", number_text(**value)),
            FieldValue::Span(value, _) => span_text(**value),
            FieldValue::SpanRange(value, _) => format!("{} to {}", span_text(value.0), span_text(value.1)),
            FieldValue::OptionalSpan(value, _) => value.map_or("none".into(), span_text),
            FieldValue::YesNo(value) => if **value { "yes" } else { "no" }.into(),
            FieldValue::OnOff(value) => if **value { "on" } else { "off" }.into(),
            FieldValue::Idempotency(value) => match value {
                Idempotency::Idempotent => "safe".into(),
                Idempotency::Keyed(window) => format!("keyed for {}", span_text(*window)),
                Idempotency::NonIdempotent => "unsafe".into(),
            },
            FieldValue::Pair(first, "", second) => format!("{} {}", first.text(), second.text()),
            FieldValue::Pair(first, separator, second) => {
                format!("{} {separator} {}", first.text(), second.text())
            }
        }
    }

    /// Returns whether the value is written without its key.
    pub fn is_keyword(&self) -> bool {
        matches!(self, FieldValue::OnOff(_) | FieldValue::Idempotency(_))
    }

    /// Describes the allowed values.
    fn bounds(&self) -> String {
        fn between<T>((low, high): Bounds<T>, show: impl Fn(T) -> String) -> String {
            format!("{} to {}", show(low), show(high))
        }
        match self {
            FieldValue::Integer(_, bounds, unit) => between(*bounds, |n| n.to_string()) + " " + unit,
            FieldValue::Size(_, bounds) => between(*bounds, size_text),
            FieldValue::Number(_, bounds, unit) => between(*bounds, number_text) + " " + unit,
            FieldValue::Share(_, bounds) | FieldValue::ShareRange(_, bounds) => between(*bounds, share_text),
            FieldValue::Factor(_, bounds) => between(*bounds, |n| format!("x {}", number_text(n))),
            FieldValue::Span(_, bounds) | FieldValue::SpanRange(_, bounds) => between(*bounds, span_text),
            FieldValue::OptionalSpan(_, bounds) => between(*bounds, span_text) + ", or `none`",
            FieldValue::YesNo(_) => "`yes` or `no`".into(),
            FieldValue::OnOff(_) => "`on` or `off`".into(),
            FieldValue::Idempotency(_) => {
                format!("`safe`, `unsafe`, or `keyed for` {}", between(DEDUP_WINDOW, span_text))
            }
            FieldValue::Pair(first, _, second) => format!("{}; {}", first.bounds(), second.bounds()),
        }
        .trim_end()
        .to_owned()
    }
}

/// Bounds of the time for which hosts drop duplicates.
const DEDUP_WINDOW: Bounds<Span> = (MS, HOUR);

fn read_idempotency(line: &mut Line<'_>, word: &str) -> ParseResult<Idempotency> {
    Ok(match word {
        "safe" => Idempotency::Idempotent,
        "keyed" => {
            line.require("for")?;
            Idempotency::Keyed(line.span("keyed", DEDUP_WINDOW)?)
        }
        _ => Idempotency::NonIdempotent,
    })
}

fn pair<'a>(first: FieldValue<'a>, separator: &'static str, second: FieldValue<'a>) -> FieldValue<'a> {
    FieldValue::Pair(Box::new(first), separator, Box::new(second))
}

macro_rules! fields {
    ($name:ident: $of:ty { $($key:literal $(($($word:literal),+))? => |$it:ident| $value:expr;)* }) => {
        pub(super) const $name: &[Field<$of>] = &[$(Field {
            key: $key,
            keywords: fields!(@words $key $(, $($word),+)?),
            value: |$it| $value,
        }),*];
    };
    (@words $key:literal) => { &[$key] };
    (@words $key:literal, $($word:literal),+) => { &[$($word),+] };
}

fields!(SITE: Site {
    "gateways" => |s| FieldValue::Integer(&mut s.gateways, (1, MAX_GATEWAYS), "");
    "hosts" => |s| FieldValue::Integer(&mut s.hosts, (1, MAX_HOSTS), "");
    "buildings" => |s| FieldValue::Integer(&mut s.buildings, (1, MAX_BUILDINGS), "");
    "sockets" => |s| FieldValue::Integer(&mut s.file_descriptors, (64, 1_000_000), "");
    "memory" => |s| FieldValue::Integer(&mut s.memory_mb, (16, 1_000_000), "MB");
    "retry-after" => |s| FieldValue::OptionalSpan(&mut s.retry_after, (MS, MINUTE));
    "max-attempts" => |s| FieldValue::Integer(&mut s.max_attempts, (1, 16), "");
    "start-within" => |s| FieldValue::Span(&mut s.start_jitter, (0, 1500 * MS));
    "second-copies" => |s| FieldValue::YesNo(&mut s.hedging);
});

fields!(HOST: HostSpec {
    "cores" => |h| FieldValue::Integer(&mut h.cores, (1, 256), "");
    "speed" => |h| FieldValue::Number(&mut h.speed, (0.01, 100.0), "");
    "speed-spread" => |h| FieldValue::Share(&mut h.speed_spread, (0.0, 0.9));
    "slots" => |h| FieldValue::Integer(&mut h.slots, (1, 10_000), "");
    "queue" => |h| FieldValue::Integer(&mut h.queue, (0, 100_000), "");
    "thrash-at" => |h| FieldValue::Number(&mut h.thrash_threshold, (0.1, 1000.0), "requests/core");
    "thrash" => |h| FieldValue::Share(&mut h.thrash_loss, ANY_SHARE);
    "cold" => |h| pair(
        FieldValue::Share(&mut h.warmup_share, (0.01, 1.0)),
        "for",
        FieldValue::Span(&mut h.warmup, (0, HOUR)));
    "connections" => |h| FieldValue::Integer(&mut h.connections, (1, 1_000_000), "");
    "handshake" => |h| FieldValue::Span(&mut h.handshake, (0, 10 * SECOND));
    "error-rate" => |h| FieldValue::Share(&mut h.error_rate, ANY_SHARE);
    "idle" => |h| FieldValue::Span(&mut h.idle_timeout, (10 * MS, HOUR));
});

fields!(COUNTER: CounterSpec {
    "on" ("on", "off") => |c| FieldValue::OnOff(&mut c.enabled);
    "parts" => |c| FieldValue::Integer(&mut c.shards, (1, 100), "");
    "rate" => |c| FieldValue::Number(&mut c.calls_per_s, (1.0, 1e6), "calls/s");
    "call" => |c| FieldValue::Span(&mut c.service_time, (0, 10 * SECOND));
    "queue" => |c| FieldValue::Integer(&mut c.queue, (0, 1_000_000), "");
    "timeout" => |c| FieldValue::Span(&mut c.timeout, (MS, 10 * SECOND));
    "building" => |c| FieldValue::Integer(&mut c.building, (1, 100), "");
});

fields!(DISCOVERY: DiscoverySpec {
    "notice" => |d| FieldValue::SpanRange(&mut d.update_delay, (0, 10 * MINUTE));
    "silent-notice" => |d| FieldValue::SpanRange(&mut d.crash_detection_delay, (0, 10 * MINUTE));
});

fields!(NETWORK: NetworkSpec {
    "same" => |n| FieldValue::Span(&mut n.intra_building, (1_000, SECOND));
    "cross" => |n| FieldValue::Span(&mut n.inter_building, (1_000, SECOND));
    "client" => |n| FieldValue::Span(&mut n.client, (1_000, SECOND));
    "jitter" => |n| FieldValue::Share(&mut n.jitter, ANY_SHARE);
    "window" => |n| FieldValue::Size(&mut n.window, (1024, 16 << 20));
});

fields!(RULES: RulesSpec {
    "drain-grace" => |r| FieldValue::Span(&mut r.drain_grace, (0, MINUTE));
    "fall" => |r| pair(
        FieldValue::Factor(&mut r.overload_factor, (0.1, 1000.0)),
        "for",
        FieldValue::Span(&mut r.overload_span, (MS, 10 * MINUTE)));
    "answer-slack" => |r| FieldValue::Span(&mut r.deadline_slack, (0, 10 * SECOND));
});

fields!(CLASS: ClassSpec {
    "share" => |c| FieldValue::Share(&mut c.share, ANY_SHARE);
    "work" => |c| FieldValue::Span(&mut c.work, (1_000, MINUTE));
    "work-cv" => |c| FieldValue::Number(&mut c.work_cv, (0.0, 10.0), "");
    "aim" => |c| FieldValue::Span(&mut c.latency_objective, (MS, 10 * MINUTE));
    "deadline" => |c| FieldValue::Span(&mut c.deadline, (MS, 10 * MINUTE));
    "worth" => |c| FieldValue::Number(&mut c.priority_weight, (0.0, 1e6), "");
    "late-worth" => |c| FieldValue::Share(&mut c.late_weight_share, ANY_SHARE);
    "effect" ("safe", "unsafe", "keyed") => |c| FieldValue::Idempotency(&mut c.idempotency);
});

fields!(PLAN: PlanSpec {
    "share" => |p| FieldValue::Share(&mut p.share, ANY_SHARE);
    "rate" => |p| FieldValue::Number(&mut p.rate, (0.01, 1e6), "units/s");
    "burst" => |p| FieldValue::Number(&mut p.burst, (0.1, 1e6), "units");
    "open" => |p| FieldValue::Integer(&mut p.max_in_flight, (0, 100_000), "");
    "price" => |p| FieldValue::Number(&mut p.weight_factor, (0.0, 1e6), "");
    "extra-worth" => |p| FieldValue::Share(&mut p.over_quota_weight_share, ANY_SHARE);
    "overrun-cost" => |p| FieldValue::Share(&mut p.over_quota_cost, (0.0, 10.0));
    "ceiling-rate" => |p| FieldValue::Number(&mut p.ceiling_rate, (0.0, 1e6), "units/s");
    "ceiling-burst" => |p| FieldValue::Number(&mut p.ceiling_burst, (0.0, 1e6), "units");
    "ceiling-slack" => |p| FieldValue::Number(&mut p.ceiling_slack, (0.0, 1e6), "units");
    "spread" => |p| FieldValue::Integer(&mut p.spread, (1, MAX_GATEWAYS), "gateways");
});

fields!(TRAFFIC: Traffic {
    "rate" => |t| FieldValue::Number(&mut t.rate, (0.1, 100_000.0), "requests/s");
    "most-units" => |t| FieldValue::Integer(&mut t.max_units, (1, 1000), "units");
    "guess-cv" => |t| FieldValue::Number(&mut t.estimate_cv, (0.0, 10.0), "");
    "calm-use" => |t| FieldValue::ShareRange(&mut t.normal_use, ANY_SHARE);
    "full" => |t| FieldValue::Share(&mut t.near_quota, ANY_SHARE);
    "heavy" => |t| pair(
        FieldValue::Share(&mut t.heavy.0, ANY_SHARE), "", FieldValue::Factor(&mut t.heavy.1, (1.0, 100.0)));
    "spiky" => |t| pair(
        FieldValue::Share(&mut t.bursty.0, ANY_SHARE), "", FieldValue::Factor(&mut t.bursty.1, (1.0, 100.0)));
    "greedy" => |t| pair(
        FieldValue::Share(&mut t.greedy.0, ANY_SHARE), "", FieldValue::Factor(&mut t.greedy.1, (1.0, 100.0)));
    "most-excess" => |t| FieldValue::Share(&mut t.max_excess, (0.0, 10.0));
    "skew" => |t| FieldValue::Number(&mut t.skew, (0.0, 10.0), "");
    "uneven" => |t| FieldValue::Number(&mut t.gateway_imbalance, (0.0, 10.0), "");
    "shift" => |t| FieldValue::Span(&mut t.imbalance_interval, (100 * MS, HOUR));
    "retries" => |t| FieldValue::Integer(&mut t.retries, (0, 10), "");
    "backoff" => |t| FieldValue::Span(&mut t.backoff, (0, MINUTE));
    "honour" => |t| FieldValue::Share(&mut t.follows_retry_after, ANY_SHARE);
    "try-share" => |t| FieldValue::ShareRange(&mut t.request_timeout_share, (0.01, 1.0));
    "impatient" => |t| FieldValue::Share(&mut t.early_disconnects, ANY_SHARE);
    "front-notice" => |t| FieldValue::Span(&mut t.front_detection_delay, (0, MINUTE));
});

/// Returns a class before its lines are read. The keys of [`REQUIRED_CLASS_KEYS`] have no default.
pub(super) fn new_class(name: &str) -> ClassSpec {
    ClassSpec {
        name: name.into(),
        share: 0.0,
        work: 0,
        work_cv: 0.8,
        latency_objective: 0,
        deadline: 0,
        priority_weight: 0.0,
        late_weight_share: 0.0,
        idempotency: Idempotency::NonIdempotent,
    }
}

/// Keys that a new class must have.
pub(super) const REQUIRED_CLASS_KEYS: &[&str] = &["share", "work", "aim", "deadline", "worth", "effect"];

/// Returns a plan before its lines are read. The keys of [`REQUIRED_PLAN_KEYS`] have no default.
pub(super) fn new_plan(name: &str) -> PlanSpec {
    PlanSpec {
        name: name.into(),
        share: 0.0,
        rate: 0.0,
        burst: 0.0,
        max_in_flight: 0,
        weight_factor: 0.0,
        over_quota_weight_share: 0.0,
        over_quota_cost: 0.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        ceiling_slack: 0.0,
        spread: 0,
    }
}

/// Keys that a new plan must have.
pub(super) const REQUIRED_PLAN_KEYS: &[&str] = &["share", "rate", "burst", "price", "spread"];

/// Words that begin a line of the section `site` with a separate table of keys, or with a list of names
/// (`only`).
pub(super) const SITE_LINE_KEYWORDS: [&str; 8] =
    ["host", "counter", "discovery", "network", "rules", "class", "plan", "only"];

/// Returns where a misplaced word is allowed.
pub(super) fn expected_location(word: &str) -> Option<&'static str> {
    fn has<T>(table: &[Field<T>], word: &str) -> bool {
        table.iter().any(|field| field.keywords.contains(&word))
    }
    let locations = [
        (has(SITE, word) || SITE_LINE_KEYWORDS.contains(&word), "in the section `site`"),
        (super::EVENT_KEYWORDS.contains(&word), "after `at` and a time, as in `at 10 s: ...`"),
        (has(TRAFFIC, word), "in the section `traffic`"),
        (has(HOST, word), "in a line `host` of the section `site`"),
        (has(COUNTER, word), "in a line `counter` of the section `site`"),
        (has(DISCOVERY, word), "in a line `discovery` of the section `site`"),
        (has(NETWORK, word), "in a line `network` of the section `site`"),
        (has(RULES, word), "in a line `rules` of the section `site`"),
        (has(CLASS, word), "in a line `class` of the section `site`"),
        (has(PLAN, word), "in a line `plan` of the section `site`"),
    ];
    locations.into_iter().find(|(applies, _)| *applies).map(|(_, location)| location)
}

/// The documentation of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyEntry {
    /// The section, or the kind of line in the section `site`.
    pub section: &'static str,
    /// The key.
    pub key: &'static str,
    /// The default value as written in a file, or `needed` if a new class or plan must give the key.
    pub default: String,
    /// The allowed values.
    pub bounds: String,
}

/// Returns all keys with their defaults and bounds, in the order of their tables.
pub fn reference() -> Vec<KeyEntry> {
    let mut site = Site::default();
    let mut entries = key_entries("site", SITE, &mut site, &[]);
    entries.extend(key_entries("host", HOST, &mut site.host, &[]));
    entries.extend(key_entries("counter", COUNTER, &mut site.counter, &[]));
    entries.extend(key_entries("discovery", DISCOVERY, &mut site.discovery, &[]));
    entries.extend(key_entries("network", NETWORK, &mut site.network, &[]));
    entries.extend(key_entries("rules", RULES, &mut site.rules, &[]));
    entries.extend(key_entries("class", CLASS, &mut new_class(""), REQUIRED_CLASS_KEYS));
    entries.extend(key_entries("plan", PLAN, &mut new_plan(""), REQUIRED_PLAN_KEYS));
    entries.extend(key_entries("traffic", TRAFFIC, &mut Traffic::default(), &[]));
    entries
}

fn key_entries<T>(
    section: &'static str,
    table: &[Field<T>],
    target: &mut T,
    required: &[&str],
) -> Vec<KeyEntry> {
    let entry = |field: &Field<T>| {
        let value = (field.value)(target);
        let default = if required.contains(&field.key) { "needed".into() } else { value.text() };
        KeyEntry { section, key: field.key, default, bounds: value.bounds() }
    };
    table.iter().map(entry).collect()
}
