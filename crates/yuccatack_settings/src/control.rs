//! Settings of the control role, as stored in the settings file.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

/// Identity and peer address of a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicaSettings {
    /// Identifier of the replica, unique for the life of the deployment. A replacement gets a new
    /// one.
    pub replica_id: u64,
    /// Address at which the replica serves other processes of the system.
    pub address: SocketAddr,
}

/// Settings of a control replica, which holds the replicated state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Name of this process.
    pub node: NodeName,
    /// Data centre that this process runs in.
    pub data_centre: DataCentreName,
    /// Identifier of this replica, which is one of `initial_replicas`.
    pub replica_id: u64,
    /// Listen address for other processes of the system.
    pub listen_address: SocketAddr,
    /// Listen address for the heartbeats of workers, over HTTP.
    pub worker_address: SocketAddr,
    /// Listen address of the metrics and health endpoint; `None` disables it.
    pub metrics_address: Option<SocketAddr>,
    /// Absolute path of the folder that holds all durable state.
    pub data_folder: PathBuf,
    /// Initial voters of a new deployment; the list is the same on each of them.
    pub initial_replicas: Vec<ReplicaSettings>,
    /// Interval between the heartbeats of a leader.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Minimum election timeout; the maximum is twice as long. At least three times `heartbeat_ms`.
    #[serde(default = "default_election_timeout_ms")]
    pub election_timeout_ms: u64,
    /// Retention period of request claims; an older key is refused.
    #[serde(default = "default_claim_age_limit_ms")]
    pub claim_age_limit_ms: u64,
    /// Maximum number of request claims that are retained.
    #[serde(default = "default_claim_count_limit")]
    pub claim_count_limit: u64,
    /// Number of log entries after which a snapshot replaces them.
    #[serde(default = "default_snapshot_entry_count")]
    pub snapshot_entry_count: u64,
    /// Size of the disk that holds `data_folder`, or the part of it that the folder may use.
    #[serde(default = "default_disk_limit_bytes")]
    pub disk_limit_bytes: u64,
    /// Maximum duration of a graceful shutdown.
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

fn default_disk_limit_bytes() -> u64 {
    1024 * 1024 * 1024
}

fn default_drain_limit_ms() -> u64 {
    10_000
}
