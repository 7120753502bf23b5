//! Leases: blocks, return, settlement, and a counter that is silent, empty or slow.
mod common;
use common::counter::{Fault, Trouble};
use common::site::{Customer, Habit, Plot, Site, START};
use common::*;
use policy::api::*;
use policy::counter_keys;
use quota::{GatewaySet, WindowedLimiter};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Sends a request and answers its call with the total that other gateways leave.
fn lease(g: &mut Harness, id: u64, units: f64, others: f64, total: &mut f64) -> Vec<Action> {
    let mut actions = g.request(id, 0, 7, units);
    for (name, amount) in calls(&actions) {
        *total += amount + others;
        actions.extend(g.counted(name, Outcome::Ok, *total));
    }
    actions
}

#[test]
fn units_are_leased_before_the_first_send_and_a_block_serves_several() {
    let (mut g, mut total) = (Harness::new(settings(), 60), 0.0);
    let first = g.request(1, 0, 7, 2.0);
    assert!(sends(&first).is_empty(), "nothing goes out before the lease");
    let (name, amount) = calls(&first)[0];
    assert!(amount >= 2.0);
    total += amount;
    assert_eq!(sends(&g.counted(name, Outcome::Ok, total)).len(), 1);
    let mut asked = 0;
    for id in 2..8 {
        g.pass(100 * MS);
        asked += calls(&lease(&mut g, id, 1.0, 0.0, &mut total)).len();
    }
    assert!(asked < 6, "blocks of several units, not a call a request: {asked}");
}

/// More requests of a customer wait for the counter than are tried at once: those behind wait as well, and are let in by
/// answers that cover them.
#[test]
fn requests_behind_those_that_are_tried_are_let_in_by_answers_that_cover_them() {
    let plan =
        Plan { rate: 1_000.0, burst: 1_000.0, weight_factor: 1.0, over_quota_cost: 0.5, ..Plan::default() };
    let (mut g, mut total) = (Harness::new(Settings { plans: vec![plan], ..settings() }, 60), 0.0);
    let mut actions: Vec<Action> = (1..=40).flat_map(|id| g.request(id, 1, 7, 2.0)).collect();
    let mut sent = 0;
    while !actions.is_empty() {
        sent += sends(&actions).len();
        let refused = (1..=40).filter(|id| refused(&actions, *id)).count();
        assert_eq!(refused, 0, "beyond a quota of 1,000 units, with {sent} sent");
        let mut news = Vec::new();
        for (name, amount) in calls(&actions) {
            total += amount;
            news.extend(g.counted(name, Outcome::Ok, total));
        }
        news.extend(g.pass(20 * MS));
        actions = news;
    }
    // Whatever still waits is refused in its time.
    g.pass(1_000 * MS);
    assert_eq!(sent, 40);
}

#[test]
fn beyond_what_the_store_holds_requests_are_refused() {
    let (mut g, mut total) = (Harness::new(settings(), 60), 0.0);
    let mut sent = 0;
    for id in 1..=60 {
        sent += sends(&lease(&mut g, id, 1.0, 0.0, &mut total)).len();
    }
    assert!((15..=17).contains(&sent), "the cheap class leaves the last units to the worthier one: {sent}");
    for id in 100..=160 {
        let mut actions = g.request(id, 1, 7, 1.0);
        for (name, amount) in calls(&actions) {
            total += amount;
            actions.extend(g.counted(name, Outcome::Ok, total));
        }
        sent += sends(&actions).len();
    }
    assert!((18..=20).contains(&sent), "a burst of 20 units lets in 20 at most: {sent}");
}

#[test]
fn units_used_by_other_gateways_are_not_there_for_us() {
    let (mut g, mut total) = (Harness::new(settings(), 60), 0.0);
    let actions = lease(&mut g, 1, 2.0, 100.0, &mut total);
    assert!(sends(&actions).is_empty());
    assert!(refused(&g.pass(400 * MS), 1) || refused(&actions, 1));
}

