//! Builders of specifications for tests.

use yuccatack_core::prelude::*;
use yuccatack_leases::*;

pub const GIB: u64 = 1 << 30;

pub fn resources(accelerator_count: u32) -> Resources {
    let count = u64::from(accelerator_count);
    Resources { cores_milli: 4_000 * count, memory_bytes: 16 * GIB * count, accelerator_count }
}

pub fn shape(task_count: u32, accelerator_count: u32, adjacency: Adjacency) -> Shape {
    Shape { task_count, task: resources(accelerator_count), adjacency }
}

pub fn job_name(name: &str) -> JobName {
    JobName::new(name).unwrap()
}

pub fn organisation(name: &str) -> OrganisationName {
    OrganisationName::new(name).unwrap()
}

pub fn job(name: &str, owner: &str, shape: Shape) -> JobSpec {
    JobSpec {
        name: job_name(name),
        organisation: organisation(owner),
        shape,
        class: PriorityClass::Standard,
        declared_run_time_s: 5,
        idempotent: true,
        checkpointable: true,
        command: vec!["run".to_owned()],
    }
}

pub fn guarantee(name: &str, owner: &str, shape: Shape, shape_count: u32) -> GuaranteeSpec {
    GuaranteeSpec {
        name: RecordName::new(name).unwrap(),
        organisation: organisation(owner),
        shape,
        shape_count,
        data_centres: Vec::new(),
    }
}

pub fn worker(
    number: usize,
    data_centre: usize,
    rack: usize,
    accelerators: u32,
) -> WorkerRegistration {
    WorkerRegistration {
        worker: WorkerName::new(&format!("worker-{number}")).unwrap(),
        incarnation: Incarnation::new(1 + number as u64),
        data_centre: DataCentreName::new(&format!("centre-{data_centre}")).unwrap(),
        rack: RackName::new(&format!("rack-{rack}")).unwrap(),
        resources: resources(accelerators),
    }
}

/// Returns `count` workers with 8 accelerators each, three to a rack, with the racks spread over
/// the data centres.
pub fn workers(count: usize, data_centres: usize) -> Vec<WorkerRegistration> {
    (0..count).map(|number| worker(number, number / 3 % data_centres, number / 3, 8)).collect()
}

/// Returns the seeds of a randomised run: from 1 unless `YUCCATACK_SEED` and `YUCCATACK_SEED_COUNT`
/// set others.
pub fn seeds(default_count: u64) -> Vec<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("YUCCATACK_SEED").unwrap_or(1);
    let count = number("YUCCATACK_SEED_COUNT").unwrap_or(default_count);
    (first..first + count).collect()
}
