//! State of a worker.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;
use yuccatack_placement::WorkerIndex;

/// Identifies a task of the current attempt of a job.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct TaskKey {
    /// Name of the job.
    pub job: JobName,
    /// Index of the task within its gang, from 0.
    pub index: u32,
}

/// Replicated state of a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// Index of the worker in the cluster.
    pub index: WorkerIndex,
    /// Incarnation of the worker process; changes with each start.
    pub incarnation: Incarnation,
    /// Number of registrations under this name while its entry is kept, this one included.
    pub registration_number: u64,
    /// Total resources of the worker.
    pub resources: Resources,
    /// Health, which decides whether jobs are placed on the worker.
    pub health: WorkerHealth,
    /// Tasks that hold or have booked capacity of the worker.
    pub tasks: BTreeSet<TaskKey>,
    /// Different jobs that failed on the worker since its last success, at most
    /// [`MAX_FAILED_JOBS`](crate::MAX_FAILED_JOBS).
    pub failed_jobs: BTreeSet<JobName>,
    /// Delay before the next probe that is scheduled; doubles each time up to half an hour and is
    /// reset by a success.
    pub backoff_ms: u64,
    /// Number of times that the worker was quarantined.
    pub quarantine_count: u32,
}

/// Health of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum WorkerHealth {
    /// Jobs are placed on the worker.
    Healthy,
    /// The worker failed several jobs in a row and gets one probe at a time.
    Quarantined {
        /// Time at which the next probe is due.
        probe_at: TimestampMs,
    },
    /// The lease of the worker has ended.
    Lost {
        /// Time at which the loss was recorded.
        since: TimestampMs,
    },
}
