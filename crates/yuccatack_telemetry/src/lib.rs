//! Logs, metrics, health endpoint and the burn report of service-level objectives.
//!
//! Log lines are JSON objects, each with a stable event name; `docs/logs.md` lists the names.
//! Metrics have one struct per area of responsibility; `docs/metrics.md` lists them. A process role
//! starts [`Telemetry`], which serves the metrics and the health of the process over HTTP.

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
