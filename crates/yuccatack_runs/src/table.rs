//! All accepted jobs and the runs that may exist.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use yuccatack_core::{JobName, QueueName, Resources};

use crate::command::{CancelOutcome, JobSubmission, RunEnd, RunStart, SubmitOutcome};
use crate::identity::{RunId, TaskId, WorkerIncarnation};
use crate::job::{Job, JobPhase};

/// A run that was begun and is not known to have ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OpenRun {
    /// Where it runs.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// What it occupies there.
    pub demand: Resources,
}

/// The replicated table of jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredTable")]
pub struct JobTable {
    jobs: BTreeMap<JobName, Job>,
    #[serde(with = "pairs")]
    runs: BTreeMap<RunId, OpenRun>,
    /// The open runs by the incarnation that they are on, made from `runs`.
    #[serde(skip)]
    runs_by_incarnation: BTreeMap<WorkerIncarnation, BTreeSet<RunId>>,
    /// The last end of each worker's incarnation that is in the table.
    #[serde(rename = "noted_ends")]
    #[serde(with = "pairs")]
    acknowledged_ends: BTreeMap<WorkerIncarnation, u64>,
    next_order: u64,
}

/// The table as a snapshot holds it.
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
        Self { jobs, runs, runs_by_incarnation, acknowledged_ends, next_order }
    }
}

impl JobTable {
    /// Stores a job, unless its name is stored already.
    pub fn submit(&mut self, submission: JobSubmission) -> SubmitOutcome {
        if self.jobs.contains_key(&submission.name) {
            return SubmitOutcome::AlreadyStored;
        }
        self.next_order += 1;
        let name = submission.name.clone();
        self.jobs.insert(name, Job::new(submission, self.next_order));
        SubmitOutcome::Accepted
    }

    /// Lets a job begin no more work. Its open runs stay until they are known to have ended.
    pub fn cancel(&mut self, name: &JobName, now_unix_ms: u64) -> CancelOutcome {
        let Some(job) = self.jobs.get_mut(name) else { return CancelOutcome::NotFound };
        if job.phase.is_final() {
            return CancelOutcome::AlreadyEnded;
        }
        job.end(JobPhase::Cancelled, now_unix_ms);
        CancelOutcome::Cancelled
    }

    /// Begins the runs of one group, or none of them if one may not begin any more.
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
            let of_incarnation =
                self.runs_by_incarnation.entry(start.incarnation.clone()).or_default();
            of_incarnation.insert(start.run.clone());
        }
        if let Some(start) = group.first()
            && let Some(job) = self.jobs.get_mut(&start.run.task.job)
        {
            job.close_gang_start(&start.run);
        }
        true
    }

    /// Notes how a run ended; an end of a run that is not open changes nothing.
    pub fn end(&mut self, end: RunEnd, now_unix_ms: u64) -> bool {
        let Some(open) = self.runs.remove(&end.run) else { return false };
        if let Some(of_incarnation) = self.runs_by_incarnation.get_mut(&open.incarnation) {
            of_incarnation.remove(&end.run);
            if of_incarnation.is_empty() {
                self.runs_by_incarnation.remove(&open.incarnation);
            }
        }
        if let Some(job) = self.jobs.get_mut(&end.run.task.job) {
            job.note_end(end, now_unix_ms);
        }
        true
    }

    /// Remembers up to which number the ends of a worker's incarnation are in the table.
    pub fn acknowledge_ends(&mut self, incarnation: &WorkerIncarnation, number: u64) {
        self.acknowledged_ends
            .retain(|noted, _| noted.node != incarnation.node || noted == incarnation);
        let noted = self.acknowledged_ends.entry(incarnation.clone()).or_default();
        *noted = number.max(*noted);
    }

    /// Drops ended jobs; nobody asks for them any more.
    pub fn remove_ended(&mut self, names: &[JobName]) {
        for name in names {
            let ended = self.jobs.get(name).is_some_and(|job| job.phase.is_final());
            if ended && !self.runs.keys().any(|run| run.task.job == *name) {
                self.jobs.remove(name);
            }
        }
    }

    /// A job by name.
    pub fn job(&self, name: &JobName) -> Option<&Job> {
        self.jobs.get(name)
    }

    /// All jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// All runs that may exist.
    pub fn open_runs(&self) -> &BTreeMap<RunId, OpenRun> {
        &self.runs
    }

    /// The runs that may exist of the same run of a gang, `run` among them.
    pub fn gang_members(&self, run: &RunId) -> impl Iterator<Item = &RunId> {
        let member = |index| RunId { task: TaskId { index, ..run.task.clone() }, ..run.clone() };
        let number = run.number;
        self.runs
            .range(member(0)..=member(u32::MAX))
            .map(|(member, _)| member)
            .filter(move |member| member.number == number)
    }

    /// The runs that may exist on one incarnation of a worker.
    pub fn runs_on(&self, incarnation: &WorkerIncarnation) -> impl Iterator<Item = &RunId> {
        self.runs_by_incarnation.get(incarnation).into_iter().flatten()
    }

    /// Up to which number the ends of a worker's incarnation are in the table.
    pub fn acknowledged_end(&self, incarnation: &WorkerIncarnation) -> u64 {
        self.acknowledged_ends.get(incarnation).copied().unwrap_or(0)
    }

    /// How many jobs of a queue have not begun any work.
    pub fn waiting_count(&self, queue: &QueueName) -> usize {
        let waits = |job: &&Job| job.submission.queue == *queue && job.is_waiting();
        self.jobs.values().filter(waits).count()
    }
}

/// Encodes maps with composite keys as lists of pairs.
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
