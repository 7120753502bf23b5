//! Hosts: their connections and the attempts on them. One request at a time on a connection, since one
//! behind a slow one would wait for it and giving one up means closing.

pub(crate) mod connection;
mod connection_pressure;
mod idle_reuse;

use crate::client::call::Call;
use crate::discovery::endpoint_list::{Lifecycle, Membership};
use crate::messages::{Answer, AttemptKey, ConnId, HostEvent, Input};
use crate::request_routing::Routing;
use crate::telemetry::failure_stats::AT_ONCE;
use crate::telemetry::outage_log::Outage;
use crate::upstream::connection::{Limits, Line, Unusable};
use crate::upstream::connection_pressure::Shortage;
use crate::upstream::idle_reuse::{Keep, Trust};
use bytes::Bytes;
use platform_settings::PlatformSettings;
use policy::api::{AttemptEnded, HostEntry, HostId, HostListKind, HostState, Outcome, Span, Time};
use resp::{Frame, RespError};
use routing::HostAttributes;
use runtime::{Env, Task};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc::UnboundedSender;

const MS: Span = 1_000_000;
/// A connection rests for so long after an answer. A host that speaks twice does so some milliseconds after the first
/// time, and the second answer would pass for that to the next request; on a resting connection it is found out.
const REST: Span = 10 * MS;
/// So many connections rest at once, of all hosts together: each takes memory. Where answers come faster than that, the
/// one that has rested for longest is through with it.
const RESTING: usize = 8;
/// No figure of a host is above this.
const MAX_FIGURE: f64 = 1e5;

/// An attempt that has ended, as the module is told of it but for what only the gateway knows.
#[derive(Debug)]
pub(crate) struct Finished {
    pub ended: AttemptEnded,
    pub sent: Time,
    /// How long its connection had stood idle; zero: a new one; `None`: it had none.
    pub stood: Option<Span>,
    /// When it would have been given up.
    pub until: Time,
    /// What goes to the client.
    pub value: Option<Bytes>,
}

/// What is to be sent, and how.
pub(crate) struct Order {
    pub host_id: HostId,
    /// When to give it up.
    pub until: Time,
    /// By when its last byte has to be written.
    pub write_by: Time,
    pub call: Arc<Call>,
    /// It may not run twice, so that a dead connection would lose it.
    pub once: bool,
    /// Where the answer goes: closed once the client has gone, which may be long before the gateway hears of it.
    pub client: UnboundedSender<(u64, Answer)>,
}

struct Attempt {
    order: Order,
    sent: Time,
    conn: Option<ConnId>,
    /// How long that had stood idle when it was written to.
    stood: Option<Span>,
}

/// What pools are chosen by.
#[derive(Default)]
struct Names {
    id: String,
    zone: String,
    machine: String,
}

impl Names {
    fn facts(&self, cell: u32) -> HostAttributes<'_> {
        HostAttributes { id: &self.id, zone: &self.zone, machine_type: &self.machine, cell }
    }
}

#[derive(Default)]
struct Host {
    /// As discovery told of it last.
    entry: HostEntry,
    addr: Option<SocketAddr>,
    names: Names,
    started: u64,
    ready: bool,
    /// Goes up with each change of address or start: connections from before are not used again.
    era: u32,
    idle: Vec<ConnId>,
    waiting: VecDeque<AttemptKey>,
    /// Word will come of a connection that has rested.
    is_resting: bool,
    dialing: usize,
    /// Connections to it, up or on their way.
    conns: usize,
    /// When it last answered anything.
    heard: Time,
    trust: Trust,
    /// When it was last heard to say what no host says.
    nonsense: Outage,
}

impl Host {
    /// A whole list does not name it.
    fn leave(&mut self) {
        (self.ready, self.entry.state) = (false, HostState::Gone);
    }
}

struct Conn<E: Env> {
    host_id: HostId,
    era: u32,
    up: bool,
    /// It has carried a request before.
    used: bool,
    /// Since when it has stood idle; while it is busy, for how long it had.
    idle_since: Time,
    rested: Span,
    /// While it is idle: from when on it may be used.
    rested_at: Time,
    busy: Option<AttemptKey>,
    /// The attempt that it was opened for.
    opened_for: AttemptKey,
    line: Line<E>,
    task: E::Task,
}

