//! Changes of the replicated table that the leader proposes.

use serde::{Deserialize, Serialize};
use yuccatack_runs::{RunEnd, RunId, RunStart, WorkerIncarnation};

/// Change of the replicated table that the leader proposes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TableChange {
    /// Begins all of these runs, or none of them if one may not begin.
    Begin(Vec<RunStart>),
    /// Ends a run.
    End(RunEnd),
    /// Acknowledges the run ends of an incarnation up to this number; the table holds them all.
    #[serde(rename = "NoteEnds")]
    AcknowledgeEnds(WorkerIncarnation, u64),
    /// Completes the task of a run that was given up and ended `Done` on its worker, if the task
    /// has not completed and no other run of it is open.
    ///
    /// Not an `End`: versions that ignore ends of runs that are not open have stored such ends, and
    /// a replica that reads their log must reach the state that they reached.
    CompleteLate(RunId),
}
