//! Runs of a test with several seeds, which are fixed unless `YUCCATACK_SEED` and
//! `YUCCATACK_SEED_COUNT` select others.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicU64, Ordering};

fn number(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(text) => text.parse().unwrap_or_else(|_| panic!("{name} must be a number")),
        Err(_) => default,
    }
}

/// Calls `run` with each seed, on up to 3 threads, and reports the seeds that fail.
pub fn for_each_seed(default_count: u64, run: impl Fn(u64) + Sync) {
    let first = number("YUCCATACK_SEED", 1);
    let count = number("YUCCATACK_SEED_COUNT", default_count);
    let next = AtomicU64::new(first);
    let failed = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..count.min(3) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + count {
                        return;
                    }
                    if catch_unwind(AssertUnwindSafe(|| run(seed))).is_err() {
                        eprintln!(
                            "seed {seed} failed: YUCCATACK_SEED={seed} YUCCATACK_SEED_COUNT=1"
                        );
                        failed.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let failed = failed.into_inner();
    assert_eq!(failed, 0, "{failed} of {count} seeds from {first} on failed");
}