impl<E: Env> Drop for Conn<E> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// All hosts as discovery names them.
pub(crate) struct Hosts<E: Env> {
    env: E,
    site: Arc<PlatformSettings>,
    gateway: UnboundedSender<Input>,
    /// Connections that may be open at once.
    most: usize,
    keep: Keep,
    shortage: Shortage,
    /// In the order of their numbers, so that what is done to all of them is done alike each time.
    hosts: BTreeMap<HostId, Host>,
    conns: FxHashMap<ConnId, Conn<E>>,
    /// Connections that rest, in the order in which they are through with it.
    resting: VecDeque<(Time, ConnId)>,
    attempts: FxHashMap<AttemptKey, Attempt>,
    next_conn: ConnId,
    finished: VecDeque<Finished>,
}

impl<E: Env> Hosts<E> {
    pub fn new(env: E, site: Arc<PlatformSettings>, gateway: UnboundedSender<Input>, most: usize) -> Self {
        Hosts {
            env,
            keep: Keep::new(longest_idle(&site)),
            shortage: Shortage::default(),
            site,
            gateway,
            most,
            hosts: BTreeMap::new(),
            conns: FxHashMap::default(),
            resting: VecDeque::new(),
            attempts: FxHashMap::default(),
            next_conn: 0,
            finished: VecDeque::new(),
        }
    }

    /// Attempts that have ended, in order.
    pub fn finished(&mut self) -> Option<Finished> {
        self.finished.pop_front()
    }

    /// Takes in a list and gives it in the module's terms.
    pub fn update(&mut self, list: &Membership, kind: HostListKind, routing: &Routing) -> Vec<HostEntry> {
        if kind != HostListKind::Delta {
            self.hosts.values_mut().for_each(Host::leave);
        }
        let mut entries = Vec::with_capacity(list.instances.len());
        let mut unsent = Vec::new();
        for line in &list.instances {
            let id = host_id_of(&line.instance_id);
            let host = self.hosts.entry(id).or_default();
            if line.host_port.is_some() && (host.addr != line.host_port || host.started != line.started_at_ms)
            {
                // What waits was sent to a warm host: it is not let loose on a cold one, but decided on anew.
                if line.started_at_ms > host.started {
                    unsent.extend(host.waiting.drain(..));
                }
                host.era += 1;
                host.addr = line.host_port;
                host.started = line.started_at_ms;
            }
            host.ready = line.lifecycle == Lifecycle::InService;
            if line.host_port.is_some() {
                host.names = Names {
                    id: line.instance_id.clone(),
                    zone: line.zone.clone(),
                    machine: line.machine_type.clone(),
                };
            }
            host.entry = HostEntry {
                id,
                zone: position(&self.site.zone_names, &line.zone),
                machine_type: position(&self.site.machine_types, &line.machine_type),
                cell: line.cell,
                state: match line.lifecycle {
                    Lifecycle::InService => HostState::Ready,
                    Lifecycle::Terminating => HostState::Draining,
                    Lifecycle::Terminated => HostState::Gone,
                },
                size: line.weight,
                started_at: line.started_at_ms.saturating_mul(MS),
                pools: routing.pools_of(&host.names.facts(line.cell)),
            };
            entries.push(host.entry.clone());
        }
        unsent.into_iter().for_each(|key| self.finish(key, Outcome::NotSent));
        self.drop_outdated();
        entries
    }

    /// Idle connections of an earlier era close. Attempts that wait at a host that drains or is gone end
    /// unsent: their first byte may not follow the news.
    fn drop_outdated(&mut self) {
        let (mut unsent, mut outdated) = (Vec::new(), Vec::new());
        for host in self.hosts.values_mut() {
            let (conns, era, ready) = (&self.conns, host.era, host.ready);
            host.idle.retain(|conn| {
                let keep = ready && conns.get(conn).is_some_and(|c| c.era == era);
                if !keep {
                    outdated.push(*conn);
                }
                keep
            });
            if !ready {
                unsent.extend(host.waiting.drain(..));
            }
        }
        outdated.into_iter().for_each(|conn| drop(self.close(conn)));
        unsent.into_iter().for_each(|key| self.finish(key, Outcome::NotSent));
        self.hosts.retain(|_, host| host.ready || host.conns > 0);
    }

