//! Guards against a dispatcher that does not learn from observations which machines are slow, or that
//! takes tasks far from their data for slow machines.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::sync::Arc;

use support::{TestCluster, node, starts, step};
use yuccatack_dispatch::Dispatcher;
use yuccatack_runs::{RunId, RunOutcome, StepSpec};

const WORKER_COUNT: usize = 8;
const POLL_MS: u64 = 150;

/// Returns the run time of a task on a worker. Workers 0 and 5 are slow.
fn run_time_ms(worker: usize) -> u64 {
    if worker == 0 || worker == 5 { 4_000 } else { 2_000 }
}

/// Runs a job of whole workers to its end: the members of a gang end together.
fn complete(cluster: &mut TestCluster, name: &str, spec: StepSpec) {
    cluster.submit(name, 0, spec);
    let runs = starts(&cluster.decide());
    let placed: Vec<(RunId, usize)> =
        runs.iter().map(|run| (run.clone(), cluster.worker_of(run))).collect();
    runs.iter().for_each(|run| cluster.report_begun(run));
    let mut elapsed_ms = 0;
    let slowest_ms = placed.iter().map(|(_, worker)| run_time_ms(*worker)).max().unwrap();
    while elapsed_ms < slowest_ms {
        for (run, worker) in &placed {
            let percent = (elapsed_ms * 100 / run_time_ms(*worker)).min(100) as u8;
            cluster.observe(*worker, &[(run.clone(), percent)], &[], &[]);
        }
        cluster.advance(POLL_MS);
        elapsed_ms += POLL_MS;
    }
    for (run, worker) in &placed {
        cluster.observe(*worker, &[], &[(run.clone(), RunOutcome::Done)], &[]);
    }
    cluster.observe_all(WORKER_COUNT);
    cluster.decide();
}

fn gang(task_count: u32) -> StepSpec {
    StepSpec { gang: true, ..step(task_count, 8) }
}

fn slow_workers(dispatcher: &Dispatcher) -> Vec<usize> {
    (0..WORKER_COUNT).filter(|worker| dispatcher.machine_speed(&node(*worker)) < 0.8).collect()
}

#[test]
fn gangs_show_speeds() {
    let mut cluster = TestCluster::new(WORKER_COUNT);
    for number in 0..4 {
        complete(&mut cluster, &format!("gang{number}"), gang(8));
    }
    assert_eq!(slow_workers(&cluster.dispatcher), [0, 5]);
    assert_eq!(cluster.dispatcher.slow_machine_count(), 2);
    // A later leader begins with what was stored.
    let records = cluster.dispatcher.changed_estimates(256);
    let mut later = TestCluster::new(WORKER_COUNT);
    let now = later.now;
    assert!(later.dispatcher.restore_estimates(&records, now).is_empty());
    later.observe_all(WORKER_COUNT);
    assert_eq!(slow_workers(&later.dispatcher), [0, 5]);
}

#[test]
fn urgent_gang_on_fast_workers() {
    let mut cluster = TestCluster::new(WORKER_COUNT);
    for number in 0..4 {
        complete(&mut cluster, &format!("gang{number}"), gang(8));
    }
    cluster.advance(300);
    cluster.observe_all(WORKER_COUNT);
    cluster.submit_tight("urgent", None, gang(6));
    let runs = starts(&cluster.decide());
    assert_eq!(runs.len(), 6);
    let workers: Vec<usize> = runs.iter().map(|run| cluster.worker_of(run)).collect();
    assert!(!workers.contains(&0) && !workers.contains(&5), "placed on {workers:?}");
}

#[test]
fn spread_gangs_ignored() {
    let mut cluster = TestCluster::new(WORKER_COUNT);
    for number in 0..4 {
        // No rack of two workers holds the gang.
        let spec = StepSpec { rack_local: true, ..gang(8) };
        complete(&mut cluster, &format!("spread{number}"), spec);
        let far = StepSpec { data_rack: Some(Arc::from("rack-9")), ..gang(8) };
        complete(&mut cluster, &format!("far{number}"), far);
    }
    assert!(slow_workers(&cluster.dispatcher).is_empty());
}