#[test]
fn true_units_are_settled_through_the_lease() {
    let settings = settings();
    let (mut g, mut total) = (Harness::new(settings, 60), 0.0);
    let mut sent = 0;
    for id in 1..=40 {
        for (request, host) in sends(&lease(&mut g, id, 1.0, 0.0, &mut total)) {
            sent += 1;
            let end = AttemptEnded {
                id: request,
                attempt: 0,
                host,
                outcome: Outcome::Ok,
                elapsed: 50 * MS,
                is_request_closed: true,
                quota_used: None,
                actual_units: Some(4.0),
                report: None,
            };
            g.on(Event::AttemptEnded(end));
        }
    }
    assert!((4..=6).contains(&sent), "20 units are spent by five requests of four: {sent}");
}

#[test]
fn a_refusing_counter_leaves_a_local_part_to_every_customer() {
    let mut g = Harness::new(settings(), 60);
    let mut sent = 0;
    for id in 1..=60 {
        let actions = g.request(id, 0, id % 6, 1.0);
        sent += sends(&actions).len();
        for (name, _) in calls(&actions) {
            sent += sends(&g.counted(name, Outcome::Rejected, 0.0)).len();
        }
    }
    assert!(sent >= 42, "most of an even part of each store is let in: {sent}");
    let more: usize = (100..140).map(|id| calls(&g.request(id, 0, id % 6, 1.0)).len()).sum();
    assert_eq!(more, 0, "a dead counter is not called for every request");
    g.pass(1_100 * MS);
    assert_eq!(calls(&g.request(200, 0, 1, 1.0)).len(), 1, "but tried again after a while");
}

#[test]
fn a_total_that_went_backwards_leaves_no_debt() {
    let mut g = Harness::new(settings(), 60);
    let (mut totals, mut sent, mut looked) = (BTreeMap::<CounterKey, f64>::new(), 0, 0);
    for id in 1..=80 {
        if id == 40 {
            totals.clear();
        }
        let mut actions = g.pass(200 * MS);
        looked += calls(&actions).iter().filter(|(_, amount)| *amount == 0.0).count();
        actions.extend(g.request(id, 0, 1, 1.0));
        while !actions.is_empty() {
            sent += sends(&actions).len();
            let answers = calls(&actions).into_iter().flat_map(|(name, amount)| {
                let total = totals.entry(name).or_default();
                *total += amount;
                g.counted(name, Outcome::Ok, *total)
            });
            actions = answers.collect();
        }
    }
    assert!(sent >= 75, "five units a second of a rate of ten: {sent}");
    assert!(looked > 0, "the other numbers are looked at as well");
}

#[test]
fn a_ceiling_in_doubt_refuses() {
    let mut settings = settings();
    settings.plans[0].ceiling_rate = 20.0;
    settings.plans[0].ceiling_burst = 40.0;
    let mut g = Harness::new(settings, 60);
    let mut sent = 0;
    for id in 1..=20 {
        let actions = g.request(id, 0, 7, 1.0);
        sent += sends(&actions).len();
        for (name, _) in calls(&actions) {
            sent += sends(&g.counted(name, Outcome::Timeout, 0.0)).len();
        }
    }
    assert_eq!(sent, 0);
}

#[test]
fn without_a_counter_a_customer_gets_its_even_part() {
    let mut settings = settings();
    settings.has_counter = false;
    let mut g = Harness::new(settings, 60);
    let sent: usize = (1..=60).map(|id| sends(&g.request(id, 0, 7, 1.0)).len()).sum();
    assert!((7..=12).contains(&sent), "about half of a burst of 20 for a spread of 2: {sent}");
}

/// One of 200 gateways meets a customer spread over all of them: how many of 200 requests it lets in when
/// all gateways together are asked for `use_of_rate` times the customer's rate.
fn let_in_when_spread(use_of_rate: f64) -> usize {
    let many = Settings { gateways: 200, ..settings() };
    let set = GatewaySet { first_gateway: 0, set_size: 200, gateway_index: 0, gateways: 200 };
    let windows = WindowedLimiter::new(many.plans[0].rate, many.plans[0].burst, set.phase(), set.set_size);
    let mut g = Harness::new(many, 60);
    let mut sent = 0;
    for id in 1..=200 {
        let request = Request {
            id: RequestId(id),
            units: 2.0,
            remaining: 4_000 * MS,
            set_size: 200,
            ..Request::default()
        };
        let mut actions = g.on(Event::Request(request));
        for (name, amount) in calls(&actions) {
            // In a window, which has a number of its own, all are asked for as much as was said.
            let window = windows.window_at(g.now);
            assert_eq!(name, counter_keys::demand(CustomerId(0), window));
            let lasted = (g.now - windows.window_start(window)) as f64 / windows.window_length() as f64;
            let asked = use_of_rate * 20.0 * lasted;
            actions.extend(g.counted(name, Outcome::Ok, asked + amount));
        }
        for (request, host) in sends(&actions) {
            sent += 1;
            g.ended(request.0, 0, host, Outcome::Ok);
        }
        g.pass(100 * MS);
    }
    sent
}

