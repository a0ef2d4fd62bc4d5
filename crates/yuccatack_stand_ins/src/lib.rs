//! Stand-ins for the platform's workers and minions, for tests and examples.

mod worker;
mod worker_model;

pub use worker::{WorkerSettings, WorkerStandIn};
pub use worker_model::{Behaviour, SharedAccelerator, TaskRecord, WorkerModel};
