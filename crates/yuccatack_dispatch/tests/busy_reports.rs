//! Guards against a leader that decides nothing while workers report ends all the time, and against
//! changes of one batch that contradict each other.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{TestCluster, incarnation, node, run, state, step};
use yuccatack_core::{JobName, TimestampMs};
use yuccatack_dispatch::{AgentMessage, EndedRun, Observation, PendingChanges, TableChange};
use yuccatack_runs::{JobPhase, RunEnd, RunId, RunOutcome};

const PROPOSAL: u64 = 1;

fn end(run: &RunId, outcome: RunOutcome) -> TableChange {
    TableChange::End(RunEnd { run: run.clone(), outcome, checkpoint: None })
}

fn decide(cluster: &mut TestCluster) -> Vec<TableChange> {
    let (now, unix_ms) = (cluster.now, cluster.now.get());
    cluster.dispatcher.decide(&cluster.table, &cluster.configuration, now, unix_ms)
}

fn begun_runs(changes: &[TableChange]) -> Vec<RunId> {
    let starts = changes.iter().filter_map(|change| match change {
        TableChange::Begin(group) => Some(group),
        _ => None,
    });
    starts.flatten().map(|start| start.run.clone()).collect()
}

#[test]
fn decisions_beside_reports() {
    let run = run("a", 0, 1);
    let mut pending = PendingChanges::new(TimestampMs::new(1_000));
    let mut decided_at = 1_000;
    for now in (1_000..5_000).step_by(10) {
        // An end arrives during every commit.
        pending.report(vec![end(&run, RunOutcome::Done)]);
        if pending.begin_decision(TimestampMs::new(now)) {
            decided_at = now;
        }
        assert!(now - decided_at <= 100, "reports kept the leader from deciding");
        assert!(pending.next_batch(now, Vec::new()).is_some());
        pending.report(vec![end(&run, RunOutcome::Done)]);
        pending.on_committed(&now);
    }
}

#[test]
fn ends_come_first() {
    let run = run("a", 0, 1);
    let mut pending = PendingChanges::new(TimestampMs::new(1_000));
    pending.report(vec![end(&run, RunOutcome::Done)]);
    assert!(!pending.begin_decision(TimestampMs::new(1_050)), "the ends free capacity first");
    assert!(pending.next_batch(PROPOSAL, Vec::new()).is_some());
    pending.on_committed(&PROPOSAL);
    assert!(pending.begin_decision(TimestampMs::new(1_060)));
}

#[test]
fn ended_job_not_begun() {
    let mut cluster = TestCluster::new(4);
    let mut pending = PendingChanges::new(cluster.now);
    cluster.submit("a", 1, step(2, 8));
    cluster.decide();
    cluster.end(&run("a", 0, 1), RunOutcome::Failed);
    cluster.decide();
    cluster.end(&run("a", 1, 1), RunOutcome::Stopped);
    // The second failure of the task, reported and not committed, fails the job.
    pending.report(vec![end(&run("a", 0, 2), RunOutcome::Failed)]);
    let decided = decide(&mut cluster);
    assert_eq!(begun_runs(&decided), [run("a", 1, 2)]);
    cluster.apply(pending.next_batch(PROPOSAL, decided).unwrap());
    assert_eq!(cluster.table.job(&JobName::new("a").unwrap()).unwrap().phase, JobPhase::Failed);
    assert!(cluster.table.open_runs().is_empty(), "a task of a failed job began");
}

#[test]
fn each_run_ends_once() {
    let mut cluster = TestCluster::new(1);
    let mut pending = PendingChanges::new(cluster.now);
    for name in ["a", "b"] {
        cluster.submit(name, 1, step(1, 2));
    }
    cluster.decide();
    let observation = Observation {
        incarnation: incarnation(0, 1),
        clock_ms: cluster.clock_ms() + 1,
        running: Vec::new(),
        ended: vec![EndedRun {
            number: 1,
            run: run("a", 0, 1),
            outcome: RunOutcome::Done,
            checkpoint: None,
        }],
        stopped: Vec::new(),
        lists_all_ends: Some(true),
    };
    for message in [AgentMessage::Observed(observation), AgentMessage::State(state(0, 2))] {
        let now = cluster.now;
        pending.report(cluster.dispatcher.on_message(&node(0), message, &cluster.table, now));
    }
    let decided = decide(&mut cluster);
    assert_eq!(decided.len(), 2, "the runs of the earlier incarnation are lost: {decided:?}");
    let batch = pending.next_batch(PROPOSAL, decided).unwrap();
    // The reports of the two incarnations name the first run twice; the decisions add none.
    let ends = batch.iter().filter(|change| matches!(change, TableChange::End(_))).count();
    assert_eq!(ends, 3);
    cluster.apply(batch);
    let phase = |name| cluster.table.job(&JobName::new(name).unwrap()).unwrap().phase;
    assert_eq!(phase("a"), JobPhase::Completed, "a completed run was recorded as lost");
    assert_ne!(phase("b"), JobPhase::Completed);
}
