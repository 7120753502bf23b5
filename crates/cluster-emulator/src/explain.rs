//! The way of one request through a site, in words: all that was seen of it on any wire.

use cluster_model::observation::{ClientOutcome, HostOutcome, Observation, ObservationKind};
use cluster_model::scenario::Site;
use cluster_model::{Time, MS};

/// The request that a sighting is of.
fn request(what: &ObservationKind) -> Option<u64> {
    match what {
        ObservationKind::RequestSent { request, .. }
        | ObservationKind::RequestEnded { request, .. }
        | ObservationKind::ClientDisconnected { request }
        | ObservationKind::AttemptReceived { request, .. }
        | ObservationKind::AttemptEnded { request, .. }
        | ObservationKind::AttemptClosed { request, .. } => Some(*request),
        _ => None,
    }
}

/// Collects what is seen of one request, and of all tries of the thing that it is a try of.
#[derive(Debug)]
pub(crate) struct Explain {
    first_try: u64,
    /// Other tries of the same thing.
    tries: Vec<u64>,
    start: Time,
    site: Site,
    lines: Vec<String>,
}

impl Explain {
    /// Of this request; times are told from `start` on.
    pub fn new(request: u64, site: &Site, start: Time) -> Explain {
        Explain { first_try: request, tries: vec![request], start, site: site.clone(), lines: Vec::new() }
    }

    /// Takes in a sighting.
    pub fn see(&mut self, seen: &Observation) {
        let Some(id) = request(&seen.kind) else { return };
        if let ObservationKind::RequestSent { first_request: first_try, .. } = seen.kind {
            if self.tries.contains(&id) {
                self.first_try = first_try;
            } else if first_try == self.first_try {
                self.tries.push(id);
            }
        }
        if self.tries.contains(&id) {
            let at = seen.at.saturating_sub(self.start) as f64 / 1e9;
            self.lines.push(format!("{at:>10.4} s  {id:016x}  {}", self.words(&seen.kind)));
        }
    }

    /// A line for each thing seen, in the order of time.
    pub fn lines(self) -> Vec<String> {
        self.lines
    }

    fn words(&self, what: &ObservationKind) -> String {
        match what {
            ObservationKind::RequestSent {
                gateway, customer, class, plan, units, timeout: patience, ..
            } => {
                let class = self.site.classes.get(*class as usize).map_or("?", |class| &class.name);
                let plan = self.site.plans.get(*plan as usize).map_or("?", |plan| &plan.name);
                format!(
                    "asked at gateway {}: {class}, plan {plan}, customer {customer:x}, {units} units, waits {} ms",
                    gateway + 1,
                    patience / MS
                )
            }
            ObservationKind::RequestEnded { outcome: got, .. } => {
                format!("its client got {}", got_words(got))
            }
            ObservationKind::ClientDisconnected { .. } => "its client left".into(),
            ObservationKind::AttemptReceived { host, gateway, expected_work: work, .. } => {
                let work = *work as f64 / MS as f64;
                format!("came whole to host {} from gateway {}: {work:.1} ms of work", host + 1, gateway + 1)
            }
            ObservationKind::AttemptEnded { host, outcome: dealt, .. } => {
                format!("host {} is through: {}", host + 1, dealt_words(*dealt))
            }
            ObservationKind::AttemptClosed { host, .. } => format!("out no more at host {}", host + 1),
            _ => String::new(),
        }
    }
}

fn got_words(got: &ClientOutcome) -> String {
    match got {
        ClientOutcome::Served(true) => "its value".into(),
        ClientOutcome::Served(false) => "a value that no host made for it".into(),
        ClientOutcome::Rejected(Some(after)) => format!("a refusal, come again in {} ms", after / MS),
        ClientOutcome::Rejected(None) => "a refusal".into(),
        ClientOutcome::Failed => "a failure".into(),
        ClientOutcome::ConnectionClosed => "a broken connection".into(),
        ClientOutcome::NoResponse => "nothing in its time".into(),
    }
}

fn dealt_words(dealt: HostOutcome) -> &'static str {
    match dealt {
        HostOutcome::Served => "served",
        HostOutcome::Failed => "an error, or a spoilt answer",
        HostOutcome::Rejected => "turned away, never ran",
        HostOutcome::Dropped => "its connection ended before it ran",
        HostOutcome::Undelivered => "it ran, and nobody got the answer",
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_tries_of_a_thing_are_told_and_nothing_else() {
        let asked = |request, first_try| ObservationKind::RequestSent {
            request,
            first_request: first_try,
            gateway: 1,
            customer: 255,
            class: 0,
            plan: 0,
            units: 2.0,
            timeout: 480 * MS,
        };
        let seen = [
            asked(7, 7),
            asked(8, 8),
            ObservationKind::AttemptReceived {
                request: 7,
                host: 2,
                gateway: 1,
                first_byte: 0,
                expected_work: 3 * MS,
            },
            ObservationKind::RequestEnded {
                request: 7,
                gateway: 1,
                outcome: ClientOutcome::Rejected(Some(800 * MS)),
            },
            asked(9, 7),
            ObservationKind::ClientDisconnected { request: 9 },
        ];
        let mut explain = Explain::new(7, &Site::default(), 1_000 * MS);
        (0..).zip(seen).for_each(|(n, what)| explain.see(&Observation { at: (1_000 + n) * MS, kind: what }));
        let lines = explain.lines();
        assert_eq!(lines.len(), 5, "{lines:#?}");
        assert_eq!(
            lines[1],
            "    0.0020 s  0000000000000007  came whole to host 3 from gateway 2: 3.0 ms of work"
        );
        assert_eq!(
            lines[2],
            "    0.0030 s  0000000000000007  its client got a refusal, come again in 800 ms"
        );
        assert!(lines[4].ends_with("0000000000000009  its client left"), "{lines:#?}");
    }
}
