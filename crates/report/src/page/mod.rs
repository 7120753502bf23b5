//! One page with plots. It stands alone: style, script and drawings are inside, and it asks for nothing from
//! anywhere. Without its script only the read-out under the pointer is missing.

mod axis;
mod bins;
mod figure;
mod flags;
mod heat;
mod hover;
mod plots;

use crate::facts::{self, Column, Row, Section};
use crate::words::escape;
use crate::{number, rules, text, Heading};
use bins::{Bin, Bins};
use figure::Sheet;
use invariants::Verdict;

/// Columns of a plot at the most.
const COLUMNS: usize = 600;
/// Rows of the table of the timeline at the most.
const TIMELINE_ROWS: usize = 60;
/// Events in the list at the most.
const EVENTS: usize = 200;
/// Characters of a text from a file; no scenario makes the page large by a long line.
const LONGEST: usize = 200;

/// Titles of the page's own parts, beside those of the table.
#[cfg(test)]
pub(crate) fn titles() -> Vec<&'static str> {
    let mut titles = vec![heat::TITLE, EVENTS_TITLE, TIMELINE_TITLE];
    titles.extend(plots::TITLES);
    titles
}

const EVENTS_TITLE: &str = "Events";
const TIMELINE_TITLE: &str = "Figures by time";

/// The verdict as one HTML page that needs nothing else: no network, no other files. Two runs of one seed
/// give the same page.
pub fn html(verdict: &Verdict, heading: &Heading) -> String {
    let sheet = Sheet::of(verdict, COLUMNS);
    let title = escape(&short(text::title(heading)));
    [
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n".into(),
        "<meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\n".into(),
        "<meta name=\"color-scheme\" content=\"light dark\">\n".into(),
        // Whatever slipped into the page, it could not call anywhere.
        "<meta http-equiv=\"Content-Security-Policy\" content=\"default-src 'none'; \
         style-src 'unsafe-inline'; script-src 'unsafe-inline'\">\n"
            .into(),
        format!(
            "<title>{title} - rehearsal</title>\n<style>\n{}</style>\n</head>\n",
            include_str!("style.css")
        ),
        "<body>\n<main>\n".into(),
        head(verdict, heading, &title),
        rules_part(verdict, sheet.bins.seconds as f64),
        timeline_part(verdict, &sheet),
        figures_part(verdict),
        foot(),
        "</main>\n<div id=\"tip\" hidden></div>\n".into(),
        scripts(verdict, &sheet),
        "</body>\n</html>\n".into(),
    ]
    .concat()
}

/// A text from a file at a bearable length.
fn short(text: &str) -> String {
    crate::words::clip(text, LONGEST)
}

fn head(verdict: &Verdict, heading: &Heading, title: &str) -> String {
    let (of_rules, of_figures) = facts::sentences(verdict);
    let state = if verdict.violations.is_empty() { "good" } else { "bad" };
    let digest = match &heading.digest {
        Some(digest) => format!("<p class=\"digest\">digest <code>{}</code></p>\n", escape(&short(digest))),
        None => String::new(),
    };
    format!(
        "<header>\n<p class=\"kind\">Rehearsal</p>\n<h1>{title}</h1>\n<p class=\"played\">{}</p>\n{digest}\
         <p class=\"verdict {state}\"><strong>{}</strong> {}</p>\n{}</header>\n",
        escape(&short(&text::played(heading))),
        escape(&of_rules),
        escape(&of_figures),
        tiles(verdict)
    )
}

/// The figures that people look for first.
fn tiles(verdict: &Verdict) -> String {
    let counts = &verdict.counts;
    let of_asked = |number: u64| with_unit(number::percent(number as f64, counts.asked as f64));
    let beyond: f64 = verdict.plans.iter().map(|plan| plan.beyond_units).sum();
    let passed: f64 = verdict.plans.iter().map(|plan| plan.passed_units).sum();
    let tiles = [
        ("served", of_asked(counts.served)),
        ("within the aim", of_asked(counts.within_objective)),
        ("refused", of_asked(counts.refused)),
        ("failed", of_asked(counts.failed)),
        ("beyond quotas", with_unit(number::percent(beyond, passed))),
        ("the site's figure", number::fixed(verdict.weighted_score, 3)),
    ];
    let tile = |(name, value): &(&str, String)| format!("<div><dt>{name}</dt><dd>{value}</dd></div>\n");
    format!("<dl class=\"tiles\">\n{}</dl>\n", tiles.iter().map(tile).collect::<String>())
}

