//! The timeline in columns: one a second, or so many seconds together that a plot has room for them.

use invariants::{SecondFigures, Verdict};

/// The figures of some seconds together. Rates are means, so that they stay "per second".
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Bin {
    pub offered: f64,
    pub served: f64,
    pub late: f64,
    pub refused: f64,
    pub failed: f64,
    /// By plan.
    pub units: Vec<f64>,
    /// By plan.
    pub quota: Vec<f64>,
    /// By host; none where it did not run in any of the seconds.
    pub busy: Vec<Option<f64>>,
    /// The fewest, since a mean would hide a short outage.
    pub gateways_up: f64,
    pub counter_calls: f64,
}

/// A timeline in columns.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Bins {
    /// Seconds in a column; the last one may have fewer.
    pub step: usize,
    /// Seconds in all, at least 1.
    pub seconds: usize,
    /// The columns.
    pub columns: Vec<Bin>,
    /// Plans with figures.
    pub plans: usize,
    /// Hosts that ever ran, or the highest number of them and 1.
    pub hosts: usize,
}

impl Bins {
    /// The timeline in at most `most` columns.
    pub(crate) fn of(verdict: &Verdict, most: usize) -> Bins {
        let timeline = &verdict.timeline;
        let plans =
            timeline.iter().map(|second| second.units.len().max(second.quota.len())).max().unwrap_or(0);
        let hosts = timeline.iter().map(|second| second.busy.len()).max().unwrap_or(0);
        let step = timeline.len().div_ceil(most.max(1)).max(1);
        let columns = timeline.chunks(step).map(|seconds| Bin::of(seconds, plans, hosts)).collect();
        Bins { step, seconds: timeline.len().max(1), columns, plans, hosts }
    }

    /// One figure of all columns.
    pub(crate) fn series(&self, figure: impl Fn(&Bin) -> f64) -> Vec<f64> {
        self.columns.iter().map(figure).collect()
    }

    /// Where columns begin and the last one ends, in seconds.
    pub(crate) fn edge(&self, column: usize) -> f64 {
        (column * self.step).min(self.seconds) as f64
    }
}

impl Bin {
    fn of(seconds: &[SecondFigures], plans: usize, hosts: usize) -> Bin {
        let mean = |figure: &dyn Fn(&SecondFigures) -> f64| {
            seconds.iter().map(|second| sound(figure(second))).sum::<f64>() / seconds.len().max(1) as f64
        };
        let at = |list: &[f64], plan: usize| list.get(plan).copied().unwrap_or(0.0);
        Bin {
            offered: mean(&|second| f64::from(second.offered)),
            served: mean(&|second| f64::from(second.served)),
            late: mean(&|second| f64::from(second.late)),
            refused: mean(&|second| f64::from(second.refused)),
            failed: mean(&|second| f64::from(second.failed)),
            units: (0..plans).map(|plan| mean(&|second| at(&second.units, plan))).collect(),
            quota: (0..plans).map(|plan| mean(&|second| at(&second.quota, plan))).collect(),
            busy: (0..hosts).map(|host| busy(seconds, host)).collect(),
            gateways_up: f64::from(seconds.iter().map(|second| second.gateways_up).min().unwrap_or(0)),
            counter_calls: mean(&|second| f64::from(second.counter_calls)),
        }
    }
}

/// The busy share of a host over the seconds in which it ran.
fn busy(seconds: &[SecondFigures], host: usize) -> Option<f64> {
    mean_of(seconds.iter().filter_map(|second| second.busy.get(host).copied().flatten()))
}

/// The mean of shares, if there are any.
pub(crate) fn mean_of(shares: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) =
        shares.fold((0.0, 0_u32), |(sum, count), share| (sum + sound(share).min(1.0), count + 1));
    (count > 0).then(|| sum / f64::from(count))
}

/// The figure, or 0 where it is none that can be plotted.
fn sound(figure: f64) -> f64 {
    if figure.is_finite() && figure > 0.0 {
        figure
    } else {
        0.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn second(offered: u32, busy: Vec<Option<f64>>, gateways_up: u32) -> SecondFigures {
        SecondFigures { offered, busy, gateways_up, units: vec![f64::NAN], ..SecondFigures::default() }
    }

    #[test]
    fn seconds_share_a_column_where_there_are_more_than_fit() {
        let timeline = vec![
            second(10, vec![Some(0.5), None], 3),
            second(20, vec![None], 1),
            second(40, vec![Some(7.0), None, Some(f64::NAN)], 3),
        ];
        let bins = Bins::of(&Verdict { timeline, ..Verdict::default() }, 2);
        assert_eq!((bins.step, bins.columns.len(), bins.plans, bins.hosts), (2, 2, 1, 3));
        assert_eq!(bins.series(|bin| bin.offered), [15.0, 40.0]);
        assert_eq!(bins.series(|bin| bin.gateways_up), [1.0, 3.0]);
        assert_eq!(bins.columns[0].busy, [Some(0.5), None, None]);
        assert_eq!(bins.columns[1].busy, [Some(1.0), None, Some(0.0)]);
        assert_eq!([bins.edge(0), bins.edge(1), bins.edge(2)], [0.0, 2.0, 3.0]);
        assert_eq!(bins.columns[0].units, [0.0]);
    }

    #[test]
    fn an_empty_run_has_no_columns() {
        let bins = Bins::of(&Verdict::default(), 600);
        assert_eq!((bins.step, bins.seconds, bins.columns.len()), (1, 1, 0));
    }
}
