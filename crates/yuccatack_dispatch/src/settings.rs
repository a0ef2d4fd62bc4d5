//! The times that the decisions depend on.

use yuccatack_core::DurationMs;

/// How much of the longest lease that workers accept is used. Eight of ten seconds carry work over
/// a cut of five and a half, and leave room for the worker's slow clock.
const LEASE_PERCENT: u64 = 80;

/// What the deployment fixes.
#[derive(Clone, Debug)]
pub struct DispatchSettings {
    /// How long a lease lasts from the worker's last observed clock. Longer leases carry work over
    /// an outage of control, shorter ones let work of a lost worker begin elsewhere sooner.
    pub lease_ms: DurationMs,
    /// How long after a cancellation or a preemption a worker may take to stop a run.
    pub stop_ms: DurationMs,
}

impl DispatchSettings {
    /// Settings for workers that accept leases up to `longest_lease`.
    pub fn new(longest_lease: DurationMs, stop_ms: DurationMs) -> Self {
        let lease_ms = DurationMs::new(longest_lease.get() * LEASE_PERCENT / 100);
        Self { lease_ms, stop_ms }
    }
}

/// A worker's clock may run this many percent slow, so that its lease ends later than granted.
pub(crate) const CLOCK_SLOW_PERCENT: u64 = 2;

/// What timers and scheduling of the worker may add to the end of a lease.
pub(crate) const LEASE_MARGIN: DurationMs = DurationMs::new(300);

/// A start without any result for this long may have been lost with the agent's process.
pub(crate) const START_RESULT_LIMIT: DurationMs = DurationMs::new(2_000);

/// A stop without confirmation is sent again after this time beyond the stop limit.
pub(crate) const STOP_RESEND_SLACK: DurationMs = DurationMs::new(300);

/// A worker whose clock was last read longer ago gets no new runs. Agents read it every 300 ms.
pub(crate) const FRESH_READING_LIMIT: DurationMs = DurationMs::new(1_200);
