//! The links of a real backend: one for each pair of processes that communicate. Links emulate the latency of the network
//! and apply the link faults of a scenario to real sockets.

use crate::backend::{lock, MachineRole};
use crate::trace::{LinkLine, LinkName, RunTrace};
use cluster_model::scenario::{LinkDirection, LinkFault, Site};
use fault_proxy::{
    ConnectionSelector, Directions, Entry, EventKind, Fault, FaultId, Framing, LastActivity, LinkId, LinkSet,
    LinkSpec, Place, Plan, Settings, Trigger,
};
use runtime::{Span, Time};
use std::collections::btree_map::{BTreeMap, Entry as Slot};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Bytes of a KiB.
const KIB: f64 = 1024.0;

/// Nanoseconds that a fault in a replay waits for the position at which it started in the earlier run.
pub(crate) const REPLAY_WAIT: Span = 100_000_000;
/// Most link faults in a trace.
const MAX_TRACED_FAULTS: usize = 200_000;

/// The connecting and the accepting machine of a link.
pub(crate) type Pair = (MachineRole, MachineRole);

/// All links of a backend.
pub(super) struct Links {
    set: LinkSet,
    site: Site,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// The listen address of each link, by pair and target address.
    links: BTreeMap<(Pair, SocketAddr), (LinkId, SocketAddr)>,
    /// Active faults, for links that are added later.
    active_faults: Vec<ActiveFault>,
    /// Links that refuse connections, since the target process is down.
    refusing: BTreeMap<LinkId, FaultId>,
    /// All requested link faults, in order.
    requested: Vec<RequestedFault>,
    /// Number of requested faults over the limit.
    unrecorded: usize,
    /// Faults of the earlier run that have not started yet, in order for each link.
    replay: BTreeMap<LinkName, VecDeque<(Fault, LastActivity)>>,
}

/// A requested link fault.
struct RequestedFault {
    link: LinkId,
    name: LinkName,
    fault: Fault,
    lasts: Option<Duration>,
    /// Requested by the scenario; else it emulates network latency or a process that is down.
    by_scenario: bool,
}

impl State {
    fn note(&mut self, requested: RequestedFault) {
        if self.requested.len() < MAX_TRACED_FAULTS {
            self.requested.push(requested);
        } else {
            self.unrecorded += 1;
        }
    }

    /// Returns the start of a fault requested now: at once, or at its position in the earlier run.
    fn moment(&mut self, name: LinkName, fault: &Fault) -> Trigger {
        let before = self.replay.get_mut(&name).and_then(VecDeque::pop_front);
        // A fault that differs from the earlier run has no position.
        let after = before.filter(|(before, _)| before == fault).map(|(_, after)| after);
        let moment = match after {
            None | Some(LastActivity::Nothing) => return AT_ONCE,
            Some(LastActivity::Connecting(n)) => Trigger::Connection(n),
            Some(LastActivity::Passed(Place { connection, way, bytes })) => {
                Trigger::Bytes { connection, way, bytes }
            }
        };
        Trigger::Within { moment: Box::new(moment), wait: Duration::from_nanos(REPLAY_WAIT) }
    }
}

struct ActiveFault {
    pairs: Vec<Pair>,
    fault: Fault,
    until: Instant,
}

impl Links {
    /// Creates a set without links.
    pub fn new(site: &Site, seed: u64, descriptors: usize) -> io::Result<Links> {
        let queue = site.network.window as usize;
        let settings = Settings { seed, descriptors, queue, ..Settings::default() };
        let set = LinkSet::start(settings).map_err(io::Error::other)?;
        Ok(Links { set, site: site.clone(), state: Mutex::default() })
    }

