//! Index of the tasks of a job that may begin, derived from its progress.
//!
//! Jobs may have thousands of steps, and schedules a million occurrences that are all due. The index
//! lets the scheduler visit those that may begin without visiting the others.

use std::collections::{BTreeMap, BTreeSet, btree_set};

use crate::occurrence_set::OccurrenceSet;
use crate::progress::{Occurrence, TaskProgress};
use crate::spec::{JobSpec, StepSpec};
use crate::step_graph::StepGraph;

/// Step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StepPosition {
    /// Index of the occurrence.
    pub occurrence: u32,
    /// Index of the step within the job.
    pub step: u32,
}

/// Index of the tasks of a job that may begin.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ReadyIndex {
    pub graph: StepGraph,
    occurrences: BTreeMap<u32, OccurrenceIndex>,
    /// Occurrences with at least one run so far.
    begun: OccurrenceSet,
    /// Begun occurrences with a task that may begin.
    ready_occurrences: BTreeSet<u32>,
    /// Number of task groups of begun occurrences that may begin.
    ready_group_count: u64,
    /// Number of occurrences that have completed.
    completed_count: u32,
    /// Number of open runs.
    open_run_count: u64,
}

/// Index of the tasks of one occurrence.
#[derive(Clone, Debug, PartialEq)]
struct OccurrenceIndex {
    steps: Vec<StepIndex>,
    ready_steps: BTreeSet<u32>,
    ready_group_count: u64,
    unfinished_step_count: usize,
    open_run_count: u64,
}

/// Index of the tasks of one step.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct StepIndex {
    unfinished_predecessor_count: usize,
    done_count: u32,
    open_run_count: u32,
    /// Index from which on no task has begun; unused for gangs.
    unbegun_from: u32,
    /// Tasks below `unbegun_from` that have neither completed nor an open run; unused for gangs.
    returned_tasks: BTreeSet<u32>,
}

impl StepIndex {
    fn is_done(&self, spec: &StepSpec) -> bool {
        self.done_count >= spec.task_count
    }

    /// Returns the tasks that have begun and may begin again.
    pub fn returned_tasks(&self) -> btree_set::Iter<'_, u32> {
        self.returned_tasks.iter()
    }

    /// Returns the index from which on no task has begun.
    pub fn unbegun_from(&self) -> u32 {
        self.unbegun_from
    }

    /// Returns the number of groups of the step that may begin.
    pub fn ready_group_count(&self, spec: &StepSpec) -> u64 {
        if self.unfinished_predecessor_count > 0 || self.is_done(spec) {
            return 0;
        }
        if spec.gang {
            return u64::from(self.open_run_count == 0);
        }
        let unbegun_count = u64::from(spec.task_count.saturating_sub(self.unbegun_from));
        self.returned_tasks.len() as u64 + unbegun_count
    }
}

impl OccurrenceIndex {
    fn new(spec: &JobSpec, progress: &Occurrence) -> Self {
        let steps = spec.steps.iter().zip(&progress.steps);
        let mut steps: Vec<StepIndex> = steps
            .map(|(spec, progress)| {
                let tasks = || (0u32..).zip(&progress.tasks);
                let last_begun = tasks().filter(|(_, task)| task.last_run > 0).last();
                let unbegun_from = last_begun.map_or(0, |(index, _)| index + 1);
                let is_returned = |task: &TaskProgress| !task.done && task.open_count == 0;
                let returned = tasks()
                    .filter(|(index, task)| *index < unbegun_from && is_returned(task))
                    .map(|(index, _)| index);
                let done_count = tasks().filter(|(_, task)| task.done).count();
                StepIndex {
                    unfinished_predecessor_count: 0,
                    done_count: u32::try_from(done_count).unwrap_or(u32::MAX),
                    open_run_count: progress.tasks.iter().map(|task| task.open_count).sum(),
                    unbegun_from: if spec.gang { 0 } else { unbegun_from },
                    returned_tasks: if spec.gang { BTreeSet::new() } else { returned.collect() },
                }
            })
            .collect();
        let done: Vec<bool> =
            spec.steps.iter().zip(&steps).map(|(spec, step)| step.is_done(spec)).collect();
        for (spec, step) in spec.steps.iter().zip(&mut steps) {
            let is_done = |after: &u32| done.get(*after as usize).copied().unwrap_or(false);
            step.unfinished_predecessor_count =
                spec.after.iter().filter(|after| !is_done(after)).count();
        }
        let ready_counts = || {
            let steps = (0u32..).zip(spec.steps.iter().zip(&steps));
            steps.map(|(number, (spec, step))| (number, step.ready_group_count(spec)))
        };
        Self {
            ready_steps: ready_counts()
                .filter(|(_, count)| *count > 0)
                .map(|(number, _)| number)
                .collect(),
            ready_group_count: ready_counts().map(|(_, count)| count).sum(),
            unfinished_step_count: done.iter().filter(|done| !**done).count(),
            open_run_count: steps.iter().map(|step| u64::from(step.open_run_count)).sum(),
            steps,
        }
    }

