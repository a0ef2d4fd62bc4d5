//! Logs, metrics, health endpoint and the service-level burn report.
