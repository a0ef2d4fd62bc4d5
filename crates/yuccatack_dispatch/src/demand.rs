//! What could begin now, most urgent first.

use yuccatack_core::{FastHashMap, OrganisationName};
use yuccatack_queues::ConfigurationStore;
use yuccatack_runs::{Job, JobTable, Occurrence, StepSpec};

/// Tasks that begin together: a whole gang, or one task of another step.
#[derive(Clone, Debug)]
pub(crate) struct Unit<'a> {
    pub job: &'a Job,
    pub spec: &'a StepSpec,
    pub occurrence: u32,
    pub step: u32,
    /// The tasks, by index.
    pub tasks: Vec<u32>,
    /// The number that the runs get.
    pub run_number: u32,
    pub urgency: Urgency,
    /// Whether one more failure fails the job.
    pub last_attempt: bool,
}

impl Unit<'_> {
    /// Whether the unit's objective leaves little time beyond its work.
    pub fn is_urgent(&self) -> bool {
        self.job.submission.priority == 0
    }
}

/// How soon a unit comes; the smallest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Urgency {
    pub tier: Tier,
    /// When the unit must begin to meet the objective of its job, by the time of day.
    pub latest_begin_unix_ms: u64,
    pub order: u64,
}

/// Classes of units; a lower one may take the place of a higher one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Tier {
    /// The most urgent jobs of an organisation, within what belongs to it at all times.
    Guaranteed,
    /// Everything else, by the priority of its queue.
    Priority(u32),
    /// Jobs that are so late that they earn nothing any more.
    Overdue(u32),
}

/// A job is worth nothing once it has taken this many times its objective.
const OVERDUE_FACTOR: u64 = 3;

/// The accelerators that the unfinished most urgent jobs of each organisation need.
pub(crate) fn urgent_accelerators(table: &JobTable) -> FastHashMap<OrganisationName, u64> {
    let mut needs: FastHashMap<OrganisationName, u64> = FastHashMap::default();
    for job in table.jobs().filter(|job| !job.phase.is_final() && job.submission.priority == 0) {
        if let Some(organisation) = &job.submission.organisation {
            *needs.entry(organisation.clone()).or_default() += job_accelerators(job);
        }
    }
    needs
}

/// What a job needs at most at once, taking its steps to run one after the other.
fn job_accelerators(job: &Job) -> u64 {
    let of_step =
        |step: &StepSpec| u64::from(step.demand.accelerator_count) * u64::from(step.task_count);
    job.submission.spec.steps.iter().map(of_step).max().unwrap_or(0)
}

/// Whether the organisation's most urgent jobs stay within what belongs to it.
pub(crate) fn within_guarantee(
    organisation: Option<&OrganisationName>,
    needs: &FastHashMap<OrganisationName, u64>,
    configuration: &ConfigurationStore,
) -> bool {
    organisation.is_some_and(|name| {
        let guaranteed = u64::from(configuration.guaranteed_accelerator_count(name));
        needs.get(name).is_some_and(|needed| *needed <= guaranteed)
    })
}

/// Everything that could begin, most urgent first.
pub(crate) fn ready_units<'a>(
    table: &'a JobTable,
    configuration: &ConfigurationStore,
    needs: &FastHashMap<OrganisationName, u64>,
    unix_ms: u64,
) -> Vec<Unit<'a>> {
    let mut units = Vec::new();
    for job in table.jobs().filter(|job| !job.phase.is_final()) {
        let guaranteed = job.submission.priority == 0
            && within_guarantee(job.submission.organisation.as_ref(), needs, configuration);
        for occurrence in 0..job.submission.spec.occurrence_count() {
            let due = job.submission.spec.due_at_unix_ms(occurrence);
            if due.is_some_and(|due| due > unix_ms) {
                break;
            }
            let since_ms = due.unwrap_or(job.submission.accepted_at_unix_ms);
            collect_occurrence(job, occurrence, since_ms, guaranteed, unix_ms, &mut units);
        }
    }
    units.sort_by_key(|unit| unit.urgency);
    units
}

fn collect_occurrence<'a>(
    job: &'a Job,
    occurrence: u32,
    since_unix_ms: u64,
    guaranteed: bool,
    unix_ms: u64,
    units: &mut Vec<Unit<'a>>,
) {
    let fresh;
    let progress = match job.occurrences.get(&occurrence) {
        Some(progress) => progress,
        None => {
            fresh = Occurrence::new(&job.submission.spec);
            &fresh
        }
    };
    if progress.is_done() {
        return;
    }
    for (step, spec) in (0u32..).zip(&job.submission.spec.steps) {
        let held = &progress.steps[step as usize];
        if held.is_done() || !progress.is_ready(spec) {
            continue;
        }
        let urgency = urgency(job, step, since_unix_ms, guaranteed, unix_ms);
        let max_attempts = job.submission.max_attempts;
        let unit = |tasks: Vec<u32>, failed_count: u32| Unit {
            job,
            spec,
            occurrence,
            step,
            run_number: held.next_run(spec, tasks[0]),
            tasks,
            urgency,
            last_attempt: !spec.long_running && failed_count + 1 >= max_attempts,
        };
        if spec.gang {
            if !held.has_open_run() {
                units.push(unit((0..spec.task_count).collect(), held.gang.failed_count));
            }
            continue;
        }
        let waiting =
            (0u32..).zip(&held.tasks).filter(|(_, task)| !task.done && task.open_count == 0);
        units.extend(waiting.map(|(index, task)| unit(vec![index], task.failed_count)));
    }
}

fn urgency(job: &Job, step: u32, since_unix_ms: u64, guaranteed: bool, unix_ms: u64) -> Urgency {
    let submission = &job.submission;
    let chain_ms = submission.spec.longest_chain_ms().get();
    // The product is far below the range in which a float loses whole milliseconds.
    let stretched_ms = (chain_ms as f64 * submission.stretch.max(1.0)) as u64;
    let objective_ms = stretched_ms + submission.allowance_ms.get();
    let left_ms = remaining_chain_ms(job, step);
    let latest_begin_unix_ms = (since_unix_ms + objective_ms).saturating_sub(left_ms);
    let overdue = unix_ms > since_unix_ms + OVERDUE_FACTOR * objective_ms;
    let tier = if guaranteed {
        Tier::Guaranteed
    } else if overdue {
        Tier::Overdue(submission.priority)
    } else {
        Tier::Priority(submission.priority)
    };
    Urgency { tier, latest_begin_unix_ms, order: job.order }
}

/// The estimated length of the longest chain from `step` to the end.
fn remaining_chain_ms(job: &Job, step: u32) -> u64 {
    let steps = &job.submission.spec.steps;
    let mut chain_ms = vec![0u64; steps.len()];
    for index in (step as usize..steps.len()).rev() {
        let number = u32::try_from(index).unwrap_or(u32::MAX);
        let followers =
            (index + 1..steps.len()).filter(|later| steps[*later].after.contains(&number));
        let rest_ms = followers.map(|later| chain_ms[later]).max().unwrap_or(0);
        chain_ms[index] = steps[index].estimated_run_ms.get() + rest_ms;
    }
    chain_ms.get(step as usize).copied().unwrap_or(0)
}