#[test]
fn a_customer_spread_thin_is_rationed_by_what_all_gateways_are_asked_for() {
    let (calm, heavy) = (let_in_when_spread(0.3), let_in_when_spread(4.0));
    assert!(calm >= 180, "inside its quota nearly all of it comes in: {calm}");
    assert!((1..=60).contains(&heavy), "at four times its quota at most its ration does: {heavy}");
}

#[test]
fn calls_fall_while_the_counter_has_no_room_and_rise_again() {
    let mut g = Harness::new(Settings { gateways: 200, ..settings() }, 60);
    let asked = |g: &mut Harness, ids: std::ops::Range<u64>, outcome: Outcome| {
        let mut count = 0;
        for id in ids {
            let request = Request {
                id: RequestId(id),
                units: 1.0,
                remaining: 4_000 * MS,
                customer: CustomerId(id),
                ..Request::default()
            };
            let mut actions = g.on(Event::Request(Request { set_size: 200, ..request }));
            for (name, _) in calls(&actions) {
                count += 1;
                actions.extend(g.counted(name, outcome, 1.0));
            }
            for (request, host) in sends(&actions) {
                g.ended(request.0, 0, host, Outcome::Ok);
            }
            g.pass(200 * MS);
        }
        count
    };
    let before = asked(&mut g, 1..100, Outcome::Ok);
    let during = asked(&mut g, 100..200, Outcome::Timeout);
    asked(&mut g, 200..400, Outcome::Ok);
    let after = asked(&mut g, 400..500, Outcome::Ok);
    assert!(during * 2 < before && after * 3 > before * 2, "{before}, then {during}, then {after} calls");
}

#[test]
fn customers_and_hosts_that_come_and_go_leave_nothing_behind() {
    let mut g = Harness::new(Settings { gateways: 200, ..settings() }, 0);
    let (mut id, mut most) = (0, 0);
    for round in 0..40 {
        g.list(HostListKind::Full, (1..=20).map(|host| entry(1_000 * round + host)).collect());
        for _ in 0..100 {
            id += 1;
            let request = Request {
                id: RequestId(id),
                customer: CustomerId(id),
                units: 1.0,
                set_size: 200,
                ..Request::default()
            };
            let mut actions = g.on(Event::Request(Request { remaining: 4_000 * MS, ..request }));
            for (name, amount) in calls(&actions) {
                actions.extend(g.counted(name, Outcome::Ok, amount));
            }
            for (request, host) in sends(&actions) {
                g.ended(request.0, 0, host, Outcome::Ok);
            }
            g.pass(100 * MS);
        }
        most = most.max(g.policy.size());
    }
    assert!(most < 1_500, "4,000 customers and 800 hosts came and went: {most} records at the most");
    g.pass(120_000 * MS);
    assert!(g.policy.size() <= 20, "only the hosts of the last list are left: {}", g.policy.size());
}

