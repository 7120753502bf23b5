//! Sending and arriving.

use super::connection::{Conn, End, EndId, Flying, Phase, Side};
use super::Room;
use crate::digest::What;
use crate::slab::Key;
use crate::timers::Event;
use crate::wakes::Wakes;
use bytes::{Bytes, BytesMut};
use cluster_model::{MS, SECOND};
use runtime::{Span, Time};
use std::io::{self, ErrorKind, IoSlice};
use std::task::{Context, Poll};
use tokio::io::ReadBuf;

/// What was lost is first sent again after this...
const FIRST_TIMEOUT: Span = 200 * MS;
/// ... and after twice as long each time, up to this. It is never given up.
const LAST_TIMEOUT: Span = 120 * SECOND;

impl Room {
    /// Puts something on its way.
    pub(super) fn send(&mut self, id: EndId, what: What) {
        let bytes = what.bytes().len();
        let hindrance = self.hindrance(id.conn, bytes);
        let Some(conn) = self.conns.get_mut(id.conn) else { return };
        let delay = conn.delay;
        let way = conn.way_mut(id.side);
        way.bytes += bytes;
        let due = (way.stalled.is_none() && !way.parked).then(|| {
            let at = way.arrival(self.now, delay, self.network.jitter, hindrance, bytes);
            self.agenda.add(at, Event::Arrive(id.conn, id.side))
        });
        way.flight.push_back(Flying { due, sent: self.now, what });
    }

    /// Something arrives from this side, if it does: what is between the machines at this moment decides.
    pub(super) fn arrive(&mut self, key: Key, from: Side) {
        let Some(conn) = self.conns.get(key) else { return };
        let machines = (conn.ends[0].machine, conn.ends[1].machine);
        let (Some(a), Some(b)) = machines else { return };
        if !self.passes(a, b) || self.is_link_cut(conn, from) {
            return self.lose(EndId { conn: key, side: from });
        }
        if self.is_held(conn, from) {
            return self.park(EndId { conn: key, side: from });
        }
        let Some(conn) = self.conns.get_mut(key) else { return };
        let way = conn.way_mut(from);
        let was_stalled = way.stalled.take().is_some();
        let mut next = way.take();
        while let Some(flying) = next {
            self.deliver(key, from, flying);
            // The rest waited behind what was lost, and comes with it.
            let way = self.conns.get_mut(key).filter(|_| was_stalled).map(|conn| conn.way_mut(from));
            next = way.and_then(|way| way.take());
        }
        self.free_if_over(key);
    }

    /// What should arrive now does not. It is sent again, unless it is of the kind that is sent once.
    fn lose(&mut self, id: EndId) {
        let Some(conn) = self.conns.get_mut(id.conn) else { return };
        let way = conn.way_mut(id.side);
        if way.flight.front().is_some_and(|flying| flying.what == What::Refused) {
            way.take();
            return self.ask_unless_answered(id.conn);
        }
        if way.reset {
            // Who sent the reset knows nothing of the connection any more, and sends nothing again.
            self.clear_way(id);
            self.ask_unless_answered(id.conn);
            // Whoever waits for space there has it now, and learns by what it writes next.
            let peer = EndId { side: id.side.other(), ..id };
            self.with_end(peer, |end, wakes| wakes.wake(&mut end.writer));
            return self.free_if_over(id.conn);
        }
        let timeout = way.stalled.map_or(FIRST_TIMEOUT, |last| last.saturating_mul(2).min(LAST_TIMEOUT));
        way.stalled = Some(timeout);
        for flying in &mut way.flight {
            if let Some(due) = flying.due.take() {
                self.agenda.remove(due);
            }
        }
        if let Some(first) = way.flight.front_mut() {
            first.due = Some(self.agenda.add(self.now + timeout, Event::Arrive(id.conn, id.side)));
        }
    }

    /// Forgets what is on its way from this end.
    pub(super) fn clear_way(&mut self, id: EndId) {
        let Some(conn) = self.conns.get_mut(id.conn) else { return };
        let way = conn.way_mut(id.side);
        way.bytes = 0;
        way.stalled = None;
        way.parked = false;
        way.reset = false;
        for flying in way.flight.drain(..) {
            if let Some(due) = flying.due {
                self.agenda.remove(due);
            }
        }
    }

    /// Something has arrived at the other side of `from`.
    pub(super) fn deliver(&mut self, key: Key, from: Side, flying: Flying) {
        let Flying { sent, what, .. } = flying;
        let Some(conn) = self.conns.get(key) else { return };
        let to = EndId { conn: key, side: from.other() };
        let phase = conn.end(to.side).phase;
        self.record_at(key, from, &what);
        match (what, phase) {
            (What::Data(bytes), Phase::Open | Phase::Queued(..)) => self.with_end(to, |end, wakes| {
                end.unread.push(sent, bytes);
                wakes.wake(&mut end.reader);
            }),
            (What::Fin, Phase::Open | Phase::Queued(..)) => self.with_end(to, |end, wakes| {
                end.ended = true;
                wakes.wake(&mut end.reader);
            }),
            (What::SynAck, Phase::Asking) => {
                self.with_end(to, |end, wakes| {
                    end.phase = Phase::Open;
                    wakes.wake(&mut end.writer);
                });
                self.send(to, What::Ack);
            }
            (What::Ack, Phase::Queued(listener, false)) => self.can_be_accepted(to, listener),
            (What::Refused, Phase::Asking) => self.fail(to, ErrorKind::ConnectionRefused),
            (What::Refused, _) => {}
            (What::Reset, Phase::Queued(listener, false)) => self.leaves_queue(to, listener),
            (What::Reset, _) => self.fail(to, ErrorKind::ConnectionReset),
            (What::Data(_), Phase::Closed) | (_, Phase::Gone) => self.answer_with_reset(to),
            _ => {}
        }
    }

