//! Metrics of queues: calls at entries, jobs and runs at the control leader, orders at agents.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::catalogue::register;
use super::labels::{CallOutcome, RunEndKind};

/// Upper bounds of the latency buckets: 1 ms to 5 s, which is longer than any call may take.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0];

/// Metrics of queues.
#[derive(Clone, Debug)]
pub struct QueueMetrics {
    calls: Family<CallLabels, Counter>,
    call_latency: Histogram,
    run_ends: Family<EndLabels, Counter>,
    open_runs: Gauge,
    stored_bytes: Gauge,
    evictions: Counter,
    agents: Gauge,
    slow_image_pairs: Gauge,
    slow_machines: Gauge,
    orders: Counter,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct CallLabels {
    outcome: CallOutcome,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct EndLabels {
    end: RunEndKind,
}

impl QueueMetrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        let latency = Histogram::new(LATENCY_BUCKETS_S);
        Self {
            calls: register(registry, "queue_calls", Family::default()),
            call_latency: register(registry, "queue_call_latency", latency),
            run_ends: register(registry, "run_ends", Family::default()),
            open_runs: register(registry, "open_runs", Gauge::default()),
            stored_bytes: register(registry, "stored_job_bytes", Gauge::default()),
            evictions: register(registry, "run_evictions", Counter::default()),
            agents: register(registry, "agents_attached", Gauge::default()),
            slow_image_pairs: register(registry, "slow_image_pairs", Gauge::default()),
            slow_machines: register(registry, "slow_machines", Gauge::default()),
            orders: register(registry, "worker_orders", Counter::default()),
        }
    }

    /// Counts a call of a consumer and records the time until its response.
    pub fn observe_call(&self, outcome: CallOutcome, latency: Duration) {
        self.calls.get_or_create(&CallLabels { outcome }).inc();
        self.call_latency.observe(latency.as_secs_f64());
    }

    /// Counts a run that ended.
    pub fn count_run_end(&self, end: RunEndKind) {
        self.run_ends.get_or_create(&EndLabels { end }).inc();
    }

    /// Sets the number of runs that may exist.
    pub fn set_open_runs(&self, count: usize) {
        self.open_runs.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the estimated bytes of the stored jobs.
    pub fn set_stored_bytes(&self, bytes: u64) {
        self.stored_bytes.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Counts runs that were requested to stop for more urgent jobs, or to leave a worker that
    /// hangs.
    pub fn count_evictions(&self, count: u64) {
        self.evictions.inc_by(count);
    }

    /// Sets the number of agents whose stream to the control leader is open.
    pub fn set_agents(&self, count: usize) {
        self.agents.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the number of pairs of images of which one is known to slow the other.
    pub fn set_slow_image_pairs(&self, count: usize) {
        self.slow_image_pairs.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the number of machines that are known to be slower than the typical one.
    pub fn set_slow_machines(&self, count: usize) {
        self.slow_machines.set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a start or stop request that was sent to the worker.
    pub fn count_order(&self) {
        self.orders.inc();
    }
}
