//! Logs, metrics, health endpoint and the service-level burn report.
//!
//! Logs are JSON lines with a stable event name each; `docs/logs.md` lists the names. Metrics have
//! one struct per duty; `docs/metrics.md` lists them. A process role starts [`Telemetry`], which
//! serves them over HTTP together with its health.

pub mod burn;
pub mod logging;
pub mod metrics;
mod process;
mod server;

pub use burn::{BurnReport, BurnReporter};
pub use logging::{LogDestination, Logging, LoggingError, init_logging};
pub use metrics::Metrics;
pub use process::Telemetry;
pub use server::{MetricsServer, MetricsServerError, Readiness};
