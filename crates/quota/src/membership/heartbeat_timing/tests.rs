use super::*;

const S: Span = 1_000_000_000;

#[test]
fn the_detection_time_grows_with_the_fleet_up_to_a_bound() {
    let tenths_of_seconds = |gateways| (detection_time(gateways, 3) + S / 20) * 10 / S;
    assert_eq!([3, 16, 30, 60, 150, 1_000].map(tenths_of_seconds), [33, 78, 89, 178, 380, 380]);
}
