//! Inputs and outcomes of the operations on the job table.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccatack_core::{DurationMs, JobName, OrganisationName, QueueName, ServiceName};

use crate::identity::{RunId, WorkerIncarnation};
use crate::spec::JobSpec;

/// Accepted job with the terms of its queue at the time of acceptance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// Name under which the job is stored: the one that the caller chose, unless a job of another
    /// caller has it.
    pub name: JobName,
    /// Queue that the job was submitted to.
    pub queue: QueueName,
    /// Pool whose workers run the job.
    pub service: ServiceName,
    /// Organisation of the caller; `None` if the job came without a known key.
    pub organisation: Option<OrganisationName>,
    /// Priority of the job; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs of one task or gang after which the job fails.
    pub max_attempts: u32,
    /// Factor by which the objective multiplies the estimated length of the longest chain of steps.
    pub stretch: f64,
    /// Time that the objective allows beyond the stretched chain.
    pub allowance_ms: DurationMs,
    /// Unix time of acceptance, by the leader's clock.
    pub accepted_at_unix_ms: u64,
    /// Call by which the job was submitted; `None` in records of versions that did not store it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<JobOrigin>,
    /// Steps and payload of the job, as the caller submitted them.
    pub spec: JobSpec,
}

/// Call by which a job was submitted, which identifies the job to its caller.
///
/// Callers address a queue by host and path prefix. Its name in the configuration may change, and
/// another queue may have it later.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JobOrigin {
    /// Host name of the queue.
    pub host: Arc<str>,
    /// Path prefix of the queue.
    pub path_prefix: Arc<str>,
    /// Name that the caller chose; `None` in origins that were added to older records.
    #[serde(default)]
    pub name: Option<JobName>,
}

/// Outcome of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum SubmitOutcome {
    /// The job was new and is stored now.
    Accepted,
    /// A job of this name was stored before; the submission changed nothing.
    AlreadyStored,
}

/// Outcome of a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum CancelOutcome {
    /// The job was cancelled and begins no more work; open runs may still be stopping.
    Cancelled,
    /// The job had already completed, failed or been cancelled.
    AlreadyEnded,
    /// No job of this name is stored.
    NotFound,
}

/// Assignment of a run to a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RunStart {
    /// Run to begin.
    pub run: RunId,
    /// Incarnation of the worker that executes the run.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
}

/// End of a run.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RunEnd {
    /// Run that ended.
    pub run: RunId,
    /// Reason for the end.
    pub outcome: RunOutcome,
    /// Last checkpoint of the run; `None` if it saved none.
    pub checkpoint: Option<Arc<str>>,
}

/// Reason why a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The task completed.
    Done,
    /// The task failed, which counts as an attempt.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease of the run expired.
    Lapsed,
    /// Another member of the gang ended first.
    Broken,
    /// The other members of the gang did not begin.
    Alone,
    /// The run never began, and is barred from beginning.
    NeverBegan,
    /// The worker left or restarted, or the lease of the run must have expired.
    WorkerLost,
}
