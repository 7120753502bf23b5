//! The frame around plots: a figure with panels one above the other, which share a time axis, the flags of
//! the events above it, and the marks of broken rules.

use super::axis::{self, Tick};
use super::bins::Bins;
use super::flags::{self, Flag};
use crate::words::escape;
use invariants::Verdict;

/// Width of a drawing; its units are pixels of a wide screen.
pub(crate) const WIDTH: f64 = 960.0;
/// Room for the labels of the upright axis.
pub(crate) const LEFT: f64 = 62.0;
/// Width of the plots themselves.
pub(crate) const PLOT: f64 = WIDTH - LEFT - RIGHT;
/// Room for the last label of the time axis, half of which stands beyond the plot.
const RIGHT: f64 = 28.0;
/// Room above each panel for what it shows.
const HEADING: f64 = 28.0;
/// Room for the time axis.
const FOOT: f64 = 40.0;

/// An event of the scenario.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Event {
    /// Its number in the list, from 1.
    pub number: usize,
    /// Seconds from the first request.
    pub at_s: f64,
    /// Its words, as they came but for their length.
    pub text: String,
}

/// What all figures of a page share.
pub(crate) struct Sheet {
    /// The timeline.
    pub bins: Bins,
    /// The events, in order of time.
    pub events: Vec<Event>,
    /// Flags of those events that lie within the timeline.
    flags: Vec<Flag>,
    /// Where rules were broken, each place once.
    breaches: Vec<f64>,
}

/// A sign in a legend.
pub(crate) struct Key {
    /// The style class of the sign, which gives its colour.
    pub class: &'static str,
    /// What it stands for, as it came.
    pub label: String,
}

/// A plot.
pub(crate) struct Panel {
    /// What it shows, as it came.
    pub heading: String,
    /// Its height without heading.
    pub height: f64,
    /// Ticks of its upright axis: distance from the top, label.
    pub ticks: Vec<Tick>,
    /// Whether lines go across at the ticks.
    pub lines: bool,
    /// The drawing, from (0, 0) to ([`PLOT`], `height`).
    pub body: String,
}

/// Plots that belong together.
pub(crate) struct Figure {
    /// A short name, fit for an `id`.
    pub id: &'static str,
    /// Its heading.
    pub title: &'static str,
    /// What to look for.
    pub caption: String,
    /// What those hear who do not see it.
    pub description: String,
    /// Its legend.
    pub keys: Vec<Key>,
    /// Its plots.
    pub panels: Vec<Panel>,
}

impl Sheet {
    /// What the figures of this verdict share.
    pub(crate) fn of(verdict: &Verdict, columns: usize) -> Sheet {
        let bins = Bins::of(verdict, columns);
        let seconds = bins.seconds as f64;
        let within = |at: &f64| (0.0..=seconds).contains(at);
        let events = events(verdict);
        let marks: Vec<(usize, f64)> = events
            .iter()
            .filter(|event| within(&event.at_s))
            .map(|event| (event.number, event.at_s / seconds * PLOT))
            .collect();
        let mut breaches: Vec<f64> = Vec::new();
        let mut times: Vec<f64> =
            verdict.violations.iter().map(|breach| breach.at_s).filter(within).collect();
        times.sort_by(f64::total_cmp);
        for x in times.iter().map(|at| at / seconds * PLOT) {
            if breaches.last().is_none_or(|last| x - last >= 2.0) {
                breaches.push(x);
            }
        }
        Sheet { bins, events, flags: flags::place(&marks, PLOT + RIGHT), breaches }
    }

    /// Width of a column.
    pub(crate) fn column(&self) -> f64 {
        // The last column may stand for fewer seconds than the others.
        PLOT * self.bins.step as f64 / self.bins.seconds as f64
    }

    /// Where a column begins, or the last one ends.
    pub(crate) fn edge(&self, column: usize) -> f64 {
        self.bins.edge(column) / self.bins.seconds as f64 * PLOT
    }
}

/// The events in order of time, numbered.
fn events(verdict: &Verdict) -> Vec<Event> {
    let mut sorted: Vec<&(f64, String)> = verdict.events.iter().collect();
    sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let event = |(i, (at_s, text)): (usize, &(f64, String))| Event {
        number: i + 1,
        at_s: *at_s,
        text: super::short(text),
    };
    sorted.into_iter().enumerate().map(event).collect()
}

/// A length in a drawing, short and the same everywhere.
pub(crate) fn px(length: f64) -> String {
    let text = format!("{length:.1}");
    match text.strip_suffix(".0") {
        Some("-0") => "0".into(),
        Some(whole) => whole.into(),
        None => text,
    }
}

