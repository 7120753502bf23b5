//! The figures as tables, the same for the terminal and the page.

use crate::number::{count, fixed, percent, share, NONE};
use crate::rules;
use crate::words::clip;
use invariants::{Cause, Counts, CustomerFigures, HostFigures, Verdict};

/// Customers shown in a table of them.
const CUSTOMERS: usize = 5;
/// Hosts shown one by one.
const HOSTS: usize = 24;
/// Classes and plans shown one by one.
const NAMES: usize = 24;
/// Characters of a plan's name in a plot.
const NAME: usize = 40;
/// Characters of a plan's name beside a customer's number, which takes much room itself.
const PLAN: usize = 12;
/// Notes shown one by one.
const NOTES: usize = 10;

/// A column.
pub(crate) struct Column {
    /// What is in it. A `|` is where the terminal breaks the line.
    pub label: &'static str,
    /// Words, which stand to the left, rather than numbers.
    pub words: bool,
}

impl Column {
    /// The label in one line.
    pub(crate) fn line(&self) -> String {
        self.label.replace('|', " ")
    }
}

/// A row.
#[derive(Default)]
pub(crate) struct Row {
    /// As many as there are columns; raw text, which may come from files.
    pub cells: Vec<String>,
    /// It tells of something that went wrong.
    pub bad: bool,
}

/// A table.
pub(crate) struct Section {
    /// Its heading.
    pub title: &'static str,
    /// Its columns.
    pub columns: Vec<Column>,
    /// Its rows.
    pub rows: Vec<Row>,
    /// Rows left out.
    pub more: usize,
    /// The first column holds names of figures of ours, not of the site's parts.
    pub fixed_rows: bool,
    /// Its rows are sentences; it has no columns.
    pub running: bool,
}

impl Section {
    /// A table with no rows yet; labels that begin with `<` are of columns of words.
    fn new(title: &'static str, labels: &[&'static str]) -> Section {
        let columns = labels
            .iter()
            .map(|label| match label.strip_prefix('<') {
                Some(label) => Column { label, words: true },
                None => Column { label, words: false },
            })
            .collect();
        Section { title, columns, rows: Vec::new(), more: 0, fixed_rows: false, running: false }
    }

    fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(Row { cells: cells.into_iter().collect(), bad: false });
    }
}

/// All tables, in the order in which they are shown.
pub(crate) fn sections(verdict: &Verdict) -> Vec<Section> {
    let mut sections = vec![
        requests(verdict),
        latency(verdict),
        by_class_and_plan(verdict),
        worth(verdict),
        causes(verdict),
        calls(verdict),
        fleet(verdict),
        quotas(verdict),
        beyond(verdict),
        refused_longest(verdict),
        hosts(verdict),
    ];
    if !verdict.notes.is_empty() {
        sections.push(notes(verdict));
    }
    sections
}

/// The verdict in two sentences: rules, then figures.
pub(crate) fn sentences(verdict: &Verdict) -> (String, String) {
    let counts = &verdict.counts;
    let asked = counts.asked as f64;
    let figures = if counts.asked == 0 {
        "Nothing was asked.".into()
    } else {
        format!(
            "{} % of what was asked was served, {} % within its aim; the site's figure is {}.",
            percent(counts.served as f64, asked),
            percent(counts.within_objective as f64, asked),
            fixed(verdict.weighted_score, 3)
        )
    };
    (rules::sentence(verdict), figures)
}

/// The name of a plan, by its position; clipped, since it stands in many places.
pub(crate) fn plan_name(verdict: &Verdict, plan: usize) -> String {
    match verdict.plans.get(plan) {
        Some(figures) if !figures.name.is_empty() => clip(&figures.name, NAME),
        _ => format!("plan {plan}"),
    }
}

fn requests(verdict: &Verdict) -> Section {
    let mut section = Section::new("Requests", &["<", "number", "% of asked"]);
    section.fixed_rows = true;
    let counts = &verdict.counts;
    let kinds = [
        ("asked", counts.asked),
        ("served", counts.served),
        ("within the aim", counts.within_objective),
        ("refused", counts.refused),
        ("failed", counts.failed),
        ("left", counts.left),
    ];
    for (kind, number) in kinds {
        section.row([kind.into(), count(number), percent(number as f64, counts.asked as f64)]);
    }
    section
}

