//! Task groups that are ready to begin, in order of urgency.

use std::ops::Range;
use std::sync::Arc;

use yuccatack_core::{DurationMs, FastHashMap, OrganisationName};
use yuccatack_queues::ConfigurationStore;
use yuccatack_runs::{Job, JobTable, ReadyTasks, StepPosition, StepSpec};

use crate::forecast::{Forecast, objective, value_end};
use crate::job_cache::JobCache;
use crate::ready_window::ReadyWindows;
use crate::run_time::RunTimes;

/// Tasks that are placed together: a whole gang, or a single task of any other step.
#[derive(Clone, Debug)]
pub(crate) struct TaskGroup<'a> {
    pub job: &'a Job,
    pub spec: &'a StepSpec,
    pub occurrence: u32,
    pub step: u32,
    /// Indexes of the tasks within the step.
    pub tasks: Range<u32>,
    /// Number that the runs of all tasks get.
    pub run_number: u32,
    pub urgency: Urgency,
    /// Predicted run time of a task on a machine of speed 1.
    pub run_ms: u64,
    /// Time in which the tasks must end so that the job still meets its objective.
    pub remaining_ms: u64,
    /// Time since the job was accepted, or its occurrence was due.
    pub waited_ms: DurationMs,
    /// `true` if the group may be placed on workers that are held for urgent work.
    pub may_use_headroom: bool,
    /// `true` if one more failure fails the job.
    pub last_attempt: bool,
    /// Images that are known to slow the tasks or to be slowed by them, with the slowdowns in percent.
    pub slow_partners: Vec<(Arc<str>, u32)>,
}

impl TaskGroup<'_> {
    /// Returns `true` for jobs of the most urgent queues, whose objective leaves little slack.
    pub fn is_urgent(&self) -> bool {
        self.job.submission.priority == 0
    }

    /// Returns the speed of a machine on which the group meets its objective if it begins after a
    /// delay; infinite if there is no such speed.
    pub fn needed_speed(&self, delay_ms: u64) -> f64 {
        let remaining_ms = self.remaining_ms.saturating_sub(delay_ms);
        if remaining_ms == 0 { f64::INFINITY } else { self.run_ms as f64 / remaining_ms as f64 }
    }

    /// Returns `true` for jobs so late that completing them has no value.
    pub fn is_overdue(&self) -> bool {
        matches!(self.urgency.tier, Tier::Overdue(_))
    }
}

/// Scheduling order of a task group; the smallest comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Urgency {
    pub tier: Tier,
    /// Position within the tier: the latest Unix time in milliseconds at which the group can begin and
    /// still meet the objective of its job, or its waiting time in milliseconds while urgent jobs are
    /// late.
    pub rank_ms: u64,
    pub order: u64,
}

/// Scheduling class of a task group; the smallest comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Tier {
    /// Most urgent jobs of an organisation, within its guaranteed accelerators.
    Guaranteed,
    /// Other most urgent jobs that can still meet their objective.
    Urgent,
    /// Less urgent jobs within the minimum share of their priority, by priority.
    MinimumShare(u32),
    /// Other most urgent jobs, which will miss their objective anyway.
    LateUrgent,
    /// All other jobs, by the priority of their queue.
    Priority(u32),
    /// Jobs so late that completing them has no value, by the priority of their queue.
    Overdue(u32),
}

/// What the deadlines of an occurrence's steps depend on.
#[derive(Clone, Copy)]
struct Timing<'a> {
    /// Unix time at which the job was accepted, or its occurrence was due.
    since_unix_ms: u64,
    /// Time from then on in which the job meets its objective.
    objective_ms: u64,
    /// Time from then on after which completing the job has no value.
    value_end_ms: u64,
    forecast: &'a Forecast,
    run_times: &'a RunTimes,
    unix_ms: u64,
}

impl<'a> Timing<'a> {
    fn new(
        job: &Job,
        occurrence: u32,
        forecast: &'a Forecast,
        run_times: &'a RunTimes,
        unix_ms: u64,
    ) -> Self {
        let submission = &job.submission;
        let due_at_unix_ms = submission.spec.due_at_unix_ms(occurrence);
        Self {
            since_unix_ms: due_at_unix_ms.unwrap_or(submission.accepted_at_unix_ms),
            objective_ms: objective(submission, forecast.longest_ms()).get(),
            value_end_ms: value_end(submission, forecast.longest_ms()).get(),
            forecast,
            run_times,
            unix_ms,
        }
    }