/// A share with its sign, where there is one.
fn with_unit(share: String) -> String {
    if share == number::NONE {
        share
    } else {
        escape(&format!("{share}\u{a0}%"))
    }
}

/// Rules, and how they were broken in a run of so many seconds.
fn rules_part(verdict: &Verdict, seconds: f64) -> String {
    let mut part = String::from("<section>\n<h2>Rules</h2>\n<ul class=\"rules\">\n");
    for fact in rules::facts(verdict) {
        let (class, state) = match fact.broken {
            0 => ("good", "kept".to_owned()),
            n => ("bad", format!("broken {}", rules::times(n))),
        };
        part += &format!(
            "<li class=\"{class}\"><span class=\"state\">{state}</span> <strong>{}</strong> \
             <span>{}</span></li>\n",
            fact.name, fact.asks
        );
    }
    part += "</ul>\n";
    if !verdict.violations.is_empty() {
        part += &breaches(verdict, seconds);
    }
    part + "</section>\n"
}

fn breaches(verdict: &Verdict, seconds: f64) -> String {
    let shown = rules::shown(verdict);
    let mut table = String::from(
        "<h3>Broken rules</h3>\n<div class=\"scroll\">\n<table class=\"breaches\">\n<thead><tr>\
         <th scope=\"col\">time</th><th class=\"words\" scope=\"col\">rule</th>\
         <th class=\"words\" scope=\"col\">what happened</th></tr></thead>\n<tbody>\n",
    );
    for breach in &shown {
        table += &format!(
            "<tr class=\"bad\"><td>{}</td><td class=\"words\">{}</td><td class=\"words long\">{}</td></tr>\n",
            axis::moment(breach.at_s, seconds, 3),
            rules::name(breach.rule),
            escape(&short(&breach.text))
        );
    }
    table + "</tbody>\n</table>\n</div>\n" + &more(verdict.violations.len() - shown.len())
}

fn more(count: usize) -> String {
    match count {
        0 => String::new(),
        n => format!("<p class=\"more\">and {} more</p>\n", number::count(n as u64)),
    }
}

fn timeline_part(verdict: &Verdict, sheet: &Sheet) -> String {
    let map = heat::Map::of(sheet);
    [
        "<section>\n<h2>Timeline</h2>\n".into(),
        events(sheet),
        figure::draw(sheet, &plots::requests(sheet).0),
        figure::draw(sheet, &heat::figure(sheet, &map)),
        figure::draw(sheet, &plots::quotas(sheet, verdict).0),
        figure::draw(sheet, &plots::machines(sheet).0),
        timeline_table(verdict),
        "</section>\n".into(),
    ]
    .concat()
}

fn events(sheet: &Sheet) -> String {
    if sheet.events.is_empty() {
        return format!("<h3>{EVENTS_TITLE}</h3>\n<p class=\"more\">none</p>\n");
    }
    let seconds = sheet.bins.seconds as f64;
    let item = |event: &figure::Event| {
        let at = axis::moment(event.at_s, seconds, 1);
        format!("<li><span class=\"at\">{at}</span> {}</li>\n", escape(&event.text))
    };
    let items: String = sheet.events.iter().take(EVENTS).map(item).collect();
    let left_out = more(sheet.events.len().saturating_sub(EVENTS));
    format!(
        "<h3>{EVENTS_TITLE}</h3>\n<div class=\"scroll list\" tabindex=\"0\">\n\
         <ol class=\"events\">\n{items}</ol>\n</div>\n{left_out}"
    )
}

