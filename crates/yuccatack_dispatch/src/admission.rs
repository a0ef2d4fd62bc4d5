//! Admission of submitted jobs.
//!
//! Answers two load patterns. In a long overload, every job that is accepted beyond what the workers
//! complete in time delays others until most of them complete late or not at all. And a gang that is
//! wider than its whole service waits for capacity that does not exist. Both are refused before they
//! are stored, so that a refused job has not run and its caller learns at once when to come back.

use std::collections::BTreeMap;

use yuccatack_core::{
    DurationMs, FastHashMap, JobName, NodeName, QueueName, Resources, ServiceName, TimestampMs,
};
use yuccatack_queues::{ConfigurationStore, EvacuationStore};
use yuccatack_runs::{Job, JobPhase, JobSubmission, JobTable, StepProgress};

use crate::capacity::{MAX_JOB_RUN_COUNT, WorkerSnapshot, footprint, slot_count};
use crate::demand::{TaskGroup, first_groups, is_within_guarantee};
use crate::forecast::{Forecast, value_end};
use crate::job_cache::JobCache;
use crate::pass::Pass;
use crate::placement::{CapacityKind, occupy, place};
use crate::protocol::WorkerState;
use crate::restraint::Waivers;
use crate::run_time::RunTimes;
use crate::session::Session;
use crate::share::MinimumShares;
use crate::speed::SpeedClasses;
use crate::starts::search_limit;

/// Time for which it counts that a job has waited until it lost its value. Afterwards the load may
/// have changed.
const STARVATION_WINDOW: DurationMs = DurationMs::new(3_000);

/// Multiple of the time to the end of its value at which a job's predicted completion counts as known
/// to be too late. Predictions are off by a factor of about two.
const PREDICTION_MARGIN: f64 = 2.0;

/// Part of the capacity that tasks occupy when work waits; the rest is fragments that fit none.
const PACKED_FRACTION: f64 = 0.85;

/// Smallest part of the capacity that a priority is assumed to get.
const MIN_RATE: f64 = 0.05;

/// Smallest and largest delay after which a refused caller is told to come back. Beyond the largest
/// one, predictions say little.
const RETRY_DELAY_RANGE_MS: (u64, u64) = (1_000, 15_000);

/// Delay after which the caller of a job that no set of workers holds is told to come back; workers
/// join and leave within minutes.
const SHAPE_RETRY_DELAY: DurationMs = DurationMs::new(30_000);

/// Part by which the delays of different jobs differ, so that their callers do not return together.
const RETRY_SPREAD: f64 = 0.5;

/// Time after the begin of a leadership during which no job is refused: agents need it to attach, and
/// until then the capacity is unknown.
const SETTLING_TIME: DurationMs = DurationMs::new(5_000);

/// Number of starved groups that a backlog keeps. Each submission is compared with all of them.
const STARVED_GROUP_COUNT: usize = 64;

/// Reason for which a job is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// The job cannot run on the workers of its service, even if nothing else runs there.
    Shape,
    /// The accepted work of its priority takes so long that the job would lose its value before it
    /// completes.
    Backlog {
        /// Predicted time to completion.
        predicted_ms: DurationMs,
    },
    /// A job of the same queue that is no larger has just lost its value without a start.
    Starvation {
        /// Time for which that job has waited.
        waited_ms: DurationMs,
    },
}

/// Refusal of a job that was not stored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub cause: RefusalCause,
    /// Delay after which the caller may try again.
    pub retry_after_ms: DurationMs,
}

/// Accepted work and free capacity after a scheduling pass that left groups waiting.
#[derive(Debug)]
pub(crate) struct Backlog {
    workers: Vec<WorkerSnapshot>,
    shares: MinimumShares,
    speed_classes: SpeedClasses,
    /// Unfinished work by service and priority, as time of the whole service in milliseconds.
    work_ms: FastHashMap<(ServiceName, u32), f64>,
    /// Groups of jobs that have just lost their value without a start.
    starved: Vec<StarvedGroup>,
}

/// Unfinished work of each job, as time of the whole service in milliseconds.
pub(crate) type RemainingWork = JobCache<f64>;

