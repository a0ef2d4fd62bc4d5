//! Guards against run ends that the table never holds because the batch with them failed while the
//! leader stayed: the run stayed open, and its task never began again or ran twice.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{TestCluster, incarnation, node, run, starts, step};
use yuccatack_core::JobName;
use yuccatack_dispatch::{AgentMessage, EndedRun, Observation, PendingChanges, TableChange};
use yuccatack_runs::{JobPhase, RunId, RunOutcome, StepSpec};

const PROPOSAL: u64 = 1;

/// Reports an observation of worker 0 that lists these ends.
fn report_ends(cluster: &mut TestCluster, pending: &mut PendingChanges<u64>, ended: &[EndedRun]) {
    cluster.advance(300);
    let observation = Observation {
        incarnation: incarnation(0, 1),
        clock_ms: cluster.clock_ms(),
        running: Vec::new(),
        ended: ended.to_vec(),
        stopped: Vec::new(),
        lists_all_ends: Some(true),
    };
    let message = AgentMessage::Observed(observation);
    let changes = cluster.dispatcher.on_message(&node(0), message, &cluster.table, cluster.now);
    cluster.dispatcher.confirm_leadership(cluster.now);
    pending.report(changes);
}

fn ended(number: u64, run: &RunId, outcome: RunOutcome) -> EndedRun {
    EndedRun { number, run: run.clone(), outcome, checkpoint: None }
}

fn commit(cluster: &mut TestCluster, pending: &mut PendingChanges<u64>) {
    if let Some(changes) = pending.next_batch(PROPOSAL, Vec::new()) {
        cluster.apply(changes);
        pending.on_committed(&PROPOSAL);
    }
}

fn fail(pending: &mut PendingChanges<u64>) {
    assert!(pending.next_batch(PROPOSAL, Vec::new()).is_some(), "there is nothing to propose");
    pending.on_failed(&PROPOSAL);
}

/// Begins these jobs of one task on the only worker.
fn begin(cluster: &mut TestCluster, names: &[&str]) {
    for name in names {
        cluster.submit(name, 1, step(1, 2));
    }
    cluster.decide();
    names.iter().for_each(|name| cluster.report_begun(&run(name, 0, 1)));
}

#[test]
fn failed_batch_repeated() {
    let mut cluster = TestCluster::new(1);
    let mut pending = PendingChanges::new(cluster.now);
    cluster.submit("a", 1, StepSpec { gang: true, ..step(2, 2) });
    cluster.decide();
    let members = [run("a", 0, 1), run("a", 1, 1)];
    members.iter().for_each(|member| cluster.report_begun(member));
    let ends =
        [ended(1, &members[0], RunOutcome::Lapsed), ended(2, &members[1], RunOutcome::Broken)];
    report_ends(&mut cluster, &mut pending, &ends);
    fail(&mut pending);
    for _ in 0..3 {
        report_ends(&mut cluster, &mut pending, &ends);
        commit(&mut cluster, &mut pending);
    }
    assert!(cluster.table.open_runs().is_empty(), "the ends of the failed batch were dropped");
    assert_eq!(starts(&cluster.decide()), [run("a", 0, 2), run("a", 1, 2)]);
}

#[test]
fn acknowledgement_after_ends() {
    let mut cluster = TestCluster::new(1);
    let mut pending = PendingChanges::new(cluster.now);
    begin(&mut cluster, &["a", "b"]);
    let first = ended(1, &run("a", 0, 1), RunOutcome::Done);
    let second = ended(2, &run("b", 0, 1), RunOutcome::Done);
    report_ends(&mut cluster, &mut pending, std::slice::from_ref(&first));
    fail(&mut pending);
    report_ends(&mut cluster, &mut pending, &[first, second]);
    commit(&mut cluster, &mut pending);
    assert_eq!(cluster.table.acknowledged_end(&incarnation(0, 1)), 2);
    for name in ["a", "b"] {
        let phase = cluster.table.job(&JobName::new(name).unwrap()).unwrap().phase;
        assert_eq!(phase, JobPhase::Completed, "the worker dropped an end that was not stored");
    }
}

