//! No verdict is used that is older than stated.
//!
//! A [`StateUse`] is any piece of knowledge that somebody acts on though somebody else, or an earlier moment, made it.
//! Subsystems that share verdicts among gateways or buildings write one down at each use. Of today's program the wires
//! show one: a gateway that sends to a host acts on the last start of it that it was told. From 6 s after its agent
//! has heard of a newer one, that is too old.

use crate::downs::Downs;
use crate::ears::Ears;
use crate::finding::{Findings, Rule};
use crate::news::{News, Pair};
use crate::{after, ms, nth, ALLOWANCE, LATEST};
use cluster_model::observation::Lifecycle;
use cluster_model::{Span, Time};

/// Somebody used a verdict.
#[derive(Clone, Debug, PartialEq)]
pub struct StateUse {
    /// Who used it.
    pub user: String,
    /// Whom or what it is about.
    pub subject: String,
    /// What it says.
    pub value: String,
    /// When it was made, or last known to hold.
    pub confirmed_at: Time,
    /// When it was used.
    pub used_at: Time,
    /// How old it may be when it is used.
    pub max_age: Span,
}

pub(crate) fn check(claim: &StateUse, found: &mut Findings) {
    let age = after(claim.used_at, claim.confirmed_at);
    if age <= claim.max_age.saturating_add(ALLOWANCE) {
        return;
    }
    let StateUse { user, subject, value, confirmed_at, used_at, max_age } = claim;
    let text =
        format!("{user} used a verdict on {subject} that was {} old, {} allowed", ms(age), ms(*max_age));
    let chain = vec![
        (*confirmed_at, format!("it last held that {subject} is {value}")),
        (confirmed_at + max_age, "it was too old from here on".to_owned()),
        (*used_at, format!("{user} acted on it")),
    ];
    found.add(Rule::StaleState, *used_at, text, chain);
}

/// The oldest news of a host's start that a gateway acted on, if any was overtaken by what its agent had heard.
pub(crate) fn of_starts(
    (gateway, host): (u32, u32),
    pair: &Pair,
    downs: &Downs,
    ears: &Ears,
) -> Option<StateUse> {
    let mut place = 0;
    let (mut told, mut heard): (Option<News>, Option<News>) = (None, None);
    let mut oldest: Option<StateUse> = None;
    for sent in &pair.sent {
        while let Some(news) = pair.news.get(place).filter(|news| news.at <= sent.first_byte) {
            // A host that leaves is the matter of another rule.
            match (news.told, news.state) {
                (true, _) => told = Some(*news),
                (false, Lifecycle::InService) if heard.is_none_or(|heard| heard.started != news.started) => {
                    heard = Some(*news);
                }
                (false, Lifecycle::InService) => {}
                (false, _) => heard = None,
            }
            place += 1;
        }
        let Some(newer) = heard.filter(|newer| newer.started > told.map_or(0, |told| told.started)) else {
            continue;
        };
        let heard = newer.at.max(downs.up_since(gateway, sent.first_byte));
        // Of what it could not hear it is told as late after the gap.
        let confirmed_at = ears.told(gateway, heard.saturating_add(LATEST)) - LATEST;
        if oldest.as_ref().is_none_or(|oldest| {
            after(sent.first_byte, confirmed_at) > after(oldest.used_at, oldest.confirmed_at)
        }) {
            oldest = Some(StateUse {
                user: format!("gateway {}", nth(gateway)),
                subject: format!("host {}", nth(host)),
                value: "what it was before its last start".into(),
                confirmed_at,
                used_at: sent.first_byte,
                max_age: LATEST,
            });
        }
    }
    oldest
}
