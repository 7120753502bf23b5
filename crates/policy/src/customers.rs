//! All customers that this gateway knows: found by their number, kept small while they come seldom, forgotten
//! when they have not asked for long, and never more than there is room for.
//!
//! Room is counted in bytes. Where a customer that asks needs more than is left, it is made in this order,
//! each time from those that have been silent for longest: of those that asked once, full ones become small;
//! small ones are forgotten; of those that came again, full ones that have not asked since they were looked
//! at last become small; and these are forgotten. Nobody of whom something is in hand, or owed to the
//! counter, or whose ceiling has yet to fill, is touched.

use crate::api::{CustomerId, Plan, RequestId, Settings, Span, Time};
use crate::customer::{Customer, Small as Form};
use crate::slab::{Line, Slab};
use foldhash::fast::FixedState;
use hashbrown::HashTable;
use std::collections::HashMap;
use std::hash::BuildHasher;

/// Who has not asked for this long is forgotten.
const FORGOTTEN: Span = crate::names::EPOCH;
/// How often it is looked whether somebody who came again is to be forgotten.
const LOOKS: Span = FORGOTTEN / 2;
/// Customers looked at in one go, and for the sake of one that needs room.
const LOOKED_AT: u64 = 128;
const LOOKED_AT_FOR_ROOM: usize = 16;
/// Of the bytes, so many parts of so many may be taken by small forms while others are wanted in full.
const IN_SMALL: (usize, usize) = (5, 6);
/// Parts of the index: each grows on its own, so that no growth is long.
const PARTS: usize = 512;
/// Bytes that the index takes for one customer, about.
const INDEX: usize = 12;
/// Bytes beside a full customer: those of the allocator, and what one that came again is known by.
const BESIDE: usize = 320;
/// Bytes that a customer takes, in its small form and beyond that in its full one.
pub(crate) const SMALL_BYTES: usize = Slab::<Slot>::bytes() + INDEX;
pub(crate) const FULL_BYTES: usize = size_of::<Customer>() + BESIDE;

/// Customers that may be known at once within so many bytes: if all of them are in full, and if as many as
/// may be are small.
pub fn customers_within(bytes: usize) -> (usize, usize) {
    let full = SMALL_BYTES + FULL_BYTES;
    (bytes / full, (bytes / IN_SMALL.1 * IN_SMALL.0 / SMALL_BYTES).max(bytes / full))
}

enum Kept {
    Nobody,
    Full(Box<Customer>),
    Small(Form),
}

/// A moment of this gateway's life, in steps of an eighth of a second: eighteen years of them.
#[derive(Clone, Copy, Default)]
struct Tick(u32);

const TICK: Span = 1 << 27;

impl Tick {
    fn of(born: Time, now: Time) -> Tick {
        Tick(now.saturating_sub(born).div_ceil(TICK) as u32)
    }

    fn time(self, born: Time) -> Time {
        born + Time::from(self.0) * TICK
    }
}

/// A customer's place.
struct Slot {
    id: CustomerId,
    asked: Time,
    kept: Kept,
    /// When it was looked at last, or met: rounded up.
    since: Tick,
    /// It has asked more than once.
    is_known: bool,
}

/// Where a customer's place stands until it is looked at next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stands {
    /// Full, and has asked once; or has come again. It may be small by now, or the other way round, and is
    /// found out to be so when it is looked at.
    Once,
    Known,
    /// Small, and has asked once; or has come again.
    SmallOnce,
    Small,
}

use Stands::*;

impl Stands {
    /// Who is looked at first when room is short.
    const ORDER: [Stands; 4] = [Once, SmallOnce, Known, Small];

    /// In how long it is looked at again.
    fn looks(self) -> Span {
        match self {
            Once | SmallOnce => FORGOTTEN,
            Known | Small => LOOKS,
        }
    }
}

