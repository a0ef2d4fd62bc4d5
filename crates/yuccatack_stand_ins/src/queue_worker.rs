//! A worker that runs tasks of queued jobs, as an agent speaks to it.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};
use yuccatack_dispatch::{EndedRun, RunningRun, StartResult};
use yuccatack_runs::{RunId, RunOutcome};
use yuccatack_worker_agent::{
    PollCall, PollResponse, PollResult, StartCall, StopCall, StopResult, WorkerPort,
};

/// How long a look waits at most, so that tests see ends soon.
const LOOK_LIMIT: Duration = Duration::from_millis(40);

enum Message {
    Start(StartCall, oneshot::Sender<StartResult>),
    Stop(StopCall, oneshot::Sender<StopResult>),
    Hold(PollCall, oneshot::Sender<PollResponse>),
    Starts(oneshot::Sender<Vec<RunId>>),
}

/// A worker without limits of capacity; each task takes the same time.
#[derive(Clone, Debug)]
pub struct QueueWorkerStandIn {
    messages: mpsc::UnboundedSender<Message>,
}

/// Shows what a worker was told.
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
    barred: Vec<RunId>,
    ended: Vec<EndedRun>,
    next_end: u64,
    starts: Vec<RunId>,
}

impl QueueWorkerStandIn {
    /// Starts a worker whose tasks take `run_time` each.
    pub fn spawn(run_time: Duration) -> (Self, QueueWorkerHandle) {
        let (messages, mut waiting) = mpsc::unbounded_channel();
        let mut state = State {
            started_at: Instant::now(),
            run_time,
            token: 0,
            lease_until_clock_ms: 0,
            running: BTreeMap::new(),
            barred: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            starts: Vec::new(),
        };
        tokio::spawn(async move {
            while let Some(message) = waiting.recv().await {
                state.handle(message);
            }
        });
        (Self { messages: messages.clone() }, QueueWorkerHandle { messages })
    }
}

impl QueueWorkerHandle {
    /// Every run that was started, in order.
    pub async fn starts(&self) -> Vec<RunId> {
        let (reply, answer) = oneshot::channel();
        let sent = self.messages.send(Message::Starts(reply));
        if sent.is_err() {
            return Vec::new();
        }
        answer.await.unwrap_or_default()
    }
}

impl State {
    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn end(&mut self, run: &RunId, outcome: RunOutcome) {
        if self.running.remove(run).is_some() {
            let number = self.next_end;
            self.next_end += 1;
            self.ended.push(EndedRun { number, run: run.clone(), outcome, checkpoint: None });
        }
    }

    /// Ends what is done, and everything once the lease is over.
    fn advance(&mut self) {
        let now = Instant::now();
        let lapsed = self.clock_ms() > self.lease_until_clock_ms;
        let over: Vec<RunId> = self
            .running
            .iter()
            .filter(|(_, ends_at)| lapsed || **ends_at <= now)
            .map(|(run, _)| run.clone())
            .collect();
        for run in over {
            self.end(&run, if lapsed { RunOutcome::Lapsed } else { RunOutcome::Done });
        }
    }

    fn handle(&mut self, message: Message) {
        self.advance();
        // A caller that has given up is no concern of the worker.
        match message {
            Message::Start(call, reply) => {
                let _ = reply.send(self.start(call));
            }
            Message::Stop(call, reply) => {
                self.token = self.token.max(call.token);
                self.barred.push(call.run.clone());
                self.end(&call.run, RunOutcome::Stopped);
                let _ = reply.send(StopResult::Confirmed);
            }
            Message::Hold(call, reply) => {
                let _ = reply.send(self.hold(&call));
            }
            Message::Starts(reply) => {
                let _ = reply.send(self.starts.clone());
            }
        }
    }

    fn start(&mut self, call: StartCall) -> StartResult {
        let late = call.until_clock_ms < self.clock_ms();
        if call.token < self.token || late || self.barred.contains(&call.run) {
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

    fn hold(&mut self, call: &PollCall) -> PollResponse {
        self.token = self.token.max(call.token);
        self.lease_until_clock_ms =
            self.lease_until_clock_ms.max(call.until_clock_ms.unwrap_or_default());
        self.ended.retain(|end| end.number > call.acknowledged_end);
        let running = self.running.keys().map(|run| RunningRun {
            run: run.clone(),
            checkpoint: None,
            percent: 0,
            load: None,
        });
        PollResponse {
            started_at_unix_ms: None,
            clock_ms: self.clock_ms(),
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }
}

impl WorkerPort for QueueWorkerStandIn {
    async fn start(&self, call: StartCall) -> StartResult {
        let (reply, answer) = oneshot::channel();
        let sent = self.messages.send(Message::Start(call, reply)).is_ok();
        if !sent {
            return StartResult::Unknown;
        }
        answer.await.unwrap_or(StartResult::Unknown)
    }

    async fn stop(&self, call: StopCall) -> StopResult {
        let (reply, answer) = oneshot::channel();
        let sent = self.messages.send(Message::Stop(call, reply)).is_ok();
        if !sent {
            return StopResult::Unknown;
        }
        answer.await.unwrap_or(StopResult::Unknown)
    }

    async fn poll(&self, call: PollCall) -> PollResult {
        sleep(LOOK_LIMIT.min(call.wait_ms.into())).await;
        let (reply, answer) = oneshot::channel();
        let sent = self.messages.send(Message::Hold(call, reply)).is_ok();
        if !sent {
            return PollResult::Failed;
        }
        answer.await.map_or(PollResult::Failed, PollResult::Answered)
    }
}
