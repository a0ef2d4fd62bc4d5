//! Durations that the scheduling decisions depend on.

use yuccatack_core::DurationMs;

/// Length of a lease in percent of the longest one that workers accept. Of 10 s, 8 s keep work
/// running through a network partition of 5.5 s and leave a margin for a slow clock of the worker.
const LEASE_PERCENT: u64 = 80;

/// Time limit of a start in percent of the time from which nothing may start in an evacuated data
/// centre. The rest is for the call of the agent to the worker, which may be carried out late.
const START_LIMIT_PERCENT: u64 = 40;

/// Time for which the workers of a data centre come after others once its evacuation has ended, so
/// that what waits does not all begin there.
pub(crate) const RETURN_PERIOD_MS: DurationMs = DurationMs::new(3_000);

/// Longest time for which a worker counts as cold, whatever it announces.
pub(crate) const MAX_COLD_MS: DurationMs = DurationMs::new(60_000);

/// Settings of the dispatcher that the deployment determines.
#[derive(Clone, Debug)]
pub struct DispatchSettings {
    /// Length of a lease, counted from the last reading of the worker's clock. Longer leases keep
    /// work running through an outage of the control replicas; shorter ones let the work of a lost
    /// worker begin elsewhere sooner.
    pub lease_ms: DurationMs,
    /// Time that a worker may take to stop a run after a cancellation or an eviction.
    pub stop_timeout_ms: DurationMs,
    /// Time after a reading of the worker's clock within which a start that builds on it may be carried
    /// out; `None` in a deployment without evacuations, where starts expire with their leases only.
    pub start_limit_ms: Option<DurationMs>,
}

impl DispatchSettings {
    /// Creates settings for workers that accept leases up to `max_lease`.
    pub fn new(max_lease: DurationMs, stop_timeout_ms: DurationMs) -> Self {
        let lease_ms = DurationMs::new(max_lease.get() * LEASE_PERCENT / 100);
        Self { lease_ms, stop_timeout_ms, start_limit_ms: None }
    }

    /// Lets starts expire early enough that none is carried out later than `evacuate_ms` after the
    /// acknowledgement of an evacuation.
    pub fn with_evacuation(self, evacuate_ms: DurationMs) -> Self {
        let start_limit_ms = DurationMs::new(evacuate_ms.get() * START_LIMIT_PERCENT / 100);
        Self { start_limit_ms: Some(start_limit_ms), ..self }
    }
}

/// Percentage by which a worker's clock may run slow, so that its lease ends later than granted.
pub(crate) const CLOCK_SLOWDOWN_PERCENT: u64 = 2;

/// Delay that timers and thread scheduling on the worker may add to the end of a lease.
pub(crate) const LEASE_MARGIN_MS: DurationMs = DurationMs::new(300);

/// Time without a result after which a start may have been lost with the agent's process.
pub(crate) const START_RESULT_TIMEOUT_MS: DurationMs = DurationMs::new(2_000);

/// Time beyond the stop timeout after which an unconfirmed stop is sent again.
pub(crate) const STOP_RESEND_MARGIN_MS: DurationMs = DurationMs::new(300);

/// Age of the last clock reading beyond which a worker gets no new runs. Agents poll the clock
/// every 300 ms.
pub(crate) const MAX_READING_AGE_MS: DurationMs = DurationMs::new(1_200);
