//! How things end: connections, listeners, processes, machines, and the ways between them.

use super::connection::{Conn, EndId, Flying, Phase, Side};
use super::place::{Cut, CutId, CutState, MachineId};
use super::Room;
use crate::digest::What;
use crate::process::ProcessId;
use crate::slab::Key;
use std::collections::BTreeSet;

/// How an end goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HangUp {
    /// As a system closes: what is on its way arrives, then an end, or a reset if bytes lay unread.
    Close,
    /// What is on its way arrives, then a reset.
    Reset,
    /// A reset, and before it some first part of what is on its way.
    Torn,
    /// Without a word; what is on its way is lost.
    Silent,
}

impl Room {
    /// Lets go of an end. One that has been let go of before goes only when all its machine does.
    pub(crate) fn hang_up(&mut self, id: EndId, how: HangUp) {
        let Some(conn) = self.conns.get_mut(id.conn) else { return };
        let end = conn.end_mut(id.side);
        let was = end.phase;
        if !end.is_alive() && how != HangUp::Silent {
            return;
        }
        // Who is through with a connection that broke has nothing to add.
        let told = end.failure.is_some() || was == Phase::Asking;
        let polite = how == HangUp::Close && was == Phase::Open && end.unread.len == 0;
        let finished = end.shut;
        end.phase = if polite && !told { Phase::Closed } else { Phase::Gone };
        self.empty(id, was, how);
        match how {
            HangUp::Silent => {
                self.clear_way(id);
                self.ask_unless_answered(id.conn);
            }
            _ if told || (polite && finished) => {}
            _ if polite => self.send(id, What::Fin),
            _ => self.break_off(id, how),
        }
        self.free_if_over(id.conn);
    }

    /// Takes from an end what it held.
    fn empty(&mut self, id: EndId, was: Phase, how: HangUp) {
        let Some(conn) = self.conns.get_mut(id.conn) else { return };
        let end = conn.end_mut(id.side);
        end.unread = Default::default();
        for waiting in [&mut end.reader, &mut end.writer] {
            match how {
                // Whoever waited has let go of it.
                HangUp::Close => self.wakes.forget(waiting),
                _ => self.wakes.wake(waiting),
            }
        }
        if let (Phase::Asking | Phase::Open, Some(process)) = (was, end.process) {
            self.process_mut(process).open -= 1;
        }
    }

    /// The receiving half is dropped.
    pub(crate) fn let_go_of_reader(&mut self, id: EndId) {
        let Some(conn) = self.conns.get_mut(id.conn) else { return };
        let end = conn.end_mut(id.side);
        end.reader_held = false;
        if !end.writer_held {
            self.hang_up(id, HangUp::Close);
        }
    }

    /// The sending half is dropped.
    pub(crate) fn let_go_of_writer(&mut self, id: EndId) {
        let Some(conn) = self.conns.get_mut(id.conn) else { return };
        let end = conn.end_mut(id.side);
        end.writer_held = false;
        match end.reader_held {
            true => self.finish_sending(id),
            false => self.hang_up(id, HangUp::Close),
        }
    }

    /// The last from this end is a reset.
    fn break_off(&mut self, id: EndId, how: HangUp) {
        let stalled = self.conns.get(id.conn).is_some_and(|conn| conn.way(id.side).stalled.is_some());
        if stalled {
            // None of it is on any wire, and nobody is left to send it again.
            self.clear_way(id);
        } else if how == HangUp::Torn && !self.is_parked(id) {
            self.tear(id);
        }
        self.send_reset(id);
    }

    /// Cuts what is on its way at a random byte.
    fn tear(&mut self, id: EndId) {
        let Some(conn) = self.conns.get_mut(id.conn) else { return };
        let way = conn.way_mut(id.side);
        let mut left = way.rng.below(way.bytes as u64 + 1) as usize;
        way.bytes = left;
        way.flight.retain_mut(|flying| {
            let keep = match &mut flying.what {
                What::Data(bytes) => {
                    bytes.truncate(left);
                    left -= bytes.len();
                    !bytes.is_empty()
                }
                What::Fin => false,
                _ => true,
            };
            if let Some(due) = flying.due.filter(|_| !keep) {
                self.agenda.remove(due);
            }
            keep
        });
    }

