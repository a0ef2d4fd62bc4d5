//! Errors of the agent process.

use std::net::SocketAddr;

use snafu::Snafu;

/// Reason why the agent ended before it had drained.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum AgentError {
    /// The listen address is in use or not on this machine.
    #[snafu(display(
        "cannot listen on {address}: {source}; free the address or change `listen_address`"
    ))]
    Listen {
        /// Value of the setting `listen_address`.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The server for entries failed.
    #[snafu(display("the server for entries failed: {source}; restart the agent"))]
    Serve {
        /// Error of the gRPC server.
        source: tonic::transport::Error,
    },
    /// The metrics server did not start.
    #[snafu(display("{source}"))]
    Metrics {
        /// Error of the metrics server, with its address.
        source: yuccatack_telemetry::MetricsServerError,
    },
    /// The process was aborted before the drain completed.
    #[snafu(display(
        "aborted during the drain with {attempt_count} attempts still running; their outcome is \
         unknown to callers; raise `drain_limit_ms` if the attempts only needed more time"
    ))]
    Aborted {
        /// Number of attempts that were still running.
        attempt_count: usize,
    },
}
