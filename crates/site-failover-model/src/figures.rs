//! What a played loss comes to, in one row.

use policy::api::Time;
use site_failover::SiteHealth;

use crate::setting::{Setting, SECOND};
use crate::world::Played;

/// One loss, in figures. Times are counted from the loss, or from its end, in nanoseconds; nothing if no gateway came
/// so far.
#[derive(Clone, Debug, PartialEq)]
pub struct Figures {
    /// When the first and the last gateway held the site for lost or cut off, and how many did.
    pub lost: Option<(Time, Time, usize)>,
    /// The same of the return's beginning, from the end of the loss.
    pub returning: Option<(Time, Time, usize)>,
    /// The same of being whole again, from the end of the loss.
    pub whole: Option<(Time, Time, usize)>,
    /// Share of the requests of each cell that was answered in time, between the loss and its end.
    pub served: Vec<f64>,
    /// Share of the requests of each cell that the ladder refused meanwhile.
    pub shed: Vec<f64>,
    /// The same two from the end of the loss on.
    pub served_after: Vec<f64>,
    /// See there.
    pub shed_after: Vec<f64>,
    /// Rungs shed at the most, in the mean over gateways.
    pub level: f64,
    /// Cold hosts that fell over.
    pub fell: u32,
}

impl Figures {
    /// Of one loss of a setting, by its number.
    pub fn of(played: &Played, setting: &Setting, loss: usize) -> Figures {
        let loss = &setting.losses[loss];
        let back = loss.at + loss.lasts;
        let when = |state: &[SiteHealth], from: Time| {
            let mut first = std::collections::BTreeMap::new();
            for change in played.changes.iter().filter(|change| change.site == loss.site && change.at >= from)
            {
                if state.contains(&change.state) && change.was != change.state {
                    first.entry(change.gateway).or_insert(change.at - from);
                }
            }
            Some((*first.values().min()?, *first.values().max()?, first.len()))
        };
        let meanwhile = (loss.at / SECOND) as usize..(back / SECOND) as usize;
        let after = meanwhile.end..played.seconds.len();
        let share = |part: fn(&crate::Second) -> &Vec<u32>, span: &std::ops::Range<usize>| {
            let seconds =
                &played.seconds[span.start.min(played.seconds.len())..span.end.min(played.seconds.len())];
            let of = |cell: usize| {
                let all: u32 = seconds.iter().map(|second| second.asked[cell]).sum();
                let own: u32 = seconds.iter().map(|second| part(second)[cell]).sum();
                f64::from(own) / f64::from(all.max(1))
            };
            (0..setting.traffic.cells.len()).map(of).collect()
        };
        Figures {
            lost: when(&[SiteHealth::Lost, SiteHealth::Unreachable], loss.at),
            returning: when(&[SiteHealth::Recovering], back),
            whole: when(&[SiteHealth::Healthy], back),
            served: share(|second| &second.served, &meanwhile),
            shed: share(|second| &second.shed, &meanwhile),
            served_after: share(|second| &second.served, &after),
            shed_after: share(|second| &second.shed, &after),
            level: played.seconds.iter().map(|second| second.level).fold(0.0, f64::max),
            fell: played.seconds.iter().map(|second| second.fell).sum(),
        }
    }
}
