//! Metrics of the read view.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use yuccatack_core::Revision;

use super::catalogue::register;

/// Metrics of the read view.
#[derive(Clone, Debug)]
pub struct ViewMetrics {
    age: Gauge<f64, AtomicU64>,
    revision: Gauge,
    nodes_not_in_force: Gauge,
}

impl ViewMetrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        Self {
            age: register(registry, "view_age", Gauge::default()),
            revision: register(registry, "view_revision", Gauge::default()),
            nodes_not_in_force: register(registry, "nodes_not_in_force", Gauge::default()),
        }
    }

    /// Sets the time since the view was last confirmed to be fresh.
    pub fn set_age(&self, age: Duration) {
        self.age.set(age.as_secs_f64());
    }

    /// Sets the revision that this process applies.
    pub fn set_revision(&self, revision: Revision) {
        self.revision.set(revision.get().try_into().unwrap_or(i64::MAX));
    }

    /// Sets the number of nodes that have not confirmed the latest revision.
    pub fn set_nodes_not_in_force(&self, node_count: u32) {
        self.nodes_not_in_force.set(node_count.into());
    }
}
