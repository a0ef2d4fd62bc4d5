//! Test doubles of the platform's workers, minions, callers and disks, for tests and examples.

mod caller;
mod disk;
pub mod minion;
mod queue_worker;
mod worker;
mod worker_model;

pub use caller::{CallerResponse, CallerStandIn};
pub use disk::DiskStandIn;
pub use minion::{MinionBehaviour, MinionFault, MinionRun, MinionStandIn};
pub use queue_worker::{QueueWorkerHandle, QueueWorkerStandIn};
pub use worker::{WorkerSettings, WorkerStandIn};
pub use worker_model::{AcceleratorConflict, TaskRecord, WorkerBehaviour, WorkerModel};
