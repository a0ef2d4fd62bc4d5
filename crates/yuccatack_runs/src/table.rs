//! Replicated table of accepted jobs and their open runs.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use yuccatack_core::{JobName, Resources};

use crate::command::{CancelOutcome, JobOrigin, JobSubmission, RunEnd, RunStart, SubmitOutcome};
use crate::identity::{RunId, TaskId, WorkerIncarnation};
use crate::job::{Job, JobPhase};

/// Run that has begun and is not known to have ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OpenRun {
    /// Incarnation of the worker that executes the run.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Resources that the run occupies on the worker.
    pub demand: Resources,
}

/// Replicated table of jobs and their open runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredTable")]
pub struct JobTable {
    jobs: BTreeMap<JobName, Job>,
    /// Index of the stored names by the name that the caller chose, derived from `jobs`.
    #[serde(skip)]
    stored_names: BTreeMap<JobName, BTreeSet<JobName>>,
    #[serde(with = "pairs")]
    runs: BTreeMap<RunId, OpenRun>,
    /// Index of the open runs by incarnation, derived from `runs`.
    #[serde(skip)]
    runs_by_incarnation: BTreeMap<WorkerIncarnation, BTreeSet<RunId>>,
    /// Highest number of a run end per incarnation up to which the table holds all ends.
    #[serde(rename = "noted_ends")]
    #[serde(with = "pairs")]
    acknowledged_ends: BTreeMap<WorkerIncarnation, u64>,
    next_order: u64,
}

/// Serialized form of the table, without the derived indexes.
#[derive(Deserialize)]
struct StoredTable {
    jobs: BTreeMap<JobName, Job>,
    #[serde(with = "pairs")]
    runs: BTreeMap<RunId, OpenRun>,
    #[serde(rename = "noted_ends")]
    #[serde(with = "pairs")]
    acknowledged_ends: BTreeMap<WorkerIncarnation, u64>,
    next_order: u64,
}

impl From<StoredTable> for JobTable {
    fn from(stored: StoredTable) -> Self {
        let StoredTable { jobs, runs, acknowledged_ends, next_order } = stored;
        let mut runs_by_incarnation: BTreeMap<WorkerIncarnation, BTreeSet<RunId>> = BTreeMap::new();
        for (run, open) in &runs {
            runs_by_incarnation.entry(open.incarnation.clone()).or_default().insert(run.clone());
        }
        let mut stored_names: BTreeMap<JobName, BTreeSet<JobName>> = BTreeMap::new();
        for submission in jobs.values().map(|job| &job.submission) {
            if let Some(called) = called_name(submission) {
                stored_names.entry(called.clone()).or_default().insert(submission.name.clone());
            }
        }
        Self { jobs, stored_names, runs, runs_by_incarnation, acknowledged_ends, next_order }
    }
}

impl JobTable {
    /// Stores a job, unless one of the same name is stored.
    pub fn submit(&mut self, submission: JobSubmission) -> SubmitOutcome {
        if self.jobs.contains_key(&submission.name) {
            return SubmitOutcome::AlreadyStored;
        }
        self.next_order += 1;
        let name = submission.name.clone();
        if let Some(called) = called_name(&submission) {
            self.stored_names.entry(called.clone()).or_default().insert(name.clone());
        }
        self.jobs.insert(name, Job::new(submission, self.next_order));
        SubmitOutcome::Accepted
    }

    /// Cancels a job, so that it begins no more runs. Open runs stay until their end is recorded.
    pub fn cancel(&mut self, name: &JobName, now_unix_ms: u64) -> CancelOutcome {
        let Some(job) = self.jobs.get_mut(name) else { return CancelOutcome::NotFound };
        if job.phase.is_final() {
            return CancelOutcome::AlreadyEnded;
        }
        job.end(JobPhase::Cancelled, now_unix_ms);
        CancelOutcome::Cancelled
    }

    /// Begins all runs of a group. Returns `false` and begins none if one of them may not begin any
    /// more, or if the group is empty.
    pub fn begin(&mut self, group: &[RunStart]) -> bool {
        let may_begin = |start: &RunStart| {
            self.jobs.get(&start.run.task.job).is_some_and(|job| job.may_begin(&start.run))
        };
        if group.is_empty() || !group.iter().all(may_begin) {
            return false;
        }
        for start in group {
            let Some(job) = self.jobs.get_mut(&start.run.task.job) else { continue };
            job.begin(&start.run);
            let demand = job.step_spec(start.run.task.step).map(|step| step.demand);
            let open = OpenRun {
                incarnation: start.incarnation.clone(),
                demand: demand.unwrap_or_default(),
            };
            self.runs.insert(start.run.clone(), open);
            let runs_on_incarnation =
                self.runs_by_incarnation.entry(start.incarnation.clone()).or_default();
            runs_on_incarnation.insert(start.run.clone());
        }
        if let Some(start) = group.first()
            && let Some(job) = self.jobs.get_mut(&start.run.task.job)
        {
            job.record_gang_start(&start.run);
        }
        true
    }

    /// Records the end of a run. Returns `false` and changes nothing if the run is not open.
    pub fn end(&mut self, end: RunEnd, now_unix_ms: u64) -> bool {
        let Some(open) = self.runs.remove(&end.run) else { return false };
        if let Some(runs_on_incarnation) = self.runs_by_incarnation.get_mut(&open.incarnation) {
            runs_on_incarnation.remove(&end.run);
            if runs_on_incarnation.is_empty() {
                self.runs_by_incarnation.remove(&open.incarnation);
            }
        }
        if let Some(job) = self.jobs.get_mut(&end.run.task.job) {
            job.record_end(end, now_unix_ms);
        }
        true
    }

