//! Calls to the counter that are given up while they are being written.

use crate::support::{customer_plan, format_id, post, Behavior, Setup, SimulatedNetwork};
use cluster_model::{MS, SECOND};
use policy::counter_keys::EPOCH;
use serde_json::json;

/// A call takes over 60 bytes: a network of 32 holds it in the middle of its writing, as no socket does.
#[test]
fn units_of_a_call_that_was_given_up_in_mid_write_are_not_lost_to_its_customer() {
    let mut setup = Setup::default();
    setup.network.window = 32;
    setup.settings["domain"]["shared-counter"] = true.into();
    setup.settings["tariffs"] = json!([customer_plan(0.001, 10.0)]);
    let network = SimulatedNetwork::start(setup);
    network.hosts[0].set_behavior(Behavior::serve(4, 0));
    network.counter.set_behavior(Behavior::counter());
    network.counter.set_read_limit(0);
    // In the epoch in which the gateway started, the first call to a number proves nothing.
    network.run_until(EPOCH);
    let client = network.client();
    // The counter hears nothing for twice the time that a call has.
    client.send(post(1, 1, 2.0));
    network.run_until(EPOCH + 200 * MS);
    assert_eq!(client.take_replies(), [format_id(1)], "while the counter is silent, the quota is lent");
    assert!(network.counter.take_received().is_empty());
    network.counter.read_all();
    network.run_until(EPOCH + SECOND);
    // Behind it comes a call that only reads: by its total the gateway learns what became of the first.
    let late = network.counter.take_received().remove(0);
    assert!(late.text.starts_with("ADDGET") && late.at > EPOCH + 200 * MS, "all of it follows: {late:?}");
    // What it added is this gateway's own and buys a request; were it taken for someone else's, ten units would
    // let in four requests of two.
    for id in 2..=5 {
        client.send(post(id, 1, 2.0));
        network.run_for(SECOND);
        assert_eq!(client.take_replies(), [format_id(id)]);
    }
}
