//! Whether the fleet can carry a loss, according to the declared capacities and loads.

use crate::support::{plan, sites, takeovers, SHEDS};
use site_failover::capacity_check::{check_loss, check_losses, LoadFit, LossOutcome, TrafficMix};
use site_failover::{FailoverPlan, SiteSet};

/// A plan, a loss, and its outcome. Rates are in requests per second.
struct Case {
    title: &'static str,
    sites: &'static [&'static str],
    takeovers: &'static str,
    lost: &'static [usize],
    /// Load of each remaining site.
    demand: &'static [(usize, f64)],
    shed: f64,
    shed_by_tier: &'static [f64],
    shed_beyond_tiers: f64,
}

const CASES: [Case; 10] = [
    Case {
        title: "the failover target has capacity",
        sites: &[
            "capacity = 600 requests/s\n  load = 300 requests/s",
            "capacity = 900 requests/s\n  load = 500 requests/s",
        ],
        takeovers: "a>b",
        lost: &[0],
        demand: &[(1, 800.0)],
        shed: 0.0,
        shed_by_tier: &[],
        shed_beyond_tiers: 0.0,
    },
    Case {
        title: "45 % of the capacity is lost at the busiest hour",
        sites: &[
            "capacity = 900 requests/s\n  load = 720 requests/s",
            "capacity = 550 requests/s\n  load = 440 requests/s",
            "capacity = 550 requests/s\n  load = 440 requests/s",
        ],
        takeovers: "a>b, a>c",
        lost: &[0],
        demand: &[(1, 800.0), (2, 800.0)],
        // Of 1600, 1100 are served; reads are half of all requests, and up to 80 % of them are shed.
        shed: 500.0,
        shed_by_tier: &[500.0],
        shed_beyond_tiers: 0.0,
    },
    Case {
        title: "two of three sites are lost, and floors cannot be guaranteed",
        sites: &[
            "capacity = 600 requests/s\n  load = 400 requests/s",
            "capacity = 600 requests/s\n  load = 400 requests/s",
            "capacity = 300 requests/s\n  load = 200 requests/s",
        ],
        takeovers: "a>b, b>c",
        lost: &[0, 1],
        demand: &[(2, 1000.0)],
        // 400 reads, then 100 of the 250 standard orders; 200 more than that.
        shed: 700.0,
        shed_by_tier: &[400.0, 100.0],
        shed_beyond_tiers: 200.0,
    },
    Case {
        title: "without failover targets load goes to the sites with the lowest utilization",
        sites: &[
            "capacity = 500 requests/s\n  load = 300 requests/s",
            "capacity = 500 requests/s\n  load = 400 requests/s",
            "capacity = 500 requests/s\n  load = 100 requests/s",
        ],
        takeovers: "",
        lost: &[0],
        demand: &[(1, 400.0), (2, 400.0)],
        shed: 0.0,
        shed_by_tier: &[],
        shed_beyond_tiers: 0.0,
    },
    Case {
        title: "a site with a higher utilization than the others reach gets nothing more",
        sites: &[
            "capacity = 500 requests/s\n  load = 300 requests/s",
            "capacity = 500 requests/s\n  load = 480 requests/s",
            "capacity = 500 requests/s\n  load = 100 requests/s",
        ],
        takeovers: "",
        lost: &[0],
        demand: &[(1, 480.0), (2, 400.0)],
        shed: 0.0,
        shed_by_tier: &[],
        shed_beyond_tiers: 0.0,
    },
    Case {
        title: "load without a failover target goes there too",
        sites: &[
            "capacity = 500 requests/s\n  load = 300 requests/s",
            "capacity = 500 requests/s\n  load = 200 requests/s",
            "capacity = 500 requests/s\n  load = 200 requests/s",
        ],
        takeovers: "a>b 50 %",
        lost: &[0],
        demand: &[(1, 350.0), (2, 350.0)],
        shed: 0.0,
        shed_by_tier: &[],
        shed_beyond_tiers: 0.0,
    },
    Case {
        title: "headroom is kept, and a target keeps its fraction though others have capacity",
        sites: &[
            "capacity = 600 requests/s\n  load = 300 requests/s",
            "capacity = 600 requests/s\n  load = 300 requests/s\n  headroom = 20 %",
            "capacity = 600 requests/s\n  load = 0 requests/s",
        ],
        takeovers: "a>b",
        lost: &[0],
        // 600 against a usable capacity of 480: a fifth of all 600 is shed.
        demand: &[(1, 600.0), (2, 0.0)],
        shed: 120.0,
        shed_by_tier: &[120.0],
        shed_beyond_tiers: 0.0,
    },
    Case {
        title: "headroom does not reduce a site's own load",
        sites: &[
            "capacity = 600 requests/s\n  load = 0 requests/s",
            "capacity = 600 requests/s\n  load = 590 requests/s\n  headroom = 20 %",
        ],
        takeovers: "a>b",
        lost: &[0],
        demand: &[(1, 590.0)],
        shed: 0.0,
        shed_by_tier: &[],
        shed_beyond_tiers: 0.0,
    },
    Case {
        title: "the fraction of a target that is lost too goes to the lowest utilization",
        sites: &[
            "capacity = 600 requests/s\n  load = 300 requests/s",
            "capacity = 600 requests/s\n  load = 300 requests/s",
            "capacity = 900 requests/s\n  load = 200 requests/s",
            "capacity = 900 requests/s\n  load = 100 requests/s",
        ],
        takeovers: "a>b, b>c 50 %, b>d",
        lost: &[0, 1],
        demand: &[(2, 450.0), (3, 450.0)],
        shed: 0.0,
        shed_by_tier: &[],
        shed_beyond_tiers: 0.0,
    },
    Case {
        title: "a utilization of exactly 1 is no overload",
        sites: &[
            "capacity = 0.7 requests/s\n  load = 0.1 requests/s",
            "capacity = 0.3 requests/s\n  load = 0.2 requests/s",
        ],
        takeovers: "a>b",
        lost: &[0],
        demand: &[(1, 0.3)],
        shed: 0.0,
        shed_by_tier: &[],
        shed_beyond_tiers: 0.0,
    },
];

