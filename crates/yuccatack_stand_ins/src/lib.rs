//! Stand-ins for the platform's workers and minions, for tests and examples.

pub mod minion;

pub use minion::{MinionBehaviour, MinionFault, MinionRun, MinionStandIn};
