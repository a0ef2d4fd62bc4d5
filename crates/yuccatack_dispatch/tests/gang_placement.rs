//! Guards against gangs that begin only in part, wait for members that cannot begin, or are spread
//! over several racks although one has the capacity. Also covers data racks and limits per worker.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeSet;

use support::{TestCluster, run, starts, step, stops};
use yuccatack_dispatch::StartResult;
use yuccatack_runs::{RunOutcome, StepSpec};

fn gang(task_count: u32, accelerator_count: u32) -> StepSpec {
    StepSpec { gang: true, ..step(task_count, accelerator_count) }
}

#[test]
fn all_or_nothing() {
    let mut cluster = TestCluster::new(2);
    cluster.submit("small", 0, step(1, 4));
    assert_eq!(starts(&cluster.decide()).len(), 1);
    cluster.report_begun(&run("small", 0, 1));
    cluster.submit("wide", 1, gang(2, 8));
    assert!(starts(&cluster.decide()).is_empty(), "only a part of the gang began");
    cluster.end(&run("small", 0, 1), RunOutcome::Done);
    assert_eq!(starts(&cluster.decide()), [run("wide", 0, 1), run("wide", 1, 1)]);
}

#[test]
fn single_rack_chosen() {
    let mut cluster = TestCluster::new(4);
    // One worker of a rack is occupied, so only the other rack has the capacity for the gang.
    cluster.submit("small", 0, step(1, 1));
    cluster.decide();
    let occupied_rack = cluster.worker_of(&run("small", 0, 1)) / 2;
    cluster.submit("wide", 1, StepSpec { rack_local: true, ..gang(2, 8) });
    cluster.decide();
    let racks: BTreeSet<usize> =
        (0..2).map(|index| cluster.worker_of(&run("wide", index, 1)) / 2).collect();
    assert_eq!(racks, BTreeSet::from([1 - occupied_rack]));
}

#[test]
fn incomplete_gang_stopped() {
    let mut cluster = TestCluster::new(2);
    cluster.submit("wide", 1, gang(2, 8));
    cluster.decide();
    cluster.report_begun(&run("wide", 0, 1));
    cluster.start_result(&run("wide", 1, 1), StartResult::NoRoom);
    // One member is barred from starting, so the other one must not wait for it.
    assert_eq!(stops(&cluster.decide()), [run("wide", 0, 1), run("wide", 1, 1)]);
}

#[test]
fn done_gang_not_restarted() {
    let mut cluster = TestCluster::new(2);
    cluster.submit("wide", 1, gang(2, 8));
    cluster.decide();
    cluster.report_begun(&run("wide", 0, 1));
    cluster.report_begun(&run("wide", 1, 1));
    let index = cluster.worker_of(&run("wide", 0, 1));
    cluster.advance(2_000);
    cluster.observe(index, &[], &[(run("wide", 0, 1), RunOutcome::Done)], &[]);
    let orders = cluster.decide();
    assert!(starts(&orders).is_empty(), "a completed gang began again");
}

#[test]
fn data_rack_preferred() {
    let mut cluster = TestCluster::new(4);
    let data_rack_step = StepSpec { data_rack: Some(std::sync::Arc::from("rack-1")), ..step(2, 4) };
    cluster.submit("near", 1, data_rack_step);
    cluster.decide();
    for index in 0..2 {
        assert_eq!(cluster.worker_of(&run("near", index, 1)) / 2, 1);
    }
}

#[test]
fn limit_per_worker() {
    let mut cluster = TestCluster::new(2);
    cluster.submit("apart", 1, StepSpec { tasks_per_worker: Some(1), ..step(3, 1) });
    assert_eq!(
        starts(&cluster.decide()).len(),
        2,
        "a worker got more tasks of the step than its limit"
    );
    let worker_indexes: BTreeSet<usize> =
        (0..2).map(|i| cluster.worker_of(&run("apart", i, 1))).collect();
    assert_eq!(worker_indexes.len(), 2);
}
