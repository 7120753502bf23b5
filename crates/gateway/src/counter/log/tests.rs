use super::*;

/// Returns a line in the text format of the log.
fn text_of(line: &LogLine) -> String {
    let level = if line.severity == Severity::Warn { "WARN" } else { "INFO" };
    let mut text = format!("{level} {} state={}", line.message, line.state);
    if let Some(resets) = line.resets {
        text += &format!(" resets={resets}");
    }
    if let Some(Consequences { duration_s, grants, max_overshoot }) = &line.consequences {
        let LocalGrants { units, overshoot_units, max_customer_overshoot } = grants;
        text += &format!(
            " outage_s={duration_s} granted_units={units:.0} overshoot_units={overshoot_units:.0} \
             max_customer_overshoot={max_customer_overshoot:.0} max_overshoot={max_overshoot:?}"
        );
    }
    text
}

const UNREACHABLE: CounterState = CounterState::Unreachable;
const COMPLETE: CounterState = CounterState::Complete;

fn report(state: CounterState, resets: u32, beyond: f64) -> CounterReport {
    CounterReport {
        state,
        counter_resets: resets,
        local_grants: LocalGrants {
            units: 10.0 * beyond,
            overshoot_units: beyond,
            max_customer_overshoot: beyond / 2.0,
        },
    }
}

fn log() -> CounterLog {
    let quota = Quota { rate: 30.0, burst: 60.0, set_size: 3, max_request_units: 6.0 };
    CounterLog::new(0, vec![("premium".into(), quota)])
}

/// Returns the lines for these states of the counter, sampled 4 s apart, with their times in seconds.
fn lines_of(log: &mut CounterLog, samples: &[CounterState]) -> Vec<(u64, LogLine)> {
    let mut lines = Vec::new();
    for (state, sample) in samples.iter().zip(1..) {
        let at = 4 * sample;
        let new = log.update(at * SECOND, &report(*state, 0, at as f64));
        lines.extend(new.into_iter().map(|line| (at, line)));
    }
    lines
}

#[test]
fn a_fault_is_logged_at_growing_intervals_with_its_consequences() {
    let mut samples = vec![COMPLETE, COMPLETE];
    samples.extend([UNREACHABLE; 30]);
    samples.extend([COMPLETE; 2]);
    let lines = lines_of(&mut log(), &samples);
    let at: Vec<u64> = lines.iter().map(|(at, _)| *at).collect();
    // Logged at 16 s, then after 10, 20, 40 and 80 s, each at the next sample; the counter is complete again at 136 s.
    assert_eq!(at, [8, 16, 28, 48, 88, 136]);
    let last = text_of(&lines[5].1);
    let fields =
        "INFO counter state has changed state=complete outage_s=120 granted_units=1360 overshoot_units=136 \
                 max_customer_overshoot=68 max_overshoot=\"";
    assert!(last.starts_with(fields), "{last}");
    assert!(last.ends_with(" units of plan premium\""), "{last}");
}

#[test]
fn the_operators_page_shows_the_lines_of_an_outage_and_a_reset() {
    let page = include_str!("../../../../../docs/counter-failures.md");
    let plan =
        |name: &str, rate, burst| (name.into(), Quota { rate, burst, set_size: 3, max_request_units: 6.0 });
    let mut log = CounterLog::new(0, vec![plan("standard", 4.0, 20.0), plan("premium", 30.0, 60.0)]);
    let report = |state, resets, units| CounterReport {
        state,
        counter_resets: resets,
        local_grants: LocalGrants { units, overshoot_units: 31.0, max_customer_overshoot: 12.0 },
    };
    let mut lines = Vec::new();
    for (at, state, resets, units) in [
        (4, UNREACHABLE, 0, 0.0),
        (8, UNREACHABLE, 0, 0.0),
        (48, UNREACHABLE, 0, 812.0),
        (124, COMPLETE, 0, 2430.0),
        (132, COMPLETE, 0, 2430.0),
        (136, COMPLETE, 1, 0.0),
    ] {
        lines.extend(log.update(at * SECOND, &report(state, resets, units)));
    }
    assert_eq!(lines.len(), 5, "{lines:?}");
    // The page omits the reminder after two minutes, which is like the one after 40 s.
    lines.remove(2);
    for line in lines {
        let text = format!("\n{}\n", text_of(&line));
        assert!(page.contains(&text), "the page lacks: {text}");
    }
}

#[test]
fn the_logged_maximum_overshoot_grows_during_a_fault() {
    let mut log = log();
    let lines = lines_of(&mut log, &[UNREACHABLE; 20]);
    let logged_bound = |line: &LogLine| {
        assert_eq!(line.severity, Severity::Warn, "{line:?}");
        let bound = &line.consequences.as_ref().expect("no maximum overshoot").max_overshoot;
        bound.split(' ').next().and_then(|units| units.parse::<f64>().ok()).expect("no number of units")
    };
    let all: Vec<f64> = lines[1..].iter().map(|(_, line)| logged_bound(line)).collect();
    assert!(all.len() >= 2 && all.windows(2).all(|two| two[0] < two[1]), "{all:?}");
}

#[test]
fn each_counter_reset_is_logged_once() {
    let mut log = log();
    let mut lines = |resets, at| log.update(at * SECOND, &report(COMPLETE, resets, 0.0)).len();
    assert_eq!([lines(0, 4), lines(1, 8), lines(1, 12), lines(3, 16), lines(3, 20)], [0, 2, 0, 1, 0]);
}

#[test]
fn local_grants_count_from_the_last_healthy_sample() {
    let mut log = log();
    assert!(log.is_healthy(&report(COMPLETE, 0, 0.0)));
    assert!(!log.is_healthy(&report(UNREACHABLE, 0, 0.0)), "healthy although a fault is about to be logged");
    lines_of(&mut log, &[UNREACHABLE, UNREACHABLE]);
    assert!(
        !log.is_healthy(&report(COMPLETE, 0, 0.0)),
        "healthy although the recovery has not been logged yet"
    );
}
