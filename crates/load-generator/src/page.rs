//! A page with plots of a sweep: what was asked and what came of it. It stands alone and asks for nothing.

use crate::run::Outcome;
use crate::table;
use plotters::prelude::*;

const SIZE: (u32, u32) = (860, 360);
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 97, 141),
    RGBColor(192, 57, 43),
    RGBColor(39, 120, 60),
    RGBColor(142, 68, 173),
    RGBColor(183, 121, 31),
    RGBColor(90, 90, 90),
];

/// A line of a plot.
struct Series {
    name: String,
    points: Vec<(f64, f64)>,
}

type Figure = fn(&Outcome) -> f64;

const PLOTS: [(&str, &[(&str, Figure)]); 4] = [
    ("Answers within their aim, a second", &[("all", |o| o.goodput_per_s)]),
    (
        "Share of what was due that came within its aim",
        &[("all", |o| o.all.good()), ("orders", |o| o.orders.good()), ("premium", |o| o.premium.good())],
    ),
    ("Milliseconds until an answer", &[("p50", |o| o.latency.p50_ms), ("p99", |o| o.latency.p99_ms)]),
    ("Microseconds of CPU an answer", &[("all", |o| o.cpu_us)]),
];

/// The whole page, in HTML.
pub fn html(title: &str, outcomes: &[Outcome]) -> String {
    let plots: String =
        PLOTS.iter().map(|(title, figures)| plot(title, &series(figures, outcomes))).collect();
    let (title, table) = (escape(title), escape(&table::text(outcomes)));
    format!(
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n<title>{title}</title>\n\
         <meta http-equiv=\"Content-Security-Policy\" content=\"default-src 'none'; style-src 'unsafe-inline'\">\n\
         <style>body {{ font-family: sans-serif; margin: 2em auto; max-width: 900px }} \
         pre {{ overflow-x: auto; font-size: 12px }}</style>\n</head>\n<body>\n<h1>{title}</h1>\n{plots}\
         <h2>Figures</h2>\n<pre>{table}</pre>\n</body>\n</html>\n"
    )
}

/// What a run was asked for: requests a second, or, of closed ones, those that came of it.
fn asked(outcome: &Outcome) -> f64 {
    if outcome.spec.rate > 0.0 {
        outcome.spec.rate
    } else {
        outcome.answers_per_s
    }
}

/// A line for each figure of each subject.
fn series(figures: &[(&str, Figure)], outcomes: &[Outcome]) -> Vec<Series> {
    let mut subjects: Vec<&str> = outcomes.iter().map(|outcome| outcome.subject.as_str()).collect();
    subjects.dedup();
    let mut all = Vec::new();
    for subject in subjects {
        for (name, figure) in figures {
            let of = outcomes.iter().filter(|outcome| outcome.subject == subject);
            let points = of.map(|outcome| (asked(outcome), figure(outcome))).collect();
            all.push(Series { name: format!("{subject}: {name}"), points });
        }
    }
    all
}

fn plot(title: &str, series: &[Series]) -> String {
    let mut svg = String::new();
    let drawn = draw(&mut svg, series);
    let title = escape(title);
    match drawn {
        Ok(()) => format!("<h2>{title}</h2>\n{svg}\n"),
        Err(error) => format!("<h2>{title}</h2>\n<p>Not drawn: {}</p>\n", escape(&error.to_string())),
    }
}

fn draw(svg: &mut String, series: &[Series]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let top = |of: fn(&(f64, f64)) -> f64| {
        series.iter().flat_map(|line| &line.points).map(of).fold(1e-3, f64::max) * 1.05
    };
    let (right, upper) = (top(|point| point.0), top(|point| point.1));
    let mut chart = ChartBuilder::on(&root)
        .margin(8)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..right, 0.0..upper)?;
    chart.configure_mesh().x_desc("requests a second").light_line_style(WHITE).draw()?;
    for (number, line) in series.iter().enumerate() {
        let colour = COLOURS[number % COLOURS.len()];
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), colour.stroke_width(2)).point_size(3))?
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3)).draw()?;
    root.present()?;
    Ok(())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
