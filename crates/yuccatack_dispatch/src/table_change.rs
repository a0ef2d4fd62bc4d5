//! Changes of the replicated table that the leader proposes.

use serde::{Deserialize, Serialize};
use yuccatack_runs::{RunEnd, RunStart, WorkerIncarnation};

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
}
