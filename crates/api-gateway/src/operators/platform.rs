//! The platform's settings in the forms that checks of the operators' files need.

use config_language::model::Operators;
use config_language::{Platform, PlatformPlan};
use gateway::PlatformSettings;
use routing::{effective_quotas, EffectiveQuota, GrantedQuota, PlatformNames, RoutingError};

/// Returns the part of the settings that the configuration language checks files against.
pub fn language_platform(settings: &PlatformSettings) -> Platform {
    let plans = settings.plan_names.iter().zip(&settings.settings.plans);
    Platform {
        classes: settings.class_names.clone(),
        worths: settings.settings.classes.iter().map(|class| class.priority_weight).collect(),
        plans: plans
            .map(|(name, plan)| PlatformPlan {
                name: name.clone(),
                rate: plan.rate,
                burst: plan.burst,
                open: plan.max_concurrent,
                worth: plan.weight_factor,
            })
            .collect(),
        zones: settings.zone_names.clone(),
        machines: settings.machine_types.clone(),
        gateways: settings.settings.gateways,
        units_top: settings.max_request_units,
    }
}

/// Returns the names that routes and pools refer to.
pub fn routing_names(platform: &PlatformSettings) -> PlatformNames<'_> {
    PlatformNames {
        classes: &platform.class_names,
        plans: &platform.plan_names,
        zones: &platform.zone_names,
        machine_types: &platform.machine_types,
    }
}

/// Returns the quota in force for each plan, in the platform's order.
///
/// # Errors
/// As [`effective_quotas`].
pub fn quotas(
    operators: &Operators,
    platform: &PlatformSettings,
) -> Result<Vec<EffectiveQuota>, RoutingError> {
    let plans = platform.plan_names.iter().zip(&platform.settings.plans);
    let granted: Vec<GrantedQuota> = plans
        .map(|(name, plan)| GrantedQuota {
            plan: name,
            rate: plan.rate,
            burst: plan.burst,
            max_concurrent: plan.max_concurrent,
        })
        .collect();
    effective_quotas(operators, &granted)
}
