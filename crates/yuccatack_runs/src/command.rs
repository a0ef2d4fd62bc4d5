//! What the table is told.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccatack_core::{DurationMs, JobName, OrganisationName, QueueName, ServiceName};

use crate::identity::{RunId, WorkerIncarnation};
use crate::spec::JobSpec;

/// An accepted job with the terms of its queue at that time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// The caller's name for it.
    pub name: JobName,
    /// Where it was submitted.
    pub queue: QueueName,
    /// The pool whose workers run it.
    pub service: ServiceName,
    /// Who submitted it.
    pub organisation: Option<OrganisationName>,
    /// 0 comes first.
    pub priority: u32,
    /// How many failed runs of a task or gang fail the job.
    pub max_attempts: u32,
    /// How much longer than its longest chain of work it may take.
    pub stretch: f64,
    /// What it may take beyond that.
    pub allowance_ms: DurationMs,
    /// When it was accepted, by the leader's time of day.
    pub accepted_at_unix_ms: u64,
    /// What it runs.
    pub spec: JobSpec,
}

/// What became of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum SubmitOutcome {
    /// The job is stored.
    Accepted,
    /// A job of that name is stored already; nothing changed.
    AlreadyStored,
}

/// What became of a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum CancelOutcome {
    /// The job will not begin any more work.
    Cancelled,
    /// The job had ended already.
    AlreadyEnded,
    /// No such job is stored.
    NotFound,
}

/// A run to begin.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RunStart {
    /// The run.
    pub run: RunId,
    /// Where it runs.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
}

/// A run that is over.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub outcome: RunOutcome,
    /// The progress that it saved, if any.
    pub checkpoint: Option<Arc<str>>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The task is done.
    Done,
    /// It failed; this counts as an attempt.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
    /// It never began, and cannot begin any more.
    NeverBegan,
    /// The worker's incarnation is over, or its lease must have expired.
    WorkerLost,
}
