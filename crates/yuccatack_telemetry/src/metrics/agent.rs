//! Metrics of an agent's calls to its minion.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::RequestOutcome;
use super::catalogue::register;

/// Metrics of calls to the minion and of its slots and connections.
#[derive(Clone, Debug)]
pub struct AgentMetrics {
    slots_in_use: Gauge,
    connections_open: Gauge,
    calls: Family<CallLabels, Counter>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct CallLabels {
    outcome: RequestOutcome,
}

impl AgentMetrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        Self {
            slots_in_use: register(registry, "minion_slots_in_use", Gauge::default()),
            connections_open: register(registry, "minion_connections_open", Gauge::default()),
            calls: register(registry, "minion_calls", Family::default()),
        }
    }

    /// Sets the number of slots that run a request.
    pub fn set_slots_in_use(&self, slot_count: u32) {
        self.slots_in_use.set(slot_count.into());
    }

    /// Sets the number of open connections to the minion.
    pub fn set_connections_open(&self, connection_count: u32) {
        self.connections_open.set(connection_count.into());
    }

    /// Counts a call that ended.
    pub fn count_call(&self, outcome: RequestOutcome) {
        self.calls.get_or_create(&CallLabels { outcome }).inc();
    }
}
