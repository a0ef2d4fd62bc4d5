//! Settings of the entry role, as stored in the settings file.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

/// Settings of an entry, which accepts requests of callers and operators over HTTP.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of this process.
    pub node: NodeName,
    /// Data centre that this process runs in.
    pub data_centre: DataCentreName,
    /// Listen address for callers and operators, over HTTP.
    pub listen_address: SocketAddr,
    /// Listen address of the metrics and health endpoint; `None` disables it.
    pub metrics_address: Option<SocketAddr>,
    /// Addresses of the control replicas, in any order.
    pub control_addresses: Vec<SocketAddr>,
    /// Maximum duration of a graceful shutdown.
    #[serde(default = "default_drain_limit_ms")]
    pub drain_limit_ms: u64,
    /// Maximum size of a request body.
    #[serde(default = "default_body_limit_bytes")]
    pub body_limit_bytes: u64,
    /// Maximum time for a caller to send its whole request.
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
