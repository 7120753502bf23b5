//! Check of hard ceilings by an independent token bucket, as the operators count them.

use super::*;
use crate::attempts::request::{InFlightRequest, RequestState};

impl TestGateway {
    /// Charges admitted requests to the ceiling, and refunds those that ended without an attempt that reached
    /// a host. The slack of the ceiling allows for the delay between admission and the attempt.
    pub(super) fn charge_admitted(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Reject { id, .. } | Action::Fail { id, .. } = action {
                self.refund(*id);
            }
        }
        let is_admitted = |(_, request): &(&RequestId, &InFlightRequest)| {
            request.has_reserved_units
                && !matches!(request.state, RequestState::AwaitingUnits | RequestState::Closed)
        };
        let admitted: Vec<RequestId> =
            self.policy.requests.iter().filter(is_admitted).map(|(id, _)| *id).collect();
        for id in admitted {
            let Some(request) = self.tracked.get_mut(&id) else { continue };
            if request.is_complete() || request.charged_at.is_some() {
                continue;
            }
            request.charged_at = Some(self.now);
            self.charge(id, 1.0);
        }
    }

    /// Refunds a request unless an attempt of it has reached a host.
    pub(super) fn refund(&mut self, id: RequestId) {
        let Some(request) = self.tracked.get_mut(&id) else { return };
        if request.attempts.iter().any(SentAttempt::has_reached_host) {
            return;
        }
        let Some(charged_at) = request.charged_at.take() else { return };
        // While the units were charged, the bucket may have refilled units that would otherwise have exceeded
        // its size.
        let overflow = (self.now - charged_at) as f64 / 1e9;
        self.ceilings.entry(request.request.customer).and_modify(|ceiling| ceiling.overflow += overflow);
        self.charge(id, -1.0);
    }

    /// Subtracts `times` times a request's units from the ceiling (-1 to refund them), and checks the
    /// ceiling.
    fn charge(&mut self, id: RequestId, times: f64) {
        let Request { plan, customer, units, .. } = self.tracked[&id].request;
        let plan = &self.deployment.settings.plans[plan];
        let is_checked = self.deployment.is_counter_honest && !self.has_irregular_plans;
        if plan.ceiling_rate > 0.0 && is_checked {
            let new = Ceiling { level: plan.ceiling_burst, overflow: 0.0, at: self.now };
            let ceiling = self.ceilings.entry(customer).or_insert(new);
            let filled = plan.ceiling_rate * (self.now - ceiling.at) as f64 / 1e9;
            ceiling.level = (ceiling.level + filled).min(plan.ceiling_burst) - times * units;
            ceiling.at = self.now;
            let slack = plan.ceiling_slack + plan.ceiling_rate * ceiling.overflow;
            assert!(ceiling.level > -slack - 1e-3, "the ceiling is exceeded: {}", ceiling.level);
        }
    }
}
