//! Prints what the design note of the loss of a site states. `cargo run --release -p site-failover-model --example
//! site_loss -- detection|alarms|returns|fleet|ladder|log`.

use policy::api::Time;
use site_failover::SiteHealth;
use site_failover_model::{calm, play, Back, Calm, Down, Played, Setting, Spill};

const SECOND: Time = 1_000_000_000;
const LOST_AT: Time = 30 * SECOND;

fn main() {
    match std::env::args().nth(1).as_deref() {
        Some("detection") => detection(),
        Some("alarms") => alarms(),
        Some("returns") => returns(),
        Some("fleet") => fleet(),
        Some("ladder") => ladder(),
        Some("log") => log(),
        _ => eprintln!("usage: site_loss detection|alarms|returns|fleet|ladder|log"),
    }
}

fn seconds(time: Time) -> f64 {
    time as f64 / SECOND as f64
}

/// When gateways came to hold the first site for something, in seconds.
fn when(played: &Played, state: SiteHealth, from: Time) -> Vec<f64> {
    let mut first = std::collections::BTreeMap::new();
    for change in played.changes.iter().filter(|change| change.site == 0 && change.at >= from) {
        if change.state == state && change.was != state {
            first.entry(change.gateway).or_insert(seconds(change.at - from));
        }
    }
    let mut times: Vec<f64> = first.into_values().collect();
    times.sort_by(f64::total_cmp);
    times
}

fn detection() {
    println!("| requests a second | failures | median, s | worst of 20, s |");
    println!("| --- | --- | --- | --- |");
    for rate in [1.0 / 6.0, 2.0, 10.0, 50.0, 500.0] {
        for down in [Down::Silent, Down::Refused, Down::Reset] {
            let mut times = vec![];
            for seed in 0..20 {
                let setting = Setting { seed, ..Setting::usual(1, rate) };
                let lasts = (20_000.0 / rate.max(40.0)) as Time * SECOND;
                let mut setting = setting.losing(LOST_AT, lasts, down, Back::Warm);
                setting.plan.sites.iter_mut().for_each(|site| site.capacity = Some(rate.max(300.0)));
                setting.lasts = LOST_AT + lasts;
                times.extend(when(&play(&setting), SiteHealth::Lost, LOST_AT));
            }
            times.sort_by(f64::total_cmp);
            let (median, worst) = (times.get(times.len() / 2), times.last());
            println!("| {rate:.2} | {down:?} | {median:.2?} | {worst:.2?} of {} |", times.len());
        }
    }
}

fn alarms() {
    println!("| requests a second | hours | load moved | doubtful | slow | 3, 5, 10 in a row |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (rate, hours) in [(2.0, 400), (10.0, 400), (50.0, 200), (500.0, 100)] {
        let found = calm(&Calm { lasts: hours * 3_600 * SECOND, rate, seed: 1 });
        let row: Vec<u32> = found.in_a_row.iter().map(|(_, count)| *count).collect();
        println!("| {rate} | {hours} | {} | {} | {} | {row:?} |", found.moved, found.doubtful, found.slow);
    }
}

fn returns() {
    println!("| return | begins, s | full share, s | most of its share | swings | returns begun | most in 60 s | fell over | worth kept | without a plan |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for back in [Back::Warm, Back::Cold, Back::Half, Back::Slow, Back::Flapping] {
        let mut setting = Setting::usual(8, 800.0).losing(LOST_AT, 30 * SECOND, Down::Silent, back);
        setting.lasts = 600 * SECOND;
        let back_at = LOST_AT + 30 * SECOND + if back == Back::Flapping { 120 * SECOND } else { 0 };
        let played = play(&setting);
        let begins = when(&played, SiteHealth::Recovering, LOST_AT + 30 * SECOND);
        let whole = when(&played, SiteHealth::Healthy, back_at);
        let (swings, begun, most) = turns(&played, setting.gateways);
        let fell: u32 = played.seconds.iter().map(|second| second.fell).sum();
        let bare = play(&Setting { spill: Spill::HostByHost, ..setting.clone() });
        let bare_fell: u32 = bare.seconds.iter().map(|second| second.fell).sum();
        println!(
            "| {back:?} | {:.1?} to {:.1?} | {:.1?} | {:.2} | {swings} | {begun} | {most} | {fell} ({bare_fell}) | {:.3} | {:.3} |",
            begins.first(),
            begins.last(),
            whole.last(),
            overshoot(&played, &setting),
            worth(&played),
            worth(&bare),
        );
    }
}

