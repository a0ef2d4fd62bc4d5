//! Guards against urgent jobs that become late on slow machines although fast ones could hold them,
//! against work with slack that takes the fast machines, and against work that speeds keep waiting.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeSet;

use support::{TestCluster, node, run, starts, step, stops};
use yuccatack_core::DurationMs;
use yuccatack_dispatch::MachineSpeeds;
use yuccatack_runs::{RunOutcome, StepSpec};

const WORKER_COUNT: usize = 9;

/// One worker in three is 2.4 times slower than the others.
const SLOW_WORKERS: [usize; 3] = [0, 3, 6];

/// Time within which a job must begin that capacity is free for.
const START_LIMIT_MS: u64 = 2_000;

const POLL_INTERVAL_MS: u64 = 100;

fn speeds(speed: fn(usize) -> f64) -> MachineSpeeds {
    (0..WORKER_COUNT)
        .fold(MachineSpeeds::new(), |speeds, index| speeds.with_speed(node(index), speed(index)))
}

/// Creates a cluster with slow workers. Estimates are noisy by a few percent.
fn uneven_cluster() -> TestCluster {
    let mut cluster = TestCluster::new(WORKER_COUNT);
    cluster.dispatcher.set_speeds(speeds(|index| {
        let noise = 1.0 + 0.01 * index as f64;
        noise * if SLOW_WORKERS.contains(&index) { 1.0 / 2.4 } else { 1.0 }
    }));
    cluster
}

fn gang(task_count: u32) -> StepSpec {
    StepSpec { gang: true, ..step(task_count, 8) }
}

impl TestCluster {
    fn workers_of(&self, job: &str, task_count: u32) -> BTreeSet<usize> {
        (0..task_count).map(|index| self.worker_of(&run(job, index, 1))).collect()
    }

    fn has_begun(&self, job: &str) -> bool {
        self.table.open_runs().contains_key(&run(job, 0, 1))
    }

    /// Observes all workers with their open runs at a progress.
    fn observe_open(&mut self, percent: u8) {
        for index in 0..WORKER_COUNT {
            let incarnation = support::incarnation(index, 1);
            let runs: Vec<_> =
                self.table.runs_on(&incarnation).map(|run| (run.clone(), percent)).collect();
            self.observe(index, &runs, &[], &[]);
        }
    }

    /// Runs passes until the job begins, and returns the time that it took.
    fn wait_for(&mut self, job: &str) -> u64 {
        let began_at = self.now;
        while self.now.since(began_at).get() < 2 * START_LIMIT_MS {
            self.decide();
            if self.has_begun(job) {
                break;
            }
            self.advance(POLL_INTERVAL_MS);
            self.observe_open(10);
        }
        self.now.since(began_at).get()
    }
}

fn is_slow(index: &usize) -> bool {
    SLOW_WORKERS.contains(index)
}

/// A burst of urgent gangs while a wide gang with slack runs.
#[test]
fn burst_beside_wide() {
    let mut cluster = uneven_cluster();
    cluster.submit("wide", 1, gang(3));
    cluster.decide();
    assert!(cluster.workers_of("wide", 3).iter().all(is_slow), "slack work took fast workers");
    for job in ["a", "b", "c"] {
        cluster.submit_tight(job, None, gang(2));
    }
    cluster.decide();
    for job in ["a", "b", "c"] {
        assert!(!cluster.workers_of(job, 2).iter().any(is_slow), "{job} is late on a slow worker");
    }
}

/// A burst of urgent gangs that the fast workers cannot hold, nothing of which ends soon.
#[test]
fn busy_fast_workers() {
    let mut cluster = uneven_cluster();
    cluster.submit_tight("first", None, gang(6));
    cluster.decide();
    cluster.submit_tight("next", None, gang(2));
    let waited_ms = cluster.wait_for("next");
    assert!(waited_ms < START_LIMIT_MS, "the gang waited {waited_ms} ms for fast workers");
    assert!(cluster.workers_of("next", 2).iter().all(is_slow));
}

