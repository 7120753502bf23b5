//! Discovery: the truth about the hosts, and an agent on each gateway's machine that hears of changes late.
//!
//! Each agent draws its own delay for each change, and hears of changes in their order. What it has heard it
//! tells to the watches that are open on it, and to whoever asks for the list. Agents are numbered from 0, as
//! the gateways whose machines they are on.

mod line;
mod watch;

pub use line::{DiscoveryMessage, EndpointStatus};
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

/// A host, as discovery knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its id, the same at every gateway.
    pub id: String,
    /// Its number, in the order of the hosts' coming. Lists are in this order.
    pub host: u32,
    /// Where each gateway reaches it; one without an address here is not told of it. Shared: each agent holds
    /// each host, and a copy for each would grow with the square of the fleet.
    pub addrs: Arc<[SocketAddr]>,
    /// Its building.
    pub zone: String,
    /// What kind of machine it is.
    pub machine_type: String,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// Its size beside others.
    pub weight: f64,
    /// When it last started, Unix time in milliseconds; 0: long ago.
    pub started_ms: u64,
}

/// How discovery gets to know of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Detection {
    /// The host says so itself.
    Announced,
    /// The host died without a word, and is missed after a while.
    TimedOut,
}

/// A change as it was told.
#[derive(Clone, Debug)]
struct Change {
    generation: u64,
    member: Endpoint,
}

/// A change that an agent has not heard of yet.
#[derive(Debug)]
struct Waiting {
    due: Time,
    change: Change,
    /// It has changed places with its neighbour.
    swapped: bool,
}

#[derive(Debug, Default)]
struct Agent {
    waiting: VecDeque<Waiting>,
    /// The latest that it has heard of each host, also of those that are gone.
    known: BTreeMap<String, Change>,
    /// All that it has heard since the first list, in the order in which it heard it.
    log: Vec<Change>,
    /// What was new to it and nobody has asked for, see [`Registry::take_updates`].
    news: Vec<Endpoint>,
    /// The latest generation that it has heard of.
    generation: u64,
}

#[derive(Debug)]
struct Active {
    fault: DiscoveryFault,
    until: Time,
}

/// The truth about the hosts, and what each agent has heard of it.
#[derive(Debug)]
pub struct Registry {
    spec: DiscoverySpec,
    seed: u64,
    generation: u64,
    truth: BTreeMap<String, Endpoint>,
    agents: Vec<Agent>,
    faults: Vec<Active>,
}

impl Registry {
    /// With these hosts, of which the agents of so many gateways know from the start.
    pub fn new(spec: &DiscoverySpec, seed: u64, gateways: u32, members: Vec<Endpoint>) -> Registry {
        let truth: BTreeMap<_, _> = members.into_iter().map(|member| (member.id.clone(), member)).collect();
        let first = |member: &Endpoint| Change { generation: FIRST_GENERATION, member: member.clone() };
        let known: BTreeMap<_, _> = truth.iter().map(|(id, member)| (id.clone(), first(member))).collect();
        let agent = |_| Agent { known: known.clone(), generation: FIRST_GENERATION, ..Agent::default() };
        Registry {
            spec: spec.clone(),
            seed,
            generation: FIRST_GENERATION,
            agents: (0..gateways).map(agent).collect(),
            truth,
            faults: Vec::new(),
        }
    }

    /// How many agents there are.
    pub fn agent_count(&self) -> u32 {
        self.agents.len() as u32
    }

    /// All hosts as they are, those that are gone left out, by number.
    pub fn endpoints(&self) -> Vec<&Endpoint> {
        let mut members: Vec<_> = self.truth.values().collect();
        members.sort_by_key(|member| member.host);
        members
    }

    /// A host is new, or is no longer what it was: all of it as it is from now on. Gives the generation.
    pub fn update(&mut self, now: Time, member: Endpoint, notice: Detection) -> u64 {
        self.generation += 1;
        if member.lifecycle == Lifecycle::Removed {
            self.truth.remove(&member.id);
        } else {
            self.truth.insert(member.id.clone(), member.clone());
        }
        let late = self.late(now);
        let reordered = self.fails(now, |fault| matches!(fault, DiscoveryFault::Reordered));
        for number in 0..self.agents.len() {
            let due = now.saturating_add(self.delay(number, notice)).saturating_add(late);
            let change = Change { generation: self.generation, member: member.clone() };
            self.agents[number].wait(now, due, change, reordered);
        }
        self.generation
    }

    /// Discovery fails until `until`, beside what fails already. [`DiscoveryFault::Late`] and
    /// [`DiscoveryFault::Reordered`] are for the changes that come meanwhile, the others for what is told
    /// meanwhile.
    pub fn inject_fault(&mut self, now: Time, fault: DiscoveryFault, until: Time) {
        self.faults.retain(|active| active.until > now);
        self.faults.push(Active { fault, until });
    }

    /// All faults are over. Delays that were drawn meanwhile stay.
    pub fn clear_faults(&mut self) {
        self.faults.clear();
    }

    /// Until when agents are sent nothing and say nothing, if that is so now.
    pub fn silent_until(&self, now: Time) -> Option<Time> {
        let silences = self.active(now).filter(|active| matches!(active.fault, DiscoveryFault::Silent));
        silences.map(|active| active.until).max()
    }

    /// When a watch opened then is reset, as things are.
    pub fn watch_reset_at(&self, now: Time, opened: Time) -> Option<Time> {
        let cut = |active: &Active| match active.fault {
            DiscoveryFault::Cut(every) => Some(opened.saturating_add(every)),
            _ => None,
        };
        self.active(now).filter_map(cut).min()
    }

