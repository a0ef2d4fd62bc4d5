//! What the attempt table answers.

use std::sync::Arc;

use crate::outcome::{NotRun, Outcome, Unknown};

/// What an agent does with an attempt that arrives.
#[derive(Clone, Debug, PartialEq)]
pub enum StartDecision {
    /// Run it; it now holds a slot.
    Run,
    /// Refuse it; it will never run here.
    Refuse(NotRun),
    /// It arrived before; tell what became of it and run nothing.
    Known(Resolution),
}

/// What became of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Resolution {
    /// It never ran and never will.
    NotRun(NotRun),
    /// It runs now.
    Running,
    /// It ended with this outcome.
    Ended(Arc<Outcome>),
    /// It may have run, and nothing more can be known.
    Unknown(Unknown),
}
