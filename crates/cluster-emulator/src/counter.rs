//! The site's counter, wherever it runs: as tasks of this process, or as a process of its own.

use crate::real::CounterProcess;
use cluster_model::scenario::{CounterFault, Event};
use fake_services::counter::CounterStandIn;
use runtime::{Env, Span};
use std::io;
use std::net::SocketAddr;

/// The site's counter.
pub enum CounterOf<E: Env> {
    /// Tasks of this process.
    Tasks(CounterStandIn<E>),
    /// A process of its own.
    Process(CounterProcess),
}

impl<E: Env> CounterOf<E> {
    /// Where it listens for each gateway.
    pub fn addrs(&self) -> &[SocketAddr] {
        match self {
            CounterOf::Tasks(counter) => counter.addrs(),
            CounterOf::Process(counter) => counter.addrs(),
        }
    }

    /// The run begins: calls are taken from now on.
    pub fn open(&self) -> io::Result<()> {
        match self {
            CounterOf::Tasks(counter) => counter.open(),
            CounterOf::Process(counter) => counter.open()?,
        }
        Ok(())
    }

    /// The event at this place of the scenario, one of the counter's, happens to it.
    pub fn event(&self, place: usize, event: &Event) -> io::Result<()> {
        match self {
            CounterOf::Tasks(counter) => act(counter, event),
            CounterOf::Process(counter) => counter.event(place)?,
        }
        Ok(())
    }

    /// It is silent to a gateway, or speaks again; true: that gateway's connections are reset. Only for tasks: a process
    /// has links, which do that.
    pub fn be_silent(&self, gateway: u32, silent: bool, reset: bool) {
        let CounterOf::Tasks(counter) = self else { return };
        counter.set_silent(gateway, silent);
        if reset {
            counter.reset_gateway(gateway);
        }
    }

    /// Its machine loses power for so long.
    pub fn lose(&self, span: Span) {
        match self {
            CounterOf::Tasks(counter) => counter.fail(CounterFault::Unreachable, span),
            CounterOf::Process(counter) => counter.kill(),
        }
    }

    /// Its machine has power again: it starts anew, and knows nothing. Whether it does: it may have lost power twice.
    pub fn start_anew(&self) -> io::Result<bool> {
        match self {
            CounterOf::Tasks(counter) => counter.fail(CounterFault::Reset, 0),
            CounterOf::Process(counter) => return counter.start_anew(),
        }
        Ok(true)
    }

    /// Whether it takes connections in, as far as its process goes.
    pub fn listens(&self) -> bool {
        match self {
            CounterOf::Tasks(_) => true,
            CounterOf::Process(counter) => counter.listens(),
        }
    }

    /// What went wrong with its process since this was last asked, in words.
    pub fn troubles(&self) -> Vec<String> {
        match self {
            CounterOf::Tasks(_) => Vec::new(),
            CounterOf::Process(counter) => counter.troubles(),
        }
    }
}

/// Lets an event of a scenario happen to a counter. Others than its own do nothing.
pub(crate) fn act<E: Env>(counter: &CounterStandIn<E>, event: &Event) {
    match event {
        Event::Counter(fault, span) => counter.fail(fault.clone(), *span),
        Event::CorruptCounterReplies(share, span) => counter.garble(*share, *span),
        _ => {}
    }
}
