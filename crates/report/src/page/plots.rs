//! The plots of rates: requests, quotas, gateways and counter calls.

use super::axis::Upright;
use super::figure::{px, Figure, Key, Panel, Sheet};
use super::hover::Series;
use crate::facts::plan_name;
use crate::number;
use invariants::Verdict;

/// Plans with a plot of their own.
const PLANS: usize = 8;

/// A figure and the values behind it.
pub(crate) type Plot = (Figure, Vec<Series>);

/// Titles of the figures here.
pub(crate) const TITLES: [&str; 3] = ["Requests", "Quota use by plan", "Gateways and counter"];

/// Tries offered, and what became of them.
pub(crate) fn requests(sheet: &Sheet) -> Plot {
    let bins = &sheet.bins;
    let series = vec![
        Series::new("offered", bins.series(|bin| bin.offered)),
        Series::new("served within the aim", bins.series(|bin| bin.served)),
        Series::new("served late", bins.series(|bin| bin.late)),
        Series::new("refused", bins.series(|bin| bin.refused)),
        Series::new("failed", bins.series(|bin| bin.failed)),
    ];
    let layers = stacked(&series[1..]);
    let axis = Upright::reaching(most(layers.iter().chain([&series[0].values])), 5.0, false);
    let height = 240.0;
    let mut body = String::new();
    let mut floor = vec![0.0; bins.columns.len()];
    for (layer, class) in layers.iter().zip(["served", "late", "refused", "failed"]) {
        body += &area(sheet, &axis, height, class, layer, &floor);
        floor.clone_from(layer);
    }
    body += &outline(sheet, &axis, height, "offered", &series[0].values);
    let classes = ["k-line", "served", "late", "refused", "failed"];
    let figure = Figure {
        id: "requests",
        title: TITLES[0],
        caption: format!("Tries by second, what became of them one above the other.{}", column_note(sheet)),
        description: describe(&series),
        keys: series.iter().zip(classes).map(|(one, class)| Key { class, label: one.name.clone() }).collect(),
        panels: vec![panel("tries per second".into(), height, &axis, body)],
    };
    (figure, series)
}

/// Units passed on against units granted, plan by plan.
pub(crate) fn quotas(sheet: &Sheet, verdict: &Verdict) -> Plot {
    let plans = sheet.bins.plans.min(PLANS);
    let mut panels = Vec::new();
    let mut series = Vec::new();
    for plan in 0..plans {
        let name = plan_name(verdict, plan);
        let units = sheet.bins.series(|bin| bin.units[plan]);
        let quota = sheet.bins.series(|bin| bin.quota[plan]);
        panels.push(quota_panel(sheet, &name, &units, &quota));
        series.push(Series::new(format!("{name}: passed"), units));
        series.push(Series::new(format!("{name}: granted"), quota));
    }
    let left_out = match sheet.bins.plans - plans {
        0 => String::new(),
        n => format!(" {n} more plans are not drawn."),
    };
    let caption =
        "Units passed on to hosts against the units that the quotas of the customers seen so far grant. \
                   Short peaks above the line are bursts that quotas allow; a long stay above it is not.";
    let figure = Figure {
        id: "quotas",
        title: TITLES[1],
        caption: format!("{caption}{left_out}"),
        description: describe(&series),
        keys: vec![
            Key { class: "served", label: "units passed".into() },
            Key { class: "over", label: "of those above what is granted".into() },
            Key { class: "k-dash", label: "units granted".into() },
        ],
        panels,
    };
    (figure, series)
}

fn quota_panel(sheet: &Sheet, name: &str, units: &[f64], quota: &[f64]) -> Panel {
    let height = 110.0;
    let axis = Upright::reaching(most([units, quota].iter()), 3.0, false);
    let inside: Vec<f64> = units.iter().zip(quota).map(|(units, quota)| units.min(*quota)).collect();
    let nothing = vec![0.0; units.len()];
    let body = [
        area(sheet, &axis, height, "served", &inside, &nothing),
        area(sheet, &axis, height, "over", units, &inside),
        outline(sheet, &axis, height, "granted", quota),
    ]
    .concat();
    panel(format!("{name}: units per second"), height, &axis, body)
}

