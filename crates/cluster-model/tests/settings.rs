//! The configuration of the gateways of a scenario's site, as parsed by the gateway itself.

use cluster_model::file::parse;
use cluster_model::scenario::{Idempotency, Scenario};
use cluster_model::settings::{config_document, machine_type, settings, zone_name, GatewayStart};
use cluster_model::{MS, SECOND};
use platform_settings::PlatformSettings;
use serde_json::{json, Value};
use std::collections::BTreeSet;

fn parse_settings(scenario: &Scenario, gateway: u32) -> PlatformSettings {
    PlatformSettings::parse(&settings(scenario, gateway))
        .expect("the gateway parses the settings of the model")
}

/// A scenario that differs from the default in every value that gateways are configured with.
fn unusual_scenario() -> Scenario {
    let text = "scenario \"unusual\"\nsite\n\
        gateways 5, buildings 2, max-attempts 3, second-copies no, retry-after 800 ms\n\
        sockets 512, memory 100 MB\n\
        host cores 4, cold 30 % for 12 s, idle 9 s\n\
        counter timeout 60 ms\n\
        rules drain-grace 300 ms, fall x 2.5 for 2 s, answer-slack 70 ms\n\
        class bulk share 84 %, work 90 ms, aim 1 s, deadline 3 s, worth 1.5, late-worth 30 %, keyed for 4 s\n\
        only classes bulk, unit-order\n\
        plan gold share 52 %, rate 12.5 units/s, burst 20 units, open 5, price 2, extra-worth 10 %\n\
        plan gold overrun-cost 50 %, ceiling-rate 20 units/s, ceiling-burst 30 units, ceiling-slack 2 units\n\
        plan gold spread 4 gateways\n\
        only plans gold, standard\n\
        traffic\nmost-units 9 units, guess-cv 0";
    parse("unusual.scenario", text).expect("a valid scenario")
}

#[test]
fn the_settings_contain_the_values_of_the_scenario() {
    let scenario = unusual_scenario();
    let site = parse_settings(&scenario, 3);
    assert_eq!((site.settings.gateways, site.settings.zone), (5, 1));
    assert_eq!((site.settings.max_attempts, site.settings.may_hedge), (3, false));
    assert_eq!(site.settings.max_retry_after, Some(800 * MS));
    assert_eq!((site.settings.has_counter, site.settings.counter_timeout), (true, 60 * MS));
    assert_eq!((site.settings.initial_capacity, site.settings.warm_up), (0.3, 12 * SECOND));
    assert_eq!(
        (site.idle_timeout, site.connect_timeout, site.max_request_units),
        (9 * SECOND, 250 * MS, 9.0)
    );
    assert!(site.settings.may_cancel && !site.settings.must_subscribe && !site.responses_carry_reports);
    assert_eq!(
        (site.zone_names, site.machine_types),
        (vec![zone_name(0), zone_name(1)], vec![machine_type(&scenario)])
    );
}

#[test]
fn the_settings_contain_classes_and_plans_in_order() {
    let scenario = unusual_scenario();
    let site = parse_settings(&scenario, 0);
    assert_eq!(site.class_names, ["bulk", "unit-order"]);
    assert_eq!(site.plan_names, ["gold", "standard"]);
    for (parsed, class) in site.settings.classes.iter().zip(&scenario.site.classes) {
        assert_eq!((parsed.latency_objective, parsed.deadline), (class.latency_objective, class.deadline));
        assert_eq!(
            (parsed.priority_weight, parsed.late_fraction),
            (class.priority_weight, class.late_weight_share)
        );
        let effect = match class.idempotency {
            Idempotency::Idempotent => policy::api::Idempotency::Idempotent,
            Idempotency::Keyed(window) => {
                policy::api::Idempotency::WithKey(policy::api::DedupScope::All, window)
            }
            Idempotency::NonIdempotent => policy::api::Idempotency::NotIdempotent,
        };
        assert_eq!(parsed.idempotency, effect);
    }
    for (parsed, plan) in site.settings.plans.iter().zip(&scenario.site.plans) {
        assert_eq!(
            (parsed.rate, parsed.burst, parsed.max_concurrent),
            (plan.rate, plan.burst, plan.max_in_flight)
        );
        assert_eq!(
            (parsed.weight_factor, parsed.over_quota_weight),
            (plan.weight_factor, plan.over_quota_weight_share)
        );
        assert_eq!(parsed.over_quota_cost, plan.over_quota_cost);
        let ceiling = (parsed.ceiling_rate, parsed.ceiling_burst, parsed.ceiling_slack);
        assert_eq!(ceiling, (plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_slack));
    }
}

