//! Translation between the simulator's wire and the module's interface. Nothing is decided here.

use crate::api::*;
use crate::policy::Policy;
use serde_json::Value;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

const EVENT: usize = 56;
const ACTION: usize = 32;
const ENTRY: usize = 24;
const HEADER: usize = 16;

/// What was wrong with the input.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// Reading or writing failed.
    #[error("input or output failed: {0}")]
    Io(#[from] std::io::Error),
    /// A frame ended early.
    #[error("{what} is cut short at byte {at}")]
    Truncated {
        /// Which part.
        what: &'static str,
        /// Where it ended.
        at: usize,
    },
    /// A field holds what it may not.
    #[error("{what} at byte {at} cannot be {value}")]
    Invalid {
        /// Which field.
        what: &'static str,
        /// Where it stands in the frame.
        at: usize,
        /// What it holds.
        value: u64,
    },
    /// An instance got an event before its start.
    #[error("event {code} at byte {at} is for instance {instance}, which has not been started")]
    Unknown {
        /// The event's code.
        code: u16,
        /// Where it stands in the frame.
        at: usize,
        /// The instance.
        instance: u32,
    },
    /// The settings cannot be used.
    #[error("settings: {0}")]
    Settings(String),
}

/// Bytes of a frame, read at fixed places.
struct Bytes<'a> {
    all: &'a [u8],
    base: usize,
}

impl Bytes<'_> {
    fn get<const N: usize>(&self, at: usize) -> Result<[u8; N], WireError> {
        let start = self.base + at;
        let bytes = self.all.get(start..start + N);
        bytes.and_then(|b| b.try_into().ok()).ok_or(WireError::Truncated { what: "record", at: start })
    }
    fn u8(&self, at: usize) -> Result<u8, WireError> {
        Ok(self.get::<1>(at)?[0])
    }
    fn u16(&self, at: usize) -> Result<u16, WireError> {
        Ok(u16::from_le_bytes(self.get(at)?))
    }
    fn u32(&self, at: usize) -> Result<u32, WireError> {
        Ok(u32::from_le_bytes(self.get(at)?))
    }
    fn u64(&self, at: usize) -> Result<u64, WireError> {
        Ok(u64::from_le_bytes(self.get(at)?))
    }
    fn f32(&self, at: usize) -> Result<f64, WireError> {
        Ok(f32::from_le_bytes(self.get(at)?) as f64)
    }
    fn server(&self, at: usize) -> Result<ServerId, WireError> {
        let b = self.get::<6>(at)?;
        Ok(ServerId(u64::from_le_bytes([b[0], b[1], b[2], b[3], b[4], b[5], 0, 0])))
    }
    fn outcome(&self, at: usize) -> Result<Outcome, WireError> {
        Ok(match self.u16(at)? {
            10 => Outcome::Ok,
            20 => Outcome::Error,
            30 => Outcome::Full,
            40 => Outcome::Timeout,
            50 => Outcome::NoConnection,
            60 => Outcome::Reset,
            70 => Outcome::Cancelled,
            80 => Outcome::Moot,
            other => return Err(self.invalid("outcome", at, other as u64)),
        })
    }
    /// A variable part: its place in the tail (offset, then length in items of `item` bytes).
    fn tail(&self, at: usize, tail: usize, item: usize) -> Result<&[u8], WireError> {
        let start = tail.saturating_add(self.u32(at)? as usize);
        let end = start.saturating_add((self.u32(at + 4)? as usize).saturating_mul(item));
        self.all.get(start..end).ok_or(WireError::Truncated { what: "tail", at: self.all.len() })
    }
    fn invalid(&self, what: &'static str, at: usize, value: u64) -> WireError {
        WireError::Invalid { what, at: self.base + at, value }
    }
}

struct Instance {
    policy: Policy,
    fields: Vec<String>,
}

/// All instances of one process, by number.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<u8, Vec<ServerEntry>>,
}

