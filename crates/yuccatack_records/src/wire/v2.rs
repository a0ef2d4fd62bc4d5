//! Schema version 2: tasks and accelerators, units in the key names, lists of data centres.

use serde::Deserialize;
use yuccatack_core::prelude::*;

use super::checks::{
    Checker, DEFAULT_CORES_MILLI_PER_ACCELERATOR, DEFAULT_MEMORY_BYTES_PER_ACCELERATOR,
    MAX_ACCELERATORS_PER_TASK, MAX_CORES_MILLI, MAX_COUNT, MAX_MEMORY_BYTES, MAX_RUN_TIME_S,
    MAX_TASK_COUNT,
};
use crate::problem::RecordProblem;
use crate::record::{
    GuaranteeRecord, Indicator, JobRecord, ObjectiveRecord, OrganisationRecord, PolicyRecord,
    ServiceRecord,
};

/// Document of an organisation in schema version 2.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OrganisationV2 {
    name: Option<String>,
    accelerator_quota_count: Option<u32>,
    fair_share_weight: Option<u32>,
    request_rate_per_s: Option<u32>,
    request_concurrency_count: Option<u32>,
}

impl TryFrom<OrganisationV2> for OrganisationRecord {
    type Error = Vec<RecordProblem>;

    fn try_from(wire: OrganisationV2) -> Result<Self, Self::Error> {
        let mut checker = Checker::default();
        let name = checker.required_name("name", wire.name);
        let quota = checker.required_range(
            "accelerator_quota_count",
            wire.accelerator_quota_count,
            0,
            MAX_COUNT,
        );
        let weight = wire.fair_share_weight.or(Some(1));
        let weight = checker.range("fair_share_weight", weight, 1, 1_000_000);
        let rate = wire.request_rate_per_s.or(Some(100));
        let rate = checker.range("request_rate_per_s", rate, 1, MAX_COUNT);
        let concurrency = wire.request_concurrency_count.or(Some(100));
        let concurrency = checker.range("request_concurrency_count", concurrency, 1, MAX_COUNT);
        let record = (|| {
            Some(Self {
                name: name?,
                accelerator_quota_count: quota?,
                fair_share_weight: weight?,
                request_rate_per_s: rate?,
                request_concurrency_count: concurrency?,
            })
        })();
        checker.finish(record)
    }
}

/// The keys of a shape, which jobs and guarantees have in common.
struct ShapeFields {
    tasks: Option<u32>,
    accelerators_per_task: Option<u32>,
    cores_milli_per_task: Option<u64>,
    memory_bytes_per_task: Option<u64>,
    adjacency: Option<String>,
}

impl ShapeFields {
    fn check(self, checker: &mut Checker) -> Option<Shape> {
        let task_count = checker.required_range("tasks", self.tasks, 1, MAX_TASK_COUNT);
        let accelerator_count = checker.required_range(
            "accelerators_per_task",
            self.accelerators_per_task,
            1,
            MAX_ACCELERATORS_PER_TASK,
        );
        let default_count = u64::from(accelerator_count.unwrap_or(1));
        let cores_milli =
            self.cores_milli_per_task.or(Some(default_count * DEFAULT_CORES_MILLI_PER_ACCELERATOR));
        let cores_milli = checker.range("cores_milli_per_task", cores_milli, 0, MAX_CORES_MILLI);
        let memory_bytes = self
            .memory_bytes_per_task
            .or(Some(default_count * DEFAULT_MEMORY_BYTES_PER_ACCELERATOR));
        let memory_bytes =
            checker.range("memory_bytes_per_task", memory_bytes, 0, MAX_MEMORY_BYTES);
        let known = [
            ("worker", Adjacency::Worker),
            ("rack", Adjacency::Rack),
            ("data_centre", Adjacency::DataCentre),
        ];
        let adjacency = self.adjacency.unwrap_or_else(|| "data_centre".to_owned());
        let adjacency = checker.one_of("adjacency", &adjacency, &known);
        Some(Shape {
            task_count: task_count?,
            task: Resources {
                cores_milli: cores_milli?,
                memory_bytes: memory_bytes?,
                accelerator_count: accelerator_count?,
            },
            adjacency: adjacency?,
        })
    }
}

