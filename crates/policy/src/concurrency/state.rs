//! Concurrency slots of a gateway and of its classes, and the requests that wait for a slot.

use super::class_slots::{ClassSlots, ControlInput};
use super::slot_budget::SlotBudget;
use crate::api::{Class, RequestId, Route, Settings};

/// Fraction of the slots guaranteed to the class of the lowest priority, to prevent starvation.
const LOWEST_CLASS_FRACTION: f64 = 0.15;

/// A request without a host for its next attempt.
struct UnplacedRequest {
    class: usize,
    route: Route,
    id: RequestId,
}

/// Slots, reservations and queues of a gateway.
pub(crate) struct ConcurrencyState {
    /// Indexes of the classes, in descending order of priority weight.
    classes_by_priority: Vec<usize>,
    /// Classes, by index.
    pub classes: Vec<ClassSlots>,
    /// This gateway's share of all slots.
    pub budget: SlotBudget,
    /// Requests that may have been executed and have no host for another attempt.
    unplaced: Vec<UnplacedRequest>,
    /// A timer is set to retry the dispatch.
    pub is_dispatch_scheduled: bool,
}

impl ConcurrencyState {
    /// Returns the state of a gateway without hosts.
    pub fn new(settings: &Settings) -> ConcurrencyState {
        let weight = |class: &usize| settings.classes[*class].priority_weight;
        let mut classes_by_priority: Vec<usize> = (0..settings.classes.len()).collect();
        classes_by_priority.sort_by(|a, b| weight(b).total_cmp(&weight(a)));
        ConcurrencyState {
            classes_by_priority,
            classes: settings.classes.iter().map(|_| ClassSlots::default()).collect(),
            budget: SlotBudget::new(settings.gateways),
            unplaced: Vec::new(),
            is_dispatch_scheduled: false,
        }
    }

    /// Returns whether a class is the one with the highest priority weight.
    pub fn is_top_class(&self, class: usize) -> bool {
        self.classes_by_priority.first() == Some(&class)
    }

    /// Returns the number of slots in use.
    pub fn in_use(&self) -> f64 {
        self.classes.iter().map(|class| class.in_use).sum::<usize>() as f64
    }

    /// Returns the number of requests that wait for a slot or for a host.
    pub fn waiting(&self) -> f64 {
        self.classes.iter().map(ClassSlots::waiting).sum::<f64>()
    }

    /// Returns the number of requests that wait in this class and in classes of higher priority.
    pub fn waiting_up_to(&self, class: usize) -> f64 {
        let higher = self.classes_by_priority.iter().take_while(|other| **other != class);
        higher.chain([&class]).map(|class| self.classes[*class].waiting()).sum::<f64>()
    }

    /// Returns whether a request is queued.
    pub fn has_queued(&self) -> bool {
        self.classes.iter().any(|class| !class.queue.is_empty())
    }

    /// Returns whether a request is queued whose route has a free slot.
    pub fn has_ready(&self, has_free_slot: impl Fn(&Route) -> bool) -> bool {
        self.classes.iter().any(|class| class.queue.any_ready(&has_free_slot))
    }

    /// Returns the class that gets the next free slot: first a class below its reservation, then the lowest
    /// class if it is below its guaranteed fraction, then any class, each by priority.
    pub fn next_class(&self, has_free_slot: impl Fn(&Route) -> bool) -> Option<usize> {
        let is_ready = |class: usize| self.classes[class].queue.any_ready(&has_free_slot);
        let is_below = |class: usize, slots: f64| (self.classes[class].in_use as f64) < slots;
        let (lowest, reserving) = self.classes_by_priority.split_last()?;
        let below_reservation = reserving
            .iter()
            .find(|class| is_below(**class, self.classes[**class].reservation) && is_ready(**class));
        if let Some(class) = below_reservation {
            return Some(*class);
        }
        if is_below(*lowest, self.budget.slots() * LOWEST_CLASS_FRACTION) && is_ready(*lowest) {
            return Some(*lowest);
        }
        self.classes_by_priority.iter().copied().find(|class| is_ready(*class))
    }

    /// Adjusts the reservations of all classes except the lowest at the end of a control period.
    pub fn adjust_reservations(&mut self, classes: &[Class], uptime: f64) {
        let slots = self.budget.slots();
        let mut available = slots * (1.0 - LOWEST_CLASS_FRACTION);
        let Some((_, reserving)) = self.classes_by_priority.split_last() else { return };
        for &class in reserving {
            let latency_objective = classes[class].latency_objective;
            let input = ControlInput { latency_objective, uptime, slots, available };
            available -= self.classes[class].adjust_reservation(&input);
        }
    }

    /// Stores a request without a host until hosts change, without blocking other requests of its route.
    pub fn add_unplaced(&mut self, class: usize, route: Route, id: RequestId) {
        self.unplaced.push(UnplacedRequest { class, route, id });
    }

    /// Returns the number of requests stored by [`ConcurrencyState::add_unplaced`].
    #[cfg(test)]
    pub fn unplaced_count(&self) -> usize {
        self.unplaced.len()
    }

    /// Returns whether requests wait for a host.
    pub fn is_blocked(&self) -> bool {
        !self.unplaced.is_empty() || self.classes.iter().any(|class| class.queue.is_blocked())
    }

    /// Queues all requests without a host again, and unblocks all routes.
    pub fn unblock(&mut self) {
        for UnplacedRequest { class, route, id } in std::mem::take(&mut self.unplaced).into_iter().rev() {
            self.classes[class].queue.push_front(route, id);
        }
        for class in &mut self.classes {
            class.queue.unblock();
        }
    }
}