#[test]
fn any_spread_and_any_number_of_gateways_give_sound_decisions() {
    for (gateways, spread) in
        [(1, 0), (1, 1), (1, 10_000), (3, 0), (3, 3), (5_000, 1), (5_000, 4_000), (5_000, u32::MAX)]
    {
        let mut g = Harness::new(Settings { gateways, ..settings() }, 60);
        let (mut sent, mut refusals) = (0, 0);
        for id in 1..=100 {
            let request = Request {
                id: RequestId(id),
                units: 1.0,
                remaining: 4_000 * MS,
                set_size: spread,
                ..Request::default()
            };
            let mut actions = g.on(Event::Request(request));
            for (name, amount) in calls(&actions) {
                assert!(
                    amount.is_finite() && amount >= 0.0,
                    "{gateways} gateways, spread {spread}: adds {amount}"
                );
                actions.extend(g.counted(name, Outcome::Ok, amount));
            }
            actions.extend(g.pass(1_000 * MS));
            for (request, host) in sends(&actions) {
                sent += 1;
                g.ended(request.0, 0, host, Outcome::Ok);
            }
            refusals += (1..=id).filter(|id| refused(&actions, *id)).count();
        }
        assert_eq!(sent + refusals, 100, "{gateways} gateways, spread {spread}: each request has its answer");
        assert!(sent > 0, "{gateways} gateways, spread {spread}: a customer far inside its quota is let in");
    }
}

/// One gateway of one, with a customer whose store holds one request of two units and hardly fills.
fn tight() -> Harness {
    let mut settings = Settings { gateways: 1, ..settings() };
    (settings.plans[0].rate, settings.plans[0].burst) = (0.01, 2.0);
    Harness::new(settings, 60)
}

/// Asks for the whole store, answers the calls, and gives the sends.
fn ask_for_all(g: &mut Harness, id: u64, total: &mut f64) -> Vec<(RequestId, HostId)> {
    let mut actions = g.request(id, 1, 7, 2.0);
    for (name, amount) in calls(&actions) {
        *total += amount;
        actions.extend(g.counted(name, Outcome::Ok, *total));
    }
    sends(&actions)
}

/// Lets each attempt of a request end like this until it has its final answer.
fn end_all(g: &mut Harness, mut out: Vec<(RequestId, HostId)>, outcome: Outcome) -> u32 {
    let mut attempt = 0;
    while let Some((id, host)) = out.pop() {
        out.extend(sends(&g.ended(id.0, attempt, host, outcome)));
        attempt += 1;
    }
    attempt
}

#[test]
fn a_request_that_reached_no_host_gives_its_units_back() {
    let (mut g, mut total) = (tight(), 0.0);
    let out = ask_for_all(&mut g, 1, &mut total);
    assert!(end_all(&mut g, out, Outcome::ConnectFailed) > 1, "it is tried at several hosts");
    assert_eq!(ask_for_all(&mut g, 2, &mut total).len(), 1, "its units are there for the next one");
    assert_eq!(ask_for_all(&mut g, 3, &mut total).len(), 0, "and only once");
}

#[test]
fn a_request_that_came_whole_to_a_host_keeps_its_units() {
    for outcome in
        [Outcome::Rejected, Outcome::ConnectionReset, Outcome::Timeout, Outcome::Error, Outcome::Cancelled]
    {
        let (mut g, mut total) = (tight(), 0.0);
        let out = ask_for_all(&mut g, 1, &mut total);
        end_all(&mut g, out, outcome);
        assert_eq!(ask_for_all(&mut g, 2, &mut total).len(), 0, "{outcome:?}");
    }
    let (mut g, mut total) = (tight(), 0.0);
    let (id, host) = ask_for_all(&mut g, 1, &mut total)[0];
    let next = sends(&g.ended(id.0, 0, host, Outcome::Rejected));
    end_all(&mut g, next, Outcome::ConnectFailed);
    assert_eq!(
        ask_for_all(&mut g, 2, &mut total).len(),
        0,
        "the first attempt has come whole, the others not"
    );
}

#[test]
fn an_attempt_that_is_withdrawn_unsent_gives_its_units_back_once() {
    let (mut g, mut total) = (tight(), 0.0);
    let (id, host) = ask_for_all(&mut g, 1, &mut total)[0];
    let left = g.on(Event::ClientDisconnected { id });
    assert!(left.contains(&Action::Cancel { id, attempt: 0 }));
    assert_eq!(ask_for_all(&mut g, 2, &mut total).len(), 0, "it may have been sent");
    g.ended(id.0, 0, host, Outcome::NotSent);
    g.ended(id.0, 0, host, Outcome::NotSent);
    g.on(Event::ClientDisconnected { id });
    assert_eq!(ask_for_all(&mut g, 3, &mut total).len(), 1, "it was not");
    assert_eq!(ask_for_all(&mut g, 4, &mut total).len(), 0);
}