/// The plots' figures for those who do not see them.
fn timeline_table(verdict: &Verdict) -> String {
    let bins = Bins::of(verdict, TIMELINE_ROWS);
    let labels = [
        "from, s", "offered", "served", "late", "refused", "failed", "units", "granted", "busy, %",
        "gateways", "calls",
    ];
    let heads: String = labels.iter().map(|label| format!("<th scope=\"col\">{label}</th>")).collect();
    let mut rows = String::new();
    for (i, bin) in bins.columns.iter().enumerate() {
        let cells: String = timeline_cells(bin).iter().map(|cell| format!("<td>{cell}</td>")).collect();
        rows += &format!("<tr><th scope=\"row\">{}</th>{cells}</tr>\n", number::fixed(bins.edge(i), 0));
    }
    format!(
        "<details>\n<summary>{TIMELINE_TITLE}</summary>\n<p class=\"caption\">The same figures per second as \
         numbers, in steps of {} s; units, busy share and calls are those of all plans, hosts and gateways \
         together.</p>\n<div class=\"scroll\">\n<table>\n<thead><tr>{heads}</tr></thead>\n<tbody>\n{rows}\
         </tbody>\n</table>\n</div>\n</details>\n",
        bins.step
    )
}

fn timeline_cells(bin: &Bin) -> Vec<String> {
    let rates = [
        bin.offered,
        bin.served,
        bin.late,
        bin.refused,
        bin.failed,
        bin.units.iter().sum(),
        bin.quota.iter().sum(),
    ];
    let busy = bins::mean_of(bin.busy.iter().copied().flatten());
    let mut cells: Vec<String> = rates.iter().map(|rate| number::fixed(*rate, 1)).collect();
    cells.push(busy.map_or(number::NONE.into(), |share| escape(&number::share(share))));
    cells.push(number::fixed(bin.gateways_up, 0));
    cells.push(number::fixed(bin.counter_calls, 1));
    cells
}

fn figures_part(verdict: &Verdict) -> String {
    let sections: String = facts::sections(verdict).iter().map(section).collect();
    format!("<section>\n<h2>Figures</h2>\n<div class=\"figures\">\n{sections}</div>\n</section>\n")
}

fn section(section: &Section) -> String {
    let breadth = match section.columns.len() {
        1..=3 => " narrow",
        4..=5 => " middle",
        _ => "",
    };
    let body = if section.rows.is_empty() {
        "<p class=\"more\">none</p>\n".into()
    } else if section.running {
        let items = section.rows.iter().flat_map(|row| &row.cells);
        let items: String = items.map(|text| format!("<li>{}</li>\n", escape(&short(text)))).collect();
        format!("<ul>\n{items}</ul>\n")
    } else {
        section_table(section)
    };
    let more = more(section.more);
    format!("<div class=\"facts{breadth}\">\n<h3>{}</h3>\n{body}{more}</div>\n", escape(section.title))
}

fn section_table(section: &Section) -> String {
    let class = |words: bool| if words { " class=\"words\"" } else { "" };
    let head =
        |column: &Column| format!("<th{} scope=\"col\">{}</th>", class(column.words), escape(&column.line()));
    let cell = |(i, (cell, column)): (usize, (&String, &Column))| {
        let (tag, scope) = if i == 0 { ("th", " scope=\"row\"") } else { ("td", "") };
        format!("<{tag}{}{scope}>{}</{tag}>", class(column.words), escape(&short(cell)))
    };
    let row = |row: &Row| {
        let cells: String = row.cells.iter().zip(&section.columns).enumerate().map(cell).collect();
        format!("<tr{}>{cells}</tr>\n", if row.bad { " class=\"bad\"" } else { "" })
    };
    let heads: String = section.columns.iter().map(head).collect();
    let rows: String = section.rows.iter().map(row).collect();
    format!(
        "<div class=\"scroll\">\n<table>\n<thead><tr>{heads}</tr></thead>\n<tbody>\n{rows}\
         </tbody>\n</table>\n</div>\n"
    )
}

fn foot() -> String {
    "<footer>\n<p>Judged by what passed on the wires. How to read this page: \
     <code>docs/rehearsal-report.md</code>.</p>\n</footer>\n"
        .into()
}

fn scripts(verdict: &Verdict, sheet: &Sheet) -> String {
    let map = heat::Map::of(sheet);
    let parts = [plots::requests(sheet), plots::quotas(sheet, verdict), plots::machines(sheet)];
    let series: Vec<(&str, &[hover::Series])> =
        parts.iter().map(|(figure, series)| (figure.id, series.as_slice())).collect();
    format!(
        "<script type=\"application/json\" id=\"plots\">{}</script>\n<script>\n{}</script>\n",
        hover::data(sheet, verdict, &series, &map),
        include_str!("hover.js")
    )
}