/// What the worth that is missing went to.
fn causes(verdict: &Verdict) -> Section {
    let mut section = Section::new("Why worth was lost", &["<", "things", "% of the|worth"]);
    section.fixed_rows = true;
    for figures in &verdict.causes {
        let words = match figures.cause {
            Cause::Unsent => "refused with room in the quota, never sent",
            Cause::BeyondQuota => "refused beyond the quota",
            Cause::Rejected => "turned away by hosts, or ended before it ran",
            Cause::ResponseLost => "ran, and no good answer came",
            Cause::StillRunning => "still at a host when the time was over",
            Cause::Late => "answered too late",
            Cause::LateAfterRetry => "answered too late, after a further attempt",
            Cause::ClientGone => "the client left, or never got through",
            Cause::OverQuotaCost => "sent beyond the quota",
            Cause::HeldUnsent => "held for long and never sent",
        };
        section.row([words.into(), count(figures.operations), fixed(100.0 * figures.share, 2)]);
    }
    section
}

fn by_class_and_plan(verdict: &Verdict) -> Section {
    let labels = ["<", "<name", "asked", "served", "within|the aim", "refused", "failed", "left"];
    let mut section = Section::new("Requests by class and plan, % of asked", &labels);
    let classes = verdict.classes.iter().take(NAMES).map(|class| ("class", &class.name, &class.counts));
    let plans = verdict.plans.iter().take(NAMES).map(|plan| ("plan", &plan.name, &plan.counts));
    for (kind, name, counts) in classes.chain(plans) {
        section.row([kind.into(), name.clone()].into_iter().chain(shares(counts)));
    }
    section.more = verdict.classes.len().saturating_sub(NAMES) + verdict.plans.len().saturating_sub(NAMES);
    section
}

/// Things asked for, and the rest as shares of them.
fn shares(counts: &Counts) -> Vec<String> {
    let of_asked = |number: u64| percent(number as f64, counts.asked as f64);
    vec![
        count(counts.asked),
        of_asked(counts.served),
        of_asked(counts.within_objective),
        of_asked(counts.refused),
        of_asked(counts.failed),
        of_asked(counts.left),
    ]
}

fn latency(verdict: &Verdict) -> Section {
    let mut section =
        Section::new("Latency of served tries, ms", &["<class", "p50", "p95", "p99", "longest"]);
    for class in verdict.classes.iter().take(NAMES) {
        let latency = &class.latency;
        // A class without served tries has no latencies, and 0 ms would read as a good one.
        let ms = |value: f64| if class.counts.served == 0 { NONE.into() } else { fixed(value, 0) };
        let times = [latency.p50_ms, latency.p95_ms, latency.p99_ms, latency.max_ms].map(ms);
        section.row([class.name.clone()].into_iter().chain(times));
    }
    section.more = verdict.classes.len().saturating_sub(NAMES);
    section
}

fn worth(verdict: &Verdict) -> Section {
    let mut section = Section::new("Worth, 1 at the most", &["<", "worth", "part, %"]);
    section.fixed_rows = true;
    let parts = [
        ("whole run", verdict.weighted_share, "55"),
        ("worst 10 s", verdict.weighted_share_worst_10s, "20"),
        ("worst plan", verdict.weighted_share_worst_plan, "25"),
        ("the site's figure", verdict.weighted_score, "100"),
    ];
    for (name, value, part) in parts {
        section.row([name.into(), fixed(value, 3), part.into()]);
    }
    section
}

fn quotas(verdict: &Verdict) -> Section {
    let labels = [
        "<plan",
        "customers",
        "units|asked",
        "units|passed",
        "units|beyond",
        "beyond,|% of passed",
        "worth,|%",
        "refused with|room, %",
    ];
    let mut section = Section::new("Quotas by plan", &labels);
    for plan in verdict.plans.iter().take(NAMES) {
        section.row([
            plan.name.clone(),
            count(plan.customers),
            fixed(plan.asked_units, 0),
            fixed(plan.passed_units, 0),
            fixed(plan.beyond_units, 0),
            percent(plan.beyond_units, plan.passed_units),
            share(plan.weighted_quota_share),
            share(plan.rejected_with_quota),
        ]);
    }
    section.more = verdict.plans.len().saturating_sub(NAMES);
    section
}

fn beyond(verdict: &Verdict) -> Section {
    let customers = verdict.customers.iter().filter(|customer| customer.beyond_units > 0.0);
    customers_table("Customers furthest beyond their quota", verdict, customers.collect())
}

