//! Translation between the simulator's wire and the module's interface. Nothing is decided here.

use platform_settings::{PlatformSettings, SettingsError};
use policy::api::*;
use policy::policy::Policy;
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
    Settings(#[from] SettingsError),
}

/// Record of a frame, read at fixed places.
struct Record<'a> {
    all: &'a [u8],
    base: usize,
}

impl Record<'_> {
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
    fn host(&self, at: usize) -> Result<HostId, WireError> {
        let b = self.get::<6>(at)?;
        Ok(HostId(u64::from_le_bytes([b[0], b[1], b[2], b[3], b[4], b[5], 0, 0])))
    }
    fn outcome(&self, at: usize) -> Result<Outcome, WireError> {
        Ok(match self.u16(at)? {
            10 => Outcome::Ok,
            20 => Outcome::Error,
            30 => Outcome::Rejected,
            40 => Outcome::Timeout,
            50 => Outcome::ConnectFailed,
            60 => Outcome::ConnectionReset,
            70 => Outcome::Cancelled,
            80 => Outcome::NotSent,
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
pub struct Adapter {
    instances: BTreeMap<u32, Instance>,
    lists: BTreeMap<u8, Vec<HostEntry>>,
}

impl Adapter {
    /// Translates one batch, lets the instances decide, and gives the reply frame.
    pub fn answer(&mut self, frame: &[u8]) -> Result<Vec<u8>, WireError> {
        let head = Record { all: frame, base: 0 };
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
            let record = Record { all: frame, base: HEADER + index * EVENT };
            let code = record.u16(0)?;
            if code == 6 {
                self.lists.insert(record.u8(2)?, entries(record.tail(3, tail, ENTRY)?)?);
                continue;
            }
            let number = record.u32(2)?;
            match code {
                11 => {
                    let json = serde_json::from_slice(record.tail(14, tail, 1)?);
                    let site =
                        PlatformSettings::parse(&json.map_err(|e| SettingsError::NotJson(e.to_string()))?)?;
                    let policy = Policy::new(site.settings, record.u64(6)?);
                    self.instances.insert(number, Instance { policy, fields: site.load_report_fields });
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
    r: &Record,
    code: u16,
    tail: usize,
    fields: &[String],
    lists: &BTreeMap<u8, Vec<HostEntry>>,
) -> Result<Event, WireError> {
    let job = || r.u64(6).map(RequestId);
    Ok(match code {
        1 => Event::AttemptEnded(AttemptEnded {
            id: job()?,
            attempt: r.u16(14)? as u32,
            host: r.host(16)?,
            outcome: r.outcome(22)?,
            elapsed: r.u64(24)?,
            is_request_closed: r.u8(32)? != 0,
            quota_used: r.u16(33)?.checked_sub(1).map(|percent| percent as f64 / 100.0),
            actual_units: Some(r.u16(35)?).filter(|u| *u > 0).map(f64::from),
            report: report(r, 37, fields)?,
        }),
        2 => Event::HealthCheckEnded {
            host: r.host(6)?,
            outcome: r.outcome(12)?,
            report: report(r, 22, fields)?,
        },
        3 => Event::PeerMessage { from: r.u32(6)?, bytes: r.tail(10, tail, 1)?.to_vec() },
        4 => {
            let kind = match r.u8(7)? {
                0 => HostListKind::Delta,
                1 => HostListKind::Full,
                2 => HostListKind::Cached,
                3 => HostListKind::Failed,
                other => return Err(r.invalid("list mode", 7, other as u64)),
            };
            let number = r.u8(6)?;
            let entries = match (kind, lists.get(&number)) {
                (HostListKind::Failed, _) => Vec::new(),
                (_, Some(list)) => list.clone(),
                (_, None) => return Err(r.invalid("list number", 6, number as u64)),
            };
            Event::HostList { kind, entries }
        }
        5 => Event::ResponseStarted { id: job()?, attempt: r.u16(14)? as u32 },
        8 => Event::CounterReplied {
            key: CounterKey(r.u64(6)?),
            outcome: r.outcome(14)?,
            total: r.f32(16)?,
            elapsed: r.u64(20)?,
        },
        9 => Event::ClientDisconnected { id: job()? },
        10 => Event::Request(Request {
            id: job()?,
            class: r.u8(14)? as usize,
            plan: r.u16(15)? as usize,
            customer: CustomerId(r.u64(17)?),
            remaining: r.u64(25)?,
            units: r.f32(33)?,
            set_size: r.f32(37)? as u32,
            first_gateway: r.f32(41)? as u32,
            is_retry: r.u8(45)? & 2 != 0,
            route: Route::default(),
            arrived_at: 0,
        }),
        _ => Event::TimerExpired { token: r.u32(6)? },
    })
}

fn report(r: &Record, at: usize, fields: &[String]) -> Result<Option<LoadReport>, WireError> {
    let count = r.u8(at)? as usize;
    if count > 4 {
        return Err(r.invalid("count of load values", at, count as u64));
    }
    let mut report = LoadReport::default();
    for (i, field) in fields.iter().take(count).enumerate() {
        report.set(field, r.f32(at + 1 + 4 * i)?);
    }
    Ok((count > 0).then_some(report))
}

fn entries(bytes: &[u8]) -> Result<Vec<HostEntry>, WireError> {
    let read = |i: usize| {
        let r = Record { all: bytes, base: i * ENTRY };
        let state = match r.u8(11)? {
            0 => HostState::Gone,
            1 => HostState::Ready,
            2 => HostState::Draining,
            other => return Err(r.invalid("host state", 11, other as u64)),
        };
        Ok(HostEntry {
            id: r.host(0)?,
            zone: r.u8(6)? as u32,
            machine_type: r.u16(7)? as u32,
            cell: r.u16(9)? as u32,
            state,
            size: r.f32(12)?,
            started_at: r.u64(16)?,
            pools: 0,
        })
    };
    (0..bytes.len() / ENTRY).map(read).collect()
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
        let address = |host: HostId| host.0.to_le_bytes();
        match action {
            // The wire reads a missing time as "when the client quits"; a time already past stays past.
            Action::Forward { id, host, deadline: until, .. } => {
                self.record(1, instance, &[&job(id), &address(host)[..6], &until.max(1).to_le_bytes()])
            }
            Action::Cancel { id, attempt } => {
                self.record(12, instance, &[&job(id), &(attempt as u16).to_le_bytes()])
            }
            Action::Reject { id, retry_after, .. } => {
                self.record(8, instance, &[&job(id), &retry_after.unwrap_or(0).to_le_bytes()])
            }
            Action::Fail { id, .. } => self.record(6, instance, &[&job(id)]),
            Action::SetTimer { after, token } => {
                self.record(7, instance, &[&after.to_le_bytes(), &token.to_le_bytes()])
            }
            Action::AddToCounter { key: name, amount, time_to_live: keep } => {
                let amount = (amount as f32).to_le_bytes();
                self.record(9, instance, &[&amount, &keep.to_le_bytes(), &name.0.to_le_bytes()])
            }
            Action::SubscribeToHosts => self.record(11, instance, &[&[1]]),
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
