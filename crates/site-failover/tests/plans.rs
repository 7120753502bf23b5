//! Plans from files: what they are compiled to, and whether the fleet carries a loss.

use std::path::Path;

use config_language::loader::Memory;
use config_language::model::Operators;
use site_failover::capacity_check::{check_loss, check_losses, LoadFit, LossOutcome, TrafficMix};
use site_failover::{
    FailoverPlan, FailoverTarget, OperatorOverride, PlatformNames, SiteSet, DEFAULT_RECOVERY_RAMP,
};

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn operators(text: &str) -> Operators {
    let loaded = config_language::load(Path::new("site.fb"), &Memory::default().with("site.fb", text), None);
    let messages: Vec<String> = loaded.diagnostics.iter().map(|found| found.one_line()).collect();
    loaded.set.unwrap_or_else(|| panic!("{messages:#?}\n{text}")).operators
}

fn compile(operators: &Operators) -> Result<FailoverPlan, String> {
    let (classes, plans) = (names(&["read", "order"]), names(&["standard", "premium"]));
    let zones = names(&["z1", "z2", "z3", "z4"]);
    let facts = PlatformNames { classes: &classes, plans: &plans, zones: &zones };
    FailoverPlan::compile(operators, &facts).map_err(|error| error.to_string())
}

fn plan(text: &str) -> FailoverPlan {
    compile(&operators(text)).unwrap()
}

/// Sites `a`, `b`, ... in the zones `z1`, `z2`, ..., each with these settings.
fn sites(settings: &[&str]) -> String {
    let site = |(n, settings): (usize, &&str)| {
        let name = char::from(b'a' + n as u8);
        format!("site \"{name}\" {{\n  zones = \"z{}\"\n  {settings}\n}}\n", n + 1)
    };
    settings.iter().enumerate().map(site).collect()
}

/// `a>b 60%`: `b` takes this part of the load of `a`; without a share what is left.
fn takeovers(all: &str) -> String {
    let one = |text: &str| {
        let (sites, share) = text.split_once(' ').unwrap_or((text, ""));
        let (lost, by) = sites.split_once('>').unwrap();
        let share = if share.is_empty() { String::new() } else { format!("  share = {share}\n") };
        format!("takeover \"{lost}-{by}\" {{\n  lost = \"{lost}\"\n  by = \"{by}\"\n{share}}}\n")
    };
    all.split(", ").filter(|text| !text.is_empty()).map(one).collect()
}

const SHEDS: &str = "shed \"reads\" {\n  classes = \"read\"\n  floor = 20 %\n}\n\
                     shed \"standard\" {\n  plans = \"standard\"\n  floor = 60 %\n}\n";

#[test]
fn names_become_the_numbers_of_the_platform() {
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
    let taker = |site, share| FailoverTarget { site, fraction: share };
    assert_eq!(a.failover_targets, [taker(1, 0.6), taker(2, 0.2), taker(3, 0.2)]);
    assert_eq!(b.failover_targets, [taker(0, 1.0)]);
    // Reads of both plans, and of the rest standard orders; nothing is left for the third.
    let rungs: Vec<(&str, &[usize], f64)> =
        plan.shedding.tiers.iter().map(|rung| (rung.name.as_str(), &rung.cells[..], rung.floor)).collect();
    assert_eq!(rungs, [("reads", &[0, 1][..], 0.2), ("standard", &[2][..], 0.6)]);
    assert_eq!(compile(&Operators::default()).unwrap().sites, []);
}

