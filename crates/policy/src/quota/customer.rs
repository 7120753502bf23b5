//! A customer, with its accounts and its open requests, and the compact form of an idle customer.

use super::account::Account;
use crate::api::{Plan, RequestId, Settings, Time};
use ::quota::{BucketConfig, CompactState, CounterHealth, GatewaySet};
use smallvec::SmallVec;
use std::collections::VecDeque;

/// State shared by all customers of a gateway.
pub(crate) struct GatewayContext {
    pub plans: Vec<Plan>,
    pub gateway_index: u32,
    pub gateways: u32,
    pub has_counter: bool,
    /// Epoch in which the gateway started.
    pub start_epoch: u64,
}

impl GatewayContext {
    /// Returns the context from the settings; the start epoch is set later.
    pub fn new(settings: &Settings) -> GatewayContext {
        GatewayContext {
            plans: settings.plans.clone(),
            gateway_index: settings.gateway_index,
            gateways: settings.gateways,
            has_counter: settings.has_counter,
            start_epoch: 0,
        }
    }
}

/// A customer in its full form.
#[derive(Default)]
pub(crate) struct Customer {
    /// Index of its plan.
    pub plan: usize,
    /// One account for each limit of the plan: the quota first, then the ceiling.
    pub accounts: SmallVec<[Account; 1]>,
    /// Requests that wait for units.
    pub waiting: VecDeque<RequestId>,
    /// Number of admitted requests that are not closed.
    pub admitted: u32,
    /// Number of requests that are not closed or have attempts in flight.
    pub in_flight: u32,
    /// The customer is queued for reconciliation with the counter.
    pub is_reconciliation_pending: bool,
    gateway_set: GatewaySet,
    has_no_counter: bool,
    /// Epoch in which the gateway started.
    start_epoch: u64,
}

/// The compact form of an idle customer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CompactCustomer {
    plan: u16,
    first_gateway: u16,
    set_size: u16,
    /// The state of the quota; `None` if the plan has no limit.
    account: Option<CompactState>,
}

impl CompactCustomer {
    /// Returns whether this gateway has added units to the customer's counter entry in an epoch.
    pub fn has_added(&self, epoch: u64) -> bool {
        self.account.is_some_and(|account| account.has_added_in(epoch))
    }
}

/// A limit of a plan.
#[derive(Clone, Copy)]
struct Limit {
    rate: f64,
    burst: f64,
    is_ceiling: bool,
}

/// Returns the limits of a plan.
fn limits(plan: &Plan) -> impl Iterator<Item = Limit> {
    let quota = Limit { rate: plan.rate, burst: plan.burst, is_ceiling: false };
    let ceiling = Limit { rate: plan.ceiling_rate, burst: plan.ceiling_burst, is_ceiling: true };
    [quota, ceiling].into_iter().filter(|limit| limit.rate > 0.0)
}

impl Customer {
    /// Returns a new customer at its first request. `initial_demand` returns a random number between 0 and
    /// the units of that request for each account, so that gateways do not all start with the same state.
    pub fn new(
        now: Time,
        context: &GatewayContext,
        plan: usize,
        gateway_set: GatewaySet,
        mut initial_demand: impl FnMut() -> f64,
    ) -> Customer {
        let mut customer = Customer {
            plan,
            gateway_set,
            has_no_counter: !context.has_counter,
            start_epoch: context.start_epoch,
            ..Customer::default()
        };
        customer.accounts = customer.new_accounts(now, &context.plans[plan], &mut initial_demand);
        customer
    }

    /// Returns the full form of a compact customer. If the limits of its plan have changed in kind, it starts
    /// as a new customer.
    pub fn expand(now: Time, context: &GatewayContext, compact: CompactCustomer) -> Customer {
        let gateway_set = GatewaySet {
            first_gateway: compact.first_gateway.into(),
            set_size: compact.set_size.into(),
            gateway_index: context.gateway_index,
            gateways: context.gateways,
        };
        let mut customer = Customer::new(now, context, compact.plan.into(), gateway_set, || 0.0);
        if let ([account], Some(state)) = (&mut customer.accounts[..], compact.account) {
            account.expand(&state);
        }
        customer
    }

    /// Returns the compact form, if the customer is idle and its state fits into the compact form.
    pub fn compact(&self) -> Option<CompactCustomer> {
        let account = match &self.accounts[..] {
            [] => None,
            [account] => Some(account.compact()?),
            _ => return None,
        };
        let plan = u16::try_from(self.plan).ok()?;
        let first_gateway = u16::try_from(self.gateway_set.first_gateway).ok()?;
        let set_size = u16::try_from(self.gateway_set.set_size).ok()?;
        if self.is_busy() {
            return None;
        }
        Some(CompactCustomer { plan, first_gateway, set_size, account })
    }

    /// Returns whether a ceiling has not fully refilled; if the customer were removed, it would get the used
    /// units a second time.
    pub fn has_ceiling_to_refill(&self, now: Time) -> bool {
        self.accounts.iter().any(|account| account.is_ceiling() && !account.is_full_by(now))
    }

    /// Returns whether the customer has requests or calls in flight, or is queued for reconciliation.
    pub fn is_busy(&self) -> bool {
        let is_calling = self.accounts.iter().any(Account::is_calling);
        self.in_flight > 0
            || self.admitted > 0
            || self.is_reconciliation_pending
            || is_calling
            || !self.waiting.is_empty()
    }

    /// After a counter reset, starts calls that check for lost units. Yields the account index and the amount
    /// of each call.
    pub fn start_rechecks(&mut self, epoch: u64) -> impl Iterator<Item = (usize, f64)> + '_ {
        let accounts = self.accounts.iter_mut().enumerate();
        accounts.filter_map(move |(index, account)| Some((index, account.start_recheck(epoch)?)))
    }

    fn new_accounts(
        &self,
        now: Time,
        plan: &Plan,
        initial_demand: &mut impl FnMut() -> f64,
    ) -> SmallVec<[Account; 1]> {
        let may_be_windowed = plan.ceiling_rate <= 0.0;
        let new_account = |limit: Limit| {
            let config = BucketConfig {
                rate: limit.rate,
                burst: limit.burst,
                is_ceiling: limit.is_ceiling,
                has_no_counter: self.has_no_counter,
                gateway_set: self.gateway_set,
            };
            let mut account = Account::new(now, config, self.start_epoch, may_be_windowed);
            let demand = initial_demand();
            if account.is_windowed {
                account.windowed_limiter().set_initial_credit(demand);
            }
            account
        };
        limits(plan).map(new_account).collect()
    }

    /// Changes the limits of the customer's plan. Available units are kept; if the plan has more or fewer
    /// limits than before, all accounts start with a full token bucket.
    pub fn change_plan(&mut self, now: Time, health: &CounterHealth, plan: &Plan) {
        if limits(plan).count() != self.accounts.len() {
            self.accounts = self.new_accounts(now, plan, &mut || 0.0);
        }
        for (account, limit) in self.accounts.iter_mut().zip(limits(plan)) {
            account.set_limit(now, health, limit.rate, limit.burst);
        }
    }
}
