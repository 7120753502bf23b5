//! The interface of the decision module: what a gateway tells it and what it answers. Plain data only.
//! Times and spans are nanoseconds of the gateway's clock.

/// A moment on the gateway's clock, in nanoseconds.
pub type Time = u64;
/// A span of time, in nanoseconds.
pub type Span = u64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident),*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);
    )*};
}
ids!(
    /// One try of a client.
    RequestId,
    /// One machine of the back end.
    HostId,
    /// A customer, whose quota holds over all gateways together.
    CustomerId,
    /// The name of a number kept by the counter service.
    CountName
);

/// What a class allows once an attempt may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated and refused at will.
    #[default]
    Safe,
    /// Repeats are dropped by the hosts of one scope while they remember the key.
    Keyed(Scope, Span),
    /// Never again once it may have run.
    Unsafe,
}

/// Which hosts drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Answers within this span earn the full worth.
    pub aim: Span,
    /// How much the aim grows with a request's own work, as a multiple of it.
    pub aim_stretch: f64,
    /// Total patience of a client.
    pub deadline: Span,
    /// Worth of a request, before units and plan.
    pub worth: f64,
    /// Share of the worth that a late answer still earns.
    pub late_worth: f64,
    /// Whether it may be repeated.
    pub effect: Effect,
    /// The answer is a stream.
    pub stream: bool,
}

/// A plan; its quota holds for each customer over all gateways. A zero means: no such limit.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Units a second.
    pub rate: f64,
    /// Units the store holds.
    pub burst: f64,
    /// Attempts out at once.
    pub open: u32,
    /// Factor on the worth.
    pub price: f64,
    /// Share of the worth earned beyond the quota.
    pub extra_worth: f64,
    /// Share of the worth that sending beyond the quota costs.
    pub overrun_cost: f64,
    /// Units a second of the hard ceiling.
    pub ceiling_rate: f64,
    /// Units the ceiling's store holds.
    pub ceiling_burst: f64,
    /// Units that store may go below zero.
    pub ceiling_slack: f64,
}

/// What the gateway is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Gateways in all.
    pub gateways: u32,
    /// This gateway's number among them, from 0.
    pub me: u32,
    /// This gateway's zone.
    pub zone: u32,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans of customers.
    pub plans: Vec<Plan>,
    /// Attempts may be withdrawn.
    pub may_cancel: bool,
    /// Two attempts of one request may be out together.
    pub may_duplicate: bool,
    /// Refusals may carry advice when to come back; the longest advice heeded.
    pub max_retry_after: Option<Span>,
    /// Attempts a request may have.
    pub max_attempts: u32,
    /// The counter service may be used.
    pub counter: bool,
    /// A call to it is given up after this.
    pub counter_timeout: Span,
    /// The host list must be subscribed to.
    pub must_subscribe: bool,
    /// Without news or a question for this long, the list counts as told.
    pub must_ask_in: Span,
    /// A fresh host starts at this share of its capacity or above.
    pub cold_share: f64,
    /// A fresh host is warm after this.
    pub cold: Span,
    /// Bytes that customers known may take, so that memory is bounded; zero: no bound.
    pub customer_bytes: u64,
}

/// State of a host in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HostState {
    /// Takes work.
    #[default]
    Ready,
    /// Finishing its work.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the host list.
#[derive(Clone, Debug, Default)]
pub struct HostEntry {
    /// The host.
    pub id: HostId,
    /// Its zone.
    pub zone: u32,
    /// Its kind of machine.
    pub kind: u32,
    /// Its cell: hosts that share the keys they have seen.
    pub cell: u32,
    /// Its state.
    pub state: HostState,
    /// Its size, without a unit.
    pub size: f64,
    /// Its latest start; zero: long past.
    pub started: Time,
    /// The pools that it is in, a bit each.
    pub pools: u64,
}

/// How a list relates to the one in hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines only.
    Delta,
    /// All lines.
    Full,
    /// All lines as last held before a restart.
    Cached,
    /// A question or the subscription failed.
    Failed,
}

/// Where a request may go. The default: to all hosts, without a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Route {
    /// Pools, a bit each: a host has to be in one of them. Zero: any host will do.
    pub pools: u64,
    /// Pools that take over while no host of those takes work; zero: none do.
    pub fallback: u64,
    /// What limits it beside its pool.
    pub limit: Option<Limit>,
}