    /// Finds the pools of all hosts anew, and gives them in the module's terms.
    pub fn reassign(&mut self, routing: &Routing) -> Vec<HostEntry> {
        let reassign = |host: &mut Host| {
            host.entry.pools = routing.pools_of(&host.names.facts(host.entry.cell));
            host.entry.clone()
        };
        self.hosts.values_mut().map(reassign).collect()
    }

    /// Attempts that wait for a connection, each with the pools of its host.
    pub fn unsent(&self) -> Vec<(AttemptKey, u64)> {
        let waiting = |host: &'_ Host| host.waiting.iter().map(|key| (*key, host.entry.pools)).collect();
        self.hosts.values().flat_map::<Vec<_>, _>(waiting).collect()
    }

    /// Attempts that wait for a connection to a host end unsent.
    pub fn drop_waiting(&mut self, host_id: HostId) {
        let Some(host) = self.hosts.get_mut(&host_id) else { return };
        let unsent: Vec<AttemptKey> = host.waiting.drain(..).collect();
        unsent.into_iter().for_each(|key| self.finish(key, Outcome::NotSent));
    }

    /// What discovery calls a host.
    pub fn name(&self, id: HostId) -> &str {
        self.hosts.get(&id).map_or("a host that is gone", |host| &host.names.id)
    }

    /// The hosts in service, as discovery tells of them.
    pub fn entries(&self) -> Vec<HostEntry> {
        self.hosts.values().filter(|host| host.ready).map(|host| host.entry.clone()).collect()
    }

    /// Ends a connection, with whatever is on it.
    fn close(&mut self, id: ConnId) -> Option<Conn<E>> {
        let conn = self.conns.remove(&id)?;
        self.hosts.entry(conn.host_id).and_modify(|host| host.conns -= 1);
        Some(conn)
    }

    /// Starts an attempt: on the newest idle connection, or on the first that comes free or up.
    pub fn start(&mut self, key: AttemptKey, order: Order) {
        let (host_id, sent) = (order.host_id, self.env.now());
        let is_over = sent >= order.until.min(order.write_by) || order.client.is_closed();
        self.attempts.insert(key, Attempt { order, sent, conn: None, stood: None });
        let Some(host) = self.hosts.get_mut(&host_id).filter(|host| host.ready && !is_over) else {
            return self.finish(key, Outcome::NotSent);
        };
        host.waiting.push_back(key);
        self.serve_waiting(host_id);
        self.redial(host_id);
    }

    /// Gives waiting attempts the idle connections that there are, and sees to it that those that rest are given out
    /// in their time.
    fn serve_waiting(&mut self, host_id: HostId) {
        while self.serve_one(host_id) {}
        let Some(host) = self.hosts.get_mut(&host_id).filter(|host| !host.waiting.is_empty()) else { return };
        let now = self.env.now();
        let rested = host.idle.iter().filter_map(|id| self.conns.get(id)).map(|conn| conn.rested_at);
        let Some(at) = rested.filter(|at| *at > now).min().filter(|_| !host.is_resting) else { return };
        host.is_resting = true;
        let (sleep, gateway) = (self.env.sleep_until(at), self.gateway.clone());
        self.env.spawn(async move {
            sleep.await;
            let _ = gateway.send(Input::Host(HostEvent::Rested(host_id)));
        });
    }

    /// The newest idle connection to a host that has rested, by its place among them.
    fn rested(&self, host: &Host, now: Time) -> Option<usize> {
        let has_rested = |id: &ConnId| self.conns.get(id).is_none_or(|conn| conn.rested_at <= now);
        host.idle.iter().rposition(has_rested)
    }

