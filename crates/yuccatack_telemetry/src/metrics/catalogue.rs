//! Catalogue of the metrics with their names, labels and help texts.

use prometheus_client::registry::{Metric, Registry, Unit};

/// Type of a metric in the text format.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MetricType {
    /// Value that only increases; the text format adds `_total` to its name.
    Counter,
    /// Value that increases and decreases.
    Gauge,
    /// Counts of observations by size; the text format adds `_bucket`, `_sum` and `_count`.
    Histogram,
}

/// Name, unit, type, labels and help text of one metric.
#[derive(Clone, Copy, Debug)]
pub struct MetricDescription {
    /// Name without the prefix and without the unit.
    pub base_name: &'static str,
    /// Unit, which ends the name unless it is [`MetricUnit::Count`].
    pub unit: MetricUnit,
    /// Type in the text format.
    pub metric_type: MetricType,
    /// Names of the labels.
    pub labels: &'static [&'static str],
    /// Help text, which `docs/metrics.md` repeats.
    pub help: &'static str,
}

/// Unit of a metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MetricUnit {
    /// Number of the things that the name states.
    Count,
    /// Seconds, with a fractional part.
    Seconds,
    /// Share from 0 to 1.
    Ratio,
}

impl MetricDescription {
    const fn new(
        base_name: &'static str,
        unit: MetricUnit,
        metric_type: MetricType,
        labels: &'static [&'static str],
        help: &'static str,
    ) -> Self {
        Self { base_name, unit, metric_type, labels, help }
    }

    /// Returns the full name as in the `# TYPE` line of the text format.
    pub fn name(&self) -> String {
        let prefix = super::PREFIX;
        match self.unit {
            MetricUnit::Count => format!("{prefix}_{}", self.base_name),
            MetricUnit::Seconds => format!("{prefix}_{}_seconds", self.base_name),
            MetricUnit::Ratio => format!("{prefix}_{}_ratio", self.base_name),
        }
    }
}