/// Group of a job that has lost its value without a start.
#[derive(Debug, PartialEq)]
struct StarvedGroup {
    queue: QueueName,
    task_count: usize,
    need: Resources,
    waited_ms: DurationMs,
}

impl StarvedGroup {
    /// Returns the group if its job has lost its value within the [`STARVATION_WINDOW`].
    fn new(group: &TaskGroup<'_>, pass: &Pass<'_>) -> Option<Self> {
        let submission = &group.job.submission;
        let forecast = pass.forecasts.get(group.job)?;
        let value_end_ms = latest_value_end(submission, forecast, pass.run_times).get();
        let waited_ms = group.waited_ms.get();
        let window = value_end_ms..value_end_ms.saturating_add(STARVATION_WINDOW.get());
        let is_starved = group.job.phase == JobPhase::Queued && window.contains(&waited_ms);
        is_starved.then(|| Self {
            queue: submission.queue.clone(),
            task_count: group.tasks.len(),
            need: footprint(group.spec),
            waited_ms: group.waited_ms,
        })
    }

    /// Returns `true` if a group that `other` covers is also covered by this one.
    fn is_at_most(&self, other: &Self) -> bool {
        self.queue == other.queue
            && self.task_count <= other.task_count
            && other.need.contains(&self.need)
    }

    /// Returns `true` if `group` needs at least as much of each resource.
    fn is_covered_by(&self, group: &TaskGroup<'_>) -> bool {
        self.queue == group.job.submission.queue
            && self.task_count <= group.tasks.len()
            && footprint(group.spec).contains(&self.need)
    }
}

impl Backlog {
    /// Adds up the unfinished work of all jobs that still have value.
    pub fn new(pass: Pass<'_>, remaining_work: &mut RemainingWork) -> Self {
        let mut starved: Vec<StarvedGroup> = Vec::new();
        for group in pass.waiting.iter().filter_map(|group| StarvedGroup::new(group, &pass)) {
            if starved.len() == STARVED_GROUP_COUNT {
                break;
            }
            if !starved.iter().any(|smaller| smaller.is_at_most(&group)) {
                starved.push(group);
            }
        }
        let Pass { jobs, forecasts, run_times, unix_ms, workers, shares, speed_classes, .. } = pass;
        let mut backlog =
            Self { workers, shares, speed_classes, work_ms: FastHashMap::default(), starved };
        remaining_work.refresh(jobs, |job| backlog.remaining_ms(job, run_times));
        for job in jobs {
            let Some(forecast) = forecasts.get(job) else { continue };
            let age_ms = unix_ms.saturating_sub(job.submission.accepted_at_unix_ms);
            if age_ms <= latest_value_end(&job.submission, forecast, run_times).get() {
                let work_ms = remaining_work.get(job).copied().unwrap_or(0.0);
                backlog.add(&job.submission, work_ms);
            }
        }
        backlog
    }

    fn add(&mut self, submission: &JobSubmission, work_ms: f64) {
        let key = (submission.service.clone(), submission.priority);
        *self.work_ms.entry(key).or_default() += work_ms;
    }

    /// Returns the work of the tasks that have not completed. A task that executes counts half.
    fn remaining_ms(&self, job: &Job, run_times: &RunTimes) -> f64 {
        let open_tasks = |step: &StepProgress| -> f64 {
            let weight = |open_count: u32| if open_count > 0 { 0.5 } else { 1.0 };
            let unfinished = step.tasks.iter().filter(|task| !task.done);
            unfinished.map(|task| weight(task.open_count)).sum()
        };
        let progress = job.occurrences.get(&0);
        let steps = job.submission.spec.steps.iter().enumerate();
        let per_step = steps.filter(|(_, spec)| !spec.long_running).map(|(index, spec)| {
            let task_count = progress
                .and_then(|occurrence| occurrence.steps.get(index))
                .map_or(f64::from(spec.task_count), open_tasks);
            let run_time_ms = run_times.predict(&job.submission.queue, spec).get() as f64;
            task_count * run_time_ms * self.shares.dominant_fraction(&job.submission.service, spec)
        });
        per_step.sum()
    }