fn refused_longest(verdict: &Verdict) -> Section {
    let refused = |customer: &&CustomerFigures| customer.longest_refused_s > 0.0;
    let mut customers: Vec<&CustomerFigures> = verdict.customers.iter().filter(refused).collect();
    customers.sort_by(|a, b| b.longest_refused_s.total_cmp(&a.longest_refused_s));
    customers_table("Customers refused longest with units left", verdict, customers)
}

fn customers_table(title: &'static str, verdict: &Verdict, customers: Vec<&CustomerFigures>) -> Section {
    let labels = [
        "<customer",
        "<plan",
        "units|asked",
        "units|allowed",
        "units|passed",
        "units|beyond",
        "refused,|%",
        "refused|for, s",
    ];
    let mut section = Section::new(title, &labels);
    for customer in customers.iter().take(CUSTOMERS) {
        section.row([
            customer_name(customer.customer),
            clip(&plan_name(verdict, customer.plan as usize), PLAN),
            fixed(customer.asked_units, 0),
            fixed(customer.allowed_units, 0),
            fixed(customer.passed_units, 0),
            fixed(customer.beyond_units, 1),
            percent(customer.refused as f64, customer.asked as f64),
            fixed(customer.longest_refused_s, 1),
        ]);
    }
    section.more = customers.len().saturating_sub(CUSTOMERS);
    section
}

fn hosts(verdict: &Verdict) -> Section {
    let labels = ["<host", "received", "served", "turned|away", "connections", "fell"];
    let mut section = Section::new("Hosts", &labels);
    for host in shown_hosts(&verdict.hosts) {
        section.row(host_cells(host_name(host.host), host, if host.overload_crashed { "fell" } else { "" }));
        if let Some(row) = section.rows.last_mut() {
            row.bad = host.overload_crashed;
        }
    }
    section.more = verdict.hosts.len().saturating_sub(HOSTS);
    if !verdict.hosts.is_empty() {
        let fell = verdict.hosts.iter().filter(|host| host.overload_crashed).count();
        section.row(host_cells("all".into(), &all_hosts(&verdict.hosts), &count(fell as u64)));
    }
    section
}

fn host_cells(name: String, host: &HostFigures, fell: &str) -> Vec<String> {
    let numbers = [host.received, host.served, host.rejected, host.connections].map(count);
    [name].into_iter().chain(numbers).chain([fell.to_owned()]).collect()
}

/// A customer's number as it stands on the wire, and in the texts of breaches.
fn customer_name(number: u64) -> String {
    format!("{number:016x}")
}

/// A host's number as people count, from 1: as in scenarios and in the texts of breaches.
pub(crate) fn host_name(number: u32) -> String {
    (u64::from(number) + 1).to_string()
}

/// Those that fit; where not all do, first those that fell and then the ones that got most. In order of their
/// numbers.
fn shown_hosts(hosts: &[HostFigures]) -> Vec<&HostFigures> {
    let mut shown: Vec<&HostFigures> = hosts.iter().collect();
    shown.sort_by_key(|host| (!host.overload_crashed, std::cmp::Reverse(host.received), host.host));
    shown.truncate(HOSTS);
    shown.sort_by_key(|host| host.host);
    shown
}

fn all_hosts(hosts: &[HostFigures]) -> HostFigures {
    hosts.iter().fold(HostFigures::default(), |sum, host| HostFigures {
        received: sum.received.saturating_add(host.received),
        served: sum.served.saturating_add(host.served),
        rejected: sum.rejected.saturating_add(host.rejected),
        connections: sum.connections.saturating_add(host.connections),
        ..sum
    })
}

fn calls(verdict: &Verdict) -> Section {
    let mut section = Section::new("Calls", &["<", "per request"]);
    section.fixed_rows = true;
    section.row(["attempts at hosts".into(), fixed(verdict.attempts_per_request, 3)]);
    section.row(["counter calls".into(), fixed(verdict.counter_calls_per_request, 3)]);
    section
}