#[test]
fn reports_in_flight_kept() {
    let mut cluster = TestCluster::new(1);
    let mut pending = PendingChanges::new(cluster.now);
    begin(&mut cluster, &["a", "b"]);
    let first = ended(1, &run("a", 0, 1), RunOutcome::Done);
    let second = ended(2, &run("b", 0, 1), RunOutcome::Done);
    report_ends(&mut cluster, &mut pending, std::slice::from_ref(&first));
    let batch = pending.next_batch(PROPOSAL, Vec::new()).unwrap();
    report_ends(&mut cluster, &mut pending, &[first, second]);
    cluster.apply(batch);
    pending.on_committed(&PROPOSAL);
    assert_eq!(cluster.table.open_runs().len(), 1);
    commit(&mut cluster, &mut pending);
    assert!(cluster.table.open_runs().is_empty(), "an end reported beside a batch was dropped");
    let next = pending.next_batch(PROPOSAL, Vec::new());
    assert_eq!(next, None, "a committed end is proposed again");
}

#[test]
fn failure_counts_once() {
    let mut cluster = TestCluster::new(1);
    let mut pending = PendingChanges::new(cluster.now);
    begin(&mut cluster, &["a"]);
    let failed = ended(1, &run("a", 0, 1), RunOutcome::Failed);
    for _ in 0..3 {
        report_ends(&mut cluster, &mut pending, std::slice::from_ref(&failed));
        fail(&mut pending);
    }
    commit(&mut cluster, &mut pending);
    // Two failures would quarantine the worker.
    cluster.submit("b", 1, step(1, 2));
    assert_eq!(starts(&cluster.decide()), [run("b", 0, 1)], "one failure was counted repeatedly");
}

#[test]
fn late_completions_ignored() {
    let mut cluster = TestCluster::new(1);
    let mut pending = PendingChanges::new(cluster.now);
    begin(&mut cluster, &["a"]);
    let ends = [ended(1, &run("a", 0, 1), RunOutcome::Done)];
    report_ends(&mut cluster, &mut pending, &ends);
    let (stale, newer) = (PROPOSAL, PROPOSAL + 1);
    assert!(pending.next_batch(newer, Vec::new()).is_some());
    // A batch of an earlier leadership completes while the newer one is in flight.
    pending.on_failed(&stale);
    assert!(pending.is_in_flight(), "a second batch would be decided on an outdated table");
    pending.on_committed(&stale);
    assert!(pending.is_in_flight(), "a second batch would be decided on an outdated table");
    pending.on_failed(&newer);
    let next = pending.next_batch(newer + 1, Vec::new());
    assert!(next.is_some(), "an end was dropped before the table held it");
}

/// An acknowledgement of an earlier incarnation drops the number of the current one.
#[test]
fn late_acknowledgement_repaired() {
    let mut cluster = TestCluster::new(1);
    let mut pending = PendingChanges::new(cluster.now);
    begin(&mut cluster, &["a", "b"]);
    let first = ended(1, &run("a", 0, 1), RunOutcome::Done);
    let second = ended(2, &run("b", 0, 1), RunOutcome::Done);
    report_ends(&mut cluster, &mut pending, std::slice::from_ref(&first));
    commit(&mut cluster, &mut pending);
    cluster.apply(vec![TableChange::AcknowledgeEnds(incarnation(0, 0), 7)]);
    assert_eq!(cluster.table.acknowledged_end(&incarnation(0, 1)), 0);
    // The next end restores the number, and no end is lost.
    report_ends(&mut cluster, &mut pending, &[first, second]);
    commit(&mut cluster, &mut pending);
    assert_eq!(cluster.table.acknowledged_end(&incarnation(0, 1)), 2);
    assert!(cluster.table.open_runs().is_empty());
    let orders = cluster.decide();
    assert_eq!(orders[0].1.acknowledged_end, 2, "the worker lists stored ends for ever");
}