    /// A connection has answered and rests. Where too many do, the first of them does no more.
    fn rest(&mut self, id: ConnId, now: Time) {
        let at = now.saturating_add(REST);
        self.conns.entry(id).and_modify(|conn| conn.rested_at = at);
        self.resting.push_back((at, id));
        while let Some((at, id)) =
            self.resting.front().copied().filter(|(at, _)| *at <= now || self.resting.len() > RESTING)
        {
            self.resting.pop_front();
            if let Some(conn) = self.conns.get_mut(&id).filter(|conn| conn.rested_at == at) {
                conn.rested_at = now.min(at);
            }
        }
    }

    /// Gives a waiting attempt an idle connection that is trusted with it; false: there are no such two.
    fn serve_one(&mut self, host_id: HostId) -> bool {
        let now = self.env.now();
        let Some(host) = self.hosts.get(&host_id).filter(|host| host.ready) else { return false };
        let Some(place) = self.rested(host, now) else { return false };
        let (conn, trust) = (host.idle[place], host.trust);
        let stood = self.conns.get(&conn).map_or(0, |c| now.saturating_sub(c.idle_since));
        let is_trusted = |once| stood < self.keep.limit(now, trust, once);
        let will_do =
            |key: &&AttemptKey| self.attempts.get(key).is_some_and(|attempt| is_trusted(attempt.order.once));
        let key = host.waiting.iter().find(will_do).copied();
        let is_old = !is_trusted(false);
        let Some(host) = self.hosts.get_mut(&host_id).filter(|host| !host.waiting.is_empty()) else {
            return false;
        };
        if is_old {
            // Those before it have stood for longer still.
            let old: Vec<ConnId> = host.idle.drain(..=place).collect();
            old.into_iter().for_each(|conn| drop(self.close(conn)));
            return false;
        }
        let Some(key) = key else { return false };
        if !self.may_go_out(key) {
            return true;
        }
        if let Some(host) = self.hosts.get_mut(&host_id) {
            host.idle.remove(place);
        }
        match self.write(conn, key) {
            Ok(()) => self.unqueue(host_id, key),
            // Nothing was sent, and that says nothing of the host: another connection takes it.
            Err(why) => {
                if let Some(conn) = self.close(conn).filter(|_| why == Unusable::Dead) {
                    self.found_dead(host_id, now.saturating_sub(conn.idle_since));
                }
            }
        }
        true
    }

    /// Hands a connection its request.
    fn write(&mut self, id: ConnId, key: AttemptKey) -> Result<(), Unusable> {
        let (Some(conn), Some(attempt)) = (self.conns.get_mut(&id), self.attempts.get_mut(&key)) else {
            return Err(Unusable::Full);
        };
        let now = self.env.now();
        conn.line.write(attempt.order.call.for_host(attempt.order.until.saturating_sub(now)))?;
        conn.rested = now.saturating_sub(conn.idle_since);
        (conn.busy, attempt.conn) = (Some(key), Some(id));
        // A new one goes to its request at once.
        attempt.stood = Some(if conn.used || conn.rested >= MS { conn.rested } else { 0 });
        Ok(())
    }

    /// Whether a waiting attempt may still be written. One that may not ends: its client has gone, or its time is over.
    fn may_go_out(&mut self, key: AttemptKey) -> bool {
        let now = self.env.now();
        match self.attempts.get(&key).map(|attempt| &attempt.order) {
            Some(order) if now >= order.until => self.stop(key, false),
            Some(order) if now >= order.write_by || order.client.is_closed() => self.stop(key, true),
            found => return found.is_some(),
        }
        false
    }

    fn dial(&mut self, host_id: HostId, key: AttemptKey) {
        if self.conns.len() >= self.most && !self.close_an_idle_one() {
            self.unqueue(host_id, key);
            return self.finish(key, Outcome::NotSent);
        }
        let Some(host) = self.hosts.get_mut(&host_id) else { return };
        let Some(addr) = host.addr else { return };
        host.dialing += 1;
        host.conns += 1;
        let id = self.next_conn;
        self.next_conn += 1;
        let limits = Limits { dial: self.site.connect_timeout.max(MS), idle: longest_idle(&self.site) };
        let (line, task) = connection::open(&self.env, id, addr, limits, self.gateway.clone());
        let conn = Conn {
            host_id,
            era: host.era,
            up: false,
            used: false,
            idle_since: 0,
            rested: 0,
            rested_at: 0,
            busy: None,
            opened_for: key,
            line,
            task,
        };
        self.conns.insert(id, conn);
    }

