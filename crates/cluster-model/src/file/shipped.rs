//! The scenarios that are built into the program.

/// Names and texts, in the order in which they are listed.
const SHIPPED: &[(&str, &str)] = &[
    ("calm", include_str!("../../../../scenarios/calm.scenario")),
    ("night", include_str!("../../../../scenarios/night.scenario")),
    ("cold-start", include_str!("../../../../scenarios/cold-start.scenario")),
    ("shrinking-fleet", include_str!("../../../../scenarios/shrinking-fleet.scenario")),
    ("slow-nodes", include_str!("../../../../scenarios/slow-nodes.scenario")),
    ("counter-lost", include_str!("../../../../scenarios/counter-lost.scenario")),
    ("garbled-answers", include_str!("../../../../scenarios/garbled-answers.scenario")),
    ("stale-connections", include_str!("../../../../scenarios/stale-connections.scenario")),
    ("resets", include_str!("../../../../scenarios/resets.scenario")),
    ("deaf-hosts", include_str!("../../../../scenarios/deaf-hosts.scenario")),
    ("discovery-cut", include_str!("../../../../scenarios/discovery-cut.scenario")),
    ("planned-restarts", include_str!("../../../../scenarios/planned-restarts.scenario")),
    ("held-links", include_str!("../../../../scenarios/held-links.scenario")),
    ("one-way-cut", include_str!("../../../../scenarios/one-way-cut.scenario")),
    ("stopped-gateway", include_str!("../../../../scenarios/stopped-gateway.scenario")),
    ("building-lost", include_str!("../../../../scenarios/building-lost.scenario")),
    ("site-lost", include_str!("../../../../scenarios/site-lost.scenario")),
    ("two-at-once", include_str!("../../../../scenarios/two-at-once.scenario")),
    ("calm-fleet", include_str!("../../../../scenarios/calm-fleet.scenario")),
    ("roll-fleet", include_str!("../../../../scenarios/roll-fleet.scenario")),
    ("herd-fleet", include_str!("../../../../scenarios/herd-fleet.scenario")),
    ("zone-fleet", include_str!("../../../../scenarios/zone-fleet.scenario")),
    ("split-fleet", include_str!("../../../../scenarios/split-fleet.scenario")),
    ("join-fleet", include_str!("../../../../scenarios/join-fleet.scenario")),
];

/// Returns the names and texts of the shipped scenarios; each text can be passed to [`super::parse`].
pub fn shipped() -> &'static [(&'static str, &'static str)] {
    SHIPPED
}

/// Returns the text of the shipped scenario with this name.
pub fn find(name: &str) -> Option<&'static str> {
    SHIPPED.iter().find(|(shipped, _)| *shipped == name).map(|(_, text)| *text)
}
