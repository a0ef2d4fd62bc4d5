//! Schema version 1: number of GPUs instead of tasks, minutes and percentages.

use serde::Deserialize;
use yuccatack_core::prelude::*;

use super::checks::{
    Checker, DEFAULT_CORES_MILLI_PER_ACCELERATOR, DEFAULT_MEMORY_BYTES_PER_ACCELERATOR, MAX_COUNT,
    MAX_RUN_TIME_S, MAX_TASK_COUNT,
};
use super::v2_membership::{MembershipV2, ReplicaV2};
use crate::problem::RecordProblem;
use crate::record::{
    GuaranteeRecord, Indicator, JobRecord, MembershipRecord, ObjectiveRecord, OrganisationRecord,
    PolicyRecord, ServiceRecord,
};

/// Number of GPUs per task. Version 1 has no tasks: up to this many GPUs become one task, more
/// become several tasks of this size.
const GPUS_PER_TASK: u32 = 8;
/// Maximum number of GPUs, which is that of [`MAX_TASK_COUNT`] tasks.
const MAX_GPU_COUNT: u32 = GPUS_PER_TASK * MAX_TASK_COUNT;

/// Document of an organisation in schema version 1.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OrganisationV1 {
    name: Option<String>,
    gpu_quota: Option<u32>,
    weight: Option<u32>,
    requests_per_minute: Option<u32>,
    requests_in_flight: Option<u32>,
}

impl TryFrom<OrganisationV1> for OrganisationRecord {
    type Error = Vec<RecordProblem>;

    fn try_from(wire: OrganisationV1) -> Result<Self, Self::Error> {
        let mut checker = Checker::default();
        let name = checker.required_name("name", wire.name);
        let quota = checker.required_range("gpu_quota", wire.gpu_quota, 0, MAX_COUNT);
        let weight = checker.range("weight", wire.weight.or(Some(1)), 1, 1_000_000);
        let rate = wire.requests_per_minute.or(Some(6_000));
        let rate = checker.range("requests_per_minute", rate, 1, MAX_COUNT);
        let concurrency = wire.requests_in_flight.or(Some(100));
        let concurrency = checker.range("requests_in_flight", concurrency, 1, MAX_COUNT);
        let record = (|| {
            Some(Self {
                name: name?,
                accelerator_quota_count: quota?,
                fair_share_weight: weight?,
                // Rounded up, so that a rate below one request per second does not become 0.
                request_rate_per_s: rate?.div_ceil(60),
                request_concurrency_count: concurrency?,
            })
        })();
        checker.finish(record)
    }
}

/// Converts a number of GPUs to a shape, and reports a number that has none.
fn shape_from_gpus(checker: &mut Checker, gpus: Option<u32>) -> Option<Shape> {
    let gpus = checker.required_range("gpus", gpus, 1, MAX_GPU_COUNT)?;
    if gpus > GPUS_PER_TASK && !gpus.is_multiple_of(GPUS_PER_TASK) {
        checker.report_inconsistent(
            "gpus",
            format!(
                "{gpus} is more than {GPUS_PER_TASK} and not a multiple of it; use a multiple, or \
                 write the record in schema version 2 with `tasks` and `accelerators_per_task`"
            ),
        );
        return None;
    }
    let (task_count, accelerator_count, adjacency) = if gpus <= GPUS_PER_TASK {
        (1, gpus, Adjacency::Worker)
    } else {
        (gpus / GPUS_PER_TASK, GPUS_PER_TASK, Adjacency::DataCentre)
    };
    let task = Resources {
        cores_milli: u64::from(accelerator_count) * DEFAULT_CORES_MILLI_PER_ACCELERATOR,
        memory_bytes: u64::from(accelerator_count) * DEFAULT_MEMORY_BYTES_PER_ACCELERATOR,
        accelerator_count,
    };
    Some(Shape { task_count, task, adjacency })
}

