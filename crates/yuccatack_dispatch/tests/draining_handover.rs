//! Guards against a new leader that stops the runs of a worker which drains while the leadership
//! changes: the worker still executes them, and the stop of one member ends its whole gang.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{TOKEN, TestCluster, node, run, settings, starts, state, step, stops};
use yuccatack_dispatch::{AgentMessage, Dispatcher, WorkerState};
use yuccatack_runs::StepSpec;

/// Creates a cluster whose new leader hears first that worker 0 drains, while a gang executes.
fn cluster_after_handover() -> TestCluster {
    let mut cluster = TestCluster::new(2);
    cluster.submit("gang", 1, StepSpec { gang: true, ..step(2, 8) });
    cluster.decide();
    (0..2).for_each(|index| cluster.report_begun(&run("gang", index, 1)));
    cluster.dispatcher = Dispatcher::new(settings(), TOKEN + 1, cluster.now);
    for index in 0..2 {
        cluster.dispatcher.connect(&node(index));
        let announced = WorkerState { draining: index == 0, ..state(index, 1) };
        cluster.deliver(index, AgentMessage::State(announced));
    }
    cluster
}

fn observe_running(cluster: &mut TestCluster) {
    for index in 0..2 {
        let member = run("gang", index, 1);
        let worker_index = cluster.worker_of(&member);
        cluster.observe(worker_index, &[(member, 40)], &[], &[]);
    }
}

#[test]
fn runs_continue() {
    let mut cluster = cluster_after_handover();
    assert!(stops(&cluster.decide()).is_empty(), "a new leader stopped runs before it saw them");
    for _ in 0..4 {
        cluster.advance(300);
        observe_running(&mut cluster);
        assert!(stops(&cluster.decide()).is_empty(), "a new leader stopped a running gang");
    }
}

#[test]
fn absent_runs_barred() {
    let mut cluster = cluster_after_handover();
    assert!(starts(&cluster.decide()).iter().all(|run| cluster.worker_of(run) == 1));
    let mut stopped = Vec::new();
    for _ in 0..3 {
        cluster.advance(300);
        cluster.observe_all(2);
        stopped.extend(stops(&cluster.decide()));
    }
    assert!(!stopped.is_empty(), "a run that the draining worker does not list was never barred");
}
