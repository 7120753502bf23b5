//! Many seeds at once.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// What `of` gives for each seed from 1 on, in their order, on so many threads.
pub fn for_seeds<T: Send>(seeds: u64, threads: usize, of: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let (next, found) = (AtomicU64::new(1), Mutex::new(Vec::new()));
    let work = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed > seeds {
            return;
        }
        let result = of(seed);
        found.lock().unwrap().push((seed, result));
    };
    std::thread::scope(|scope| (0..threads.max(1)).for_each(|_| drop(scope.spawn(work))));
    let mut found = found.into_inner().unwrap();
    found.sort_by_key(|(seed, _)| *seed);
    found.into_iter().map(|(_, result)| result).collect()
}
