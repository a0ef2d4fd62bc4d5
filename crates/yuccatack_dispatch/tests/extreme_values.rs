//! Guards against values that callers or workers choose and that overflow the leader's arithmetic.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{TestCluster, run, starts, step};
use yuccatack_core::{DurationMs, Resources};
use yuccatack_runs::StepSpec;

#[test]
fn huge_run_time() {
    let mut cluster = TestCluster::new(1);
    let huge = StepSpec { estimated_run_ms: DurationMs::new(u64::MAX), ..step(1, 8) };
    cluster.submit("huge", 1, huge);
    assert_eq!(starts(&cluster.decide()), [run("huge", 0, 1)]);
    cluster.report_begun(&run("huge", 0, 1));
    cluster.observe(0, &[(run("huge", 0, 1), 99)], &[], &[]);
    // The search for runs to evict computes the loss of the first job.
    cluster.submit("urgent", 0, step(1, 8));
    cluster.decide();
}

#[test]
fn huge_demand() {
    let mut cluster = TestCluster::new(1);
    let demand = Resources { cores_milli: u64::MAX, ..step(1, 1).demand };
    cluster.submit("huge", 0, StepSpec { demand, ..step(2, 1) });
    assert!(starts(&cluster.decide()).is_empty());
}

#[test]
fn huge_clock() {
    let mut cluster = TestCluster::new(1);
    cluster.clock_offset_ms = u64::MAX - cluster.now.get() - 1_000;
    cluster.submit("a", 1, step(1, 8));
    cluster.advance(100);
    cluster.observe(0, &[], &[], &[]);
    assert_eq!(starts(&cluster.decide()), [run("a", 0, 1)]);
}
