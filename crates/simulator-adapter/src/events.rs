//! Translates event records into events of the decision module.

use crate::codes::event as codes;
use crate::error::WireError;
use crate::record::Record;
use policy::api::{
    AttemptEnded, CounterKey, CustomerId, Event, HostEntry, HostListKind, HostState, LoadReport, Request,
    RequestId, Route,
};
use std::collections::BTreeMap;

/// Length of an entry of an endpoint list, in bytes.
const HOST_ENTRY_BYTES: usize = 24;
/// Position of the request identifier in all records that refer to a request.
const REQUEST_ID: usize = 6;
/// Maximum number of values in a load report.
const MAX_REPORT_VALUES: usize = 4;
/// Flag of a request that is a retry.
const RETRY_FLAG: u8 = 2;

/// The state on which the translation of events depends.
pub(crate) struct EventContext<'a> {
    /// Names of the values in a load report, in order.
    pub load_report_fields: &'a [String],
    /// The endpoint lists that events refer to, by number.
    pub host_lists: &'a BTreeMap<u8, Vec<HostEntry>>,
}

impl EventContext<'_> {
    /// Translates a record into an event; `None` if its code is not that of an event for an instance.
    pub fn event(&self, record: &Record, code: u16) -> Result<Option<Event>, WireError> {
        let id = || record.u64(REQUEST_ID).map(RequestId);
        Ok(Some(match code {
            codes::ATTEMPT_END => Event::AttemptEnded(self.attempt_ended(record)?),
            codes::STATUS_BACK => Event::HealthCheckEnded {
                host: record.host(6)?,
                outcome: record.outcome(12)?,
                report: self.load_report(record, 22)?,
            },
            codes::PEER_DATA => {
                Event::PeerMessage { from: record.u32(6)?, bytes: record.variable_part(10, 1)?.to_vec() }
            }
            codes::FLEET => self.host_list_event(record)?,
            codes::FIRST => Event::ResponseStarted { id: id()?, attempt: record.u16(14)?.into() },
            codes::RECKONED => Event::CounterReplied {
                key: CounterKey(record.u64(6)?),
                outcome: record.outcome(14)?,
                total: record.f32(16)?,
                elapsed: record.u64(20)?,
            },
            codes::ABANDONED => Event::ClientDisconnected { id: id()? },
            codes::INCOMING => Event::Request(request(record)?),
            codes::RING => Event::TimerExpired { token: record.u32(6)? },
            _ => return Ok(None),
        }))
    }

    fn attempt_ended(&self, record: &Record) -> Result<AttemptEnded, WireError> {
        // The percentage is incremented by one on the wire, so that zero means that there is none; zero units mean that
        // the number is not known.
        let quota_percent = record.u16(33)?.checked_sub(1);
        let actual_units = Some(record.u16(35)?).filter(|units| *units > 0);
        Ok(AttemptEnded {
            id: RequestId(record.u64(REQUEST_ID)?),
            attempt: record.u16(14)?.into(),
            host: record.host(16)?,
            outcome: record.outcome(22)?,
            elapsed: record.u64(24)?,
            is_request_closed: record.u8(32)? != 0,
            quota_used: quota_percent.map(|percent| f64::from(percent) / 100.0),
            actual_units: actual_units.map(f64::from),
            report: self.load_report(record, 37)?,
        })
    }

    fn host_list_event(&self, record: &Record) -> Result<Event, WireError> {
        let kind = match record.u8(7)? {
            0 => HostListKind::Delta,
            1 => HostListKind::Full,
            2 => HostListKind::Cached,
            3 => HostListKind::Failed,
            other => return Err(record.invalid("list mode", 7, other.into())),
        };
        let number = record.u8(6)?;
        let entries = match (kind, self.host_lists.get(&number)) {
            (HostListKind::Failed, _) => Vec::new(),
            (_, Some(entries)) => entries.clone(),
            (_, None) => return Err(record.invalid("list number", 6, number.into())),
        };
        Ok(Event::HostList { kind, entries })
    }

    /// Reads a load report: the number of values, then the values.
    fn load_report(&self, record: &Record, at: usize) -> Result<Option<LoadReport>, WireError> {
        let count = usize::from(record.u8(at)?);
        if count > MAX_REPORT_VALUES {
            return Err(record.invalid("number of load values", at, count as u64));
        }
        let mut report = LoadReport::default();
        for (index, field) in self.load_report_fields.iter().take(count).enumerate() {
            report.set(field, record.f32(at + 1 + 4 * index)?);
        }
        Ok((count > 0).then_some(report))
    }
}

fn request(record: &Record) -> Result<Request, WireError> {
    Ok(Request {
        id: RequestId(record.u64(REQUEST_ID)?),
        class: record.u8(14)?.into(),
        plan: record.u16(15)?.into(),
        customer: CustomerId(record.u64(17)?),
        remaining: record.u64(25)?,
        units: record.f32(33)?,
        set_size: record.f32(37)? as u32,
        first_gateway: record.f32(41)? as u32,
        is_retry: record.u8(45)? & RETRY_FLAG != 0,
        route: Route::default(),
        arrived_at: 0,
    })
}

/// Reads the entries of an endpoint list from a [`codes::SNAPSHOT_ROWS`] record.
pub(crate) fn host_entries(record: &Record) -> Result<Vec<HostEntry>, WireError> {
    let bytes = record.variable_part(3, HOST_ENTRY_BYTES)?;
    let count = bytes.len() / HOST_ENTRY_BYTES;
    (0..count).map(|index| host_entry(&Record::new(bytes, index * HOST_ENTRY_BYTES))).collect()
}

fn host_entry(record: &Record) -> Result<HostEntry, WireError> {
    let state = match record.u8(11)? {
        0 => HostState::Gone,
        1 => HostState::Ready,
        2 => HostState::Draining,
        other => return Err(record.invalid("host state", 11, other.into())),
    };
    Ok(HostEntry {
        id: record.host(0)?,
        zone: record.u8(6)?.into(),
        machine_type: record.u16(7)?.into(),
        cell: record.u16(9)?.into(),
        state,
        size: record.f32(12)?,
        started_at: record.u64(16)?,
        pools: 0,
    })
}
