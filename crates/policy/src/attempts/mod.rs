//! Requests in flight and their attempts: forwarding, retries, hedged requests and the final answer.
//!
//! - [`request`] defines a request in flight, its state and its attempts.
//! - [`forwarding`] starts attempts and counts overdue ones as failed; [`retries`] decides on retries and
//!   hedged requests, within the [`retry_budget`]; [`completion`] handles the end of attempts and closes
//!   requests.
//! - [`class_statistics`] keeps the latency and failure statistics of each class.
//!
//! State: the requests in flight by identifier, [`class_statistics::ClassStatistics`] of each class,
//! [`retry_budget::RetryBudget`].

pub(crate) mod class_statistics;
mod completion;
mod forwarding;
pub(crate) mod request;
mod retries;
pub(crate) mod retry_budget;