    /// Ends the connection that has stood idle for longest.
    fn close_an_idle_one(&mut self) -> bool {
        let since = |id: &ConnId| self.conns.get(id).map_or(0, |conn| conn.idle_since);
        // Of one host the first is the oldest.
        let firsts = self.hosts.values_mut().filter(|host| !host.idle.is_empty());
        let oldest = firsts.min_by_key(|host| (since(&host.idle[0]), host.idle[0]));
        let conn = oldest.map(|host| host.idle.remove(0));
        conn.is_some_and(|conn| self.close(conn).is_some())
    }

    fn unqueue(&mut self, host_id: HostId, key: AttemptKey) {
        self.hosts.entry(host_id).and_modify(|host| host.waiting.retain(|k| *k != key));
    }

    /// Stops waiting for an attempt: its time is up, or (`withdrawn`) it is wanted no more. Closing the
    /// connection is what tells the host.
    pub fn stop(&mut self, key: AttemptKey, withdrawn: bool) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let (host_id, attempt_sent) = (attempt.order.host_id, attempt.sent);
        let conn = attempt.conn.and_then(|id| self.close(id));
        let sent = conn.is_some_and(|conn| conn.line.is_sent());
        self.unqueue(host_id, key);
        if sent && !withdrawn {
            self.distrust(host_id, attempt_sent);
        }
        let outcome = match (withdrawn, sent) {
            (true, true) => Outcome::Cancelled,
            (true, false) => Outcome::NotSent,
            (false, true) => Outcome::Timeout,
            (false, false) => Outcome::ConnectFailed,
        };
        self.finish(key, outcome);
    }

    /// Lets go of an attempt that is not whole with its host: it never runs.
    pub fn drop_unsent(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let conn = attempt.conn.and_then(|id| self.conns.get(&id));
        if conn.is_none_or(|conn| !conn.line.is_sent()) {
            self.stop(key, true);
        }
    }

    /// A host cut off leaves its connections open and silent. One that has said nothing since an attempt that
    /// timed out keeps no idle ones: a new one that fails to come up proves that a request never ran, which
    /// an unsafe one survives; one written to a dead connection does not.
    fn distrust(&mut self, host_id: HostId, since: Time) {
        let Some(host) = self.hosts.get_mut(&host_id).filter(|host| host.heard < since) else { return };
        let idle: Vec<ConnId> = host.idle.drain(..).collect();
        idle.into_iter().for_each(|conn| drop(self.close(conn)));
    }

    /// Takes in what a connection tells.
    pub fn on_event(&mut self, event: HostEvent) {
        match event {
            HostEvent::Up(id) => {
                let Some(conn) = self.conns.get_mut(&id) else { return };
                conn.up = true;
                let host_id = conn.host_id;
                self.hosts.entry(host_id).and_modify(|host| host.dialing -= 1);
                self.free(id);
            }
            HostEvent::Answered { id, frame, clean } => {
                let Some(conn) = self.conns.get_mut(&id) else { return };
                let is_first = !std::mem::replace(&mut conn.used, true);
                let (host_id, rested, Some(key)) = (conn.host_id, conn.rested, conn.busy.take()) else {
                    return;
                };
                let now = self.env.now();
                if let Some(host) = self.hosts.get_mut(&host_id) {
                    host.heard = now;
                    self.keep.alive(now, &mut host.trust, rested);
                }
                if is_first {
                    self.shortage.served();
                }
                let is_known = self.answered(key, frame);
                let is_wanted = self.hosts.get(&host_id).is_some_and(|host| !host.waiting.is_empty());
                if is_known && clean && !is_wanted && self.shortage.is_on(now) {
                    self.close(id);
                } else if is_known && clean {
                    self.rest(id, now);
                    self.free(id);
                } else {
                    self.speak_of_nonsense(host_id, &RespError::Malformed("answer"));
                    self.close(id);
                    self.redial(host_id);
                }
            }
            HostEvent::Nonsense { id, error } => {
                if let Some(host_id) = self.conns.get(&id).map(|conn| conn.host_id) {
                    self.speak_of_nonsense(host_id, &error);
                }
            }
            HostEvent::Down(id) => {
                let Some(conn) = self.close(id) else { return };
                self.down(id, &conn);
            }
            HostEvent::Rested(host_id) => {
                self.hosts.entry(host_id).and_modify(|host| host.is_resting = false);
                self.serve_waiting(host_id);
                // What it waited for may have gone, or be no connection to be trusted with it.
                self.redial(host_id);
            }
        }
    }

    /// A host may say nonsense with each answer: a line at first, and ever more rarely while it goes on.
    fn speak_of_nonsense(&mut self, host_id: HostId, error: &RespError) {
        let Some(host) = self.hosts.get_mut(&host_id) else { return };
        if host.nonsense.failed(self.env.now()).is_some() {
            let addr = host.addr.map(|addr| addr.to_string()).unwrap_or_default();
            tracing::warn!("host {} at {addr} said what no host says: {error}", host.names.id);
        }
    }

    fn down(&mut self, id: ConnId, conn: &Conn<E>) {
        if conn.up && !conn.used {
            self.shortage.ended(self.env.now(), conn.idle_since);
        }
        if let Some(key) = conn.busy {
            let sent = conn.line.is_sent();
            let soon = |a: &Attempt| self.env.now() < a.sent + AT_ONCE;
            if self.attempts.get(&key).is_some_and(soon) {
                self.found_dead(conn.host_id, conn.rested);
            }
            if !sent && conn.used {
                return self.again(conn.host_id, key);
            }
            return self.finish(key, if sent { Outcome::ConnectionReset } else { Outcome::ConnectFailed });
        }
        let Some(host) = self.hosts.get_mut(&conn.host_id) else { return };
        host.idle.retain(|idle| *idle != id);
        if conn.up {
            if conn.used && host.ready && host.era == conn.era {
                let now = self.env.now();
                self.keep.ended(now, &mut host.trust, now.saturating_sub(conn.idle_since));
            }
            return;
        }
        host.dialing -= 1;
        // It fails the attempt that it was made for, and none that came to wait while it was on its way; nor any
        // where the host is at another address by now, or has started anew: that one is still to be tried.
        let (key, is_outdated) = (conn.opened_for, host.era != conn.era);
        if !is_outdated && host.waiting.len() > host.dialing && host.waiting.contains(&key) {
            self.unqueue(conn.host_id, key);
            self.finish(key, Outcome::ConnectFailed);
        }
        self.redial(conn.host_id);
    }

    /// A connection that had stood idle for so long was of no use any more: others are trusted for less.
    fn found_dead(&mut self, host_id: HostId, rested: Span) {
        if let Some(host) = self.hosts.get_mut(&host_id) {
            self.keep.dead(self.env.now(), &mut host.trust, rested);
        }
    }

    /// An old connection turned out to be of no use before the request was whole on it. That says nothing of
    /// the host, and no attempt was made: another connection takes it.
    fn again(&mut self, host_id: HostId, key: AttemptKey) {
        let Some(host) = self.hosts.get_mut(&host_id).filter(|host| host.ready) else {
            return self.finish(key, Outcome::NotSent);
        };
        if let Some(attempt) = self.attempts.get_mut(&key) {
            (attempt.conn, attempt.stood) = (None, None);
            host.waiting.push_front(key);
            self.serve_waiting(host_id);
            self.redial(host_id);
        }
    }

    /// A connection can carry a request: the first that waits, else it is idle.
    fn free(&mut self, id: ConnId) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        let (host_id, era) = (conn.host_id, conn.era);
        match self.hosts.get_mut(&host_id).filter(|host| host.ready && host.era == era) {
            Some(host) => {
                host.idle.push(id);
                conn.idle_since = self.env.now();
                self.serve_waiting(host_id);
            }
            None => drop(self.close(id)),
        }
        self.redial(host_id);
    }

    /// Each that waits has a dial on its way: an attempt that has just come, or one whose own dial went to an address
    /// that is no more.
    fn redial(&mut self, host_id: HostId) {
        let needy = |host: &&Host| host.ready && host.dialing < host.waiting.len();
        while let Some(key) =
            self.hosts.get(&host_id).filter(needy).and_then(|host| host.waiting.back().copied())
        {
            if self.may_go_out(key) {
                return self.dial(host_id, key);
            }
        }
    }

    /// PROTOCOL's table of what comes back; false: the host does not speak it, and the connection goes.
    fn answered(&mut self, key: AttemptKey, frame: Frame) -> bool {
        let Some(attempt) = self.attempts.remove(&key) else { return false };
        let mut finished = Finished::new(key, &attempt, Outcome::ConnectionReset);
        let known = match frame {
            Frame::Array(parts) => finished.served(&self.site, parts),
            Frame::Error(text) => finished.failed(&self.site, &text),
            _ => false,
        };
        self.finished.push_back(finished);
        known
    }

    fn finish(&mut self, key: AttemptKey, outcome: Outcome) {
        if let Some(attempt) = self.attempts.remove(&key) {
            self.finished.push_back(Finished::new(key, &attempt, outcome));
        }
    }
}

