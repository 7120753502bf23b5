//! Links that fail one way or both, between a machine that opens connections and one that accepts them.

use super::connection::{Conn, EndId, Side};
use super::place::MachineId;
use super::Room;
use crate::digest::What;
use crate::slab::Key;
use crate::timers::Event;
use cluster_model::scenario::LinkDirection;
use runtime::{Span, Time};
use std::collections::BTreeSet;

/// A fault that is in force on links.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkFaultId(pub(crate) u64);

/// What is wrong with links for a while.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkFault {
    /// What arrives waits, and comes all at once when it is over, also from a process that has died meanwhile.
    Hold(LinkDirection),
    /// What arrives is lost and sent again, as in a silent cut.
    Cut(LinkDirection),
    /// Each message takes longer by something between these.
    Slow(Span, Span),
    /// So many bytes a second pass in each direction of a connection.
    Narrow(f64),
}

/// A fault in force, and the pairs of opener and acceptor that it is on.
pub(crate) struct LinkState {
    pairs: BTreeSet<(MachineId, MachineId)>,
    fault: LinkFault,
}

fn covers(way: LinkDirection, from: Side) -> bool {
    match way {
        LinkDirection::Both => true,
        LinkDirection::FromInitiator => from == Side::Opener,
        LinkDirection::ToInitiator => from == Side::Acceptor,
    }
}

fn pair(conn: &Conn) -> Option<(MachineId, MachineId)> {
    Some((conn.ends[0].machine?, conn.ends[1].machine?))
}

impl Room {
    /// Faults on the links of this connection.
    fn faults(&self, conn: &Conn) -> impl Iterator<Item = LinkFault> + '_ {
        let pair = pair(conn);
        self.links
            .values()
            .filter(move |link| pair.is_some_and(|pair| link.pairs.contains(&pair)))
            .map(|link| link.fault)
    }

    /// Whether what arrives from this side is lost on the link.
    pub(super) fn is_link_cut(&self, conn: &Conn, from: Side) -> bool {
        self.faults(conn).any(|fault| matches!(fault, LinkFault::Cut(way) if covers(way, from)))
    }

    /// Whether what arrives next from this side waits. Connections come up all the same.
    pub(super) fn is_held(&self, conn: &Conn, from: Side) -> bool {
        let next = conn.way(from).flight.front().map(|flying| &flying.what);
        !matches!(next, Some(What::SynAck | What::Ack | What::Refused)) && self.is_link_held(conn, from)
    }

    fn is_link_held(&self, conn: &Conn, from: Side) -> bool {
        self.faults(conn).any(|fault| matches!(fault, LinkFault::Hold(way) if covers(way, from)))
    }

    /// How much longer so many bytes of this connection take now.
    pub(super) fn hindrance(&self, key: Key, bytes: usize) -> (Span, Option<f64>) {
        if self.links.is_empty() {
            return (0, None);
        }
        let Some(conn) = self.conns.get(key) else { return (0, None) };
        let (mut slow, mut rate) = (0, None::<f64>);
        for fault in self.faults(conn) {
            match fault {
                // The draw hangs on what has passed, so that no other chance is moved by it.
                LinkFault::Slow(least, most) => {
                    let part =
                        (self.now ^ conn.number ^ bytes as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 11;
                    let part = part as f64 / (1_u64 << 53) as f64;
                    slow += least + ((most - least) as f64 * part) as Span;
                }
                LinkFault::Narrow(narrow) => rate = Some(rate.map_or(narrow, |rate| rate.min(narrow))),
                LinkFault::Hold(_) | LinkFault::Cut(_) => {}
            }
        }
        (slow, rate)
    }

    /// What is on its way from this end waits until the link is held no more.
    pub(super) fn park(&mut self, id: EndId) {
        let Some(conn) = self.conns.get_mut(id.conn) else { return };
        let way = conn.way_mut(id.side);
        way.parked = true;
        way.stalled = None;
        for flying in &mut way.flight {
            if let Some(due) = flying.due.take() {
                self.agenda.remove(due);
            }
        }
    }

    /// A fault begins on links from each first machine to each second one.
    pub(crate) fn begin_link(&mut self, pairs: Vec<(MachineId, MachineId)>, fault: LinkFault) -> LinkFaultId {
        let id = LinkFaultId(self.next_cut);
        self.next_cut += 1;
        self.links.insert(id, LinkState { pairs: pairs.into_iter().collect(), fault });
        id
    }

    /// A fault is over: what waited comes now, in its order.
    pub(crate) fn end_link(&mut self, id: LinkFaultId) {
        self.links.remove(&id);
        for side in Side::BOTH {
            for conn in self.conns.keys_of(|conn| conn.way(side).parked && !self.is_link_held(conn, side)) {
                self.release(EndId { conn, side });
            }
        }
    }

    fn release(&mut self, id: EndId) {
        let now: Time = self.now;
        let Some(conn) = self.conns.get_mut(id.conn) else { return };
        let way = conn.way_mut(id.side);
        way.parked = false;
        for flying in &mut way.flight {
            flying.due = Some(self.agenda.add(now, Event::Arrive(id.conn, id.side)));
        }
    }

    /// Resets all connections from each first machine to each second one, at both ends.
    pub(crate) fn reset_links(&mut self, pairs: &[(MachineId, MachineId)]) {
        let meant = |conn: &Conn| !conn.asking && pair(conn).is_some_and(|pair| pairs.contains(&pair));
        let conns = self.conns.keys_of(meant);
        self.sever(&conns);
    }
}
