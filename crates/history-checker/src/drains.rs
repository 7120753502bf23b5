//! Nothing new goes to a host that drains or is gone, from the grace on after the gateway was told; what its agent
//! has heard counts as told 6 s later, whether or not the gateway asked for it.

use crate::downs::Downs;
use crate::ears::Ears;
use crate::finding::{Findings, Rule};
use crate::news::{News, Pair};
use crate::terms::Limits;
use crate::{ms, nth, LATEST};
use cluster_model::observation::Lifecycle;
use cluster_model::Time;

/// What counts of the news so far. Of draining, then gone, or the same news again, the first counts.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    told: Option<Time>,
    heard: Option<Time>,
    /// When the agent heard that it is in service again, if it has heard nothing else since.
    back: Option<Time>,
}

impl Known {
    fn take(&mut self, news: &News) {
        let leaving = news.state != Lifecycle::InService;
        let first = if news.told { &mut self.told } else { &mut self.heard };
        *first = if leaving { first.or(Some(news.at)) } else { None };
        if !news.told {
            self.back = (!leaving).then_some(news.at);
        }
    }

    /// Since when the gateway counts as told, whose process has run since `up`.
    fn since(&self, up: Time) -> Option<Time> {
        let heard = self.heard.map(|at| at.saturating_add(LATEST).max(up));
        self.told.into_iter().chain(heard).min()
    }
}

/// Checks what one gateway sent to one host; the first breach of the two is told.
pub(crate) fn check(
    (gateway, host): (u32, u32),
    pair: &Pair,
    (downs, ears): (&Downs, &Ears),
    terms: &Limits,
    found: &mut Findings,
) {
    let (mut known, mut place) = (Known::default(), 0);
    for sent in &pair.sent {
        while let Some(news) = pair.news.get(place).filter(|news| news.at <= sent.first_byte) {
            known.take(news);
            place += 1;
        }
        let Some(since) = known.since(downs.up_since(gateway, sent.first_byte)) else { continue };
        let since = ears.told(gateway, since);
        let is_back = known.back.is_some_and(|at| sent.first_byte >= at.saturating_add(LATEST));
        if is_back || sent.first_byte <= since.saturating_add(terms.drain_grace) {
            continue;
        }
        let (gateway, host) = (nth(gateway), nth(host));
        let late = ms(sent.first_byte - since);
        let text =
            format!("host {host} was sent to {late} after gateway {gateway} counted as told to leave it");
        let mut chain =
            vec![(since, format!("gateway {gateway} counts as told that host {host} drains or is gone"))];
        if let (Some(heard), false) = (known.heard, known.told == Some(since)) {
            chain.push((
                heard,
                format!("the agent of gateway {gateway} heard that host {host} drains or is gone"),
            ));
        }
        chain.push((since + terms.drain_grace, "the grace was over".to_owned()));
        chain.push((sent.first_byte, format!("request {:016x} was sent to host {host}", sent.request)));
        return found.add(Rule::DrainGrace, sent.first_byte, text, chain);
    }
}