impl Host {
    /// Translates one batch, lets the instances decide, and gives the reply frame.
    pub fn answer(&mut self, frame: &[u8]) -> Result<Vec<u8>, WireError> {
        let head = Bytes { all: frame, base: 0 };
        let (now, size, count) = (head.u64(0)?, head.u32(8)? as usize, head.u32(12)? as usize);
        if size != frame.len() {
            return Err(head.invalid("frame length", 8, size as u64));
        }
        let tail = HEADER.saturating_add(count.saturating_mul(EVENT));
        if tail > size {
            return Err(WireError::Truncated { what: "event records", at: size });
        }
        let mut reply = Reply::default();
        let mut actions = Vec::new();
        for index in 0..count {
            let record = Bytes { all: frame, base: HEADER + index * EVENT };
            let code = record.u16(0)?;
            if code == 6 {
                self.lists.insert(record.u8(2)?, entries(record.tail(3, tail, ENTRY)?)?);
                continue;
            }
            let number = record.u32(2)?;
            match code {
                11 => {
                    let json = serde_json::from_slice(record.tail(14, tail, 1)?);
                    let site = Site::parse(&json.map_err(|e| WireError::Settings(e.to_string()))?)?;
                    let policy = Policy::new(site.settings, record.u64(6)?);
                    self.instances.insert(number, Instance { policy, fields: site.fields });
                    continue;
                }
                7 => {
                    self.instances.remove(&number);
                    continue;
                }
                1..=5 | 8..=10 | 12 => {}
                other => return Err(record.invalid("event code", 0, other as u64)),
            }
            let Some(instance) = self.instances.get_mut(&number) else {
                return Err(WireError::Unknown { code, at: record.base, instance: number });
            };
            let event = event(&record, code, tail, &instance.fields, &self.lists)?;
            let decided = catch_unwind(AssertUnwindSafe(|| instance.policy.handle(now, event, &mut actions)));
            match decided {
                Ok(()) => actions.drain(..).for_each(|action| reply.push(number, action)),
                Err(panic) => {
                    let text = panic.downcast_ref::<String>().cloned();
                    let text = text.or(panic.downcast_ref::<&str>().map(|s| s.to_string()));
                    reply.words(5, number, &text.unwrap_or_else(|| "panic without a text".into()));
                    actions.clear();
                }
            }
        }
        Ok(reply.frame())
    }
}

fn event(
    r: &Bytes,
    code: u16,
    tail: usize,
    fields: &[String],
    lists: &BTreeMap<u8, Vec<ServerEntry>>,
) -> Result<Event, WireError> {
    let job = || r.u64(6).map(RequestId);
    Ok(match code {
        1 => Event::Ended(Ended {
            id: job()?,
            attempt: r.u16(14)? as u32,
            server: r.server(16)?,
            outcome: r.outcome(22)?,
            took: r.u64(24)?,
            closed: r.u8(32)? != 0,
            used: r.u16(33)?.checked_sub(1).map(|percent| percent as f64 / 100.0),
            true_units: Some(r.u16(35)?).filter(|u| *u > 0).map(f64::from),
            report: report(r, 37, fields)?,
        }),
        2 => Event::Probed { server: r.server(6)?, outcome: r.outcome(12)?, report: report(r, 22, fields)? },
        3 => Event::PeerMessage { from: r.u32(6)?, bytes: r.tail(10, tail, 1)?.to_vec() },
        4 => {
            let kind = match r.u8(7)? {
                0 => ListKind::Delta,
                1 => ListKind::Full,
                2 => ListKind::Cached,
                3 => ListKind::Failed,
                other => return Err(r.invalid("list mode", 7, other as u64)),
            };
            let number = r.u8(6)?;
            let entries = match (kind, lists.get(&number)) {
                (ListKind::Failed, _) => Vec::new(),
                (_, Some(list)) => list.clone(),
                (_, None) => return Err(r.invalid("list number", 6, number as u64)),
            };
            Event::Servers { kind, entries }
        }
        5 => Event::Started { id: job()?, attempt: r.u16(14)? as u32 },
        8 => Event::Counted {
            name: CountName(r.u64(6)?),
            outcome: r.outcome(14)?,
            total: r.f32(16)?,
            took: r.u64(20)?,
        },
        9 => Event::Left { id: job()? },
        10 => Event::Request(Request {
            id: job()?,
            class: r.u8(14)? as usize,
            plan: r.u16(15)? as usize,
            customer: CustomerId(r.u64(17)?),
            patience: r.u64(25)?,
            units: r.f32(33)?,
            spread: r.f32(37)? as u32,
            repeat: r.u8(45)? & 2 != 0,
        }),
        _ => Event::Timer { token: r.u32(6)? },
    })
}

impl Report {
    /// Takes in one value by the name that the settings give it; unknown names are skipped.
    pub fn set(&mut self, name: &str, value: f64) {
        let value = Some(value).filter(|v| v.is_finite() && *v >= 0.0);
        match name {
            "busy_reqs" => self.inflight = value,
            "pending" => self.queue = value,
            "cpu_share" => self.util = value,
            "svc_ms" => self.latency_ms = value,
            "served_ps" => self.served = value,
            "failed_ps" => self.errors = value,
            _ => {}
        }
    }
}

