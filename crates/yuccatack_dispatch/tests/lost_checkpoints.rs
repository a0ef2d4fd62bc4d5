//! Guards against work that is repeated although its checkpoint was reported before the worker was lost.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::sync::Arc;

use support::{TestCluster, incarnation, run, state, step};
use yuccatack_dispatch::{AgentMessage, Observation, RunningRun};
use yuccatack_runs::StepSpec;

/// Creates a cluster with one executing run that has saved a checkpoint.
fn cluster_with_checkpoint() -> (TestCluster, usize) {
    let mut cluster = TestCluster::new(2);
    cluster.submit("saved", 1, StepSpec { checkpointing: true, ..step(1, 8) });
    cluster.decide();
    cluster.report_begun(&run("saved", 0, 1));
    let worker_index = cluster.worker_of(&run("saved", 0, 1));
    cluster.advance(300);
    for checkpoint in [Some(Arc::from("checkpoint")), None] {
        let row = RunningRun { run: run("saved", 0, 1), checkpoint, percent: 50, load: None };
        let observation = Observation {
            incarnation: incarnation(worker_index, 1),
            clock_ms: cluster.clock_ms(),
            running: vec![row],
            ended: Vec::new(),
            stopped: Vec::new(),
            lists_all_ends: Some(true),
        };
        cluster.deliver(worker_index, AgentMessage::Observed(observation));
    }
    (cluster, worker_index)
}

fn resumed_checkpoint(cluster: &mut TestCluster, worker_index: usize) -> Option<Arc<str>> {
    cluster.observe(1 - worker_index, &[], &[], &[]);
    let orders = cluster.decide();
    let mut starts = orders.iter().flat_map(|(_, orders)| &orders.starts);
    starts.next().unwrap().checkpoint.clone()
}

#[test]
fn departed_worker() {
    let (mut cluster, worker_index) = cluster_with_checkpoint();
    cluster.deliver(worker_index, AgentMessage::Left(incarnation(worker_index, 1)));
    let checkpoint = resumed_checkpoint(&mut cluster, worker_index);
    assert_eq!(checkpoint.as_deref(), Some("checkpoint"));
}

#[test]
fn restarted_worker() {
    let (mut cluster, worker_index) = cluster_with_checkpoint();
    cluster.deliver(worker_index, AgentMessage::State(state(worker_index, 2)));
    let checkpoint = resumed_checkpoint(&mut cluster, worker_index);
    assert_eq!(checkpoint.as_deref(), Some("checkpoint"));
}
