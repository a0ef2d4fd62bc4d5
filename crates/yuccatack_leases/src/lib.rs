//! Jobs, gangs, attempts, worker health and reclaim.
//!
//! [`LeaseTable`] is replicated: it changes only by [`LeaseTable::apply`]. [`Scheduler`] is the
//! leader's memory: it answers heartbeats and decides which commands to propose. Neither does I/O
//! or reads a clock; `now` is Unix time in milliseconds that never goes back within a process.

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

/// How long a worker may run tasks after it sent a heartbeat that was answered.
pub const LEASE_DURATION: DurationMs = DurationMs::new(6_000);
/// How far the clocks of a worker and of the leader may drift apart during one lease.
pub const CLOCK_MARGIN: DurationMs = DurationMs::new(500);
/// How often a worker sends a heartbeat when nothing changes.
pub const HEARTBEAT_INTERVAL: DurationMs = DurationMs::new(2_000);
/// How long a borrower may take to checkpoint before it is stopped.
pub const CHECKPOINT_TIMEOUT: DurationMs = DurationMs::new(3_000);
/// How long the workers of a gang may take to confirm before the gang is released.
pub const PREPARE_TIMEOUT: DurationMs = DurationMs::new(5_000);
/// A job that failed on this many different healthy workers is refused.
pub const MAX_FAILED_WORKERS: usize = 3;
/// A worker on which this many different jobs failed and none succeeded is quarantined.
pub const MAX_FAILED_JOBS: usize = 3;
