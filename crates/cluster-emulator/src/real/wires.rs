//! The links of a real stage: one for each pair of processes that speak, by which each way takes its time and each
//! fault of a scenario acts on real sockets.

use crate::stage::{lock, Post};
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

/// In a replay a fault waits so long for the place at which it began before.
pub(crate) const WAIT: Span = 100_000_000;
/// Faults that a run may have for a trace of it.
const MOST_ASKED: usize = 200_000;

/// Who opens connections to whom.
pub(crate) type Pair = (Post, Post);

/// All links of a stage.
pub(super) struct Wires {
    set: LinkSet,
    site: Site,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// By pair and by where it leads: where it listens.
    links: BTreeMap<(Pair, SocketAddr), (LinkId, SocketAddr)>,
    /// What is wrong, for links that come meanwhile.
    wrong: Vec<Wrong>,
    /// Links that refuse, since nobody is there.
    refusing: BTreeMap<LinkId, FaultId>,
    /// All faults that links were asked for, in order.
    asked: Vec<Asked>,
    /// Faults that did not fit among them.
    unheard: usize,
    /// What is to be played again, on each link in order: those of its faults that are still to come.
    again: BTreeMap<LinkName, VecDeque<(Fault, LastActivity)>>,
}

/// A fault that a link was asked for.
struct Asked {
    link: LinkId,
    name: LinkName,
    fault: Fault,
    lasts: Option<Duration>,
    /// By the scenario; else a way's time, or since nobody is there.
    by_scenario: bool,
}

impl State {
    fn note(&mut self, asked: Asked) {
        if self.asked.len() < MOST_ASKED {
            self.asked.push(asked);
        } else {
            self.unheard += 1;
        }
    }

    /// When a fault that is asked for now begins: at once, or where it did before.
    fn moment(&mut self, name: LinkName, fault: &Fault) -> Trigger {
        let before = self.again.get_mut(&name).and_then(VecDeque::pop_front);
        // Another fault than before has no place of its own.
        let after = before.filter(|(before, _)| before == fault).map(|(_, after)| after);
        let moment = match after {
            None | Some(LastActivity::Nothing) => return AT_ONCE,
            Some(LastActivity::Connecting(n)) => Trigger::Connection(n),
            Some(LastActivity::Passed(Place { connection, way, bytes })) => {
                Trigger::Bytes { connection, way, bytes }
            }
        };
        Trigger::Within { moment: Box::new(moment), wait: Duration::from_nanos(WAIT) }
    }
}

struct Wrong {
    pairs: Vec<Pair>,
    fault: Fault,
    until: Instant,
}

impl Wires {
    /// No links yet.
    pub fn new(site: &Site, seed: u64, descriptors: usize) -> io::Result<Wires> {
        let queue = site.network.window as usize;
        let settings = Settings { seed, descriptors, queue, ..Settings::default() };
        let set = LinkSet::start(settings).map_err(io::Error::other)?;
        Ok(Wires { set, site: site.clone(), state: Mutex::default() })
    }

