//! Metrics, one struct per area of responsibility.
//!
//! Names of organisations, services and guarantees become labels. Callers pass only names for which
//! a record exists, so that the number of time series is bounded by the number of records.

mod agent;
mod capacity;
mod catalogue;
mod jobs;
mod labels;
mod objectives;
mod queues;
mod replication;
mod requests;
mod view;

use std::fmt;
use std::sync::Arc;

use prometheus_client::encoding::text;
use prometheus_client::registry::Registry;
use yuccatack_http::HttpMetrics;

pub use agent::AgentMetrics;
pub use capacity::CapacityMetrics;
pub use catalogue::{CATALOGUE, MetricDescription, MetricType, MetricUnit};
pub use jobs::JobMetrics;
pub(crate) use labels::class_name;
pub use labels::{CallOutcome, JobOutcome, JobPhase, RequestOutcome, RunEndKind, WorkerHealth};
pub use objectives::ObjectiveMetrics;
pub use queues::QueueMetrics;
pub use replication::ReplicationMetrics;
pub use requests::{InFlightRequest, RequestLabels, RequestMetrics};
pub use view::ViewMetrics;

use catalogue::register;

/// Prefix of every metric name.
const PREFIX: &str = "yuccatack";

/// All metrics of a process; clones share the values.
#[derive(Clone)]
pub struct Metrics {
    /// Requests, at an entry.
    pub requests: RequestMetrics,
    /// Calls to the minion, at an agent.
    pub agent: AgentMetrics,
    /// Jobs and guarantees, at the control leader.
    pub jobs: JobMetrics,
    /// Accelerators and workers, at the control leader.
    pub capacity: CapacityMetrics,
    /// Replicated log, at a control replica.
    pub replication: ReplicationMetrics,
    /// Read view, at entries and agents; its propagation, at the control leader.
    pub view: ViewMetrics,
    /// Queues: calls at entries, jobs and runs at the control leader, orders at agents.
    pub queues: QueueMetrics,
    /// Good events and all events of each objective, for the burn report.
    pub objectives: ObjectiveMetrics,
    /// Refusals, connections and memory of the HTTP servers.
    pub http: HttpMetrics,
    registry: Arc<Registry>,
}

impl Metrics {
    /// Content type of the text that [`Self::encode`] returns.
    pub const CONTENT_TYPE: &'static str =
        "application/openmetrics-text; version=1.0.0; charset=utf-8";

    /// Creates and registers all metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let objectives = ObjectiveMetrics::register(&mut registry);
        let requests = RequestMetrics::register(&mut registry, objectives.clone());
        let agent = AgentMetrics::register(&mut registry);
        let jobs = JobMetrics::register(&mut registry, objectives.clone());
        let capacity = CapacityMetrics::register(&mut registry);
        let replication = ReplicationMetrics::register(&mut registry);
        let view = ViewMetrics::register(&mut registry);
        let queues = QueueMetrics::register(&mut registry);
        let http = register_http(&mut registry);
        let registry = Arc::new(registry);
        Self {
            requests,
            agent,
            jobs,
            capacity,
            replication,
            view,
            queues,
            objectives,
            http,
            registry,
        }
    }

    /// Encodes all values in the OpenMetrics text format.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        text::encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

fn register_http(registry: &mut Registry) -> HttpMetrics {
    let metrics = HttpMetrics::default();
    register(registry, "http_refusals", metrics.refusals.clone());
    register(registry, "http_connections", metrics.connections.clone());
    register(registry, "http_reserved_bytes", metrics.reserved_bytes.clone());
    metrics
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for Metrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Metrics").finish_non_exhaustive()
    }
}
