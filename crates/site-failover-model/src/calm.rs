//! Ordinary days, cheaply: one gateway, three sites, no queues. What is counted is whether anything moves load.

use cluster_model::rng::Rng;
use policy::api::{AttemptEnded, HostEntry, HostId, HostListKind, Outcome, RequestId, Span, Time};
use site_failover::{FailoverController, FailoverPlan, GatewayIdentity, Site, SiteHealth, Transition};

use crate::setting::{MILLISECOND, SECOND};

const SITES: u64 = 3;
const HOSTS: u64 = 6;
/// A simple rule beside: so many failures in a row at a site, whatever the hosts.
const RULES: [u32; 3] = [3, 5, 10];

/// False alarms by rule.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Alarms {
    /// How often a site was held for lost or cut off.
    pub moved: u32,
    /// How often one was held for doubtful.
    pub doubtful: u32,
    /// How often one was held for slow.
    pub slow: u32,
    /// How often a rule of so many failures in a row would have moved load.
    pub in_a_row: Vec<(u32, u32)>,
}

/// Ordinary days.
#[derive(Clone, Copy, Debug)]
pub struct Calm {
    /// How long.
    pub lasts: Span,
    /// Requests a second, at this gateway.
    pub rate: f64,
    /// For all chance.
    pub seed: u64,
}

/// What goes wrong now: troubles last 20 s, and one comes each minute.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    /// A host that fails, all of the time or half of it.
    bad: Option<(u64, f64)>,
    slow: Option<u64>,
    /// Share of attempts that fail everywhere.
    anywhere: f64,
    /// One site's attempts fail in this share.
    at_site: Option<(u64, f64)>,
    jump: f64,
    counter: bool,
    discovery: bool,
    replaced: bool,
}

fn trouble(rng: &mut Rng) -> Trouble {
    let all = SITES * HOSTS;
    let calm = Trouble { jump: 1.0, ..Trouble::default() };
    match rng.below(9) {
        0 => Trouble { bad: Some((rng.below(all), 1.0)), ..calm },
        1 => Trouble { bad: Some((rng.below(all), 0.5)), ..calm },
        2 => Trouble { slow: Some(rng.below(all)), ..calm },
        3 => Trouble { anywhere: 0.3, ..calm },
        4 => Trouble { at_site: Some((rng.below(SITES), 0.3)), ..calm },
        5 => Trouble { jump: 2.0, ..calm },
        6 => Trouble { counter: true, ..calm },
        7 => Trouble { discovery: true, ..calm },
        _ => Trouble { replaced: true, ..calm },
    }
}

fn plan() -> FailoverPlan {
    let site = |number: u64| Site {
        name: format!("site-{number}"),
        zones: vec![number as u32],
        capacity: None,
        load: None,
        headroom: 0.0,
        failover_targets: vec![],
        recovery_ramp: 60 * SECOND,
        operator_override: None,
    };
    FailoverPlan { sites: (0..SITES).map(site).collect(), ..FailoverPlan::default() }
}

/// Plays ordinary days.
pub fn calm(days: &Calm) -> Alarms {
    let mut rng = Rng::stream(days.seed, "calm", 0);
    let mut sites = FailoverController::new(
        plan(),
        GatewayIdentity { gateways: 8, gateway_index: 0, zone: 0 },
        days.seed,
        0,
    );
    let listed = |host: u64, started: Time| HostEntry {
        id: HostId(host),
        zone: (host % SITES) as u32,
        size: 1.0,
        started_at: started,
        ..HostEntry::default()
    };
    let entries: Vec<_> = (0..SITES * HOSTS).map(|host| listed(host, 0)).collect();
    sites.on_host_list(0, HostListKind::Full, &entries);
    let mut alarms = Alarms { in_a_row: RULES.map(|rule| (rule, 0)).to_vec(), ..Alarms::default() };
    let mut rows = [0_u32; SITES as usize];
    let (mut now, mut next, mut id, mut now_wrong) = (0, 0, 0, Trouble { jump: 1.0, ..Trouble::default() });
    while now < days.lasts {
        if now >= next {
            // Troubles and calm take turns: 20 s of one, 40 s of the other.
            let was_calm = next / SECOND % 60 == 0;
            next += if was_calm { 20 * SECOND } else { 40 * SECOND };
            now_wrong =
                if was_calm { trouble(&mut rng) } else { Trouble { jump: 1.0, ..Trouble::default() } };
            sites.on_counter_status(now, now_wrong.counter);
            sites.on_discovery_status(now, now_wrong.discovery);
            if now_wrong.replaced {
                let host = rng.below(SITES * HOSTS);
                sites.on_host_list(now, HostListKind::Delta, &[listed(host, now)]);
            }
        }
        now += rng.exponential(SECOND as f64 / (days.rate * now_wrong.jump)) as Span + 1;
        // Ticks that are due before this attempt ends come first.
        while sites.next_tick_at() <= now {
            let due = sites.next_tick_at();
            let turn = sites.tick(due);
            turn.into_iter().flat_map(|turn| turn.transitions).for_each(|said| alarms.count(&said));
        }
        id += 1;
        let host = rng.below(SITES * HOSTS);
        let ended = attempt(&now_wrong, host, id, &mut rng);
        let site = (host % SITES) as usize;
        let failed = !matches!(ended.outcome, Outcome::Ok | Outcome::Error);
        rows[site] = if failed { rows[site] + 1 } else { 0 };
        for (rule, count) in &mut alarms.in_a_row {
            *count += u32::from(rows[site] == *rule);
        }
        sites.on_attempt_ended(now, &ended);
    }
    alarms
}

fn attempt(wrong: &Trouble, host: u64, id: u64, rng: &mut Rng) -> AttemptEnded {
    let bad = wrong.bad.filter(|(bad, _)| *bad == host).map_or(0.0, |(_, share)| share);
    let at_site = wrong.at_site.filter(|(site, _)| *site == host % SITES).map_or(0.0, |(_, share)| share);
    let drawn = rng.unit();
    let outcome = if drawn < 0.05_f64.max(wrong.anywhere).max(bad).max(at_site) {
        [Outcome::Timeout, Outcome::ConnectionReset, Outcome::ConnectFailed][(id % 3) as usize]
    } else if drawn > 0.95 {
        Outcome::Error
    } else {
        Outcome::Ok
    };
    let slow = if wrong.slow == Some(host) { 5.0 } else { 1.0 };
    let took = (6.0 + rng.exponential(6.0)) * slow * MILLISECOND as f64;
    AttemptEnded {
        id: RequestId(id),
        attempt: 0,
        host: HostId(host),
        outcome,
        elapsed: took as Span,
        is_request_closed: true,
        quota_used: None,
        actual_units: None,
        report: None,
    }
}

impl Alarms {
    fn count(&mut self, said: &Transition) {
        let Transition::Site { current: now, .. } = said else { return };
        match now.health {
            SiteHealth::Lost | SiteHealth::Unreachable => self.moved += 1,
            SiteHealth::Suspect => self.doubtful += 1,
            SiteHealth::Slow => self.slow += 1,
            SiteHealth::Healthy | SiteHealth::Probing | SiteHealth::Recovering => {}
        }
    }
}