impl Finished {
    fn new(key: AttemptKey, attempt: &Attempt, outcome: Outcome) -> Self {
        let ended = AttemptEnded {
            id: key.0,
            attempt: key.1,
            host: attempt.order.host_id,
            outcome,
            elapsed: 0,
            is_request_closed: false,
            quota_used: None,
            actual_units: None,
            report: None,
        };
        Finished { ended, sent: attempt.sent, stood: attempt.stood, until: attempt.order.until, value: None }
    }

    fn served(&mut self, site: &PlatformSettings, parts: Vec<Frame>) -> bool {
        let Ok([Frame::Bulk(value), figures, report]) = <[Frame; 3]>::try_from(parts) else { return false };
        (self.ended.outcome, self.value) = (Outcome::Ok, Some(value));
        for part in [figures, report] {
            if let Frame::Bulk(text) = part {
                self.figures(site, &text);
            }
        }
        true
    }

    /// Only the words of the table say what has run; others are noise, and it may have.
    fn failed(&mut self, site: &PlatformSettings, text: &[u8]) -> bool {
        let mut words = text.split(|b| *b == b' ');
        self.ended.outcome = match words.next() {
            Some(b"BUSY") => Outcome::Rejected,
            Some(b"ERR") => Outcome::Error,
            _ => return false,
        };
        words.for_each(|word| self.figures(site, word));
        true
    }

