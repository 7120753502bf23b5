//! Builds a run by hand: observations at milliseconds from the first request.

use cluster_model::observation::{ClientOutcome, HostOutcome, Lifecycle, Observation, ObservationKind};
use cluster_model::requests;
use cluster_model::scenario::{Site, Traffic};
use cluster_model::{Time, MS, SECOND};
use invariants::{InvariantChecker, Rule, Verdict};

/// Time of the first request.
pub const START: Time = 1_700_000_000 * SECOND;
pub const READ: u32 = 0;
pub const ORDER: u32 = 1;
pub const STANDARD: u32 = 0;
pub const PREMIUM: u32 = 1;
pub const SERVED: ClientOutcome = ClientOutcome::Served(true);

/// Returns the id of an operation's first request.
pub fn first(operation: u64) -> u64 {
    requests::request_id(operation, 0)
}

/// A request, by default a read of one unit by a premium customer.
#[derive(Clone, Copy, Debug)]
pub struct RequestSpec {
    pub request: u64,
    pub gateway: u32,
    pub customer: u64,
    pub class: u32,
    pub plan: u32,
    pub units: f64,
}

pub fn read(request: u64) -> RequestSpec {
    RequestSpec { request, gateway: 0, customer: 7, class: READ, plan: PREMIUM, units: 1.0 }
}

pub fn order(request: u64) -> RequestSpec {
    RequestSpec { class: ORDER, ..read(request) }
}

#[derive(Clone, Debug, Default)]
pub struct RunBuilder {
    seen: Vec<Observation>,
}

impl RunBuilder {
    /// Adds an observation at `span` nanoseconds after the first request.
    pub fn observe_at(&mut self, span: u64, what: ObservationKind) -> &mut RunBuilder {
        self.seen.push(Observation { at: START + span, kind: what });
        self
    }

    pub fn observe(&mut self, ms: u64, what: ObservationKind) -> &mut RunBuilder {
        self.observe_at(ms * MS, what)
    }

    /// Adds a request whose client has a timeout of 1000 ms.
    pub fn ask(&mut self, ms: u64, ask: RequestSpec) -> &mut RunBuilder {
        let RequestSpec { request, gateway, customer, class, plan, units } = ask;
        let first_try = requests::first_request_id(request);
        let timeout = SECOND;
        self.observe(
            ms,
            ObservationKind::RequestSent {
                request,
                first_request: first_try,
                gateway,
                customer,
                class,
                plan,
                units,
                timeout,
            },
        )
    }

    pub fn answer(&mut self, ms: u64, request: u64, got: ClientOutcome) -> &mut RunBuilder {
        self.observe(ms, ObservationKind::RequestEnded { request, gateway: 0, outcome: got })
    }

    /// Adds a command from gateway 0, sent and received within the same millisecond.
    pub fn receive(&mut self, ms: u64, request: u64, host: u32) -> &mut RunBuilder {
        self.receive_sent(ms, ms, request, host)
    }

    pub fn receive_sent(&mut self, sent_ms: u64, ms: u64, request: u64, host: u32) -> &mut RunBuilder {
        let first_byte = START + sent_ms * MS;
        self.observe(
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

    pub fn end(&mut self, ms: u64, request: u64, host: u32, outcome: HostOutcome) -> &mut RunBuilder {
        self.observe(ms, ObservationKind::AttemptEnded { request, host, gateway: 0, outcome, units: None })
    }

    pub fn close_attempt(&mut self, ms: u64, request: u64, host: u32) -> &mut RunBuilder {
        self.observe(ms, ObservationKind::AttemptClosed { request, host, gateway: 0 })
    }

    /// Adds the end of a command at its host, with its response written or its connection closed.
    pub fn done(&mut self, ms: u64, request: u64, host: u32, outcome: HostOutcome) -> &mut RunBuilder {
        self.end(ms, request, host, outcome).close_attempt(ms, request, host)
    }

    /// Adds the end of a served command whose response reports the actual units.
    pub fn done_for(&mut self, ms: u64, request: u64, host: u32, units: f64) -> &mut RunBuilder {
        let outcome = HostOutcome::Served;
        self.observe(
            ms,
            ObservationKind::AttemptEnded { request, host, gateway: 0, outcome, units: Some(units) },
        );
        self.close_attempt(ms, request, host)
    }

    /// Adds a request that is forwarded to host 0 and served within 100 ms.
    pub fn serve(&mut self, ms: u64, ask: RequestSpec) -> &mut RunBuilder {
        self.serve_after(ms, 100, ask)
    }

    pub fn serve_after(&mut self, ms: u64, after: u64, ask: RequestSpec) -> &mut RunBuilder {
        let request = ask.request;
        self.ask(ms, ask).receive(ms + 2, request, 0).done(ms + after - 1, request, 0, HostOutcome::Served);
        self.answer(ms + after, request, SERVED)
    }

    /// Adds a request that is rejected immediately.
    pub fn refuse(&mut self, ms: u64, ask: RequestSpec) -> &mut RunBuilder {
        self.ask(ms, ask).answer(ms + 1, ask.request, ClientOutcome::Rejected(None))
    }

    pub fn notify_gateway(&mut self, ms: u64, gateway: u32, host: u32, state: Lifecycle) -> &mut RunBuilder {
        self.observe(ms, ObservationKind::GatewayNotified { gateway, host, state, started: 0 })
    }

    /// Adds a notification of a gateway's agent.
    pub fn notify_agent(&mut self, ms: u64, gateway: u32, host: u32, state: Lifecycle) -> &mut RunBuilder {
        self.observe(ms, ObservationKind::AgentNotified { gateway, host, state, started: 0 })
    }

    /// Returns all observations in chronological order.
    pub fn observations(&self) -> Vec<Observation> {
        let mut seen = self.seen.clone();
        seen.sort_by_key(|seen| seen.at);
        seen
    }

    /// Returns the checker after all observations.
    pub fn checker(&self, site: &Site) -> InvariantChecker {
        let mut checker = InvariantChecker::new(site, &Traffic::default(), START);
        self.observations().iter().for_each(|seen| checker.observe(seen));
        checker
    }

    /// Returns the verdict three seconds after the last observation.
    pub fn verdict(&self, site: &Site) -> Verdict {
        let last = self.seen.iter().map(|seen| seen.at).max().unwrap_or(START);
        self.checker(site).finish(last + 3 * SECOND)
    }

    /// Returns the rules violated at the default site, in chronological order.
    pub fn violated_rules(&self) -> Vec<Rule> {
        self.violated_rules_at(&Site::default())
    }

    pub fn violated_rules_at(&self, site: &Site) -> Vec<Rule> {
        self.verdict(site).violations.iter().map(|violation| violation.rule).collect()
    }
}
