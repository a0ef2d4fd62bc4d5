//! Choice of the ready task groups that a scheduling pass considers.
//!
//! Answers jobs of thousands of steps and schedules of a million due occurrences. A pass considers a
//! bounded number of groups. While more are ready, each job gets an equal number: half of them are
//! its first ones, the others take turns, since the first ones may fit nowhere.

use yuccatack_core::FastHashMap;
use yuccatack_runs::{Job, ReadyTasks, ReadyWork, StepPosition};

/// Number of groups that a pass considers, unless that is less than [`MIN_JOB_GROUP_COUNT`] for each
/// job. A group takes some hundred bytes, and a pass sorts all of them.
const PASS_GROUP_COUNT: u64 = 32_768;

/// Number of groups that a pass considers of each job at least: one of the first, and one in turn.
const MIN_JOB_GROUP_COUNT: u64 = 2;

/// Positions at which the groups in turn begin, by the order of the job.
#[derive(Debug, Default)]
pub(crate) struct ReadyWindows {
    next_positions: FastHashMap<u64, StepPosition>,
}

impl ReadyWindows {
    /// Passes the steps that the pass considers to `visit`, with the number of groups of each.
    pub fn visit<'a, Visit>(
        &mut self,
        jobs: &[&'a Job],
        unix_ms: u64,
        spare_bytes: u64,
        mut visit: Visit,
    ) where
        Visit: FnMut(&'a Job, StepPosition, ReadyTasks<'a>, usize),
    {
        let work = ready_work(jobs, unix_ms, spare_bytes);
        let limit_count = job_limit(&work);
        let earlier = std::mem::take(&mut self.next_positions);
        for work in &work {
            let job = work.job();
            let mut visit = |position, count| visit(job, position, work.tasks(position), count);
            if work.group_count() <= limit_count {
                visit_range(work, StepPosition::default(), None, limit_count, &mut visit);
                continue;
            }
            let turn = earlier.get(&job.order).copied().unwrap_or_default();
            let next = visit_window(work, turn, limit_count, &mut visit);
            self.next_positions.insert(job.order, next);
        }
    }
}

/// Returns the work of the jobs that may begin. Occurrences beyond the first unfinished one of a job
/// may begin only as far as their progress takes no more than `spare_bytes`.
fn ready_work<'a>(jobs: &[&'a Job], unix_ms: u64, mut spare_bytes: u64) -> Vec<ReadyWork<'a>> {
    let mut ready = Vec::new();
    for job in jobs {
        let progress_bytes = job.progress_bytes().max(1);
        let max_new_count = u32::try_from(spare_bytes / progress_bytes).unwrap_or(u32::MAX);
        let work = ReadyWork::new(job, unix_ms, max_new_count);
        if work.group_count() == 0 {
            continue;
        }
        if job.submission.spec.schedule.is_some() {
            let new_bytes = progress_bytes.saturating_mul(u64::from(work.unbegun_count()));
            spare_bytes = spare_bytes.saturating_sub(new_bytes);
        }
        ready.push(work);
    }
    ready
}

/// Returns the number of groups of each job that a pass considers.
fn job_limit(work: &[ReadyWork<'_>]) -> u64 {
    let total_count =
        |limit: u64| work.iter().map(|work| work.group_count().min(limit)).sum::<u64>();
    if total_count(u64::MAX) <= PASS_GROUP_COUNT {
        return u64::MAX;
    }
    let mut limit_count = PASS_GROUP_COUNT;
    while limit_count > MIN_JOB_GROUP_COUNT && total_count(limit_count) > PASS_GROUP_COUNT {
        limit_count /= 2;
    }
    limit_count
}

/// Visits the first groups and then those from `turn` on. Returns where the next turn begins.
fn visit_window<Visit>(
    work: &ReadyWork<'_>,
    turn: StepPosition,
    limit_count: u64,
    visit: &mut Visit,
) -> StepPosition
where
    Visit: FnMut(StepPosition, usize),
{
    let first_count = limit_count / 2;
    let Some(first_end) = visit_range(work, StepPosition::default(), None, first_count, visit).end
    else {
        return StepPosition::default();
    };
    let turn = turn.max(first_end);
    let in_turn = visit_range(work, turn, None, limit_count - first_count, visit);
    if let Some(end) = in_turn.end {
        return end;
    }
    let remaining_count = limit_count - first_count - in_turn.group_count;
    let wrapped = visit_range(work, first_end, Some(turn), remaining_count, visit);
    wrapped.end.unwrap_or_default()
}

/// Result of visiting a range of steps.
struct Visited {
    group_count: u64,
    /// Position after the last visited step; `None` if all steps of the range were visited.
    end: Option<StepPosition>,
}

/// Visits steps from `from` up to `until`, and no more than `limit_count` groups.
fn visit_range<Visit>(
    work: &ReadyWork<'_>,
    from: StepPosition,
    until: Option<StepPosition>,
    limit_count: u64,
    visit: &mut Visit,
) -> Visited
where
    Visit: FnMut(StepPosition, usize),
{
    let mut group_count = 0;
    let mut next = work.next_step(from);
    while let Some(position) = next.filter(|next| until.is_none_or(|until| *next < until)) {
        if group_count >= limit_count {
            return Visited { group_count, end: Some(position) };
        }
        let step_limit = limit_count - group_count;
        let step_count = work.step_group_count(position).min(step_limit);
        visit(position, usize::try_from(step_count).unwrap_or(usize::MAX));
        group_count += step_count;
        next = work.next_step(StepPosition { step: position.step.saturating_add(1), ..position });
    }
    Visited { group_count, end: None }
}
