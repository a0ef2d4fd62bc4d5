//! Guards against a confirmed stop that is reported with a cut list of ends: a leader then takes a
//! run whose end is not listed yet for one that never began, and begins its task again.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use support::{AttachedAgent, orders, run, worker};
use tokio::time::{Instant, sleep};
use yuccatack_dispatch::{AgentMessage, Observation, Orders, StartResult};
use yuccatack_worker_agent::{
    PollCall, PollResponse, PollResult, StartCall, StopCall, StopResult, WorkerPort,
};

/// Start of the worker's incarnation.
const START: u64 = 1_000;

/// Number of polls after which the worker lists all ends.
const CUT_LIST_COUNT: u64 = 8;

struct BusyWorker {
    started_at: Instant,
    poll_count: AtomicU64,
}

impl WorkerPort for BusyWorker {
    async fn start(&self, _call: StartCall) -> StartResult {
        StartResult::Refused
    }

    async fn stop(&self, _call: StopCall) -> StopResult {
        StopResult::Confirmed
    }

    async fn poll(&self, _call: PollCall) -> PollResult {
        sleep(Duration::from_millis(50)).await;
        let poll_count = self.poll_count.fetch_add(1, Ordering::SeqCst);
        PollResult::Answered(PollResponse {
            started_at_unix_ms: Some(START),
            clock_ms: 5_000 + u64::try_from(self.started_at.elapsed().as_millis()).unwrap(),
            lists_all_ends: poll_count >= CUT_LIST_COUNT,
            ..PollResponse::default()
        })
    }
}

#[tokio::test]
async fn stop_reported_with_all_ends() {
    let port = BusyWorker { started_at: Instant::now(), poll_count: AtomicU64::new(0) };
    let mut agent = AttachedAgent::new(port).await;
    let state = worker("worker", START);
    let incarnation = state.incarnation.clone();
    agent.announce(state, 1).await;
    agent.reports_within(Duration::from_millis(100)).await;
    agent.order(Orders { stops: vec![run(0)], ..orders(&incarnation) }).await;
    let reports = agent.reports_within(Duration::from_secs(3)).await;
    let observations: Vec<&Observation> = reports
        .iter()
        .filter_map(|report| match report {
            AgentMessage::Observed(observation) => Some(observation),
            _ => None,
        })
        .collect();
    let (complete, cut): (Vec<&Observation>, Vec<&Observation>) =
        observations.into_iter().partition(|observation| observation.is_complete());
    assert!(!cut.is_empty(), "no cut list was reported");
    for observation in cut {
        assert_eq!(observation.lists_all_ends, Some(false));
        assert!(observation.stopped.is_empty(), "a stop was reported with a cut list");
    }
    let stopped_count =
        complete.iter().filter(|observation| observation.stopped == [run(0)]).count();
    assert_eq!(stopped_count, 1, "the stop was not reported once with all ends");
}
