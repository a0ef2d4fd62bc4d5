//! Metrics of requests, at an entry.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use yuccatack_core::prelude::*;

use super::catalogue::register;
use super::labels::{ClassLabel, NameLabel};
use super::{ObjectiveMetrics, RequestOutcome};

/// Upper bounds of the latency buckets: 1 ms to 30 s, with a finer resolution in the range in which
/// callers notice a difference.
const LATENCY_BUCKETS_S: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0];

/// Metrics of requests.
#[derive(Clone, Debug)]
pub struct RequestMetrics {
    requests: Family<OutcomeLabels, Counter>,
    latency: Family<LatencyLabels, Histogram, fn() -> Histogram>,
    in_flight: Family<ServiceLabels, Gauge>,
    retries: Family<ServiceLabels, Counter>,
    objectives: ObjectiveMetrics,
}

/// Labels under which a request is counted.
#[derive(Clone, Debug)]
pub struct RequestLabels {
    /// Organisation that sent the request.
    pub organisation: OrganisationName,
    /// Service that handles the request.
    pub service: ServiceName,
    /// Priority class of the request.
    pub class: PriorityClass,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct OutcomeLabels {
    organisation: NameLabel<OrganisationName>,
    service: NameLabel<ServiceName>,
    class: ClassLabel,
    outcome: RequestOutcome,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct LatencyLabels {
    organisation: NameLabel<OrganisationName>,
    service: NameLabel<ServiceName>,
    class: ClassLabel,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct ServiceLabels {
    service: NameLabel<ServiceName>,
}

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_S)
}

impl RequestMetrics {
    pub(super) fn register(registry: &mut Registry, objectives: ObjectiveMetrics) -> Self {
        let latency = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        Self {
            requests: register(registry, "requests", Family::default()),
            latency: register(registry, "request_latency", latency),
            in_flight: register(registry, "requests_in_flight", Family::default()),
            retries: register(registry, "request_retries", Family::default()),
            objectives,
        }
    }

    /// Counts a request that reached its outcome `latency` after its arrival.
    pub fn observe(&self, labels: &RequestLabels, outcome: RequestOutcome, latency: Duration) {
        let completed_after = (outcome == RequestOutcome::Completed).then_some(latency);
        if outcome != RequestOutcome::Invalid {
            let (organisation, service) = (&labels.organisation, &labels.service);
            self.objectives.observe_request(organisation, service, completed_after);
        }
        let organisation = NameLabel(labels.organisation.clone());
        let service = NameLabel(labels.service.clone());
        let class = ClassLabel(labels.class);
        if let Some(latency) = completed_after {
            let labels = LatencyLabels {
                organisation: organisation.clone(),
                service: service.clone(),
                class,
            };
            self.latency.get_or_create(&labels).observe(latency.as_secs_f64());
        }
        let labels = OutcomeLabels { organisation, service, class, outcome };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a request for `service` as in flight until the returned guard is dropped.
    pub fn start(&self, service: &ServiceName) -> InFlightRequest {
        let labels = ServiceLabels { service: NameLabel(service.clone()) };
        let gauge = self.in_flight.get_or_create(&labels).clone();
        gauge.inc();
        InFlightRequest { gauge }
    }

    /// Counts an attempt after the first one of a request.
    pub fn count_retry(&self, service: &ServiceName) {
        let labels = ServiceLabels { service: NameLabel(service.clone()) };
        self.retries.get_or_create(&labels).inc();
    }
}

/// Guard that counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightRequest {
    gauge: Gauge,
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}
