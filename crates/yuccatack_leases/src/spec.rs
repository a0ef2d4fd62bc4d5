//! What callers and operators ask for, independent of any record schema.

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

/// A job to run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job.
    pub name: JobName,
    /// Who runs it.
    pub organisation: OrganisationName,
    /// What it occupies.
    pub shape: Shape,
    /// How urgent it is.
    pub class: PriorityClass,
    /// The run time that the organisation expects; a hint only.
    pub declared_run_time_s: u64,
    /// Whether it may be run again after a lost attempt.
    pub idempotent: bool,
    /// Whether it can be stopped at a checkpoint and go on elsewhere.
    pub checkpointable: bool,
    /// The command line that the worker runs.
    pub command: Vec<String>,
}

impl JobSpec {
    /// Whether an attempt can be taken off its workers without losing the job.
    pub fn is_reclaimable(&self) -> bool {
        self.checkpointable || self.idempotent
    }

    /// The accelerators of the whole gang.
    pub fn accelerator_count(&self) -> u64 {
        u64::from(self.shape.task_count) * u64::from(self.shape.task.accelerator_count)
    }
}

/// A shape that an organisation can always claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GuaranteeSpec {
    /// The guarantee.
    pub name: RecordName,
    /// Who holds it.
    pub organisation: OrganisationName,
    /// The guaranteed shape.
    pub shape: Shape,
    /// How many of these shapes are guaranteed at once.
    pub shape_count: u32,
    /// Where the shapes may lie; empty means anywhere.
    pub data_centres: Vec<DataCentreName>,
}

impl GuaranteeSpec {
    /// Whether `job` can run inside one guaranteed shape.
    pub fn covers(&self, job: &JobSpec) -> bool {
        self.organisation == job.organisation
            && self.shape.task_count >= job.shape.task_count
            && self.shape.task.contains(&job.shape.task)
            && (self.shape.adjacency <= job.shape.adjacency || job.shape.task_count == 1)
    }
}

/// The limits of an organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaSpec {
    /// The organisation.
    pub organisation: OrganisationName,
    /// The most accelerators that its jobs may hold at once, guaranteed or borrowed.
    pub accelerator_quota_count: u32,
    /// Its share in comparison with others when work queues up.
    pub fair_share_weight: u32,
}

/// Weights and reserve of the scheduling policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicySpec {
    /// The weight of the expected completion delay.
    pub completion_weight: f64,
    /// The weight of growth in fragmentation.
    pub fragmentation_weight: f64,
    /// The healthy workers per data centre that guarantees leave unused, for failures.
    pub reserve_worker_count: u32,
}

impl Default for PolicySpec {
    fn default() -> Self {
        Self { completion_weight: 1.0, fragmentation_weight: 1.0, reserve_worker_count: 0 }
    }
}
