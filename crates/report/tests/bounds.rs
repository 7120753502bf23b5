//! Whatever the verdict, what is shown of it is whole, safe and not too large.

mod common;

use cluster_model::rng::Rng;
use invariants::*;
use report::{html, json, table, Heading};

const EVIL: &str = "</title></script><script>alert('\"&')</script><!--";

/// A verdict with texts that try to break out wherever a text from a file can stand.
fn evil() -> (Verdict, Heading) {
    let (mut verdict, mut heading) = common::night();
    heading.title = EVIL.into();
    heading.site = EVIL.into();
    heading.digest = Some(EVIL.into());
    verdict.events.push((3.0, EVIL.into()));
    verdict.notes.push(EVIL.into());
    verdict.violations[0].text = EVIL.into();
    verdict.classes[0].name = EVIL.into();
    verdict.plans[0].name = EVIL.into();
    (verdict, heading)
}

/// Two hours of a site of 500 hosts in which everything happens at once.
fn large() -> (Verdict, Heading) {
    let mut rng = Rng::stream(3, "large", 0);
    let second = |rng: &mut Rng| SecondFigures {
        offered: rng.below(20_000) as u32,
        served: rng.below(20_000) as u32,
        units: (0..20).map(|_| rng.between(0.0, 9e5)).collect(),
        quota: (0..20).map(|_| rng.between(0.0, 9e5)).collect(),
        busy: (0..500).map(|_| rng.chance(0.9).then(|| rng.unit())).collect(),
        ..SecondFigures::default()
    };
    let timeline = (0..7200).map(|_| second(&mut rng)).collect();
    let at = |i: u32| f64::from(i) * 1.3;
    let long = "x".repeat(5_000);
    let verdict = Verdict {
        timeline,
        events: (0..5_000).map(|i| (at(i), long.clone())).collect(),
        violations: (0..5_000)
            .map(|i| Violation { rule: Rule::Ceilings, at_s: at(i), text: long.clone() })
            .collect(),
        hosts: (0..500)
            .map(|host| HostFigures { host, overload_crashed: true, ..HostFigures::default() })
            .collect(),
        plans: vec![PlanFigures { name: long.clone(), ..PlanFigures::default() }; 300],
        classes: vec![ClassFigures { name: long.clone(), ..ClassFigures::default() }; 300],
        customers: vec![CustomerFigures { beyond_units: 1.0, ..CustomerFigures::default() }; 20_000],
        notes: vec![long.clone(); 1_000],
        ..Verdict::default()
    };
    (verdict, common::heading(&long))
}

/// A number of any size, or none.
fn wild(rng: &mut Rng) -> f64 {
    let any =
        [0.0, -0.0, 1.0, -7.5, 0.000_1, 9_999_999.4, 1e9, 1e300, f64::NAN, f64::INFINITY, f64::NEG_INFINITY];
    any[rng.below(any.len() as u64) as usize]
}

fn wild_whole(rng: &mut Rng) -> u64 {
    [0, 1, 9_999_999, 10_000_000, u64::MAX][rng.below(5) as usize]
}

fn wild_list(rng: &mut Rng) -> Vec<f64> {
    (0..rng.below(4)).map(|_| wild(rng)).collect()
}

/// A verdict whose figures are of any size and do not fit each other.
fn wild_verdict(rng: &mut Rng) -> Verdict {
    let name = ["", "a", "a name that is longer than any table has room for"][rng.below(3) as usize];
    let counts = Counts {
        asked: wild_whole(rng),
        served: wild_whole(rng),
        left: wild_whole(rng),
        ..Counts::default()
    };
    let latency = Latency { p50_ms: wild(rng), p95_ms: wild(rng), p99_ms: wild(rng), max_ms: wild(rng) };
    let plan = PlanFigures {
        name: name.into(),
        counts,
        customers: wild_whole(rng),
        asked_units: wild(rng),
        passed_units: wild(rng),
        beyond_units: wild(rng),
        weighted_quota_share: wild(rng),
        rejected_with_quota: wild(rng),
    };
    let customer = CustomerFigures {
        customer: wild_whole(rng),
        plan: rng.below(3) as u32,
        asked_units: wild(rng),
        passed_units: wild(rng),
        allowed_units: wild(rng),
        beyond_units: wild(rng),
        asked: wild_whole(rng),
        refused: wild_whole(rng),
        longest_refused_s: wild(rng),
    };
    let host =
        HostFigures { received: wild_whole(rng), connections: wild_whole(rng), ..HostFigures::default() };
    let busy = |rng: &mut Rng| (0..rng.below(5)).map(|_| rng.chance(0.5).then(|| wild(rng))).collect();
    let second = |rng: &mut Rng| SecondFigures {
        offered: wild_whole(rng) as u32,
        units: wild_list(rng),
        quota: wild_list(rng),
        busy: busy(rng),
        ..SecondFigures::default()
    };
    Verdict {
        violations: vec![Violation { rule: Rule::NoCrash, at_s: wild(rng), text: name.into() }],
        counts,
        weighted_score: wild(rng),
        classes: vec![ClassFigures { name: name.into(), counts, latency }],
        plans: vec![plan],
        customers: vec![customer],
        hosts: vec![host.clone(), host],
        attempts_per_request: wild(rng),
        timeline: (0..rng.below(5)).map(|_| second(rng)).collect(),
        events: (0..rng.below(5)).map(|_| (wild(rng), name.into())).collect(),
        ..Verdict::default()
    }
}

