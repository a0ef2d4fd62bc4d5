//! Replicated state of the scheduler and its queries.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;
use yuccatack_placement::{Assignment, Cluster, WorkerIndex};

use crate::estimate::RunTimeEstimate;
use crate::job::JobEntry;
use crate::spec::{GuaranteeSpec, PolicySpec, QuotaSpec};
use crate::worker::{TaskKey, WorkerEntry};

/// Replicated table of jobs, workers and guarantees. The same commands in the same order give equal
/// tables on every replica.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseTable {
    pub(crate) cluster: Cluster,
    pub(crate) jobs: BTreeMap<JobName, JobEntry>,
    pub(crate) waiting: BTreeMap<OrganisationName, WaitingJobs>,
    pub(crate) workers: BTreeMap<WorkerName, WorkerEntry>,
    pub(crate) guarantees: BTreeMap<RecordName, GuaranteeEntry>,
    pub(crate) organisations: BTreeMap<OrganisationName, OrganisationEntry>,
    pub(crate) policy: PolicySpec,
    pub(crate) deadlines: BTreeSet<(TimestampMs, JobName)>,
    pub(crate) ready: BTreeSet<JobName>,
    pub(crate) active: BTreeSet<JobName>,
    pub(crate) finished: BTreeSet<(TimestampMs, JobName)>,
    pub(crate) quarantined: BTreeSet<WorkerName>,
    pub(crate) lost: BTreeSet<(TimestampMs, WorkerName)>,
    pub(crate) unbacked: BTreeSet<(RecordName, u32)>,
    pub(crate) applied_count: u64,
}

/// Waiting jobs of one organisation by priority class, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct WaitingJobs {
    by_class: BTreeMap<PriorityClass, BTreeSet<(TimestampMs, JobName)>>,
}

impl WaitingJobs {
    pub(crate) fn class(
        &self,
        class: PriorityClass,
    ) -> impl Iterator<Item = &(TimestampMs, JobName)> {
        self.by_class.get(&class).into_iter().flatten()
    }

    pub(crate) fn insert(&mut self, class: PriorityClass, at: TimestampMs, job: JobName) {
        self.by_class.entry(class).or_default().insert((at, job));
    }

    pub(crate) fn remove(&mut self, class: PriorityClass, at: TimestampMs, job: &JobName) {
        if let Some(jobs) = self.by_class.get_mut(&class) {
            jobs.remove(&(at, job.clone()));
            if jobs.is_empty() {
                self.by_class.remove(&class);
            }
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_class.is_empty()
    }

    pub(crate) fn job_count(&self) -> usize {
        self.by_class.values().map(BTreeSet::len).sum()
    }
}

/// Accepted guarantee with its instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GuaranteeEntry {
    /// Specification as accepted.
    pub spec: GuaranteeSpec,
    /// Instances of the shape, as many as the guarantee counts.
    pub instances: Vec<ShapeInstance>,
}

/// One guaranteed shape and the capacity that is reserved for it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShapeInstance {
    /// Workers and the number of tasks of the shape that each holds; empty while lost capacity
    /// leaves the shape unbacked.
    pub binding: Vec<(WorkerIndex, u32)>,
    /// Job that claims the shape, if any.
    pub claimed_by: Option<JobName>,
}

impl ShapeInstance {
    pub(crate) fn bind(&mut self, assignments: &[Assignment]) {
        self.binding = assignments.iter().map(|part| (part.worker, part.task_count)).collect();
    }
}

/// Quota and usage of an organisation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrganisationEntry {
    /// Quota and fair-share weight, if they are set.
    pub quota: Option<QuotaSpec>,
    /// Number of accelerators that its attempts hold or have booked.
    pub held_accelerator_count: u64,
    /// Ratio of actual to declared run times of its jobs.
    pub estimate: RunTimeEstimate,
}

impl LeaseTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the capacity of all workers.
    pub fn cluster(&self) -> &Cluster {
        &self.cluster
    }

    /// Returns the scheduling policy in force.
    pub fn policy(&self) -> &PolicySpec {
        &self.policy
    }

    /// Returns a job, as long as it is retained after its end.
    pub fn job(&self, name: &JobName) -> Option<&JobEntry> {
        self.jobs.get(name)
    }

    /// Iterates over all jobs, finished jobs within their retention included, by name.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobName, &JobEntry)> {
        self.jobs.iter()
    }

    /// Returns a worker, as long as it is retained after its loss.
    pub fn worker(&self, name: &WorkerName) -> Option<&WorkerEntry> {
        self.workers.get(name)
    }

    /// Iterates over all workers, lost workers within their retention included, by name.
    pub fn workers(&self) -> impl Iterator<Item = (&WorkerName, &WorkerEntry)> {
        self.workers.iter()
    }

    /// Iterates over the accepted guarantees by name.
    pub fn guarantees(&self) -> impl Iterator<Item = &GuaranteeEntry> {
        self.guarantees.values()
    }

    /// Returns an organisation that has ever had a quota or a job.
    pub fn organisation(&self, name: &OrganisationName) -> Option<&OrganisationEntry> {
        self.organisations.get(name)
    }

    /// Returns the number of waiting jobs.
    pub fn waiting_job_count(&self) -> usize {
        self.waiting.values().map(WaitingJobs::job_count).sum()
    }

    pub(crate) fn quota_of(&self, organisation: &OrganisationName) -> Option<u32> {
        let quota = self.organisations.get(organisation)?.quota.as_ref()?;
        Some(quota.accelerator_quota_count)
    }

    pub(crate) fn worker_name(&self, index: WorkerIndex) -> Option<WorkerName> {
        self.cluster.worker(index).map(|capacity| capacity.name.clone())
    }

    pub(crate) fn worker_at(&self, index: WorkerIndex) -> Option<&WorkerEntry> {
        self.workers.get(&self.cluster.worker(index)?.name)
    }

    pub(crate) fn worker_at_mut(&mut self, index: WorkerIndex) -> Option<&mut WorkerEntry> {
        self.workers.get_mut(&self.cluster.worker(index)?.name)
    }

    pub(crate) fn enqueue(&mut self, job: &JobName) {
        let Some(entry) = self.jobs.get(job) else { return };
        let organisation = entry.spec.organisation.clone();
        let (class, at) = (entry.spec.class, entry.submitted_at);
        self.waiting.entry(organisation).or_default().insert(class, at, job.clone());
    }

    pub(crate) fn dequeue(&mut self, job: &JobName) {
        let Some(entry) = self.jobs.get(job) else { return };
        let organisation = &entry.spec.organisation;
        let Some(queue) = self.waiting.get_mut(organisation) else { return };
        queue.remove(entry.spec.class, entry.submitted_at, job);
        if queue.is_empty() {
            self.waiting.remove(organisation);
        }
    }

    /// Iterates over the tasks on a worker, with their jobs.
    pub(crate) fn tasks_on<'a>(
        &'a self,
        worker: &'a WorkerEntry,
    ) -> impl Iterator<Item = (&'a TaskKey, &'a JobEntry)> {
        worker.tasks.iter().filter_map(|key| Some((key, self.jobs.get(&key.job)?)))
    }
}
