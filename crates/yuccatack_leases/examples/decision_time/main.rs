//! Measures the time of one scheduling decision and the memory of the lease table.
//!
//! `cargo run --release --package yuccatack_leases --example decision_time`
#![allow(clippy::print_stdout, missing_docs)]

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccatack_core::prelude::*;
use yuccatack_leases::*;

/// Global allocator that counts the allocated bytes.
struct CountingAllocator;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const DECISION_COUNT: u64 = 500;

fn main() {
    println!("time of one decision in microseconds; one job waits, the others run");
    for worker_count in [11, 1_000, 9_300] {
        measure(worker_count);
    }
}

fn resources(cores: u64, gib: u64, accelerator_count: u32) -> Resources {
    Resources { cores_milli: cores * 1_000, memory_bytes: gib << 30, accelerator_count }
}

fn registration(number: usize) -> Option<WorkerRegistration> {
    let rack = number / 3;
    // 14,000 accelerators on 9,300 workers: every fourth worker has three, the others one.
    let accelerators = if number.is_multiple_of(4) { 3 } else { 1 };
    Some(WorkerRegistration {
        worker: WorkerName::new(&format!("worker-{number}")).ok()?,
        incarnation: Incarnation::new(number as u64 + 1),
        data_centre: DataCentreName::new(&format!("centre-{}", rack % 9)).ok()?,
        rack: RackName::new(&format!("rack-{rack}")).ok()?,
        resources: resources(32, 128, accelerators),
    })
}

fn job(name: &str, owner: usize, shape: Shape) -> Option<JobSpec> {
    Some(JobSpec {
        name: JobName::new(name).ok()?,
        organisation: OrganisationName::new(&format!("organisation-{owner}")).ok()?,
        shape,
        class: PriorityClass::Standard,
        declared_run_time_s: 3_600,
        idempotent: true,
        checkpointable: true,
        command: vec!["run".to_owned()],
    })
}

struct Driver {
    table: LeaseTable,
    leader: Scheduler,
    now: u64,
}

impl Driver {
    fn at(&self) -> TimestampMs {
        TimestampMs::new(self.now)
    }

    fn submit(&mut self, job: JobSpec) {
        let at = self.at();
        self.table.apply(LeaseCommand::SubmitJob { job, at });
    }

    /// Applies the placements that the leader decided, and confirms and starts their attempts.
    fn apply_and_start(&mut self, commands: Vec<LeaseCommand>) {
        let at = self.at();
        for command in commands {
            let LeaseCommand::BeginAttempt(begin) = command else { continue };
            let (job, epoch) = (begin.job.clone(), begin.epoch);
            let count: u32 = begin.assignments.iter().map(|part| part.task_count).sum();
            self.table.apply(LeaseCommand::BeginAttempt(begin));
            let indexes = (0..count).collect();
            self.table.apply(LeaseCommand::ConfirmPrepared {
                job: job.clone(),
                epoch,
                indexes,
                at,
            });
            self.table.apply(LeaseCommand::StartAttempt { job, epoch, at });
        }
    }

    fn place_waiting_jobs(&mut self) {
        loop {
            let commands = self.leader.schedule(&self.table, self.at());
            if !commands.iter().any(|command| matches!(command, LeaseCommand::BeginAttempt(_))) {
                return;
            }
            self.apply_and_start(commands);
        }
    }
}

