//! Guards against reports that an agent or a leader of another version cannot read: its worker would
//! get no orders until both have the same version.

#![allow(clippy::unwrap_used, missing_docs)]

use serde::{Deserialize, Serialize};
use yuccatack_core::{JobName, NodeName, WorkerName};
use yuccatack_dispatch::{AgentMessage, EndedRun, Observation, RunningRun};
use yuccatack_queue_client::generated::queue_control::Envelope;
use yuccatack_queue_client::protocol::AgentFrame;
use yuccatack_runs::{RunId, RunOutcome, TaskId, WorkerIncarnation};

/// Frame of an agent before observations told whether they list all ends.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierFrame {
    Report(EarlierMessage),
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierMessage {
    Observed(EarlierObservation),
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierObservation {
    life: WorkerIncarnation,
    clock_ms: u64,
    running: Vec<RunningRun>,
    ended: Vec<EndedRun>,
    stopped: Vec<RunId>,
}

fn run() -> RunId {
    let task = TaskId { job: JobName::new("job").unwrap(), occurrence: 0, step: 0, index: 0 };
    RunId { task, number: 1 }
}

fn earlier_frame(ended: Vec<EndedRun>) -> EarlierFrame {
    EarlierFrame::Report(EarlierMessage::Observed(EarlierObservation {
        life: WorkerIncarnation {
            node: NodeName::new("node").unwrap(),
            worker: WorkerName::new("worker").unwrap(),
            started_at_unix_ms: 1,
        },
        clock_ms: 70,
        running: Vec::new(),
        ended,
        stopped: vec![run()],
    }))
}

fn read(frame: &EarlierFrame) -> Observation {
    let body = rmp_serde::to_vec_named(frame).unwrap();
    match AgentFrame::try_from(Envelope { body: body.into() }) {
        Ok(AgentFrame::Report(AgentMessage::Observed(observation))) => observation,
        other => panic!("{other:?}"),
    }
}

#[test]
fn earlier_observation_read() {
    let end = EndedRun { number: 1, run: run(), outcome: RunOutcome::Done, checkpoint: None };
    let observation = read(&earlier_frame(vec![end]));
    assert_eq!(observation.lists_all_ends, None);
    assert!(!observation.is_complete(), "the list of ends may be cut");
    assert!(read(&earlier_frame(Vec::new())).is_complete());
}

#[test]
fn new_observation_read() {
    let earlier = earlier_frame(Vec::new());
    let observation = Observation { lists_all_ends: Some(true), ..read(&earlier) };
    let frame = AgentFrame::Report(AgentMessage::Observed(observation));
    let envelope = Envelope::try_from(&frame).unwrap();
    let found: EarlierFrame = rmp_serde::from_slice(&envelope.body).unwrap();
    assert_eq!(found, earlier);
}
