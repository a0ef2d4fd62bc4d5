//! Times and bounds of dispatching.

use yuccatack_core::prelude::*;

/// Times and bounds of dispatching.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DispatchSettings {
    /// The most attempts for one request, hedges included.
    pub attempt_count: usize,
    /// The most claims for one request; a lively resend may take the key in between.
    pub claim_count: usize,
    /// How long an attempt may be silent before a new connection asks for it.
    pub silence: DurationMs,
    /// How long an idempotent attempt may take before a second one starts elsewhere.
    pub hedge_after: DurationMs,
    /// How long an agent may hold back the answer to `Resolve`.
    pub resolve_wait: DurationMs,
    /// The first pause before a retry; it doubles each time.
    pub backoff_base: DurationMs,
    /// The longest pause before a retry.
    pub backoff_limit: DurationMs,
    /// How long after the deadline the agent's own account of it is waited for.
    pub deadline_grace: DurationMs,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            attempt_count: 4,
            claim_count: 8,
            silence: DurationMs::new(1_000),
            hedge_after: DurationMs::new(2_000),
            resolve_wait: DurationMs::new(1_000),
            backoff_base: DurationMs::new(5),
            backoff_limit: DurationMs::new(500),
            deadline_grace: DurationMs::new(50),
        }
    }
}