/// Document of a guarantee in schema version 1.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GuaranteeV1 {
    name: Option<String>,
    organisation: Option<String>,
    gpus: Option<u32>,
    copies: Option<u32>,
    data_centre: Option<String>,
}

impl TryFrom<GuaranteeV1> for GuaranteeRecord {
    type Error = Vec<RecordProblem>;

    fn try_from(wire: GuaranteeV1) -> Result<Self, Self::Error> {
        let mut checker = Checker::default();
        let name = checker.required_name("name", wire.name);
        let organisation = checker.required_name("organisation", wire.organisation);
        let shape = shape_from_gpus(&mut checker, wire.gpus);
        let copies = checker.range("copies", wire.copies.or(Some(1)), 1, 1_000_000);
        let data_centre = checker.name("data_centre", wire.data_centre);
        let record = (|| {
            Some(Self {
                name: name?,
                organisation: organisation?,
                shape: shape?,
                shape_count: copies?,
                data_centres: data_centre.into_iter().collect(),
            })
        })();
        checker.finish(record)
    }
}

/// Document of a job in schema version 1.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct JobV1 {
    name: Option<String>,
    organisation: Option<String>,
    gpus: Option<u32>,
    run_time_minutes: Option<u64>,
    class: Option<String>,
    rerunnable: bool,
    checkpoints: bool,
    command: Option<String>,
}

impl TryFrom<JobV1> for JobRecord {
    type Error = Vec<RecordProblem>;

    fn try_from(wire: JobV1) -> Result<Self, Self::Error> {
        let mut checker = Checker::default();
        let name = checker.required_name("name", wire.name);
        let organisation = checker.required_name("organisation", wire.organisation);
        let shape = shape_from_gpus(&mut checker, wire.gpus);
        let class = wire.class.unwrap_or_else(|| "standard".to_owned());
        let class = checker.priority_class("class", &class);
        let minutes = checker.required_range(
            "run_time_minutes",
            wire.run_time_minutes,
            1,
            MAX_RUN_TIME_S / 60,
        );
        // The command of version 1 is one string without quoting rules, split at white space;
        // version 2 has a list of arguments.
        let command = wire.command.unwrap_or_default();
        let command = command.split_whitespace().map(str::to_owned).collect();
        let record = (|| {
            Some(Self {
                name: name?,
                organisation: organisation?,
                shape: shape?,
                class: class?,
                declared_run_time_s: minutes? * 60,
                idempotent: wire.rerunnable,
                checkpointable: wire.checkpoints,
                command,
            })
        })();
        checker.finish(record)
    }
}

/// Document of a policy in schema version 1.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicyV1 {
    name: Option<String>,
    completion_percent: Option<u32>,
    reserve_workers: Option<u32>,
}

impl TryFrom<PolicyV1> for PolicyRecord {
    type Error = Vec<RecordProblem>;

    fn try_from(wire: PolicyV1) -> Result<Self, Self::Error> {
        let mut checker = Checker::default();
        let name = checker.required_name("name", wire.name);
        let percent = checker.required_range("completion_percent", wire.completion_percent, 0, 100);
        let reserve = wire.reserve_workers.or(Some(0));
        let reserve = checker.range("reserve_workers", reserve, 0, 100_000);
        let record = (|| {
            Some(Self {
                name: name?,
                completion_weight: f64::from(percent?) / 100.0,
                fragmentation_weight: f64::from(100 - percent?) / 100.0,
                reserve_worker_count: reserve?,
            })
        })();
        checker.finish(record)
    }
}

/// Document of a service in schema version 1.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceV1 {
    name: Option<String>,
    slots: Option<u32>,
    connections: Option<u32>,
    queue: Option<u32>,
    timeout_seconds: Option<u64>,
}

impl TryFrom<ServiceV1> for ServiceRecord {
    type Error = Vec<RecordProblem>;