    /// Returns how long a group has waited that is no larger than one of `groups` and has just lost its
    /// value.
    fn starved_before(&self, groups: &[TaskGroup<'_>]) -> Option<DurationMs> {
        let covered =
            |starved: &&StarvedGroup| groups.iter().any(|group| starved.is_covered_by(group));
        self.starved.iter().find(covered).map(|starved| starved.waited_ms)
    }

    /// Predicts the time until the job completes if it is accepted now.
    fn completion_ms(&self, job: &Job, forecast: &Forecast, work_ms: f64) -> f64 {
        let submission = &job.submission;
        let key = (submission.service.clone(), submission.priority);
        let ahead_ms = self.work_ms.get(&key).copied().unwrap_or(0.0);
        let mean_speed = self.speed_classes.mean(&submission.service);
        let rate = self.shares.rate(&submission.service, submission.priority).max(MIN_RATE)
            * PACKED_FRACTION
            * mean_speed;
        let own_ms = work_ms / rate;
        ahead_ms / rate + own_ms.max(forecast.longest_ms() as f64 / mean_speed)
    }
}

/// State on which the admission of a job depends beside the backlog.
pub(crate) struct AdmissionInputs<'a> {
    pub table: &'a JobTable,
    pub configuration: &'a ConfigurationStore,
    pub sessions: &'a BTreeMap<NodeName, Session>,
    pub evacuations: &'a EvacuationStore,
    pub run_times: &'a RunTimes,
    pub unix_ms: u64,
}

impl AdmissionInputs<'_> {
    /// Decides whether a job is stored while `backlog` waits. See `Dispatcher::admit`.
    pub fn admit(&self, submission: &JobSubmission, backlog: &mut Backlog) -> Result<(), Refusal> {
        let Self { table, configuration, unix_ms, .. } = *self;
        let spec = &submission.spec;
        let is_open_ended = spec.steps.iter().any(|step| step.long_running);
        if spec.schedule.is_some() || is_open_ended {
            return Ok(());
        }
        let job = Job::new(submission.clone(), u64::MAX);
        if is_within_guarantee(&job, table, configuration) {
            return Ok(());
        }
        let forecast = Forecast::new(&job, self.run_times);
        let groups = first_groups(&job, &forecast, self.run_times, unix_ms);
        let work_ms = backlog.remaining_ms(&job, self.run_times);
        if let Some(workers) = place_all(&groups, &backlog.workers) {
            backlog.workers = workers;
            backlog.add(submission, work_ms);
            return Ok(());
        }
        if !could_hold(submission, self.sessions, self.evacuations) {
            return Err(shape_refusal(&submission.name));
        }
        let value_end_ms = latest_value_end(submission, &forecast, self.run_times).get();
        let is_experienced = self.run_times.typical_ms(&submission.queue).is_some();
        let limit_ms = (value_end_ms as f64 * PREDICTION_MARGIN) as u64;
        let cause = match backlog.starved_before(&groups) {
            Some(waited_ms) => RefusalCause::Starvation { waited_ms },
            // The most urgent jobs pass those that wait for a wider shape, and evict other work.
            None if submission.priority == 0 || !is_experienced => return Ok(()),
            None => {
                let predicted_ms = backlog.completion_ms(&job, &forecast, work_ms);
                if predicted_ms <= limit_ms as f64 {
                    backlog.add(submission, work_ms);
                    return Ok(());
                }
                RefusalCause::Backlog { predicted_ms: DurationMs::new(predicted_ms as u64) }
            }
        };
        let excess_ms = match cause {
            // Accepted work is completed at the rate at which time passes.
            RefusalCause::Backlog { predicted_ms } => predicted_ms.get() - limit_ms,
            RefusalCause::Starvation { .. } | RefusalCause::Shape => STARVATION_WINDOW.get(),
        };
        let (shortest_ms, longest_ms) = RETRY_DELAY_RANGE_MS;
        let delay_ms = excess_ms.clamp(shortest_ms, longest_ms) as f64;
        Err(Refusal { cause, retry_after_ms: spread(delay_ms, &submission.name) })
    }
}

/// Returns `true` once the agents had time to attach to a leader.
pub(crate) fn has_settled(leading_since: TimestampMs, now: TimestampMs) -> bool {
    now.since(leading_since) >= SETTLING_TIME
}