fn report(r: &Bytes, at: usize, fields: &[String]) -> Result<Option<Report>, WireError> {
    let count = r.u8(at)? as usize;
    if count > 4 {
        return Err(r.invalid("count of load values", at, count as u64));
    }
    let mut report = Report::default();
    for (i, field) in fields.iter().take(count).enumerate() {
        report.set(field, r.f32(at + 1 + 4 * i)?);
    }
    Ok((count > 0).then_some(report))
}

fn entries(bytes: &[u8]) -> Result<Vec<ServerEntry>, WireError> {
    let read = |i: usize| {
        let r = Bytes { all: bytes, base: i * ENTRY };
        let state = match r.u8(11)? {
            0 => ServerState::Gone,
            1 => ServerState::Ready,
            2 => ServerState::Draining,
            other => return Err(r.invalid("server state", 11, other as u64)),
        };
        Ok(ServerEntry {
            id: r.server(0)?,
            zone: r.u8(6)? as u32,
            kind: r.u16(7)? as u32,
            cell: r.u16(9)? as u32,
            state,
            size: r.f32(12)?,
            started: r.u64(16)?,
        })
    };
    (0..bytes.len() / ENTRY).map(read).collect()
}

/// The settings document: values by path, with what is missing taken as zero, false or empty.
struct Doc<'a>(&'a Value, &'static str);

impl Doc<'_> {
    fn get<'a, T>(
        &'a self,
        key: &str,
        kind: &str,
        read: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, WireError> {
        match self.0.get(key) {
            None | Some(Value::Null) => Ok(None),
            Some(value) => match read(value) {
                Some(v) => Ok(Some(v)),
                None => Err(WireError::Settings(format!("`{}{key}` is {value}, not {kind}", self.1))),
            },
        }
    }
    fn f64(&self, key: &str) -> Result<f64, WireError> {
        let number = |v: &Value| v.as_f64().filter(|n| n.is_finite() && *n >= 0.0);
        Ok(self.get(key, "a number from 0 up", number)?.unwrap_or(0.0))
    }
    fn u64(&self, key: &str) -> Result<u64, WireError> {
        Ok(self.f64(key)? as u64)
    }
    fn bool(&self, key: &str) -> Result<bool, WireError> {
        Ok(self.get(key, "true or false", Value::as_bool)?.unwrap_or(false))
    }
    fn text(&self, key: &str) -> Result<&str, WireError> {
        Ok(self.get(key, "a text", Value::as_str)?.unwrap_or(""))
    }
    fn list(&self, key: &str) -> Result<&[Value], WireError> {
        Ok(self.get(key, "a list", Value::as_array)?.map_or(&[], |l| l.as_slice()))
    }
    fn part(&self, key: &str, path: &'static str) -> Result<Doc<'_>, WireError> {
        let part = self.get(key, "an object", |v| v.is_object().then_some(v))?;
        Ok(Doc(part.unwrap_or(&Value::Null), path))
    }
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
}

impl Site {
    /// Reads the document.
    pub fn parse(json: &Value) -> Result<Site, WireError> {
        let doc = Doc(json, "");
        let (allowed, domain) = (doc.part("allowed", "allowed.")?, doc.part("domain", "domain.")?);
        let (rules, feedback) = (doc.part("rules", "rules.")?, doc.part("feedback", "feedback.")?);
        let (services, tariffs) = (doc.list("services")?, doc.list("tariffs")?);
        let classes: Result<Vec<_>, _> = services.iter().map(class).collect();
        let plans: Result<Vec<_>, _> = tariffs.iter().map(plan).collect();
        let settings = Settings {
            gateways: doc.u64("balancers")?.max(1) as u32,
            zone: doc.u64("zone")? as u32,
            classes: classes?,
            plans: plans?,
            may_cancel: allowed.bool("cancel")?,
            may_duplicate: allowed.bool("may-duplicate")?,
            max_retry_after: allowed.bool("retry-after")?.then_some(allowed.u64("max-retry-after")?),
            max_attempts: allowed.u64("max-attempts")? as u32,
            counter: domain.bool("shared-counter")?,
            counter_timeout: domain.u64("counter-timeout")?,
            must_subscribe: doc.text("discovery")? == "subscribe",
            must_ask_in: rules.u64("must-ask-in")?,
            cold_share: rules.f64("cold-share")?,
            cold: rules.u64("cold")?,
        };
        if settings.classes.is_empty() {
            return Err(WireError::Settings("`services` names no class".into()));
        }
        let text = |v: &Value| v.as_str().unwrap_or("").to_owned();
        let name = |v: &Value| v.get("name").map(text).unwrap_or_default();
        Ok(Site {
            settings,
            fields: feedback.list("fields")?.iter().map(text).collect(),
            answers_report: feedback.text("how")? == "answers",
            units_top: domain.f64("units-top")?,
            classes: services.iter().map(name).collect(),
            plans: tariffs.iter().map(name).collect(),
            zones: doc.list("localities")?.iter().map(text).collect(),
            kinds: doc.list("machine-types")?.iter().map(text).collect(),
            dial_timeout: allowed.u64("dial-timeout")?,
            conn_idle: allowed.u64("conn-idle")?,
        })
    }
}

