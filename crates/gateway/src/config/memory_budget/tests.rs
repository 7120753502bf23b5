use super::*;

#[test]
fn the_parts_fit_into_the_memory_of_all_machine_sizes_in_use() {
    for (mb, sockets) in [(32, 256), (32, 1024), (64, 512), (192, 1024), (2048, 4096)] {
        let budget = MemoryBudget::within(mb << 20, sockets);
        let parts =
            budget.command_slots * MAX_VALUE + budget.commands + budget.connections + budget.customers;
        assert!(parts + PROGRAM_BYTES <= budget.total, "{mb} MB: {budget:?}");
        assert!(budget.command_slots >= 64, "{mb} MB: {budget:?}");
    }
}

#[test]
fn the_smallest_machine_holds_30_000_customers_and_a_typical_one_700_000() {
    let max_customers = |mb: usize, sockets| MemoryBudget::within(mb << 20, sockets).max_customers().1;
    assert!(max_customers(32, 256) >= 30_000, "{}", max_customers(32, 256));
    assert!(max_customers(64, 512) >= 100_000, "{}", max_customers(64, 512));
    assert!(max_customers(192, 1024) >= 700_000, "{}", max_customers(192, 1024));
    assert!(max_customers(4, 64) >= 1_000, "with less memory than needed: {}", max_customers(4, 64));
}