#[test]
fn retry_after_and_counter_are_absent_if_the_site_has_none() {
    let mut scenario = Scenario::default();
    assert_eq!(parse_settings(&scenario, 0).settings.max_retry_after, None);
    scenario.site.counter.enabled = false;
    assert!(!parse_settings(&scenario, 0).settings.has_counter);
    assert_eq!(config_document(&scenario, 0, &gateway_start()).get("counter"), None);
}

#[test]
fn the_settings_have_exactly_the_keys_of_the_platform() {
    let keys = |value: &Value| value.as_object().map(|map| map.keys().cloned().collect::<BTreeSet<_>>());
    let set = |names: &str| Some(names.split(' ').map(str::to_owned).collect::<BTreeSet<_>>());
    let settings = settings(&Scenario::default(), 2);
    assert_eq!(
        keys(&settings),
        set("allowed balancers clients discovery domain family feedback goal localities machine-types me prices \
             rules services tariffs tick tier tiers weights zone")
    );
    assert_eq!(
        keys(&settings["allowed"]),
        set("cancel conn-idle cpu-us-per-request cpu-us-per-s dial-timeout max-attempts max-open \
             max-retry-after max-streams may-duplicate peer-messages probes retry-after")
    );
    assert_eq!(
        keys(&settings["domain"]),
        set("count-fee counter-timeout metering peer-intake post-paid shared-counter units-top")
    );
    assert_eq!(
        keys(&settings["rules"]),
        set("answer-slack cold cold-share drain-grace fall fall-multiple must-ask-in")
    );
    assert_eq!(
        keys(&settings["services"][0]),
        set("aim dedup-scope hard-limit key-ttl late-worth name semantics stream worth")
    );
    assert_eq!(
        keys(&settings["tariffs"][0]),
        set(
            "burst cap-slack ceiling-rate concurrency extra-worth name never-over-depth overrun-cost refill \
             worth-factor"
        )
    );
    assert_eq!((settings["me"].as_u64(), settings["zone"].as_u64()), (Some(2), Some(2)));
    // Durations are integers, as the platform writes them.
    assert_eq!(settings["services"][0]["aim"], json!(600_000_000_u64));
    assert_eq!(settings["rules"]["drain-grace"], json!(250_000_000_u64));
}

fn gateway_start() -> GatewayStart {
    GatewayStart {
        name: "gateway-2".into(),
        listen: ([127, 0, 0, 1], 7002).into(),
        discovery: ([127, 0, 0, 1], 8500).into(),
        counter: ([127, 0, 0, 1], 6400).into(),
        seed: 0x5e,
        known_endpoints: json!({"generation": 0, "reset": true, "instances": []}),
    }
}

#[test]
fn the_config_document_has_the_documented_form() {
    let scenario = unusual_scenario();
    let wanted = json!({
        "name": "gateway-2",
        "listen": "127.0.0.1:7002",
        "discovery": "127.0.0.1:8500",
        "counter": "127.0.0.1:6400",
        "seed": "000000000000005e",
        "limits": {"cores": 1.0, "memory_mb": 100, "sockets": 512},
        "known": {"generation": 0, "reset": true, "instances": []},
        "settings": settings(&scenario, 1),
    });
    assert_eq!(config_document(&scenario, 1, &gateway_start()), wanted);
}
