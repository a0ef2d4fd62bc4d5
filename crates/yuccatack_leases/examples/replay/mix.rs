//! Seeded job arrivals of the two deployments.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccatack_core::prelude::*;
use yuccatack_leases::{GuaranteeSpec, JobSpec, WorkerRegistration};

/// Time during which jobs arrive.
pub const ARRIVAL_MS: u64 = 6 * 3_600_000;
const MINUTE_MS: u64 = 60_000;

/// Deployment whose mix of jobs is replayed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Deployment {
    /// Triathlon results: gangs within a data centre beside small jobs.
    Timing,
    /// Credit reviews: gangs mostly within a rack beside small jobs.
    Lending,
}

/// Arrival of a job, with its actual run time and the time of its cancellation, if any.
pub struct Arrival {
    pub at: u64,
    pub job: JobSpec,
    pub run_time_ms: u64,
    pub cancelled_at: Option<u64>,
}

/// Fault of one or several workers. Its times are in milliseconds since the start of the arrivals.
pub enum Fault {
    /// Every task on this worker fails from the first time until the second.
    Failing(usize, u64, u64),
    /// These workers are powered off from the first time until the second.
    Off(Vec<usize>, u64, u64),
}

/// Workers, guarantees, arrivals and faults of one run.
pub struct Scenario {
    pub workers: Vec<WorkerRegistration>,
    pub guarantees: Vec<GuaranteeSpec>,
    pub arrivals: Vec<Arrival>,
    pub faults: Vec<Fault>,
    /// Weighted shapes by which fragmentation is measured, the same for every strategy.
    pub measured: Vec<(Shape, f64)>,
}

pub fn shape(task_count: u32, accelerator_count: u32, adjacency: Adjacency) -> Shape {
    let count = u64::from(accelerator_count);
    let task =
        Resources { cores_milli: 4_000 * count, memory_bytes: count << 34, accelerator_count };
    Shape { task_count, task, adjacency }
}

struct Builder {
    rng: ChaCha8Rng,
    arrivals: Vec<Arrival>,
}

struct JobKind {
    prefix: &'static str,
    class: PriorityClass,
    idempotent: bool,
    checkpointable: bool,
}

impl Builder {
    fn add(&mut self, at: u64, kind: &JobKind, shape: Shape, run_time_ms: u64) {
        let number = self.arrivals.len();
        let organisation = ["north", "south", "east", "west"][[0, 0, 0, 1, 1, 2, 3][number % 7]];
        // Declared run times are off by a factor of up to 10 in either direction.
        let factor = 10f64.powf(self.rng.random_range(-1.0..1.0));
        let declared = (run_time_ms as f64 / 1000.0 * factor).max(1.0) as u64;
        let Ok(name) = JobName::new(&format!("{}-{number:05}", kind.prefix)) else { return };
        let Ok(organisation) = OrganisationName::new(organisation) else { return };
        let job = JobSpec {
            name,
            organisation,
            shape,
            class: kind.class,
            declared_run_time_s: declared,
            idempotent: kind.idempotent,
            checkpointable: kind.checkpointable,
            command: Vec::new(),
        };
        self.arrivals.push(Arrival { at, job, run_time_ms, cancelled_at: None });
    }

    /// Adds Poisson arrivals with the given mean gap.
    fn add_poisson_arrivals<Make>(&mut self, mean_gap_ms: f64, make: Make)
    where
        Make: Fn(&mut Self, u64),
    {
        let mut at = 0.0;
        loop {
            at += -mean_gap_ms * (1.0 - self.rng.random::<f64>()).ln();
            if at >= ARRIVAL_MS as f64 {
                return;
            }
            make(self, at as u64);
        }
    }

    /// Adds `burst_count` bursts of `count` arrivals within a minute each.
    fn add_bursts<Make>(&mut self, burst_count: u64, count: u64, make: Make)
    where
        Make: Fn(&mut Self, u64),
    {
        for _ in 0..burst_count {
            let start = self.rng.random_range(0..ARRIVAL_MS - MINUTE_MS);
            for _ in 0..count {
                let at = start + self.rng.random_range(0..MINUTE_MS);
                make(self, at);
            }
        }
    }
}

const URGENT_KIND: JobKind = JobKind {
    prefix: "urgent",
    class: PriorityClass::Urgent,
    idempotent: true,
    checkpointable: false,
};
const SINGLE_KIND: JobKind = JobKind {
    prefix: "single",
    class: PriorityClass::Standard,
    idempotent: true,
    checkpointable: true,
};
const NON_REPEATABLE_KIND: JobKind = JobKind {
    prefix: "fragile",
    class: PriorityClass::Standard,
    idempotent: false,
    checkpointable: false,
};
const GANG_KIND: JobKind =
    JobKind { prefix: "gang", class: PriorityClass::Batch, idempotent: true, checkpointable: true };

fn add_urgent(builder: &mut Builder, at: u64, largest: u32, seconds: std::ops::Range<u64>) {
    let tasks = builder.rng.random_range(1..=2);
    let accelerators = builder.rng.random_range(1..=largest);
    let run_time_ms = 1000 * builder.rng.random_range(seconds);
    builder.add(at, &URGENT_KIND, shape(tasks, accelerators, Adjacency::Rack), run_time_ms);
}

fn add_single(builder: &mut Builder, at: u64) {
    let accelerators = [1, 1, 1, 2, 2, 3, 4][builder.rng.random_range(0..7)];
    let run_time_ms = 1000 * builder.rng.random_range(60..1_500);
    let kind = if builder.rng.random_bool(0.15) { &NON_REPEATABLE_KIND } else { &SINGLE_KIND };
    builder.add(at, kind, shape(1, accelerators, Adjacency::Worker), run_time_ms);
}

