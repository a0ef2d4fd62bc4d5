//! Queued jobs, their tasks and the runs of these tasks on workers.
//!
//! [`JobTable`] is replicated state: every replica applies the same commands in the same order. It
//! says what was accepted, which runs may exist and what is known to have ended. Which run to begin
//! next is decided elsewhere.

mod command;
mod identity;
mod job;
mod progress;
mod spec;
mod table;

pub use command::{CancelOutcome, JobSubmission, RunEnd, RunOutcome, RunStart, SubmitOutcome};
pub use identity::{ParseTaskIdError, RunId, TaskId, WorkerIncarnation};
pub use job::{Job, JobPhase};
pub use progress::{Checkpoint, Occurrence, StepProgress, TaskProgress};
pub use spec::{JobSpec, JobSpecError, Schedule, StepSpec};
pub use table::{JobTable, OpenRun};
