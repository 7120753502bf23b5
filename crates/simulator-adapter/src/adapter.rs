//! Processes a frame: starts and stops instances, and reports events to them.

use crate::codes::event as codes;
use crate::error::WireError;
use crate::events::{host_entries, EventContext};
use crate::record::Record;
use crate::reply::Reply;
use platform_settings::{PlatformSettings, SettingsError};
use policy::api::{Action, Event, HostEntry, Time};
use policy::policy::Policy;
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Length of a frame's header, in bytes: time, length of the frame, number of records.
pub const HEADER_BYTES: usize = 16;
/// Length of an event record, in bytes.
const EVENT_BYTES: usize = 56;

/// One decision module that this process hosts.
struct Instance {
    policy: Policy,
    load_report_fields: Vec<String>,
}

/// Hosts the decision modules of one process.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<u32, Instance>,
    host_lists: BTreeMap<u8, Vec<HostEntry>>,
    /// The actions of the current event; kept between events to reuse the allocation.
    actions: Vec<Action>,
}

impl Adapter {
    /// Reports the events of a frame to their instances and returns the reply frame with the actions.
    ///
    /// # Errors
    /// Returns the defect of the frame with its position, or the reason why the settings of an instance are invalid.
    pub fn answer(&mut self, frame: &[u8]) -> Result<Vec<u8>, WireError> {
        let header = Record::new(frame, 0);
        let now = header.u64(0)?;
        let size = header.u32(8)? as usize;
        let count = header.u32(12)? as usize;
        if size != frame.len() {
            return Err(header.invalid("frame length", 8, size as u64));
        }
        let tail = HEADER_BYTES.saturating_add(count.saturating_mul(EVENT_BYTES));
        if tail > size {
            return Err(WireError::Truncated { part: "event records", at: size });
        }
        let mut reply = Reply::default();
        for index in 0..count {
            let record = Record::with_tail(frame, HEADER_BYTES + index * EVENT_BYTES, tail);
            self.process_record(now, &record, &mut reply)?;
        }
        Ok(reply.into_frame())
    }

    fn process_record(&mut self, now: Time, record: &Record, reply: &mut Reply) -> Result<(), WireError> {
        let code = record.u16(0)?;
        if code == codes::SNAPSHOT_ROWS {
            self.host_lists.insert(record.u8(2)?, host_entries(record)?);
            return Ok(());
        }
        let number = record.u32(2)?;
        match code {
            codes::ATTACH => {
                self.instances.insert(number, start_instance(record)?);
            }
            codes::HALT => {
                self.instances.remove(&number);
            }
            codes::ATTEMPT_END..=codes::FIRST | codes::RECKONED..=codes::INCOMING | codes::RING => {
                self.report_event(now, number, record, code, reply)?;
            }
            other => return Err(record.invalid("event code", 0, other.into())),
        }
        Ok(())
    }

    fn report_event(
        &mut self,
        now: Time,
        number: u32,
        record: &Record,
        code: u16,
        reply: &mut Reply,
    ) -> Result<(), WireError> {
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(WireError::UnknownInstance { code, at: record.start(), instance: number });
        };
        let context =
            EventContext { load_report_fields: &instance.load_report_fields, host_lists: &self.host_lists };
        let Some(event) = context.event(record, code)? else {
            return Err(record.invalid("event code", 0, code.into()));
        };
        match instance.handle(now, event, &mut self.actions) {
            Ok(()) => self.actions.drain(..).for_each(|action| reply.push(number, action)),
            Err(message) => {
                self.actions.clear();
                reply.push_panic(number, &message);
            }
        }
        Ok(())
    }
}

impl Instance {
    /// Reports an event to the decision module. The error is the message of a panic.
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) -> Result<(), String> {
        let result = catch_unwind(AssertUnwindSafe(|| self.policy.handle(now, event, actions)));
        result.map_err(|panic| panic_message(panic.as_ref()))
    }
}

/// Starts the instance of a [`codes::ATTACH`] record.
fn start_instance(record: &Record) -> Result<Instance, WireError> {
    let json = serde_json::from_slice(record.variable_part(14, 1)?);
    let json = json.map_err(|error| SettingsError::NotJson(error.to_string()))?;
    let platform = PlatformSettings::parse(&json)?;
    let policy = Policy::new(platform.settings, record.u64(6)?);
    Ok(Instance { policy, load_report_fields: platform.load_report_fields })
}

fn panic_message(panic: &(dyn Any + Send)) -> String {
    if let Some(text) = panic.downcast_ref::<String>() {
        text.clone()
    } else if let Some(text) = panic.downcast_ref::<&str>() {
        (*text).to_string()
    } else {
        "panic without a message".to_string()
    }
}