fn add_gang(builder: &mut Builder, at: u64, shapes: &[Shape], minutes: std::ops::Range<u64>) {
    let chosen = shapes[builder.rng.random_range(0..shapes.len())];
    let run_time_ms = MINUTE_MS * builder.rng.random_range(minutes);
    builder.add(at, &GANG_KIND, chosen, run_time_ms);
}

fn workers(data_centres: &[&str]) -> Vec<WorkerRegistration> {
    (0..11)
        .filter_map(|number| {
            let rack = number / 3;
            Some(WorkerRegistration {
                worker: WorkerName::new(&format!("worker-{number:02}")).ok()?,
                incarnation: Incarnation::new(number as u64 + 1),
                data_centre: DataCentreName::new(data_centres[rack % data_centres.len()]).ok()?,
                rack: RackName::new(&format!("rack-{rack}")).ok()?,
                resources: shape(1, 8, Adjacency::Worker).task,
            })
        })
        .collect()
}

fn guarantee(
    name: &str,
    organisation: &str,
    shape: Shape,
    shape_count: u32,
) -> Option<GuaranteeSpec> {
    Some(GuaranteeSpec {
        name: RecordName::new(name).ok()?,
        organisation: OrganisationName::new(organisation).ok()?,
        shape,
        shape_count,
        data_centres: Vec::new(),
    })
}

/// Builds the scenario of one seed.
pub fn scenario(deployment: Deployment, seed: u64, load: f64) -> Scenario {
    let mut builder = Builder { rng: ChaCha8Rng::seed_from_u64(seed), arrivals: Vec::new() };
    let owners = ["north", "south", "east", "west"];
    let (workers, gangs, urgent_shape, urgent_count) = match deployment {
        Deployment::Timing => {
            let gangs = vec![
                shape(4, 4, Adjacency::DataCentre),
                shape(6, 4, Adjacency::DataCentre),
                shape(2, 8, Adjacency::DataCentre),
                shape(8, 2, Adjacency::DataCentre),
            ];
            builder.add_poisson_arrivals(25_000.0 / load, |b, at| add_urgent(b, at, 2, 20..90));
            builder.add_bursts(8, 40, |b, at| add_urgent(b, at, 2, 20..90));
            builder.add_poisson_arrivals(45_000.0 / load, add_single);
            builder.add_bursts(3, 30, add_single);
            builder
                .add_poisson_arrivals(1_100_000.0 / load, |b, at| add_gang(b, at, &gangs, 10..60));
            builder.add_bursts(1, 6, |b, at| add_gang(b, at, &gangs, 10..60));
            let data_centre_names = ["putrajaya", "langkawi", "desaru", "port-dickson"];
            (workers(&data_centre_names), gangs, shape(2, 2, Adjacency::Rack), 2)
        }
        Deployment::Lending => {
            let gangs = vec![
                shape(2, 8, Adjacency::Rack),
                shape(3, 8, Adjacency::Rack),
                shape(4, 4, Adjacency::Rack),
                shape(5, 4, Adjacency::DataCentre),
            ];
            builder.add_poisson_arrivals(15_000.0 / load, |b, at| add_urgent(b, at, 1, 10..60));
            builder.add_bursts(8, 30, |b, at| add_urgent(b, at, 1, 10..60));
            builder.add_poisson_arrivals(40_000.0 / load, add_single);
            builder.add_bursts(3, 30, add_single);
            builder
                .add_poisson_arrivals(1_400_000.0 / load, |b, at| add_gang(b, at, &gangs, 10..60));
            builder.add_bursts(1, 5, |b, at| add_gang(b, at, &gangs, 10..60));
            let data_centre_names = ["santiago", "valparaiso", "rancagua"];
            (workers(&data_centre_names), gangs, shape(2, 1, Adjacency::Rack), 2)
        }
    };
    let mut guarantees: Vec<GuaranteeSpec> = owners
        .iter()
        .filter_map(|owner| {
            guarantee(&format!("urgent-{owner}"), owner, urgent_shape, urgent_count)
        })
        .collect();
    guarantees.extend(guarantee("gang-north", "north", shape(2, 8, Adjacency::Rack), 1));
    // A burst of jobs that are all cancelled ten minutes later.
    let burst_at = builder.rng.random_range(0..ARRIVAL_MS / 2);
    let first = builder.arrivals.len();
    for _ in 0..300 {
        add_single(&mut builder, burst_at);
    }
    for arrival in &mut builder.arrivals[first..] {
        arrival.cancelled_at = Some(burst_at + 10 * MINUTE_MS);
    }
    // Jobs that exceed every rack and can never run.
    builder.add_poisson_arrivals(3_600_000.0, |b, at| {
        b.add(at, &GANG_KIND, shape(9, 8, Adjacency::Rack), 1_000)
    });
    builder.arrivals.sort_by_key(|arrival| arrival.at);
    let failing = builder.rng.random_range(0..11);
    let failing_at = builder.rng.random_range(0..ARRIVAL_MS);
    let rack = builder.rng.random_range(0..4);
    let off_at = builder.rng.random_range(0..ARRIVAL_MS);
    let members = (0..11).filter(|number| number / 3 == rack).collect();
    let faults = vec![
        Fault::Failing(failing, failing_at, failing_at + 20 * MINUTE_MS),
        Fault::Off(members, off_at, off_at + 15 * MINUTE_MS),
    ];
    let weight = |shape: &Shape| f64::from(shape.task_count * shape.task.accelerator_count);
    let measured = gangs.iter().map(|shape| (*shape, weight(shape))).collect();
    Scenario { workers, guarantees, arrivals: builder.arrivals, faults, measured }
}
