//! Commands as clients write them, and answers as they read them.

use bytes::{Bytes, BytesMut};
use cluster_model::observation::ClientOutcome;
use cluster_model::requests::{self, RequestSampler, RETRY_BITS};
use cluster_model::scenario::{Idempotency, Site};
use cluster_model::traffic::Arrival;
use cluster_model::MS;
use resp::Frame;
use runtime::Span;

/// Writes commands.
pub(super) struct Caller {
    /// Names of the classes, and whether they may run again at will.
    classes: Vec<(String, bool)>,
    /// Names of the plans.
    plans: Vec<String>,
    draws: RequestSampler,
}

impl Caller {
    pub(super) fn new(site: &Site, draws: RequestSampler) -> Caller {
        let classes = site
            .classes
            .iter()
            .map(|class| (class.name.clone(), class.idempotency == Idempotency::Idempotent));
        let plans = site.plans.iter().map(|plan| plan.name.clone());
        Caller { classes: classes.collect(), plans: plans.collect(), draws }
    }

    /// A class that may run again at will; the first if there is none.
    pub(super) fn safe_class(&self) -> u32 {
        self.classes.iter().position(|(_, safe)| *safe).unwrap_or(0) as u32
    }

    /// The units that a request names.
    pub(super) fn units(&self, id: u64) -> u32 {
        self.draws.estimated_units(id)
    }

    /// The command of a try with this id, for whose answer the client waits so long.
    pub(super) fn command(&self, arrival: &Arrival, id: u64, patience: Span) -> Bytes {
        let (class, safe) = self.classes.get(arrival.class as usize).map_or(("", true), |c| (&c.0, c.1));
        let plan = self.plans.get(arrival.plan as usize).map_or("", |name| name);
        let Arrival { customer, gateway_set_size: spread, first_gateway: first, .. } = arrival;
        let (wait, units) = (patience / MS, self.units(id));
        let mut list = format!("c={class},t={plan},d={wait},units={units},spread={spread},first={first}");
        if id != requests::first_request_id(id) {
            list.push_str(",r=1");
        }
        let name = if safe { "CALL.GET" } else { "CALL.POST" };
        let mut words = vec![name.to_owned(), format!("{customer:016x}"), format!("{id:016x}"), list];
        if !safe {
            // Tries of one thing are alike.
            words.push(format!("order-{}", id >> RETRY_BITS));
        }
        command(&words)
    }
}

/// A command of these words.
pub(super) fn command<T: AsRef<[u8]>>(words: &[T]) -> Bytes {
    let mut text = BytesMut::new();
    resp::encode_array_header(&mut text, words.len());
    words.iter().for_each(|word| resp::encode_bulk(&mut text, word.as_ref()));
    text.freeze()
}

/// What a whole answer to the request with this id means.
pub(super) fn read(answer: &Frame, id: u64) -> ClientOutcome {
    let served = |value: &Bytes| ClientOutcome::Served(*value == requests::response_value(id).as_bytes());
    match answer {
        Frame::Bulk(value) => served(value),
        Frame::Array(items) => match items.first() {
            Some(Frame::Bulk(value)) => served(value),
            _ => ClientOutcome::Failed,
        },
        Frame::Error(text) => busy(text).map_or(ClientOutcome::Failed, ClientOutcome::Rejected),
        _ => ClientOutcome::Failed,
    }
}

/// The advice of a refusal, if there is any in it; `None`: this is no refusal.
fn busy(text: &[u8]) -> Option<Option<Span>> {
    let mut words = std::str::from_utf8(text).ok()?.split(' ');
    if words.next() != Some("BUSY") {
        return None;
    }
    let advice = words.next().and_then(|word| word.parse::<u64>().ok());
    Some(advice.map(|ms| ms.saturating_mul(MS)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use cluster_model::scenario::Traffic;

    #[test]
    fn answers_are_read_as_the_protocol_says() {
        let text = |text: &str| Bytes::copy_from_slice(text.as_bytes());
        let value = Frame::Bulk(text(&requests::response_value(0x20)));
        for (answer, got) in [
            (value.clone(), ClientOutcome::Served(true)),
            (Frame::Array(vec![value.clone(), Frame::Null]), ClientOutcome::Served(true)),
            (Frame::Bulk(text(&requests::response_value(0x21))), ClientOutcome::Served(false)),
            (Frame::Array(vec![Frame::Null, value]), ClientOutcome::Failed),
            (Frame::Array(vec![]), ClientOutcome::Failed),
            (Frame::Null, ClientOutcome::Failed),
            (Frame::Simple(text("OK")), ClientOutcome::Failed),
            (Frame::Error(text("BUSY")), ClientOutcome::Rejected(None)),
            (Frame::Error(text("BUSY 70")), ClientOutcome::Rejected(Some(70 * MS))),
            (Frame::Error(text("BUSY later")), ClientOutcome::Rejected(None)),
            (Frame::Error(text("BUSYBODY")), ClientOutcome::Failed),
            (Frame::Error(text("ERR failed")), ClientOutcome::Failed),
        ] {
            assert_eq!(read(&answer, 0x20), got, "{answer:?}");
        }
    }

    #[test]
    fn commands_are_written_as_the_protocol_says() {
        let caller = Caller::new(&Site::default(), RequestSampler::new(1, &Traffic::default()));
        let mut arrival = Arrival {
            at: 0,
            operation: 2,
            customer: 0xb4d6_5521,
            plan: 1,
            class: 0,
            gateway_set_size: 3,
            first_gateway: 1,
            gateway: 2,
        };
        let words = |arrival: &Arrival, id| {
            let mut text = BytesMut::from(&caller.command(arrival, id, 480 * MS + 1)[..]);
            let Ok(Some(Frame::Array(items))) = resp::decode(&mut text) else { panic!("no command") };
            let word = |item: &Frame| match item {
                Frame::Bulk(word) => String::from_utf8(word.to_vec()).unwrap(),
                other => panic!("{other:?}"),
            };
            items.iter().map(word).collect::<Vec<_>>()
        };
        let units = caller.units(0x20);
        let list = format!("c=price-read,t=premium,d=480,units={units},spread=3,first=1");
        let wanted = ["CALL.GET", "00000000b4d65521", "0000000000000020", &list];
        assert_eq!(words(&arrival, 0x20), wanted);
        arrival.class = 1;
        let list = format!("c=unit-order,t=premium,d=480,units={units},spread=3,first=1,r=1");
        let wanted = ["CALL.POST", "00000000b4d65521", "0000000000000021", &list, "order-2"];
        assert_eq!(words(&arrival, 0x21), wanted);
    }
}
