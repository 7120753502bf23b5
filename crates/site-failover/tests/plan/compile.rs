//! Compiling operators' files to plans.

use crate::support::{compile, operators, plan, sites, takeovers, SHEDS};
use config_language::model::Operators;
use site_failover::{FailoverTarget, OperatorOverride, DEFAULT_RECOVERY_RAMP};

#[test]
fn names_are_compiled_to_the_numbers_of_the_platform() {
    let text =
        sites(&["ramp = 45 s", "capacity = 90 requests/min\n  headroom = 10 %", "told = \"lost\"", ""])
            + &takeovers("a>b 60 %, a>c, a>d, b>a")
            + SHEDS
            + "shed \"nothing\" {\n  plans = \"standard\"\n  classes = \"read\"\n}\n";
    let plan = plan(&text);
    let [a, b, c, d] = &plan.sites[..] else { panic!("{plan:?}") };
    assert_eq!(
        (a.name.as_str(), &a.zones[..], a.recovery_ramp, a.capacity),
        ("a", &[0][..], 45_000_000_000, None)
    );
    assert_eq!(
        (b.capacity, b.headroom, b.recovery_ramp, b.operator_override),
        (Some(1.5), 0.1, DEFAULT_RECOVERY_RAMP, None)
    );
    assert_eq!((c.operator_override, &d.zones[..]), (Some(OperatorOverride::Lost), &[3][..]));
    let target = |site, fraction| FailoverTarget { site, fraction };
    assert_eq!(a.failover_targets, [target(1, 0.6), target(2, 0.2), target(3, 0.2)]);
    assert_eq!(b.failover_targets, [target(0, 1.0)]);
    // The tiers cover reads of both plans, and orders of the standard plan; no cell is left for the third tier.
    let tiers: Vec<(&str, &[usize], f64)> =
        plan.shedding.tiers.iter().map(|tier| (tier.name.as_str(), &tier.cells[..], tier.floor)).collect();
    assert_eq!(tiers, [("reads", &[0, 1][..], 0.2), ("standard", &[2][..], 0.6)]);
    assert_eq!(compile(&Operators::default()).unwrap().sites, []);
}

#[test]
fn an_invalid_plan_is_rejected_with_the_place_that_causes_it() {
    let two = operators(&(sites(&["", ""]) + &takeovers("a>b")));
    let changed = |change: fn(&mut Operators)| {
        let mut operators = two.clone();
        change(&mut operators);
        compile(&operators).unwrap_err()
    };
    let cases: [(String, &str); 12] = [
        (
            changed(|operators| operators.sites[0].zones.value[0] = "moon".into()),
            "2:11: the platform has no zone `moon`",
        ),
        (
            changed(|operators| operators.sites[1].zones.value[0] = "z1".into()),
            "6:11: zone `z1` is in two sites",
        ),
        (
            changed(|operators| operators.sites[1].name.value = "a".into()),
            "5:6: a second site has the name `a`",
        ),
        (changed(|operators| operators.takeovers[0].by.value = "c".into()), "11:8: there is no site `c`"),
        (changed(|operators| operators.takeovers[0].lost.value = "c".into()), "10:10: there is no site `c`"),
        (
            changed(|operators| operators.takeovers[0].lost.value = "b".into()),
            "11:8: site `b` cannot take over from itself",
        ),
        (
            changed(|operators| operators.takeovers.push(operators.takeovers[0].clone())),
            "11:8: site `b` takes over twice from the same site",
        ),
        (
            changed(|operators| {
                operators.takeovers[0].share =
                    Some(config_language::model::At { value: 1.5, origin: Default::default() })
            }),
            "11:8: the shares of site `a` must be between zero and its load, each and in total",
        ),
        (
            changed(|operators| {
                operators.sites[0].told = Some(config_language::model::At {
                    value: "gone".into(),
                    origin: operators.sites[0].name.origin.clone(),
                })
            }),
            "1:6: `told` is `gone`, and has to be `lost` or `whole`",
        ),
        (
            changed(|operators| {
                let one = operators.sites[0].clone();
                operators.sites = (0..64)
                    .map(|n| {
                        let mut site = one.clone();
                        site.name.value = format!("s{n}");
                        site.zones.value.clear();
                        site
                    })
                    .collect();
            }),
            "1:6: site `s63` is one too many: at most 63 sites",
        ),
        (
            compile(&operators(&(sites(&[""]) + "shed \"x\" { classes = \"sale\" }\n"))).unwrap_err(),
            "5:22: the platform has no class `sale`",
        ),
        (
            compile(&operators(&(sites(&[""]) + "shed \"x\" { plans = \"gold\" }\n"))).unwrap_err(),
            "5:20: the platform has no plan `gold`",
        ),
    ];
    for (message, expected) in cases {
        assert_eq!(message, format!("site.fb:{expected}"));
    }
}
