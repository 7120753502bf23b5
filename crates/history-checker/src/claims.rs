//! No verdict is used that is older than stated.
//!
//! A [`Claim`] is any piece of knowledge that somebody acts on though somebody else, or an earlier moment, made it.
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
pub struct Claim {
    /// Who used it.
    pub who: String,
    /// Whom or what it is about.
    pub about: String,
    /// What it says.
    pub value: String,
    /// When it was made, or last known to hold.
    pub made: Time,
    /// When it was used.
    pub used: Time,
    /// How old it may be when it is used.
    pub allowed: Span,
}

pub(crate) fn check(claim: &Claim, found: &mut Findings) {
    let age = after(claim.used, claim.made);
    if age <= claim.allowed.saturating_add(ALLOWANCE) {
        return;
    }
    let Claim { who, about, value, made, used, allowed } = claim;
    let text = format!("{who} used a verdict on {about} that was {} old, {} allowed", ms(age), ms(*allowed));
    let chain = vec![
        (*made, format!("it last held that {about} is {value}")),
        (made + allowed, "it was too old from here on".to_owned()),
        (*used, format!("{who} acted on it")),
    ];
    found.add(Rule::Claims, *used, text, chain);
}

/// The oldest news of a host's start that a gateway acted on, if any was overtaken by what its agent had heard.
pub(crate) fn of_starts(
    (gateway, host): (u32, u32),
    pair: &Pair,
    downs: &Downs,
    ears: &Ears,
) -> Option<Claim> {
    let mut place = 0;
    let (mut told, mut heard): (Option<News>, Option<News>) = (None, None);
    let mut oldest: Option<Claim> = None;
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
        let made = ears.told(gateway, heard.saturating_add(LATEST)) - LATEST;
        if oldest.as_ref().is_none_or(|oldest| after(sent.first_byte, made) > after(oldest.used, oldest.made))
        {
            oldest = Some(Claim {
                who: format!("gateway {}", nth(gateway)),
                about: format!("host {}", nth(host)),
                value: "what it was before its last start".into(),
                made,
                used: sent.first_byte,
                allowed: LATEST,
            });
        }
    }
    oldest
}
