//! Clients that are a burden: they ask and never read, or connect and say nothing.

use super::{lock, Crowd};
use cluster_model::requests;
use cluster_model::rng::Rng;
use cluster_model::traffic::Arrival;
use runtime::{Env, Task};
use std::future::pending;
use std::ops::Range;
use std::sync::{Arc, Mutex};
use tokio::io::{copy, sink, AsyncWriteExt};

/// What clients ask for that never read is numbered from here on, see [`requests::request_id`]: far above all others.
pub const RUDE_THINGS: u64 = 1 << 55;

/// The connections of rude clients.
pub(super) struct Rude<E: Env> {
    /// The customer that they ask for.
    customer: u64,
    state: Mutex<State<E>>,
}

struct State<E: Env> {
    /// Calls so far.
    calls: u64,
    tasks: Vec<E::Task>,
}

impl<E: Env> Rude<E> {
    pub(super) fn new(seed: u64) -> Rude<E> {
        let customer = Rng::stream(seed, "rude", 0).below(1 << 33);
        Rude { customer, state: Mutex::new(State { calls: 0, tasks: Vec::new() }) }
    }

    pub(super) fn never_read(&self, crowd: &Arc<Crowd<E>>, gateway: u32, connections: u32, calls_each: u32) {
        for _ in 0..connections {
            let things = self.number(u64::from(calls_each));
            self.keep(crowd.env.spawn(write_only(crowd.clone(), gateway, self.customer, things)));
        }
    }

    /// The numbers of so many more things.
    fn number(&self, count: u64) -> Range<u64> {
        let mut state = lock(&self.state);
        let first = RUDE_THINGS + state.calls;
        state.calls += count;
        first..first + count
    }

    pub(super) fn idle(&self, crowd: &Arc<Crowd<E>>, gateway: u32, count: u32) {
        for _ in 0..count {
            self.keep(crowd.env.spawn(say_nothing(crowd.clone(), gateway)));
        }
    }

    pub(super) fn leave(&self) {
        lock(&self.state).tasks.drain(..).for_each(|task| task.abort());
    }

    fn keep(&self, task: E::Task) {
        lock(&self.state).tasks.push(task);
    }
}

/// Asks for one thing after another, reads nothing and stays.
async fn write_only<E: Env>(crowd: Arc<Crowd<E>>, gateway: u32, customer: u64, things: Range<u64>) {
    let Some(mut stream) = connect(&crowd, gateway).await else { return };
    let class = crowd.caller.safe_class();
    for thing in things {
        let plan = 0;
        let arrival = Arrival {
            at: 0,
            operation: thing,
            customer,
            plan,
            class,
            gateway_set_size: 1,
            first_gateway: gateway,
            gateway,
        };
        let patience = crowd.behaviour.first_timeout(thing, class);
        let command = crowd.caller.command(&arrival, requests::request_id(thing, 0), patience);
        if stream.write_all(&command).await.is_err() {
            return;
        }
    }
    pending().await
}

/// Stays for as long as the gateway lets it.
async fn say_nothing<E: Env>(crowd: Arc<Crowd<E>>, gateway: u32) {
    if let Some(mut stream) = connect(&crowd, gateway).await {
        // However it ends, it is over.
        let _ = copy(&mut stream, &mut sink()).await;
    }
}

async fn connect<E: Env>(crowd: &Crowd<E>, gateway: u32) -> Option<E::Stream> {
    crowd.env.connect(crowd.front.address(gateway)?).await.ok()
}
