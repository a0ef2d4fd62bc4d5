//! Errors of the entry process.

use std::net::SocketAddr;

use snafu::Snafu;

/// Why the entry ended otherwise than by a completed drain.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EntryError {
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
    /// The metrics are not served.
    #[snafu(display("{source}"))]
    Metrics {
        /// Why.
        source: yuccatack_telemetry::MetricsServerError,
    },
    /// The process was ended before the drain completed.
    #[snafu(display(
        "ended during the drain with {request_count} requests in flight; their callers must take the \
         outcome as unknown; raise `drain_limit_ms` if they only needed longer"
    ))]
    Aborted {
        /// The requests that were left.
        request_count: u32,
    },
}
