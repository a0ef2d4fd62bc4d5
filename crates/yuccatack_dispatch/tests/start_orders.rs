//! Guards against a task that begins again while an earlier start of it may still be carried out,
//! after a refused start or a lost response.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{TestCluster, run, starts, step, stops};
use yuccatack_core::Resources;
use yuccatack_dispatch::StartResult;
use yuccatack_runs::{RunOutcome, StepSpec};

fn cluster_with_start() -> TestCluster {
    let mut cluster = TestCluster::new(1);
    cluster.submit("a", 1, step(1, 8));
    assert_eq!(starts(&cluster.decide()), [run("a", 0, 1)]);
    cluster
}

#[test]
fn refused_start_barred() {
    let mut cluster = cluster_with_start();
    cluster.start_result(&run("a", 0, 1), StartResult::NoRoom);
    assert_eq!(stops(&cluster.decide()), [run("a", 0, 1)]);
    cluster.advance(300);
    cluster.observe(0, &[], &[], &[]);
    assert!(starts(&cluster.decide()).is_empty(), "began again before the stop was confirmed");
    cluster.advance(300);
    cluster.observe(0, &[], &[], &[run("a", 0, 1)]);
    assert_eq!(starts(&cluster.decide()), [run("a", 0, 2)]);
}

#[test]
fn lost_response_recovered() {
    let mut cluster = cluster_with_start();
    cluster.start_result(&run("a", 0, 1), StartResult::Unknown);
    cluster.advance(300);
    cluster.observe(0, &[(run("a", 0, 1), 10)], &[], &[]);
    assert!(stops(&cluster.decide()).is_empty(), "a run that had begun was stopped");
    assert_eq!(cluster.table.open_runs().len(), 1);
}

#[test]
fn lost_start_barred() {
    let mut cluster = cluster_with_start();
    cluster.start_result(&run("a", 0, 1), StartResult::Unknown);
    for _ in 0..2 {
        cluster.advance(300);
        cluster.observe(0, &[], &[], &[]);
    }
    assert_eq!(stops(&cluster.decide()), [run("a", 0, 1)]);
    // The stop is lost as well, so it is sent again.
    cluster.advance(1_000);
    cluster.observe(0, &[], &[], &[]);
    assert_eq!(stops(&cluster.decide()), [run("a", 0, 1)]);
    assert!(cluster.table.open_runs().contains_key(&run("a", 0, 1)));
}

#[test]
fn late_start_ends_as_stopped() {
    let mut cluster = cluster_with_start();
    cluster.start_result(&run("a", 0, 1), StartResult::Refused);
    cluster.decide();
    cluster.advance(300);
    // The start was carried out before the stop, which therefore ends it.
    cluster.observe(0, &[(run("a", 0, 1), 0)], &[], &[run("a", 0, 1)]);
    assert!(starts(&cluster.decide()).is_empty(), "began beside a run that is being stopped");
    cluster.advance(300);
    cluster.observe(0, &[], &[(run("a", 0, 1), RunOutcome::Stopped)], &[]);
    assert_eq!(starts(&cluster.decide()), [run("a", 0, 2)]);
}

#[test]
fn cancelled_run_stopped() {
    let mut cluster = cluster_with_start();
    cluster.report_begun(&run("a", 0, 1));
    cluster.table.cancel(&run("a", 0, 1).task.job, cluster.now.get());
    assert_eq!(stops(&cluster.decide()), [run("a", 0, 1)]);
}

#[test]
fn draining_worker_unused() {
    let mut cluster = TestCluster::new(1);
    let draining = yuccatack_dispatch::WorkerState { draining: true, ..support::state(0, 1) };
    cluster.deliver(0, yuccatack_dispatch::AgentMessage::State(draining));
    cluster.submit("a", 1, step(1, 8));
    assert!(starts(&cluster.decide()).is_empty(), "a draining worker got new work");
}

/// Guards against starts that no agent receives, since their message exceeds its limit and ends the
/// agent's stream.
#[test]
fn large_payloads_split() {
    const MESSAGE_LIMIT_BYTES: usize = 8 << 20;
    let mut cluster = TestCluster::new(1);
    let gang = StepSpec { gang: true, demand: Resources::default(), ..step(400, 0) };
    cluster.submit_payload("a", "x".repeat(100_000), gang);
    let mut started_count = 0;
    for _ in 0..100 {
        let orders = cluster.decide();
        let payload_bytes = orders.iter().flat_map(|(_, orders)| &orders.starts);
        let payload_bytes: usize = payload_bytes.map(|start| start.payload.len()).sum();
        assert!(payload_bytes < MESSAGE_LIMIT_BYTES / 2, "{payload_bytes} bytes in one message");
        started_count += starts(&orders).len();
    }
    assert_eq!(started_count, 400);
}