    /// Notes something that has arrived.
    pub(super) fn record_at(&mut self, key: Key, from: Side, what: &What) {
        let Some(conn) = self.conns.get(key) else { return };
        let at = self.now;
        self.log.record(at, &self.machines, conn, from, what);
    }

    /// The connection is broken at this end.
    pub(super) fn fail(&mut self, id: EndId, failure: ErrorKind) {
        let stalled = self.conns.get(id.conn).is_some_and(|conn| conn.way(id.side).stalled.is_some());
        if stalled {
            self.clear_way(id);
        }
        self.with_end(id, |end, wakes| {
            if !end.is_alive() {
                return;
            }
            end.failure = Some(failure);
            wakes.wake(&mut end.reader);
            wakes.wake(&mut end.writer);
        });
    }

    fn answer_with_reset(&mut self, id: EndId) {
        if self.conns.get(id.conn).is_some_and(|conn| conn.way(id.side).stalled.is_some()) {
            self.clear_way(id);
        }
        self.send_reset(id);
    }

    /// Sends a reset, unless one is on its way.
    pub(super) fn send_reset(&mut self, id: EndId) {
        let Some(conn) = self.conns.get_mut(id.conn) else { return };
        if !std::mem::replace(&mut conn.way_mut(id.side).reset, true) {
            self.send(id, What::Reset);
        }
    }

    pub(super) fn with_end(&mut self, id: EndId, change: impl FnOnce(&mut End, &mut Wakes)) {
        if let Some(conn) = self.conns.get_mut(id.conn) {
            change(conn.end_mut(id.side), &mut self.wakes);
        }
    }

    /// Lets go of a connection of which nothing is left.
    pub(super) fn free_if_over(&mut self, key: Key) {
        if !self.conns.get(key).is_some_and(Conn::is_over) {
            return;
        }
        let Some(conn) = self.conns.remove(key) else { return };
        let [opener, acceptor] = &conn.ends;
        if let Some(machine) = opener.machine {
            self.machine_mut(machine).opened.remove(&(opener.addr.port(), acceptor.addr));
        }
    }

    /// Reads what there is: bytes first, then the end, then how it broke. Gives when the first byte was sent.
    pub(crate) fn read(
        &mut self,
        id: EndId,
        cx: &Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<Option<Time>>> {
        let Some(conn) = self.conns.get_mut(id.conn) else {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        };
        let end = conn.end_mut(id.side);
        if end.phase != Phase::Open {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        if end.unread.len > 0 {
            let sent = end.unread.sent();
            end.unread.read(buf);
            self.wakes.wake(&mut conn.end_mut(id.side.other()).writer);
            return Poll::Ready(Ok(sent));
        }
        if end.ended {
            return Poll::Ready(Ok(None));
        }
        if let Some(failure) = end.failure {
            return Poll::Ready(Err(failure.into()));
        }
        self.wakes.wait(&mut end.reader, cx.waker());
        Poll::Pending
    }

    /// Whether there is nothing to read, not even an end.
    pub(crate) fn has_no_unread_input(&self, id: EndId) -> bool {
        let end = self.conns.get(id.conn).map(|conn| conn.end(id.side));
        end.is_some_and(|end| {
            end.phase == Phase::Open && end.unread.len == 0 && !end.ended && end.failure.is_none()
        })
    }

    /// Sends as much of this as the window takes.
    pub(crate) fn write(
        &mut self,
        id: EndId,
        cx: &Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let window = (self.network.window as usize).max(1);
        let Some(conn) = self.conns.get_mut(id.conn) else {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        };
        let space = window.saturating_sub(conn.outstanding(id.side));
        let end = conn.end_mut(id.side);
        if let Some(failure) = why_not_write(end) {
            return Poll::Ready(Err(failure.into()));
        }
        let wanted: usize = parts.iter().map(|part| part.len()).sum();
        let taken = wanted.min(space);
        if taken > 0 {
            self.send(id, What::Data(gather(parts, taken)));
        } else if wanted > 0 {
            self.wakes.wait(&mut end.writer, cx.waker());
            return Poll::Pending;
        }
        Poll::Ready(Ok(taken))
    }

    /// This end sends nothing more.
    pub(crate) fn finish_sending(&mut self, id: EndId) {
        let Some(conn) = self.conns.get_mut(id.conn) else { return };
        let end = conn.end_mut(id.side);
        if end.phase != Phase::Open || end.failure.is_some() || end.shut {
            return;
        }
        end.shut = true;
        self.send(id, What::Fin);
    }
}

fn why_not_write(end: &End) -> Option<ErrorKind> {
    match (end.phase, end.failure) {
        (Phase::Open, None) => end.shut.then_some(ErrorKind::BrokenPipe),
        // As Linux has it: who has been told of the end is told of a broken pipe.
        (Phase::Open, Some(_)) if end.ended => Some(ErrorKind::BrokenPipe),
        (Phase::Open, failure) => failure,
        _ => Some(ErrorKind::ConnectionReset),
    }
}

/// The first `count` bytes of the parts.
fn gather(parts: &[IoSlice<'_>], count: usize) -> Bytes {
    let mut bytes = BytesMut::with_capacity(count);
    for part in parts {
        let fits = part.len().min(count - bytes.len());
        bytes.extend_from_slice(&part[..fits]);
    }
    bytes.freeze()
}
