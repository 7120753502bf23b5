//! Admission: whether a request is admitted, waits, or is rejected.
//!
//! - [`arrival`] registers a request, and rejects it immediately if its remaining deadline is too short, no
//!   host can serve it, or its load is shed.
//! - [`waiting`] handles the requests of a customer that wait for units: they are admitted on
//!   [`leased_units`] or by [`windowed`] admission, within the limit on concurrent requests; beyond the quota
//!   only on idle slots, if the weight of such a request exceeds its cost.
//!
//! An admitted request is queued for a concurrency slot, see [`crate::concurrency`]. State:
//! [`state::AdmissionState`].

mod arrival;
mod leased_units;
pub(crate) mod state;
mod waiting;
mod windowed;
