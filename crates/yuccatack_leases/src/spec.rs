//! Specifications of jobs, guarantees, quotas and policy, independent of any record schema.

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

/// Specification of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Name of the job, unique among the stored jobs.
    pub name: JobName,
    /// Organisation that submits the job and whose quota it counts against.
    pub organisation: OrganisationName,
    /// Number of tasks, resources of each task, and adjacency.
    pub shape: Shape,
    /// Priority class of the job.
    pub class: PriorityClass,
    /// Run time that the organisation expects; only a hint for the scheduler.
    pub declared_run_time_s: u64,
    /// `true` if the job may run again after an attempt was lost.
    pub idempotent: bool,
    /// `true` if the job can be stopped at a checkpoint and resumed on other workers.
    pub checkpointable: bool,
    /// Command line that the worker executes for each task.
    pub command: Vec<String>,
}

impl JobSpec {
    /// Returns `true` if an attempt can be evicted from its workers without losing the job.
    pub fn is_reclaimable(&self) -> bool {
        self.checkpointable || self.idempotent
    }

    /// Returns the number of accelerators of the whole gang.
    pub fn accelerator_count(&self) -> u64 {
        u64::from(self.shape.task_count) * u64::from(self.shape.task.accelerator_count)
    }
}

/// Guarantee of shapes that an organisation can always claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GuaranteeSpec {
    /// Name of the guarantee.
    pub name: RecordName,
    /// Organisation that may claim the shapes.
    pub organisation: OrganisationName,
    /// Shape of each guaranteed instance.
    pub shape: Shape,
    /// Number of instances of the shape that can be claimed at the same time.
    pub shape_count: u32,
    /// Data centres in which the shapes may be bound; empty allows every data centre.
    pub data_centres: Vec<DataCentreName>,
}

impl GuaranteeSpec {
    /// Returns `true` if `job` can run inside one guaranteed shape.
    pub fn covers(&self, job: &JobSpec) -> bool {
        self.organisation == job.organisation
            && self.shape.task_count >= job.shape.task_count
            && self.shape.task.contains(&job.shape.task)
            && (self.shape.adjacency <= job.shape.adjacency || job.shape.task_count == 1)
    }
}

/// Quota and fair-share weight of an organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaSpec {
    /// Name of the organisation that the quota applies to.
    pub organisation: OrganisationName,
    /// Maximum number of accelerators that its jobs may hold at once, guaranteed or borrowed.
    pub accelerator_quota_count: u32,
    /// Share of the organisation relative to others while jobs wait; 0 counts as 1.
    pub fair_share_weight: u32,
}

/// Weights and reserve of the scheduling policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicySpec {
    /// Weight of the expected completion delay in the placement score.
    pub completion_weight: f64,
    /// Weight of the growth in fragmentation in the placement score.
    pub fragmentation_weight: f64,
    /// Number of healthy workers per data centre that guarantees leave unused, as a reserve for
    /// failures.
    pub reserve_worker_count: u32,
}

impl Default for PolicySpec {
    fn default() -> Self {
        Self { completion_weight: 1.0, fragmentation_weight: 1.0, reserve_worker_count: 0 }
    }
}
