//! Counter calls that time out while they are being written.

use crate::support::{customer_plan, format_id, post, Behavior, Setup, SimulatedNetwork};
use cluster_model::{MS, SECOND};
use policy::counter_keys::EPOCH;
use serde_json::json;

/// A call takes over 60 bytes: a window of 32 bytes stops it half-way through writing, which no real socket does.
#[test]
fn units_added_by_a_call_that_timed_out_half_written_stay_available_to_the_customer() {
    let mut setup = Setup::default();
    setup.network.window = 32;
    setup.settings["domain"]["shared-counter"] = true.into();
    setup.settings["tariffs"] = json!([customer_plan(0.001, 10.0)]);
    let network = SimulatedNetwork::start(setup);
    network.hosts[0].set_behavior(Behavior::serve(4, 0));
    network.counter.set_behavior(Behavior::counter());
    network.counter.set_read_limit(0);
    // In the epoch in which the gateway started, the total after the first call for a key proves nothing.
    network.run_until(EPOCH);
    let client = network.client();
    // The counter reads nothing for twice the timeout of a call.
    client.send(post(1, 1, 2.0));
    network.run_until(EPOCH + 200 * MS);
    assert_eq!(
        client.take_replies(),
        [format_id(1)],
        "while the counter is silent, units are granted locally"
    );
    assert!(network.counter.take_received().is_empty());
    network.counter.read_all();
    network.run_until(EPOCH + SECOND);
    // A call that only reads follows it: its total tells the gateway whether the first one was applied.
    let late = network.counter.take_received().remove(0);
    assert!(
        late.text.starts_with("ADDGET") && late.at > EPOCH + 200 * MS,
        "the rest of the call follows: {late:?}"
    );
    // The units that the first call added belong to this gateway and pay for a request. If the gateway attributed them
    // to another one, ten units would admit only four requests of two units.
    for id in 2..=5 {
        client.send(post(id, 1, 2.0));
        network.run_for(SECOND);
        assert_eq!(client.take_replies(), [format_id(id)]);
    }
}
