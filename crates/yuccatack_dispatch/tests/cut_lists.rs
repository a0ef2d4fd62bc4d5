//! Guards against tasks that have completed and begin again: the worker lists a part of its ends at a
//! time, and a run whose end is not listed yet counted as one that had never begun.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{TOKEN, TestCluster, incarnation, node, run, settings, starts, state, step, stops};
use yuccatack_core::JobName;
use yuccatack_dispatch::{
    AgentMessage, Dispatcher, EndedRun, Observation, StartResult, TableChange,
};
use yuccatack_runs::{JobPhase, RunId, RunOutcome};

/// Number of tasks that end at the same time; the worker lists one end less.
const TASK_COUNT: u32 = 4;

fn ended(index: u32) -> EndedRun {
    EndedRun {
        number: u64::from(index) + 1,
        run: run("a", index, 1),
        outcome: RunOutcome::Done,
        checkpoint: None,
    }
}

/// Delivers an observation of worker 0 without executing runs.
fn observe(
    cluster: &mut TestCluster,
    ended: Vec<EndedRun>,
    stopped: &[RunId],
    lists_all_ends: Option<bool>,
) {
    cluster.advance(300);
    let observation = Observation {
        incarnation: incarnation(0, 1),
        clock_ms: cluster.clock_ms(),
        running: Vec::new(),
        ended,
        stopped: stopped.to_vec(),
        lists_all_ends,
    };
    cluster.deliver(0, AgentMessage::Observed(observation));
    cluster.dispatcher.confirm_leadership(cluster.now);
}

/// Creates a cluster whose new leader has ordered the runs again, which the worker refused: all of
/// them ended while nobody led.
fn cluster_after_handover() -> TestCluster {
    let mut cluster = TestCluster::new(1);
    cluster.submit("a", 1, step(TASK_COUNT, 1));
    cluster.decide();
    (0..TASK_COUNT).for_each(|index| cluster.report_begun(&run("a", index, 1)));
    cluster.dispatcher = Dispatcher::new(settings(), TOKEN + 1, cluster.now);
    cluster.dispatcher.connect(&node(0));
    cluster.deliver(0, AgentMessage::State(state(0, 1)));
    // No end is listed by the first responses either.
    observe(&mut cluster, Vec::new(), &[], Some(false));
    cluster.decide();
    for index in 0..TASK_COUNT {
        cluster.start_result(&run("a", index, 1), StartResult::Refused);
    }
    cluster
}

fn phase(cluster: &TestCluster) -> JobPhase {
    cluster.table.job(&JobName::new("a").unwrap()).unwrap().phase
}

/// Plays the responses of a worker that lists all ends but the last one, and then this one. Returns
/// the runs that begin meanwhile.
fn play(cluster: &mut TestCluster, lists_all_ends: [Option<bool>; 2]) -> Vec<RunId> {
    let last = TASK_COUNT - 1;
    let mut begun = Vec::new();
    for _ in 0..4 {
        let stopped = stops(&cluster.decide());
        let listed = (0..last).map(ended).collect();
        observe(cluster, listed, &stopped, lists_all_ends[0]);
        begun.extend(starts(&cluster.decide()));
    }
    observe(cluster, vec![ended(last)], &[run("a", last, 1)], lists_all_ends[1]);
    begun.extend(starts(&cluster.decide()));
    begun
}

#[test]
fn unlisted_end() {
    let mut cluster = cluster_after_handover();
    let begun = play(&mut cluster, [Some(false), Some(true)]);
    assert!(begun.is_empty(), "a task that had completed began again: {begun:?}");
    assert_eq!(phase(&cluster), JobPhase::Completed);
}

#[test]
fn earlier_agent() {
    // An agent of an earlier version does not tell whether the list is cut.
    let mut cluster = cluster_after_handover();
    let begun = play(&mut cluster, [None, None]);
    assert!(begun.is_empty(), "a task that had completed began again: {begun:?}");
    assert_eq!(phase(&cluster), JobPhase::Completed);
}

#[test]
fn unlisted_run_keeps_executing() {
    // Without a leader change, a missing run was stopped after two observations.
    let mut cluster = TestCluster::new(1);
    cluster.submit("a", 1, step(TASK_COUNT, 1));
    cluster.decide();
    (0..TASK_COUNT).for_each(|index| cluster.report_begun(&run("a", index, 1)));
    for _ in 0..4 {
        observe(&mut cluster, vec![ended(0)], &[], Some(false));
        assert!(stops(&cluster.decide()).is_empty(), "a run was stopped that may have ended");
    }
}

#[test]
fn absent_run_begins_again() {
    // A run that never began must still be found in a complete observation.
    for lists_all_ends in [Some(true), None] {
        let mut cluster = cluster_after_handover();
        let mut begun = Vec::new();
        for _ in 0..4 {
            let stopped = stops(&cluster.decide());
            observe(&mut cluster, Vec::new(), &stopped, lists_all_ends);
            begun.extend(starts(&cluster.decide()));
        }
        let expected: Vec<RunId> = (0..TASK_COUNT).map(|index| run("a", index, 2)).collect();
        assert_eq!(begun, expected, "{lists_all_ends:?}");
    }
}

#[test]
fn acknowledged_in_order() {
    // The acknowledgement makes the worker list the ends that are missing.
    let mut cluster = cluster_after_handover();
    let listed: Vec<EndedRun> = (0..TASK_COUNT - 1).map(ended).collect();
    let observation = Observation {
        incarnation: incarnation(0, 1),
        clock_ms: cluster.clock_ms() + 1,
        running: Vec::new(),
        ended: listed,
        stopped: Vec::new(),
        lists_all_ends: Some(false),
    };
    let message = AgentMessage::Observed(observation);
    let changes = cluster.dispatcher.on_message(&node(0), message, &cluster.table, cluster.now);
    let acknowledged = TableChange::AcknowledgeEnds(incarnation(0, 1), u64::from(TASK_COUNT) - 1);
    assert_eq!(changes.last(), Some(&acknowledged));
}
