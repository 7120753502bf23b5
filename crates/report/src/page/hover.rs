//! The values behind the plots, for the read-out under the pointer.

use super::figure::{Sheet, LEFT, PLOT};
use super::heat::Map;
use crate::{number, rules, words};
use invariants::Verdict;
use serde::Serialize;

/// A named row of values, one for each column.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Series {
    /// What it is, as it came.
    pub name: String,
    /// One for each column.
    pub values: Vec<f64>,
}

impl Series {
    /// A named row of values.
    pub(crate) fn new(name: impl Into<String>, values: Vec<f64>) -> Series {
        Series { name: name.into(), values }
    }
}

/// What the script reads.
#[derive(Serialize)]
struct Data<'a> {
    left: f64,
    width: f64,
    step: usize,
    seconds: usize,
    events: Vec<(f64, String)>,
    breaches: Vec<(f64, String)>,
    plots: Vec<PlotData<'a>>,
    heat: Heat<'a>,
}

#[derive(Serialize)]
struct PlotData<'a> {
    id: &'a str,
    names: Vec<String>,
    /// By series, then by column.
    values: Vec<Vec<String>>,
}

#[derive(Serialize)]
struct Heat<'a> {
    id: &'a str,
    row: f64,
    rows: &'a [String],
    cells: &'a [String],
}

/// The data as JSON that is fit to stand in a `script` element of the page.
pub(crate) fn data(sheet: &Sheet, verdict: &Verdict, plots: &[(&str, &[Series])], map: &Map) -> String {
    let events = sheet.events.iter().take(super::EVENTS).filter(|event| event.at_s.is_finite());
    let breach = |at_s: f64, text: String| (at_s, words::plain(&text));
    let data = Data {
        left: LEFT,
        width: PLOT,
        step: sheet.bins.step,
        seconds: sheet.bins.seconds,
        events: events
            .map(|event| (event.at_s, words::plain(&format!("{}. {}", event.number, event.text))))
            .collect(),
        breaches: rules::shown(verdict)
            .iter()
            .filter(|one| one.at_s.is_finite())
            .map(|one| breach(one.at_s, format!("{}: {}", rules::name(one.rule), super::short(&one.text))))
            .collect(),
        plots: plots.iter().map(|(id, series)| plot(id, series)).collect(),
        heat: Heat { id: "hosts", row: map.row_height, rows: &map.rows, cells: &map.cells },
    };
    // Writing to memory fails only on maps whose keys are not words, and there are no maps here.
    let text = serde_json::to_string(&data).expect("a document without maps");
    // No text from a file may end the element or begin a comment.
    text.replace('<', "\\u003c").replace('>', "\\u003e").replace('&', "\\u0026")
}

fn plot<'a>(id: &'a str, series: &[Series]) -> PlotData<'a> {
    let values = |one: &Series| one.values.iter().map(|value| number::fixed(*value, 1)).collect();
    PlotData {
        id,
        names: series.iter().map(|one| words::plain(&one.name)).collect(),
        values: series.iter().map(values).collect(),
    }
}
