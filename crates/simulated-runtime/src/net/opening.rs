//! How connections come about: asking, listening, accepting.

use super::connection::{Conn, EndId, Phase, Side, Way};
use super::place::Cut;
use super::Room;
use crate::digest::What;
use crate::net::connection::End;
use crate::process::ProcessId;
use crate::slab::Key;
use crate::timers::Event;
use cluster_model::rng::Rng;
use cluster_model::SECOND;
use runtime::Span;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::task::{Context, Poll, Waker};

/// When a connection that does not come up is asked for again, counted from the first time.
const ASKED_AGAIN: [Span; 5] = [SECOND, 3 * SECOND, 7 * SECOND, 15 * SECOND, 31 * SECOND];
/// When that is given up.
const ASKED_ENOUGH: Span = 63 * SECOND;

/// Where connections come in.
pub(crate) struct ListenerState {
    pub(super) process: ProcessId,
    pub(super) addr: SocketAddr,
    backlog: usize,
    /// Granted, and not yet taken by the asker.
    granted: usize,
    /// Can be accepted.
    ready: VecDeque<Key>,
    pub(super) waker: Option<Waker>,
}

/// What a request for a connection meets.
enum Reception {
    Nothing,
    Refusal,
    Place(Key),
}

impl Room {
    /// Listens.
    pub(crate) fn listen(
        &mut self,
        process: ProcessId,
        on: SocketAddr,
        backlog: u32,
    ) -> io::Result<(Key, SocketAddr)> {
        self.process(process).check()?;
        let id = self.process(process).machine;
        if self.machine_at(id, on.ip()) != Some(id) {
            return Err(ErrorKind::AddrNotAvailable.into());
        }
        let machine = self.machine_mut(id);
        let port = match on.port() {
            0 => machine.free_port(None).ok_or(ErrorKind::AddrInUse)?,
            port if machine.ports.contains_key(&port) => return Err(ErrorKind::AddrInUse.into()),
            port => port,
        };
        let addr = SocketAddr::new(id.ip(), port);
        let backlog = (backlog as usize).max(1);
        let state = ListenerState { process, addr, backlog, granted: 0, ready: VecDeque::new(), waker: None };
        let listener = self.listeners.insert(state);
        self.machine_mut(id).ports.insert(port, listener);
        self.process_mut(process).open += 1;
        Ok((listener, addr))
    }

    /// Asks for a connection.
    pub(crate) fn ask(&mut self, process: ProcessId, to: SocketAddr) -> io::Result<EndId> {
        self.process(process).check()?;
        let from = self.process(process).machine;
        let machine = self.machine_at(from, to.ip());
        let to = SocketAddr::new(machine.map_or(to.ip(), |id| id.ip()), to.port());
        let port = self.machine_mut(from).free_port(Some(to)).ok_or(ErrorKind::AddrNotAvailable)?;
        self.machine_mut(from).opened.insert((port, to));
        let mut opener = End::new(Some(from), SocketAddr::new(from.ip(), port));
        opener.held_by(process, Phase::Asking);
        let number = self.next_conn;
        self.next_conn += 1;
        let way = |side: Side| Way::new(Rng::stream(self.seed, "wire", 2 * number + side as u64));
        let conn = Conn {
            number,
            delay: machine.map_or(0, |machine| self.delay(from, machine)),
            asked: self.now,
            asked_again: 0,
            asking: true,
            ends: [opener, End::new(machine, to)],
            ways: Side::BOTH.map(way),
        };
        let key = self.conns.insert(conn);
        self.process_mut(process).open += 1;
        self.send_syn(key, 0);
        Ok(EndId { conn: key, side: Side::Opener })
    }

    /// What became of the asking.
    pub(crate) fn asked(&mut self, id: EndId, cx: &Context<'_>) -> Poll<io::Result<()>> {
        let end = self.conns.get_mut(id.conn).map(|conn| conn.end_mut(id.side));
        let Some(end) = end else { return Poll::Ready(Err(ErrorKind::ConnectionAborted.into())) };
        match (end.phase, end.failure) {
            (Phase::Asking, Some(failure)) => Poll::Ready(Err(failure.into())),
            (Phase::Asking, None) => {
                self.wakes.wait(&mut end.writer, cx.waker());
                Poll::Pending
            }
            // It may have broken since; reading tells.
            (Phase::Open, _) => Poll::Ready(Ok(())),
            _ => Poll::Ready(Err(ErrorKind::ConnectionAborted.into())),
        }
    }

