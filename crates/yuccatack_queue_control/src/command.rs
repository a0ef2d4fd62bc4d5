//! Commands of the replicated log.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use yuccatack_core::{DataCentreName, JobName, NodeName};
use yuccatack_dispatch::TableChange;
use yuccatack_progress::EstimateRecord;
use yuccatack_queues::Configuration;
use yuccatack_replication::ProposalClass;
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
    /// Orders that nothing more starts in a data centre.
    Evacuate {
        data_centre: DataCentreName,
    },
    /// Withdraws the evacuation of a data centre.
    Readmit {
        data_centre: DataCentreName,
    },
    /// Stores changed estimates of machine speeds and removes those of machines that are gone.
    StoreSpeeds {
        changed: Vec<EstimateRecord>,
        removed: Vec<NodeName>,
    },
}

impl Command {
    /// Returns the class by which the replicated log refuses the command while disks are full.
    pub fn class(&self) -> ProposalClass {
        match self {
            // Estimates of speeds only order choices, so that they can wait for space.
            Self::Submit(_) | Self::Configure(_) | Self::StoreSpeeds { .. } => {
                ProposalClass::Growth
            }
            // Runs that end, cancellations and removals free space, and so does work that goes on.
            // Evacuations take a few bytes, and a full disk must not keep work in a failing data centre.
            Self::Cancel { .. }
            | Self::Change { .. }
            | Self::RemoveEnded(_)
            | Self::Evacuate { .. }
            | Self::Readmit { .. } => ProposalClass::Essential,
        }
    }
}