/// Document of a guarantee in schema version 2.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GuaranteeV2 {
    name: Option<String>,
    organisation: Option<String>,
    tasks: Option<u32>,
    accelerators_per_task: Option<u32>,
    cores_milli_per_task: Option<u64>,
    memory_bytes_per_task: Option<u64>,
    adjacency: Option<String>,
    shape_count: Option<u32>,
    data_centres: Vec<String>,
}

impl TryFrom<GuaranteeV2> for GuaranteeRecord {
    type Error = Vec<RecordProblem>;

    fn try_from(wire: GuaranteeV2) -> Result<Self, Self::Error> {
        let mut checker = Checker::default();
        let name = checker.required_name("name", wire.name);
        let organisation = checker.required_name("organisation", wire.organisation);
        let fields = ShapeFields {
            tasks: wire.tasks,
            accelerators_per_task: wire.accelerators_per_task,
            cores_milli_per_task: wire.cores_milli_per_task,
            memory_bytes_per_task: wire.memory_bytes_per_task,
            adjacency: wire.adjacency,
        };
        let shape = fields.check(&mut checker);
        let shape_count = checker.range("shape_count", wire.shape_count.or(Some(1)), 1, 1_000_000);
        let data_centres = check_data_centres(&mut checker, wire.data_centres);
        let record = (|| {
            Some(Self {
                name: name?,
                organisation: organisation?,
                shape: shape?,
                shape_count: shape_count?,
                data_centres,
            })
        })();
        checker.finish(record)
    }
}

/// Returns the valid data centres, and reports invalid and repeated ones.
fn check_data_centres(checker: &mut Checker, texts: Vec<String>) -> Vec<DataCentreName> {
    let mut names = Vec::new();
    for (index, text) in texts.into_iter().enumerate() {
        let field = format!("data_centres[{index}]");
        let Some(name) = checker.name::<DataCentreName>(&field, Some(text)) else { continue };
        if names.contains(&name) {
            let entry = name.to_string();
            let field = "data_centres".to_owned();
            checker.report(RecordProblem::DuplicateEntry { field, entry });
            continue;
        }
        names.push(name);
    }
    names
}

/// Document of a job in schema version 2.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct JobV2 {
    name: Option<String>,
    organisation: Option<String>,
    tasks: Option<u32>,
    accelerators_per_task: Option<u32>,
    cores_milli_per_task: Option<u64>,
    memory_bytes_per_task: Option<u64>,
    adjacency: Option<String>,
    class: Option<String>,
    declared_run_time_s: Option<u64>,
    idempotent: bool,
    checkpointable: bool,
    command: Vec<String>,
}

impl TryFrom<JobV2> for JobRecord {
    type Error = Vec<RecordProblem>;

    fn try_from(wire: JobV2) -> Result<Self, Self::Error> {
        let mut checker = Checker::default();
        let name = checker.required_name("name", wire.name);
        let organisation = checker.required_name("organisation", wire.organisation);
        let fields = ShapeFields {
            tasks: wire.tasks,
            accelerators_per_task: wire.accelerators_per_task,
            cores_milli_per_task: wire.cores_milli_per_task,
            memory_bytes_per_task: wire.memory_bytes_per_task,
            adjacency: wire.adjacency,
        };
        let shape = fields.check(&mut checker);
        let class = wire.class.unwrap_or_else(|| "standard".to_owned());
        let class = checker.priority_class("class", &class);
        let declared_run_time_s = checker.required_range(
            "declared_run_time_s",
            wire.declared_run_time_s,
            1,
            MAX_RUN_TIME_S,
        );
        let record = (|| {
            Some(Self {
                name: name?,
                organisation: organisation?,
                shape: shape?,
                class: class?,
                declared_run_time_s: declared_run_time_s?,
                idempotent: wire.idempotent,
                checkpointable: wire.checkpointable,
                command: wire.command,
            })
        })();
        checker.finish(record)
    }
}

/// Document of a policy in schema version 2.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicyV2 {
    name: Option<String>,
    completion_weight: Option<f64>,
    fragmentation_weight: Option<f64>,
    reserve_worker_count: Option<u32>,
}

impl TryFrom<PolicyV2> for PolicyRecord {
    type Error = Vec<RecordProblem>;

