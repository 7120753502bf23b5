//! Reports events to the decision module and executes the actions that it returns.

use super::{Gateway, Timer};
use crate::messages::{FinalAnswer, LifecyclePhase};
use crate::upstream::StopReason;
use policy::api::{Action, Event, HostListKind, Outcome, RequestId, Settings, Time};
use policy::policy::Policy;
use quota::CounterReport;
use runtime::Env;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// A decision module: [`Policy`], or a test double.
pub(crate) trait DecisionModule: Send + 'static {
    /// Creates a module with these settings and no other state.
    fn start(settings: Settings, seed: u64) -> Self;

    /// Handles an event and appends the resulting actions, in order.
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>);

    /// Returns the state of the counter and the units of local grants, for the log.
    fn counter_report(&self, _now: Time) -> CounterReport {
        CounterReport::default()
    }

    /// Resets the count of local grants to zero.
    fn clear_local_grants(&mut self) {}
}

impl DecisionModule for Policy {
    fn start(settings: Settings, seed: u64) -> Self {
        Policy::new(settings, seed)
    }

    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        Policy::handle(self, now, event, actions);
    }

    fn counter_report(&self, now: Time) -> CounterReport {
        Policy::counter_report(self, now)
    }

    fn clear_local_grants(&mut self) {
        Policy::clear_local_grants(self);
    }
}

impl<E: Env, D: DecisionModule> Gateway<E, D> {
    /// Reports an event to the decision module and executes the resulting actions. Events that these actions cause are
    /// queued and reported after them.
    pub(super) fn notify(&mut self, event: Event) {
        self.pending_events.push_back(event);
        if self.is_notifying {
            return;
        }
        self.is_notifying = true;
        let mut actions = Vec::new();
        while let Some(event) = self.pending_events.pop_front() {
            let now = self.env.now();
            let module = &mut self.module;
            let handled = catch_unwind(AssertUnwindSafe(|| module.handle(now, event, &mut actions)));
            if handled.is_err() {
                self.restart_module(&mut actions);
                continue;
            }
            for action in actions.drain(..) {
                self.execute(now, action);
            }
        }
        self.is_notifying = false;
    }

    /// Replaces a module that has panicked: its state may be partly updated, and its actions incomplete. All requests
    /// fail at once, and a new module starts with the hosts in service, as after a restart of the process.
    fn restart_module(&mut self, actions: &mut Vec<Action>) {
        tracing::error!(failed_requests = self.requests.len(), "decision module panicked and was restarted");
        actions.clear();
        self.pending_events.clear();
        self.seed = self.seed.wrapping_add(1);
        self.module = D::start(self.settings.clone(), self.seed);
        // Both modules use the same counter keys, so a reply to a call of the old module would be attributed to a call
        // of the new one.
        self.counter.abandon_all();
        self.timers.retain(|timer| !matches!(timer, Timer::Module(_) | Timer::CounterCall(_)));
        self.fail_all_requests();
        let mut entries = self.upstream.ready_entries();
        self.sites.drain_excluded(&mut entries);
        self.pending_events.push_back(Event::HostList { kind: HostListKind::Cached, entries });
        if !self.sites.is_idle() {
            let fractions = self.sites.admission_fractions();
            self.pending_events.push_back(Event::AdmissionFractionsChanged(fractions));
        }
    }

    fn fail_all_requests(&mut self) {
        let mut ids: Vec<RequestId> = self.requests.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            let attempts = self.requests.get(&id).map_or(0, |request| request.attempts);
            for attempt in 0..attempts {
                self.upstream.stop((id, attempt), StopReason::Cancelled);
            }
            self.answer(id, FinalAnswer::Failed, None);
        }
    }

    fn execute(&mut self, now: Time, action: Action) {
        match action {
            Action::Forward { id, host, deadline, write_by } => self.forward(id, host, deadline, write_by),
            Action::Cancel { id, attempt } => self.upstream.stop((id, attempt), StopReason::Cancelled),
            Action::Reject { id, retry_after, reason } => {
                self.answer(id, FinalAnswer::Rejected(retry_after), Some(reason));
            }
            Action::Fail { id, reason } => self.answer(id, FinalAnswer::Failed, Some(reason)),
            Action::SetTimer { after, token } => {
                self.timers.set(now.saturating_add(after), Timer::Module(token));
            }
            Action::AddToCounter { key, amount, time_to_live } => {
                match self.counter.add(key, amount, time_to_live) {
                    Some((call, deadline)) => self.timers.set(deadline, Timer::CounterCall(call)),
                    None => {
                        let outcome = Outcome::ConnectFailed;
                        self.notify(Event::CounterReplied { key, outcome, total: 0.0, elapsed: 0 });
                    }
                }
            }
            // `discovery::watch` subscribes when the process starts, and resubscribes after a failure.
            Action::SubscribeToHosts => {}
        }
    }

    /// Moves the process from the phase `Starting` to `Ready`; other phases stay.
    pub(super) fn set_ready(&mut self) {
        self.phase.send_if_modified(|phase| {
            let is_starting = *phase == LifecyclePhase::Starting;
            if is_starting {
                *phase = LifecyclePhase::Ready;
            }
            is_starting
        });
    }
}
