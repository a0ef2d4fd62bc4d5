//! Commands of the replicated log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccatack_core::JobName;
use yuccatack_dispatch::TableChange;
use yuccatack_queues::Configuration;
use yuccatack_runs::JobSubmission;

/// Payload of a log entry, which every replica applies to its state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Command {
    Submit(Box<JobSubmission>),
    Cancel {
        name: JobName,
        now_unix_ms: u64,
    },
    Configure(Arc<Configuration>),
    Change {
        changes: Vec<TableChange>,
        now_unix_ms: u64,
    },
    /// Removes ended jobs whose retention period is over.
    #[serde(rename = "Forget")]
    RemoveEnded(Vec<JobName>),
}
