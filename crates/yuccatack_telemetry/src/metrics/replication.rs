//! Metrics of the replicated log, at a control replica.

use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::catalogue::register;

/// Upper bounds of the buckets of commit latencies: a disk sync and a round trip take milliseconds,
/// an election up to a second.
const COMMIT_BUCKETS_S: [f64; 11] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0];

/// Metrics of the replicated log.
#[derive(Clone, Debug)]
pub struct ReplicationMetrics {
    commit_latency: Histogram,
    leader_changes: Counter,
    is_leader: Gauge,
    committed_index: Gauge,
    disk_full: Gauge,
    refused_proposals: Counter,
}

impl ReplicationMetrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        let commit_latency = Histogram::new(COMMIT_BUCKETS_S);
        Self {
            commit_latency: register(registry, "commit_latency", commit_latency),
            leader_changes: register(registry, "leader_changes", Counter::default()),
            is_leader: register(registry, "is_leader", Gauge::default()),
            committed_index: register(registry, "committed_index", Gauge::default()),
            disk_full: register(registry, "disk_full", Gauge::default()),
            refused_proposals: register(registry, "refused_proposals", Counter::default()),
        }
    }

    /// Records the time from a proposal to its commit.
    pub fn observe_commit(&self, latency: Duration) {
        self.commit_latency.observe(latency.as_secs_f64());
    }

    /// Counts a change of leader and records whether this replica is the new leader.
    pub fn count_leader_change(&self, is_leader: bool) {
        self.leader_changes.inc();
        self.is_leader.set(is_leader.into());
    }

    /// Sets the index of the last committed log entry.
    pub fn set_committed_index(&self, index: u64) {
        self.committed_index.set(index.try_into().unwrap_or(i64::MAX));
    }

    /// Records whether the disk of this replica is full.
    pub fn set_disk_full(&self, is_full: bool) {
        self.disk_full.set(is_full.into());
    }

    /// Counts a proposal that was refused for lack of space.
    pub fn count_refused_proposal(&self) {
        self.refused_proposals.inc();
    }
}