    /// Sends a request for a connection, so long after the first.
    fn send_syn(&mut self, key: Key, later: Span) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        let delay = conn.delay;
        let due = conn.asked.saturating_add(later).max(self.now);
        let way = conn.way_mut(Side::Opener).draw(delay, self.network.jitter);
        self.agenda.add(due.saturating_add(way), Event::Syn(key));
    }

    /// A request for a connection arrives, or is lost.
    pub(super) fn syn_arrives(&mut self, key: Key) {
        match self.reception(key) {
            Reception::Nothing => self.ask_again(key),
            Reception::Refusal => self.answer_syn(key, None),
            Reception::Place(listener) => self.answer_syn(key, Some(listener)),
        }
    }

    fn reception(&self, key: Key) -> Reception {
        let Some([opener, acceptor]) = self.conns.get(key).map(|conn| &conn.ends) else {
            return Reception::Nothing;
        };
        let (Some(from), Some(to)) = (opener.machine, acceptor.machine) else { return Reception::Nothing };
        let is_cut = |conn| self.is_link_cut(conn, Side::Opener) || self.is_link_cut(conn, Side::Acceptor);
        if !self.passes(from, to) || self.conns.get(key).is_some_and(is_cut) {
            return Reception::Nothing;
        }
        if self.is_cut(from, to, Cut::Reset) {
            return Reception::Refusal;
        }
        let listener = self.machine(to).ports.get(&acceptor.addr.port()).copied();
        let Some((listener, state)) = listener.and_then(|key| Some((key, self.listeners.get(key)?))) else {
            return Reception::Refusal;
        };
        match state.granted + state.ready.len() < state.backlog {
            true => Reception::Place(listener),
            false => Reception::Nothing,
        }
    }

    fn answer_syn(&mut self, key: Key, place: Option<Key>) {
        self.record_at(key, Side::Opener, &What::Syn);
        let Some(conn) = self.conns.get_mut(key) else { return };
        conn.asking = false;
        let acceptor = EndId { conn: key, side: Side::Acceptor };
        let Some(listener) = place else { return self.send(acceptor, What::Refused) };
        conn.end_mut(Side::Acceptor).phase = Phase::Queued(listener, false);
        if let Some(state) = self.listeners.get_mut(listener) {
            state.granted += 1;
        }
        self.send(acceptor, What::SynAck);
    }

    /// What is on its way to an asker was lost for good. Where that was the answer, it asks again.
    pub(super) fn ask_unless_answered(&mut self, key: Key) {
        let Some(conn) = self.conns.get(key) else { return };
        let opener = conn.end(Side::Opener);
        let waits = opener.phase == Phase::Asking && opener.failure.is_none();
        if waits && !conn.asking && conn.way(Side::Acceptor).flight.is_empty() {
            self.ask_again(key);
        }
    }

    /// A request for a connection, or the answer to it, was lost.
    fn ask_again(&mut self, key: Key) {
        let Some(conn) = self.conns.get_mut(key) else { return };
        conn.asking = conn.end(Side::Opener).phase == Phase::Asking;
        if !conn.asking {
            return self.free_if_over(key);
        }
        let times = conn.asked_again;
        conn.asked_again += 1;
        match ASKED_AGAIN.get(times) {
            Some(later) => self.send_syn(key, *later),
            None => {
                let over = conn.asked.saturating_add(ASKED_ENOUGH).max(self.now);
                self.agenda.add(over, Event::SynOver(key));
            }
        }
    }

    pub(super) fn syn_is_over(&mut self, key: Key) {
        if let Some(conn) = self.conns.get_mut(key) {
            conn.asking = false;
            self.fail(EndId { conn: key, side: Side::Opener }, ErrorKind::TimedOut);
            self.free_if_over(key);
        }
    }

    /// The asker has taken what was granted.
    pub(super) fn can_be_accepted(&mut self, id: EndId, listener: Key) {
        let Some(state) = self.listeners.get_mut(listener) else { return };
        state.granted -= 1;
        state.ready.push_back(id.conn);
        self.wakes.wake(&mut state.waker);
        self.with_end(id, |end, _| end.phase = Phase::Queued(listener, true));
    }

    /// The asker has gone before it took what was granted.
    pub(super) fn leaves_queue(&mut self, id: EndId, listener: Key) {
        if let Some(state) = self.listeners.get_mut(listener) {
            state.granted -= 1;
        }
        self.with_end(id, |end, _| end.phase = Phase::Gone);
    }

    /// The next connection, and where it comes from. One that there is no descriptor for stays.
    pub(crate) fn accept(&mut self, key: Key, cx: &Context<'_>) -> Poll<io::Result<(EndId, SocketAddr)>> {
        let Some(state) = self.listeners.get_mut(key) else {
            return Poll::Ready(Err(ErrorKind::NotConnected.into()));
        };
        let process = state.process;
        let Some(conn) = state.ready.front().copied() else {
            self.wakes.wait(&mut state.waker, cx.waker());
            return Poll::Pending;
        };
        self.process(process).check()?;
        if let Some(state) = self.listeners.get_mut(key) {
            state.ready.pop_front();
        }
        self.process_mut(process).open += 1;
        let id = EndId { conn, side: Side::Acceptor };
        self.with_end(id, |end, _| end.held_by(process, Phase::Open));
        let from = self.conns.get(conn).map(|conn| conn.end(Side::Opener).addr);
        Poll::Ready(from.map(|from| (id, from)).ok_or_else(|| ErrorKind::ConnectionAborted.into()))
    }
}