    fn try_from(wire: PolicyV2) -> Result<Self, Self::Error> {
        let mut checker = Checker::default();
        let name = checker.required_name("name", wire.name);
        let completion =
            checker.required_range("completion_weight", wire.completion_weight, 0.0, 1e6);
        let fragmentation =
            checker.required_range("fragmentation_weight", wire.fragmentation_weight, 0.0, 1e6);
        if completion == Some(0.0) && fragmentation == Some(0.0) {
            checker.report_inconsistent("completion_weight", "both weights are 0; make one larger");
        }
        let reserve = wire.reserve_worker_count.or(Some(0));
        let reserve = checker.range("reserve_worker_count", reserve, 0, 100_000);
        let record = (|| {
            Some(Self {
                name: name?,
                completion_weight: completion?,
                fragmentation_weight: fragmentation?,
                reserve_worker_count: reserve?,
            })
        })();
        checker.finish(record)
    }
}

/// Document of a service in schema version 2.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceV2 {
    name: Option<String>,
    slot_count: Option<u32>,
    connection_count: Option<u32>,
    queue_length_count: Option<u32>,
    default_deadline_ms: Option<u64>,
}

impl TryFrom<ServiceV2> for ServiceRecord {
    type Error = Vec<RecordProblem>;

    fn try_from(wire: ServiceV2) -> Result<Self, Self::Error> {
        let mut checker = Checker::default();
        let name = checker.required_name("name", wire.name);
        let slots = checker.range("slot_count", wire.slot_count.or(Some(8)), 1, 65_536);
        let connections = wire.connection_count.or(Some(64));
        let connections = checker.range("connection_count", connections, 1, 65_536);
        let queue = wire.queue_length_count.or(Some(1_000));
        let queue = checker.range("queue_length_count", queue, 0, 1_000_000);
        let deadline = wire.default_deadline_ms.or(Some(30_000));
        let deadline = checker.range("default_deadline_ms", deadline, 1, 86_400_000);
        if let (Some(slots), Some(connections)) = (slots, connections)
            && connections < slots
        {
            checker.report_inconsistent(
                "connection_count",
                format!(
                    "{connections} connections cannot serve {slots} slots; use at least as many"
                ),
            );
        }
        let record = (|| {
            Some(Self {
                name: name?,
                slot_count: slots?,
                connection_count: connections?,
                queue_length_count: queue?,
                default_deadline_ms: deadline?,
            })
        })();
        checker.finish(record)
    }
}

/// Indicator of an objective in schema version 2; exactly one key is set.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct IndicatorV2 {
    request_latency: Option<String>,
    job_start: Option<String>,
    guarantee_reclaim: Option<String>,
}

impl IndicatorV2 {
    fn check(self, checker: &mut Checker) -> Option<Indicator> {
        match (self.request_latency, self.job_start, self.guarantee_reclaim) {
            (Some(service), None, None) => checker
                .name("indicator.request_latency", Some(service))
                .map(Indicator::RequestLatency),
            (None, Some(class), None) => {
                checker.priority_class("indicator.job_start", &class).map(Indicator::JobStart)
            }
            (None, None, Some(guarantee)) => checker
                .name("indicator.guarantee_reclaim", Some(guarantee))
                .map(Indicator::GuaranteeReclaim),
            _ => {
                checker.report_inconsistent(
                    "indicator",
                    "give exactly one of `request_latency`, `job_start`, `guarantee_reclaim`",
                );
                None
            }
        }
    }
}

/// Document of an objective in schema version 2.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ObjectiveV2 {
    name: Option<String>,
    organisation: Option<String>,
    indicator: Option<IndicatorV2>,
    target_ratio: Option<f64>,
    threshold_ms: Option<u64>,
}

impl TryFrom<ObjectiveV2> for ObjectiveRecord {
    type Error = Vec<RecordProblem>;

    fn try_from(wire: ObjectiveV2) -> Result<Self, Self::Error> {
        let mut checker = Checker::default();
        let name = checker.required_name("name", wire.name);
        let organisation = checker.name("organisation", wire.organisation);
        let indicator = checker.required("indicator", wire.indicator);
        let indicator = indicator.and_then(|indicator| indicator.check(&mut checker));
        let target =
            checker.required_range("target_ratio", wire.target_ratio, 0.000_001, 0.999_999);
        let threshold =
            checker.required_range("threshold_ms", wire.threshold_ms, 1, MAX_RUN_TIME_S * 1000);
        let record = (|| {
            Some(Self {
                name: name?,
                organisation,
                indicator: indicator?,
                target_ratio: target?,
                threshold_ms: threshold?,
            })
        })();
        checker.finish(record)
    }
}