/// Returns the time from its acceptance after which completing the job certainly has no value. An
/// estimate far below the run times of the queue is taken to be wrong.
fn latest_value_end(
    submission: &JobSubmission,
    forecast: &Forecast,
    run_times: &RunTimes,
) -> DurationMs {
    let typical_ms = run_times.typical_ms(&submission.queue).unwrap_or(0);
    value_end(submission, forecast.longest_ms().max(typical_ms))
}

/// Returns the workers with all groups placed on free capacity. Returns `None` if one does not fit, or
/// if the search would take long enough to delay other calls.
fn place_all(groups: &[TaskGroup<'_>], workers: &[WorkerSnapshot]) -> Option<Vec<WorkerSnapshot>> {
    if groups.len().saturating_mul(workers.len()) > search_limit(workers.len()) {
        return None;
    }
    let mut workers = workers.to_vec();
    for group in groups {
        let placement = place(group, &workers, CapacityKind::Free, Waivers::NONE)?;
        occupy(group, &placement, &mut workers);
    }
    Some(workers)
}

/// Iterates over the announced workers of a service outside evacuated data centres.
fn announced_workers<'a>(
    service: &'a ServiceName,
    sessions: &'a BTreeMap<NodeName, Session>,
    evacuations: &'a EvacuationStore,
) -> impl Iterator<Item = &'a WorkerState> {
    let remaining = |session: &&Session| !session.is_evacuated(evacuations);
    let states = sessions.values().filter(remaining).filter_map(|session| session.state.as_ref());
    states.filter(move |state| state.service == *service)
}

/// Returns `true` if the announced workers of the service could hold each step of the job if nothing
/// else ran there: a whole gang, or one task of any other step. Labels are not considered, since the
/// workers that have one may be about to return.
fn could_hold(
    submission: &JobSubmission,
    sessions: &BTreeMap<NodeName, Session>,
    evacuations: &EvacuationStore,
) -> bool {
    let states: Vec<&WorkerState> =
        announced_workers(&submission.service, sessions, evacuations).collect();
    // Without any worker, the service may just be starting.
    states.is_empty()
        || submission.spec.steps.iter().all(|spec| {
            let needed_count = if spec.gang { u64::from(spec.task_count) } else { 1 };
            let limit = spec.tasks_per_worker.unwrap_or(u32::MAX).min(MAX_JOB_RUN_COUNT);
            let need = footprint(spec);
            let mut held_count = 0u64;
            // Most steps fit on the first worker.
            states.iter().any(|state| {
                let slot_count = slot_count(state.capacity, need).min(u64::from(limit));
                held_count = held_count.saturating_add(slot_count);
                held_count >= needed_count
            })
        })
}

/// Refuses a job with a gang of more members than the workers of its service may run at once, whatever
/// the members need: it would never begin.
pub(crate) fn check_gang_widths(
    submission: &JobSubmission,
    sessions: &BTreeMap<NodeName, Session>,
    evacuations: &EvacuationStore,
) -> Result<(), Refusal> {
    let gangs = submission.spec.steps.iter().filter(|spec| spec.gang);
    let widest = gangs.map(|spec| u64::from(spec.task_count)).max().unwrap_or(0);
    if widest <= u64::from(MAX_JOB_RUN_COUNT) {
        return Ok(());
    }
    let worker_count = announced_workers(&submission.service, sessions, evacuations).count() as u64;
    if worker_count == 0 || widest <= worker_count * u64::from(MAX_JOB_RUN_COUNT) {
        return Ok(());
    }
    Err(shape_refusal(&submission.name))
}

fn shape_refusal(name: &JobName) -> Refusal {
    let retry_after_ms = spread(SHAPE_RETRY_DELAY.get() as f64, name);
    Refusal { cause: RefusalCause::Shape, retry_after_ms }
}

/// Lengthens a delay by a part that depends on the job's name.
fn spread(delay_ms: f64, name: &JobName) -> DurationMs {
    let hash = name
        .as_str()
        .bytes()
        .fold(0u64, |hash, byte| hash.wrapping_mul(0x0100_0000_01b3).wrapping_add(u64::from(byte)));
    let part = (hash % 1_000) as f64 / 1_000.0;
    DurationMs::new((delay_ms * (1.0 + RETRY_SPREAD * part)) as u64)
}
