//! Faults of a simulated day.

use rand::{Rng, RngExt};
use yuccatack_core::{DurationMs, TimestampMs};

use crate::worker::Conduct;

/// Fault of some workers for a time.
#[derive(Clone, Debug)]
pub struct WorkerFault {
    pub begins_at: TimestampMs,
    pub ends_at: TimestampMs,
    pub workers: Vec<usize>,
    pub kind: WorkerFaultKind,
}

#[derive(Clone, Copy, Debug)]
pub enum WorkerFaultKind {
    /// The workers behave in one way for the whole time.
    Steady(Conduct),
    /// The workers crash and come back by turns.
    Flapping { period_ms: u64 },
    /// The workers drain, then are gone, and others replace them.
    Taken { notice_ms: u64 },
}

/// Draws a fault that ends no later than `latest_end`.
pub fn draw_fault<Random>(
    worker_count: usize,
    earliest: TimestampMs,
    latest_end: TimestampMs,
    random: &mut Random,
) -> WorkerFault
where
    Random: Rng,
{
    let kind = match random.random_range(0..11) {
        0 => WorkerFaultKind::Steady(Conduct::FailsRuns(random.random_range(40..=100))),
        1 => WorkerFaultKind::Steady(Conduct::RefusesStarts(random.random_range(40..=100))),
        2 => WorkerFaultKind::Steady(Conduct::IgnoresStarts(random.random_range(40..=100))),
        3 => WorkerFaultKind::Steady(Conduct::AppliesLate(random.random_range(20..=60))),
        4 => WorkerFaultKind::Steady(Conduct::Stalls),
        5 => WorkerFaultKind::Steady(Conduct::Slow),
        6 => WorkerFaultKind::Steady(Conduct::Cut),
        7 => WorkerFaultKind::Steady(Conduct::Down),
        8 | 9 => WorkerFaultKind::Taken { notice_ms: 2_000 },
        _ => WorkerFaultKind::Flapping { period_ms: random.random_range(600..2_500) },
    };
    let span_ms = latest_end.since(earliest).get();
    let length_ms = random.random_range(2_000..8_000).min(span_ms);
    // Half of the faults end with the traffic, when nothing hides what they leave behind.
    let ends_at = if random.random_bool(0.5) {
        latest_end
    } else {
        earliest + DurationMs::new(random.random_range(length_ms..=span_ms))
    };
    let begins_at = TimestampMs::new(ends_at.get() - length_ms);
    let share = random.random_range(0.05..0.3);
    let count = ((worker_count as f64 * share) as usize).max(1);
    let workers = (0..count).map(|_| random.random_range(0..worker_count)).collect();
    WorkerFault { begins_at, ends_at, workers, kind }
}
