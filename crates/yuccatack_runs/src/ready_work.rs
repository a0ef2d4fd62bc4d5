//! Task groups of a job that may begin, as the scheduler visits them.

use std::collections::btree_set;
use std::ops::Range;

use crate::job::Job;
use crate::ready_index::{StepIndex, StepPosition};
use crate::spec::MAX_TASK_COUNT;
use crate::step_graph::group_count;

/// Task groups of a job that may begin at one moment.
#[derive(Clone, Copy, Debug)]
pub struct ReadyWork<'a> {
    job: &'a Job,
    /// End of the occurrences that may begin, exclusive.
    unbegun_end: u32,
    /// Number of groups of all steps.
    group_count: u64,
    /// Number of occurrences that may begin.
    unbegun_count: u32,
}

/// Tasks of a step that may begin.
#[derive(Debug)]
pub enum ReadyTasks<'a> {
    /// All tasks together, as a gang.
    Gang,
    /// Each task by itself.
    Single(ReadyTaskIter<'a>),
}

/// Iterator over the indexes of tasks that may begin.
#[derive(Debug)]
pub struct ReadyTaskIter<'a> {
    returned: Option<btree_set::Iter<'a, u32>>,
    unbegun: Range<u32>,
}

impl Iterator for ReadyTaskIter<'_> {
    type Item = u32;

    fn next(&mut self) -> Option<u32> {
        let returned = self.returned.as_mut().and_then(Iterator::next);
        returned.copied().or_else(|| self.unbegun.next())
    }
}

impl<'a> ReadyWork<'a> {
    /// Returns the work of a job that may begin. Occurrences that are due begin only as long as the
    /// unfinished ones of the job have no more tasks than a job may have, and not more than
    /// `max_new_count` beside the first unfinished one.
    pub fn new(job: &'a Job, unix_ms: u64, max_new_count: u32) -> Self {
        let index = job.ready_index();
        let due_count = job.submission.spec.due_count(unix_ms);
        let unfinished_count = index.unfinished_count();
        let task_count = index.graph.task_count().max(1);
        let limit_count = u32::try_from(MAX_TASK_COUNT / task_count).unwrap_or(u32::MAX).max(1);
        let first_count = u32::from(unfinished_count == 0);
        let max_count = limit_count
            .saturating_sub(unfinished_count)
            .min(max_new_count.saturating_add(first_count));
        let (mut unbegun_end, mut unbegun_count) = (0, 0);
        for (start, end) in index.begun().gaps() {
            let remaining_count = max_count - unbegun_count;
            let end = end.min(due_count).min(start.saturating_add(remaining_count));
            if end <= start {
                break;
            }
            unbegun_end = end;
            unbegun_count += end - start;
        }
        let unbegun_group_count = u64::from(unbegun_count) * index.graph.first_group_count();
        let group_count = index.ready_group_count() + unbegun_group_count;
        Self { job, unbegun_end, group_count, unbegun_count }
    }

    /// Returns the job.
    pub fn job(&self) -> &'a Job {
        self.job
    }

    /// Returns the number of groups that may begin.
    pub fn group_count(&self) -> u64 {
        self.group_count
    }

    /// Returns the number of occurrences that may begin.
    pub fn unbegun_count(&self) -> u32 {
        self.unbegun_count
    }

    /// Returns the first step at or after a position that has tasks that may begin.
    pub fn next_step(&self, from: StepPosition) -> Option<StepPosition> {
        let in_occurrence = self.step_of(from.occurrence, from.step);
        in_occurrence.or_else(|| {
            let occurrence = self.next_occurrence(from.occurrence.checked_add(1)?)?;
            self.step_of(occurrence, 0)
        })
    }

    fn step_of(&self, occurrence: u32, from_step: u32) -> Option<StepPosition> {
        let index = self.job.ready_index();
        let step = if self.may_begin(occurrence) {
            let first_steps = index.graph.first_steps();
            let position = first_steps.partition_point(|step| *step < from_step);
            first_steps.get(position).copied()
        } else {
            index.next_ready_step(occurrence, from_step)
        };
        step.map(|step| StepPosition { occurrence, step })
    }

    /// Returns `true` if the occurrence has not begun and may begin.
    fn may_begin(&self, occurrence: u32) -> bool {
        occurrence < self.unbegun_end && !self.job.ready_index().begun().contains(occurrence)
    }

    fn next_occurrence(&self, from: u32) -> Option<u32> {
        let index = self.job.ready_index();
        let begun = index.next_ready_occurrence(from);
        let unbegun = index.begun().next_absent(from);
        let unbegun = (unbegun < self.unbegun_end).then_some(unbegun);
        begun.into_iter().chain(unbegun).min()
    }

    /// Returns the number of groups of a step that may begin. `position` must come from
    /// [`Self::next_step`].
    pub fn step_group_count(&self, position: StepPosition) -> u64 {
        let Some(spec) = self.job.step_spec(position.step) else { return 0 };
        let step = self.job.ready_index().step(position);
        step.map_or_else(|| group_count(spec), |step| step.ready_group_count(spec))
    }

    /// Returns the tasks of a step that may begin. `position` must come from [`Self::next_step`].
    pub fn tasks(&self, position: StepPosition) -> ReadyTasks<'a> {
        let job = self.job;
        let spec = job.step_spec(position.step);
        if spec.is_some_and(|spec| spec.gang) {
            return ReadyTasks::Gang;
        }
        let task_count = spec.map_or(0, |spec| spec.task_count);
        let step = job.ready_index().step(position);
        ReadyTasks::Single(ReadyTaskIter {
            returned: step.map(StepIndex::returned_tasks),
            unbegun: step.map_or(0, StepIndex::unbegun_from)..task_count,
        })
    }
}