/// Registers `metric` with the description of `base_name` in the catalogue.
pub(super) fn register<M>(registry: &mut Registry, base_name: &'static str, metric: M) -> M
where
    M: Metric + Clone,
{
    let description = CATALOGUE.iter().find(|described| described.base_name == base_name);
    let (help, unit) =
        description.map_or(("", MetricUnit::Count), |described| (described.help, described.unit));
    let help = help.trim_end_matches('.');
    match unit {
        MetricUnit::Count => registry.register(base_name, help, metric.clone()),
        MetricUnit::Seconds => {
            registry.register_with_unit(base_name, help, Unit::Seconds, metric.clone());
        }
        MetricUnit::Ratio => {
            let unit = Unit::Other("ratio".to_owned());
            registry.register_with_unit(base_name, help, unit, metric.clone());
        }
    }
    metric
}

use MetricType::{Counter, Gauge, Histogram};
use MetricUnit::{Count, Ratio, Seconds};

/// All metrics, in the order of `docs/metrics.md`.
pub const CATALOGUE: &[MetricDescription] = &[
    MetricDescription::new(
        "requests",
        Count,
        Counter,
        &["organisation", "service", "class", "outcome"],
        "Requests that got their outcome, by `completed`, `not_run`, `invalid` or `unknown`.",
    ),
    MetricDescription::new(
        "request_latency",
        Seconds,
        Histogram,
        &["organisation", "service", "class"],
        "Time from the arrival of a request at the entry to its outcome, for completed requests.",
    ),
    MetricDescription::new(
        "requests_in_flight",
        Count,
        Gauge,
        &["service"],
        "Requests that wait for their outcome.",
    ),
    MetricDescription::new(
        "request_retries",
        Count,
        Counter,
        &["service"],
        "Attempts after the first one of a request, hedged ones included.",
    ),
    MetricDescription::new(
        "minion_slots_in_use",
        Count,
        Gauge,
        &[],
        "Slots of the minion that run a request.",
    ),
    MetricDescription::new(
        "minion_connections_open",
        Count,
        Gauge,
        &[],
        "Connections to the minion.",
    ),
    MetricDescription::new(
        "minion_calls",
        Count,
        Counter,
        &["outcome"],
        "Calls to the minion that ended.",
    ),
    MetricDescription::new(
        "jobs",
        Count,
        Gauge,
        &["class", "state"],
        "Jobs that have not ended, by state.",
    ),
    MetricDescription::new(
        "job_outcomes",
        Count,
        Counter,
        &["organisation", "class", "outcome"],
        "Jobs that ended, by `succeeded`, `failed`, `not_run`, `cancelled` or `unknown`.",
    ),
    MetricDescription::new(
        "job_start",
        Seconds,
        Histogram,
        &["organisation", "class"],
        "Time from the submission of a job to its first start.",
    ),
    MetricDescription::new(
        "guarantee_reclaim",
        Seconds,
        Histogram,
        &["guarantee"],
        "Time from a claim on a guarantee to the confirmed stop of its last borrower.",
    ),
    MetricDescription::new(
        "free_accelerators",
        Count,
        Gauge,
        &["data_centre"],
        "Accelerators of healthy workers that run nothing.",
    ),
    MetricDescription::new(
        "fragmentation",
        Ratio,
        Gauge,
        &[],
        "Share of the free accelerators that cannot serve the demanded and guaranteed shapes.",
    ),
    MetricDescription::new(
        "workers",
        Count,
        Gauge,
        &["data_centre", "health"],
        "Workers, by `healthy`, `quarantined` or `silent`.",
    ),
    MetricDescription::new(
        "commit_latency",
        Seconds,
        Histogram,
        &[],
        "Time from a proposal at the leader to its commit on a quorum.",
    ),
    MetricDescription::new(
        "leader_changes",
        Count,
        Counter,
        &[],
        "Times that this replica saw a new leader.",
    ),
    MetricDescription::new(
        "is_leader",
        Count,
        Gauge,
        &[],
        "1 while this replica leads, otherwise 0.",
    ),
    MetricDescription::new(
        "committed_index",
        Count,
        Gauge,
        &[],
        "Position of the last log entry known to be committed.",
    ),
    MetricDescription::new(
        "disk_full",
        Count,
        Gauge,
        &[],
        "1 while the disk of this replica takes no further bytes, otherwise 0.",
    ),
    MetricDescription::new(
        "refused_proposals",
        Count,
        Counter,
        &[],
        "Changes that the control leader refused for lack of disk space; nothing was stored.",
    ),
    MetricDescription::new(
        "view_age",
        Seconds,
        Gauge,
        &[],
        "Time since the view was last confirmed to be fresh; new work stops at 3 s.",
    ),
    MetricDescription::new(
        "view_revision",
        Count,
        Gauge,
        &[],
        "Revision that this process applies.",
    ),
    MetricDescription::new(
        "nodes_not_in_force",
        Count,
        Gauge,
        &[],
        "Nodes that have not confirmed the latest revision and are not known to be stopped.",
    ),
    MetricDescription::new(
        "objective_events",
        Count,
        Counter,
        &["objective", "organisation"],
        "Events that an objective covers.",
    ),
    MetricDescription::new(
        "objective_good_events",
        Count,
        Counter,
        &["objective", "organisation"],
        "Events among them that succeeded within the threshold of the objective.",
    ),
    MetricDescription::new(
        "queue_calls",
        Count,
        Counter,
        &["outcome"],
        "Calls of consumers, by `served`, `refused`, `later` (nothing was done) or `unknown`.",
    ),
    MetricDescription::new(
        "queue_call_latency",
        Seconds,
        Histogram,
        &[],
        "Time from the arrival of a consumer's call at the entry to its answer.",
    ),
    MetricDescription::new(
        "run_ends",
        Count,
        Counter,
        &["end"],
        "Runs that ended, at the control leader, by how they ended.",
    ),
    MetricDescription::new(
        "open_runs",
        Count,
        Gauge,
        &[],
        "Runs that may exist, at the control leader.",
    ),
    MetricDescription::new(
        "stored_job_bytes",
        Count,
        Gauge,
        &[],
        "Estimated bytes of the stored jobs, at the control leader.",
    ),
    MetricDescription::new(
        "run_evictions",
        Count,
        Counter,
        &[],
        "Runs that were told to give way to more urgent jobs, or to leave a worker that hangs.",
    ),
    MetricDescription::new(
        "agents_attached",
        Count,
        Gauge,
        &[],
        "Agents whose stream to the control leader is open.",
    ),
    MetricDescription::new(
        "slow_image_pairs",
        Count,
        Gauge,
        &[],
        "Images that the control leader knows to be slower beside another one, by pair.",
    ),
    MetricDescription::new(
        "slow_machines",
        Count,
        Gauge,
        &[],
        "Machines that are known to be slower than the typical one, at the control leader.",
    ),
    MetricDescription::new(
        "worker_orders",
        Count,
        Counter,
        &[],
        "Starts and stops that an agent sent to its worker.",
    ),
];
