//! Log lines about many runs: one for the tasks of a step that share a decision.
//!
//! A gang on a large deployment has dozens of members. With a line for each of them, the limits on
//! lines would cut off some of the jobs in a burst.

use std::collections::BTreeMap;
use std::fmt::{self, Display};

use yuccatack_core::JobName;
use yuccatack_runs::RunId;

/// Maximum number of tasks in one line, which bounds its length to a few kilobytes.
const TASK_LIMIT_COUNT: usize = 64;

/// Runs of one step that share their number.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct StepRun {
    job: JobName,
    occurrence: u32,
    step: u32,
    number: u32,
}

impl Display for StepRun {
    /// Writes the identifier of the runs without the index of a task.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}.{}#{}", self.job, self.occurrence, self.step, self.number)
    }
}

/// Tasks of a [`StepRun`] that share a decision, with a detail of each.
#[derive(Debug)]
pub(crate) struct RunLines<Shared> {
    groups: BTreeMap<(StepRun, Shared), Vec<String>>,
}

impl<Shared> RunLines<Shared>
where
    Shared: Clone + Ord,
{
    pub fn new() -> Self {
        Self { groups: BTreeMap::new() }
    }

    /// Adds a run. `detail` follows the index of its task, separated by `@`, unless it is empty.
    pub fn add<Detail>(&mut self, run: &RunId, shared: Shared, detail: Detail)
    where
        Detail: Display,
    {
        let task = &run.task;
        let step_run = StepRun {
            job: task.job.clone(),
            occurrence: task.occurrence,
            step: task.step,
            number: run.number,
        };
        let text = format!("{}@{detail}", task.index);
        let text = text.trim_end_matches('@').to_owned();
        self.groups.entry((step_run, shared)).or_default().push(text);
    }

    /// Calls `write` with the step, what its tasks share, their number, and the list of the tasks.
    pub fn for_each<Write>(&self, mut write: Write)
    where
        Write: FnMut(&StepRun, &Shared, usize, &str),
    {
        for ((step_run, shared), tasks) in &self.groups {
            for part in tasks.chunks(TASK_LIMIT_COUNT) {
                write(step_run, shared, part.len(), &part.join(","));
            }
        }
    }
}
