//! Delays between attempts that grow and differ between nodes.

use std::time::Duration;

/// How much longer each delay is than the one before.
const GROWTH_FACTOR: u32 = 2;

/// Delays for one series of attempts.
///
/// Without a leader every agent and entry searches at the same time. Searches at a fixed short
/// interval would keep the replicas busy with refusals, and from electing one.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    first: Duration,
    limit: Duration,
    next: Duration,
}

impl Backoff {
    /// Delays from `first` up to `limit`.
    pub const fn new(first: Duration, limit: Duration) -> Self {
        Self { first, limit, next: first }
    }

    /// The next delay: a random one between half of its nominal length and all of it.
    pub fn delay(&mut self) -> Duration {
        let nominal = self.next;
        self.next = (nominal * GROWTH_FACTOR).min(self.limit);
        nominal.mul_f64(rand::random_range(0.5..=1.0))
    }

    /// Begins anew after a success.
    pub fn reset(&mut self) {
        self.next = self.first;
    }
}
