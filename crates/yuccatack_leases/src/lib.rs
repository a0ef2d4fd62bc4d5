//! Job scheduling: gangs, attempts, worker leases, worker health and reclaim.
//!
//! [`LeaseTable`] is the replicated state and changes only by [`LeaseTable::apply`]. [`Scheduler`]
//! is kept by the leader alone: it answers heartbeats and proposes commands. Neither does I/O or
//! reads a clock; `now` is Unix time in milliseconds that never goes backwards within a process.

mod apply;
mod attempt;
mod begin;
mod binding;
mod check;
mod claim;
mod defragment;
mod demand;
mod estimate;
mod explain;
mod health;
mod heartbeat;
mod invariant;
mod job;
mod message;
mod probe;
mod reclaim;
mod reservation;
mod scheduler;
mod scheduling_pass;
mod spec;
mod table;
pub mod wire;
mod worker;

pub use check::{GuaranteeRefusal, JobRefusal};
pub use estimate::RunTimeEstimate;
pub use explain::{Explanation, JobStatus, WaitReason};
pub use heartbeat::{
    CommandKind, HeartbeatReply, HeartbeatReport, ReportedState, ReportedTask, TaskReference,
    WorkerCommand,
};
pub use job::{Attempt, AttemptPhase, JobEntry, JobPhase, TaskSlot, TaskState};
pub use message::{
    BeginAttempt, Claim, LeaseCommand, LeaseEvent, StopReason, TaskOutcome, WorkerRegistration,
    WorkerTasks,
};
pub use scheduler::Scheduler;
pub use scheduling_pass::Strategy;
pub use spec::{GuaranteeSpec, JobSpec, PolicySpec, QuotaSpec};
pub use table::{GuaranteeEntry, LeaseTable, OrganisationEntry, ShapeInstance};
pub use worker::{TaskKey, WorkerEntry, WorkerHealth};

use yuccatack_core::DurationMs;

/// Time for which a worker may run tasks, counted from the sending of an answered heartbeat.
pub const LEASE_DURATION: DurationMs = DurationMs::new(6_000);
/// Largest tolerated drift between the clocks of a worker and of the leader during one lease.
pub const CLOCK_MARGIN: DurationMs = DurationMs::new(500);
/// Interval between the heartbeats of a worker while nothing changes on it.
pub const HEARTBEAT_INTERVAL: DurationMs = DurationMs::new(2_000);
/// Time that a borrower gets to checkpoint before it is stopped.
pub const CHECKPOINT_TIMEOUT: DurationMs = DurationMs::new(3_000);
/// Time that the workers of a gang get to confirm the preparation before the gang is released.
pub const PREPARE_TIMEOUT: DurationMs = DurationMs::new(5_000);
/// Number of different healthy workers on which a job fails before it is refused.
pub const MAX_FAILED_WORKERS: usize = 3;
/// Number of different jobs that fail on a worker, with no success between them, before it is
/// quarantined.
pub const MAX_FAILED_JOBS: usize = 3;
