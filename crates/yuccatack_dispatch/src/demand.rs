//! Task groups that are ready to begin, in order of urgency.

use std::sync::Arc;

use yuccatack_core::{DurationMs, FastHashMap, OrganisationName};
use yuccatack_queues::ConfigurationStore;
use yuccatack_runs::{Job, JobSubmission, JobTable, Occurrence, StepSpec};

use crate::run_time::RunTimes;

/// Tasks that are placed together: a whole gang, or a single task of any other step.
#[derive(Clone, Debug)]
pub(crate) struct TaskGroup<'a> {
    pub job: &'a Job,
    pub spec: &'a StepSpec,
    pub occurrence: u32,
    pub step: u32,
    /// Indexes of the tasks within the step.
    pub tasks: Vec<u32>,
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
    /// Predicted length of the longest chain of steps that begins with each step.
    chains_ms: &'a [u64],
    run_times: &'a RunTimes,
}

/// Multiple of its objective after which a job has no value.
const OVERDUE_FACTOR: u64 = 3;

/// Part of a predicted run time that a job may fall behind before it counts as late, since
/// predictions may be too long.
const LATE_MARGIN_PERCENT: u64 = 50;

/// Returns the accelerators that the most urgent unfinished jobs of each organisation need.
pub(crate) fn urgent_accelerator_demand(table: &JobTable) -> FastHashMap<OrganisationName, u64> {
    let mut urgent_demand: FastHashMap<OrganisationName, u64> = FastHashMap::default();
    for job in table.jobs().filter(|job| !job.phase.is_final() && job.submission.priority == 0) {
        if let Some(organisation) = &job.submission.organisation {
            *urgent_demand.entry(organisation.clone()).or_default() +=
                peak_accelerator_count(&job.submission);
        }
    }
    urgent_demand
}

/// Returns the accelerators that the largest step of a job needs; its steps are taken to run one
/// after the other.
fn peak_accelerator_count(submission: &JobSubmission) -> u64 {
    let step_accelerators =
        |step: &StepSpec| u64::from(step.demand.accelerator_count) * u64::from(step.task_count);
    submission.spec.steps.iter().map(step_accelerators).max().unwrap_or(0)
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

/// Returns `true` if the urgent jobs of the submitting organisation, with this one, fit into its
/// guaranteed accelerators.
pub(crate) fn is_within_guarantee(
    submission: &JobSubmission,
    table: &JobTable,
    configuration: &ConfigurationStore,
) -> bool {
    let Some(organisation) = &submission.organisation else { return false };
    let accepted = urgent_accelerator_demand(table).get(organisation).copied().unwrap_or(0);
    let demand = accepted.saturating_add(peak_accelerator_count(submission));
    submission.priority == 0
        && demand <= u64::from(configuration.guaranteed_accelerator_count(organisation))
}

/// Returns the time from its acceptance in which a job meets its objective, given the predicted
/// chains of its steps.
fn objective_ms(submission: &JobSubmission, chains_ms: &[u64]) -> u64 {
    let chain_ms = chains_ms.iter().copied().max().unwrap_or(0);
    // The conversion saturates. Below 2^53, the float holds whole milliseconds exactly.
    let stretched_ms = (chain_ms as f64 * submission.stretch.max(1.0)) as u64;
    stretched_ms.saturating_add(submission.allowance_ms.get())
}

/// Returns the time from its acceptance after which completing a job has no value.
pub(crate) fn value_ends_ms(submission: &JobSubmission, chains_ms: &[u64]) -> u64 {
    objective_ms(submission, chains_ms).saturating_mul(OVERDUE_FACTOR)
}

/// Returns the groups with which a new job begins.
pub(crate) fn first_groups<'a>(
    job: &'a Job,
    run_times: &RunTimes,
    unix_ms: u64,
) -> Vec<TaskGroup<'a>> {
    let chains_ms = run_times.chains_ms(job);
    let timing = Timing { since_unix_ms: unix_ms, chains_ms: &chains_ms, run_times };
    let mut groups = Vec::new();
    collect_occurrence(job, 0, timing, false, unix_ms, &mut groups);
    groups
}

