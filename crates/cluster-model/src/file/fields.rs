//! The keys of sections: one table for each, by which files are read, written and explained.

use super::errors::Parsed;
use super::figure::{number_text, share_text, size_text, span_text};
use super::line::{Bounds, Line};
use super::{MAX_BUILDINGS, MAX_GATEWAYS, MAX_HOSTS};
use crate::scenario::*;
use crate::{Span, MS, SECOND};

/// A minute.
const MINUTE: Span = 60 * SECOND;
/// An hour.
const HOUR: Span = 60 * MINUTE;
/// Anything from nothing to all.
const ANY_SHARE: Bounds<f64> = (0.0, 1.0);

/// A key and where its value is kept.
pub(super) struct Field<T: 'static> {
    /// Its name.
    pub key: &'static str,
    /// The words that announce it: its name, or those that are values themselves.
    pub words: &'static [&'static str],
    /// Where its value is kept, and within what bounds.
    pub slot: for<'a> fn(&'a mut T) -> Slot<'a>,
}

/// A value in its place.
pub(super) enum Slot<'a> {
    /// A whole number with its unit.
    Count(&'a mut u32, Bounds<u32>, &'static str),
    /// Bytes.
    Size(&'a mut u32, Bounds<u32>),
    /// A number with its unit.
    Number(&'a mut f64, Bounds<f64>, &'static str),
    /// Per cent.
    Share(&'a mut f64, Bounds<f64>),
    /// Per cent, from and to.
    Shares(&'a mut (f64, f64), Bounds<f64>),
    /// `x 3`.
    Times(&'a mut f64, Bounds<f64>),
    /// A span.
    Span(&'a mut Span, Bounds<Span>),
    /// Spans, from and to.
    Spans(&'a mut (Span, Span), Bounds<Span>),
    /// A span or `none`.
    MaybeSpan(&'a mut Option<Span>, Bounds<Span>),
    /// `yes` or `no`.
    YesNo(&'a mut bool),
    /// `on` or `off`, announced by itself.
    OnOff(&'a mut bool),
    /// `safe`, `unsafe` or `keyed for 5 s`, announced by itself.
    Effect(&'a mut Idempotency),
    /// Two values with a word between them, which may be empty.
    Both(Box<Slot<'a>>, &'static str, Box<Slot<'a>>),
}

impl Slot<'_> {
    /// Reads the value that stands behind `word`, which announced it.
    pub fn read(self, line: &mut Line<'_>, key: &str, word: &str) -> Parsed<()> {
        match self {
            Slot::Count(slot, bounds, unit) => *slot = line.count(key, bounds, unit)?,
            Slot::Size(slot, bounds) => *slot = line.size(key, bounds)?,
            Slot::Number(slot, bounds, unit) => *slot = line.number(key, bounds, unit)?,
            Slot::Share(slot, bounds) => *slot = line.share(key, bounds)?,
            Slot::Shares(slot, bounds) => *slot = line.shares(key, bounds)?,
            Slot::Times(slot, bounds) => *slot = line.times(key, bounds)?,
            Slot::Span(slot, bounds) => *slot = line.span(key, bounds)?,
            Slot::Spans(slot, bounds) => *slot = line.spans(key, bounds)?,
            Slot::MaybeSpan(slot, bounds) => {
                *slot = if line.accept("none") { None } else { Some(line.span(key, bounds)?) }
            }
            Slot::YesNo(slot) => *slot = line.one_of("answer", &["yes", "no"])? == "yes",
            Slot::OnOff(slot) => *slot = word == "on",
            Slot::Effect(slot) => *slot = read_effect(line, word)?,
            Slot::Both(first, between, second) => {
                first.read(line, key, word)?;
                if !between.is_empty() {
                    line.require(between)?;
                }
                second.read(line, key, word)?;
            }
        }
        Ok(())
    }

    /// The value as it is written.
    pub fn text(&self) -> String {
        match self {
            Slot::Count(slot, _, unit) => format!("{slot} {unit}").trim_end().to_owned(),
            Slot::Size(slot, _) => size_text(**slot),
            Slot::Number(slot, _, unit) => format!("{} {unit}", number_text(**slot)).trim_end().to_owned(),
            Slot::Share(slot, _) => share_text(**slot),
            Slot::Shares(slot, _) => format!("{} to {}", share_text(slot.0), share_text(slot.1)),
            Slot::Times(slot, _) => format!("x {}", number_text(**slot)),
            Slot::Span(slot, _) => span_text(**slot),
            Slot::Spans(slot, _) => format!("{} to {}", span_text(slot.0), span_text(slot.1)),
            Slot::MaybeSpan(slot, _) => slot.map_or("none".into(), span_text),
            Slot::YesNo(slot) => if **slot { "yes" } else { "no" }.into(),
            Slot::OnOff(slot) => if **slot { "on" } else { "off" }.into(),
            Slot::Effect(slot) => match slot {
                Idempotency::Idempotent => "safe".into(),
                Idempotency::Keyed(window) => format!("keyed for {}", span_text(*window)),
                Idempotency::NonIdempotent => "unsafe".into(),
            },
            Slot::Both(first, "", second) => format!("{} {}", first.text(), second.text()),
            Slot::Both(first, between, second) => format!("{} {between} {}", first.text(), second.text()),
        }
    }

    /// Whether the value announces itself.
    pub fn stands_alone(&self) -> bool {
        matches!(self, Slot::OnOff(_) | Slot::Effect(_))
    }

    /// What it may be, in words.
    fn bounds(&self) -> String {
        fn between<T>((low, high): Bounds<T>, show: impl Fn(T) -> String) -> String {
            format!("{} to {}", show(low), show(high))
        }
        match self {
            Slot::Count(_, bounds, unit) => between(*bounds, |n| n.to_string()) + " " + unit,
            Slot::Size(_, bounds) => between(*bounds, size_text),
            Slot::Number(_, bounds, unit) => between(*bounds, number_text) + " " + unit,
            Slot::Share(_, bounds) | Slot::Shares(_, bounds) => between(*bounds, share_text),
            Slot::Times(_, bounds) => between(*bounds, |n| format!("x {}", number_text(n))),
            Slot::Span(_, bounds) | Slot::Spans(_, bounds) => between(*bounds, span_text),
            Slot::MaybeSpan(_, bounds) => between(*bounds, span_text) + ", or `none`",
            Slot::YesNo(_) => "`yes` or `no`".into(),
            Slot::OnOff(_) => "`on` or `off`".into(),
            Slot::Effect(_) => format!("`safe`, `unsafe`, or `keyed for` {}", between(WINDOW, span_text)),
            Slot::Both(first, _, second) => format!("{}; {}", first.bounds(), second.bounds()),
        }
        .trim_end()
        .to_owned()
    }
}

/// For how long hosts may drop repeats.
const WINDOW: Bounds<Span> = (MS, HOUR);

fn read_effect(line: &mut Line<'_>, word: &str) -> Parsed<Idempotency> {
    Ok(match word {
        "safe" => Idempotency::Idempotent,
        "keyed" => {
            line.require("for")?;
            Idempotency::Keyed(line.span("keyed", WINDOW)?)
        }
        _ => Idempotency::NonIdempotent,
    })
}

fn both<'a>(first: Slot<'a>, between: &'static str, second: Slot<'a>) -> Slot<'a> {
    Slot::Both(Box::new(first), between, Box::new(second))
}

macro_rules! fields {
    ($name:ident: $of:ty { $($key:literal $(($($word:literal),+))? => |$it:ident| $slot:expr;)* }) => {
        pub(super) const $name: &[Field<$of>] = &[$(Field {
            key: $key,
            words: fields!(@words $key $(, $($word),+)?),
            slot: |$it| $slot,
        }),*];
    };
    (@words $key:literal) => { &[$key] };
    (@words $key:literal, $($word:literal),+) => { &[$($word),+] };
}

fields!(SITE: Site {
    "gateways" => |s| Slot::Count(&mut s.gateways, (1, MAX_GATEWAYS), "");
    "hosts" => |s| Slot::Count(&mut s.hosts, (1, MAX_HOSTS), "");
    "buildings" => |s| Slot::Count(&mut s.buildings, (1, MAX_BUILDINGS), "");
    "sockets" => |s| Slot::Count(&mut s.file_descriptors, (64, 1_000_000), "");
    "memory" => |s| Slot::Count(&mut s.memory_mb, (16, 1_000_000), "MB");
    "retry-after" => |s| Slot::MaybeSpan(&mut s.retry_after, (MS, MINUTE));
    "max-attempts" => |s| Slot::Count(&mut s.max_attempts, (1, 16), "");
    "start-within" => |s| Slot::Span(&mut s.start_jitter, (0, 1500 * MS));
    "second-copies" => |s| Slot::YesNo(&mut s.hedging);
});

fields!(HOST: HostSpec {
    "cores" => |h| Slot::Count(&mut h.cores, (1, 256), "");
    "speed" => |h| Slot::Number(&mut h.speed, (0.01, 100.0), "");
    "speed-spread" => |h| Slot::Share(&mut h.speed_spread, (0.0, 0.9));
    "slots" => |h| Slot::Count(&mut h.slots, (1, 10_000), "");
    "queue" => |h| Slot::Count(&mut h.queue, (0, 100_000), "");
    "thrash-at" => |h| Slot::Number(&mut h.thrash_threshold, (0.1, 1000.0), "requests/core");
    "thrash" => |h| Slot::Share(&mut h.thrash_loss, ANY_SHARE);
    "cold" => |h| both(
        Slot::Share(&mut h.warmup_share, (0.01, 1.0)), "for", Slot::Span(&mut h.warmup, (0, HOUR)));
    "connections" => |h| Slot::Count(&mut h.connections, (1, 1_000_000), "");
    "handshake" => |h| Slot::Span(&mut h.handshake, (0, 10 * SECOND));
    "error-rate" => |h| Slot::Share(&mut h.error_rate, ANY_SHARE);
    "idle" => |h| Slot::Span(&mut h.idle_timeout, (10 * MS, HOUR));
});

fields!(COUNTER: CounterSpec {
    "on" ("on", "off") => |c| Slot::OnOff(&mut c.enabled);
    "parts" => |c| Slot::Count(&mut c.shards, (1, 100), "");
    "rate" => |c| Slot::Number(&mut c.calls_per_s, (1.0, 1e6), "calls/s");
    "call" => |c| Slot::Span(&mut c.service_time, (0, 10 * SECOND));
    "queue" => |c| Slot::Count(&mut c.queue, (0, 1_000_000), "");
    "timeout" => |c| Slot::Span(&mut c.timeout, (MS, 10 * SECOND));
    "building" => |c| Slot::Count(&mut c.building, (1, 100), "");
});

fields!(DISCOVERY: DiscoverySpec {
    "notice" => |d| Slot::Spans(&mut d.update_delay, (0, 10 * MINUTE));
    "silent-notice" => |d| Slot::Spans(&mut d.crash_detection_delay, (0, 10 * MINUTE));
});

fields!(NETWORK: NetworkSpec {
    "same" => |n| Slot::Span(&mut n.intra_building, (1_000, SECOND));
    "cross" => |n| Slot::Span(&mut n.inter_building, (1_000, SECOND));
    "client" => |n| Slot::Span(&mut n.client, (1_000, SECOND));
    "jitter" => |n| Slot::Share(&mut n.jitter, ANY_SHARE);
    "window" => |n| Slot::Size(&mut n.window, (1024, 16 << 20));
});

fields!(RULES: RulesSpec {
    "drain-grace" => |r| Slot::Span(&mut r.drain_grace, (0, MINUTE));
    "fall" => |r| both(
        Slot::Times(&mut r.overload_factor, (0.1, 1000.0)), "for", Slot::Span(&mut r.overload_span, (MS, 10 * MINUTE)));
    "answer-slack" => |r| Slot::Span(&mut r.deadline_slack, (0, 10 * SECOND));
});

fields!(CLASS: ClassSpec {
    "share" => |c| Slot::Share(&mut c.share, ANY_SHARE);
    "work" => |c| Slot::Span(&mut c.work, (1_000, MINUTE));
    "work-cv" => |c| Slot::Number(&mut c.work_cv, (0.0, 10.0), "");
    "aim" => |c| Slot::Span(&mut c.latency_objective, (MS, 10 * MINUTE));
    "deadline" => |c| Slot::Span(&mut c.deadline, (MS, 10 * MINUTE));
    "worth" => |c| Slot::Number(&mut c.priority_weight, (0.0, 1e6), "");
    "late-worth" => |c| Slot::Share(&mut c.late_weight_share, ANY_SHARE);
    "effect" ("safe", "unsafe", "keyed") => |c| Slot::Effect(&mut c.idempotency);
});

fields!(PLAN: PlanSpec {
    "share" => |p| Slot::Share(&mut p.share, ANY_SHARE);
    "rate" => |p| Slot::Number(&mut p.rate, (0.01, 1e6), "units/s");
    "burst" => |p| Slot::Number(&mut p.burst, (0.1, 1e6), "units");
    "open" => |p| Slot::Count(&mut p.max_in_flight, (0, 100_000), "");
    "price" => |p| Slot::Number(&mut p.weight_factor, (0.0, 1e6), "");
    "extra-worth" => |p| Slot::Share(&mut p.over_quota_weight_share, ANY_SHARE);
    "overrun-cost" => |p| Slot::Share(&mut p.over_quota_cost, (0.0, 10.0));
    "ceiling-rate" => |p| Slot::Number(&mut p.ceiling_rate, (0.0, 1e6), "units/s");
    "ceiling-burst" => |p| Slot::Number(&mut p.ceiling_burst, (0.0, 1e6), "units");
    "ceiling-slack" => |p| Slot::Number(&mut p.ceiling_slack, (0.0, 1e6), "units");
    "spread" => |p| Slot::Count(&mut p.spread, (1, MAX_GATEWAYS), "gateways");
});

fields!(TRAFFIC: Traffic {
    "rate" => |t| Slot::Number(&mut t.rate, (0.1, 100_000.0), "requests/s");
    "most-units" => |t| Slot::Count(&mut t.max_units, (1, 1000), "units");
    "guess-cv" => |t| Slot::Number(&mut t.estimate_cv, (0.0, 10.0), "");
    "calm-use" => |t| Slot::Shares(&mut t.normal_use, ANY_SHARE);
    "full" => |t| Slot::Share(&mut t.near_quota, ANY_SHARE);
    "heavy" => |t| both(
        Slot::Share(&mut t.heavy.0, ANY_SHARE), "", Slot::Times(&mut t.heavy.1, (1.0, 100.0)));
    "spiky" => |t| both(
        Slot::Share(&mut t.bursty.0, ANY_SHARE), "", Slot::Times(&mut t.bursty.1, (1.0, 100.0)));
    "greedy" => |t| both(
        Slot::Share(&mut t.greedy.0, ANY_SHARE), "", Slot::Times(&mut t.greedy.1, (1.0, 100.0)));
    "most-excess" => |t| Slot::Share(&mut t.max_excess, (0.0, 10.0));
    "skew" => |t| Slot::Number(&mut t.skew, (0.0, 10.0), "");
    "uneven" => |t| Slot::Number(&mut t.gateway_imbalance, (0.0, 10.0), "");
    "shift" => |t| Slot::Span(&mut t.imbalance_interval, (100 * MS, HOUR));
    "retries" => |t| Slot::Count(&mut t.retries, (0, 10), "");
    "backoff" => |t| Slot::Span(&mut t.backoff, (0, MINUTE));
    "honour" => |t| Slot::Share(&mut t.follows_retry_after, ANY_SHARE);
    "try-share" => |t| Slot::Shares(&mut t.request_timeout_share, (0.01, 1.0));
    "impatient" => |t| Slot::Share(&mut t.early_disconnects, ANY_SHARE);
    "front-notice" => |t| Slot::Span(&mut t.front_detection_delay, (0, MINUTE));
});

/// A class before its lines are read. The keys of [`CLASS_NEEDS`] have no default.
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

/// What a new class has to tell.
pub(super) const CLASS_NEEDS: &[&str] = &["share", "work", "aim", "deadline", "worth", "effect"];

/// A plan before its lines are read. The keys of [`PLAN_NEEDS`] have no default.
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

/// What a new plan has to tell.
pub(super) const PLAN_NEEDS: &[&str] = &["share", "rate", "burst", "price", "spread"];

/// Lines of the section `site` that begin with a word of their own.
pub(super) const GROUPS: [&str; 8] =
    ["host", "counter", "discovery", "network", "rules", "class", "plan", "only"];

/// Where a word belongs that stands in the wrong place.
pub(super) fn home(word: &str) -> Option<&'static str> {
    fn has<T>(table: &[Field<T>], word: &str) -> bool {
        table.iter().any(|field| field.words.contains(&word))
    }
    let homes = [
        (has(SITE, word) || GROUPS.contains(&word), "in the section `site`"),
        (super::EVENT_KEYWORDS.contains(&word), "behind `at` and a time, as in `at 10 s: ...`"),
        (has(TRAFFIC, word), "in the section `traffic`"),
        (has(HOST, word), "in a line `host` of the section `site`"),
        (has(COUNTER, word), "in a line `counter` of the section `site`"),
        (has(DISCOVERY, word), "in a line `discovery` of the section `site`"),
        (has(NETWORK, word), "in a line `network` of the section `site`"),
        (has(RULES, word), "in a line `rules` of the section `site`"),
        (has(CLASS, word), "in a line `class` of the section `site`"),
        (has(PLAN, word), "in a line `plan` of the section `site`"),
    ];
    homes.into_iter().find(|(here, _)| *here).map(|(_, home)| home)
}

/// A key, for those who explain it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The section, or the kind of line in the section `site`.
    pub section: &'static str,
    /// The key.
    pub key: &'static str,
    /// What it is when it is not given, as a file would say it; `needed` for a new class or plan.
    pub default: String,
    /// What it may be.
    pub bounds: String,
}

/// All keys with their defaults and bounds, in the order of their tables.
pub fn reference() -> Vec<Entry> {
    let mut site = Site::default();
    let mut entries = listed("site", SITE, &mut site, &[]);
    entries.extend(listed("host", HOST, &mut site.host, &[]));
    entries.extend(listed("counter", COUNTER, &mut site.counter, &[]));
    entries.extend(listed("discovery", DISCOVERY, &mut site.discovery, &[]));
    entries.extend(listed("network", NETWORK, &mut site.network, &[]));
    entries.extend(listed("rules", RULES, &mut site.rules, &[]));
    entries.extend(listed("class", CLASS, &mut new_class(""), CLASS_NEEDS));
    entries.extend(listed("plan", PLAN, &mut new_plan(""), PLAN_NEEDS));
    entries.extend(listed("traffic", TRAFFIC, &mut Traffic::default(), &[]));
    entries
}

fn listed<T>(section: &'static str, table: &[Field<T>], of: &mut T, needed: &[&str]) -> Vec<Entry> {
    let entry = |field: &Field<T>| {
        let slot = (field.slot)(of);
        let default = if needed.contains(&field.key) { "needed".into() } else { slot.text() };
        Entry { section, key: field.key, default, bounds: slot.bounds() }
    };
    table.iter().map(entry).collect()
}
