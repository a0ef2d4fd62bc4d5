//! Guards against long tasks of less urgent jobs that are spread over all workers, so that no whole
//! worker is left to an urgent gang.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{TestCluster, run, starts, step};

#[test]
fn less_urgent_packed() {
    let mut cluster = TestCluster::new(2);
    cluster.submit("urgent", 0, step(1, 7));
    cluster.decide();
    cluster.report_begun(&run("urgent", 0, 1));
    cluster.submit("first", 2, step(1, 2));
    assert_eq!(starts(&cluster.decide()), [run("first", 0, 1)]);
    cluster.report_begun(&run("first", 0, 1));
    let less_urgent_on = cluster.worker_of(&run("first", 0, 1));
    assert_ne!(less_urgent_on, cluster.worker_of(&run("urgent", 0, 1)));
    cluster.submit("second", 2, step(1, 1));
    cluster.decide();
    assert_eq!(
        cluster.worker_of(&run("second", 0, 1)),
        less_urgent_on,
        "a less urgent task was placed beside the urgent one, though others like it run elsewhere"
    );
}
