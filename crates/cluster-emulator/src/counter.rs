//! A handle of the site's counter, which runs as tasks of this process or as a separate process.

use crate::real::CounterProcess;
use cluster_model::scenario::{CounterFault, Event};
use fake_services::counter::CounterStandIn;
use runtime::{Env, Span};
use std::io;
use std::net::SocketAddr;

/// Controls the site's counter.
pub enum CounterHandle<E: Env> {
    /// Tasks of this process.
    Tasks(CounterStandIn<E>),
    /// A separate process.
    Process(CounterProcess),
}

impl<E: Env> CounterHandle<E> {
    /// Returns the listen address for each gateway.
    pub fn addrs(&self) -> &[SocketAddr] {
        match self {
            CounterHandle::Tasks(counter) => counter.addrs(),
            CounterHandle::Process(counter) => counter.addrs(),
        }
    }

    /// Lets the counter accept calls, as the run begins.
    pub fn open(&self) -> io::Result<()> {
        match self {
            CounterHandle::Tasks(counter) => counter.open(),
            CounterHandle::Process(counter) => counter.open()?,
        }
        Ok(())
    }

    /// Applies the counter event with this index in the scenario.
    pub fn event(&self, index: usize, event: &Event) -> io::Result<()> {
        match self {
            CounterHandle::Tasks(counter) => apply_event(counter, event),
            CounterHandle::Process(counter) => counter.event(index)?,
        }
        Ok(())
    }

    /// Sets whether the counter is silent towards a gateway; `reset`: also resets that gateway's connections. Acts only on
    /// tasks: for a process, its links do it.
    pub fn set_silent(&self, gateway: u32, silent: bool, reset: bool) {
        let CounterHandle::Tasks(counter) = self else { return };
        counter.set_silent(gateway, silent);
        if reset {
            counter.reset_gateway(gateway);
        }
    }

    /// Cuts the power of the counter's machine.
    pub fn power_off(&self, span: Span) {
        match self {
            CounterHandle::Tasks(counter) => counter.fail(CounterFault::Unreachable, span),
            CounterHandle::Process(counter) => counter.kill(),
        }
    }

    /// Returns power to the counter's machine, where the counter restarts with empty state. Returns whether it does: with
    /// two overlapping power losses, the first return is without effect.
    pub fn restart(&self) -> io::Result<bool> {
        match self {
            CounterHandle::Tasks(counter) => counter.fail(CounterFault::Reset, 0),
            CounterHandle::Process(counter) => return counter.restart(),
        }
        Ok(true)
    }

    /// Whether the counter's process accepts connections.
    pub fn listens(&self) -> bool {
        match self {
            CounterHandle::Tasks(_) => true,
            CounterHandle::Process(counter) => counter.listens(),
        }
    }

    /// Returns errors of the counter's process since the last call.
    pub fn take_errors(&self) -> Vec<String> {
        match self {
            CounterHandle::Tasks(_) => Vec::new(),
            CounterHandle::Process(counter) => counter.take_errors(),
        }
    }
}

/// Applies a scenario event to a counter; events of other kinds do nothing.
pub(crate) fn apply_event<E: Env>(counter: &CounterStandIn<E>, event: &Event) {
    match event {
        Event::Counter(fault, span) => counter.fail(fault.clone(), *span),
        Event::CorruptCounterReplies(share, span) => counter.garble(*share, *span),
        _ => {}
    }
}