fn class(value: &Value) -> Result<Class, WireError> {
    let doc = Doc(value, "services[].");
    let scope = match doc.text("dedup-scope")? {
        "all" => Scope::All,
        "zone" => Scope::Zone,
        _ => Scope::Cell,
    };
    let effect = match doc.text("semantics")? {
        "safe" => Effect::Safe,
        "keyed" => Effect::Keyed(scope, doc.u64("key-ttl")?),
        "unsafe" => Effect::Unsafe,
        other => return Err(WireError::Settings(format!("`services[].semantics` is unknown: `{other}`"))),
    };
    Ok(Class {
        aim: doc.u64("aim")?,
        aim_stretch: doc.f64("aim-stretch")?,
        deadline: doc.u64("hard-limit")?,
        worth: doc.f64("worth")?,
        late_worth: doc.f64("late-worth")?,
        effect,
        stream: doc.bool("stream")?,
    })
}

fn plan(value: &Value) -> Result<Plan, WireError> {
    let doc = Doc(value, "tariffs[].");
    Ok(Plan {
        rate: doc.f64("refill")?,
        burst: doc.f64("burst")?,
        open: doc.u64("concurrency")? as u32,
        price: doc.f64("worth-factor")?,
        extra_worth: doc.f64("extra-worth")?,
        overrun_cost: doc.f64("overrun-cost")?,
        ceiling_rate: doc.f64("ceiling-rate")?,
        ceiling_burst: doc.f64("never-over-depth")?,
        ceiling_slack: doc.f64("cap-slack")?,
    })
}

#[derive(Default)]
struct Reply {
    count: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    fn record(&mut self, code: u16, instance: u32, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION;
        self.records.extend(code.to_le_bytes());
        self.records.extend(instance.to_le_bytes());
        fields.iter().for_each(|field| self.records.extend(*field));
        self.records.resize(end, 0);
        self.count += 1;
    }
    fn words(&mut self, code: u16, instance: u32, text: &str) {
        let (at, len) = ((self.tail.len() as u32).to_le_bytes(), (text.len() as u32).to_le_bytes());
        self.tail.extend(text.as_bytes());
        self.record(code, instance, &[&at, &len]);
    }
    fn push(&mut self, instance: u32, action: Action) {
        let job = |id: RequestId| id.0.to_le_bytes();
        let host = |s: ServerId| s.0.to_le_bytes();
        match action {
            // The wire reads a missing time as "when the client quits"; a time already past stays past.
            Action::Send { id, server, until } => {
                self.record(1, instance, &[&job(id), &host(server)[..6], &until.max(1).to_le_bytes()])
            }
            Action::Withdraw { id, attempt } => {
                self.record(12, instance, &[&job(id), &(attempt as u16).to_le_bytes()])
            }
            Action::Refuse { id, retry_after } => {
                self.record(8, instance, &[&job(id), &retry_after.unwrap_or(0).to_le_bytes()])
            }
            Action::Fail { id } => self.record(6, instance, &[&job(id)]),
            Action::Timer { after, token } => {
                self.record(7, instance, &[&after.to_le_bytes(), &token.to_le_bytes()])
            }
            Action::Count { name, amount, keep } => {
                let amount = (amount as f32).to_le_bytes();
                self.record(9, instance, &[&amount, &keep.to_le_bytes(), &name.0.to_le_bytes()])
            }
            Action::Subscribe => self.record(11, instance, &[&[1]]),
        }
    }
    fn frame(self) -> Vec<u8> {
        let size = (8 + self.records.len() + self.tail.len()) as u32;
        let mut frame = Vec::with_capacity(size as usize);
        frame.extend(self.count.to_le_bytes());
        frame.extend(size.to_le_bytes());
        frame.extend(self.records);
        frame.extend(self.tail);
        frame
    }
}