    /// Figures on use and a load report are both names with numbers. What no host can mean is left out: it
    /// would move accounts, and what is believed of the load of all.
    fn figures(&mut self, site: &PlatformSettings, text: &[u8]) {
        let Ok(text) = std::str::from_utf8(text) else { return };
        let most_units = if site.max_request_units > 0.0 { site.max_request_units } else { MAX_FIGURE };
        for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
            let Some(value) = value.parse::<f64>().ok().filter(|v| (0.0..=MAX_FIGURE).contains(v)) else {
                continue;
            };
            match name {
                "used" => self.ended.quota_used = Some(value / 100.0),
                "cost" if value > 0.0 && value <= most_units => self.ended.actual_units = Some(value),
                _ if site.responses_carry_reports && site.load_report_fields.iter().any(|f| f == name) => {
                    self.ended.report.get_or_insert_default().set(name, value);
                }
                _ => {}
            }
        }
    }
}

/// Hosts close idle connections at the age in the settings at the latest, and a request written to a closed
/// one ends as a reset: ours go well before.
fn longest_idle(site: &PlatformSettings) -> Span {
    (site.idle_timeout / 2).max(100 * MS)
}

/// A host's number for the module: from its name alone, so nothing need be kept for hosts that are gone, and
/// by a stated function (FNV-1a), so that it is the same in every build.
fn host_id_of(name: &str) -> HostId {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    HostId(name.bytes().fold(0xcbf2_9ce4_8422_2325, mix))
}

fn position(names: &[String], name: &str) -> u32 {
    names.iter().position(|n| n == name).unwrap_or(names.len()) as u32
}

#[cfg(test)]
mod tests;
