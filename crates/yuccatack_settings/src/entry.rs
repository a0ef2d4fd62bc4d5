//! Settings of the entry role.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The name of this process.
    pub node: NodeName,
    /// The data centre that this process runs in.
    pub data_centre: DataCentreName,
    /// Where callers and operators connect over HTTP.
    pub listen_address: SocketAddr,
    /// Where metrics and health are served.
    pub metrics_address: Option<SocketAddr>,
    /// The control replicas.
    pub control_addresses: Vec<SocketAddr>,
    /// How long a graceful shutdown may take.
    #[serde(default = "default_drain_limit_ms")]
    pub drain_limit_ms: u64,
    /// The largest request body that is accepted.
    #[serde(default = "default_body_limit_bytes")]
    pub body_limit_bytes: u64,
    /// How long a caller may take to send its request.
    #[serde(default = "default_receive_limit_ms")]
    pub receive_limit_ms: u64,
}

fn default_drain_limit_ms() -> u64 {
    30_000
}

fn default_body_limit_bytes() -> u64 {
    16 * 1024 * 1024
}

fn default_receive_limit_ms() -> u64 {
    10_000
}