/// Returns all task groups that are ready to begin, most urgent first.
pub(crate) fn ready_task_groups<'a>(
    table: &'a JobTable,
    configuration: &ConfigurationStore,
    urgent_demand: &FastHashMap<OrganisationName, u64>,
    run_times: &RunTimes,
    unix_ms: u64,
) -> Vec<TaskGroup<'a>> {
    let mut groups = Vec::new();
    for job in table.jobs().filter(|job| !job.phase.is_final()) {
        let guaranteed = job.submission.priority == 0
            && within_guarantee(job.submission.organisation.as_ref(), urgent_demand, configuration);
        let chains_ms = run_times.chains_ms(job);
        for occurrence in 0..job.submission.spec.occurrence_count() {
            let due = job.submission.spec.due_at_unix_ms(occurrence);
            if due.is_some_and(|due| due > unix_ms) {
                break;
            }
            let since_unix_ms = due.unwrap_or(job.submission.accepted_at_unix_ms);
            let timing = Timing { since_unix_ms, chains_ms: &chains_ms, run_times };
            collect_occurrence(job, occurrence, timing, guaranteed, unix_ms, &mut groups);
        }
    }
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

fn collect_occurrence<'a>(
    job: &'a Job,
    occurrence: u32,
    timing: Timing<'_>,
    guaranteed: bool,
    unix_ms: u64,
    groups: &mut Vec<TaskGroup<'a>>,
) {
    let initial;
    let progress = match job.occurrences.get(&occurrence) {
        Some(progress) => progress,
        None => {
            initial = Occurrence::new(&job.submission.spec);
            &initial
        }
    };
    if progress.is_done() {
        return;
    }
    for (step, spec) in (0u32..).zip(&job.submission.spec.steps) {
        let step_progress = &progress.steps[step as usize];
        if step_progress.is_done() || !progress.is_ready(spec) {
            continue;
        }
        let urgency = urgency(job, step, timing, guaranteed, unix_ms);
        let max_attempts = job.submission.max_attempts;
        let run_ms = timing.run_times.predict(&job.submission.queue, spec).get();
        let latest_begin_unix_ms = latest_begin_unix_ms(job, step, timing);
        let remaining_ms = latest_begin_unix_ms.saturating_add(run_ms).saturating_sub(unix_ms);
        let group = |tasks: Vec<u32>, failed_count: u32| TaskGroup {
            job,
            spec,
            occurrence,
            step,
            run_number: step_progress.next_run(spec, tasks[0]),
            tasks,
            urgency,
            run_ms,
            remaining_ms,
            may_use_headroom: job.submission.priority == 0,
            waited_ms: DurationMs::new(unix_ms.saturating_sub(timing.since_unix_ms)),
            last_attempt: !spec.long_running && failed_count + 1 >= max_attempts,
            slow_partners: Vec::new(),
        };
        if spec.gang {
            if !step_progress.has_open_run() {
                groups.push(group((0..spec.task_count).collect(), step_progress.gang.failed_count));
            }
            continue;
        }
        let waiting = (0u32..)
            .zip(&step_progress.tasks)
            .filter(|(_, task)| !task.done && task.open_count == 0);
        groups.extend(waiting.map(|(index, task)| group(vec![index], task.failed_count)));
    }
}

/// Returns the latest time at which a step can begin so that the job meets its objective on machines
/// of speed 1.
fn latest_begin_unix_ms(job: &Job, step: u32, timing: Timing<'_>) -> u64 {
    let Timing { since_unix_ms, chains_ms, .. } = timing;
    let objective_ms = objective_ms(&job.submission, chains_ms);
    let chain_ms = chains_ms.get(step as usize).copied().unwrap_or(0);
    since_unix_ms.saturating_add(objective_ms).saturating_sub(chain_ms)
}

fn urgency(job: &Job, step: u32, timing: Timing<'_>, guaranteed: bool, unix_ms: u64) -> Urgency {
    let Timing { since_unix_ms, chains_ms, .. } = timing;
    let submission = &job.submission;
    let remaining_ms = chains_ms.get(step as usize).copied().unwrap_or(0);
    let latest_begin_unix_ms = latest_begin_unix_ms(job, step, timing);
    let margin_ms = remaining_ms.saturating_mul(LATE_MARGIN_PERCENT) / 100;
    let late = unix_ms > latest_begin_unix_ms.saturating_add(margin_ms);
    let overdue = unix_ms > since_unix_ms.saturating_add(value_ends_ms(submission, chains_ms));
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
