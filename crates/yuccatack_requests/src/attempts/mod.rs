//! Attempts that one incarnation of an agent has received, barred or answered.

mod message;
mod state;

pub use message::{Resolution, StartDecision};
pub use state::{AttemptLimits, AttemptTable};
