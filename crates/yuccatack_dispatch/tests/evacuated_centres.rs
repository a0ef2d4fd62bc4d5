//! Guards against work that starts in an evacuated data centre, against running work that an
//! evacuation stops, and against capacity there that other decisions still count on.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::sync::Arc;

use support::{TOKEN, TestCluster, node, run, settings, starts, state, step, stops};
use yuccatack_core::{DataCentreName, NodeName};
use yuccatack_dispatch::{AgentMessage, Dispatcher, Orders, WorkerState};
use yuccatack_queues::EvacuationStore;
use yuccatack_runs::{RunId, StepSpec};

fn data_centre(index: usize) -> DataCentreName {
    DataCentreName::new(&format!("dc-{index}")).unwrap()
}

/// Returns the announcement of a worker in a data centre and a rack of its own.
fn announced(index: usize) -> WorkerState {
    let rack = Some(Arc::from(format!("rack-{index}")));
    WorkerState { data_centre: data_centre(index), rack, ..state(index, 1) }
}

/// Creates a cluster of `count` workers, each in a data centre of its own.
fn spread_cluster(count: usize) -> TestCluster {
    let mut cluster = TestCluster::new(count);
    for index in 0..count {
        cluster.deliver(index, AgentMessage::State(announced(index)));
    }
    cluster
}

fn evacuate(cluster: &mut TestCluster, indexes: &[usize]) {
    let mut store = EvacuationStore::default();
    for index in indexes {
        store.evacuate(data_centre(*index));
    }
    cluster.dispatcher.set_evacuations(&store);
}

fn started_nodes(orders: &[(NodeName, Orders)]) -> Vec<NodeName> {
    let with_starts = orders.iter().filter(|(_, orders)| !orders.starts.is_empty());
    with_starts.map(|(node, _)| node.clone()).collect()
}

#[test]
fn no_start_there() {
    let mut cluster = spread_cluster(2);
    evacuate(&mut cluster, &[0]);
    cluster.submit("job", 1, step(16, 1));
    assert_eq!(started_nodes(&cluster.decide()), [node(1)]);
    assert_eq!(cluster.table.open_runs().len(), 8);
}

#[test]
fn withdrawal_returns_workers() {
    let mut cluster = spread_cluster(2);
    evacuate(&mut cluster, &[0, 1]);
    cluster.submit("job", 1, step(16, 1));
    assert!(starts(&cluster.decide()).is_empty(), "a task started although all are evacuated");
    evacuate(&mut cluster, &[]);
    assert_eq!(starts(&cluster.decide()).len(), 16);
}

#[test]
fn running_work_continues() {
    let mut cluster = spread_cluster(2);
    cluster.submit("gang", 1, StepSpec { gang: true, ..step(2, 8) });
    cluster.decide();
    (0..2).for_each(|index| cluster.report_begun(&run("gang", index, 1)));
    evacuate(&mut cluster, &[0]);
    for _ in 0..4 {
        cluster.advance(300);
        for index in 0..2 {
            let member = run("gang", index, 1);
            let worker_index = cluster.worker_of(&member);
            cluster.observe(worker_index, &[(member, 40)], &[], &[]);
        }
        assert!(stops(&cluster.decide()).is_empty(), "the evacuation stopped a running gang");
    }
}

/// The run is in the table when the evacuation is committed, or when a leader follows that has not
/// ordered it. Its start must not be sent any more, and its task must begin elsewhere.
#[test]
fn unordered_run_barred() {
    let mut cluster = spread_cluster(2);
    cluster.submit("job", 1, step(1, 8));
    let (now, unix_ms) = (cluster.now, cluster.now.get());
    let changes = cluster.dispatcher.decide(&cluster.table, &cluster.configuration, now, unix_ms);
    cluster.apply(changes);
    let begun = run("job", 0, 1);
    let index = cluster.worker_of(&begun);
    cluster.dispatcher = Dispatcher::new(settings(), TOKEN + 1, cluster.now);
    for index in 0..2 {
        cluster.dispatcher.connect(&node(index));
        cluster.deliver(index, AgentMessage::State(announced(index)));
    }
    evacuate(&mut cluster, &[index]);
    let mut stopped = Vec::new();
    for _ in 0..4 {
        cluster.advance(300);
        for other in 0..2 {
            let confirmed = if other == index { stopped.as_slice() } else { &[] };
            cluster.observe(other, &[], &[], confirmed);
        }
        let orders = cluster.decide();
        assert!(!started_nodes(&orders).contains(&node(index)), "a late start was sent");
        stopped.extend(stops(&orders));
        stopped.dedup();
    }
    assert_eq!(stopped, [begun], "the run was not barred");
    assert_eq!(cluster.worker_of(&run("job", 0, 2)), 1 - index, "the task did not begin elsewhere");
}

/// Work on evacuated workers must not count as use of the remaining ones: a rule would then keep the
/// group waiting for as long as it lasts, while most of the remaining capacity is unused.
#[test]
fn use_of_remaining_workers() {
    let mut cluster = spread_cluster(4);
    evacuate(&mut cluster, &[0, 1]);
    cluster.submit("there", 1, step(2, 8));
    cluster.decide();
    evacuate(&mut cluster, &[2, 3]);
    cluster.submit("here", 1, step(4, 1));
    cluster.decide();
    cluster.submit("near", 1, StepSpec { data_rack: Some("rack-0".into()), ..step(1, 5) });
    let open: Vec<RunId> = cluster.table.open_runs().keys().cloned().collect();
    assert_eq!(open.len(), 6);
    open.iter().for_each(|run| cluster.report_begun(run));
    for round in 0..10 {
        for index in 0..4 {
            let on_worker = open.iter().filter(|run| cluster.worker_of(run) == index);
            let running: Vec<_> = on_worker.map(|run| (run.clone(), round)).collect();
            cluster.observe(index, &running, &[], &[]);
        }
        cluster.decide();
        cluster.advance(300);
    }
    let near = run("near", 0, 1);
    assert!(cluster.table.open_runs().contains_key(&near), "the group waits beside free workers");
    assert_eq!(cluster.worker_of(&near), 1);
}
