//! The state of a worker.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;
use yuccatack_placement::WorkerIndex;

/// A task of a job's current attempt.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job.
    pub job: JobName,
    /// The task.
    pub index: u32,
}

/// A worker with its health.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// Its position in the cluster.
    pub index: WorkerIndex,
    /// The run of the worker process.
    pub incarnation: Incarnation,
    /// Grows with each registration under this name.
    pub registration_number: u64,
    /// Everything it has.
    pub resources: Resources,
    /// Whether it gets work.
    pub health: WorkerHealth,
    /// Tasks that hold or wait for its capacity.
    pub tasks: BTreeSet<TaskKey>,
    /// Different jobs that failed here since the last success, as many as matter.
    pub failed_jobs: BTreeSet<JobName>,
    /// The wait before the first probe of the next quarantine; reset by a success.
    pub backoff_ms: u64,
    /// How often it was quarantined.
    pub quarantine_count: u32,
}

/// Whether a worker gets work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum WorkerHealth {
    /// It gets work.
    Healthy,
    /// It failed every job and gets one probe at a time.
    Quarantined {
        /// When the next probe is due.
        probe_at: TimestampMs,
    },
    /// Its lease has ended.
    Lost {
        /// When.
        since: TimestampMs,
    },
}
