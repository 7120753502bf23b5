//! One thing that somebody asks for, through all its tries.

use super::front::{NoWay, Way};
use super::line::{Carried, Job, Line, Stay};
use super::open::Hold;
use super::Crowd;
use cluster_model::observation::ObservationKind;
use cluster_model::requests;
use cluster_model::traffic::{Arrival, RequestOutcome};
use cluster_model::MS;
use runtime::{Env, Span, Time};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Asks until it is served or the client gives up.
pub(super) async fn see_through<E: Env>(crowd: Arc<Crowd<E>>, arrival: Arrival, _hold: Hold) {
    let (thing, class) = (arrival.operation, arrival.class);
    let began = crowd.env.now();
    let mut patience = crowd.behaviour.first_timeout(thing, class);
    for tries in 1.. {
        let until = crowd.env.now().saturating_add(patience);
        let ended = Try::new(&crowd, &arrival, tries - 1, until).run().await;
        let spent = crowd.env.now().saturating_sub(began);
        let Some(again) = crowd.behaviour.next_retry(thing, class, tries, spent, ended) else { return };
        crowd.env.sleep(again.delay).await;
        patience = again.timeout;
    }
}
/// One try.
struct Try<'a, E: Env> {
    crowd: &'a Arc<Crowd<E>>,
    arrival: &'a Arrival,
    number: u32,
    id: u64,
    /// The end of the client's patience.
    until: Time,
    /// Set with the first command.
    stay: Option<Stay>,
    asked: Option<Time>,
    /// The connection broke before the whole command was read, so a new one is wanted.
    again: bool,
}

/// What has become of a request at one gateway.
enum Passed {
    /// Not a byte of it was written, and another way may be open.
    Nowhere,
    /// There was no way in the time.
    Unreached,
    /// See [`Carried`].
    Carried(Carried),
}

impl<'a, E: Env> Try<'a, E> {
    fn new(crowd: &'a Arc<Crowd<E>>, arrival: &'a Arrival, number: u32, until: Time) -> Try<'a, E> {
        let id = requests::request_id(arrival.operation, number);
        Try { crowd, arrival, number, id, until, stay: None, asked: None, again: false }
    }

    async fn run(mut self) -> RequestOutcome {
        loop {
            let at = self.crowd.env.now().saturating_sub(self.crowd.start);
            let usable = |gateway| self.crowd.front.is_usable(gateway, self.again);
            let gateway = self.crowd.deal.select(self.arrival, self.number, at, usable);
            let Some(gateway) = gateway else { return self.given_up() };
            match self.pass(gateway).await {
                Passed::Nowhere => {}
                Passed::Carried(Carried::Ended(got)) => return got.into(),
                Passed::Carried(Carried::Left) => return RequestOutcome::Done,
                Passed::Carried(Carried::Unsent) if !self.again => self.again = true,
                Passed::Carried(Carried::Crossed(at)) if !self.again => {
                    self.asked = Some(at);
                    self.again = true;
                }
                Passed::Unreached | Passed::Carried(Carried::Unsent | Carried::Crossed(_)) => {
                    return self.given_up();
                }
            }
        }
    }

    /// The end of a try that could not be carried. A command that was never written whole has not run, nor has
    /// one that crossed the end of its connection: whoever closed it has not read it. The client then goes
    /// without an answer, and nobody owes it one.
    fn given_up(&self) -> RequestOutcome {
        if self.asked.is_some() {
            self.crowd
                .recorder
                .see(self.crowd.env.now(), ObservationKind::ClientDisconnected { request: self.id });
        } else {
            self.crowd.unreached.fetch_add(1, Ordering::Relaxed);
        }
        RequestOutcome::NoGateway
    }

    /// Passes the request to a gateway.
    async fn pass(&mut self, gateway: u32) -> Passed {
        let front = &self.crowd.front;
        let (way, _place) = match front.way(gateway, self.again, self.until).await {
            Ok(found) => found,
            Err(NoWay::Out) => return Passed::Nowhere,
            Err(NoWay::Unreached) => return Passed::Unreached,
        };
        let (reply, carried) = oneshot::channel();
        let Some(job) = self.job(gateway, reply) else { return Passed::Unreached };
        match way {
            // If the connection has just ended, the job is dropped, and the reply with it.
            Way::Idle(line) => drop(line.send(job)),
            Way::New(stream) => {
                let line = Line::new(front.clone(), gateway, stream);
                self.crowd.env.spawn(line.run(job));
            }
        }
        carried.await.map_or(Passed::Nowhere, Passed::Carried)
    }

    /// What is to be carried. `None`: the client's time is over.
    fn job(&mut self, gateway: u32, reply: oneshot::Sender<Carried>) -> Option<Job> {
        let patience = self.until.saturating_sub(self.crowd.env.now()) / MS * MS;
        if patience == 0 {
            return None;
        }
        let stay = *self.stay.get_or_insert_with(|| stay(self.crowd, self.arrival, self.number, patience));
        Some(Job {
            id: self.id,
            command: self.crowd.caller.command(self.arrival, self.id, patience),
            asked: self.sighting(gateway, patience),
            since: self.asked,
            stay,
            write_by: self.until,
            reply,
        })
    }

    fn sighting(&self, gateway: u32, patience: Span) -> ObservationKind {
        ObservationKind::RequestSent {
            request: self.id,
            first_request: requests::first_request_id(self.id),
            gateway,
            customer: self.arrival.customer,
            class: self.arrival.class,
            plan: self.arrival.plan,
            units: f64::from(self.crowd.caller.units(self.id)),
            timeout: patience,
        }
    }
}

/// How long the client stays, drawn when it asks.
fn stay<E: Env>(crowd: &Crowd<E>, arrival: &Arrival, number: u32, patience: Span) -> Stay {
    let leave = crowd.behaviour.disconnects_after(arrival.operation, number, patience, crowd.impatience());
    Stay { leave, nothing: patience.saturating_add(crowd.slack) }
}