/// What is the same for all customers of a gateway.
pub(crate) struct House {
    pub plans: Vec<Plan>,
    pub me: u32,
    pub gateways: u32,
    /// There is no counter.
    pub alone: bool,
    /// In which this gateway started.
    pub epoch: u64,
}

impl House {
    /// By the settings; its epoch is not known yet.
    pub fn of(s: &Settings) -> House {
        House {
            plans: s.plans.clone(),
            me: s.gateway_index,
            gateways: s.gateways,
            alone: !s.has_counter,
            epoch: 0,
        }
    }
}

/// Customers by number.
pub(crate) struct Customers {
    pub house: House,
    /// Customers' numbers are chosen by clients: how they are spread is this gateway's own secret.
    hashing: FixedState,
    index: Vec<HashTable<u32>>,
    slots: Slab<Slot>,
    lines: [Line; 4],
    count: usize,
    full: usize,
    /// When the first one was met.
    born: Time,
    /// Bytes that all may take.
    most: usize,
}

impl Customers {
    /// None yet, and never more than fit into so many bytes; 0: no bound.
    pub fn new(seed: u64, most: usize, house: House) -> Customers {
        Customers {
            house,
            hashing: FixedState::with_seed(seed),
            index: (0..PARTS).map(|_| HashTable::new()).collect(),
            slots: Slab::new(),
            lines: Default::default(),
            count: 0,
            full: 0,
            born: 0,
            most: if most == 0 { usize::MAX } else { most },
        }
    }

    pub fn len(&self) -> usize {
        self.count
    }

    /// Bytes that they take, by the count of both forms.
    pub fn bytes(&self) -> usize {
        self.count * SMALL_BYTES + self.full * FULL_BYTES
    }

    fn hash(&self, id: CustomerId) -> u64 {
        self.hashing.hash_one(id)
    }

    /// The part of the index that a number is in: by bits that the part itself does not go by.
    fn part(hash: u64) -> usize {
        (hash >> 24) as usize % PARTS
    }

    fn find(&self, id: CustomerId) -> Option<u32> {
        let hash = self.hash(id);
        let is_it = |place: &u32| self.slots.get(*place).is_some_and(|slot| slot.id == id);
        self.index[Self::part(hash)].find(hash, is_it).copied()
    }

    /// One in its full form: whoever has something in hand, or is owed something, is.
    pub fn get(&self, id: CustomerId) -> Option<&Customer> {
        match &self.slots.get(self.find(id)?)?.kept {
            Kept::Full(customer) => Some(customer),
            _ => None,
        }
    }

    /// The same, to be changed.
    pub fn get_mut(&mut self, id: CustomerId) -> Option<&mut Customer> {
        let place = self.find(id)?;
        self.full_at(place)
    }

    fn full_at(&mut self, place: u32) -> Option<&mut Customer> {
        match &mut self.slots.get_mut(place)?.kept {
            Kept::Full(customer) => Some(customer),
            _ => None,
        }
    }

    /// A customer that asks now, in its full form; one that is new gets that from `new`. `None`: there is no
    /// room.
    pub fn meet(
        &mut self,
        now: Time,
        id: CustomerId,
        new: impl FnOnce(&House) -> Customer,
    ) -> Option<&mut Customer> {
        let place = match self.find(id) {
            Some(place) => place,
            None => self.enter(now, id, new)?,
        };
        let slot = self.slots.get_mut(place)?;
        slot.is_known = slot.asked > 0;
        slot.asked = now.max(1);
        self.wake(now, place)
    }

    /// A place for one that is new.
    fn enter(&mut self, now: Time, id: CustomerId, new: impl FnOnce(&House) -> Customer) -> Option<u32> {
        if !self.make_room(now, SMALL_BYTES + FULL_BYTES) {
            return None;
        }
        self.born = if self.born == 0 { now } else { self.born };
        let (kept, since) = (Kept::Full(Box::new(new(&self.house))), Tick::of(self.born, now));
        let place = self.slots.give(Slot { id, asked: 0, since, kept, is_known: false });
        let (hash, slots, hashing) = (self.hash(id), &self.slots, &self.hashing);
        let rehash = |place: &u32| slots.get(*place).map_or(0, |slot| hashing.hash_one(slot.id));
        self.index[Self::part(hash)].insert_unique(hash, place, rehash);
        (self.count, self.full) = (self.count + 1, self.full + 1);
        self.slots.push(&mut self.lines[Once as usize], place);
        Some(place)
    }

