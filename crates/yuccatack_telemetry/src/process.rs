//! Metrics, readiness and burn report of a process.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;
use yuccatack_lifecycle::Shutdown;

use crate::{BurnReport, BurnReporter, Metrics, MetricsServer, MetricsServerError, Readiness};

/// Handle to the metrics, readiness and burn report of a process; clones share them.
#[derive(Clone, Debug)]
pub struct Telemetry {
    /// Metrics that the parts of the process update.
    pub metrics: Metrics,
    /// Readiness of the process; not ready at first.
    pub readiness: watch::Sender<Readiness>,
    /// Latest burn report; empty until the first sample.
    pub burn_reports: watch::Receiver<Arc<BurnReport>>,
}

impl Telemetry {
    /// Creates telemetry that is neither sampled nor served, for tests and for roles that share a
    /// process.
    pub fn without_server() -> Self {
        let metrics = Metrics::new();
        let (_, burn_reports) = BurnReporter::new(metrics.objectives.clone());
        Self { metrics, readiness: watch::Sender::new(Readiness::default()), burn_reports }
    }

    /// Starts sampling objectives and, with an address, serving metrics, health and the report.
    ///
    /// The tasks end when the process aborts.
    pub async fn start(
        address: Option<SocketAddr>,
        shutdown: Shutdown,
    ) -> Result<Self, MetricsServerError> {
        let metrics = Metrics::new();
        let (readiness, receiver) = watch::channel(Readiness::default());
        let (reporter, burn_reports) = BurnReporter::new(metrics.objectives.clone());
        if let Some(address) = address {
            let server = MetricsServer::bind(address, metrics.clone(), receiver).await?;
            let server = server.with_burn_reports(burn_reports.clone());
            tokio::spawn(server.run(shutdown.clone()));
        }
        tokio::spawn(reporter.run(shutdown));
        Ok(Self { metrics, readiness, burn_reports })
    }

    /// Marks the process as ready if `reasons` is empty, otherwise as not ready.
    ///
    /// Cheap enough to call on every change of state: an unchanged readiness notifies no receiver.
    pub fn set_readiness(&self, reasons: Vec<String>) {
        let readiness = Readiness { ready: reasons.is_empty(), reasons };
        self.readiness.send_if_modified(|current| {
            let changed = *current != readiness;
            if changed {
                *current = readiness;
            }
            changed
        });
    }
}
