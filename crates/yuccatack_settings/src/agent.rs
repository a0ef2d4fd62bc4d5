//! Settings of the agent role, as stored in the settings file.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

/// Settings of an agent, which forwards attempts to a single minion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Name of this process.
    pub node: NodeName,
    /// Data centre that this process runs in.
    pub data_centre: DataCentreName,
    /// Service that the minion belongs to.
    pub service: ServiceName,
    /// Name of the minion that this agent serves.
    pub minion: MinionName,
    /// Address of the HTTP server of the minion.
    pub minion_address: SocketAddr,
    /// Listen address for attempts from entries; it is advertised to them unchanged.
    pub listen_address: SocketAddr,
    /// Listen address of the metrics and health endpoint; `None` disables it.
    pub metrics_address: Option<SocketAddr>,
    /// Addresses of the control replicas, in any order.
    pub control_addresses: Vec<SocketAddr>,
    /// Maximum number of requests that the minion executes concurrently.
    #[serde(default = "default_slot_count")]
    pub slot_count: u32,
    /// Maximum number of connections to the minion; at least `slot_count`.
    #[serde(default = "default_connection_count")]
    pub connection_count: u32,
    /// Maximum duration of a graceful shutdown.
    #[serde(default = "default_drain_limit_ms")]
    pub drain_limit_ms: u64,
    /// Maximum size of a response body that is forwarded to the entry.
    #[serde(default = "default_body_limit_bytes")]
    pub body_limit_bytes: u64,
}

fn default_slot_count() -> u32 {
    8
}

fn default_connection_count() -> u32 {
    64
}

fn default_drain_limit_ms() -> u64 {
    30_000
}

fn default_body_limit_bytes() -> u64 {
    16 * 1024 * 1024
}