fn measure(worker_count: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut driver =
        Driver { table: LeaseTable::new(), leader: Scheduler::new(TimestampMs::new(0)), now: 0 };
    let empty = ALLOCATED_BYTES.load(Ordering::Relaxed);
    for worker in (0..worker_count).filter_map(registration) {
        let at = driver.at();
        driver.table.apply(LeaseCommand::RegisterWorker { worker, at });
    }
    let after_workers = ALLOCATED_BYTES.load(Ordering::Relaxed);
    // 190 organisations; at full size 53,000 tasks run, most of them without an accelerator.
    let organisations = 190.min(worker_count);
    for owner in 0..organisations.min(40) {
        let shape =
            Shape { task_count: 4, task: resources(2, 8, 1), adjacency: Adjacency::DataCentre };
        let guarantee = GuaranteeSpec {
            name: RecordName::new(&format!("kept-{owner}")).unwrap_or_else(|e| panic!("{e}")),
            organisation: OrganisationName::new(&format!("organisation-{owner}"))
                .unwrap_or_else(|e| panic!("{e}")),
            shape,
            shape_count: 1,
            data_centres: Vec::new(),
        };
        driver.table.apply(LeaseCommand::SetGuarantee(guarantee));
    }
    let target_task_count = worker_count * 53_000 / 9_300;
    let before_jobs = ALLOCATED_BYTES.load(Ordering::Relaxed);
    let (mut tasks, mut jobs) = (0, 0);
    let target_accelerator_count = worker_count * 14_000 / 9_300 * 8 / 10;
    let mut accelerators = 0;
    while tasks < target_task_count {
        let with_accelerator = accelerators < target_accelerator_count && rng.random_bool(0.3);
        let task_count = [1, 1, 2, 4, 8, 16][rng.random_range(0..6)].min(worker_count as u32 / 4);
        let count = u32::from(with_accelerator);
        accelerators += (task_count * count) as usize;
        let shape =
            Shape { task_count, task: resources(2, 8, count), adjacency: Adjacency::DataCentre };
        driver.submit_numbered(&mut jobs, organisations, shape);
        tasks += task_count as usize;
        if jobs % 64 == 0 {
            driver.place_waiting_jobs();
        }
    }
    driver.place_waiting_jobs();
    let after_jobs = ALLOCATED_BYTES.load(Ordering::Relaxed);
    let waiting = driver.table.waiting_job_count();
    println!(
        "{worker_count} workers, {tasks} tasks in {jobs} jobs ({waiting} wait), \
         {} accelerators free",
        driver.table.cluster().free_accelerator_count()
    );
    println!(
        "  memory: {} bytes a worker, {} bytes a task (its share of the job included)",
        (after_workers - empty) / worker_count,
        (after_jobs - before_jobs) / tasks
    );
    let gang_tasks = 64.min(worker_count as u32);
    for (name, task_count, adjacency) in
        [("one task", 1, Adjacency::Worker), ("gang of 64", gang_tasks, Adjacency::DataCentre)]
    {
        driver.time_decisions(name, Shape { task_count, task: resources(1, 1, 1), adjacency });
        let on_cores = format!("{name}, cores only");
        driver.time_decisions(&on_cores, Shape { task_count, task: resources(1, 1, 0), adjacency });
    }
    let start = Instant::now();
    let verified = driver.table.verify();
    let elapsed = start.elapsed().as_micros();
    println!("  full check of the invariants: {elapsed} ({verified:?})");
    driver.time_waiting_memory();
    driver.time_starved(gang_tasks);
    driver.time_heartbeats();
}

impl Driver {
    fn submit_numbered(&mut self, jobs: &mut usize, organisations: usize, shape: Shape) {
        *jobs += 1;
        if let Some(job) = job(&format!("job-{jobs}"), *jobs % organisations, shape) {
            self.submit(job);
        }
    }

    /// Measures scheduling passes in which the oldest job is a starved gang that does not fit. They
    /// include searches, reservations and plans of moves; one small job arrives in each pass.
    fn time_starved(&mut self, task_count: u32) {
        let Ok(mut round) = Histogram::<u64>::new(3) else { return };
        let shape = Shape { task_count, task: resources(8, 32, 1), adjacency: Adjacency::Rack };
        let wide = Shape { adjacency: Adjacency::DataCentre, ..shape };
        // More gangs than fit, so that some of them starve.
        for number in 0..200 {
            if let Some(job) = job(&format!("starved-{number}"), number % 11, wide) {
                self.submit(job);
            }
        }
        self.place_waiting_jobs();
        let waiting = self.table.waiting_job_count();
        for number in 0..DECISION_COUNT {
            self.now += 1_000;
            let small =
                Shape { task_count: 1, task: resources(1, 1, 1), adjacency: Adjacency::Worker };
            if let Some(job) = job(&format!("small-{number}"), number as usize % 11, small) {
                self.submit(job);
            }
            let at = self.at();
            let start = Instant::now();
            let commands = self.leader.schedule(&self.table, at);
            let nanoseconds = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
            let _ = round.record(nanoseconds);
            // Losses of workers are not applied, because no worker sends heartbeats here.
            self.apply_and_start(commands);
        }
        println!(
            "  round with {waiting} starved gangs of {task_count}: p50 {} p99 {} max {}",
            round.value_at_quantile(0.5) / 1_000,
            round.value_at_quantile(0.99) / 1_000,
            round.max() / 1_000
        );
    }

