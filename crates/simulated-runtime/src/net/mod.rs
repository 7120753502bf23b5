//! The network, and with it all that is shared between processes. One lock holds it; nothing here runs code
//! of anyone's.

pub(crate) mod connection;
pub(crate) mod faults;
pub(crate) mod links;
mod opening;
pub(crate) mod place;
pub(crate) mod stream;
mod wire;

use crate::digest::{Digest, Packet, Peer, What};
use crate::process::{Process, ProcessId};
use crate::slab::Slab;
use crate::timers::{Agenda, Event};
use crate::wakes::Wakes;
use cluster_model::scenario::NetworkSpec;
use connection::{Conn, Side};
use links::{LinkFaultId, LinkState};
use opening::ListenerState;
use place::{CutId, CutState, MachineState};
use runtime::{Span, Time};
use std::collections::BTreeMap;

/// From a machine to itself, before jitter.
pub(crate) const LOOPBACK: Span = 20_000;

/// Everything that processes share.
pub(crate) struct Room {
    pub(crate) now: Time,
    pub(crate) agenda: Agenda,
    pub(crate) wakes: Wakes,
    pub(crate) log: Log,
    pub(crate) machines: Vec<MachineState>,
    pub(crate) processes: Vec<Process>,
    cuts: BTreeMap<CutId, CutState>,
    next_cut: u64,
    links: BTreeMap<LinkFaultId, LinkState>,
    conns: Slab<Conn>,
    next_conn: u64,
    listeners: Slab<ListenerState>,
    seed: u64,
    network: NetworkSpec,
}

/// What became of the next event.
pub(crate) enum Next {
    /// It happened.
    Done,
    /// It is due then.
    At(Time),
    /// There is none.
    Nothing,
}

impl Room {
    pub(crate) fn new(seed: u64, now: Time, network: NetworkSpec, agenda: Agenda) -> Room {
        Room {
            now,
            agenda,
            wakes: Wakes::default(),
            log: Log::new(),
            machines: Vec::new(),
            processes: Vec::new(),
            cuts: BTreeMap::new(),
            next_cut: 0,
            links: BTreeMap::new(),
            conns: Slab::new(),
            next_conn: 0,
            listeners: Slab::new(),
            seed,
            network,
        }
    }

    /// Lets the next event happen, if it is due.
    pub(crate) fn next(&mut self) -> Next {
        let Some(event) = self.agenda.pop(self.now) else {
            return self.agenda.next().map_or(Next::Nothing, Next::At);
        };
        match event {
            Event::Timer(waker) => {
                self.log.timers += 1;
                self.wakes.add(waker);
            }
            Event::Arrive(conn, from) => self.arrive(conn, from),
            Event::Syn(conn) => self.syn_arrives(conn),
            Event::SynOver(conn) => self.syn_is_over(conn),
        }
        Next::Done
    }

    pub(crate) fn process(&self, id: ProcessId) -> &Process {
        &self.processes[id.0 as usize]
    }

    pub(crate) fn process_mut(&mut self, id: ProcessId) -> &mut Process {
        &mut self.processes[id.0 as usize]
    }
}

/// What has passed.
pub(crate) struct Log {
    pub(crate) digest: Digest,
    pub(crate) packets: u64,
    pub(crate) timers: u64,
    pub(crate) tracing: bool,
    /// Not yet given to who traces.
    pub(crate) traced: Vec<Packet>,
}

impl Log {
    fn new() -> Log {
        Log { digest: Digest::new(), packets: 0, timers: 0, tracing: false, traced: Vec::new() }
    }

    /// Notes what has arrived at the other side of `from`.
    fn record(&mut self, at: Time, machines: &[MachineState], conn: &Conn, from: Side, what: &What) {
        self.packets += 1;
        self.digest.add(at, conn.number, from as u8, what);
        if !self.tracing {
            return;
        }
        let peer = |side| {
            let end = conn.end(side);
            let name = end.machine.map(|id| machines[id.0 as usize].name.clone());
            Peer { machine: name.unwrap_or_else(|| "nobody".into()), addr: end.addr }
        };
        let packet = Packet {
            at,
            connection: conn.number,
            from: peer(from),
            to: peer(from.other()),
            what: what.clone(),
        };
        self.traced.push(packet);
    }
}