    /// Returns the latest time at which a step can begin so that the job meets its objective on
    /// machines of speed 1.
    fn latest_begin_unix_ms(&self, step: u32) -> u64 {
        let objective_at_unix_ms = self.since_unix_ms.saturating_add(self.objective_ms);
        objective_at_unix_ms.saturating_sub(self.forecast.chain_ms(step))
    }

    fn urgency(&self, job: &Job, step: u32, guaranteed: bool) -> Urgency {
        let submission = &job.submission;
        let latest_begin_unix_ms = self.latest_begin_unix_ms(step);
        let chain_ms = self.forecast.chain_ms(step);
        let margin_ms = chain_ms.saturating_mul(LATE_MARGIN_PERCENT) / 100;
        let late = self.unix_ms > latest_begin_unix_ms.saturating_add(margin_ms);
        let overdue = self.unix_ms > self.since_unix_ms.saturating_add(self.value_end_ms);
        let tier = if guaranteed {
            Tier::Guaranteed
        } else if overdue {
            Tier::Overdue(submission.priority)
        } else if submission.priority == 0 && late {
            Tier::LateUrgent
        } else if submission.priority == 0 {
            Tier::Urgent
        } else {
            Tier::Priority(submission.priority)
        };
        Urgency { tier, rank_ms: latest_begin_unix_ms, order: job.order }
    }
}

/// Part of a predicted run time that a job may fall behind before it counts as late, since
/// predictions may be too long.
const LATE_MARGIN_PERCENT: u64 = 50;

/// Returns the accelerators that the most urgent of the unfinished jobs of each organisation need.
pub(crate) fn urgent_accelerator_demand<'a, Jobs>(jobs: Jobs) -> FastHashMap<OrganisationName, u64>
where
    Jobs: Iterator<Item = &'a Job>,
{
    let mut urgent_demand: FastHashMap<OrganisationName, u64> = FastHashMap::default();
    for job in jobs.filter(|job| job.submission.priority == 0) {
        if let Some(organisation) = &job.submission.organisation {
            *urgent_demand.entry(organisation.clone()).or_default() += job.peak_accelerator_count();
        }
    }
    urgent_demand
}

/// Returns `true` if the most urgent jobs of the organisation fit into its guaranteed accelerators.
pub(crate) fn within_guarantee(
    organisation: Option<&OrganisationName>,
    urgent_demand: &FastHashMap<OrganisationName, u64>,
    configuration: &ConfigurationStore,
) -> bool {
    organisation.is_some_and(|name| {
        let guaranteed = u64::from(configuration.guaranteed_accelerator_count(name));
        urgent_demand.get(name).is_some_and(|needed| *needed <= guaranteed)
    })
}

/// Returns `true` if the urgent jobs of the submitting organisation, with this new one, fit into its
/// guaranteed accelerators.
pub(crate) fn is_within_guarantee(
    job: &Job,
    table: &JobTable,
    configuration: &ConfigurationStore,
) -> bool {
    let Some(organisation) = &job.submission.organisation else { return false };
    let accepted = urgent_accelerator_demand(unfinished_jobs(table));
    let accepted = accepted.get(organisation).copied().unwrap_or(0);
    let demand = accepted.saturating_add(job.peak_accelerator_count());
    job.submission.priority == 0
        && demand <= u64::from(configuration.guaranteed_accelerator_count(organisation))
}

/// Iterates over the jobs that have not ended.
pub(crate) fn unfinished_jobs(table: &JobTable) -> impl Iterator<Item = &Job> {
    table.jobs().filter(|job| !job.phase.is_final())
}

/// Returns the groups with which a new job begins.
pub(crate) fn first_groups<'a>(
    job: &'a Job,
    forecast: &Forecast,
    run_times: &RunTimes,
    unix_ms: u64,
) -> Vec<TaskGroup<'a>> {
    let timing = Timing::new(job, 0, forecast, run_times, unix_ms);
    // Before the job is stored, its objective counts from now, also if it has a schedule.
    let timing = Timing { since_unix_ms: unix_ms, ..timing };
    let mut groups = Vec::new();
    ReadyWindows::default().visit(&[job], unix_ms, 0, |job, position, tasks, count| {
        groups.extend(step_groups(job, position, tasks, timing, false).take(count));
    });
    groups
}

