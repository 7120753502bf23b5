//! Statistics of admission, and the customers whose waiting requests are checked again.

use crate::api::{CustomerId, Settings};

/// Fraction of the demand covered by the quota, assumed for the first customers of a plan.
const INITIAL_TYPICAL_FRACTION: f64 = 0.7;
/// Initial fraction of the top class in the demand.
const INITIAL_TOP_CLASS_FRACTION: f64 = 0.5;
/// EWMA weight of one unit of demand in that fraction, and the maximum number of units counted per request.
const TOP_CLASS_EWMA_WEIGHT: f64 = 0.01;
const MAX_WEIGHTED_UNITS: f64 = 10.0;
/// Bounds applied to that fraction when it is read.
const MIN_TOP_CLASS_FRACTION: f64 = 0.01;
const MAX_TOP_CLASS_FRACTION: f64 = 0.99;

/// The state of admission.
pub(crate) struct AdmissionState {
    /// Fractions of requests to admit, by class and plan; a missing element admits all.
    pub fractions: Vec<f64>,
    /// For each plan, the fraction of a new customer's demand that the quota typically covers.
    pub typical_fractions: Vec<f64>,
    /// Customers whose waiting requests may be admitted now because another of their requests was closed.
    pub customers_to_check: Vec<CustomerId>,
    /// Smoothed fraction of the top class in the units requested under windowed admission.
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

    /// Records a request under windowed admission.
    pub fn record_windowed_demand(&mut self, units: f64, is_top_class: bool) {
        let weight = TOP_CLASS_EWMA_WEIGHT * units.min(MAX_WEIGHTED_UNITS);
        self.top_class_fraction += weight * (f64::from(u8::from(is_top_class)) - self.top_class_fraction);
    }

    /// Returns the fraction of the class of the highest priority in the units requested.
    pub fn top_class_fraction(&self) -> f64 {
        self.top_class_fraction.clamp(MIN_TOP_CLASS_FRACTION, MAX_TOP_CLASS_FRACTION)
    }
}