    /// Measures the memory of waiting jobs and the time to cancel all of them in one command.
    fn time_waiting_memory(&mut self) {
        const COUNT: usize = 5_000;
        let before = ALLOCATED_BYTES.load(Ordering::Relaxed);
        let shape = Shape { task_count: 1, task: resources(1, 1, 1), adjacency: Adjacency::Worker };
        let specs = (0..COUNT).filter_map(|number| job(&format!("idle-{number}"), 0, shape));
        let mut names = Vec::new();
        for spec in specs {
            names.push(spec.name.clone());
            self.submit(spec);
        }
        let bytes = (ALLOCATED_BYTES.load(Ordering::Relaxed) - before) / COUNT;
        let at = self.at();
        let start = Instant::now();
        self.table.apply(LeaseCommand::CancelJobs { jobs: names, at });
        let elapsed = start.elapsed().as_micros();
        println!("  {bytes} bytes a waiting job; {COUNT} cancellations in one command: {elapsed}");
    }

    /// Measures the time to handle one heartbeat of each worker.
    fn time_heartbeats(&mut self) {
        let Ok(mut handling) = Histogram::<u64>::new(3) else { return };
        let mut leader = Scheduler::new(self.at());
        let names: Vec<WorkerName> = self.table.workers().map(|(name, _)| name.clone()).collect();
        for name in &names {
            let number = name.as_str().trim_start_matches("worker-").parse().unwrap_or(0);
            let Some(registration) = registration(number) else { continue };
            let Some(entry) = self.table.worker(name) else { continue };
            let mut tasks = Vec::new();
            for key in &entry.tasks {
                let attempt = self.table.job(&key.job).and_then(|job| job.attempt());
                let Some(attempt) = attempt else { continue };
                let task =
                    TaskReference { job: key.job.clone(), epoch: attempt.epoch, index: key.index };
                let (state, usage) = (ReportedState::Running, Resources::default());
                tasks.push(ReportedTask { task, state, usage });
            }
            let report = HeartbeatReport { registration, sequence: 1, tasks };
            let at = self.at();
            let start = Instant::now();
            let _ = leader.heartbeat(&self.table, report, at);
            let nanoseconds = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
            let _ = handling.record(nanoseconds);
        }
        println!(
            "  heartbeat: p50 {:.1} p99 {:.1}",
            handling.value_at_quantile(0.5) as f64 / 1_000.0,
            handling.value_at_quantile(0.99) as f64 / 1_000.0
        );
    }

    /// Measures the time to decide on one new job and the time to apply the decision.
    fn time_decisions(&mut self, name: &str, shape: Shape) {
        let Ok(mut decision_time) = Histogram::<u64>::new(3) else { return };
        let Ok(mut apply_time) = Histogram::<u64>::new(3) else { return };
        let mut placed = 0;
        for number in 0..DECISION_COUNT {
            // The clock stands still, so that only the new job is searched for.
            let text = format!("measured-{}-{}-{number}", shape.task_count, name.len());
            let Some(job) = job(&text, number as usize % 11, shape) else { return };
            let job_name = job.name.clone();
            self.submit(job);
            let at = self.at();
            let start = Instant::now();
            let commands = self.leader.schedule(&self.table, at);
            let nanoseconds = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
            let _ = decision_time.record(nanoseconds);
            for command in commands {
                if matches!(command, LeaseCommand::BeginAttempt(_)) {
                    placed += 1;
                    let start = Instant::now();
                    self.table.apply(command);
                    let nanoseconds = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
                    let _ = apply_time.record(nanoseconds);
                }
            }
            // The job is ended, so that every decision starts from the same state.
            self.table.apply(LeaseCommand::CancelJobs { jobs: vec![job_name.clone()], at });
            let epoch = FencingEpoch::new(1);
            for index in 0..shape.task_count {
                let (job, outcome) = (job_name.clone(), TaskOutcome::Stopped);
                self.table.apply(LeaseCommand::EndTask { job, epoch, index, outcome, at });
            }
        }
        let micros = |histogram: &Histogram<u64>, quantile| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        println!(
            "  {name:24} placed {placed}/{DECISION_COUNT}; decide p50 {:.0} p99 {:.0} max {:.0}; \
             apply p50 {:.0} p99 {:.0}",
            micros(&decision_time, 0.5),
            micros(&decision_time, 0.99),
            micros(&decision_time, 1.0),
            micros(&apply_time, 0.5),
            micros(&apply_time, 0.99),
        );
    }
}