    /// The customer in a place in its full form; `None`: there is no room for that.
    fn wake(&mut self, now: Time, place: u32) -> Option<&mut Customer> {
        let Kept::Small(small) = self.slots.get(place)?.kept else { return self.full_at(place) };
        // Busy while room is made, for it stands in a line itself.
        let mut woken = Customer::woken(now, &self.house, small);
        woken.in_hand = 1;
        self.slots.get_mut(place)?.kept = Kept::Full(Box::new(woken));
        self.full += 1;
        if !self.make_room(now, 0) {
            self.slots.get_mut(place)?.kept = Kept::Small(small);
            self.full -= 1;
        }
        let woken = self.full_at(place)?;
        woken.in_hand = 0;
        Some(woken)
    }

    fn forget(&mut self, place: u32) {
        let Some(slot) = self.slots.get(place) else { return };
        let (id, hash) = (slot.id, self.hash(slot.id));
        self.full -= usize::from(matches!(slot.kept, Kept::Full(_)));
        self.count -= 1;
        if let Ok(entry) = self.index[Self::part(hash)].find_entry(hash, |other| *other == place) {
            entry.remove();
        }
        let nobody = Slot { id, asked: 0, since: Tick::default(), kept: Kept::Nobody, is_known: false };
        self.slots.take_back(place, nobody);
    }

    /// Looks at one that has left its line. If it is idle and has not asked since then, it is forgotten;
    /// where that is for want of room and there is a small form of it, it gets that instead. Others are
    /// looked at again later.
    fn look_at(&mut self, now: Time, place: u32, silent_since: Time, is_short: bool) {
        let born = self.born;
        let Some(slot) = self.slots.get_mut(place) else { return };
        let (is_busy, small) = match &slot.kept {
            Kept::Full(customer) => {
                (customer.is_busy() || customer.has_drawn(now), customer.small().filter(|_| is_short))
            }
            _ => (false, None),
        };
        match small {
            _ if is_busy || slot.asked > silent_since => {}
            None => return self.forget(place),
            Some(small) => {
                slot.kept = Kept::Small(small);
                self.full -= 1;
            }
        }
        let stands = match (&slot.kept, slot.is_known) {
            (Kept::Small(_), false) => SmallOnce,
            (Kept::Small(_), true) => Small,
            _ => Known,
        };
        // Whoever was busy when its turn came is as one that came again.
        slot.is_known |= stands == Known;
        // One that asked once keeps its turn: it is forgotten when it was met long ago.
        slot.since = if stands == SmallOnce { slot.since } else { Tick::of(born, now) };
        self.slots.push(&mut self.lines[stands as usize], place);
    }

    /// Whether there is room for so many bytes more, or could be made.
    fn make_room(&mut self, now: Time, bytes: usize) -> bool {
        let fits = |all: &Customers| all.bytes().saturating_add(bytes) <= all.most;
        // Small ones leave room for those that have something in hand: else each of these had to wait for
        // another.
        let is_narrow = self.count * SMALL_BYTES > self.most / IN_SMALL.1 * IN_SMALL.0;
        let first = Some(SmallOnce).filter(|_| is_narrow);
        for stands in first.into_iter().chain(Stands::ORDER) {
            for _ in 0..LOOKED_AT_FOR_ROOM {
                if fits(self) {
                    return true;
                }
                let Some(place) = self.slots.pop(&mut self.lines[stands as usize]) else { break };
                let Some(slot) = self.slots.get(place) else { break };
                let silent_since = match (stands, slot.is_known) {
                    (Once | SmallOnce, false) => Time::MAX,
                    // It has come again since.
                    (Once | SmallOnce, true) => 0,
                    (Known | Small, _) => slot.since.time(self.born),
                };
                self.look_at(now, place, silent_since, true);
            }
        }
        fits(self)
    }

