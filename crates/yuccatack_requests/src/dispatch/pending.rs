//! Attempts of one request that were sent and have no known outcome yet.

use yuccatack_core::prelude::*;

use crate::claims::ClaimedAttempt;

/// Progress of a pending attempt, as known to the entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PendingState {
    /// The attempt was sent; `Resolve` follows if no answer arrives in time.
    Executing {
        /// Time of the `Resolve` call.
        resolve_at: TimestampMs,
    },
    /// A `Resolve` call is in progress.
    Resolving,
    /// A `Resolve` call is scheduled.
    ResolveScheduled {
        /// Time of the next `Resolve` call.
        resolve_at: TimestampMs,
    },
}

/// Attempt without a known outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingAttempt {
    /// Attempt and the agent that it is addressed to.
    pub attempt: ClaimedAttempt,
    /// Progress, which determines the next timer.
    pub state: PendingState,
    /// Number of consecutive failures of `Resolve`.
    pub failed_resolve_count: u32,
    /// `true` if another entry or an earlier submission dispatched the attempt.
    pub foreign: bool,
}

impl PendingAttempt {
    /// Returns the time of the scheduled `Resolve` call, if any.
    pub fn next_timer(&self) -> Option<TimestampMs> {
        match self.state {
            PendingState::Executing { resolve_at }
            | PendingState::ResolveScheduled { resolve_at } => Some(resolve_at),
            PendingState::Resolving => None,
        }
    }
}
