//! Guards against a start that was delayed on its way and is carried out after the leader has promised
//! that nothing starts in the worker's data centre.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use support::{AttachedAgent, orders, start, worker};
use tokio::time::{Instant, sleep};
use yuccatack_dispatch::{AgentMessage, Orders, StartOrder, StartResult};
use yuccatack_worker_agent::{
    PollCall, PollResponse, PollResult, StartCall, StopCall, StopResult, WorkerPort,
};

/// Time in which an agent carries out an order and reports its result.
const RESULT_TIME: Duration = Duration::from_millis(600);

/// Reading of the worker's clock when the test begins.
const FIRST_READING_MS: u64 = 5_000;

/// Time that a start without an answer takes.
const SILENT_START_TIME: Duration = Duration::from_millis(300);

/// Worker that answers no start, or begins each one.
struct CountingWorker {
    began_at: Instant,
    is_silent: bool,
    start_count: Arc<AtomicU32>,
}

impl WorkerPort for CountingWorker {
    async fn start(&self, _call: StartCall) -> StartResult {
        self.start_count.fetch_add(1, Ordering::SeqCst);
        if !self.is_silent {
            return StartResult::Begun;
        }
        sleep(SILENT_START_TIME).await;
        StartResult::Unknown
    }

    async fn stop(&self, _call: StopCall) -> StopResult {
        StopResult::Unknown
    }

    async fn poll(&self, call: PollCall) -> PollResult {
        sleep(Duration::from(call.wait_ms)).await;
        let elapsed_ms = self.began_at.elapsed().as_millis() as u64;
        PollResult::Answered(PollResponse {
            clock_ms: FIRST_READING_MS + elapsed_ms,
            lists_all_ends: true,
            ..PollResponse::default()
        })
    }
}

/// Orders a start that may begin for `left_ms` more, by the worker's clock. Returns its result and the
/// number of calls.
async fn ordered_start(is_silent: bool, left_ms: i64) -> (Option<StartResult>, u32) {
    let start_count = Arc::new(AtomicU32::new(0));
    let began_at = Instant::now();
    let port = CountingWorker { began_at, is_silent, start_count: Arc::clone(&start_count) };
    let mut agent = AttachedAgent::new(port).await;
    let state = worker("worker", 1);
    agent.announce(state.clone(), 1).await;
    // The agent judges orders by the worker's clock, of which it needs two readings.
    agent.reports_within(2 * RESULT_TIME).await;
    let clock_ms = FIRST_READING_MS + began_at.elapsed().as_millis() as u64;
    let begin_until_clock_ms = Some(clock_ms.saturating_add_signed(left_ms));
    let starts = vec![StartOrder { begin_until_clock_ms, ..start(0) }];
    agent.order(Orders { starts, ..orders(&state.incarnation) }).await;
    let reports = agent.reports_within(2 * RESULT_TIME).await;
    let result = reports.into_iter().find_map(|report| match report {
        AgentMessage::Start(_, result) => Some(result),
        _ => None,
    });
    (result, start_count.load(Ordering::SeqCst))
}

#[tokio::test]
async fn late_order() {
    assert_eq!(ordered_start(false, -2_000).await, (Some(StartResult::Refused), 0));
}

#[tokio::test]
async fn order_in_time() {
    assert_eq!(ordered_start(false, 10_000).await, (Some(StartResult::Begun), 1));
}

/// The limit passes while the first call waits for its answer.
#[tokio::test]
async fn late_repeat() {
    assert_eq!(ordered_start(true, 150).await, (Some(StartResult::Unknown), 1));
}