fn fit(plan: &FailoverPlan, lost: &[usize], mix: &TrafficMix) -> LoadFit {
    let lost = lost.iter().copied().fold(SiteSet::NONE, SiteSet::with);
    match check_loss(plan, lost, mix) {
        LossOutcome::Computed(fit) => fit,
        other => panic!("{other:?}"),
    }
}

#[track_caller]
fn assert_near(actual: f64, expected: f64, title: &str) {
    assert!((actual - expected).abs() < 1e-6, "{actual} for {expected}: {title}");
}

#[test]
fn declared_capacities_determine_the_outcome_of_a_loss() {
    for case in CASES {
        let title = case.title;
        let plan = plan(&(sites(case.sites) + &takeovers(case.takeovers) + SHEDS));
        let fit = fit(&plan, case.lost, &TrafficMix::even(&plan.shedding));
        for (remaining, (site, demand)) in fit.remaining_sites.iter().zip(case.demand) {
            assert_eq!(remaining.site, *site, "{title}");
            assert_near(remaining.own_load + remaining.taken_over_load, *demand, title);
        }
        assert_eq!(fit.remaining_sites.len(), case.demand.len(), "{title}");
        assert_near(fit.shed, case.shed, title);
        assert_eq!(fit.is_carried(), case.shed == 0.0, "{title}");
        assert_eq!(fit.shed_by_tier.len(), case.shed_by_tier.len(), "{title}: {:?}", fit.shed_by_tier);
        for (tier, shed) in fit.shed_by_tier.iter().zip(case.shed_by_tier) {
            assert_near(tier.shed, *shed, title);
        }
        assert_near(fit.shed_beyond_tiers, case.shed_beyond_tiers, title);
    }
}

#[test]
fn the_traffic_mix_determines_how_much_a_tier_sheds() {
    let two = ["capacity = 500 requests/s\n  load = 400 requests/s"; 2];
    let plan = plan(&(sites(&two) + &takeovers("a>b, b>a") + SHEDS));
    // Of 800 requests a tenth are reads, of which 64 are shed; half are standard orders, of which 160 are shed; premium
    // orders belong to no tier.
    let fit = fit(&plan, &[0], &TrafficMix::from_weights(vec![1.0, 0.0, 5.0, 4.0]));
    assert_near(fit.shed, 300.0, "in total");
    assert_near(fit.shed_by_tier[0].shed, 64.0, "reads");
    assert_near(fit.shed_by_tier[1].shed, 160.0, "standard orders");
    assert_near(fit.shed_beyond_tiers, 76.0, "beyond the tiers");
}

#[test]
fn each_loss_of_one_site_and_of_two_is_checked() {
    let check = |plan: &FailoverPlan| check_losses(plan, &TrafficMix::even(&plan.shedding));
    let lost_sites =
        |plan: &FailoverPlan| -> Vec<u64> { check(plan).iter().map(|loss| loss.lost.0).collect() };
    let figures = "capacity = 600 requests/s\n  load = 100 requests/s";
    assert_eq!(lost_sites(&plan(&sites(&[figures; 3]))), [0b1, 0b10, 0b100, 0b11, 0b101, 0b110]);
    // A site that operators have set to lost is lost in all of them.
    let set_lost = format!("{figures}\n  told = \"lost\"");
    let second_lost = plan(&sites(&[figures, &set_lost, figures]));
    assert_eq!(lost_sites(&second_lost), [0b10, 0b11, 0b110, 0b111]);
    assert_eq!(check(&second_lost)[3].outcome, LossOutcome::NoSiteLeft);
    // The capacity of a lost site need not be declared.
    let incomplete = plan(&sites(&["load = 100 requests/s", figures, "capacity = 9 requests/s"]));
    let outcomes: Vec<LossOutcome> = check(&incomplete).into_iter().map(|loss| loss.outcome).collect();
    assert_eq!(outcomes[0], LossOutcome::MissingFigures(vec![2]));
    assert_eq!(outcomes[1], LossOutcome::MissingFigures(vec![0, 2]));
    assert_eq!(lost_sites(&FailoverPlan::default()), [0; 0]);
}