/// Answers all calls with what they add, and gives the sends.
fn sent_when_counted(g: &mut Harness, mut actions: Vec<Action>) -> Vec<(RequestId, HostId)> {
    while let Some(at) = actions.iter().position(|action| matches!(action, Action::AddToCounter { .. })) {
        let (name, amount) = calls(&[actions.swap_remove(at)])[0];
        actions.extend(g.counted(name, Outcome::Ok, amount));
    }
    sends(&actions)
}

#[test]
fn a_rationed_customer_has_no_more_attempts_out_than_its_plan_allows() {
    let mut many = Settings { gateways: 200, ..settings() };
    many.plans[0].max_concurrent = 200;
    let mut g = Harness::new(many, 60);
    let (mut out, mut most, mut sent) = (VecDeque::<(RequestId, HostId)>::new(), 0, 0);
    for id in 1..=100 {
        let request = Request { id: RequestId(id), units: 1.0, remaining: 4_000 * MS, ..Request::default() };
        let mut actions = g.on(Event::Request(Request { set_size: 200, ..request }));
        actions.extend(g.pass(20 * MS));
        let over = if id % 5 == 0 { out.pop_front() } else { None };
        if let Some((request, host)) = over {
            actions.extend(g.ended(request.0, 0, host, Outcome::Ok));
        }
        let more = sent_when_counted(&mut g, actions);
        sent += more.len();
        out.extend(more);
        most = most.max(out.len());
    }
    assert_eq!(most, 1, "this gateway's part of the limit");
    assert!(sent >= 18, "and each that ends makes room: {sent}");
}

/// What a counter of one's own holds, for one gateway of one.
#[derive(Default)]
struct Book {
    totals: BTreeMap<CounterKey, f64>,
}

impl Book {
    /// Answers all calls; those to `name` as given: added or not, answered or not.
    fn answer(
        &mut self,
        g: &mut Harness,
        actions: &mut Vec<Action>,
        name: CounterKey,
        (added, said): (bool, bool),
    ) {
        for (called, amount) in calls(actions) {
            let odd = called == name;
            let total = self.totals.entry(called).or_default();
            *total += if odd && !added { 0.0 } else { amount };
            let outcome = if odd && !said { Outcome::Timeout } else { Outcome::Ok };
            actions.extend(g.counted(called, outcome, *total));
        }
    }
}

/// One gateway is in the dark for two seconds from the start, and is back: units sent until the counter was
/// asked for some, and whole units under the late name after the first call that told went like this.
fn told_after_the_dark(first: (bool, bool)) -> (f64, f64) {
    let (mut g, mut book) = (Harness::new(Settings { gateways: 1, ..settings() }, 60), Book::default());
    let [late, leased] =
        [counter_keys::reconciled, counter_keys::leased].map(|name| name(CustomerId(7), g.now));
    let (mut lent, mut how) = (0.0, first);
    for id in 1..80 {
        let dark = id < 20;
        let mut actions = if dark || id % 10 == 0 { g.request(id, 1, 7, 1.0) } else { Vec::new() };
        actions.extend(g.pass(100 * MS));
        let lends = dark || !book.totals.contains_key(&leased);
        let out = sends(&actions);
        lent += if lends { out.len() as f64 } else { 0.0 };
        if dark {
            for (name, _) in calls(&actions) {
                let more = sends(&g.counted(name, Outcome::ConnectFailed, 0.0));
                lent += more.len() as f64;
                more.iter().for_each(|(id, host)| drop(g.ended(id.0, 0, *host, Outcome::Ok)));
            }
        } else {
            // The first call to a number may only read.
            let tells = calls(&actions).iter().any(|(name, amount)| *name == late && *amount > 0.0);
            book.answer(&mut g, &mut actions, late, if tells { how } else { (true, true) });
            how = if tells { (true, true) } else { how };
        }
        out.iter().for_each(|(id, host)| drop(g.ended(id.0, 0, *host, Outcome::Ok)));
    }
    (lent, book.totals.get(&late).map_or(0.0, |total| total.floor()))
}

