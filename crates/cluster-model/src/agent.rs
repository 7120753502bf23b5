//! Discovery: the registry of hosts, and an agent on each gateway's machine that learns of changes with a delay.
//!
//! Each agent draws its own delay for each change, and learns of changes in their order. It sends the changes to the
//! watches that are open on it, and the list to clients that request it. Agents have the numbers of their gateways,
//! from 0.

mod message;
mod watch;

pub use message::{DiscoveryMessage, EndpointStatus};
pub use watch::{Watch, HEARTBEAT_INTERVAL};

use crate::observation::Lifecycle;
use crate::rng::Rng;
use crate::scenario::{DiscoveryFault, DiscoverySpec};
use crate::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Generation of the list that all agents have at the start.
pub const FIRST_GENERATION: u64 = 1;

/// A host in discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Id of the host, the same at every gateway.
    pub id: String,
    /// Number of the host, in the order in which hosts were added. Lists are in this order.
    pub host: u32,
    /// Address of the host at each gateway; a gateway without an address here is not notified of the host. Shared,
    /// because each agent stores each host, and a copy for each would grow with the square of the fleet.
    pub addrs: Arc<[SocketAddr]>,
    /// Building of the host.
    pub zone: String,
    /// Machine type of the host.
    pub machine_type: String,
    /// Cell of the host.
    pub cell: u32,
    /// State of the host.
    pub lifecycle: Lifecycle,
    /// Size of the host relative to others.
    pub weight: f64,
    /// When the host last started, Unix time in milliseconds; 0 if it started before the run.
    pub started_ms: u64,
}

/// How discovery learns of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Detection {
    /// The host announces the change itself.
    Announced,
    /// The host crashed silently, and discovery detects it after a timeout.
    TimedOut,
}

/// A change in the registry.
#[derive(Clone, Debug)]
struct Change {
    generation: u64,
    endpoint: Endpoint,
}

/// A change that an agent has not learned of yet.
#[derive(Debug)]
struct PendingChange {
    deliver_at: Time,
    change: Change,
    /// Whether the change has swapped places with its neighbour.
    swapped: bool,
}

#[derive(Debug, Default)]
struct Agent {
    pending: VecDeque<PendingChange>,
    /// The latest known change of each host, including removed ones.
    known: BTreeMap<String, Change>,
    /// All changes that the agent has learned of since the first list, in the order of delivery.
    log: Vec<Change>,
    /// New states that have not been taken by [`Registry::take_updates`].
    updates: Vec<Endpoint>,
    /// The latest generation that the agent has learned of.
    generation: u64,
}

#[derive(Debug)]
struct ActiveFault {
    fault: DiscoveryFault,
    until: Time,
}

/// The actual state of the hosts, and what each agent knows of it.
#[derive(Debug)]
pub struct Registry {
    spec: DiscoverySpec,
    seed: u64,
    generation: u64,
    endpoints: BTreeMap<String, Endpoint>,
    agents: Vec<Agent>,
    faults: Vec<ActiveFault>,
}

impl Registry {
    /// Creates a registry with these hosts, which the agents of all gateways know from the start.
    pub fn new(spec: &DiscoverySpec, seed: u64, gateways: u32, endpoints: Vec<Endpoint>) -> Registry {
        let endpoints: BTreeMap<_, _> =
            endpoints.into_iter().map(|endpoint| (endpoint.id.clone(), endpoint)).collect();
        let first = |endpoint: &Endpoint| Change { generation: FIRST_GENERATION, endpoint: endpoint.clone() };
        let known: BTreeMap<_, _> =
            endpoints.iter().map(|(id, endpoint)| (id.clone(), first(endpoint))).collect();
        let agent = |_| Agent { known: known.clone(), generation: FIRST_GENERATION, ..Agent::default() };
        Registry {
            spec: spec.clone(),
            seed,
            generation: FIRST_GENERATION,
            agents: (0..gateways).map(agent).collect(),
            endpoints,
            faults: Vec::new(),
        }
    }

    /// Number of agents.
    pub fn agent_count(&self) -> u32 {
        self.agents.len() as u32
    }