    /// Forgets those that have been silent for long, some at a time. How many were looked at, and when to
    /// look again, if there are any left.
    pub fn age(&mut self, now: Time) -> (u64, Option<Time>) {
        let mut looked = 0;
        let due = |all: &Customers, stands: Stands| {
            all.slots
                .first(&all.lines[stands as usize])
                .map(|slot| slot.since.time(all.born) + stands.looks())
        };
        for stands in Stands::ORDER {
            while looked < LOOKED_AT && due(self, stands).is_some_and(|at| at <= now) {
                let Some(place) = self.slots.pop(&mut self.lines[stands as usize]) else { break };
                self.look_at(now, place, now.saturating_sub(FORGOTTEN), false);
                looked += 1;
            }
        }
        (looked, Stands::ORDER.into_iter().filter_map(|stands| due(self, stands)).min())
    }

    /// The customer in a place, if there is one, and the next place; `None`: there are no more. One that is
    /// small is given only if it has added to its number on the counter in this epoch, and there is room.
    pub fn place(
        &mut self,
        now: Time,
        place: usize,
        epoch: u64,
    ) -> (Option<(CustomerId, &mut Customer)>, Option<usize>) {
        let next = Some(place + 1).filter(|next| *next < self.slots.len());
        let wanted = match self.slots.get(place as u32).map(|slot| (slot.id, &slot.kept)) {
            Some((id, Kept::Full(_))) => Some(id),
            Some((id, Kept::Small(small))) if small.has_added(epoch) => Some(id),
            _ => None,
        };
        (wanted.and_then(|id| Some((id, self.wake(now, place as u32)?))), next)
    }

    /// All that are in their full form, for what changes for all. What is small finds out when it is made
    /// full.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Customer> {
        self.slots.iter_mut().filter_map(|slot| match &mut slot.kept {
            Kept::Full(customer) => Some(customer.as_mut()),
            _ => None,
        })
    }
}

/// Requests by number: numbers are given in a row, so they need no secret.
pub(crate) type ByRequest<T> = HashMap<RequestId, T, rustc_hash::FxBuildHasher>;

#[cfg(test)]
mod tests {
    use super::*;
    use quota::GatewaySet;

    const S: Time = 1_000_000_000;

    fn customers(most: usize) -> Customers {
        let plans = vec![Plan { rate: 10.0, burst: 20.0, ..Plan::default() }];
        Customers::new(1, most, House { plans, me: 0, gateways: 1, alone: true, epoch: 0 })
    }

    /// Room for so many, all of them in their full form.
    fn full(count: usize) -> usize {
        count * (SMALL_BYTES + FULL_BYTES)
    }

    fn new(now: Time, house: &House) -> Customer {
        let set = GatewaySet { first_gateway: 0, set_size: 1, gateway_index: 0, gateways: 1 };
        Customer::met(now, house, 0, set, || 0.0)
    }

    fn meet(customers: &mut Customers, now: Time, id: u64) -> bool {
        customers.meet(now, CustomerId(id), |house| new(now, house)).is_some()
    }

    fn knows(customers: &Customers, ids: impl IntoIterator<Item = u64>) -> usize {
        ids.into_iter().filter(|id| customers.find(CustomerId(*id)).is_some()).count()
    }

    /// Ages until nothing is due; gives the most that were looked at in one go.
    fn age(customers: &mut Customers, now: Time) -> u64 {
        let mut most = 0;
        while let (looked @ 1.., _) = customers.age(now) {
            most = most.max(looked);
        }
        most
    }

