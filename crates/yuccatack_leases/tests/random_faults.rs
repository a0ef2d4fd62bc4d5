//! Long randomised runs with workers that fail, report falsely, are slow, freeze and return.
#![allow(clippy::unwrap_used, clippy::print_stdout, missing_docs)]

mod support;

use rand::RngExt;
use support::*;
use yuccatack_core::prelude::*;
use yuccatack_leases::*;
use yuccatack_stand_ins::WorkerBehaviour;

const ORGANISATIONS: [&str; 4] = ["alpha", "beta", "gamma", "delta"];

fn random_job(platform: &mut Platform, number: usize) -> JobSpec {
    let rng = &mut platform.rng;
    let owner = ORGANISATIONS[rng.random_range(0..ORGANISATIONS.len())];
    let adjacency = match rng.random_range(0..4) {
        0 => Adjacency::Worker,
        1 => Adjacency::Rack,
        _ => Adjacency::DataCentre,
    };
    let accelerators = [1, 1, 2, 3, 4, 8][rng.random_range(0..6)];
    let tasks = match adjacency {
        Adjacency::Worker => rng.random_range(1..=8 / accelerators),
        Adjacency::Rack => rng.random_range(1..=3 * (8 / accelerators)).min(6),
        Adjacency::DataCentre => rng.random_range(1..=8),
    };
    let mut spec = job(&format!("job-{number}"), owner, shape(tasks, accelerators, adjacency));
    spec.class = PriorityClass::ALL[rng.random_range(0..3)];
    spec.idempotent = rng.random_bool(0.6);
    spec.checkpointable = rng.random_bool(0.5);
    let run_time_ms = rng.random_range(500..40_000);
    // Declared run times are off by a factor of up to 10 in either direction.
    let factor = 10f64.powf(rng.random_range(-1.0..1.0));
    spec.declared_run_time_s = ((run_time_ms as f64 / 1000.0 * factor) as u64).max(1);
    for worker in &mut platform.workers {
        worker.model.set_run_time(&spec.name, DurationMs::new(run_time_ms));
    }
    spec
}

fn random_fault(platform: &mut Platform) {
    let now = platform.now;
    let position = platform.rng.random_range(0..platform.workers.len());
    let length = platform.rng.random_range(500..25_000);
    let kind = platform.rng.random_range(0..10);
    let worker = &mut platform.workers[position];
    match kind {
        0 => worker.off_until = now + length,
        1 => {
            worker.frozen_until = now + length;
            worker.freeze_intervals.push((now, now + length));
        }
        2 | 3 => worker.disconnected_until = now + length,
        4 => worker.latency_ms = [2, 2, 50, 400, 1_500][length as usize % 5],
        5 => worker.model.set_behaviour(WorkerBehaviour::FailAll),
        6 => worker.reports_falsely = !worker.reports_falsely,
        7 => worker.model.set_behaviour(WorkerBehaviour::Normal),
        8 => worker.model.set_checkpoint_time(DurationMs::new(length / 5)),
        _ => platform.lose_leader(length / 10),
    }
}

fn clear_faults(platform: &mut Platform) {
    for worker in &mut platform.workers {
        worker.reports_falsely = false;
        worker.latency_ms = 2;
        worker.model.set_behaviour(WorkerBehaviour::Normal);
        worker.model.set_checkpoint_time(DurationMs::new(200));
    }
}

fn run(seed: u64, minutes: u64) {
    let mut platform = Platform::new(seed, workers(11, 3));
    platform.run_for(1_000);
    for (number, shape) in
        [shape(2, 4, Adjacency::Rack), shape(3, 8, Adjacency::DataCentre)].iter().enumerate()
    {
        let owner = ORGANISATIONS[number];
        let name = format!("kept-{number}");
        platform.apply(LeaseCommand::SetGuarantee(guarantee(&name, owner, *shape, 1)));
    }
    let mut number = 0;
    let end = platform.now + minutes * 60_000;
    while platform.now < end {
        let burst = if platform.rng.random_bool(0.02) { 40 } else { 1 };
        for _ in 0..burst {
            let spec = random_job(&mut platform, number);
            platform.submit(spec);
            number += 1;
        }
        if platform.rng.random_bool(0.15) {
            random_fault(&mut platform);
        }
        if platform.rng.random_bool(0.03) {
            let first = platform.rng.random_range(0..number);
            let jobs = (first..number).step_by(2).map(|n| job_name(&format!("job-{n}"))).collect();
            let at = platform.time();
            platform.apply(LeaseCommand::CancelJobs { jobs, at });
        }
        let pause = platform.rng.random_range(100..4_000);
        platform.run_for(pause);
    }
    clear_faults(&mut platform);
    platform.run_for(5 * 60_000);
    let violations = platform.check_records();
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    // Without faults every attempt ends, so no attempt may be older than two minutes.
    let stuck: Vec<String> = platform
        .table
        .jobs()
        .filter(|(_, job)| {
            job.attempt().is_some_and(|a| a.began_at + DurationMs::new(120_000) < platform.time())
        })
        .map(|(name, job)| format!("{name}: {:?}", job.phase))
        .collect();
    assert!(stuck.is_empty(), "seed {seed}: {stuck:#?}");
    platform.table.verify().unwrap();
    let count =
        |status| platform.table.jobs().filter(|(n, _)| platform.status(n) == status).count();
    eprintln!(
        "seed {seed}: {number} jobs, {} succeeded, {} unknown, {} failed, {} refused, \
         {} cancelled, {} waiting",
        count(JobStatus::Succeeded),
        count(JobStatus::Unknown),
        count(JobStatus::Failed),
        count(JobStatus::Refused),
        count(JobStatus::Cancelled),
        count(JobStatus::Waiting),
    );
}

/// Guards, under random faults, against partial gangs, second starts of jobs that may run once,
/// accelerators with two users, guarantees that cannot be reclaimed and jobs that ran but are
/// reported as not run.
#[test]
fn holds_invariants() {
    for batch in seeds(6).chunks(3) {
        let start = |seed: &u64| {
            let seed = *seed;
            (seed, std::thread::spawn(move || run(seed, 10)))
        };
        let runs: Vec<_> = batch.iter().map(start).collect();
        for (seed, run) in runs {
            assert!(run.join().is_ok(), "seed {seed} violates an invariant; see its report above");
        }
    }
}