/// By gateway, at most: changes of the share's direction, returns begun, and those within any 60 s.
fn turns(played: &Played, gateways: u32) -> (usize, usize, usize) {
    let mut most = (0, 0, 0);
    for gateway in 0..gateways {
        let own = || played.changes.iter().filter(|change| change.site == 0 && change.gateway == gateway);
        let shares: Vec<f64> = own().map(|change| change.share).collect();
        let moves: Vec<bool> = shares.windows(2).filter(|w| w[0] != w[1]).map(|w| w[1] > w[0]).collect();
        let swings = moves.windows(2).filter(|w| w[0] != w[1]).count();
        let begun: Vec<Time> = own()
            .filter(|change| change.state == SiteHealth::Recovering && change.was != SiteHealth::Recovering)
            .map(|change| change.at)
            .collect();
        let within = |from: Time| begun.iter().filter(|at| (from..from + 60 * SECOND).contains(*at)).count();
        let crowded = begun.iter().map(|at| within(*at)).max().unwrap_or(0);
        most = (most.0.max(swings), most.1.max(begun.len()), most.2.max(crowded));
    }
    most
}

/// The most that the first site was sent in a second after the loss, as a share of its part of what is asked for.
fn overshoot(played: &Played, setting: &Setting) -> f64 {
    let from = (setting.losses[0].at + setting.losses[0].lasts) / SECOND;
    let most = played.seconds.iter().skip(from as usize).map(|second| second.sent[0]).max().unwrap_or(0);
    f64::from(most) / (setting.traffic.rate / setting.plan.sites.len() as f64)
}

/// Share of the worth that was earned from the loss on: a request of a later cell is worth twice the one before.
fn worth(played: &Played) -> f64 {
    let (mut asked, mut served) = (0.0, 0.0);
    for second in played.seconds.iter().skip((LOST_AT / SECOND) as usize) {
        for cell in 0..second.asked.len() {
            let worth = f64::from(1_u32 << cell);
            asked += worth * f64::from(second.asked[cell]);
            served += worth * f64::from(second.served[cell]);
        }
    }
    served / asked
}

fn fleet() {
    println!("| gateways | down | lost, s | begins, s | whole, s | trials a second, most | sent to it while lost, most of its share | while it returns, most |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for gateways in [3, 30, 300_u32] {
        for lost_for in [5, 30, 300] {
            let mut setting = Setting::usual(gateways, f64::from(gateways) * 60.0);
            setting.hosts = (u64::from(gateways) * 3 / 5).max(4);
            let mut setting = setting.losing(LOST_AT, lost_for * SECOND, Down::Silent, Back::Cold);
            let back_at = LOST_AT + lost_for * SECOND;
            setting.lasts = back_at + 200 * SECOND;
            let played = play(&setting);
            let span = |times: &[f64]| match (times.first(), times.last()) {
                (Some(first), Some(last)) => format!("{first:.1} to {last:.1} ({})", times.len()),
                _ => "-".to_string(),
            };
            let lost = when(&played, SiteHealth::Lost, LOST_AT);
            let last_lost = lost.last().map_or(5, |last| *last as u64 + 2);
            let while_lost = |second: &u64| *second >= 30 + last_lost && *second < back_at / SECOND;
            let all = 0..setting.lasts / SECOND;
            let trials = all.clone().filter(while_lost).map(|s| played.seconds[s as usize].trials[0]).max();
            let share = setting.traffic.rate / 3.0;
            let sent = (30..30 + last_lost.min(lost_for)).map(|s| played.seconds[s as usize].sent[0]).max();
            let after =
                all.skip((back_at / SECOND) as usize).map(|s| played.seconds[s as usize].sent[0]).max();
            println!(
                "| {gateways} | {lost_for} s | {} | {} | {} | {trials:?} | {:.2} | {:.2} |",
                span(&lost),
                span(&when(&played, SiteHealth::Recovering, back_at)),
                span(&when(&played, SiteHealth::Healthy, back_at)),
                f64::from(sent.unwrap_or(0)) / share,
                f64::from(after.unwrap_or(0)) / share,
            );
        }
    }
}

fn ladder() {
    let mut setting = Setting::usual(8, 800.0).losing(LOST_AT, 60 * SECOND, Down::Silent, Back::Cold);
    setting.plan.sites.iter_mut().for_each(|site| site.capacity = Some(800.0 * 0.42));
    setting.lasts = 240 * SECOND;
    let played = play(&setting);
    println!("| second | level | batch in | browse in | search in | orders in | wanting | orders in time |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (number, second) in played.seconds.iter().enumerate().skip(28).filter(|(n, _)| *n < 50 || n % 10 == 0)
    {
        let share = |part: &[u32], cell: usize| f64::from(part[cell]) / f64::from(second.asked[cell].max(1));
        let let_in: Vec<String> =
            (0..4).map(|cell| format!("{:.2}", 1.0 - share(&second.shed, cell))).collect();
        let wanting: u32 = second.wanting.iter().sum();
        let orders = share(&second.served, 3);
        println!("| {number} | {:.2} | {} | {wanting} | {orders:.2} |", second.level, let_in.join(" | "));
    }
}

fn log() {
    let mut setting = Setting::usual(8, 800.0).losing(LOST_AT, 30 * SECOND, Down::Silent, Back::Cold);
    setting.lasts = 240 * SECOND;
    for change in play(&setting).changes.iter().filter(|change| change.gateway == 0) {
        println!("{:8.2} s  {}", seconds(change.at), change.line);
    }
}
