//! Settings of the agent role.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

/// Settings of an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The name of this process.
    pub node: NodeName,
    /// The data centre that this process runs in.
    pub data_centre: DataCentreName,
    /// The service that the minion belongs to.
    pub service: ServiceName,
    /// The name of the minion.
    pub minion: MinionName,
    /// Where the minion answers HTTP.
    pub minion_address: SocketAddr,
    /// Where this agent accepts attempts from entries.
    pub listen_address: SocketAddr,
    /// Where metrics and health are served.
    pub metrics_address: Option<SocketAddr>,
    /// The control replicas.
    pub control_addresses: Vec<SocketAddr>,
    /// How many requests the minion runs at once.
    #[serde(default = "default_slot_count")]
    pub slot_count: u32,
    /// How many connections the minion takes.
    #[serde(default = "default_connection_count")]
    pub connection_count: u32,
    /// How long a graceful shutdown may take.
    #[serde(default = "default_drain_limit_ms")]
    pub drain_limit_ms: u64,
    /// The largest answer that is passed on.
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