    #[test]
    fn whoever_has_not_asked_for_long_is_forgotten_some_at_a_time() {
        let mut customers = customers(0);
        (0..1_000).for_each(|id| assert!(meet(&mut customers, S, id)));
        (0..100).for_each(|id| assert!(meet(&mut customers, 30 * S, id)));
        assert_eq!(age(&mut customers, S + FORGOTTEN - 1), 0, "nothing is looked at before it is due");
        assert_eq!(age(&mut customers, S + FORGOTTEN), LOOKED_AT);
        assert_eq!(customers.len(), 100);
        // Those that came again are looked at every now and then.
        assert_eq!(age(&mut customers, S + FORGOTTEN + LOOKS + TICK), 100);
        assert_eq!(customers.len(), 100);
        age(&mut customers, 30 * S + FORGOTTEN + LOOKS + 2 * TICK);
        assert_eq!(customers.len(), 0);
        assert_eq!(customers.age(200 * S), (0, None));
    }

    #[test]
    fn whoever_is_owed_something_is_not_forgotten() {
        let mut customers = customers(full(2));
        for id in 0..2 {
            customers.meet(S, CustomerId(id), |house| new(S, house)).unwrap().open = 1;
        }
        assert!(!meet(&mut customers, S, 7), "there is no room for another");
        age(&mut customers, 200 * S);
        assert_eq!(customers.len(), 2);
        customers.get_mut(CustomerId(1)).unwrap().open = 0;
        assert!(meet(&mut customers, 200 * S, 7));
        assert_eq!(knows(&customers, [0, 7]), 2);
    }

    #[test]
    fn those_that_come_once_make_room_for_others_and_regular_ones_stay() {
        let mut customers = customers(full(1_000));
        for n in 0..100_000 {
            let now = S + n * S / 20_000;
            assert!(meet(&mut customers, now, 1_000_000 + n));
            // A hundred that ask four times a second, within the half of one for which others are known.
            if n % 50 == 0 {
                assert!(meet(&mut customers, now, n / 50 % 100));
            }
            assert!(customers.bytes() <= full(1_000));
        }
        let regular = (0..100).filter(|id| customers.get(CustomerId(*id)).is_some()).count();
        assert_eq!(regular, 100, "regular ones are kept whole");
        // Of the others most are small, so that there are several times as many, but not all.
        assert!(customers.full > 120, "{}", customers.full);
        assert!(customers.len() > 4_000, "{}", customers.len());
    }

    #[test]
    fn whoever_comes_again_finds_its_quota_as_it_left_it() {
        let mut customers = customers(full(10));
        let mut contact = quota::CounterHealth::new(0, 1);
        let mut use_up = |customers: &mut Customers, id: u64, units: f64| {
            let customer = customers.meet(S, CustomerId(id), |house| new(S, house)).unwrap();
            let account = &mut customer.stores[0];
            account.go_dark(S, &contact);
            account.spend(units, &mut contact);
            account.store.spendable()
        };
        // Without a counter a gateway lends all of it.
        assert_eq!([0, 1, 2].map(|id| use_up(&mut customers, id, 15.0)), [5.0; 3]);
        (100..130).for_each(|id| assert!(meet(&mut customers, S, id)));
        assert!((0..3).all(|id| customers.get(CustomerId(id)).is_none()), "they are small by now");
        assert_eq!(knows(&customers, 0..3), 3);
        assert_eq!([0, 1, 2].map(|id| use_up(&mut customers, id, 2.0)), [3.0; 3]);
    }

    #[test]
    fn a_place_is_given_again() {
        let mut customers = customers(full(1));
        assert!(meet(&mut customers, S, 1));
        (2..40).for_each(|id| assert!(meet(&mut customers, 40 * S, id)));
        assert!(customers.slots.len() < 12 && knows(&customers, [1, 2]) == 0);
        age(&mut customers, 52 * S);
        assert_eq!(knows(&customers, [39]), 1, "it was met 12 s ago");
        age(&mut customers, 40 * S + FORGOTTEN + TICK);
        assert_eq!((customers.len(), customers.full, customers.bytes()), (0, 0, 0));
    }
}
