//! Nothing new goes to a host later than the grace after the news that it drains or is gone.

use crate::breaches::{Log, Nth, Subject};
use crate::{Rule, ALLOWANCE};
use fennelbeam_model::seen::Told;
use fennelbeam_model::{Span, Time};
use std::collections::BTreeMap;

#[derive(Debug)]
pub(crate) struct Drains {
    grace: Span,
    /// Since when a gateway has been told that a host drains or is gone. Its agent keeps the news when the
    /// gateway starts anew, and a host that starts anew is in service when the gateway is told so.
    leaving: BTreeMap<(u32, u32), Time>,
}

impl Drains {
    pub(crate) fn new(grace: Span) -> Drains {
        Drains { grace: grace.saturating_add(ALLOWANCE), leaving: BTreeMap::new() }
    }

    pub(crate) fn told(&mut self, now: Time, gateway: u32, host: u32, state: Told) {
        match state {
            Told::InService => {
                self.leaving.remove(&(gateway, host));
            }
            // Draining, then gone, or the same news again: the first counts.
            Told::Draining | Told::Gone => {
                self.leaving.entry((gateway, host)).or_insert(now);
            }
        }
    }

    /// A command has come whole to a host that was sent from `first_byte` on.
    pub(crate) fn received(&self, request: u64, gateway: u32, host: u32, first_byte: Time, log: &mut Log) {
        let Some(since) = self.leaving.get(&(gateway, host)) else { return };
        if first_byte > since.saturating_add(self.grace) {
            log.breach(first_byte, Rule::DrainsKept, Subject::Host(host), || {
                let late = (first_byte - since) / 1_000_000;
                let (gateway, host) = (Nth(gateway), Nth(host));
                format!("request {request:016x} was sent to host {host} {late} ms after gateway {gateway} was told \
                         that it drains or is gone")
            });
        }
    }
}