fn widest(text: &str) -> usize {
    text.lines().map(|line| line.chars().count()).max().unwrap_or(0)
}

/// Checks that each element that is opened is closed in its place.
fn check_nesting(page: &str) {
    let mut open: Vec<&str> = Vec::new();
    let mut rest = page;
    while let Some((_, after)) = rest.split_once('<') {
        let (tag, next) = after.split_once('>').expect("a tag ends");
        rest = next;
        let name = tag.trim_start_matches('/').split([' ', '\n', '/']).next().unwrap_or("");
        if tag.starts_with('/') {
            assert_eq!(open.pop(), Some(name), "closed out of place before {:.80}", next);
        } else if !tag.ends_with('/') && !tag.starts_with('!') && name != "meta" {
            open.push(name);
            // What stands in these two is no markup.
            if name == "script" || name == "style" {
                rest = &rest[rest.find(&format!("</{name}")).unwrap_or(0)..];
            }
        }
    }
    assert!(open.is_empty(), "left open: {open:?}");
}

#[test]
fn texts_from_files_are_no_markup() {
    let (verdict, heading) = evil();
    let page = html(&verdict, &heading);
    assert!(!page.contains("<script>alert") && !page.contains("</title></script>") && !page.contains("<!--"));
    assert_eq!(page.matches("<script").count(), 2);
    check_nesting(&page);
    assert!(page.contains("&lt;script&gt;alert(&#39;&quot;&amp;&#39;)"));
}

#[test]
fn texts_from_files_do_not_steer_the_terminal() {
    let (mut verdict, mut heading) = common::night();
    heading.title = "calm\u{1b}[2J\r\nday".into();
    verdict.plans[0].name = "gold\u{7}\n".into();
    verdict.violations[0].text = "\u{1b}]0;owned\u{7}".into();
    let text = table(&verdict, &heading);
    assert!(text.chars().all(|c| c == '\n' || !c.is_control()), "{text:?}");
}

#[test]
fn the_page_asks_for_nothing_from_anywhere() {
    let (verdict, heading) = common::night();
    let page = html(&verdict, &heading);
    for word in ["http:", "https:", "src=", "href=", "@import", "<link", "<img", "url(//", "fetch("] {
        // The one name that is no address: the namespace in which a script makes parts of drawings.
        let page = page.replace("http://www.w3.org/2000/svg", "");
        assert!(!page.contains(word), "{word}");
    }
    assert!(page.contains("default-src 'none'"));
}

#[test]
fn a_table_of_usual_figures_has_80_columns() {
    let (verdict, heading) = common::night();
    assert!(widest(&table(&verdict, &heading)) <= 80);
}

#[test]
fn rules_broken_many_times_have_80_columns() {
    let breach = |_| Violation { rule: Rule::NoDuplicateExecution, at_s: 7199.999, text: "again".into() };
    let verdict = Verdict { violations: (0..12_345).map(breach).collect(), ..Verdict::default() };
    let text = table(&verdict, &Heading::default());
    assert!(text.contains("12,345 times") && widest(&text) <= 80, "{text}");
}

#[test]
fn the_time_on_the_wall_is_in_neither_table_nor_page() {
    let (verdict, heading) = common::night();
    let slower = Heading { wall_s: Some(987.654), ..heading.clone() };
    assert_eq!(table(&verdict, &heading), table(&verdict, &slower));
    assert_eq!(html(&verdict, &heading), html(&verdict, &slower));
}

#[test]
fn large_runs_stay_within_bounds() {
    let (verdict, heading) = large();
    let text = table(&verdict, &heading);
    assert!(widest(&text) <= 100, "{}", widest(&text));
    let page = html(&verdict, &heading);
    assert!(page.len() < 2_000_000, "{} bytes", page.len());
    check_nesting(&page);
}

#[test]
fn runs_of_any_length_and_size_have_a_page() {
    for seconds in [0, 1, 2, 59, 599, 600, 601, 1801, 7200] {
        for hosts in [0, 1, 2, 60, 61] {
            let second =
                SecondFigures { offered: 3, busy: vec![Some(0.4); hosts], ..SecondFigures::default() };
            let verdict = Verdict { timeline: vec![second; seconds], ..Verdict::default() };
            check_nesting(&html(&verdict, &Heading::default()));
        }
    }
}

#[test]
fn figures_of_any_size_are_shown_as_numbers_or_as_none() {
    for seed in 0..400 {
        let mut rng = Rng::stream(seed, "wild", 0);
        let (verdict, mut heading) = (wild_verdict(&mut rng), common::heading("Any figures"));
        heading.length_s = wild(&mut rng);
        let text = table(&verdict, &heading);
        assert!(widest(&text) <= 100, "seed {seed}:\n{text}");
        let page = html(&verdict, &heading);
        check_nesting(&page);
        for word in ["NaN", "inf ", "inf\"", ">inf"] {
            assert!(!text.contains(word) && !page.contains(word), "seed {seed}: {word}");
        }
        let document: serde_json::Value = serde_json::from_str(&json(&verdict, &heading)).expect("JSON");
        assert_eq!(document["format"], 1);
    }
}