    /// The current state of all hosts except removed ones, by number.
    pub fn endpoints(&self) -> Vec<&Endpoint> {
        let mut endpoints: Vec<_> = self.endpoints.values().collect();
        endpoints.sort_by_key(|endpoint| endpoint.host);
        endpoints
    }

    /// Adds a host or replaces its state with this one, and returns the new generation.
    pub fn update(&mut self, now: Time, endpoint: Endpoint, detection: Detection) -> u64 {
        self.generation += 1;
        if endpoint.lifecycle == Lifecycle::Removed {
            self.endpoints.remove(&endpoint.id);
        } else {
            self.endpoints.insert(endpoint.id.clone(), endpoint.clone());
        }
        let lateness = self.lateness(now);
        let reordered = self.has_fault(now, |fault| matches!(fault, DiscoveryFault::Reordered));
        for number in 0..self.agents.len() {
            let deliver_at = now.saturating_add(self.delay(number, detection)).saturating_add(lateness);
            let change = Change { generation: self.generation, endpoint: endpoint.clone() };
            self.agents[number].enqueue(now, deliver_at, change, reordered);
        }
        self.generation
    }

    /// Adds a fault that lasts until `until`, in addition to those already active. [`DiscoveryFault::Delayed`] and
    /// [`DiscoveryFault::Reordered`] affect the changes that are made in that time, the others affect the messages
    /// that are sent in that time.
    pub fn inject_fault(&mut self, now: Time, fault: DiscoveryFault, until: Time) {
        self.faults.retain(|active| active.until > now);
        self.faults.push(ActiveFault { fault, until });
    }

    /// Ends all faults. Delays that have already been drawn remain.
    pub fn clear_faults(&mut self) {
        self.faults.clear();
    }

    /// When the current silence ends, in which agents neither receive nor send anything; `None` if there is none.
    pub fn silent_until(&self, now: Time) -> Option<Time> {
        let silences =
            self.active_faults(now).filter(|active| matches!(active.fault, DiscoveryFault::Stalled));
        silences.map(|active| active.until).max()
    }

    /// When a watch opened at `opened` is reset under the current faults.
    pub fn watch_reset_at(&self, now: Time, opened: Time) -> Option<Time> {
        let reset_at = |active: &ActiveFault| match active.fault {
            DiscoveryFault::WatchReset(interval) => Some(opened.saturating_add(interval)),
            _ => None,
        };
        self.active_faults(now).filter_map(reset_at).min()
    }

    /// When an agent learns of the next change, if one is pending.
    pub fn next_update(&self, now: Time, agent: u32) -> Option<Time> {
        let deliver_at = self.agents[agent as usize].pending.front()?.deliver_at;
        Some(deliver_at.max(self.silent_until(now).unwrap_or(deliver_at)))
    }

    /// Delivers pending changes to an agent and returns the new states that it has learned of since the last call.
    /// The agent's gateway is deemed notified of them after a delay, whether or not it requests the list.
    pub fn take_updates(&mut self, now: Time, agent: u32) -> Vec<EndpointStatus> {
        self.deliver_updates(now, agent);
        let updates = std::mem::take(&mut self.agents[agent as usize].updates);
        let is_reachable = |endpoint: &&Endpoint| endpoint.addrs.get(agent as usize).is_some();
        updates.iter().filter(is_reachable).map(EndpointStatus::of).collect()
    }

    /// The complete list of an agent; `None` while the agent is silent.
    pub fn endpoint_list(&mut self, now: Time, agent: u32) -> Option<DiscoveryMessage> {
        self.deliver_updates(now, agent);
        self.silent_until(now).is_none().then(|| self.agents[agent as usize].list(agent))
    }

    /// The changes that an agent has learned of after this generation, or the complete list if the agent does not
    /// know the generation; `None` while the agent is silent.
    pub fn changes_after(&mut self, now: Time, agent: u32, generation: u64) -> Option<DiscoveryMessage> {
        self.deliver_updates(now, agent);
        let known = &self.agents[agent as usize];
        let message = || known.changes_after(agent, generation).unwrap_or_else(|| known.list(agent));
        self.silent_until(now).is_none().then(message)
    }