/// Urgent gangs in a row: the fast workers are about to become free.
#[test]
fn ending_runs_awaited() {
    let mut cluster = uneven_cluster();
    cluster.submit_tight("first", None, gang(6));
    cluster.decide();
    (0..6).for_each(|index| cluster.report_begun(&run("first", index, 1)));
    cluster.advance(POLL_INTERVAL_MS);
    cluster.observe_open(90);
    cluster.submit_tight("next", None, gang(2));
    assert!(starts(&cluster.decide()).is_empty(), "the gang began on slow workers");
    let longest = cluster.dispatcher.take_summary().unwrap().longest_waiting.unwrap();
    assert_eq!(longest.cause().to_string(), "speed");
    for index in 0..6 {
        cluster.end(&run("first", index, 1), RunOutcome::Done);
    }
    cluster.advance(POLL_INTERVAL_MS);
    cluster.decide();
    assert!(!cluster.workers_of("next", 2).iter().any(is_slow));
}

/// The runs that were about to end do not: the estimate was wrong.
#[test]
fn wait_is_bounded() {
    let mut cluster = uneven_cluster();
    // The objective alone would let the gang wait for 10 s.
    let long =
        |task_count| StepSpec { estimated_run_ms: DurationMs::new(20_000), ..gang(task_count) };
    cluster.submit_tight("first", None, long(6));
    cluster.decide();
    (0..6).for_each(|index| cluster.report_begun(&run("first", index, 1)));
    cluster.submit_tight("next", None, long(2));
    let began_at = cluster.now;
    cluster.observe_open(98);
    assert!(starts(&cluster.decide()).is_empty(), "the gang did not wait");
    while !cluster.has_begun("next") {
        cluster.advance(POLL_INTERVAL_MS);
        cluster.observe_open(98);
        cluster.decide();
        let waited_ms = cluster.now.since(began_at).get();
        assert!(waited_ms < START_LIMIT_MS, "the gang waited {waited_ms} ms");
    }
}

/// Less urgent work fills the fast workers when an urgent gang arrives.
#[test]
fn fast_workers_freed() {
    let mut cluster = uneven_cluster();
    // Six tasks that only fast workers complete in time.
    let long = StepSpec { checkpointing: true, ..step(6, 8) };
    cluster.submit("low", 1, long);
    let even = speeds(|index| if is_slow(&index) { 0.2 } else { 1.0 });
    cluster.dispatcher.set_speeds(even);
    cluster.decide();
    (0..6).for_each(|index| cluster.report_begun(&run("low", index, 1)));
    assert!(!cluster.workers_of("low", 6).iter().any(is_slow));
    cluster.advance(POLL_INTERVAL_MS);
    cluster.observe_open(30);
    cluster.submit_tight("urgent", None, gang(2));
    let orders = cluster.decide();
    assert_eq!(stops(&orders).len(), 2, "fast workers were not freed for the urgent gang");
    assert!(starts(&orders).is_empty());
}

/// Slow workers become free at the same time as fast ones could be freed.
#[test]
fn stopping_slow_workers() {
    let mut cluster = uneven_cluster();
    cluster.submit("slow", 1, step(3, 8));
    cluster.decide();
    cluster.submit("fast", 1, StepSpec { checkpointing: true, ..step(6, 8) });
    cluster.decide();
    let begun: Vec<_> = cluster.table.open_runs().keys().cloned().collect();
    begun.iter().for_each(|run| cluster.report_begun(run));
    assert!(cluster.workers_of("slow", 3).iter().all(is_slow));
    cluster.advance(POLL_INTERVAL_MS);
    cluster.observe_open(30);
    cluster.table.cancel(&run("slow", 0, 1).task.job, cluster.now.get());
    assert_eq!(stops(&cluster.decide()).len(), 3);
    cluster.submit_tight("urgent", None, gang(2));
    assert_eq!(stops(&cluster.decide()).len(), 2, "the gang waits for slow workers");
}

