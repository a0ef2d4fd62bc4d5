//! Queued jobs, their tasks, and the runs of the tasks on workers.
//!
//! [`JobTable`] is replicated state: every replica applies the same commands in the same order. It
//! holds the accepted jobs, the runs that may still be executing, and the ends of runs. The
//! scheduling decisions are made in `yuccatack_dispatch`.

mod command;
mod identity;
mod job;
mod occurrence_set;
mod progress;
mod ready_index;
mod ready_work;
mod spec;
mod step_graph;
mod table;

pub use command::{
    CancelOutcome, JobOrigin, JobSubmission, RunEnd, RunOutcome, RunStart, SubmitOutcome,
};
pub use identity::{ParseTaskIdError, RunId, TaskId, WorkerIncarnation};
pub use job::{Job, JobPhase};
pub use occurrence_set::OccurrenceSet;
pub use progress::{Checkpoint, Occurrence, StepProgress, TaskProgress};
pub use ready_index::StepPosition;
pub use ready_work::{ReadyTaskIter, ReadyTasks, ReadyWork};
pub use spec::{JobSpec, JobSpecError, Schedule, StepSpec};
pub use table::{JobTable, OpenRun};