/// Gateways that are up, and calls to the counter.
pub(crate) fn machines(sheet: &Sheet) -> Plot {
    let up = Series::new("gateways up", sheet.bins.series(|bin| bin.gateways_up));
    let calls = Series::new("counter calls per second", sheet.bins.series(|bin| bin.counter_calls));
    let simple = |series: &Series, class: &str, height: f64, whole: bool| {
        let axis = Upright::reaching(most([&series.values].into_iter()), 3.0, whole);
        let nothing = vec![0.0; series.values.len()];
        let body = area(sheet, &axis, height, class, &series.values, &nothing);
        panel(series.name.clone(), height, &axis, body)
    };
    let panels = vec![simple(&up, "up", 70.0, true), simple(&calls, "calls", 110.0, false)];
    let note = match sheet.bins.step {
        1 => String::new(),
        step => format!(" Each column shows the fewest gateways of its {step} s."),
    };
    let series = vec![up, calls];
    let figure = Figure {
        id: "machines",
        title: TITLES[2],
        caption: format!("Gateways that are up, and what they ask of the shared counter.{note}"),
        description: describe(&series),
        keys: vec![
            Key { class: "up", label: "gateways up".into() },
            Key { class: "calls", label: "counter calls".into() },
        ],
        panels,
    };
    (figure, series)
}

/// What a column stands for, where it is more than a second.
pub(crate) fn column_note(sheet: &Sheet) -> String {
    match sheet.bins.step {
        1 => String::new(),
        step => format!(" Each column is the mean of {step} s."),
    }
}

/// Mean and peak of each series, in words.
fn describe(series: &[Series]) -> String {
    let words = |series: &Series| {
        let sum: f64 = series.values.iter().sum();
        let mean = sum / series.values.len().max(1) as f64;
        let most = series.values.iter().copied().fold(0.0, f64::max);
        format!("{}: mean {}, most {}", series.name, number::fixed(mean, 1), number::fixed(most, 1))
    };
    if series.iter().all(|series| series.values.is_empty()) {
        return "Nothing to show.".into();
    }
    series.iter().map(words).collect::<Vec<_>>().join("; ") + "."
}

fn panel(heading: String, height: f64, axis: &Upright, body: String) -> Panel {
    let ticks = axis.ticks.iter().map(|(value, label)| (height - axis.rise(*value, height), label.clone()));
    Panel { heading, height, ticks: ticks.collect(), lines: true, body }
}

fn most<'a, L: AsRef<[f64]> + ?Sized + 'a>(lists: impl Iterator<Item = &'a L>) -> f64 {
    lists.flat_map(|list| list.as_ref().iter().copied()).fold(0.0, f64::max)
}

/// Each series on top of those before it.
fn stacked(series: &[Series]) -> Vec<Vec<f64>> {
    let mut sum = vec![0.0; series.first().map_or(0, |first| first.values.len())];
    let mut layers = Vec::new();
    for one in series {
        sum = sum.iter().zip(&one.values).map(|(sum, value)| sum + value).collect();
        layers.push(sum.clone());
    }
    layers
}

/// What lies between two stepped lines.
fn area(sheet: &Sheet, axis: &Upright, height: f64, class: &str, top: &[f64], floor: &[f64]) -> String {
    if top.iter().zip(floor).all(|(top, floor)| top <= floor) {
        return String::new();
    }
    let y = |value: f64| px(height - axis.rise(value, height));
    let mut d = format!("M0 {}", y(floor[0]));
    steps(&mut d, (0..top.len()).map(|i| (y(top[i]), px(sheet.edge(i + 1)))));
    steps(&mut d, (0..top.len()).rev().map(|i| (y(floor[i]), px(sheet.edge(i)))));
    format!("<path class=\"{class}\" d=\"{d}z\"/>\n")
}

/// A stepped line.
fn outline(sheet: &Sheet, axis: &Upright, height: f64, class: &str, values: &[f64]) -> String {
    let Some(first) = values.first() else {
        return String::new();
    };
    let y = |value: f64| px(height - axis.rise(value, height));
    let mut d = format!("M0 {}", y(*first));
    steps(&mut d, values.iter().enumerate().map(|(i, value)| (y(*value), px(sheet.edge(i + 1)))));
    format!("<path class=\"{class}\" d=\"{d}\"/>\n")
}

/// Adds steps to a path: for each, up or down to its height, then along to its end. Steps of one height
/// become one.
fn steps(d: &mut String, steps: impl Iterator<Item = (String, String)>) {
    let mut last: Option<(String, String)> = None;
    for (height, end) in steps {
        if last.as_ref().is_some_and(|(same, _)| *same != height) {
            along(d, last.take());
        }
        last = Some((height, end));
    }
    along(d, last);
}

fn along(d: &mut String, step: Option<(String, String)>) {
    if let Some((height, end)) = step {
        *d += &format!("V{height}H{end}");
    }
}
