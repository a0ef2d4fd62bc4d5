//! Guards against workers that fill up with less urgent work, so that each urgent job must wait for
//! an eviction, and against headroom that is never released.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{TestCluster, run, starts, step};
use yuccatack_runs::RunOutcome;

/// Creates a cluster of two workers, of which urgent work has occupied one for 20 s.
fn cluster_with_urgent_load() -> TestCluster {
    let mut cluster = TestCluster::new(2);
    cluster.submit("urgent", 0, step(1, 8));
    cluster.decide();
    cluster.report_begun(&run("urgent", 0, 1));
    for _ in 0..40 {
        cluster.advance(500);
        let worker_index = cluster.worker_of(&run("urgent", 0, 1));
        cluster.observe(worker_index, &[(run("urgent", 0, 1), 50)], &[], &[]);
        cluster.observe(1 - worker_index, &[], &[], &[]);
        cluster.decide();
    }
    cluster
}

#[test]
fn headroom_reserved() {
    let mut cluster = cluster_with_urgent_load();
    cluster.submit("low", 2, step(1, 8));
    assert!(
        starts(&cluster.decide()).is_empty(),
        "less urgent work took the capacity held for urgent work"
    );
    cluster.submit("next", 0, step(1, 8));
    assert_eq!(starts(&cluster.decide()), [run("next", 0, 1)]);
}

#[test]
fn headroom_released() {
    let mut cluster = cluster_with_urgent_load();
    let worker_index = cluster.worker_of(&run("urgent", 0, 1));
    cluster.observe(worker_index, &[], &[(run("urgent", 0, 1), RunOutcome::Done)], &[]);
    cluster.submit("low", 2, step(2, 8));
    // Without urgent work the average falls, and the headroom with it.
    for _ in 0..60 {
        cluster.advance(500);
        cluster.observe_all(2);
        if starts(&cluster.decide()).len() == 2 || cluster.table.open_runs().len() == 2 {
            return;
        }
    }
    panic!("the headroom was held although no urgent work arrived");
}

#[test]
fn headroom_yields_to_waiting() {
    let mut cluster = cluster_with_urgent_load();
    cluster.submit("low", 2, step(1, 8));
    assert!(starts(&cluster.decide()).is_empty());
    // The urgent job goes on, so the headroom stays; the worker must not stay idle with it.
    for _ in 0..3 {
        cluster.advance(500);
        let worker_index = cluster.worker_of(&run("urgent", 0, 1));
        cluster.observe(worker_index, &[(run("urgent", 0, 1), 50)], &[], &[]);
        cluster.observe(1 - worker_index, &[], &[], &[]);
    }
    assert_eq!(
        starts(&cluster.decide()),
        [run("low", 0, 1)],
        "a worker was kept idle for urgent work while a job waited"
    );
}

#[test]
fn headroom_yields_in_order() {
    let mut cluster = cluster_with_urgent_load();
    // The small tasks would fit, but then the wide one never would.
    cluster.submit("small", 2, step(4, 1));
    cluster.submit("wide", 1, step(1, 8));
    cluster.advance(1_100);
    let worker_index = cluster.worker_of(&run("urgent", 0, 1));
    cluster.observe(worker_index, &[(run("urgent", 0, 1), 50)], &[], &[]);
    cluster.observe(1 - worker_index, &[], &[], &[]);
    assert_eq!(starts(&cluster.decide()), [run("wide", 0, 1)]);
}
