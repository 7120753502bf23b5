//! The interface of the decision module: the events that a gateway reports and the actions that it executes.
//!
//! All types are plain data. A gateway reads its [`Settings`] once, then reports each [`Event`] with the
//! current [`Time`] and executes the returned [`Action`]s in order.

mod action;
mod event;
mod host;
mod ids;
mod request;
mod settings;
mod time;

pub use action::{Action, RejectReason};
pub use event::{AttemptEnded, Event, LoadReport, Outcome};
pub use host::{HostEntry, HostListKind, HostState};
pub use ids::{CounterKey, CustomerId, HostId, RequestId};
pub use request::{Request, Route, RouteLimit};
pub use settings::{Class, DedupScope, Idempotency, Plan, Settings};
pub use time::{Span, Time};