    fn deliver_updates(&mut self, now: Time, agent: u32) {
        if self.silent_until(now).is_some() {
            return;
        }
        let repeats = self.has_fault(now, |fault| matches!(fault, DiscoveryFault::Duplicated));
        let agent = &mut self.agents[agent as usize];
        while agent.pending.front().is_some_and(|pending| pending.deliver_at <= now) {
            if let Some(pending) = agent.pending.pop_front() {
                agent.learn(pending.change, repeats);
            }
        }
    }

    /// One message for each change in an agent's log from this index on.
    fn messages_from(&self, agent: u32, index: usize) -> Vec<DiscoveryMessage> {
        let changes = &self.agents[agent as usize].log[index..];
        let message =
            |change: &Change| DiscoveryMessage::new(agent, change.generation, false, &[&change.endpoint]);
        changes.iter().map(message).collect()
    }

    fn log_length(&self, agent: u32) -> usize {
        self.agents[agent as usize].log.len()
    }

    fn active_faults(&self, now: Time) -> impl Iterator<Item = &ActiveFault> {
        self.faults.iter().filter(move |active| active.until > now)
    }

    fn has_fault(&self, now: Time, is_match: impl Fn(&DiscoveryFault) -> bool) -> bool {
        self.active_faults(now).any(|active| is_match(&active.fault))
    }

    fn lateness(&self, now: Time) -> Span {
        let lateness = self.active_faults(now).filter_map(|active| match active.fault {
            DiscoveryFault::Delayed(by) => Some(by),
            _ => None,
        });
        lateness.max().unwrap_or(0)
    }

    fn delay(&self, agent: usize, detection: Detection) -> Span {
        let (from, to) = match detection {
            Detection::Announced => self.spec.update_delay,
            Detection::TimedOut => self.spec.crash_detection_delay,
        };
        let mut rng = Rng::stream(self.seed, "notice", self.generation << 32 | agent as u64);
        from + rng.below(to.saturating_sub(from).saturating_add(1))
    }
}

impl Agent {
    /// Enqueues a change for delivery at `deliver_at`, after all earlier changes.
    fn enqueue(&mut self, now: Time, deliver_at: Time, change: Change, reordered: bool) {
        let mut pending = PendingChange { deliver_at, change, swapped: false };
        let last = self.pending.back_mut().filter(|last| reordered && last.deliver_at > now && !last.swapped);
        if let Some(last) = last {
            std::mem::swap(&mut last.change, &mut pending.change);
            last.swapped = true;
            pending.swapped = true;
        }
        self.pending.push_back(pending);
    }

    fn learn(&mut self, change: Change, repeats: bool) {
        self.generation = self.generation.max(change.generation);
        let is_older = |known: &Change| known.generation < change.generation;
        if self.known.get(&change.endpoint.id).is_none_or(is_older) {
            self.known.insert(change.endpoint.id.clone(), change.clone());
            self.updates.push(change.endpoint.clone());
        }
        if repeats {
            self.log.push(change.clone());
        }
        self.log.push(change);
    }

    fn list(&self, agent: u32) -> DiscoveryMessage {
        let endpoints: Vec<_> = self.known.values().map(|change| &change.endpoint).collect();
        DiscoveryMessage::new(agent, self.generation, true, &endpoints)
    }

    /// Returns `None` if the agent does not know this generation. Changes that were delivered out of order may be
    /// sent again.
    fn changes_after(&self, agent: u32, generation: u64) -> Option<DiscoveryMessage> {
        let found = self.log.iter().rposition(|change| change.generation == generation);
        let index = match found {
            Some(index) => index + 1,
            None if generation == FIRST_GENERATION => 0,
            None => return None,
        };
        let later: BTreeSet<&String> = self.log[index..].iter().map(|change| &change.endpoint.id).collect();
        let is_changed =
            |change: &&Change| change.generation > generation || later.contains(&change.endpoint.id);
        let endpoints: Vec<_> =
            self.known.values().filter(is_changed).map(|change| &change.endpoint).collect();
        Some(DiscoveryMessage::new(agent, self.generation, false, &endpoints))
    }
}
