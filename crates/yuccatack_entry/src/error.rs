//! Errors of the entry process.

use std::net::SocketAddr;

use snafu::Snafu;

/// An error that ends the entry before its drain has completed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum EntryError {
    /// The listening address cannot be bound.
    #[snafu(display(
        "cannot listen on {address}: {source}; free the address or change `listen_address`"
    ))]
    Listen {
        /// Address from the setting `listen_address`.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The metrics server did not start.
    #[snafu(display("{source}"))]
    Metrics {
        /// Error of the metrics server, which names the address.
        source: yuccatack_telemetry::MetricsServerError,
    },
    /// The drain was aborted while requests were in flight.
    #[snafu(display(
        "ended during the drain with {request_count} requests in flight; their callers must take \
         the outcome as unknown; raise `drain_limit_ms` if they only needed longer"
    ))]
    Aborted {
        /// Number of requests that were in flight when the drain was aborted.
        request_count: u32,
    },
}
