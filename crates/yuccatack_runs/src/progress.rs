//! Progress of the steps and tasks of an occurrence.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::spec::{JobSpec, StepSpec};

/// Saved progress from which a later run can resume.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Number of the run that saved it; a checkpoint of a later run replaces it.
    pub run_number: u32,
    /// Identifier that the worker assigned; opaque to the scheduler.
    pub value: Arc<str>,
}

/// Progress of one occurrence of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Occurrence {
    /// Progress of each step, in the order of the specification.
    pub steps: Vec<StepProgress>,
}

/// Progress of one step of an occurrence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Progress of each task, by index.
    pub tasks: Vec<TaskProgress>,
    /// State that the members share; meaningful only if the step is a gang.
    pub gang: GangProgress,
}

/// Progress of a gang, whose runs begin and fail as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GangProgress {
    /// Number of the last run; 0 before the first one.
    pub last_run: u32,
    /// Number of failed runs.
    pub failed_count: u32,
    /// Number of the last failed run, so that several failing members of one run count once.
    pub last_failed_run: u32,
    /// Latest checkpoint that any member saved.
    pub checkpoint: Option<Checkpoint>,
}

/// Progress of one task.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// `true` once the task has completed.
    pub done: bool,
    /// Number of the last run; 0 before the first one.
    pub last_run: u32,
    /// Number of failed runs.
    pub failed_count: u32,
    /// Number of runs that have begun and are not known to have ended.
    pub open_count: u32,
    /// Latest checkpoint of the task.
    pub checkpoint: Option<Checkpoint>,
}

impl Occurrence {
    /// Creates an occurrence without any runs.
    pub fn new(spec: &JobSpec) -> Self {
        let step = |step: &StepSpec| StepProgress {
            tasks: vec![TaskProgress::default(); step.task_count as usize],
            gang: GangProgress::default(),
        };
        Self { steps: spec.steps.iter().map(step).collect() }
    }

    /// Returns `true` if all tasks of all steps have completed.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepProgress::is_done)
    }

    /// Returns `true` if all predecessors of `step` have completed.
    pub fn is_ready(&self, step: &StepSpec) -> bool {
        step.after
            .iter()
            .all(|after| self.steps.get(*after as usize).is_some_and(StepProgress::is_done))
    }
}

impl StepProgress {
    /// Returns `true` if all tasks have completed.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.done)
    }

    /// Marks a task as completed and returns the number of tasks that were not completed before. The
    /// completion of one member counts for the whole gang.
    pub(crate) fn complete(&mut self, gang: bool, index: u32) -> u32 {
        let index = index as usize;
        let completed = if gang { 0..self.tasks.len() } else { index..index + 1 };
        let tasks = self.tasks.get_mut(completed).unwrap_or_default();
        let newly_done = tasks.iter_mut().filter(|task| !task.done);
        newly_done.map(|task| task.done = true).fold(0, |count, ()| count + 1)
    }

    /// Returns `true` if any task has an open run.
    pub fn has_open_run(&self) -> bool {
        self.tasks.iter().any(|task| task.open_count > 0)
    }

    /// Returns the number of the next run of a task.
    pub fn next_run(&self, spec: &StepSpec, index: u32) -> u32 {
        if spec.gang {
            return self.gang.last_run + 1;
        }
        self.tasks.get(index as usize).map_or(1, |task| task.last_run + 1)
    }

    /// Returns the checkpoint from which the next run of a task resumes, if there is one.
    pub fn checkpoint(&self, spec: &StepSpec, index: u32) -> Option<&Checkpoint> {
        if spec.gang {
            return self.gang.checkpoint.as_ref();
        }
        self.tasks.get(index as usize)?.checkpoint.as_ref()
    }
}

/// Replaces the checkpoint unless a later run saved the current one. A run that saved nothing
/// leaves it unchanged.
pub(crate) fn replace_older(
    current: &mut Option<Checkpoint>,
    run_number: u32,
    value: Option<Arc<str>>,
) {
    let Some(value) = value else { return };
    if current.as_ref().is_none_or(|checkpoint| checkpoint.run_number <= run_number) {
        *current = Some(Checkpoint { run_number, value });
    }
}
