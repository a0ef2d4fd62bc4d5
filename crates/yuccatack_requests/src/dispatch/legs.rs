//! The attempts of one request that are under way.

use yuccatack_core::prelude::*;

use crate::claims::ClaimedAttempt;

/// How far an attempt has come, as far as the entry knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LegState {
    /// It was sent; `Resolve` follows at this time if it stays silent.
    Executing {
        /// When to ask.
        resolve_at: TimestampMs,
    },
    /// `Resolve` is under way.
    Resolving,
    /// `Resolve` follows at this time.
    ResolveLater {
        /// When to ask again.
        resolve_at: TimestampMs,
    },
}

/// One attempt without a known end.
#[derive(Clone, Debug, PartialEq)]
pub struct Leg {
    /// The attempt and its agent.
    pub attempt: ClaimedAttempt,
    /// How far it has come.
    pub state: LegState,
    /// How often `Resolve` failed in a row.
    pub failed_resolve_count: u32,
    /// Whether another entry or an earlier sending dispatched it.
    pub foreign: bool,
}

impl Leg {
    /// When the leg next needs attention by itself.
    pub fn next_timer(&self) -> Option<TimestampMs> {
        match self.state {
            LegState::Executing { resolve_at } | LegState::ResolveLater { resolve_at } => {
                Some(resolve_at)
            }
            LegState::Resolving => None,
        }
    }
}
