//! JSON bodies of the requests and responses between operator commands and an entry.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Effect of a change on its record.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Operation {
    /// Creates a record that is not in force yet.
    Submit,
    /// Replaces a record that is in force.
    Change,
    /// Takes a record out of force.
    Withdraw,
}

/// Body of `POST /v1/changes`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ChangeRequest {
    pub(crate) change_id: String,
    pub(crate) operation: Operation,
    pub(crate) replaces_generation: u64,
    pub(crate) record: Value,
}

/// Response to a change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub(crate) enum ChangeResponse {
    /// The change is committed and comes into force.
    Accepted { generation: u64, revision: u64 },
    /// The change has no effect.
    Refused {
        kind: String,
        message: String,
        #[serde(default)]
        current_generation: Option<u64>,
    },
}

/// Response of `GET /v1/changes/{id}`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub(crate) struct ChangeStatus {
    pub(crate) known: bool,
    #[serde(default)]
    pub(crate) answer: Option<ChangeResponse>,
    #[serde(default)]
    pub(crate) in_force_everywhere: bool,
    #[serde(default)]
    pub(crate) missing_nodes: Vec<String>,
}

/// Record with its version, as an entry returns it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoredRecord {
    pub(crate) kind: String,
    pub(crate) name: String,
    pub(crate) generation: u64,
    pub(crate) revision: u64,
    pub(crate) record: Value,
}

/// Response of `GET /v1/records/{kind}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RecordList {
    pub(crate) records: Vec<StoredRecord>,
}

/// Evacuated data centres, as a control replica lists them.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct EvacuationList {
    pub(crate) data_centres: Vec<String>,
}