/// Evicting a run that is about to end loses its work and frees its worker no sooner.
#[test]
fn ending_runs_kept() {
    let mut cluster = uneven_cluster();
    cluster.submit("low", 1, step(9, 8));
    cluster.decide();
    (0..9).for_each(|index| cluster.report_begun(&run("low", index, 1)));
    cluster.advance(POLL_INTERVAL_MS);
    cluster.observe_open(95);
    cluster.submit_tight("urgent", None, gang(2));
    assert!(stops(&cluster.decide()).is_empty(), "a run was evicted just before its end");
}

/// Urgent work held fast workers before; the next burst needs them again.
#[test]
fn headroom_on_fast() {
    let mut cluster = uneven_cluster();
    cluster.submit_tight("urgent", None, gang(4));
    cluster.decide();
    (0..4).for_each(|index| cluster.report_begun(&run("urgent", index, 1)));
    for _ in 0..100 {
        cluster.advance(200);
        cluster.observe_open(50);
        cluster.decide();
    }
    // Five workers are free, two of them fast; the headroom covers these.
    cluster.submit("low", 2, step(5, 8));
    cluster.decide();
    let begun = cluster.table.open_runs().keys().filter(|run| run.task.job.as_str() == "low");
    assert!(begun.clone().all(|run| is_slow(&cluster.worker_of(run))));
    assert_eq!(begun.count(), SLOW_WORKERS.len(), "the headroom was held on slow workers");
}

/// Work with slack whose objective slow workers would miss.
#[test]
fn slack_used_up() {
    let mut cluster = uneven_cluster();
    let long = StepSpec { estimated_run_ms: DurationMs::new(60_000), ..step(3, 8) };
    cluster.submit("long", 1, long);
    cluster.advance(50_000);
    cluster.observe_all(WORKER_COUNT);
    cluster.decide();
    assert!(!cluster.workers_of("long", 3).iter().any(is_slow), "the job is late on slow workers");
}

/// Speeds that are equal or invalid change nothing.
#[test]
fn equal_speeds_inert() {
    let placements = |set: Option<MachineSpeeds>| {
        let mut cluster = TestCluster::new(WORKER_COUNT);
        if let Some(set) = set {
            cluster.dispatcher.set_speeds(set);
        }
        cluster.submit("small", 2, step(7, 3));
        cluster.submit("wide", 1, gang(2));
        cluster.submit_tight("urgent", None, gang(3));
        cluster.submit_tight("late", None, step(4, 5));
        cluster.decide();
        let runs = cluster.table.open_runs().iter();
        runs.map(|(run, open)| (run.clone(), open.incarnation.clone())).collect::<Vec<_>>()
    };
    let unknown = placements(None);
    assert_eq!(placements(Some(speeds(|_| 0.5))), unknown);
    assert_eq!(placements(Some(speeds(|index| 1.0 + 0.01 * index as f64))), unknown);
    let invalid = speeds(|index| [f64::NAN, 0.0, -2.0, f64::INFINITY][index % 4]);
    assert_eq!(placements(Some(invalid)), unknown);
}

/// Guaranteed work with wrong speeds: all workers but those that are full count as slow.
#[test]
fn wrong_speeds_bounded() {
    let mut cluster = TestCluster::new(WORKER_COUNT);
    cluster.add_organisation("owner", 72);
    cluster.dispatcher.set_speeds(speeds(|index| if index == 8 { 5.0 } else { 0.1 }));
    cluster.submit_tight("first", Some("owner"), gang(1));
    cluster.decide();
    assert_eq!(cluster.worker_of(&run("first", 0, 1)), 8);
    cluster.submit_tight("next", Some("owner"), gang(4));
    cluster.submit("low", 2, gang(2));
    for job in ["next", "low"] {
        let waited_ms = cluster.wait_for(job);
        assert!(waited_ms < START_LIMIT_MS, "{job} waited {waited_ms} ms");
    }
}
