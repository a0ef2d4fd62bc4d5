//! Exponential backoff with jitter.

use std::time::Duration;

/// Ratio of each nominal delay to the one before.
const GROWTH_FACTOR: u32 = 2;

/// Growing, randomised delays for one series of attempts.
///
/// Without a leader, every agent and entry searches for one at the same time. At a short fixed
/// interval, the replicas would be so busy refusing them that they could not elect a leader.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Creates a backoff whose nominal delays grow from `initial` up to `max`.
    pub const fn new(initial: Duration, max: Duration) -> Self {
        Self { initial, max, next: initial }
    }

    /// Returns the next delay, drawn at random from between half and all of its nominal length.
    pub fn delay(&mut self) -> Duration {
        let nominal = self.next;
        self.next = (nominal * GROWTH_FACTOR).min(self.max);
        nominal.mul_f64(rand::random_range(0.5..=1.0))
    }

    /// Returns to the initial delay after a success.
    pub fn reset(&mut self) {
        self.next = self.initial;
    }
}
