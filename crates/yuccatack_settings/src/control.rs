//! Settings of the control role.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

/// One control replica as the others know it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaSettings {
    /// The number of the replica; unique for the life of the deployment.
    pub replica_id: u64,
    /// Where the replica answers the system's own processes.
    pub address: SocketAddr,
}

/// Settings of a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// The name of this process.
    pub node: NodeName,
    /// The data centre that this process runs in.
    pub data_centre: DataCentreName,
    /// The number of this replica.
    pub replica_id: u64,
    /// Where this replica answers the system's own processes.
    pub listen_address: SocketAddr,
    /// Where this replica answers the heartbeats of workers over HTTP.
    pub worker_address: SocketAddr,
    /// Where metrics and health are served.
    pub metrics_address: Option<SocketAddr>,
    /// The folder that holds all durable state.
    pub data_folder: PathBuf,
    /// The voters with which a new deployment starts.
    pub initial_replicas: Vec<ReplicaSettings>,
    /// How often a leader sends a heartbeat.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// The shortest election timeout; the longest is twice as long.
    #[serde(default = "default_election_timeout_ms")]
    pub election_timeout_ms: u64,
    /// How long request claims are kept.
    #[serde(default = "default_claim_age_limit_ms")]
    pub claim_age_limit_ms: u64,
    /// How many request claims are kept.
    #[serde(default = "default_claim_count_limit")]
    pub claim_count_limit: u64,
    /// How many log entries are kept before a snapshot replaces them.
    #[serde(default = "default_snapshot_entry_count")]
    pub snapshot_entry_count: u64,
    /// How long a graceful shutdown may take.
    #[serde(default = "default_drain_limit_ms")]
    pub drain_limit_ms: u64,
}

fn default_heartbeat_ms() -> u64 {
    50
}

fn default_election_timeout_ms() -> u64 {
    250
}

fn default_claim_age_limit_ms() -> u64 {
    24 * 60 * 60 * 1000
}

fn default_claim_count_limit() -> u64 {
    1_000_000
}

fn default_snapshot_entry_count() -> u64 {
    10_000
}

fn default_drain_limit_ms() -> u64 {
    10_000
}
