//! Guards against a group that waits without a bound for a placement that the scheduler prefers, or
//! on a worker that does not take it, while most of the capacity is free.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{TestCluster, run, starts, step};
use yuccatack_runs::RunOutcome;

#[test]
fn last_attempt_not_blocking() {
    let mut cluster = TestCluster::new(1);
    cluster.submit("a", 1, step(2, 4));
    cluster.decide();
    cluster.report_begun(&run("a", 0, 1));
    cluster.report_begun(&run("a", 1, 1));
    let ended = [(run("a", 0, 1), RunOutcome::Failed), (run("a", 1, 1), RunOutcome::Stopped)];
    cluster.observe(0, &[], &ended, &[]);
    assert_eq!(
        starts(&cluster.decide()),
        [run("a", 1, 2)],
        "a last attempt that waits for a reliable worker blocked its sibling"
    );
}