    fn is_done(&self) -> bool {
        self.unfinished_step_count == 0
    }

    /// Changes the index of a step and updates the totals.
    fn change_step<Change>(&mut self, spec: &JobSpec, step: u32, change: Change)
    where
        Change: FnOnce(&mut StepIndex, &StepSpec),
    {
        let Some(step_spec) = spec.steps.get(step as usize) else { return };
        let Some(index) = self.steps.get_mut(step as usize) else { return };
        let earlier_count = index.ready_group_count(step_spec);
        change(index, step_spec);
        let count = index.ready_group_count(step_spec);
        self.ready_group_count = self.ready_group_count - earlier_count + count;
        if count > 0 {
            self.ready_steps.insert(step);
        } else {
            self.ready_steps.remove(&step);
        }
    }

    fn on_begin(&mut self, spec: &JobSpec, step: u32, task: u32) {
        self.open_run_count += 1;
        self.change_step(spec, step, |index, step_spec| {
            index.open_run_count += 1;
            if step_spec.gang {
                return;
            }
            if task < index.unbegun_from {
                index.returned_tasks.remove(&task);
            } else {
                index.returned_tasks.extend(index.unbegun_from..task);
                index.unbegun_from = task + 1;
            }
        });
    }

    fn on_end(&mut self, spec: &JobSpec, step: u32, task: u32, progress: &TaskProgress) {
        self.open_run_count = self.open_run_count.saturating_sub(1);
        let is_returned = !progress.done && progress.open_count == 0;
        self.change_step(spec, step, |index, step_spec| {
            index.open_run_count = index.open_run_count.saturating_sub(1);
            if !step_spec.gang && is_returned {
                index.returned_tasks.insert(task);
            }
        });
    }

    fn on_complete(
        &mut self,
        spec: &JobSpec,
        graph: &StepGraph,
        step: u32,
        task: u32,
        newly_done_count: u32,
    ) {
        let mut completes_step = false;
        self.change_step(spec, step, |index, step_spec| {
            let was_done = index.is_done(step_spec);
            index.returned_tasks.remove(&task);
            index.done_count += newly_done_count;
            completes_step = !was_done && index.is_done(step_spec);
        });
        if !completes_step {
            return;
        }
        self.unfinished_step_count -= 1;
        for follower in graph.followers(step) {
            self.change_step(spec, *follower, |index, _| {
                index.unfinished_predecessor_count =
                    index.unfinished_predecessor_count.saturating_sub(1);
            });
        }
    }
}

impl ReadyIndex {
    /// Creates the index of a job. `completed` are occurrences whose progress is not kept.
    pub fn new(
        spec: &JobSpec,
        progress: &BTreeMap<u32, Occurrence>,
        completed: &OccurrenceSet,
    ) -> Self {
        let mut index = Self {
            graph: StepGraph::new(spec),
            begun: completed.clone(),
            completed_count: completed.count(),
            ..Self::default()
        };
        for (number, occurrence) in progress {
            index.insert(*number, OccurrenceIndex::new(spec, occurrence));
        }
        index
    }

    /// Adds an occurrence that begins.
    pub fn begin_occurrence(&mut self, spec: &JobSpec, number: u32, progress: &Occurrence) {
        self.insert(number, OccurrenceIndex::new(spec, progress));
    }