    /// Returns the address at which the first machine of a pair connects to the second, which listens at `target`. The
    /// same arguments return the same address.
    pub fn dial_address(&self, pair: Pair, target: SocketAddr) -> io::Result<SocketAddr> {
        let mut state = lock(&self.state);
        if let Some((_, address)) = state.links.get(&(pair, target)) {
            return Ok(*address);
        }
        let name = format!("{:?} to {:?}", pair.0, pair.1);
        let spec = LinkSpec::to(&name, target).messages(Framing::None);
        let (link, address) = self.set.add(spec).map_err(io::Error::other)?;
        state.links.insert((pair, target), (link, address));
        let name = (pair, target.port());
        let mut entries = Vec::new();
        if let Some(fault) = self.delay(pair) {
            state.note(RequestedFault { link, name, fault: fault.clone(), lasts: None, by_scenario: false });
            entries.push(entry(link, AT_ONCE, fault, None));
        }
        let now = Instant::now();
        state.active_faults.retain(|active| active.until > now);
        let active = state.active_faults.iter().filter(|active| active.pairs.contains(&pair));
        let active: Vec<(Fault, Duration)> =
            active.map(|active| (active.fault.clone(), active.until - now)).collect();
        for (fault, lasts) in active {
            entries.push(scenario_entry(&mut state, (link, name), fault, Some(lasts)));
        }
        self.plan(entries)?;
        Ok(address)
    }

    /// Returns the network latency between two machines; none within a machine.
    fn delay(&self, (a, b): Pair) -> Option<Fault> {
        if a == b {
            return None;
        }
        let network = &self.site.network;
        let one_way = match (self.building(a), self.building(b)) {
            (Some(one), Some(two)) if one == two => network.intra_building,
            (Some(_), Some(_)) => network.inter_building,
            _ => network.client,
        };
        let jitter = Duration::from_nanos((one_way as f64 * network.jitter) as u64);
        Some(Fault::Delay { way: Directions::Both, base: Duration::from_nanos(one_way), jitter })
    }

    fn building(&self, role: MachineRole) -> Option<u32> {
        let buildings = self.site.buildings.max(1);
        match role {
            MachineRole::Gateway(number) | MachineRole::Host(number) => Some(number % buildings),
            MachineRole::Counter => Some(self.site.counter.building - 1),
            MachineRole::Clients => None,
        }
    }

    /// Starts a lasting fault on the links of these pairs, also on those added meanwhile.
    pub fn fail(&self, pairs: &[Pair], fault: &LinkFault, span: Span) -> io::Result<()> {
        let Some(fault) = convert_fault(fault) else { return Ok(()) };
        let span = Some(Duration::from_nanos(span));
        self.begin(pairs, &fault, span)?;
        if matches!(fault, Fault::Cut { .. }) {
            // A new connection needs both directions.
            self.begin(pairs, &Fault::Unanswered, span)?;
        }
        Ok(())
    }

    /// Resets the open connections.
    pub fn reset(&self, pairs: &[Pair]) -> io::Result<()> {
        self.begin(pairs, &Fault::Reset, None)
    }

    /// Sets whether links to a machine refuse connections, as its system does while the process is down.
    pub fn set_refusing(&self, to: MachineRole, refusing: bool) -> io::Result<()> {
        let mut state = lock(&self.state);
        let matching = state.links.iter().filter(|(((a, b), _), _)| *b == to && a != b);
        let matching: Vec<(LinkId, LinkName)> =
            matching.map(|((pair, target), (link, _))| (*link, (*pair, target.port()))).collect();
        for (link, name) in matching {
            if refusing {
                if let Slot::Vacant(entry) = state.refusing.entry(link) {
                    entry.insert(
                        self.set
                            .begin(link, ConnectionSelector::Every, Fault::Refuse)
                            .map_err(io::Error::other)?,
                    );
                    state.note(RequestedFault {
                        link,
                        name,
                        fault: Fault::Refuse,
                        lasts: None,
                        by_scenario: false,
                    });
                }
            } else if let Some(fault) = state.refusing.remove(&link) {
                self.set.end(link, fault).map_err(io::Error::other)?;
            }
        }
        Ok(())
    }

