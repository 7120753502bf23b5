//! A day written by hand: sightings at milliseconds from the first request.

use cluster_model::observation::{ClientOutcome, HostOutcome, Lifecycle, Observation, ObservationKind};
use cluster_model::requests;
use cluster_model::scenario::{Site, Traffic};
use cluster_model::{Time, MS, SECOND};
use invariants::{InvariantChecker, Rule, Verdict};

/// When the first request is due.
pub const START: Time = 1_700_000_000 * SECOND;
pub const READ: u32 = 0;
pub const ORDER: u32 = 1;
pub const STANDARD: u32 = 0;
pub const PREMIUM: u32 = 1;
pub const SERVED: ClientOutcome = ClientOutcome::Served(true);

/// The id of the first try of a thing.
pub fn first(thing: u64) -> u64 {
    requests::request_id(thing, 0)
}

/// A request, by default a read of one unit by a premium customer.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    pub request: u64,
    pub gateway: u32,
    pub customer: u64,
    pub class: u32,
    pub plan: u32,
    pub units: f64,
}

pub fn read(request: u64) -> Ask {
    Ask { request, gateway: 0, customer: 7, class: READ, plan: PREMIUM, units: 1.0 }
}

pub fn order(request: u64) -> Ask {
    Ask { class: ORDER, ..read(request) }
}

#[derive(Clone, Debug, Default)]
pub struct Day {
    seen: Vec<Observation>,
}

impl Day {
    /// Something seen so many nanoseconds after the first request.
    pub fn see_at(&mut self, span: u64, what: ObservationKind) -> &mut Day {
        self.seen.push(Observation { at: START + span, kind: what });
        self
    }

    pub fn see(&mut self, ms: u64, what: ObservationKind) -> &mut Day {
        self.see_at(ms * MS, what)
    }

    /// Its client waits for 1000 ms.
    pub fn ask(&mut self, ms: u64, ask: Ask) -> &mut Day {
        let Ask { request, gateway, customer, class, plan, units } = ask;
        let first_try = requests::first_request_id(request);
        let patience = SECOND;
        self.see(
            ms,
            ObservationKind::RequestSent {
                request,
                first_request: first_try,
                gateway,
                customer,
                class,
                plan,
                units,
                timeout: patience,
            },
        )
    }

    pub fn answer(&mut self, ms: u64, request: u64, got: ClientOutcome) -> &mut Day {
        self.see(ms, ObservationKind::RequestEnded { request, gateway: 0, outcome: got })
    }

    /// A command from gateway 0, sent and come within the millisecond.
    pub fn receive(&mut self, ms: u64, request: u64, host: u32) -> &mut Day {
        self.receive_sent(ms, ms, request, host)
    }

    pub fn receive_sent(&mut self, sent_ms: u64, ms: u64, request: u64, host: u32) -> &mut Day {
        let first_byte = START + sent_ms * MS;
        self.see(
            ms,
            ObservationKind::AttemptReceived {
                request,
                host,
                gateway: 0,
                first_byte,
                expected_work: 50 * MS,
            },
        )
    }

    pub fn end(&mut self, ms: u64, request: u64, host: u32, dealt: HostOutcome) -> &mut Day {
        self.see(ms, ObservationKind::AttemptEnded { request, host, gateway: 0, outcome: dealt, units: None })
    }

    pub fn out(&mut self, ms: u64, request: u64, host: u32) -> &mut Day {
        self.see(ms, ObservationKind::AttemptClosed { request, host, gateway: 0 })
    }

    /// A host has dealt with a command, and its answer is written or its connection has ended.
    pub fn done(&mut self, ms: u64, request: u64, host: u32, dealt: HostOutcome) -> &mut Day {
        self.end(ms, request, host, dealt).out(ms, request, host)
    }

    /// The true units come with the good answer.
    pub fn done_for(&mut self, ms: u64, request: u64, host: u32, units: f64) -> &mut Day {
        let dealt = HostOutcome::Served;
        self.see(
            ms,
            ObservationKind::AttemptEnded { request, host, gateway: 0, outcome: dealt, units: Some(units) },
        );
        self.out(ms, request, host)
    }

    /// Asked, sent to host 0 and served, all in 100 ms.
    pub fn serve(&mut self, ms: u64, ask: Ask) -> &mut Day {
        self.serve_after(ms, 100, ask)
    }

    pub fn serve_after(&mut self, ms: u64, after: u64, ask: Ask) -> &mut Day {
        let request = ask.request;
        self.ask(ms, ask).receive(ms + 2, request, 0).done(ms + after - 1, request, 0, HostOutcome::Served);
        self.answer(ms + after, request, SERVED)
    }

    /// Asked and refused at once.
    pub fn refuse(&mut self, ms: u64, ask: Ask) -> &mut Day {
        self.ask(ms, ask).answer(ms + 1, ask.request, ClientOutcome::Rejected(None))
    }

    pub fn tell(&mut self, ms: u64, gateway: u32, host: u32, state: Lifecycle) -> &mut Day {
        self.see(ms, ObservationKind::GatewayNotified { gateway, host, state, started: 0 })
    }

    /// The agent of a gateway hears it.
    pub fn hear(&mut self, ms: u64, gateway: u32, host: u32, state: Lifecycle) -> &mut Day {
        self.see(ms, ObservationKind::AgentNotified { gateway, host, state, started: 0 })
    }

    /// All that was seen, in the order of time.
    pub fn sightings(&self) -> Vec<Observation> {
        let mut seen = self.seen.clone();
        seen.sort_by_key(|seen| seen.at);
        seen
    }

    /// The judge after all that was seen.
    pub fn judge(&self, site: &Site) -> InvariantChecker {
        let mut judge = InvariantChecker::new(site, &Traffic::default(), START);
        self.sightings().iter().for_each(|seen| judge.observe(seen));
        judge
    }

    /// The verdict three seconds after the last sighting.
    pub fn verdict(&self, site: &Site) -> Verdict {
        let last = self.seen.iter().map(|seen| seen.at).max().unwrap_or(START);
        self.judge(site).finish(last + 3 * SECOND)
    }

    /// Rules broken at the default site, in the order of time.
    pub fn broken(&self) -> Vec<Rule> {
        self.broken_at(&Site::default())
    }

    pub fn broken_at(&self, site: &Site) -> Vec<Rule> {
        self.verdict(site).violations.iter().map(|breach| breach.rule).collect()
    }
}