    fn insert(&mut self, number: u32, occurrence: OccurrenceIndex) {
        self.begun.insert(number);
        self.ready_group_count += occurrence.ready_group_count;
        self.open_run_count += occurrence.open_run_count;
        self.completed_count += u32::from(occurrence.is_done());
        if occurrence.ready_group_count > 0 {
            self.ready_occurrences.insert(number);
        }
        self.occurrences.insert(number, occurrence);
    }

    /// Forgets a completed occurrence whose progress is no longer kept.
    pub fn forget_completed(&mut self, number: u32) {
        self.occurrences.remove(&number);
    }

    fn change<Change>(&mut self, number: u32, change: Change)
    where
        Change: FnOnce(&mut OccurrenceIndex, &StepGraph),
    {
        let Some(occurrence) = self.occurrences.get_mut(&number) else { return };
        let was_done = occurrence.is_done();
        self.ready_group_count -= occurrence.ready_group_count;
        self.open_run_count -= occurrence.open_run_count;
        change(occurrence, &self.graph);
        self.ready_group_count += occurrence.ready_group_count;
        self.open_run_count += occurrence.open_run_count;
        self.completed_count += u32::from(!was_done && occurrence.is_done());
        if occurrence.ready_group_count > 0 {
            self.ready_occurrences.insert(number);
        } else {
            self.ready_occurrences.remove(&number);
        }
    }

    pub fn on_begin(&mut self, spec: &JobSpec, position: StepPosition, task: u32) {
        self.change(position.occurrence, |index, _| index.on_begin(spec, position.step, task));
    }

    /// Records the end of a run. `progress` is that of the task after the end.
    pub fn on_end(
        &mut self,
        spec: &JobSpec,
        position: StepPosition,
        task: u32,
        progress: &TaskProgress,
    ) {
        self.change(position.occurrence, |index, _| {
            index.on_end(spec, position.step, task, progress);
        });
    }

    /// Records that `newly_done_count` tasks of a step have completed, `task` among them.
    pub fn on_complete(
        &mut self,
        spec: &JobSpec,
        position: StepPosition,
        task: u32,
        newly_done_count: u32,
    ) {
        self.change(position.occurrence, |index, graph| {
            index.on_complete(spec, graph, position.step, task, newly_done_count);
        });
    }

    /// Returns the occurrences that have at least one run.
    pub fn begun(&self) -> &OccurrenceSet {
        &self.begun
    }

    /// Returns the number of task groups of begun occurrences that may begin.
    pub fn ready_group_count(&self) -> u64 {
        self.ready_group_count
    }

    /// Returns the first begun occurrence at or after `from` with a task that may begin.
    pub fn next_ready_occurrence(&self, from: u32) -> Option<u32> {
        self.ready_occurrences.range(from..).next().copied()
    }

    /// Returns the first step of a begun occurrence at or after `from` with a task that may begin.
    pub fn next_ready_step(&self, occurrence: u32, from: u32) -> Option<u32> {
        let occurrence = self.occurrences.get(&occurrence)?;
        occurrence.ready_steps.range(from..).next().copied()
    }

    /// Returns the index of a step; `None` if its occurrence has not begun.
    pub fn step(&self, position: StepPosition) -> Option<&StepIndex> {
        self.occurrences.get(&position.occurrence)?.steps.get(position.step as usize)
    }

    /// Returns `true` if all predecessors of the step have completed.
    pub fn has_no_predecessor_left(&self, position: StepPosition) -> bool {
        self.step(position).is_some_and(|step| step.unfinished_predecessor_count == 0)
    }

    /// Returns `true` if the occurrence has completed and has no open run.
    pub fn is_over(&self, number: u32) -> bool {
        let occurrence = self.occurrences.get(&number);
        occurrence.is_some_and(|occurrence| occurrence.is_done() && occurrence.open_run_count == 0)
    }

    pub fn completed_count(&self) -> u32 {
        self.completed_count
    }

    pub fn open_run_count(&self) -> u64 {
        self.open_run_count
    }

    /// Returns the number of begun occurrences that have not completed.
    pub fn unfinished_count(&self) -> u32 {
        self.begun.count().saturating_sub(self.completed_count)
    }
}
