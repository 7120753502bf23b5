//! Hosts of different sizes: nothing tells a gateway what a size is worth, so it learns from answers.
mod common;
use common::*;
use fennelbeam_policy::api::*;
use fennelbeam_policy::policy::Policy;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

const WORK: Span = 80 * MS;

/// Hosts whose cores each do one attempt at a time; others wait there.
struct World {
    policy: Policy,
    now: Time,
    /// When each core of a host is free.
    cores: BTreeMap<HostId, Vec<Time>>,
    out: BinaryHeap<Reverse<(Time, u64, HostId, Time)>>,
    next: u64,
    sent: BTreeMap<HostId, u64>,
    served: u64,
}

impl World {
    fn new(cores: &[usize]) -> World {
        let mut settings = settings();
        (settings.gateways, settings.counter) = (1, false);
        (settings.plans[0].rate, settings.plans[0].burst) = (0.0, 0.0);
        let mut world = World {
            policy: Policy::new(settings, 1),
            now: 1_000_000 * MS,
            cores: (1..).map(HostId).zip(cores.iter().map(|cores| vec![0; *cores])).collect(),
            out: BinaryHeap::new(),
            next: 0,
            sent: BTreeMap::new(),
            served: 0,
        };
        let size = |(id, cores): (u64, &usize)| HostEntry { size: *cores as f64, ..entry(id) };
        let entries = (1..).zip(cores).map(size).collect();
        world.tell(Event::Hosts { kind: ListKind::Full, entries });
        world
    }

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, event, &mut actions);
        for action in actions {
            let Action::Send { id, host, .. } = action else { continue };
            *self.sent.entry(host).or_default() += 1;
            let free =
                self.cores.get_mut(&host).and_then(|cores| cores.iter_mut().min()).expect("a known host");
            *free = (*free).max(self.now) + WORK;
            self.out.push(Reverse((*free, id.0, host, self.now)));
        }
    }

    /// So many seconds with so many requests in each.
    fn play(&mut self, seconds: u64, rate: u64) {
        for n in 0..seconds * 1_000 {
            self.now += MS;
            while self.out.peek().is_some_and(|Reverse((at, ..))| *at <= self.now) {
                let Some(Reverse((at, id, host, sent))) = self.out.pop() else { break };
                self.served += 1;
                let end = Ended {
                    id: RequestId(id),
                    attempt: 0,
                    host,
                    outcome: Outcome::Ok,
                    took: at - sent,
                    closed: true,
                    used: None,
                    true_units: None,
                    report: None,
                };
                self.tell(Event::Ended(end));
            }
            if n % 20 == 0 {
                self.tell(Event::Timer { token: 0 });
            }
            if n * rate / 1_000 != (n + 1) * rate / 1_000 {
                self.next += 1;
                let patience = 4_000 * MS;
                let (id, customer) = (RequestId(self.next), CustomerId(self.next));
                let request = Request { id, customer, patience, units: 1.0, spread: 1, ..Request::default() };
                self.tell(Event::Request(request));
            }
        }
    }
}

/// A host of one core does 12.5 a second, one of eight 100; 95 a second are 0.84 of both together, and an even share
/// would be four times what the small one can do.
#[test]
fn a_large_host_gets_what_it_can_do_though_nobody_says_what_its_size_is_worth() {
    let mut world = World::new(&[1, 8]);
    world.play(60, 60);
    world.play(60, 95);
    (world.served, world.sent) = (0, BTreeMap::new());
    world.play(30, 95);
    let sent = |host| world.sent.get(&HostId(host)).copied().unwrap_or(0) as f64;
    let large = sent(2) / (sent(1) + sent(2));
    let served = world.served as f64 / (30.0 * 95.0);
    assert!(served > 0.95, "served {served}, {large} of it by the large one");
    assert!((0.80..0.95).contains(&large), "{large} by the large one, served {served}");
}