/// A limit on the attempts of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Limit {
    /// The route's number, the same for as long as attempts of it are out.
    pub route: u32,
    /// Attempts out at once, from this gateway.
    pub most_out: u32,
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// The customer's plan.
    pub plan: usize,
    /// The customer.
    pub customer: CustomerId,
    /// Time before the client gives this try up.
    pub patience: Span,
    /// Units it counts; a guess where true units come with the answer.
    pub units: f64,
    /// Gateways this customer comes through.
    pub spread: u32,
    /// The number of the first of them; the others follow in a row, counted round.
    pub first: u32,
    /// It repeats an earlier try.
    pub repeat: bool,
    /// Where it may go, for as long as it is held.
    pub route: Route,
    /// When it came, which may be a while ago; zero: now.
    pub arrived: Time,
}

/// How an attempt, a probe or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served, or answered.
    Ok,
    /// An error of the host; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection.
    NoConnection,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// Its class or its plan is not known.
    Unknown,
    /// It came with too little time.
    Short,
    /// No host that may take it takes work.
    NoHost,
    /// More customers have requests in hand than there is room for.
    Crowd,
    /// It is beyond its customer's quota, or too many of the customer's requests are open.
    Quota,
    /// More wait before it than can be sent in its time.
    Hopeless,
    /// It waited for a slot or for a host until it was too late.
    Waited,
    /// An attempt may have run, and it may not run again, or nowhere that takes work.
    Once,
    /// A further attempt would come too late.
    Late,
    /// It had all attempts that it may have, or the budget for further ones is used up.
    Budget,
    /// Operators' plan for lost hosts refuses it, so that there is room for others.
    Shed,
}

/// A host's load report; what it does not carry is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Requests in hand.
    pub inflight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// How busy its cores are, 0 to 1.
    pub util: Option<f64>,
    /// Recent service time in milliseconds.
    pub latency_ms: Option<f64>,
    /// Requests served a second.
    pub served: Option<f64>,
    /// Errors a second.
    pub errors: Option<f64>,
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

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Where it was sent.
    pub host: HostId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long ago it was sent.
    pub took: Span,
    /// The request needs no answer any more.
    pub closed: bool,
    /// The customer's metered use as a share of its limit.
    pub used: Option<f64>,
    /// True units.
    pub true_units: Option<f64>,
    /// The host's load report.
    pub report: Option<Report>,
}

/// What a gateway tells the module.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the host list.
    Hosts {
        /// What the lines are.
        kind: ListKind,
        /// The lines.
        entries: Vec<HostEntry>,
    },
    /// A request has come in.
    Request(Request),
    /// A streamed answer has begun.
    Started {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt has ended.
    Ended(Ended),
    /// The client has left; no answer is owed.
    Left {
        /// The request.
        id: RequestId,
    },
    /// A timer has fallen due.
    Timer {
        /// The token given with it.
        token: u32,
    },
    /// A probe has come back.
    Probed {
        /// The host.
        host: HostId,
        /// How it went.
        outcome: Outcome,
        /// The host's load report.
        report: Option<Report>,
    },
    /// The counter service has answered a call.
    Counted {
        /// The number called for.
        name: CountName,
        /// How it went.
        outcome: Outcome,
        /// The number after the call.
        total: f64,
        /// How long the call took.
        took: Span,
    },
    /// The plans are these from now on, in the order of the settings. What customers have left stays, as far as
    /// their stores now hold it.
    Plans(Vec<Plan>),
    /// Of each class and plan, this share of the requests that come from now on is let in, 0 to 1; the others are
    /// refused at once. Cells in order: class times the number of plans, plus plan. A cell that is left out is let in
    /// whole.
    Shed(Vec<f64>),
    /// Another gateway has sent bytes.
    PeerMessage {
        /// Its number.
        from: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
}

/// What the module wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; attempts of a request are numbered from 0 in this order.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        host: HostId,
        /// When to give it up.
        until: Time,
        /// By when its last byte has to be written; else none of it is to go out any more, and it ends as moot.
        write_by: Time,
    },
    /// Withdraw an attempt.
    Withdraw {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: turned away; trying again does no harm.
    Refuse {
        /// The request.
        id: RequestId,
        /// Advice how long to stay away.
        retry_after: Option<Span>,
        /// Why.
        why: Why,
    },
    /// Final answer: failed; nothing is promised.
    Fail {
        /// The request.
        id: RequestId,
        /// Why.
        why: Why,
    },
    /// Wake the module later.
    Timer {
        /// In how long.
        after: Span,
        /// Token to give back.
        token: u32,
    },
    /// Add to a number of the counter service.
    Count {
        /// The number.
        name: CountName,
        /// What to add.
        amount: f64,
        /// How long a new number is kept.
        keep: Span,
    },
    /// Subscribe to the host list.
    Subscribe,
}