#[test]
fn what_was_lent_in_the_dark_is_told_exactly_once() {
    for first in [(true, true), (true, false), (false, false)] {
        let (lent, told) = told_after_the_dark(first);
        assert!(lent >= 10.0, "most of 18 units were let in: {lent}");
        assert_eq!(lent, told, "the first call to tell it was (added, answered): {first:?}");
    }
}

#[test]
fn who_gives_units_back_before_it_tells_still_tells_what_it_lends_later() {
    let mut g = Harness::new(Settings { gateways: 1, ..settings() }, 60);
    let late = counter_keys::reconciled(CustomerId(7), g.now);
    let mut told = Vec::new();
    for id in 1..40 {
        let mut actions = g.request(id, 1, 7, 1.0);
        let refuse = |g: &mut Harness, actions: &mut Vec<Action>| {
            for (name, _) in calls(actions) {
                actions.extend(g.counted(name, Outcome::Rejected, 0.0));
            }
        };
        refuse(&mut g, &mut actions);
        for (request, host) in sends(&actions) {
            // The early ones cost next to nothing, as it turns out.
            let true_units = Some(if id < 10 { 0.01 } else { 1.0 });
            let end = AttemptEnded {
                id: request,
                attempt: 0,
                host,
                outcome: Outcome::Ok,
                elapsed: 50 * MS,
                is_request_closed: true,
                quota_used: None,
                actual_units: true_units,
                report: None,
            };
            g.on(Event::AttemptEnded(end));
        }
        let mut actions = g.pass(200 * MS);
        told.extend(calls(&actions).into_iter().filter(|(name, _)| *name == late));
        refuse(&mut g, &mut actions);
    }
    assert!(told.len() >= 3, "it goes on trying: {told:?}");
}

#[test]
fn a_counter_that_is_back_is_called_no_more_than_300_times_a_second_at_first() {
    let customer = |n: usize| Customer {
        rate: 4.0,
        burst: 10.0,
        spread: 3,
        first: n % 3,
        most_units: 1,
        truth: 1.0,
        habit: Habit::Even(0.3),
        from: 0,
    };
    let (lost, back) = (START + 12_000 * MS, START + 20_000 * MS);
    let plot = Plot {
        fleets: 1,
        gateways: 3,
        start: START,
        length: 26_000 * MS,
        customers: (0..400).map(customer).collect(),
        troubles: vec![Trouble { fault: Fault::Lost, gateway: None, from: lost, until: back }],
        kills: Vec::new(),
        seed: 5,
    };
    let mut site = Site::new(plot);
    site.play();
    let calls =
        |from: Time| site.counter.calls.iter().filter(|at| (from..from + 1_000 * MS).contains(*at)).count();
    let after: Vec<usize> = (0..20).map(|tenth| calls(back + tenth * 100 * MS)).collect();
    // The pulses, four a second, do not wait.
    assert!(after.iter().all(|count| *count <= 305), "calls in each second after it is back: {after:?}");
    assert!(after.iter().any(|count| *count >= 100), "and it is used: {after:?}");
}

#[test]
fn a_ceiling_seen_in_part_gives_an_even_part_whatever_its_share_was() {
    let let_in = |others_beat: bool| {
        let mut settings = settings();
        settings.plans[0] = Plan { ceiling_rate: 20.0, ceiling_burst: 40.0, ..Plan::default() };
        let (mut g, mut total) = (Harness::new(settings, 60), 0.0);
        for round in 0..60 {
            ask(&mut g, 1_000 + round * 5..1_003 + round * 5, |_, amount| {
                total += amount;
                (Outcome::Ok, total)
            });
            g.pass(250 * MS);
        }
        g.others_beat = others_beat;
        g.pass(4_000 * MS);
        ask(&mut g, 1..81, |_, amount| {
            total += amount;
            (Outcome::Ok, total)
        })
    };
    let (whole, apart) = (let_in(true), let_in(false));
    assert!((36..=41).contains(&whole), "all of a store of 40: {whole}");
    assert!((15..=21).contains(&apart), "half of it for one of two gateways: {apart}");
}