/// What all gateways together cost.
fn fleet(verdict: &Verdict) -> Section {
    let mut section = Section::new("The whole fleet", &["<", "figure", "<of"]);
    section.fixed_rows = true;
    let fleet = &verdict.fleet;
    let of_all = |share: f64| fixed(100.0 * share, 1);
    let rows = [
        ("counter calls of all gateways", fixed(fleet.counter_calls_per_s, 1), "a second"),
        ("turned away by the counter", of_all(fleet.counter_rejected), "% of calls"),
        ("unanswered in time", of_all(fleet.counter_unanswered), "% of calls"),
        ("only reading", of_all(fleet.counter_read_only), "% of calls"),
        ("probes of hosts", fixed(fleet.health_checks_per_s, 1), "a second"),
        ("new connections to hosts", fixed(fleet.connections_per_s, 1), "a second"),
        ("open connections to hosts", count(fleet.peak_open_connections), "at the most"),
        ("handshakes at hosts", fixed(fleet.handshake_cores, 2), "cores"),
        ("calls for lists", fixed(fleet.list_calls_per_s, 2), "a second"),
        ("watches opened", fixed(fleet.watches_per_s, 2), "a second"),
        ("lines of lists", fixed(fleet.list_lines_per_s, 1), "a second"),
        ("beyond quotas", of_all(fleet.beyond_quota), "% of units"),
        ("refused with room", of_all(fleet.rejected_with_quota), "% of tries"),
        ("first attempt, p50", fixed(fleet.first_attempt_p50_ms, 1), "ms"),
        ("first attempt, p99", fixed(fleet.first_attempt_p99_ms, 1), "ms"),
    ];
    for (name, figure, of) in rows {
        section.row([name.into(), figure, of.into()]);
    }
    section
}

/// What the judge itself doubts.
fn notes(verdict: &Verdict) -> Section {
    let mut section = Section::new("Notes of the judge", &[]);
    section.running = true;
    for note in verdict.notes.iter().take(NOTES) {
        section.row([note.clone()]);
    }
    section.more = verdict.notes.len().saturating_sub(NOTES);
    section
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The operators' page.
    const PAGE: &str = include_str!("../../../docs/rehearsal-report.md");

    #[test]
    fn the_operators_page_tells_of_every_title_label_and_rule() {
        let page = PAGE.split_whitespace().collect::<Vec<_>>().join(" ");
        let verdict = Verdict { notes: vec!["doubt".into()], ..Verdict::default() };
        let mut labels: Vec<String> = rules::facts(&verdict).iter().map(|fact| fact.name.into()).collect();
        for section in sections(&verdict) {
            labels.push(section.title.into());
            labels.extend(section.columns.iter().map(Column::line));
            if section.fixed_rows {
                labels.extend(section.rows.iter().map(|row| row.cells[0].clone()));
            }
        }
        labels.extend(crate::page::titles().iter().map(|title| title.to_string()));
        labels.retain(|label| !label.is_empty());
        assert!(labels.len() > 60, "labels are missing: {labels:?}");
        let untold: Vec<&String> =
            labels.iter().filter(|label| !page.contains(&format!("**{label}**"))).collect();
        assert!(untold.is_empty(), "docs/rehearsal-report.md says nothing of {untold:?}");
    }

    #[test]
    fn of_many_hosts_those_that_fell_are_shown_and_all_are_summed() {
        let host = |host| HostFigures {
            host,
            received: 10,
            overload_crashed: host == 499,
            ..HostFigures::default()
        };
        let verdict = Verdict { hosts: (0..500).map(host).collect(), ..Verdict::default() };
        let section = hosts(&verdict);
        let names: Vec<&str> = section.rows.iter().map(|row| row.cells[0].as_str()).collect();
        assert_eq!(names.len(), HOSTS + 1);
        assert!(names.contains(&"500") && section.rows[HOSTS - 1].bad);
        assert_eq!((section.rows[HOSTS].cells[1].as_str(), section.more), ("5,000", 500 - HOSTS));
    }

    #[test]
    fn customers_refused_longest_come_first_and_those_never_refused_not_at_all() {
        let customer = |customer, longest_refused_s| CustomerFigures {
            customer,
            longest_refused_s,
            ..CustomerFigures::default()
        };
        let customers = vec![customer(1, 0.0), customer(2, 1.5), customer(3, 9.0)];
        let section = refused_longest(&Verdict { customers, ..Verdict::default() });
        let ids: Vec<&str> = section.rows.iter().map(|row| row.cells[0].as_str()).collect();
        assert_eq!(ids, ["0000000000000003", "0000000000000002"]);
    }
}