    /// Nobody listens there any more.
    pub(crate) fn close_listener(&mut self, key: Key, how: HangUp) {
        let Some(mut state) = self.listeners.remove(key) else { return };
        self.wakes.wake(&mut state.waker);
        let machine = self.process(state.process).machine;
        self.machine_mut(machine).ports.remove(&state.addr.port());
        self.process_mut(state.process).open -= 1;
        let queued =
            |conn: &Conn| matches!(conn.end(Side::Acceptor).phase, Phase::Queued(at, _) if at == key);
        for conn in self.conns.keys_of(queued) {
            self.hang_up(EndId { conn, side: Side::Acceptor }, how);
        }
    }

    /// Ends all that a process holds of the network.
    pub(crate) fn end_process(&mut self, process: ProcessId, how: HangUp) {
        let of_listeners = if how == HangUp::Silent { HangUp::Silent } else { HangUp::Reset };
        for listener in self.listeners.keys_of(|listener| listener.process == process) {
            self.close_listener(listener, of_listeners);
        }
        let held = |conn: &Conn, side| {
            let end = conn.end(side);
            matches!(end.phase, Phase::Asking | Phase::Open) && end.process == Some(process)
        };
        self.for_ends(held, |room, id| room.hang_up(id, how));
        self.process_mut(process).alive = false;
    }

    /// A machine is heard of no more; who ran on it.
    pub(crate) fn vanish(&mut self, machine: MachineId) -> Vec<ProcessId> {
        self.machine_mut(machine).up = false;
        let ids = (0..self.processes.len() as u32).map(ProcessId);
        let ended: Vec<_> =
            ids.filter(|id| self.process(*id).alive && self.process(*id).machine == machine).collect();
        for process in &ended {
            self.end_process(*process, HangUp::Silent);
        }
        // What the system had still to send for those who had closed is lost as well.
        let there = |conn: &Conn, side| conn.end(side).machine == Some(machine);
        self.for_ends(there, |room, id| room.hang_up(id, HangUp::Silent));
        ended
    }

    /// Parts two sides from one another.
    pub(crate) fn cut(&mut self, a: &[MachineId], b: &[MachineId], how: Cut) -> CutId {
        let id = CutId(self.next_cut);
        self.next_cut += 1;
        let sides = [a, b].map(|side| side.iter().copied().collect::<BTreeSet<_>>());
        self.cuts.insert(id, CutState { sides, how });
        if how == Cut::Reset {
            let across = self.across_resets();
            self.sever(&across);
        }
        id
    }

    /// Takes a cut away.
    pub(crate) fn heal(&mut self, id: CutId) {
        self.cuts.remove(&id);
    }

    fn is_parked(&self, id: EndId) -> bool {
        self.conns.get(id.conn).is_some_and(|conn| conn.way(id.side).parked)
    }

    /// All connections across cuts that reset them.
    fn across_resets(&self) -> Vec<Key> {
        let across = |conn: &Conn| match (conn.ends[0].machine, conn.ends[1].machine) {
            (Some(a), Some(b)) => !conn.asking && self.is_cut(a, b, Cut::Reset),
            _ => false,
        };
        self.conns.keys_of(across)
    }

    /// Resets these connections at both ends; what is on its way is lost.
    pub(super) fn sever(&mut self, conns: &[Key]) {
        for conn in conns.iter().copied() {
            for side in Side::BOTH {
                self.clear_way(EndId { conn, side });
            }
            for side in Side::BOTH {
                if self.conns.get(conn).is_some_and(|conn| conn.end(side).is_alive()) {
                    let flying = Flying { due: None, sent: self.now, what: What::Reset };
                    self.deliver(conn, side.other(), flying);
                }
            }
            self.free_if_over(conn);
        }
    }

    fn for_ends(&mut self, meant: impl Fn(&Conn, Side) -> bool, mut act: impl FnMut(&mut Room, EndId)) {
        let ends = self.conns.iter().flat_map(|(conn, state)| Side::BOTH.map(|side| (conn, state, side)));
        let ids: Vec<_> = ends
            .filter(|(_, state, side)| meant(state, *side))
            .map(|(conn, _, side)| EndId { conn, side })
            .collect();
        for id in ids {
            act(self, id);
        }
    }
}
