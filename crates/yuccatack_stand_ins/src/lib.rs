//! Stand-ins for the platform's workers, minions and callers, for tests and examples.

mod caller;

pub use caller::{CallerAnswer, CallerStandIn};
