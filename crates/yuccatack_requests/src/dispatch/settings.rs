//! Time limits and bounds of dispatching.

use yuccatack_core::prelude::*;

/// Time limits and bounds that apply to the dispatch of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DispatchSettings {
    /// Maximum number of attempts of one request, including hedges.
    pub attempt_limit: usize,
    /// Maximum number of claims of one request. It exceeds the number of attempts, because a
    /// concurrent resubmission may claim the released key first.
    pub claim_limit: usize,
    /// Time without an answer after which the attempt is resolved on a new connection.
    pub silence_timeout: DurationMs,
    /// Duration of an idempotent attempt after which a second one starts on another node.
    pub hedge_delay: DurationMs,
    /// Time for which an agent may delay the answer to `Resolve` while the attempt is running.
    pub resolve_wait: DurationMs,
    /// Delay before the first retry; it doubles with each further one.
    pub backoff_base: DurationMs,
    /// Maximum delay before a retry.
    pub backoff_limit: DurationMs,
    /// Time after the deadline during which the agent's resolution of a pending attempt is still
    /// accepted.
    pub deadline_grace: DurationMs,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            attempt_limit: 4,
            claim_limit: 8,
            silence_timeout: DurationMs::new(1_000),
            hedge_delay: DurationMs::new(2_000),
            resolve_wait: DurationMs::new(1_000),
            backoff_base: DurationMs::new(5),
            backoff_limit: DurationMs::new(500),
            deadline_grace: DurationMs::new(50),
        }
    }
}
