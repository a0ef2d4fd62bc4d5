//! Counts of refused requests and closed connections.

use std::fmt;

use hyper::StatusCode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;

/// Reason for which a request was refused or a connection was closed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Refusal {
    /// The body exceeds its limit.
    BodyTooLarge,
    /// The body ended early or broke the protocol.
    BodyBroken,
    /// The body has too many fields or is nested too deeply.
    TooManyFields,
    /// The body arrived too slowly.
    BodySlow,
    /// The head did not arrive in time.
    HeaderSlow,
    /// The client read the response too slowly.
    ResponseSlow,
    /// The budget had no room, and no stalled connection could be closed.
    NoMemory,
    /// The maximum number of connections was reached, and none could be closed.
    NoConnection,
    /// A stalled connection was closed to make room for others.
    Stalled,
}

impl Refusal {
    pub(crate) const ALL: [Self; 9] = [
        Self::BodyTooLarge,
        Self::BodyBroken,
        Self::TooManyFields,
        Self::BodySlow,
        Self::HeaderSlow,
        Self::ResponseSlow,
        Self::NoMemory,
        Self::NoConnection,
        Self::Stalled,
    ];

    /// Returns the name in metrics and log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::BodyTooLarge => "body_too_large",
            Self::BodyBroken => "body_broken",
            Self::TooManyFields => "too_many_fields",
            Self::BodySlow => "body_slow",
            Self::HeaderSlow => "header_slow",
            Self::ResponseSlow => "response_slow",
            Self::NoMemory => "no_memory",
            Self::NoConnection => "no_connection",
            Self::Stalled => "stalled",
        }
    }

    /// Returns the status of the response to a request that is refused for this reason.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken | Self::TooManyFields => StatusCode::BAD_REQUEST,
            Self::BodySlow | Self::HeaderSlow | Self::ResponseSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NoMemory | Self::NoConnection | Self::Stalled => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Labels of the counter of refusals.
#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
pub struct RefusalLabels {
    reason: Refusal,
}

impl EncodeLabelValue for Refusal {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        EncodeLabelValue::encode(&self.name(), encoder)
    }
}

/// Metrics of the HTTP servers of a process; clones share the values.
#[derive(Clone, Debug, Default)]
pub struct HttpMetrics {
    /// Refused requests and closed connections by reason.
    pub refusals: Family<RefusalLabels, Counter>,
    /// Open connections.
    pub connections: Gauge,
    /// Reserved bytes of the budget.
    pub reserved_bytes: Gauge,
}

impl HttpMetrics {
    /// Counts a refusal.
    pub fn count(&self, reason: Refusal) {
        self.refusals.get_or_create(&RefusalLabels { reason }).inc();
    }

    /// Returns the number of refusals for a reason.
    pub fn refusal_count(&self, reason: Refusal) -> u64 {
        self.refusals.get_or_create(&RefusalLabels { reason }).get()
    }
}
