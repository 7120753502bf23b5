//! Calls to the counter that are given up while they are being written.

use crate::support::{name, post, tariff, Manner, Plan, Room};
use cluster_model::{MS, SECOND};
use policy::counter_keys::EPOCH;
use serde_json::json;

/// A call takes over 60 bytes: a network of 32 holds it in the middle of its writing, as no socket does.
#[test]
fn units_of_a_call_that_was_given_up_in_mid_write_are_not_lost_to_its_customer() {
    let mut plan = Plan::default();
    plan.network.window = 32;
    plan.settings["domain"]["shared-counter"] = true.into();
    plan.settings["tariffs"] = json!([tariff(0.001, 10.0)]);
    let room = Room::start(plan);
    room.hosts[0].manner(Manner::serve(4, 0));
    room.counter.manner(Manner::count());
    room.counter.deaf(0);
    // In the epoch in which the gateway started, the first call to a number proves nothing.
    room.run_to(EPOCH);
    let client = room.client();
    // The counter hears nothing for twice the time that a call has.
    client.say(post(1, 1, 2.0));
    room.run_to(EPOCH + 200 * MS);
    assert_eq!(client.heard(), [name(1)], "while the counter is silent, the quota is lent");
    assert!(room.counter.seen().is_empty());
    room.counter.hear();
    room.run_to(EPOCH + SECOND);
    // Behind it comes a call that only reads: by its total the gateway learns what became of the first.
    let late = room.counter.seen().remove(0);
    assert!(late.text.starts_with("ADDGET") && late.at > EPOCH + 200 * MS, "all of it follows: {late:?}");
    // What it added is this gateway's own and buys a request; were it taken for someone else's, ten units would
    // let in four requests of two.
    for id in 2..=5 {
        client.say(post(id, 1, 2.0));
        room.run(SECOND);
        assert_eq!(client.heard(), [name(id)]);
    }
}
