//! Seeds of randomised tests.

/// Returns `count` seeds from `first`; `YUCCATACK_SEED` and `YUCCATACK_SEED_COUNT` override both.
pub fn seeds(first: u64, count: u64) -> std::ops::Range<u64> {
    let read = |name: &str| std::env::var(name).ok().map(|text| text.parse::<u64>().unwrap());
    let first = read("YUCCATACK_SEED").unwrap_or(first);
    let count = read("YUCCATACK_SEED_COUNT").unwrap_or(count);
    first..first + count
}