    /// Completes the task of a run that was given up and had in truth ended `Done` on its worker.
    /// Returns `false` and changes nothing if [`Self::may_complete_late`] rules it out.
    pub fn complete_late(&mut self, run: &RunId, now_unix_ms: u64) -> bool {
        if !self.may_complete_late(run) {
            return false;
        }
        if let Some(job) = self.jobs.get_mut(&run.task.job) {
            job.complete_late(run, now_unix_ms);
        }
        true
    }

    /// Returns `true` if the run is not open any more and its `Done` end may still complete its
    /// task: neither the job nor the task has ended, and no other run of the task is open.
    pub fn may_complete_late(&self, run: &RunId) -> bool {
        let job = self.jobs.get(&run.task.job);
        !self.runs.contains_key(run) && job.is_some_and(|job| job.may_complete_late(run))
    }

    /// Records that the table holds all run ends of an incarnation up to `number`, and drops the
    /// numbers of other incarnations on the same node.
    pub fn acknowledge_ends(&mut self, incarnation: &WorkerIncarnation, number: u64) {
        self.acknowledged_ends.retain(|acknowledged, _| {
            acknowledged.node != incarnation.node || acknowledged == incarnation
        });
        let acknowledged = self.acknowledged_ends.entry(incarnation.clone()).or_default();
        *acknowledged = number.max(*acknowledged);
    }

    /// Removes those of the jobs that have ended and have no open runs.
    pub fn remove_ended(&mut self, names: &[JobName]) {
        for name in names {
            let is_over = |job: &Job| job.phase.is_final() && job.open_run_count() == 0;
            if self.jobs.get(name).is_some_and(is_over)
                && let Some(job) = self.jobs.remove(name)
            {
                self.remove_stored_name(&job.submission);
            }
        }
    }

    fn remove_stored_name(&mut self, submission: &JobSubmission) {
        let Some(called) = called_name(submission) else { return };
        if let Some(names) = self.stored_names.get_mut(called) {
            names.remove(&submission.name);
            if names.is_empty() {
                self.stored_names.remove(called);
            }
        }
    }

    /// Adds origins to the jobs that lack one.
    pub fn add_missing_origins<Find>(&mut self, find_origin: Find)
    where
        Find: Fn(&JobSubmission) -> Option<JobOrigin>,
    {
        for job in self.jobs.values_mut().filter(|job| job.submission.origin.is_none()) {
            job.submission.origin = find_origin(&job.submission);
        }
    }

    /// Returns the job of this name.
    pub fn job(&self, name: &JobName) -> Option<&Job> {
        self.jobs.get(name)
    }

    /// Iterates over the jobs that callers submitted under `name`, as far as their records tell.
    pub fn jobs_called(&self, name: &JobName) -> impl Iterator<Item = &Job> {
        let stored_names = self.stored_names.get(name).into_iter().flatten();
        stored_names.filter_map(|stored_name| self.jobs.get(stored_name))
    }

    /// Iterates over all jobs, in the order of their names.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns all runs that have begun and are not known to have ended.
    pub fn open_runs(&self) -> &BTreeMap<RunId, OpenRun> {
        &self.runs
    }

    /// Iterates over the open members of the gang run that `run` belongs to, including `run`.
    pub fn gang_members(&self, run: &RunId) -> impl Iterator<Item = &RunId> {
        let member = |index| RunId { task: TaskId { index, ..run.task.clone() }, ..run.clone() };
        let number = run.number;
        self.runs
            .range(member(0)..=member(u32::MAX))
            .map(|(member, _)| member)
            .filter(move |member| member.number == number)
    }

    /// Iterates over the open runs on one incarnation of a worker.
    pub fn runs_on(&self, incarnation: &WorkerIncarnation) -> impl Iterator<Item = &RunId> {
        self.runs_by_incarnation.get(incarnation).into_iter().flatten()
    }

    /// Returns the number up to which the table holds all run ends of an incarnation; 0 if none.
    pub fn acknowledged_end(&self, incarnation: &WorkerIncarnation) -> u64 {
        self.acknowledged_ends.get(incarnation).copied().unwrap_or(0)
    }

    /// Returns the number of jobs that wait to begin their work, among those that `selects` selects.
    pub fn waiting_count<Select>(&self, selects: Select) -> usize
    where
        Select: Fn(&JobSubmission) -> bool,
    {
        self.jobs.values().filter(|job| selects(&job.submission) && job.is_waiting()).count()
    }
}

/// Returns the name that the caller of a job chose; `None` if the record does not tell.
fn called_name(submission: &JobSubmission) -> Option<&JobName> {
    submission.origin.as_ref()?.name.as_ref()
}

/// Serialization of maps with composite keys as lists of pairs.
mod pairs {
    use std::collections::BTreeMap;

    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(super) fn serialize<Key, Value, Encoder>(
        map: &BTreeMap<Key, Value>,
        encoder: Encoder,
    ) -> Result<Encoder::Ok, Encoder::Error>
    where
        Key: Serialize,
        Value: Serialize,
        Encoder: Serializer,
    {
        encoder.collect_seq(map)
    }

    pub(super) fn deserialize<'de, Key, Value, Decoder>(
        decoder: Decoder,
    ) -> Result<BTreeMap<Key, Value>, Decoder::Error>
    where
        Key: Deserialize<'de> + Ord,
        Value: Deserialize<'de>,
        Decoder: Deserializer<'de>,
    {
        let entries = Vec::<(Key, Value)>::deserialize(decoder)?;
        Ok(entries.into_iter().collect())
    }
}