/// The figure as a part of the page.
pub(crate) fn draw(sheet: &Sheet, figure: &Figure) -> String {
    let strip = flags::strip(&sheet.flags);
    let mut top = strip;
    let mut panels = String::new();
    let mut headings = String::new();
    for panel in &figure.panels {
        top += HEADING;
        panels += &draw_panel(panel, top);
        headings += &format!(
            "<text class=\"heading\" x=\"{}\" y=\"{}\">{}</text>\n",
            px(LEFT),
            px(top - 8.0),
            escape(&panel.heading)
        );
        top += panel.height;
    }
    let height = top + FOOT;
    let body = [panels, time_axis(sheet, top), marks(sheet, strip, top), headings].concat();
    let id = figure.id;
    format!(
        "<figure id=\"{id}\">\n<h3>{title}</h3>\n<p class=\"caption\">{caption}</p>\n{legend}\
         <div class=\"scroll\" tabindex=\"0\" role=\"group\" aria-label=\"{title}: plot\">\n\
         <svg viewBox=\"0 0 {width} {height}\" role=\"img\" aria-labelledby=\"{id}-title {id}-desc\" \
         data-plot=\"{id}\">\n<title id=\"{id}-title\">{title}</title>\n\
         <desc id=\"{id}-desc\">{description}</desc>\n{body}</svg>\n</div>\n</figure>\n",
        title = escape(figure.title),
        caption = escape(&figure.caption),
        legend = legend(sheet, &figure.keys),
        width = px(WIDTH),
        height = px(height),
        description = escape(&figure.description),
    )
}

fn draw_panel(panel: &Panel, top: f64) -> String {
    let height = px(panel.height);
    let mut drawing = format!(
        "<g transform=\"translate({} {})\" data-panel=\"{height}\">\n\
         <rect class=\"ground\" width=\"{}\" height=\"{height}\"/>\n",
        px(LEFT),
        px(top),
        px(PLOT)
    );
    let mut across = String::new();
    for (y, label) in &panel.ticks {
        across += &format!("M0 {}h{}", px(*y), px(PLOT));
        drawing +=
            &format!("<text class=\"tick up\" x=\"-8\" y=\"{}\">{}</text>\n", px(y + 4.0), escape(label));
    }
    if panel.lines {
        drawing += &format!("<path class=\"grid\" d=\"{across}\"/>\n");
    }
    drawing += &panel.body;
    drawing += &format!("<path class=\"axis\" d=\"M0 0V{height}H{}\"/>\n</g>\n", px(PLOT));
    drawing
}

fn time_axis(sheet: &Sheet, foot: f64) -> String {
    let seconds = sheet.bins.seconds as f64;
    let mut drawing = String::new();
    let mut strokes = String::new();
    for (at, label) in axis::time_ticks(seconds) {
        let x = px(LEFT + at / seconds * PLOT);
        strokes += &format!("M{x} {}v5", px(foot));
        drawing += &format!("<text class=\"tick over\" x=\"{x}\" y=\"{}\">{label}</text>\n", px(foot + 18.0));
    }
    format!(
        "<path class=\"axis\" d=\"{strokes}\"/>\n{drawing}\
         <text class=\"tick over\" x=\"{}\" y=\"{}\">time since the first request, {}</text>\n",
        px(LEFT + PLOT / 2.0),
        px(foot + 35.0),
        axis::time_unit(seconds)
    )
}

/// Lines and flags of the events, and marks where rules were broken.
fn marks(sheet: &Sheet, strip: f64, foot: f64) -> String {
    let mut lines = String::new();
    let mut drawing = String::new();
    for flag in &sheet.flags {
        lines += &format!("M{} {}V{}", px(LEFT + flag.x), px(flag.top + flags::HIGH), px(foot));
        drawing += &format!(
            "<rect class=\"flag\" x=\"{}\" y=\"{}\" width=\"{}\" height=\"{}\" rx=\"2\"/>\
             <text class=\"flag\" x=\"{}\" y=\"{}\">{}</text>\n",
            px(LEFT + flag.left),
            px(flag.top),
            px(flag.wide),
            px(flags::HIGH),
            px(LEFT + flag.left + flag.wide / 2.0),
            px(flag.top + 11.5),
            flag.label()
        );
    }
    let mut drops = String::new();
    let mut arrows = String::new();
    for x in &sheet.breaches {
        drops += &format!("M{} {}V{}", px(LEFT + x), px(strip + HEADING), px(foot));
        arrows += &format!("M{} {}h10l-5 8z", px(LEFT + x - 5.0), px(strip + HEADING - 8.0));
    }
    let path = |class: &str, d: &str| match d {
        "" => String::new(),
        d => format!("<path class=\"{class}\" d=\"{d}\"/>\n"),
    };
    [
        path("halo", &lines),
        path("event", &lines),
        path("halo", &drops),
        path("breach", &drops),
        path("arrow", &arrows),
        drawing,
    ]
    .concat()
}

fn legend(sheet: &Sheet, keys: &[Key]) -> String {
    let key = |class: &str, label: &str| {
        let tight = if label.is_empty() { " class=\"tight\"" } else { "" };
        format!("<li{tight}><i class=\"key {class}\"></i>{}</li>\n", escape(label))
    };
    let mut items: String = keys.iter().map(|one| key(one.class, &one.label)).collect();
    if !sheet.flags.is_empty() {
        items += &key("k-event", "event, numbered as in the list");
    }
    if !sheet.breaches.is_empty() {
        items += &key("k-breach", "a rule was broken");
    }
    format!("<ul class=\"legend\">\n{items}</ul>\n")
}
