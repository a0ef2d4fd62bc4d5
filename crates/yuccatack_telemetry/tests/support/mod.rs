//! Helpers that create objectives and events for the tests of the burn report.

// Not every test file uses all helpers.
#![allow(dead_code, clippy::unwrap_used)]

use std::time::Duration;

use yuccatack_core::prelude::*;
use yuccatack_records::{Indicator, ObjectiveRecord};
use yuccatack_telemetry::Metrics;
use yuccatack_telemetry::metrics::{RequestLabels, RequestOutcome};

pub fn organisation(name: &str) -> OrganisationName {
    OrganisationName::new(name).unwrap()
}

/// Returns the objective that 99% of the requests to `rankings` complete within 500 ms, for every
/// organisation.
pub fn fast_rankings() -> ObjectiveRecord {
    ObjectiveRecord {
        name: RecordName::new("fast-rankings").unwrap(),
        organisation: None,
        indicator: Indicator::RequestLatency(ServiceName::new("rankings").unwrap()),
        target_ratio: 0.99,
        threshold_ms: 500,
    }
}

pub fn seconds(seconds: u64) -> TimestampMs {
    TimestampMs::new(seconds * 1000)
}

/// Records `count` requests of one organisation to `rankings`.
pub fn observe(
    metrics: &Metrics,
    name: &str,
    outcome: RequestOutcome,
    latency_ms: u64,
    count: u32,
) {
    let labels = RequestLabels {
        organisation: organisation(name),
        service: ServiceName::new("rankings").unwrap(),
        class: PriorityClass::Urgent,
    };
    for _ in 0..count {
        metrics.requests.observe(&labels, outcome, Duration::from_millis(latency_ms));
    }
}

#[track_caller]
pub fn assert_close(actual: f64, expected: f64) {
    assert!((actual - expected).abs() < 1e-6, "expected {expected}, got {actual}");
}