    /// Partitions two sides for this time.
    pub fn partition(&self, a: &[MachineRole], b: &[MachineRole], span: Span, reset: bool) -> io::Result<()> {
        let both = a.iter().flat_map(|a| b.iter().flat_map(|b| [(*a, *b), (*b, *a)]));
        let pairs: Vec<Pair> = both.filter(|(a, b)| a != b).collect();
        let span = Some(Duration::from_nanos(span));
        if !reset {
            self.begin(&pairs, &Fault::Cut { way: Directions::Both }, span)?;
            return self.begin(&pairs, &Fault::Unanswered, span);
        }
        self.begin(&pairs, &Fault::Reset, None)?;
        self.begin(&pairs, &Fault::Refuse, span)
    }

    /// Starts a fault on all links of these pairs by one message to the thread of the links, since there may be hundreds.
    fn begin(&self, pairs: &[Pair], fault: &Fault, lasts: Option<Duration>) -> io::Result<()> {
        let mut state = lock(&self.state);
        let matching = state.links.iter().filter(|((pair, _), _)| pairs.contains(pair));
        let matching: Vec<(LinkId, LinkName)> =
            matching.map(|((pair, target), (link, _))| (*link, (*pair, target.port()))).collect();
        let entries = matching.into_iter().map(|link| scenario_entry(&mut state, link, fault.clone(), lasts));
        let entries: Vec<Entry> = entries.collect();
        self.plan(entries)?;
        if let Some(lasts) = lasts {
            let until = Instant::now() + lasts;
            state.active_faults.push(ActiveFault { pairs: pairs.to_vec(), fault: fault.clone(), until });
        }
        Ok(())
    }

    /// Starts later faults at their positions in an earlier run.
    pub fn replay(&self, trace: &RunTrace) {
        let of = |line: &&LinkLine| (line.fault.clone(), line.after);
        let links = trace.by_link().into_iter().map(|(name, lines)| (name, lines.iter().map(of).collect()));
        lock(&self.state).replay = links.collect();
    }

    /// Whether faults may start up to [`REPLAY_WAIT`] late, since they replay an earlier run.
    pub fn is_replay(&self) -> bool {
        !lock(&self.state).replay.is_empty()
    }

    /// Returns the faults of the scenario and their start positions; times count from `start`, on a clock that read `began`
    /// at the start of the links.
    pub fn trace_lines(&self, began: Time, start: Time) -> Result<Vec<LinkLine>, String> {
        let trace = self.set.trace().map_err(|error| error.to_string())?;
        if trace.lost() > 0 {
            return Err(format!("the trace of the links has lost its first {} events", trace.lost()));
        }
        let state = lock(&self.state);
        if state.unrecorded > 0 {
            return Err(format!(
                "{} link faults are more than a trace holds",
                state.requested.len() + state.unrecorded
            ));
        }
        let mut open: BTreeMap<LinkId, Vec<&RequestedFault>> = BTreeMap::new();
        for requested in &state.requested {
            open.entry(requested.link).or_default().push(requested);
        }
        let mut lines = Vec::new();
        for event in trace.events() {
            let EventKind::Began { fault, after, .. } = &event.what else { continue };
            let Some(requested) = open.get_mut(&event.link) else { continue };
            // A fault that waits for its position may start after a later one.
            let Some(at) = requested.iter().position(|requested| requested.fault == *fault) else { continue };
            let RequestedFault { name, fault, lasts, by_scenario, .. } = requested.remove(at);
            if *by_scenario {
                let at = (began + event.at.as_nanos() as Time) as i64 - start as i64;
                lines.push(LinkLine { at, link: *name, fault: fault.clone(), lasts: *lasts, after: *after });
            }
        }
        Ok(lines)
    }

    fn plan(&self, entries: Vec<Entry>) -> io::Result<()> {
        let plan = entries.into_iter().fold(Plan::new(), Plan::entry);
        if plan.entries().is_empty() {
            return Ok(());
        }
        self.set.plan(plan).map_err(io::Error::other)
    }
}

/// A time in the past, which starts a fault at once.
const AT_ONCE: Trigger = Trigger::At(Duration::ZERO);

