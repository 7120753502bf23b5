//! The world: what happens when, to whom.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cluster_model::rng::Rng;
use policy::api::{AttemptEnded, HostId, HostListKind, Outcome, RejectReason, RequestId, Span, Time};
use site_failover::{FailoverController, FailoverPlan, GatewayIdentity, SiteHealth, SiteSet, Transition};

use crate::gateway::{entry, Gateway};
use crate::host::Host;
use crate::setting::{Back, Loss, Setting, Spill, MILLISECOND, SECOND};

/// Gateways look whether their controllers are due this often.
const LOOK: Span = 20 * MILLISECOND;
/// What gateways know of hosts' queues is up to this old.
const REPORTED: Span = 200 * MILLISECOND;
/// An answer within this is in time.
const AIM: Span = 250 * MILLISECOND;
/// More than this in the best queue: it is hopeless.
const HOPELESS: Span = 200 * MILLISECOND;
const ATTEMPTS: u32 = 3;
/// A site that flaps comes and goes this often, this fast.
const FLAPS: u64 = 6;
const FLAP: Span = 10 * SECOND;

/// One second, over the fleet.
#[derive(Clone, Debug, Default)]
pub struct Second {
    /// Attempts sent, by site, without those that were turned away unseen.
    pub sent: Vec<u32>,
    /// Of those, by gateways that withhold the site: trials, and what was under way.
    pub trials: Vec<u32>,
    /// Requests asked for, by cell.
    pub asked: Vec<u32>,
    /// Of those, answered in time.
    pub served: Vec<u32>,
    /// Of those, refused by the ladder.
    pub shed: Vec<u32>,
    /// Of those, given up for want of a slot or a host.
    pub wanting: Vec<u32>,
    /// Rungs shed, in the mean over gateways.
    pub level: f64,
    /// Cold hosts that fell over.
    pub fell: u32,
}

/// A gateway holds a site for something else, or gives it another share.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// When.
    pub at: Time,
    /// The gateway's number.
    pub gateway: u32,
    /// The site's number.
    pub site: usize,
    /// What it was held for.
    pub was: SiteHealth,
    /// What it is held for.
    pub state: SiteHealth,
    /// The share of its load that it may have.
    pub share: f64,
    /// The line for the log.
    pub line: String,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Played {
    /// By second.
    pub seconds: Vec<Second>,
    /// In the order in which they came.
    pub changes: Vec<Change>,
    /// What each gateway let in by cell, whenever that changed: when, which gateway, shares.
    pub keeps: Vec<(Time, u32, Vec<f64>)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Arrives,
    /// A client that comes again.
    Again {
        cell: usize,
        times: u32,
    },
    Ended {
        flight: usize,
    },
    Look,
    /// A site is lost, or comes back.
    Site {
        loss: usize,
        lost: bool,
        last: bool,
    },
}

/// An attempt that is out.
#[derive(Clone, Debug)]
struct Flight {
    id: u64,
    gateway: usize,
    host: usize,
    cell: usize,
    to: SiteSet,
    outcome: Outcome,
    sent: Time,
    came: Time,
    attempt: u32,
    times: u32,
}

struct World<'a> {
    setting: &'a Setting,
    now: Time,
    hosts: Vec<Host>,
    gateways: Vec<Gateway>,
    /// What waits at each host, as last reported.
    waits: Vec<Span>,
    flights: Vec<Option<Flight>>,
    free: Vec<usize>,
    queue: BinaryHeap<Reverse<(Time, u64, What)>>,
    order: u64,
    requests: u64,
    arrivals: Rng,
    chance: Rng,
    played: Played,
}

/// Plays a setting.
pub fn play(setting: &Setting) -> Played {
    let mut world = World::new(setting);
    while let Some(Reverse((at, _, what))) = world.queue.pop() {
        if at >= setting.lasts {
            break;
        }
        world.now = at;
        world.happens(what);
    }
    world.played
}