    /// When an agent hears of something next, if it does.
    pub fn next_update(&self, now: Time, agent: u32) -> Option<Time> {
        let due = self.agents[agent as usize].waiting.front()?.due;
        Some(due.max(self.silent_until(now).unwrap_or(due)))
    }

    /// Lets an agent hear of what is due, and gives what of all that it has heard was new to it since this was
    /// last asked. It counts as told to the agent's gateway after a while, whether or not that asks for it.
    pub fn take_updates(&mut self, now: Time, agent: u32) -> Vec<EndpointStatus> {
        self.take_in(now, agent);
        let news = std::mem::take(&mut self.agents[agent as usize].news);
        let is_told = |member: &&Endpoint| member.addrs.get(agent as usize).is_some();
        news.iter().filter(is_told).map(EndpointStatus::of).collect()
    }

    /// The whole list that an agent has; `None`: it is silent.
    pub fn endpoint_list(&mut self, now: Time, agent: u32) -> Option<DiscoveryMessage> {
        self.take_in(now, agent);
        self.silent_until(now).is_none().then(|| self.agents[agent as usize].list(agent))
    }

    /// What an agent has heard of after it had heard of this generation, or the whole list if it never has;
    /// `None`: it is silent.
    pub fn changes_after(&mut self, now: Time, agent: u32, generation: u64) -> Option<DiscoveryMessage> {
        self.take_in(now, agent);
        let known = &self.agents[agent as usize];
        let line = || known.changes_after(agent, generation).unwrap_or_else(|| known.list(agent));
        self.silent_until(now).is_none().then(line)
    }

    fn take_in(&mut self, now: Time, agent: u32) {
        if self.silent_until(now).is_some() {
            return;
        }
        let repeats = self.fails(now, |fault| matches!(fault, DiscoveryFault::Repeats));
        let agent = &mut self.agents[agent as usize];
        while agent.waiting.front().is_some_and(|waiting| waiting.due <= now) {
            if let Some(waiting) = agent.waiting.pop_front() {
                agent.hear(waiting.change, repeats);
            }
        }
    }

    /// Lines from this place in the log of an agent on.
    fn lines_from(&self, agent: u32, place: usize) -> Vec<DiscoveryMessage> {
        let heard = &self.agents[agent as usize].log[place..];
        let line =
            |change: &Change| DiscoveryMessage::new(agent, change.generation, false, &[&change.member]);
        heard.iter().map(line).collect()
    }

    fn log_length(&self, agent: u32) -> usize {
        self.agents[agent as usize].log.len()
    }

    fn active(&self, now: Time) -> impl Iterator<Item = &Active> {
        self.faults.iter().filter(move |active| active.until > now)
    }

    fn fails(&self, now: Time, which: impl Fn(&DiscoveryFault) -> bool) -> bool {
        self.active(now).any(|active| which(&active.fault))
    }

    fn late(&self, now: Time) -> Span {
        let late = self.active(now).filter_map(|active| match active.fault {
            DiscoveryFault::Late(by) => Some(by),
            _ => None,
        });
        late.max().unwrap_or(0)
    }

    fn delay(&self, agent: usize, notice: Detection) -> Span {
        let (from, to) = match notice {
            Detection::Announced => self.spec.notice,
            Detection::TimedOut => self.spec.silent_notice,
        };
        let mut rng = Rng::stream(self.seed, "notice", self.generation << 32 | agent as u64);
        from + rng.below(to.saturating_sub(from).saturating_add(1))
    }
}

impl Agent {
    /// Will hear of a change when it is due and all before it have been heard.
    fn wait(&mut self, now: Time, due: Time, change: Change, reordered: bool) {
        let mut waiting = Waiting { due, change, swapped: false };
        let last = self.waiting.back_mut().filter(|last| reordered && last.due > now && !last.swapped);
        if let Some(last) = last {
            std::mem::swap(&mut last.change, &mut waiting.change);
            last.swapped = true;
            waiting.swapped = true;
        }
        self.waiting.push_back(waiting);
    }

    fn hear(&mut self, change: Change, repeats: bool) {
        self.generation = self.generation.max(change.generation);
        let older = |known: &Change| known.generation < change.generation;
        if self.known.get(&change.member.id).is_none_or(older) {
            self.known.insert(change.member.id.clone(), change.clone());
            self.news.push(change.member.clone());
        }
        if repeats {
            self.log.push(change.clone());
        }
        self.log.push(change);
    }

    fn list(&self, agent: u32) -> DiscoveryMessage {
        let members: Vec<_> = self.known.values().map(|change| &change.member).collect();
        DiscoveryMessage::new(agent, self.generation, true, &members)
    }

    /// `None`: it has never heard of this generation. Changes that were told out of order may be told again.
    fn changes_after(&self, agent: u32, generation: u64) -> Option<DiscoveryMessage> {
        let heard = self.log.iter().rposition(|change| change.generation == generation);
        let place = match heard {
            Some(place) => place + 1,
            None if generation == FIRST_GENERATION => 0,
            None => return None,
        };
        let later: BTreeSet<&String> = self.log[place..].iter().map(|change| &change.member.id).collect();
        let changed = |change: &&Change| change.generation > generation || later.contains(&change.member.id);
        let members: Vec<_> = self.known.values().filter(changed).map(|change| &change.member).collect();
        Some(DiscoveryMessage::new(agent, self.generation, false, &members))
    }
}
