//! Guards against a departure of an earlier incarnation that is taken for one of the worker that runs:
//! the leader takes its runs for lost, and their tasks begin elsewhere while they go on.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use support::{AttachedAgent, worker};
use tokio::time::{Instant, sleep};
use yuccatack_dispatch::{AgentMessage, StartResult, WorkerState};
use yuccatack_worker_agent::{
    Announcement, PollCall, PollResponse, PollResult, StartCall, StopCall, StopResult, WorkerPort,
};

const START: u64 = 2_000;

/// Time in which an agent polls several times.
const POLLS_DURATION: Duration = Duration::from_millis(800);

/// Behaviour of the worker's address towards polls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Behaviour {
    Answers,
    Silent,
    NotListening,
    OtherIncarnation,
}

#[derive(Clone)]
struct LeavingWorker {
    behaviour: Arc<Mutex<Behaviour>>,
    started_at: Instant,
}

impl LeavingWorker {
    fn new() -> Self {
        Self { behaviour: Arc::new(Mutex::new(Behaviour::Answers)), started_at: Instant::now() }
    }

    fn set(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }
}

impl WorkerPort for LeavingWorker {
    async fn start(&self, _call: StartCall) -> StartResult {
        StartResult::Refused
    }

    async fn stop(&self, _call: StopCall) -> StopResult {
        StopResult::Refused
    }

    async fn poll(&self, _call: PollCall) -> PollResult {
        sleep(Duration::from_millis(20)).await;
        let behaviour = *self.behaviour.lock().unwrap();
        match behaviour {
            Behaviour::Answers => PollResult::Answered(PollResponse {
                started_at_unix_ms: Some(START),
                clock_ms: 5_000 + u64::try_from(self.started_at.elapsed().as_millis()).unwrap(),
                lists_all_ends: true,
                ..PollResponse::default()
            }),
            Behaviour::Silent => PollResult::Failed,
            Behaviour::NotListening => PollResult::NotListening,
            Behaviour::OtherIncarnation => PollResult::OtherIncarnation,
        }
    }
}

/// Agent of a worker that has announced itself and answered polls.
async fn agent_of(port: &LeavingWorker) -> AttachedAgent {
    let mut agent = AttachedAgent::new(port.clone()).await;
    agent.announce(current(), 10).await;
    agent.reports_within(POLLS_DURATION).await;
    agent
}

fn current() -> WorkerState {
    worker("worker", START)
}

/// Departure as a worker sends it that does not name its start.
fn departure() -> Announcement {
    Announcement::Left { worker: current().incarnation.worker, started_at_unix_ms: None }
}

fn has_left(reports: &[AgentMessage]) -> bool {
    reports.iter().any(|report| matches!(report, AgentMessage::Left(_)))
}

fn is_observed(reports: &[AgentMessage]) -> bool {
    reports.iter().any(|report| matches!(report, AgentMessage::Observed(_)))
}

/// Guards against a departure of the boot before, which was held up by a partition.
#[tokio::test]
async fn running_worker_kept() {
    let port = LeavingWorker::new();
    let mut agent = agent_of(&port).await;
    agent.send(departure()).await;
    let reports = agent.reports_within(POLLS_DURATION).await;
    assert!(!has_left(&reports), "reported that a worker left which answers polls");
    assert!(is_observed(&reports), "stopped following the worker that runs");
}

/// Guards against a partition or a freeze that is taken for the end of the process.
#[tokio::test]
async fn silent_worker_kept() {
    let port = LeavingWorker::new();
    let mut agent = agent_of(&port).await;
    port.set(Behaviour::Silent);
    agent.send(departure()).await;
    let reports = agent.reports_within(POLLS_DURATION).await;
    assert!(!has_left(&reports), "reported that a worker left which may only be silent");
    port.set(Behaviour::Answers);
    let reports = agent.reports_within(POLLS_DURATION).await;
    assert!(is_observed(&reports), "stopped following the worker that runs");
}

/// Guards against runs that wait for the end of their lease although their worker has left.
#[tokio::test]
async fn ended_worker_reported() {
    for behaviour in [Behaviour::NotListening, Behaviour::OtherIncarnation] {
        let port = LeavingWorker::new();
        let mut agent = agent_of(&port).await;
        agent.send(departure()).await;
        // The process ends some time after it has said that it leaves.
        agent.reports_within(Duration::from_millis(300)).await;
        port.set(behaviour);
        let reports = agent.reports_within(POLLS_DURATION).await;
        assert!(has_left(&reports), "{behaviour:?}: the departure was not reported");
    }
}

/// Guards against a crash that is taken for the departure of an earlier boot, long after it.
#[tokio::test]
async fn later_announcement_counts() {
    let port = LeavingWorker::new();
    let mut agent = agent_of(&port).await;
    agent.send(departure()).await;
    agent.announce(current(), 11).await;
    agent.reports_within(POLLS_DURATION).await;
    port.set(Behaviour::NotListening);
    let reports = agent.reports_within(POLLS_DURATION).await;
    assert!(!has_left(&reports), "a worker that had announced itself again was reported as left");
}

/// Guards against a new boot that is not followed because the departure of the one before comes after
/// its first announcement.
#[tokio::test]
async fn announced_worker_kept() {
    let port = LeavingWorker::new();
    port.set(Behaviour::Silent);
    let mut agent = AttachedAgent::new(port.clone()).await;
    agent.announce(current(), 1).await;
    agent.send(departure()).await;
    port.set(Behaviour::Answers);
    let reports = agent.reports_within(POLLS_DURATION).await;
    assert!(!has_left(&reports));
    assert!(is_observed(&reports), "the new boot was forgotten");
}