    fn try_from(wire: ServiceV1) -> Result<Self, Self::Error> {
        let mut checker = Checker::default();
        let name = checker.required_name("name", wire.name);
        let slots = checker.range("slots", wire.slots.or(Some(8)), 1, 65_536);
        let connections = checker.range("connections", wire.connections.or(Some(64)), 1, 65_536);
        let queue = checker.range("queue", wire.queue.or(Some(1_000)), 0, 1_000_000);
        let timeout = wire.timeout_seconds.or(Some(30));
        let timeout = checker.range("timeout_seconds", timeout, 1, 86_400);
        if let (Some(slots), Some(connections)) = (slots, connections)
            && connections < slots
        {
            checker.report_inconsistent(
                "connections",
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
                default_deadline_ms: timeout? * 1000,
            })
        })();
        checker.finish(record)
    }
}

/// Document of an objective in schema version 1.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ObjectiveV1 {
    name: Option<String>,
    organisation: Option<String>,
    measure: Option<String>,
    of: Option<String>,
    target_percent: Option<f64>,
    threshold_seconds: Option<f64>,
}

impl TryFrom<ObjectiveV1> for ObjectiveRecord {
    type Error = Vec<RecordProblem>;

    fn try_from(wire: ObjectiveV1) -> Result<Self, Self::Error> {
        let mut checker = Checker::default();
        let name = checker.required_name("name", wire.name);
        let organisation = checker.name("organisation", wire.organisation);
        let measure = checker.required("measure", wire.measure);
        let of = checker.required("of", wire.of);
        let indicator =
            measure.zip(of).and_then(|(measure, of)| check_indicator(&mut checker, &measure, of));
        let target =
            checker.required_range("target_percent", wire.target_percent, 0.000_1, 99.999_9);
        let max_threshold_s = f64::from(u32::try_from(MAX_RUN_TIME_S).unwrap_or(u32::MAX));
        let threshold = checker.required_range(
            "threshold_seconds",
            wire.threshold_seconds,
            0.001,
            max_threshold_s,
        );
        let record = (|| {
            Some(Self {
                name: name?,
                organisation,
                indicator: indicator?,
                target_ratio: target? / 100.0,
                // The range check above excludes overflow; rounding changes the value by at most
                // half a millisecond.
                threshold_ms: (threshold? * 1000.0).round() as u64,
            })
        })();
        checker.finish(record)
    }
}

fn check_indicator(checker: &mut Checker, measure: &str, of: String) -> Option<Indicator> {
    let known = [("request_latency", 0), ("job_start", 1), ("guarantee_reclaim", 2)];
    match checker.one_of("measure", measure, &known)? {
        0 => checker.name("of", Some(of)).map(Indicator::RequestLatency),
        1 => checker.priority_class("of", &of).map(Indicator::JobStart),
        _ => checker.name("of", Some(of)).map(Indicator::GuaranteeReclaim),
    }
}

/// Document of the membership in schema version 1: one string `id@IP:port` per replica.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipV1 {
    name: Option<String>,
    replicas: Option<Vec<String>>,
}

impl TryFrom<MembershipV1> for MembershipRecord {
    type Error = Vec<RecordProblem>;

    fn try_from(wire: MembershipV1) -> Result<Self, Self::Error> {
        let mut checker = Checker::default();
        let mut replicas = Vec::new();
        for (index, text) in wire.replicas.iter().flatten().enumerate() {
            let parts = text.split_once('@');
            let parts = parts.and_then(|(id, address)| Some((id.parse().ok()?, address)));
            let Some((replica_id, address)) = parts else {
                checker.report_inconsistent(
                    &format!("replicas[{index}]"),
                    format!("`{text}` is not `id@IP:port`; write for example 1@10.0.0.1:7100"),
                );
                continue;
            };
            replicas.push(ReplicaV2 { replica_id, address: address.to_owned() });
        }
        let replicas = wire.replicas.is_some().then_some(replicas);
        let converted = Self::try_from(MembershipV2 { name: wire.name, replicas });
        match converted {
            Ok(record) => checker.finish(Some(record)),
            Err(problems) => {
                problems.into_iter().for_each(|problem| checker.report(problem));
                checker.finish(None)
            }
        }
    }
}
