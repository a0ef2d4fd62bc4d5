//! Everything that a process role needs to report on itself.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::watch;
use yuccatack_lifecycle::Shutdown;

use crate::{BurnReport, BurnReporter, Metrics, MetricsServer, MetricsServerError, Readiness};

/// The metrics of a process, with the tasks that serve them.
#[derive(Clone, Debug)]
pub struct Telemetry {
    /// Where the duties of the process count.
    pub metrics: Metrics,
    /// Where the process states whether it can do its work; not ready at first.
    pub readiness: watch::Sender<Readiness>,
    /// The newest burn report.
    pub burn_reports: watch::Receiver<Arc<BurnReport>>,
}

impl Telemetry {
    /// Telemetry that nobody samples or serves, for tests and for roles that share a process.
    pub fn without_server() -> Self {
        let metrics = Metrics::new();
        let (_, burn_reports) = BurnReporter::new(metrics.objectives.clone());
        Self { metrics, readiness: watch::Sender::new(Readiness::default()), burn_reports }
    }

    /// Starts to sample objectives and, with an address, to serve metrics, health and the report.
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

    /// States that the process can do its work, or why it cannot.
    ///
    /// Cheap enough to call on every change of state: an unchanged statement wakes nobody.
    pub fn set_readiness(&self, reasons: Vec<String>) {
        let stated = Readiness { ready: reasons.is_empty(), reasons };
        self.readiness.send_if_modified(|current| {
            let changed = *current != stated;
            if changed {
                *current = stated;
            }
            changed
        });
    }
}