    /// Where the first of a pair reaches the second, which listens at `target`. The same each time.
    pub fn reach(&self, pair: Pair, target: SocketAddr) -> io::Result<SocketAddr> {
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
            state.note(Asked { link, name, fault: fault.clone(), lasts: None, by_scenario: false });
            entries.push(entry(link, AT_ONCE, fault, None));
        }
        let now = Instant::now();
        state.wrong.retain(|wrong| wrong.until > now);
        let wrong = state.wrong.iter().filter(|wrong| wrong.pairs.contains(&pair));
        let wrong: Vec<(Fault, Duration)> =
            wrong.map(|wrong| (wrong.fault.clone(), wrong.until - now)).collect();
        for (fault, lasts) in wrong {
            entries.push(scenario_entry(&mut state, (link, name), fault, Some(lasts)));
        }
        self.plan(entries)?;
        Ok(address)
    }

    /// What the network itself takes; nothing within a machine.
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

    fn building(&self, post: Post) -> Option<u32> {
        let buildings = self.site.buildings.max(1);
        match post {
            Post::Gateway(number) | Post::Host(number) => Some(number % buildings),
            Post::Counter => Some(self.site.counter.building - 1),
            Post::Clients => None,
        }
    }

    /// Something that lasts is wrong for so long, also with links of these pairs that come meanwhile.
    pub fn fail(&self, pairs: &[Pair], fault: &LinkFault, span: Span) -> io::Result<()> {
        let Some(fault) = lasting(fault) else { return Ok(()) };
        let span = Some(Duration::from_nanos(span));
        self.begin(pairs, &fault, span)?;
        if matches!(fault, Fault::Cut { .. }) {
            // Opening takes both ways.
            self.begin(pairs, &Fault::Unanswered, span)?;
        }
        Ok(())
    }

    /// Resets the connections that there are.
    pub fn reset(&self, pairs: &[Pair]) -> io::Result<()> {
        self.begin(pairs, &Fault::Reset, None)
    }

    /// A process is no more, or is back: links to it refuse meanwhile, as its system would.
    pub fn refuse(&self, to: Post, gone: bool) -> io::Result<()> {
        let mut state = lock(&self.state);
        let there = state.links.iter().filter(|(((a, b), _), _)| *b == to && a != b);
        let there: Vec<(LinkId, LinkName)> =
            there.map(|((pair, target), (link, _))| (*link, (*pair, target.port()))).collect();
        for (link, name) in there {
            if gone {
                if let Slot::Vacant(none) = state.refusing.entry(link) {
                    none.insert(
                        self.set
                            .begin(link, ConnectionSelector::Every, Fault::Refuse)
                            .map_err(io::Error::other)?,
                    );
                    state.note(Asked { link, name, fault: Fault::Refuse, lasts: None, by_scenario: false });
                }
            } else if let Some(fault) = state.refusing.remove(&link) {
                self.set.end(link, fault).map_err(io::Error::other)?;
            }
        }
        Ok(())
    }

    /// Parts two sides for so long.
    pub fn cut(&self, a: &[Post], b: &[Post], span: Span, reset: bool) -> io::Result<()> {
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

    /// All at once, by one word to the thread of the links: they may be hundreds.
    fn begin(&self, pairs: &[Pair], fault: &Fault, lasts: Option<Duration>) -> io::Result<()> {
        let mut state = lock(&self.state);
        let meant = state.links.iter().filter(|((pair, _), _)| pairs.contains(pair));
        let meant: Vec<(LinkId, LinkName)> =
            meant.map(|((pair, target), (link, _))| (*link, (*pair, target.port()))).collect();
        let entries = meant.into_iter().map(|link| scenario_entry(&mut state, link, fault.clone(), lasts));
        let entries: Vec<Entry> = entries.collect();
        self.plan(entries)?;
        if let Some(lasts) = lasts {
            let until = Instant::now() + lasts;
            state.wrong.push(Wrong { pairs: pairs.to_vec(), fault: fault.clone(), until });
        }
        Ok(())
    }

    /// Plays the faults of an earlier run where they began in it, from now on.
    pub fn replay(&self, trace: &RunTrace) {
        let of = |line: &&LinkLine| (line.fault.clone(), line.after);
        let links = trace.by_link().into_iter().map(|(name, lines)| (name, lines.iter().map(of).collect()));
        lock(&self.state).again = links.collect();
    }

    /// Whether faults may begin up to [`WAIT`] late, since they are those of an earlier run.
    pub fn replays(&self) -> bool {
        !lock(&self.state).again.is_empty()
    }

    /// Faults of the scenario and where they began; times count from `start`, on a clock that showed `began` when
    /// the links were started.
    pub fn done(&self, began: Time, start: Time) -> Result<Vec<LinkLine>, String> {
        let trace = self.set.trace().map_err(|error| error.to_string())?;
        if trace.lost() > 0 {
            return Err(format!("links did so much that their first {} deeds are forgotten", trace.lost()));
        }
        let state = lock(&self.state);
        if state.unheard > 0 {
            return Err(format!(
                "{} faults of links are more than a trace holds",
                state.asked.len() + state.unheard
            ));
        }
        let mut open: BTreeMap<LinkId, Vec<&Asked>> = BTreeMap::new();
        for asked in &state.asked {
            open.entry(asked.link).or_default().push(asked);
        }
        let mut lines = Vec::new();
        for event in trace.events() {
            let EventKind::Began { fault, after, .. } = &event.what else { continue };
            let Some(asked) = open.get_mut(&event.link) else { continue };
            // One that waits for its place may begin after a later one.
            let Some(at) = asked.iter().position(|asked| asked.fault == *fault) else { continue };
            let Asked { name, fault, lasts, by_scenario, .. } = asked.remove(at);
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

/// A time that is over.
const AT_ONCE: Trigger = Trigger::At(Duration::ZERO);

/// On all connections.
fn entry(link: LinkId, when: Trigger, fault: Fault, lasts: Option<Duration>) -> Entry {
    Entry { link, when, who: ConnectionSelector::Every, fault: Some(fault), lasts }
}

/// A fault that the scenario asks for.
fn scenario_entry(
    state: &mut State,
    (link, name): (LinkId, LinkName),
    fault: Fault,
    lasts: Option<Duration>,
) -> Entry {
    let when = state.moment(name, &fault);
    state.note(Asked { link, name, fault: fault.clone(), lasts, by_scenario: true });
    entry(link, when, fault, lasts)
}

fn way(way: LinkDirection) -> Directions {
    match way {
        LinkDirection::Both => Directions::Both,
        LinkDirection::FromInitiator => Directions::Calls,
        LinkDirection::ToInitiator => Directions::Answers,
    }
}

/// In the words of the links; nothing of what happens at one moment.
fn lasting(fault: &LinkFault) -> Option<Fault> {
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

    const PAIR: Pair = (Post::Gateway(0), Post::Counter);

    /// Whether a byte comes through a link to `target`, asked for once more and within 0.3 s.
    fn passes(wires: &Wires, pair: Pair, target: &TcpListener) -> bool {
        let address = wires.reach(pair, target.local_addr().unwrap()).unwrap();
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
    fn what_is_wrong_with_a_pair_is_wrong_with_links_that_come_later_and_with_no_other_pair() {
        let wires = Wires::new(&Site::default(), 1, 100).unwrap();
        let [old, new, other] = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
        assert!(passes(&wires, PAIR, &old));
        wires.cut(&[PAIR.0], &[PAIR.1], 3_600_000_000_000, false).unwrap();
        assert!(!passes(&wires, PAIR, &old));
        assert!(!passes(&wires, PAIR, &new), "it came while the pair was cut");
        assert!(passes(&wires, (Post::Gateway(1), Post::Counter), &other));
    }

    #[test]
    fn ways_within_a_building_between_buildings_and_from_clients_take_their_times() {
        let site = Site { buildings: 3, ..Site::default() };
        let wires = Wires::new(&site, 1, 100).unwrap();
        let us = |a, b| match wires.delay((a, b)) {
            Some(Fault::Delay { base, .. }) => base.as_micros(),
            _ => 0,
        };
        assert_eq!(us(Post::Gateway(0), Post::Host(3)), 200);
        assert_eq!(us(Post::Gateway(0), Post::Host(1)), 1000);
        assert_eq!(us(Post::Gateway(3), Post::Counter), 200);
        assert_eq!(us(Post::Clients, Post::Gateway(0)), 600);
        assert_eq!(us(Post::Gateway(0), Post::Gateway(0)), 0);
    }
}
