//! Guards against a late announcement of an incarnation that has ended: once an agent reports it, the
//! leader takes the runs of the one that does run for lost and begins their tasks elsewhere.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use support::{AttachedAgent, worker};
use tokio::time::{Instant, sleep};
use yuccatack_dispatch::{AgentMessage, StartResult, WorkerState};
use yuccatack_worker_agent::{
    Announcement, PollCall, PollResponse, PollResult, StartCall, StopCall, StopResult, WorkerPort,
};

const EARLIER_START: u64 = 1_000;
const LATER_START: u64 = 2_000;

/// Worker that rejects calls for other incarnations than the one that runs.
#[derive(Clone)]
struct RestartedWorker {
    running_start: Arc<AtomicU64>,
    /// `true` while the worker leaves polls unanswered.
    is_silent: Arc<AtomicBool>,
    started_at: Instant,
}

impl RestartedWorker {
    fn new(running_start: u64) -> Self {
        Self {
            running_start: Arc::new(AtomicU64::new(running_start)),
            is_silent: Arc::new(AtomicBool::new(false)),
            started_at: Instant::now(),
        }
    }
}

impl WorkerPort for RestartedWorker {
    async fn start(&self, _call: StartCall) -> StartResult {
        StartResult::Refused
    }

    async fn stop(&self, _call: StopCall) -> StopResult {
        StopResult::Refused
    }

    async fn poll(&self, call: PollCall) -> PollResult {
        sleep(Duration::from_millis(20)).await;
        if self.is_silent.load(Ordering::SeqCst) {
            return PollResult::Failed;
        }
        let started_at_unix_ms = self.running_start.load(Ordering::SeqCst);
        if call.incarnation.started_at_unix_ms != started_at_unix_ms {
            return PollResult::OtherIncarnation;
        }
        PollResult::Answered(PollResponse {
            started_at_unix_ms: Some(started_at_unix_ms),
            clock_ms: 5_000 + u64::try_from(self.started_at.elapsed().as_millis()).unwrap(),
            lists_all_ends: true,
            ..PollResponse::default()
        })
    }
}

fn earlier() -> WorkerState {
    worker("earlier", EARLIER_START)
}

fn later() -> WorkerState {
    worker("later", LATER_START)
}

fn states(reports: &[AgentMessage]) -> Vec<&WorkerState> {
    let mut states = Vec::new();
    for report in reports {
        if let AgentMessage::State(state) = report {
            states.push(state);
        }
    }
    states
}

fn observed(reports: &[AgentMessage], state: &WorkerState) -> bool {
    reports.iter().any(|report| match report {
        AgentMessage::Observed(observation) => observation.incarnation == state.incarnation,
        _ => false,
    })
}

#[tokio::test]
async fn first_announcement_late() {
    let mut agent = AttachedAgent::new(RestartedWorker::new(LATER_START)).await;
    agent.announce(earlier(), 100).await;
    let reports = agent.reports_within(Duration::from_secs(1)).await;
    assert!(reports.is_empty(), "reported a worker that does not run: {reports:?}");
    agent.announce(later(), 1).await;
    let reports = agent.reports_within(Duration::from_secs(1)).await;
    assert_eq!(states(&reports), vec![&later()]);
    assert!(observed(&reports, &later()));
}

#[tokio::test]
async fn announcement_during_silence() {
    let port = RestartedWorker::new(LATER_START);
    let mut agent = AttachedAgent::new(port.clone()).await;
    agent.announce(later(), 1).await;
    agent.reports_within(Duration::from_millis(700)).await;
    port.is_silent.store(true, Ordering::SeqCst);
    agent.reports_within(Duration::from_millis(700)).await;
    agent.announce(earlier(), 100).await;
    let reports = agent.reports_within(Duration::from_millis(700)).await;
    assert!(states(&reports).is_empty(), "reported a worker that has not answered");
    port.is_silent.store(false, Ordering::SeqCst);
    let reports = agent.reports_within(Duration::from_millis(1_500)).await;
    assert!(states(&reports).is_empty(), "reported a worker that does not run");
    assert!(observed(&reports, &later()), "stopped following the worker that runs");
}

#[tokio::test]
async fn restart_during_silence() {
    // The wall clock may have gone back, so the start of the next incarnation may be earlier.
    let port = RestartedWorker::new(LATER_START);
    let mut agent = AttachedAgent::new(port.clone()).await;
    agent.announce(later(), 1).await;
    agent.reports_within(Duration::from_millis(700)).await;
    port.is_silent.store(true, Ordering::SeqCst);
    agent.reports_within(Duration::from_millis(700)).await;
    port.running_start.store(EARLIER_START, Ordering::SeqCst);
    agent.announce(earlier(), 1).await;
    port.is_silent.store(false, Ordering::SeqCst);
    let reports = agent.reports_within(Duration::from_secs(1)).await;
    assert_eq!(states(&reports), vec![&earlier()]);
    assert!(observed(&reports, &earlier()));
}

#[tokio::test]
async fn departure_keeps_candidate() {
    // The next worker may announce itself before the departure of the current one arrives.
    let port = RestartedWorker::new(EARLIER_START);
    let mut agent = AttachedAgent::new(port.clone()).await;
    agent.announce(earlier(), 1).await;
    agent.reports_within(Duration::from_millis(700)).await;
    port.is_silent.store(true, Ordering::SeqCst);
    port.running_start.store(LATER_START, Ordering::SeqCst);
    agent.announce(later(), 1).await;
    let worker = earlier().incarnation.worker;
    agent.send(Announcement::Left { worker, started_at_unix_ms: Some(EARLIER_START) }).await;
    port.is_silent.store(false, Ordering::SeqCst);
    let reports = agent.reports_within(Duration::from_secs(1)).await;
    assert_eq!(states(&reports), vec![&later()]);
}
