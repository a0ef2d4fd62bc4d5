//! Test double of a worker that runs tasks of queued jobs, behind the agent's worker port.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};
use yuccatack_dispatch::{EndedRun, RunningRun, StartResult};
use yuccatack_runs::{RunId, RunOutcome};
use yuccatack_worker_agent::{
    PollCall, PollResponse, PollResult, StartCall, StopCall, StopResult, WorkerPort,
};

/// Maximum wait of a poll; short, so that tests learn of completed runs soon.
const POLL_WAIT_LIMIT: Duration = Duration::from_millis(40);

enum Message {
    Start(StartCall, oneshot::Sender<StartResult>),
    Stop(StopCall, oneshot::Sender<StopResult>),
    Poll(PollCall, oneshot::Sender<PollResponse>),
    Starts(oneshot::Sender<Vec<RunId>>),
}

/// Worker with unlimited capacity whose tasks all have the same run time.
#[derive(Clone, Debug)]
pub struct QueueWorkerStandIn {
    messages: mpsc::UnboundedSender<Message>,
}

/// Handle for tests to read the runs that a worker started.
#[derive(Clone, Debug)]
pub struct QueueWorkerHandle {
    messages: mpsc::UnboundedSender<Message>,
}

struct State {
    started_at: Instant,
    run_time: Duration,
    token: u64,
    lease_until_clock_ms: u64,
    running: BTreeMap<RunId, Instant>,
    stopped: Vec<RunId>,
    ended: Vec<EndedRun>,
    next_end_number: u64,
    starts: Vec<RunId>,
}

impl QueueWorkerStandIn {
    /// Spawns a worker whose tasks run for `run_time` each.
    pub fn spawn(run_time: Duration) -> (Self, QueueWorkerHandle) {
        let (messages, mut inbox) = mpsc::unbounded_channel();
        let mut state = State {
            started_at: Instant::now(),
            run_time,
            token: 0,
            lease_until_clock_ms: 0,
            running: BTreeMap::new(),
            stopped: Vec::new(),
            ended: Vec::new(),
            next_end_number: 1,
            starts: Vec::new(),
        };
        tokio::spawn(async move {
            while let Some(message) = inbox.recv().await {
                state.handle(message);
            }
        });
        (Self { messages: messages.clone() }, QueueWorkerHandle { messages })
    }
}

impl QueueWorkerHandle {
    /// Returns every run that was started, in start order.
    pub async fn starts(&self) -> Vec<RunId> {
        let (reply, response) = oneshot::channel();
        let sent = self.messages.send(Message::Starts(reply));
        if sent.is_err() {
            return Vec::new();
        }
        response.await.unwrap_or_default()
    }
}

impl State {
    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the progress of a run that goes on, in percent.
    fn percent(&self, ends_at: Instant) -> u8 {
        let left = ends_at.saturating_duration_since(Instant::now()).as_secs_f64();
        let done = 1.0 - left / self.run_time.as_secs_f64();
        (done * 100.0).clamp(0.0, 99.0) as u8
    }

    fn end(&mut self, run: &RunId, outcome: RunOutcome) {
        if self.running.remove(run).is_some() {
            let number = self.next_end_number;
            self.next_end_number += 1;
            self.ended.push(EndedRun { number, run: run.clone(), outcome, checkpoint: None });
        }
    }

    /// Ends the runs that are due, or all runs once the lease has expired.
    fn advance(&mut self) {
        let now = Instant::now();
        let lease_expired = self.clock_ms() > self.lease_until_clock_ms;
        let completed: Vec<RunId> = self
            .running
            .iter()
            .filter(|(_, ends_at)| lease_expired || **ends_at <= now)
            .map(|(run, _)| run.clone())
            .collect();
        for run in completed {
            self.end(&run, if lease_expired { RunOutcome::Lapsed } else { RunOutcome::Done });
        }
    }

    fn handle(&mut self, message: Message) {
        self.advance();
        // Sending a reply fails only if the caller no longer waits for it.
        match message {
            Message::Start(call, reply) => {
                let _ = reply.send(self.start(call));
            }
            Message::Stop(call, reply) => {
                self.token = self.token.max(call.token);
                self.stopped.push(call.run.clone());
                self.end(&call.run, RunOutcome::Stopped);
                let _ = reply.send(StopResult::Confirmed);
            }
            Message::Poll(call, reply) => {
                let _ = reply.send(self.poll(&call));
            }
            Message::Starts(reply) => {
                let _ = reply.send(self.starts.clone());
            }
        }
    }

    fn start(&mut self, call: StartCall) -> StartResult {
        let late = call.until_clock_ms < self.clock_ms();
        if call.token < self.token || late || self.stopped.contains(&call.run) {
            return StartResult::Refused;
        }
        self.token = call.token;
        self.lease_until_clock_ms = self.lease_until_clock_ms.max(call.until_clock_ms);
        if !self.running.contains_key(&call.run) {
            self.running.insert(call.run.clone(), Instant::now() + self.run_time);
            self.starts.push(call.run);
        }
        StartResult::Begun
    }

    fn poll(&mut self, call: &PollCall) -> PollResponse {
        self.token = self.token.max(call.token);
        self.lease_until_clock_ms =
            self.lease_until_clock_ms.max(call.until_clock_ms.unwrap_or_default());
        self.ended.retain(|end| end.number > call.acknowledged_end);
        let running = self.running.iter().map(|(run, ends_at)| RunningRun {
            run: run.clone(),
            checkpoint: None,
            percent: self.percent(*ends_at),
            load: None,
        });
        PollResponse {
            started_at_unix_ms: None,
            clock_ms: self.clock_ms(),
            running: running.collect(),
            ended: self.ended.clone(),
            lists_all_ends: true,
        }
    }
}

impl WorkerPort for QueueWorkerStandIn {
    async fn start(&self, call: StartCall) -> StartResult {
        let (reply, response) = oneshot::channel();
        let sent = self.messages.send(Message::Start(call, reply)).is_ok();
        if !sent {
            return StartResult::Unknown;
        }
        response.await.unwrap_or(StartResult::Unknown)
    }

    async fn stop(&self, call: StopCall) -> StopResult {
        let (reply, response) = oneshot::channel();
        let sent = self.messages.send(Message::Stop(call, reply)).is_ok();
        if !sent {
            return StopResult::Unknown;
        }
        response.await.unwrap_or(StopResult::Unknown)
    }

    async fn poll(&self, call: PollCall) -> PollResult {
        sleep(POLL_WAIT_LIMIT.min(call.wait_ms.into())).await;
        let (reply, response) = oneshot::channel();
        let sent = self.messages.send(Message::Poll(call, reply)).is_ok();
        if !sent {
            return PollResult::Failed;
        }
        response.await.map_or(PollResult::Failed, PollResult::Answered)
    }
}
