//! What operators' commands and an entry send each other over HTTP.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// What a change does.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Operation {
    /// Brings a record that is not in force.
    Submit,
    /// Replaces a record that is in force.
    Change,
    /// Takes a record out of force.
    Withdraw,
}

/// The body of `POST /v1/changes`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ChangeRequest {
    pub(crate) change_id: String,
    pub(crate) operation: Operation,
    pub(crate) replaces_generation: u64,
    pub(crate) record: Value,
}

/// The response to a change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub(crate) enum ChangeAnswer {
    /// The change is logged and comes into force.
    Accepted { generation: u64, revision: u64 },
    /// The change has no effect.
    Refused {
        kind: String,
        message: String,
        #[serde(default)]
        current_generation: Option<u64>,
    },
}

/// The response of `GET /v1/changes/{id}`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub(crate) struct ChangeStatus {
    pub(crate) known: bool,
    #[serde(default)]
    pub(crate) answer: Option<ChangeAnswer>,
    #[serde(default)]
    pub(crate) in_force_everywhere: bool,
    #[serde(default)]
    pub(crate) missing_nodes: Vec<String>,
}

/// A record with what the system keeps about it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoredRecord {
    pub(crate) kind: String,
    pub(crate) name: String,
    pub(crate) generation: u64,
    pub(crate) revision: u64,
    pub(crate) record: Value,
}

/// The response of `GET /v1/records/{kind}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RecordList {
    pub(crate) records: Vec<StoredRecord>,
}
