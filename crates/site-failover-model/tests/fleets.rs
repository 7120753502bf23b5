//! What many gateways, each deciding alone, come to together.

use site_failover::SiteHealth;
use site_failover_model::{calm, play, Back, Calm, Down, Figures, Played, Setting, Spill};

const SECOND: u64 = 1_000_000_000;

fn times(played: &Played, gateway: Option<u32>, state: SiteHealth) -> Vec<u64> {
    let own = played
        .changes
        .iter()
        .filter(|change| change.site == 0 && gateway.is_none_or(|g| g == change.gateway));
    own.filter(|change| change.state == state && change.was != state).map(|change| change.at).collect()
}

fn fell(played: &Played) -> u32 {
    played.seconds.iter().map(|second| second.fell).sum()
}

#[test]
fn no_kind_of_return_makes_hosts_fall_over_or_loads_more_than_its_share() {
    for back in [Back::Warm, Back::Cold, Back::Half, Back::Slow, Back::Flapping] {
        let mut setting = Setting::usual(4, 400.0).losing(20 * SECOND, 20 * SECOND, Down::Reset, back);
        setting.lasts = 400 * SECOND;
        let played = play(&setting);
        assert_eq!(fell(&played), 0, "{back:?}");
        let share = setting.traffic.rate / 3.0;
        let most = played.seconds.iter().skip(40).map(|second| second.sent[0]).max().unwrap_or(0);
        assert!(f64::from(most) < 1.45 * share, "{back:?}: {most} of {share}");
        for gateway in 0..4 {
            let begun = times(&played, Some(gateway), SiteHealth::Recovering);
            assert!(!begun.is_empty(), "{back:?}");
            assert!(begun.windows(2).all(|pair| pair[1] - pair[0] >= 60 * SECOND), "{back:?}: {begun:?}");
        }
    }
}

#[test]
fn without_a_plan_a_cold_site_is_made_to_fall_over() {
    let mut setting = Setting::usual(4, 400.0).losing(20 * SECOND, 20 * SECOND, Down::Reset, Back::Cold);
    setting.spill = Spill::HostByHost;
    assert!(fell(&play(&setting)) > 0);
}

#[test]
fn a_fleet_sees_a_loss_together_and_tries_the_site_at_its_stated_rate() {
    let mut setting = Setting::usual(60, 3_600.0).losing(20 * SECOND, 20 * SECOND, Down::Silent, Back::Cold);
    (setting.hosts, setting.lasts) = (36, 45 * SECOND);
    let played = play(&setting);
    let lost = times(&played, None, SiteHealth::Lost);
    assert_eq!(lost.len(), 60);
    assert!(lost.iter().all(|at| (20 * SECOND..24 * SECOND).contains(at)), "{lost:?}");
    let trials: Vec<u32> = (24..40).map(|second| played.seconds[second].trials[0]).collect();
    // Turns fall on the second's edge now and then; over more seconds they are 30 a second.
    assert!(trials.iter().sum::<u32>() <= 31 * 16 && trials.iter().any(|tried| *tried > 0), "{trials:?}");
}

#[test]
fn the_order_of_refusal_follows_the_plan_at_every_gateway_and_moment() {
    let mut setting = Setting::usual(4, 400.0).losing(20 * SECOND, 40 * SECOND, Down::Reset, Back::Cold);
    setting.plan.sites.iter_mut().for_each(|site| site.capacity = Some(400.0 * 0.4));
    let played = play(&setting);
    assert!(played.keeps.len() > 20);
    for (at, gateway, keep) in played.keeps.iter().filter(|(_, _, keep)| !keep.is_empty()) {
        for (number, rung) in setting.plan.shedding.tiers.iter().enumerate() {
            let before = &setting.plan.shedding.tiers[..number];
            let goes = keep[rung.cells[0]] < 1.0 - 1e-9;
            let spent = before.iter().all(|rung| keep[rung.cells[0]] <= rung.floor + 1e-9);
            assert!(!goes || spent, "{at} {gateway}: {keep:?}");
        }
        assert_eq!(keep[3], 1.0, "orders are in no rung");
    }
}

#[test]
fn ordinary_days_move_no_load() {
    for (rate, hours) in [(2.0, 40), (20.0, 10)] {
        let alarms = calm(&Calm { lasts: hours * 3_600 * SECOND, rate, seed: 7 });
        assert_eq!(alarms.moved, 0, "{rate}: {alarms:?}");
        assert!(alarms.in_a_row[1].1 > 0, "five failures in a row would have moved it: {alarms:?}");
    }
}

#[test]
fn the_same_seed_plays_the_same() {
    let play = |seed| {
        let setting = Setting { seed, ..Setting::usual(3, 150.0) };
        play(&setting.losing(10 * SECOND, 10 * SECOND, Down::Silent, Back::Cold)).changes
    };
    assert_eq!(play(3), play(3));
    assert_ne!(play(3), play(4));
}

#[test]
fn an_operators_plan_is_played_at_its_busiest_hour() {
    let usual = Setting::usual(3, 300.0);
    let of = |plan| Setting::of_plan(plan, 3, vec![0.5, 0.5, 0.0, 0.0], vec![1]);
    let mut setting =
        of(usual.plan.clone()).unwrap().losing(10 * SECOND, 20 * SECOND, Down::Reset, Back::Cold);
    setting.lasts = 150 * SECOND;
    let figures = Figures::of(&play(&setting), &setting, 0);
    assert_eq!(figures.lost.map(|(_, _, count)| count), Some(3));
    assert!(figures.lost.unwrap().1 < 5 * SECOND && figures.whole.unwrap().0 > 50 * SECOND, "{figures:?}");
    assert!(figures.served[1] > 0.85 && figures.fell == 0, "{figures:?}");
    let mut unsaid = usual.plan;
    unsaid.sites[1].load = None;
    assert!(of(unsaid).is_none());
}
