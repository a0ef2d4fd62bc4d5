//! Guards against finished work that runs again: a worker was cut off, the leader gave its run up,
//! and the end that the worker lists when it is back was acknowledged and dropped.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{TestCluster, incarnation, node, run, starts, step};
use yuccatack_core::JobName;
use yuccatack_dispatch::TableChange;
use yuccatack_runs::{JobPhase, RunId, RunOutcome, StepSpec};

/// Time after which the leader takes every lease of an unreachable worker for expired.
const CUT_MS: u64 = 15_000;

/// Begins a job on worker 0 and cuts it off until the leader gives the runs up. No other worker
/// has room for it until the end of the cut.
fn cluster_after_cut(spec: StepSpec) -> TestCluster {
    let mut cluster = TestCluster::new(1);
    let members: Vec<RunId> = (0..spec.task_count).map(|index| run("a", index, 1)).collect();
    cluster.submit("a", 1, spec);
    cluster.decide();
    members.iter().for_each(|member| cluster.report_begun(member));
    cluster.dispatcher.disconnect(&node(0));
    cluster.advance(CUT_MS);
    cluster.decide();
    assert!(cluster.table.open_runs().is_empty(), "the runs were not given up");
    cluster.dispatcher.connect(&node(0));
    cluster
}

fn phase(cluster: &TestCluster) -> JobPhase {
    cluster.table.job(&JobName::new("a").unwrap()).unwrap().phase
}

#[test]
fn end_completes_task() {
    let mut cluster = cluster_after_cut(step(1, 8));
    cluster.observe(0, &[], &[(run("a", 0, 1), RunOutcome::Done)], &[]);
    assert_eq!(phase(&cluster), JobPhase::Completed, "the end was dropped");
    assert_eq!(cluster.table.acknowledged_end(&incarnation(0, 1)), 1);
    assert!(starts(&cluster.decide()).is_empty(), "finished work ran again");
}

#[test]
fn member_completes_gang() {
    let mut cluster = cluster_after_cut(StepSpec { gang: true, ..step(2, 4) });
    cluster.observe(0, &[], &[(run("a", 1, 1), RunOutcome::Done)], &[]);
    assert_eq!(phase(&cluster), JobPhase::Completed, "the end of a member was dropped");
    assert!(starts(&cluster.decide()).is_empty(), "finished work ran again");
}

#[test]
fn other_ends_dropped() {
    for outcome in [RunOutcome::Failed, RunOutcome::Lapsed, RunOutcome::Stopped] {
        let mut cluster = cluster_after_cut(step(1, 8));
        cluster.observe(0, &[], &[(run("a", 0, 1), outcome)], &[]);
        assert_eq!(starts(&cluster.decide()), [run("a", 0, 2)], "{outcome:?} completed the task");
    }
}

#[test]
fn second_run_goes_on() {
    let mut cluster = cluster_after_cut(step(1, 8));
    cluster.observe(0, &[], &[], &[]);
    assert_eq!(starts(&cluster.decide()), [run("a", 0, 2)]);
    cluster.report_begun(&run("a", 0, 2));
    cluster.advance(300);
    let running = [(run("a", 0, 2), 10)];
    cluster.observe(0, &running, &[(run("a", 0, 1), RunOutcome::Done)], &[]);
    assert_eq!(phase(&cluster), JobPhase::Running, "a late end completed a task that executes");
    assert_eq!(cluster.table.acknowledged_end(&incarnation(0, 1)), 1);
    assert!(cluster.table.open_runs().contains_key(&run("a", 0, 2)));
}

/// The start is committed between the report and the commit of what follows from it.
#[test]
fn committed_start_prevails() {
    let mut cluster = cluster_after_cut(step(1, 8));
    cluster.observe(0, &[], &[], &[]);
    cluster.decide();
    cluster.apply(vec![TableChange::CompleteLate(run("a", 0, 1))]);
    assert_eq!(phase(&cluster), JobPhase::Running, "a late end completed a task beside a run");
}
