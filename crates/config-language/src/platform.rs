//! What the platform's settings say of the site, as far as checks need it.

/// A plan as the platform grants it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformPlan {
    /// Its name.
    pub name: String,
    /// Units a second; 0: no bound.
    pub rate: f64,
    /// Units that the store holds.
    pub burst: f64,
    /// Attempts out at once; 0: no bound.
    pub open: u32,
    /// What an answer to its customers is worth, as a multiple of its class's worth; 0: not known.
    pub worth: f64,
}

/// The site.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Platform {
    /// Classes, by name.
    pub classes: Vec<String>,
    /// What an answer in time is worth, by class; empty: not known.
    pub worths: Vec<f64>,
    /// Plans.
    pub plans: Vec<PlatformPlan>,
    /// Zones, by name.
    pub zones: Vec<String>,
    /// Kinds of machine, by name.
    pub machines: Vec<String>,
    /// Gateways in all; 0: not known.
    pub gateways: u32,
    /// The most units that one request counts; 0: not known.
    pub units_top: f64,
}

impl Platform {
    /// A plan.
    pub fn plan(&self, name: &str) -> Option<&PlatformPlan> {
        self.plans.iter().find(|plan| plan.name == name)
    }
}