impl<'a> World<'a> {
    fn new(setting: &'a Setting) -> World<'a> {
        let mut hosts = vec![];
        let capacities = setting.plan.sites.iter().filter_map(|site| site.capacity);
        let mean = capacities.sum::<f64>() / setting.plan.sites.len().max(1) as f64;
        for (site, planned) in setting.plan.sites.iter().enumerate() {
            let capacity = planned.capacity.unwrap_or(0.0);
            let count = (setting.hosts as f64 * capacity / mean.max(1e-9)).round().max(1.0);
            let rate = capacity / count;
            hosts.extend((0..count as u64).map(|_| Host::new(site, rate, setting.cold_share, setting.cold)));
        }
        let entries: Vec<_> = hosts.iter().enumerate().map(|(number, host)| entry(number, host)).collect();
        let plan = match setting.spill {
            Spill::Plan => setting.plan.clone(),
            Spill::HostByHost => {
                FailoverPlan { shedding: setting.plan.shedding.clone(), ..FailoverPlan::default() }
            }
        };
        let gateway = |me: u32| {
            let zone = plan.sites.get(me as usize % plan.sites.len().max(1)).map_or(0, |site| site.zones[0]);
            let fleet = GatewayIdentity { gateways: setting.gateways, gateway_index: me, zone };
            let mut sites = FailoverController::new(plan.clone(), fleet, setting.seed ^ u64::from(me), 0);
            sites.on_host_list(0, HostListKind::Full, &entries);
            Gateway::new(sites, hosts.len())
        };
        let gateways = (0..setting.gateways).map(gateway).collect();
        let seconds = (setting.lasts / SECOND) as usize + 1;
        let (sites, cells) = (setting.plan.sites.len(), setting.traffic.cells.len());
        let second = Second {
            sent: vec![0; sites],
            trials: vec![0; sites],
            asked: vec![0; cells],
            served: vec![0; cells],
            shed: vec![0; cells],
            wanting: vec![0; cells],
            ..Second::default()
        };
        let mut world = World {
            setting,
            now: 0,
            waits: vec![0; hosts.len()],
            hosts,
            gateways,
            flights: vec![],
            free: vec![],
            queue: BinaryHeap::new(),
            order: 0,
            requests: 0,
            arrivals: Rng::stream(setting.seed, "arrivals", 0),
            chance: Rng::stream(setting.seed, "chance", 0),
            played: Played { seconds: vec![second; seconds], ..Played::default() },
        };
        world.at(0, What::Arrives);
        world.at(0, What::Look);
        for (number, loss) in setting.losses.iter().enumerate() {
            world.plan_loss(number, loss);
        }
        world
    }

    fn at(&mut self, at: Time, what: What) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, what)));
    }

    fn plan_loss(&mut self, number: usize, loss: &Loss) {
        let back = loss.at + loss.lasts;
        self.at(loss.at, What::Site { loss: number, lost: true, last: false });
        let flaps = if loss.back == Back::Flapping { FLAPS } else { 0 };
        for flap in 0..flaps {
            let up = back + 2 * FLAP * flap;
            self.at(up, What::Site { loss: number, lost: false, last: false });
            self.at(up + FLAP, What::Site { loss: number, lost: true, last: false });
        }
        self.at(back + 2 * FLAP * flaps, What::Site { loss: number, lost: false, last: true });
    }

    fn second(&mut self, at: Time) -> &mut Second {
        &mut self.played.seconds[(at / SECOND) as usize]
    }

    fn happens(&mut self, what: What) {
        match what {
            What::Arrives => {
                let after = self.arrivals.exponential(SECOND as f64 / self.setting.traffic.rate);
                self.at(self.now + after as Span + 1, What::Arrives);
                let cell = self.draw_cell();
                self.request(cell, 0);
            }
            What::Again { cell, times } => self.request(cell, times),
            What::Ended { flight } => self.ended(flight),
            What::Look => self.look(),
            What::Site { loss, lost, last } => self.site(loss, lost, last),
        }
    }

    fn draw_cell(&mut self) -> usize {
        let cells = &self.setting.traffic.cells;
        let mut drawn = self.arrivals.unit() * cells.iter().sum::<f64>();
        let found = cells.iter().position(|part| {
            drawn -= part;
            drawn < 0.0
        });
        found.unwrap_or(0)
    }

    fn look(&mut self) {
        self.at(self.now + LOOK, What::Look);
        let now = self.now;
        if now % REPORTED == 0 {
            self.waits = self.hosts.iter().map(|host| host.wait(now)).collect();
        }
        let mut level = 0.0;
        for (number, gateway) in self.gateways.iter_mut().enumerate() {
            let turn = gateway.tick(now);
            level += gateway.sites.shedding_level();
            let Some(turn) = turn else { continue };
            for said in turn.transitions {
                let line = said.to_string();
                let Transition::Site { previous: was, current: state, .. } = said else { continue };
                let site = self.setting.plan.sites.iter().position(|site| site.name == state.name);
                let (gateway, site) = (number as u32, site.unwrap_or(0));
                let (state, share) = (state.health, state.traffic_fraction);
                self.played.changes.push(Change { at: now, gateway, site, was, state, share, line });
            }
            if let Some(keep) = turn.admission_fractions {
                self.played.keeps.push((now, number as u32, keep));
            }
        }
        let mean = level / self.gateways.len() as f64;
        self.second(now).level = mean;
    }

    fn site(&mut self, number: usize, lost: bool, last: bool) {
        let loss = self.setting.losses[number];
        let now = self.now;
        let mut entries = vec![];
        let own = self.hosts.iter_mut().enumerate().filter(|(_, host)| host.site == loss.site);
        for (nth, (id, host)) in own.enumerate() {
            let stays_away = loss.back == Back::Half && nth % 2 == 1;
            host.down = (lost || stays_away).then_some(loss.down);
            let cold = matches!(loss.back, Back::Cold | Back::Half | Back::Flapping);
            if !lost && cold {
                host.started = Some(now);
                entries.push(entry(id, host));
            }
            if last && loss.back == Back::Slow {
                host.slow = 3.0;
            }
        }
        if !entries.is_empty() {
            self.gateways
                .iter_mut()
                .for_each(|gateway| gateway.sites.on_host_list(now, HostListKind::Delta, &entries));
        }
    }

    fn request(&mut self, cell: usize, times: u32) {
        let gateway = self.chance.below(self.gateways.len() as u64) as usize;
        let (now, plans) = (self.now, self.setting.plan.shedding.plans.max(1));
        self.requests += 1;
        let id = self.requests;
        self.second(now).asked[cell] += 1;
        let at = &mut self.gateways[gateway];
        at.sites.on_request_received(cell / plans, cell % plans);
        if !at.lets_in(cell, &mut self.chance) {
            self.second(now).shed[cell] += 1;
            return self.comes_again(cell, times);
        }
        let safe = !self.setting.traffic.unsafe_cells.contains(&cell);
        let to = at.sites.allowed_sites(now, RequestId(id), safe);
        let flight = Flight {
            id,
            gateway,
            host: 0,
            cell,
            to,
            outcome: Outcome::Ok,
            sent: now,
            came: now,
            attempt: 0,
            times,
        };
        self.send(flight);
    }

    fn comes_again(&mut self, cell: usize, times: u32) {
        if times < self.setting.traffic.again {
            let after = self.chance.between(1.0, 3.0) * SECOND as f64;
            self.at(self.now + after as Span, What::Again { cell, times: times + 1 });
        }
    }

    fn give_up(&mut self, flight: &Flight, why: RejectReason) {
        self.gateways[flight.gateway].sites.on_request_rejected(why);
        if matches!(why, RejectReason::QueueTooLong | RejectReason::NoHost) {
            self.second(flight.came).wanting[flight.cell] += 1;
        }
        self.comes_again(flight.cell, flight.times);
    }

    fn send(&mut self, mut flight: Flight) {
        let now = self.now;
        let gateway = &self.gateways[flight.gateway];
        let Some(host) = gateway.pick(now, flight.to, &self.hosts, &self.waits, &mut self.chance) else {
            return self.give_up(&flight, RejectReason::NoHost);
        };
        if self.waits[host] > HOPELESS {
            return self.give_up(&flight, RejectReason::QueueTooLong);
        }
        let site = self.hosts[host].site;
        let withheld = gateway.withholds(site);
        let fell = self.hosts[host].fell;
        let (outcome, took) = self.hosts[host].serve(now, &self.setting.trouble, &mut self.chance);
        let fell = self.hosts[host].fell - fell;
        let second = self.second(now);
        second.sent[site] += u32::from(outcome != Outcome::Rejected);
        second.trials[site] += u32::from(withheld);
        second.fell += fell;
        (flight.host, flight.outcome, flight.sent) = (host, outcome, now);
        let slot = self.free.pop().unwrap_or_else(|| {
            self.flights.push(None);
            self.flights.len() - 1
        });
        self.flights[slot] = Some(flight);
        self.at(now + took, What::Ended { flight: slot });
    }

    fn ended(&mut self, slot: usize) {
        let Some(mut flight) = self.flights[slot].take() else { return };
        self.free.push(slot);
        let now = self.now;
        let answered = matches!(flight.outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected);
        let ended = AttemptEnded {
            id: RequestId(flight.id),
            attempt: flight.attempt,
            host: HostId(flight.host as u64),
            outcome: flight.outcome,
            elapsed: now - flight.sent,
            is_request_closed: flight.outcome == Outcome::Ok,
            quota_used: None,
            actual_units: None,
            report: None,
        };
        let gateway = &mut self.gateways[flight.gateway];
        gateway.sites.on_attempt_ended(now, &ended);
        gateway.learn(now, flight.host, answered);
        if flight.outcome == Outcome::Ok {
            if now - flight.came <= AIM {
                self.second(flight.came).served[flight.cell] += 1;
            }
            return;
        }
        let is_unsafe = self.setting.traffic.unsafe_cells.contains(&flight.cell);
        let may_have_run =
            matches!(flight.outcome, Outcome::Timeout | Outcome::ConnectionReset | Outcome::Error);
        if is_unsafe && may_have_run {
            return self.give_up(&flight, RejectReason::NotIdempotent);
        }
        flight.attempt += 1;
        if flight.attempt >= ATTEMPTS || now - flight.came > AIM {
            return self.give_up(&flight, RejectReason::RetriesExhausted);
        }
        self.send(flight);
    }
}
