//! What admission has learnt, and the customers that are considered again.

use crate::api::{CustomerId, Settings};

/// Fraction of the demand that a quota covers, assumed of a plan's first customers.
const INITIAL_TYPICAL_FRACTION: f64 = 0.7;
/// Fraction of the top class in the demand, assumed at the start.
const INITIAL_TOP_CLASS_FRACTION: f64 = 0.5;
/// Weight of one unit of demand in that fraction, and the units of a request that count at the most.
const TOP_CLASS_STEP: f64 = 0.01;
const MAX_UNITS: f64 = 10.0;
/// Bounds of that fraction where it is used.
const MIN_TOP_CLASS_FRACTION: f64 = 0.01;
const MAX_TOP_CLASS_FRACTION: f64 = 0.99;

/// The state of admission.
pub(crate) struct AdmissionState {
    /// Fractions of requests to admit, by class and plan; a missing cell admits all.
    pub fractions: Vec<f64>,
    /// For each plan, the fraction of the demand that the quota of a new customer typically covers.
    pub typical_fractions: Vec<f64>,
    /// Customers whose waiting requests may be admitted now, since another request was closed.
    pub customers_to_check: Vec<CustomerId>,
    /// Fraction of the class of the highest priority in the units requested under windowed admission.
    top_class_fraction: f64,
}

impl AdmissionState {
    /// Returns the state of a gateway that has just started.
    pub fn new(settings: &Settings) -> AdmissionState {
        AdmissionState {
            fractions: Vec::new(),
            typical_fractions: settings.plans.iter().map(|_| INITIAL_TYPICAL_FRACTION).collect(),
            customers_to_check: Vec::new(),
            top_class_fraction: INITIAL_TOP_CLASS_FRACTION,
        }
    }

    /// Takes in a request under windowed admission.
    pub fn record_windowed_demand(&mut self, units: f64, is_top_class: bool) {
        let step = TOP_CLASS_STEP * units.min(MAX_UNITS);
        self.top_class_fraction += step * (f64::from(u8::from(is_top_class)) - self.top_class_fraction);
    }

    /// Returns the fraction of the class of the highest priority in the units requested.
    pub fn top_class_fraction(&self) -> f64 {
        self.top_class_fraction.clamp(MIN_TOP_CLASS_FRACTION, MAX_TOP_CLASS_FRACTION)
    }
}
