//! Guards against changed names or labels of metrics, and against metrics that `docs/metrics.md`
//! does not list.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::Duration;

use support::{fast_rankings, observe, organisation};
use yuccatack_core::prelude::*;
use yuccatack_telemetry::Metrics;
use yuccatack_telemetry::metrics::{
    CATALOGUE, CallOutcome, JobOutcome, JobPhase, MetricDescription, MetricType, RequestOutcome,
    RunEndKind, WorkerHealth,
};

/// Returns metrics of which each has a value.
fn populated_metrics() -> Metrics {
    let metrics = Metrics::new();
    let selangor = organisation("selangor");
    let service = ServiceName::new("rankings").unwrap();
    let data_centre = DataCentreName::new("putrajaya").unwrap();
    let urgent = PriorityClass::Urgent;
    metrics.objectives.set_objectives(&[fast_rankings()], std::slice::from_ref(&selangor));
    observe(&metrics, "selangor", RequestOutcome::Completed, 20, 1);
    let _in_flight = metrics.requests.start(&service);
    metrics.requests.count_retry(&service);
    metrics.agent.set_slots_in_use(1);
    metrics.agent.set_connections_open(1);
    metrics.agent.count_call(RequestOutcome::Completed);
    metrics.jobs.set_jobs(urgent, JobPhase::Waiting, 1);
    metrics.jobs.count_outcome(&selangor, urgent, JobOutcome::Succeeded);
    metrics.jobs.observe_start(&selangor, urgent, DurationMs::new(1));
    metrics.jobs.observe_reclaim(&RecordName::new("selangor-8").unwrap(), DurationMs::new(1));
    metrics.capacity.set_free_accelerators(&data_centre, 1);
    metrics.capacity.set_fragmentation(0.5);
    metrics.capacity.set_workers(&data_centre, WorkerHealth::Healthy, 1);
    metrics.replication.observe_commit(Duration::from_millis(1));
    metrics.replication.count_leader_change(true);
    metrics.replication.set_committed_index(1);
    metrics.replication.set_disk_full(true);
    metrics.replication.count_refused_proposal();
    metrics.view.set_age(Duration::from_millis(1));
    metrics.view.set_revision(Revision::new(1));
    metrics.view.set_nodes_not_in_force(1);
    metrics.queues.observe_call(CallOutcome::Served, Duration::from_millis(1));
    metrics.queues.count_run_end(RunEndKind::Done);
    metrics.queues.set_open_runs(1);
    metrics.queues.set_stored_bytes(1);
    metrics.queues.count_evictions(1);
    metrics.queues.set_agents(1);
    metrics.queues.set_slow_image_pairs(1);
    metrics.queues.set_slow_machines(1);
    metrics.queues.count_order();
    metrics
}

const fn type_name(metric_type: MetricType) -> &'static str {
    match metric_type {
        MetricType::Counter => "counter",
        MetricType::Gauge => "gauge",
        MetricType::Histogram => "histogram",
    }
}

/// Returns the row of a metric in the table on the page.
fn row(metric: &MetricDescription) -> String {
    let labels: Vec<String> = metric.labels.iter().map(|label| format!("`{label}`")).collect();
    let (name, kind, help) = (metric.name(), type_name(metric.metric_type), metric.help);
    format!("| `{name}` | {kind} | {} | {help} |", labels.join(", "))
}

#[test]
fn page_lists_metrics() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/metrics.md");
    let page = std::fs::read_to_string(path).unwrap();
    let found: Vec<&str> = page.lines().filter(|line| line.starts_with("| `yuccatack_")).collect();
    let expected: Vec<String> = CATALOGUE.iter().map(row).collect();
    assert!(found == expected, "docs/metrics.md must have these rows:\n{}", expected.join("\n"));
}

#[test]
fn types_match_catalogue() {
    let text = populated_metrics().encode().unwrap();
    let mut found = BTreeMap::new();
    for line in text.lines().filter_map(|line| line.strip_prefix("# TYPE ")) {
        let (name, metric_type) = line.split_once(' ').unwrap();
        found.insert(name.to_owned(), metric_type.to_owned());
    }
    let expected: BTreeMap<String, String> = CATALOGUE
        .iter()
        .map(|metric| (metric.name(), type_name(metric.metric_type).to_owned()))
        .collect();
    assert_eq!(found, expected);
}

#[test]
fn labels_match_catalogue() {
    let text = populated_metrics().encode().unwrap();
    for metric in CATALOGUE {
        let name = metric.name();
        let sample = match metric.metric_type {
            MetricType::Counter => format!("{name}_total"),
            MetricType::Gauge => name.clone(),
            MetricType::Histogram => format!("{name}_sum"),
        };
        let is_sample = |line: &&str| {
            line.strip_prefix(&sample).is_some_and(|rest| rest.starts_with(['{', ' ']))
        };
        let line = text.lines().find(is_sample).unwrap_or_else(|| panic!("{sample} has no value"));
        let labels = line.split_once('{').and_then(|(_, rest)| rest.split_once('}'));
        let labels: BTreeSet<&str> = labels
            .map(|(labels, _)| labels.split(',').map(|label| label.split('=').next().unwrap()))
            .into_iter()
            .flatten()
            .collect();
        let expected: BTreeSet<&str> = metric.labels.iter().copied().collect();
        assert_eq!(labels, expected, "labels of {name}");
    }
}
