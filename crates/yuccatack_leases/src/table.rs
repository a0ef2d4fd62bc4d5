//! The replicated state and its queries.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;
use yuccatack_placement::{Assignment, Cluster, WorkerIndex};

use crate::estimate::RunTimeEstimate;
use crate::job::JobEntry;
use crate::spec::{GuaranteeSpec, PolicySpec, QuotaSpec};
use crate::worker::{TaskKey, WorkerEntry};

/// Jobs, workers and guarantees. Equal commands in equal order give equal tables.
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

/// The waiting jobs of one organisation, oldest first.
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

/// An accepted guarantee.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GuaranteeEntry {
    /// What was accepted.
    pub spec: GuaranteeSpec,
    /// One entry for each guaranteed shape.
    pub instances: Vec<ShapeInstance>,
}

/// One guaranteed shape and the capacity that is set aside for it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShapeInstance {
    /// Workers and how many tasks of the guaranteed shape each holds; empty when lost capacity
    /// leaves the shape without a place.
    pub binding: Vec<(WorkerIndex, u32)>,
    /// The job that claims the shape.
    pub claimed_by: Option<JobName>,
}

impl ShapeInstance {
    pub(crate) fn bind(&mut self, assignments: &[Assignment]) {
        self.binding = assignments.iter().map(|part| (part.worker, part.task_count)).collect();
    }
}

/// What is known about an organisation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrganisationEntry {
    /// Its limits, if any are set.
    pub quota: Option<QuotaSpec>,
    /// The accelerators that its attempts hold or have booked.
    pub held_accelerator_count: u64,
    /// How its run times compare with what it declares.
    pub estimate: RunTimeEstimate,
}

impl LeaseTable {
    /// An empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// The capacity of all workers.
    pub fn cluster(&self) -> &Cluster {
        &self.cluster
    }

    /// The scheduling policy.
    pub fn policy(&self) -> &PolicySpec {
        &self.policy
    }

    /// A job that is not forgotten.
    pub fn job(&self, name: &JobName) -> Option<&JobEntry> {
        self.jobs.get(name)
    }

    /// Every job that is not forgotten.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobName, &JobEntry)> {
        self.jobs.iter()
    }

    /// A worker that is not forgotten.
    pub fn worker(&self, name: &WorkerName) -> Option<&WorkerEntry> {
        self.workers.get(name)
    }

    /// Every worker that is not forgotten.
    pub fn workers(&self) -> impl Iterator<Item = (&WorkerName, &WorkerEntry)> {
        self.workers.iter()
    }

    /// Every accepted guarantee.
    pub fn guarantees(&self) -> impl Iterator<Item = &GuaranteeEntry> {
        self.guarantees.values()
    }

    /// An organisation with limits or jobs.
    pub fn organisation(&self, name: &OrganisationName) -> Option<&OrganisationEntry> {
        self.organisations.get(name)
    }

    /// The number of jobs that wait.
    pub fn waiting_job_count(&self) -> usize {
        self.waiting.values().map(WaitingJobs::job_count).sum()
    }

    pub(crate) fn quota_of(&self, organisation: &OrganisationName) -> Option<u32> {
        let quota = self.organisations.get(organisation)?.quota.as_ref()?;
        Some(quota.accelerator_quota_count)
    }

    pub(crate) fn worker_name(&self, index: WorkerIndex) -> Option<WorkerName> {
        self.cluster.worker(index).map(|cell| cell.name.clone())
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

    /// The tasks on a worker, with their jobs.
    pub(crate) fn tasks_on<'a>(
        &'a self,
        worker: &'a WorkerEntry,
    ) -> impl Iterator<Item = (&'a TaskKey, &'a JobEntry)> {
        worker.tasks.iter().filter_map(|key| Some((key, self.jobs.get(&key.job)?)))
    }
}
