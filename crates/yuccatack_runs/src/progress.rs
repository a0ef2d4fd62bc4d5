//! How far the steps of an occurrence have come.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::spec::{JobSpec, StepSpec};

/// Saved progress that a later run can resume from.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The run that saved it; a later run's progress replaces that of an earlier one.
    pub run_number: u32,
    /// The worker's name for it.
    pub value: Arc<str>,
}

/// One occurrence of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Occurrence {
    /// Its steps.
    pub steps: Vec<StepProgress>,
}

/// One step of an occurrence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepProgress {
    /// Its tasks.
    pub tasks: Vec<TaskProgress>,
    /// What only a gang has; its runs begin and fail as a whole.
    pub gang: GangProgress,
}

/// What the members of a gang share.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GangProgress {
    /// The number of the last run.
    pub last_run: u32,
    /// How many runs failed.
    pub failed_count: u32,
    /// The last run that failed; several failing members of one run count once.
    pub last_failed_run: u32,
    /// The progress that any member saved.
    pub checkpoint: Option<Checkpoint>,
}

/// One task.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Whether it is done.
    pub done: bool,
    /// The number of its last run.
    pub last_run: u32,
    /// How many runs failed.
    pub failed_count: u32,
    /// How many runs may exist.
    pub open_count: u32,
    /// The progress that it saved.
    pub checkpoint: Option<Checkpoint>,
}

impl Occurrence {
    /// An occurrence of which nothing has begun.
    pub fn new(spec: &JobSpec) -> Self {
        let step = |step: &StepSpec| StepProgress {
            tasks: vec![TaskProgress::default(); step.task_count as usize],
            gang: GangProgress::default(),
        };
        Self { steps: spec.steps.iter().map(step).collect() }
    }

    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepProgress::is_done)
    }

    /// Whether all that `step` waits for is done.
    pub fn is_ready(&self, step: &StepSpec) -> bool {
        step.after
            .iter()
            .all(|after| self.steps.get(*after as usize).is_some_and(StepProgress::is_done))
    }
}

impl StepProgress {
    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.done)
    }

    /// Whether a run of any task may exist.
    pub fn has_open_run(&self) -> bool {
        self.tasks.iter().any(|task| task.open_count > 0)
    }

    /// The number that the next run of a task gets.
    pub fn next_run(&self, spec: &StepSpec, index: u32) -> u32 {
        if spec.gang {
            return self.gang.last_run + 1;
        }
        self.tasks.get(index as usize).map_or(1, |task| task.last_run + 1)
    }

    /// The progress that the next run of a task resumes from.
    pub fn checkpoint(&self, spec: &StepSpec, index: u32) -> Option<&Checkpoint> {
        if spec.gang {
            return self.gang.checkpoint.as_ref();
        }
        self.tasks.get(index as usize)?.checkpoint.as_ref()
    }
}

/// Keeps the progress of the later run; a run that saved nothing keeps what it began from.
pub(crate) fn keep_later(held: &mut Option<Checkpoint>, run_number: u32, value: Option<Arc<str>>) {
    let Some(value) = value else { return };
    if held.as_ref().is_none_or(|checkpoint| checkpoint.run_number <= run_number) {
        *held = Some(Checkpoint { run_number, value });
    }
}
