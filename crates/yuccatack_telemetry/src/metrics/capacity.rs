//! Metrics of accelerators and workers, at the control leader.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use yuccatack_core::prelude::*;

use super::WorkerHealth;
use super::catalogue::register;
use super::labels::NameLabel;

/// Metrics of accelerators and workers.
#[derive(Clone, Debug)]
pub struct CapacityMetrics {
    free_accelerators: Family<DataCentreLabels, Gauge>,
    fragmentation: Gauge<f64, AtomicU64>,
    workers: Family<WorkerLabels, Gauge>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct DataCentreLabels {
    data_centre: NameLabel<DataCentreName>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct WorkerLabels {
    data_centre: NameLabel<DataCentreName>,
    health: WorkerHealth,
}

impl CapacityMetrics {
    pub(super) fn register(registry: &mut Registry) -> Self {
        Self {
            free_accelerators: register(registry, "free_accelerators", Family::default()),
            fragmentation: register(registry, "fragmentation", Gauge::default()),
            workers: register(registry, "workers", Family::default()),
        }
    }

    /// Sets the number of free accelerators in a data centre.
    pub fn set_free_accelerators(&self, data_centre: &DataCentreName, accelerator_count: u32) {
        let labels = DataCentreLabels { data_centre: NameLabel(data_centre.clone()) };
        self.free_accelerators.get_or_create(&labels).set(accelerator_count.into());
    }

    /// Sets the share of free accelerators that cannot serve the demanded and guaranteed shapes.
    pub fn set_fragmentation(&self, ratio: f64) {
        self.fragmentation.set(ratio);
    }

    /// Sets the number of workers in a data centre with the given health.
    pub fn set_workers(
        &self,
        data_centre: &DataCentreName,
        health: WorkerHealth,
        worker_count: u32,
    ) {
        let labels = WorkerLabels { data_centre: NameLabel(data_centre.clone()), health };
        self.workers.get_or_create(&labels).set(worker_count.into());
    }
}
