//! Guards against a run that goes on after the table has taken it for lost: its task begins elsewhere
//! meanwhile, and both runs work on.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{TestCluster, node, run, settings, state, step, stops};
use yuccatack_dispatch::{AgentMessage, Dispatcher};

/// Longest time to a repeated stop.
const RESEND_MS: u64 = 800;

/// Returns a cluster whose worker 0 executes a run that the table does not hold.
fn cluster_with_unheld_run() -> TestCluster {
    let mut cluster = TestCluster::new(2);
    cluster.observe(0, &[(run("a", 0, 1), 10)], &[], &[]);
    cluster
}

#[test]
fn unheld_run_stopped() {
    let mut cluster = cluster_with_unheld_run();
    assert_eq!(stops(&cluster.decide()), [run("a", 0, 1)]);
    assert!(stops(&cluster.decide()).is_empty(), "the stop was sent twice at once");
    cluster.advance(RESEND_MS);
    cluster.observe(0, &[(run("a", 0, 1), 20)], &[], &[]);
    assert_eq!(stops(&cluster.decide()), [run("a", 0, 1)], "the stop was not sent again");
    cluster.advance(RESEND_MS);
    cluster.observe(0, &[], &[], &[]);
    assert!(stops(&cluster.decide()).is_empty(), "stopped a run that is not listed any more");
}

#[test]
fn lost_run_stopped() {
    // An agent reports the departure of a worker that executes on, and then the worker again.
    let mut cluster = TestCluster::new(1);
    cluster.submit("a", 1, step(1, 8));
    cluster.decide();
    cluster.report_begun(&run("a", 0, 1));
    cluster.observe(0, &[(run("a", 0, 1), 10)], &[], &[]);
    assert!(stops(&cluster.decide()).is_empty(), "stopped a run that the table holds");
    cluster.deliver(0, AgentMessage::Left(state(0, 1).incarnation));
    cluster.deliver(0, AgentMessage::State(state(0, 1)));
    cluster.observe(0, &[(run("a", 0, 1), 20)], &[], &[]);
    assert_eq!(stops(&cluster.decide()), [run("a", 0, 1)]);
}

#[test]
fn new_leader_waits() {
    // A new leader may not have applied the start of the run yet.
    let mut cluster = TestCluster::new(1);
    cluster.dispatcher = Dispatcher::new(settings(), support::TOKEN + 1, cluster.now);
    cluster.dispatcher.connect(&node(0));
    cluster.deliver(0, AgentMessage::State(state(0, 1)));
    cluster.observe_unconfirmed(0, &[(run("a", 0, 1), 10)], &[], &[]);
    assert!(stops(&cluster.decide()).is_empty(), "stopped a run before the table was complete");
    cluster.dispatcher.confirm_leadership(cluster.now);
    assert_eq!(stops(&cluster.decide()), [run("a", 0, 1)]);
}

#[test]
fn stop_sent_on_new_stream() {
    let mut cluster = cluster_with_unheld_run();
    assert_eq!(stops(&cluster.decide()), [run("a", 0, 1)]);
    cluster.dispatcher.disconnect(&node(0));
    cluster.dispatcher.connect(&node(0));
    assert_eq!(stops(&cluster.decide()), [run("a", 0, 1)], "the stop was lost with the stream");
}
