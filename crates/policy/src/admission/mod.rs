//! Admission: whether a request is admitted, waits, or is rejected.
//!
//! - [`arrival`] registers a request, and rejects it at once if it has too little time, no host can take it,
//!   or its load is shed.
//! - [`waiting`] considers the requests of a customer that wait for units: on [`leased_units`] or by
//!   [`windowed`] admission, within the limit on concurrent requests; beyond the quota only on idle slots,
//!   where that earns more than it costs.
//!
//! An admitted request is queued for a concurrency slot, see [`crate::concurrency`]. State:
//! [`state::AdmissionState`].

mod arrival;
mod leased_units;
pub(crate) mod state;
mod waiting;
mod windowed;
