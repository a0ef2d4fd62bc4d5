//! Stand-ins for the platform's workers, minions and callers, for tests and examples.

mod caller;
mod worker;
mod worker_model;

pub use caller::{CallerAnswer, CallerStandIn};
pub use worker::{WorkerSettings, WorkerStandIn};
pub use worker_model::{Behaviour, TaskRecord, WorkerModel};
