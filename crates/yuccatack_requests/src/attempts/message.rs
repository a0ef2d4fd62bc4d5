//! Decisions and resolutions that the attempt table returns.

use std::sync::Arc;

use crate::outcome::{NotRun, Outcome, Unknown};

/// Decision about an attempt that arrives at an agent.
#[derive(Clone, Debug, PartialEq)]
pub enum StartDecision {
    /// The attempt runs and holds a slot.
    Run,
    /// The attempt is refused and will never run on this agent.
    Refuse(NotRun),
    /// The attempt arrived before; the agent returns its resolution and runs nothing.
    Known(Resolution),
}

/// State or outcome of an attempt, as reported by its agent.
#[derive(Clone, Debug, PartialEq)]
pub enum Resolution {
    /// The attempt never ran and never will.
    NotRun(NotRun),
    /// The attempt is still running.
    Running,
    /// The attempt ended with this outcome.
    Ended(Arc<Outcome>),
    /// The attempt may have run, and its outcome can no longer be determined.
    Unknown(Unknown),
}
