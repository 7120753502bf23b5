//! Site failover: decides when a site is lost, where its load goes, and how it recovers. Does no I/O.
//!
//! # Purpose
//!
//! Operators plan ahead which zones fail together as a *site*, which other sites take over a lost site's load, and
//! which requests are shed first if the remaining capacity does not suffice. Each gateway runs a
//! [`FailoverController`], which decides from the gateway's own observations whether a site is lost, and brings a
//! recovered site back gradually. Gateways do not communicate with one another for this.
//!
//! # Contract
//!
//! The caller passes the time with each call, and reports
//!
//! - host lists ([`on_host_list`](FailoverController::on_host_list)),
//! - ends of attempts ([`on_attempt_ended`](FailoverController::on_attempt_ended)),
//! - requests and rejections ([`on_request_received`](FailoverController::on_request_received),
//!   [`on_request_rejected`](FailoverController::on_request_rejected)), and
//! - doubts about the control plane ([`on_discovery_status`](FailoverController::on_discovery_status),
//!   [`on_counter_status`](FailoverController::on_counter_status)).
//!
//! The caller asks for each request which sites it may go to ([`allowed_sites`](FailoverController::allowed_sites)),
//! calls [`tick`](FailoverController::tick) at [`next_tick_at`](FailoverController::next_tick_at), and carries out the
//! [`FailoverUpdate`] that a tick returns. The controller never excludes all sites. It reads no clock and
//! draws no random numbers: equal calls give equal results. With a plan without sites it does nothing.
//!
//! # Example
//!
//! All attempts at one of two sites time out, so the controller excludes the site's hosts.
//!
//! ```
//! use policy::api::{AttemptEnded, HostEntry, HostId, HostListKind, Outcome, RequestId};
//! use site_failover::{
//!     FailoverController, FailoverPlan, GatewayIdentity, Site, SiteHealth, DEFAULT_RECOVERY_RAMP,
//! };
//!
//! const MILLISECOND: u64 = 1_000_000;
//!
//! let site = |name: &str, zone| Site {
//!     name: name.to_owned(),
//!     zones: vec![zone],
//!     capacity: None,
//!     load: None,
//!     headroom: 0.0,
//!     failover_targets: Vec::new(),
//!     recovery_ramp: DEFAULT_RECOVERY_RAMP,
//!     operator_override: None,
//! };
//! let plan = FailoverPlan { sites: vec![site("north", 0), site("south", 1)], ..FailoverPlan::default() };
//! let identity = GatewayIdentity { gateways: 1, gateway_index: 0, zone: 0 };
//! let mut controller = FailoverController::new(plan, identity, 1, 0);
//!
//! // Four hosts a site: the even ones are in the north, the odd ones in the south.
//! let host = |id: u64| HostEntry { id: HostId(id), zone: (id % 2) as u32, size: 1.0, ..HostEntry::default() };
//! let hosts: Vec<HostEntry> = (0..8).map(host).collect();
//! controller.on_host_list(0, HostListKind::Full, &hosts);
//!
//! for request in 0..200 {
//!     let now = request * 10 * MILLISECOND;
//!     let is_south = request % 2 == 1;
//!     controller.on_attempt_ended(now, &AttemptEnded {
//!         id: RequestId(request),
//!         attempt: 0,
//!         host: HostId(request % 8),
//!         outcome: if is_south { Outcome::Timeout } else { Outcome::Ok },
//!         elapsed: 10 * MILLISECOND,
//!         is_request_closed: true,
//!         quota_used: None,
//!         actual_units: None,
//!         report: None,
//!     });
//!     if now >= controller.next_tick_at() {
//!         if let Some(update) = controller.tick(now) {
//!             update.transitions.iter().for_each(|transition| println!("{transition}"));
//!         }
//!     }
//! }
//! let health: Vec<SiteHealth> = controller.statuses().map(|status| status.health).collect();
//! assert_eq!(health, [SiteHealth::Healthy, SiteHealth::Lost]);
//! assert!(controller.is_excluded(HostId(1)) && !controller.is_excluded(HostId(0)));
//! ```
//!
//! # Loss and recovery of a site through the files
//!
//! 1. `plan/compile.rs` compiles the operators' blocks to a [`FailoverPlan`]; [`capacity_check`] computes which losses
//!    the declared capacities carry.
//! 2. `controller/mod.rs` passes host lists to `controller/host_inventory.rs`, and ends of attempts to
//!    `health/observations.rs`.
//! 3. At each tick `controller/health_decision.rs` decides the health of each site, by these checks in order: the
//!    operators' override, whether this gateway reaches any host at all, the host list, and the sequential test of
//!    `health/failure_test.rs`. While a site is
//!    suspect, `controller/suspect_query.rs` sends a few requests there to get evidence.
//! 4. A lost site becomes excluded in `site_state.rs`, the state machine of a site; `controller/exclusions.rs` reports
//!    its hosts to the gateway.
//! 5. `traffic_split.rs` sends the lost site's load to its failover targets, and `shedding.rs` sheds requests by tiers
//!    while capacity is exhausted.
//! 6. `recovery/probing.rs` probes the lost site when it is the gateway's turn; `controller/gateway_identity.rs`
//!    spreads the gateways' turns over time.
//! 7. Once enough hosts answer, and `recovery/backoff.rs` permits, `recovery/ramp.rs` gives the site its load back step
//!    by step.
//! 8. `transition.rs` and `status.rs` report all of it for logs and queries.

#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::fn_params_excessive_bools))]

pub mod capacity_check;
mod controller;
mod hashing;
mod health;
mod plan;
mod recovery;
mod shedding;
mod site_state;
mod status;
mod time;
mod traffic_split;
mod transition;

pub use controller::{FailoverController, FailoverUpdate, GatewayIdentity};
pub use health::{FailureCount, SiteHealth};
pub use plan::{
    FailoverPlan, FailoverTarget, OperatorOverride, PlanError, PlanErrorKind, PlatformNames, SheddingTier,
    SheddingTiers, Site, SiteSet, DEFAULT_RECOVERY_RAMP,
};
pub use status::SiteStatus;
pub use transition::{Transition, TransitionCause};
