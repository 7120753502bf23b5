//! Lets the decision module decide, and executes what it wants.

use super::{Gateway, Timer};
use crate::messages::{FinalAnswer, LifecyclePhase};
use crate::upstream::StopReason;
use policy::api::{Action, Event, HostListKind, Outcome, RequestId, Settings, Time};
use policy::policy::Policy;
use quota::CounterReport;
use runtime::Env;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// A decision module: [`Policy`], or one that a test puts in its place.
pub(crate) trait DecisionModule: Send + 'static {
    /// Creates a module that knows nothing but its settings.
    fn start(settings: Settings, seed: u64) -> Self;

    /// Takes in an event, and adds the actions to be executed.
    fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>);

    /// Returns the state of the counter and what has been granted locally, for the log.
    fn counter_report(&self, _now: Time) -> CounterReport {
        CounterReport::default()
    }

    /// Starts to count local grants from zero.
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
    /// Reports an event to the decision module and executes its actions. Events that these cause are reported in turn.
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
            let decided = catch_unwind(AssertUnwindSafe(|| module.handle(now, event, &mut actions)));
            if decided.is_err() {
                self.restart_module(&mut actions);
                continue;
            }
            for action in actions.drain(..) {
                self.execute(now, action);
            }
        }
        self.is_notifying = false;
    }

    /// Replaces a module that has panicked: its state may be half changed, and its actions incomplete. All requests fail
    /// at once, and another module starts from the hosts in service, as after a restart of the process.
    fn restart_module(&mut self, actions: &mut Vec<Action>) {
        tracing::error!(failed_requests = self.requests.len(), "decision module panicked and was restarted");
        actions.clear();
        self.pending_events.clear();
        self.seed = self.seed.wrapping_add(1);
        self.module = D::start(self.settings.clone(), self.seed);
        // Both modules use the same keys: a reply to a call of the old one would pass for one to the new.
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
            // The watch is open from the start, and opens itself again.
            Action::SubscribeToHosts => {}
        }
    }

    /// Marks the process as ready, if it has been starting.
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
