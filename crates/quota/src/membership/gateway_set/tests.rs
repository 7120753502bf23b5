use super::*;

#[test]
fn member_indexes_wrap_around_and_the_set_size_is_limited_to_the_fleet() {
    let set = |gateway_index| GatewaySet { first_gateway: 2, set_size: 2, gateway_index, gateways: 3 };
    let member_indexes = [0, 1, 2].map(|gateway_index| set(gateway_index).normalized().member_index());
    assert_eq!(member_indexes, [1, 2, 0]);
    let oversized = GatewaySet { first_gateway: 9, set_size: u32::MAX, gateway_index: 0, gateways: 3 };
    assert_eq!(oversized.normalized().set_size, 3);
}