/// Inputs on which the ready groups depend.
#[derive(Clone, Copy)]
pub(crate) struct DemandInputs<'a, 'i> {
    /// Jobs that have not ended.
    pub jobs: &'i [&'a Job],
    pub configuration: &'i ConfigurationStore,
    pub urgent_demand: &'i FastHashMap<OrganisationName, u64>,
    pub forecasts: &'i JobCache<Forecast>,
    pub run_times: &'i RunTimes,
    /// Bytes that the progress of further occurrences may take.
    pub spare_bytes: u64,
    pub unix_ms: u64,
}

/// Returns the task groups that the pass considers, most urgent first.
pub(crate) fn ready_task_groups<'a>(
    inputs: DemandInputs<'a, '_>,
    windows: &mut ReadyWindows,
) -> Vec<TaskGroup<'a>> {
    let DemandInputs { jobs, configuration, urgent_demand, unix_ms, .. } = inputs;
    let mut groups = Vec::new();
    windows.visit(jobs, unix_ms, inputs.spare_bytes, |job, position, tasks, count| {
        let Some(forecast) = inputs.forecasts.get(job) else { return };
        let submission = &job.submission;
        let guaranteed = submission.priority == 0
            && within_guarantee(submission.organisation.as_ref(), urgent_demand, configuration);
        let timing = Timing::new(job, position.occurrence, forecast, inputs.run_times, unix_ms);
        groups.extend(step_groups(job, position, tasks, timing, guaranteed).take(count));
    });
    if groups.iter().any(|group| group.urgency.tier == Tier::LateUrgent) {
        prefer_newest_urgent(&mut groups);
    }
    groups.sort_by_key(|group| group.urgency);
    groups
}

/// Puts the newest most urgent jobs first. While some of them are late, the earliest deadline first
/// would begin each job when it is about to be late, too, and all of them would complete late.
fn prefer_newest_urgent(groups: &mut [TaskGroup<'_>]) {
    for group in groups.iter_mut().filter(|group| group.urgency.tier == Tier::Urgent) {
        group.urgency.rank_ms = group.waited_ms.get();
    }
}

/// Returns the groups of the tasks of a step that may begin.
fn step_groups<'a>(
    job: &'a Job,
    position: StepPosition,
    tasks: ReadyTasks<'a>,
    timing: Timing<'_>,
    guaranteed: bool,
) -> impl Iterator<Item = TaskGroup<'a>> {
    let StepPosition { occurrence, step } = position;
    let submission = &job.submission;
    let spec = &submission.spec.steps[step as usize];
    let progress = job.occurrences.get(&occurrence);
    let step_progress = progress.and_then(|progress| progress.steps.get(step as usize));
    let urgency = timing.urgency(job, step, guaranteed);
    let run_ms = timing.run_times.predict(&submission.queue, spec).get();
    let ends_at_unix_ms = timing.latest_begin_unix_ms(step).saturating_add(run_ms);
    let remaining_ms = ends_at_unix_ms.saturating_sub(timing.unix_ms);
    let waited_ms = DurationMs::new(timing.unix_ms.saturating_sub(timing.since_unix_ms));
    let (gang, single) = match tasks {
        ReadyTasks::Gang => (Some(0..spec.task_count), None),
        ReadyTasks::Single(tasks) => (None, Some(tasks.map(|task| task..task + 1))),
    };
    gang.into_iter().chain(single.into_iter().flatten()).map(move |tasks| {
        let failed_count = step_progress.map_or(0, |progress| {
            if spec.gang {
                return progress.gang.failed_count;
            }
            progress.tasks.get(tasks.start as usize).map_or(0, |task| task.failed_count)
        });
        TaskGroup {
            job,
            spec,
            occurrence,
            step,
            run_number: step_progress.map_or(1, |progress| progress.next_run(spec, tasks.start)),
            tasks,
            urgency,
            run_ms,
            remaining_ms,
            may_use_headroom: submission.priority == 0,
            waited_ms,
            last_attempt: !spec.long_running && failed_count + 1 >= submission.max_attempts,
            slow_partners: Vec::new(),
        }
    })
}