/// Returns a plan entry for all connections of a link.
fn entry(link: LinkId, when: Trigger, fault: Fault, lasts: Option<Duration>) -> Entry {
    Entry { link, when, who: ConnectionSelector::Every, fault: Some(fault), lasts }
}

/// Records a fault requested by the scenario and returns its plan entry.
fn scenario_entry(
    state: &mut State,
    (link, name): (LinkId, LinkName),
    fault: Fault,
    lasts: Option<Duration>,
) -> Entry {
    let when = state.moment(name, &fault);
    state.note(RequestedFault { link, name, fault: fault.clone(), lasts, by_scenario: true });
    entry(link, when, fault, lasts)
}

fn way(way: LinkDirection) -> Directions {
    match way {
        LinkDirection::Both => Directions::Both,
        LinkDirection::FromInitiator => Directions::Calls,
        LinkDirection::ToInitiator => Directions::Answers,
    }
}

/// Converts a lasting fault of the scenario; returns nothing for instantaneous and flapping ones.
fn convert_fault(fault: &LinkFault) -> Option<Fault> {
    Some(match fault {
        LinkFault::Hold(held) => Fault::Hold { way: way(*held) },
        LinkFault::Blackhole(cut) => Fault::Cut { way: way(*cut) },
        LinkFault::Delay(from, to) => Fault::Delay {
            way: Directions::Both,
            base: Duration::from_nanos(*from),
            jitter: Duration::from_nanos(to.saturating_sub(*from)),
        },
        LinkFault::RateLimit(rate) => Fault::Rate { way: Directions::Both, bytes_per_s: (rate * KIB) as u64 },
        LinkFault::Reset | LinkFault::Flap(_) => return None,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{ErrorKind, Read, Write};
    use std::net::{TcpListener, TcpStream};

    const PAIR: Pair = (MachineRole::Gateway(0), MachineRole::Counter);

    /// Whether a byte passes a link to `target` within 0.3 s on a new connection.
    fn passes(links: &Links, pair: Pair, target: &TcpListener) -> bool {
        let address = links.dial_address(pair, target.local_addr().unwrap()).unwrap();
        target.set_nonblocking(true).unwrap();
        let until = Instant::now() + Duration::from_millis(300);
        let Ok(mut near) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) else {
            return false;
        };
        if near.write_all(b"x").is_err() {
            return false;
        }
        while Instant::now() < until {
            match target.accept() {
                Ok((mut far, _)) => {
                    far.set_nonblocking(false).unwrap();
                    far.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
                    return far.read_exact(&mut [0]).is_ok();
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => std::thread::yield_now(),
                Err(error) => panic!("{error}"),
            }
        }
        false
    }

    #[test]
    fn a_partition_applies_to_later_links_of_its_pair_and_to_no_other_pair() {
        let links = Links::new(&Site::default(), 1, 100).unwrap();
        let [old, new, other] = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
        assert!(passes(&links, PAIR, &old));
        links.partition(&[PAIR.0], &[PAIR.1], 3_600_000_000_000, false).unwrap();
        assert!(!passes(&links, PAIR, &old));
        assert!(!passes(&links, PAIR, &new), "added during the partition");
        assert!(passes(&links, (MachineRole::Gateway(1), MachineRole::Counter), &other));
    }

    #[test]
    fn latency_depends_on_the_buildings_of_both_ends() {
        let site = Site { buildings: 3, ..Site::default() };
        let links = Links::new(&site, 1, 100).unwrap();
        let us = |a, b| match links.delay((a, b)) {
            Some(Fault::Delay { base, .. }) => base.as_micros(),
            _ => 0,
        };
        assert_eq!(us(MachineRole::Gateway(0), MachineRole::Host(3)), 200);
        assert_eq!(us(MachineRole::Gateway(0), MachineRole::Host(1)), 1000);
        assert_eq!(us(MachineRole::Gateway(3), MachineRole::Counter), 200);
        assert_eq!(us(MachineRole::Clients, MachineRole::Gateway(0)), 600);
        assert_eq!(us(MachineRole::Gateway(0), MachineRole::Gateway(0)), 0);
    }
}