/// Asks for one unit each and answers all calls; how many were sent on.
fn ask(
    g: &mut Harness,
    ids: std::ops::Range<u64>,
    mut answer: impl FnMut(CounterKey, f64) -> (Outcome, f64),
) -> usize {
    let mut sent = 0;
    for id in ids {
        let mut actions = g.request(id, 1, 7, 1.0);
        for (name, amount) in calls(&actions) {
            let (outcome, total) = answer(name, amount);
            actions.extend(g.counted(name, outcome, total));
        }
        for (request, host) in sends(&actions) {
            sent += 1;
            g.ended(request.0, 0, host, Outcome::Ok);
        }
    }
    sent
}

/// A counter that holds this, and what is added from now on, marks and all.
fn adds_to(mut total: f64) -> impl FnMut(CounterKey, f64) -> (Outcome, f64) {
    move |_, amount| {
        total += amount;
        (Outcome::Ok, total)
    }
}

fn no_connection(_: CounterKey, _: f64) -> (Outcome, f64) {
    (Outcome::ConnectFailed, 0.0)
}

#[test]
fn what_others_took_meanwhile_is_not_lent_once_the_counter_is_back() {
    let mut g = Harness::new(settings(), 60);
    ask(&mut g, 1..2, |_, amount| (Outcome::Ok, amount));
    let dark = ask(&mut g, 2..40, no_connection);
    assert!((8..=11).contains(&dark), "its part of a store of 20: {dark}");
    g.pass(2_000 * MS);
    // The first is lent while its call is on the way.
    let back = ask(&mut g, 40..60, |_, amount| (Outcome::Ok, 200.0 + amount));
    assert!(back <= 1, "the others took all there was: {back}");
}

#[test]
fn what_others_took_out_of_a_full_store_is_no_debt_after_the_dark() {
    let mut g = Harness::new(settings(), 60);
    let mut first = 0.0;
    ask(&mut g, 1..2, |_, amount| {
        first += amount;
        (Outcome::Ok, first)
    });
    // Ten units a second, of which the others take eight, and it does not look.
    g.pass(10_000 * MS);
    ask(&mut g, 2..8, no_connection);
    g.pass(1_000 * MS);
    let back = ask(&mut g, 8..28, adds_to(90.0 + first));
    assert!(back >= 7, "there is room for its part: {back}");
}

#[test]
fn who_was_met_in_the_dark_does_not_owe_all_of_the_epoch() {
    let mut g = Harness::new(settings(), 60);
    g.pass(30_000 * MS);
    ask(&mut g, 1..3, no_connection);
    g.pass(1_000 * MS);
    let back = ask(&mut g, 3..23, adds_to(200.0));
    assert!(back >= 7, "200 units of 350 are gone: {back}");
}

#[test]
fn who_was_met_just_before_the_dark_is_lent_nothing_beyond_its_part() {
    let let_in = |met_before: Span| {
        let mut g = Harness::new(settings(), 60);
        ask(&mut g, 1..2, |_, amount| (Outcome::Ok, amount));
        g.pass(met_before);
        ask(&mut g, 2..4, no_connection);
        g.pass(11_000 * MS);
        ask(&mut g, 4..60, no_connection)
    };
    let (new, known) = (let_in(4_000 * MS), let_in(12_000 * MS));
    assert!((8..=11).contains(&new), "half of a store of 20: {new}");
    assert!((17..=26).contains(&known), "and what is lent to one who is known: {known}");
}

#[test]
fn no_two_numbers_of_the_counter_share_a_name() {
    let mut all = BTreeSet::new();
    for epoch in 0..40 {
        let at = START + epoch * counter_keys::EPOCH;
        for customer in (0..200).chain((1 << 33) - 200..1 << 33).map(CustomerId) {
            assert!(all.insert(counter_keys::leased(customer, at)), "{customer:?}, leased in epoch {epoch}");
            assert!(
                all.insert(counter_keys::reconciled(customer, at)),
                "{customer:?}, told late in epoch {epoch}"
            );
        }
    }
    for beats in 0..80 {
        for group in 0..50 {
            let at = START + beats * quota::HEARTBEAT_EPOCH;
            assert!(all.insert(counter_keys::heartbeat(group, at)), "pulse of group {group}, epoch {beats}");
        }
    }
    let (first, late) = (START, START + counter_keys::EPOCH - 1);
    assert_eq!(
        counter_keys::leased(CustomerId(1), first),
        counter_keys::leased(CustomerId(1), late),
        "one name an epoch"
    );
}
