use super::*;

#[test]
fn free_slots_are_reused_and_queues_are_first_in_first_out() {
    let mut slab = Slab::new();
    let (mut even, mut odd) = (SlotQueue::default(), SlotQueue::default());
    for n in 0..3 * CHUNK_SLOTS as u32 {
        let slot = slab.insert(n);
        assert_eq!(slot, n);
        slab.push_back(if n % 2 == 0 { &mut even } else { &mut odd }, slot);
    }
    for n in (0..3 * CHUNK_SLOTS as u32).step_by(2) {
        assert_eq!(slab.front(&even), Some(&n));
        let slot = slab.pop_front(&mut even).unwrap();
        slab.remove(slot, 0);
    }
    assert_eq!((slab.pop_front(&mut even), slab.len()), (None, 3 * CHUNK_SLOTS));
    // Free slots are reused in LIFO order before new ones are allocated.
    let reused = slab.insert(7);
    assert_eq!(reused, 3 * CHUNK_SLOTS as u32 - 2);
    slab.push_back(&mut even, reused);
    assert_eq!((slab.front(&even), slab.front(&odd), slab.len()), (Some(&7), Some(&1), 3 * CHUNK_SLOTS));
    assert_eq!(std::iter::from_fn(|| slab.pop_front(&mut odd)).count(), 3 * CHUNK_SLOTS / 2);
}
