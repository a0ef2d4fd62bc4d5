//! Errors of the agent process.

use std::net::SocketAddr;

use snafu::Snafu;

/// Why the agent ended otherwise than by a completed drain.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum AgentError {
    /// The listening address is not available.
    #[snafu(display(
        "cannot listen on {address}: {source}; free the address or change `listen_address`"
    ))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The server for entries failed.
    #[snafu(display("the server for entries failed: {source}; restart the agent"))]
    Serve {
        /// The cause.
        source: tonic::transport::Error,
    },
    /// The metrics are not served.
    #[snafu(display("{source}"))]
    Metrics {
        /// Why.
        source: yuccatack_telemetry::MetricsServerError,
    },
    /// The process was ended before the drain completed.
    #[snafu(display(
        "ended during the drain with {attempt_count} attempts still running; their outcome is \
         unknown to callers; raise `drain_limit_ms` if they only needed longer"
    ))]
    Aborted {
        /// The attempts that were left.
        attempt_count: usize,
    },
}