#[test]
fn what_cannot_be_put_in_force_names_its_place() {
    let two = operators(&(sites(&["", ""]) + &takeovers("a>b")));
    let changed = |change: fn(&mut Operators)| {
        let mut operators = two.clone();
        change(&mut operators);
        compile(&operators).unwrap_err()
    };
    let cases: [(String, &str); 12] = [
        (changed(|o| o.sites[0].zones.value[0] = "moon".into()), "2:11: the platform has no zone `moon`"),
        (changed(|o| o.sites[1].zones.value[0] = "z1".into()), "6:11: zone `z1` is in two sites"),
        (changed(|o| o.sites[1].name.value = "a".into()), "5:6: a second site has the name `a`"),
        (changed(|o| o.takeovers[0].by.value = "c".into()), "11:8: there is no site `c`"),
        (changed(|o| o.takeovers[0].lost.value = "c".into()), "10:10: there is no site `c`"),
        (changed(|o| o.takeovers[0].lost.value = "b".into()), "11:8: site `b` cannot take over from itself"),
        (
            changed(|o| o.takeovers.push(o.takeovers[0].clone())),
            "11:8: site `b` takes over twice from the same site",
        ),
        (
            changed(|o| {
                o.takeovers[0].share =
                    Some(config_language::model::At { value: 1.5, origin: Default::default() })
            }),
            "11:8: the shares of site `a` are not between nothing and the whole",
        ),
        (
            changed(|o| {
                o.sites[0].told = Some(config_language::model::At {
                    value: "gone".into(),
                    origin: o.sites[0].name.origin.clone(),
                })
            }),
            "1:6: `told` is `gone`, and has to be `lost` or `whole`",
        ),
        (
            changed(|o| {
                let one = o.sites[0].clone();
                o.sites = (0..64)
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
    for (told, expected) in cases {
        assert_eq!(told, format!("site.fb:{expected}"));
    }
}

/// A plan, a loss, and what comes of it.
struct Case {
    title: &'static str,
    sites: &'static [&'static str],
    takeovers: &'static str,
    lost: &'static [usize],
    /// Requests a second that each site is asked for then.
    asked: &'static [(usize, f64)],
    refused: f64,
    /// What each rung refuses, and what is beyond them.
    rungs: &'static [f64],
    beyond: f64,
}

const CASES: [Case; 10] = [
    Case {
        title: "there is room at the taker",
        sites: &[
            "capacity = 600 requests/s\n  load = 300 requests/s",
            "capacity = 900 requests/s\n  load = 500 requests/s",
        ],
        takeovers: "a>b",
        lost: &[0],
        asked: &[(1, 800.0)],
        refused: 0.0,
        rungs: &[],
        beyond: 0.0,
    },
    Case {
        title: "45 % of the capacity are lost at the busiest hour",
        sites: &[
            "capacity = 900 requests/s\n  load = 720 requests/s",
            "capacity = 550 requests/s\n  load = 440 requests/s",
            "capacity = 550 requests/s\n  load = 440 requests/s",
        ],
        takeovers: "a>b, a>c",
        lost: &[0],
        asked: &[(1, 800.0), (2, 800.0)],
        // Of 1600 the 1100 are carried; the reads are half of all requests and give up to 80 %.
        refused: 500.0,
        rungs: &[500.0],
        beyond: 0.0,
    },
    Case {
        title: "two of three are lost, and floors cannot be kept",
        sites: &[
            "capacity = 600 requests/s\n  load = 400 requests/s",
            "capacity = 600 requests/s\n  load = 400 requests/s",
            "capacity = 300 requests/s\n  load = 200 requests/s",
        ],
        takeovers: "a>b, b>c",
        lost: &[0, 1],
        asked: &[(2, 1000.0)],
        // 400 of reads, then 100 of the 250 standard orders; 200 more than that.
        refused: 700.0,
        rungs: &[400.0, 100.0],
        beyond: 200.0,
    },
    Case {
        title: "without takers load goes where the least part of the room is used",
        sites: &[
            "capacity = 500 requests/s\n  load = 300 requests/s",
            "capacity = 500 requests/s\n  load = 400 requests/s",
            "capacity = 500 requests/s\n  load = 100 requests/s",
        ],
        takeovers: "",
        lost: &[0],
        asked: &[(1, 400.0), (2, 400.0)],
        refused: 0.0,
        rungs: &[],
        beyond: 0.0,
    },
    Case {
        title: "a site that is fuller than the others come to be gets nothing more",
        sites: &[
            "capacity = 500 requests/s\n  load = 300 requests/s",
            "capacity = 500 requests/s\n  load = 480 requests/s",
            "capacity = 500 requests/s\n  load = 100 requests/s",
        ],
        takeovers: "",
        lost: &[0],
        asked: &[(1, 480.0), (2, 400.0)],
        refused: 0.0,
        rungs: &[],
        beyond: 0.0,
    },
    Case {
        title: "what no takeover names goes there too",
        sites: &[
            "capacity = 500 requests/s\n  load = 300 requests/s",
            "capacity = 500 requests/s\n  load = 200 requests/s",
            "capacity = 500 requests/s\n  load = 200 requests/s",
        ],
        takeovers: "a>b 50 %",
        lost: &[0],
        asked: &[(1, 350.0), (2, 350.0)],
        refused: 0.0,
        rungs: &[],
        beyond: 0.0,
    },
    Case {
        title: "headroom is kept, and a taker's share stays its own though others have room",
        sites: &[
            "capacity = 600 requests/s\n  load = 300 requests/s",
            "capacity = 600 requests/s\n  load = 300 requests/s\n  headroom = 20 %",
            "capacity = 600 requests/s\n  load = 0 requests/s",
        ],
        takeovers: "a>b",
        lost: &[0],
        // 600 against a room of 480: a fifth of all 600 is refused.
        asked: &[(1, 600.0), (2, 0.0)],
        refused: 120.0,
        rungs: &[120.0],
        beyond: 0.0,
    },
    Case {
        title: "headroom takes nothing from a site's own load",
        sites: &[
            "capacity = 600 requests/s\n  load = 0 requests/s",
            "capacity = 600 requests/s\n  load = 590 requests/s\n  headroom = 20 %",
        ],
        takeovers: "a>b",
        lost: &[0],
        asked: &[(1, 590.0)],
        refused: 0.0,
        rungs: &[],
        beyond: 0.0,
    },
    Case {
        title: "the share of a taker that is lost too goes where waits are least",
        sites: &[
            "capacity = 600 requests/s\n  load = 300 requests/s",
            "capacity = 600 requests/s\n  load = 300 requests/s",
            "capacity = 900 requests/s\n  load = 200 requests/s",
            "capacity = 900 requests/s\n  load = 100 requests/s",
        ],
        takeovers: "a>b, b>c 50 %, b>d",
        lost: &[0, 1],
        asked: &[(2, 450.0), (3, 450.0)],
        refused: 0.0,
        rungs: &[],
        beyond: 0.0,
    },
    Case {
        title: "full to the last request is not too much",
        sites: &[
            "capacity = 0.7 requests/s\n  load = 0.1 requests/s",
            "capacity = 0.3 requests/s\n  load = 0.2 requests/s",
        ],
        takeovers: "a>b",
        lost: &[0],
        asked: &[(1, 0.3)],
        refused: 0.0,
        rungs: &[],
        beyond: 0.0,
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
fn near(a: f64, b: f64, title: &str) {
    assert!((a - b).abs() < 1e-6, "{a} for {b}: {title}");
}

#[test]
fn declared_capacities_tell_what_a_loss_comes_to() {
    for case in CASES {
        let plan = plan(&(sites(case.sites) + &takeovers(case.takeovers) + SHEDS));
        let fit = fit(&plan, case.lost, &TrafficMix::even(&plan.shedding));
        for (placed, (site, asked)) in fit.remaining_sites.iter().zip(case.asked) {
            assert_eq!(placed.site, *site, "{}", case.title);
            near(placed.own_load + placed.taken_over_load, *asked, case.title);
        }
        assert_eq!(fit.remaining_sites.len(), case.asked.len(), "{}", case.title);
        near(fit.shed, case.refused, case.title);
        assert_eq!(fit.is_carried(), case.refused == 0.0, "{}", case.title);
        assert_eq!(fit.shed_by_tier.len(), case.rungs.len(), "{}: {:?}", case.title, fit.shed_by_tier);
        fit.shed_by_tier
            .iter()
            .zip(case.rungs)
            .for_each(|(rung, refused)| near(rung.shed, *refused, case.title));
        near(fit.shed_beyond_tiers, case.beyond, case.title);
    }
}

#[test]
fn the_mix_of_requests_tells_how_far_a_rung_reaches() {
    let two = ["capacity = 500 requests/s\n  load = 400 requests/s"; 2];
    let plan = plan(&(sites(&two) + &takeovers("a>b, b>a") + SHEDS));
    // Of 800 requests a tenth are reads, which give 64; standard orders are half, and give 160; premium ones nothing.
    let fit = fit(&plan, &[0], &TrafficMix::from_weights(vec![1.0, 0.0, 5.0, 4.0]));
    near(fit.shed, 300.0, "refused");
    near(fit.shed_by_tier[0].shed, 64.0, "reads");
    near(fit.shed_by_tier[1].shed, 160.0, "standard orders");
    near(fit.shed_beyond_tiers, 76.0, "beyond the ladder");
}

#[test]
fn each_loss_of_one_and_of_two_is_looked_at() {
    let even = |plan: &FailoverPlan| check_losses(plan, &TrafficMix::even(&plan.shedding));
    let figures = "capacity = 600 requests/s\n  load = 100 requests/s";
    let sets = |plan: &FailoverPlan| -> Vec<u64> { even(plan).iter().map(|loss| loss.lost.0).collect() };
    assert_eq!(sets(&plan(&sites(&[figures; 3]))), [0b1, 0b10, 0b100, 0b11, 0b101, 0b110]);
    // One that is told lost is lost in all of them.
    let night = format!("{figures}\n  told = \"lost\"");
    let told = plan(&sites(&[figures, &night, figures]));
    assert_eq!(sets(&told), [0b10, 0b11, 0b110, 0b111]);
    assert_eq!(even(&told)[3].outcome, LossOutcome::NoSiteLeft);
    // What is not said is not known; the capacity of what is lost does not count.
    let half = plan(&sites(&["load = 100 requests/s", figures, "capacity = 9 requests/s"]));
    let outcomes: Vec<LossOutcome> = even(&half).into_iter().map(|loss| loss.outcome).collect();
    assert_eq!(outcomes[0], LossOutcome::MissingFigures(vec![2]));
    assert_eq!(outcomes[1], LossOutcome::MissingFigures(vec![0, 2]));
    assert_eq!(sets(&FailoverPlan::default()), [0; 0]);
}
