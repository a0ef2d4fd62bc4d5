//! The task of the agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, MissedTickBehavior, interval};
use yuccatack_core::{DurationMs, NodeName};
use yuccatack_dispatch::{AgentMessage, Observation, Orders, StartOrder, StartResult, WorkerState};
use yuccatack_lifecycle::{Shutdown, ShutdownPhase};
use yuccatack_queue_client::protocol::{AgentFrame, LeaderFrame};
use yuccatack_queue_client::{AgentStream, Backoff, QueueClient};
use yuccatack_runs::{RunId, WorkerIncarnation};

use crate::orders::{OrderBook, StartAction};
use crate::port::{
    Announcement, PollCall, PollResponse, PollResult, StartCall, StopCall, StopResult, WorkerPort,
};

/// How often the agent looks for a silent leader and for a look at the worker that is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A leader shows itself every 250 ms; after three misses the connection counts as dead. The next
/// leader is elected in about that time.
const LEADER_SILENCE_LIMIT: Duration = Duration::from_millis(900);

/// How long the worker waits for an end before it answers. New leases and confirmed stops wait for
/// the next look, so this stays well below the stop limit.
const HOLD_WAIT: DurationMs = DurationMs::new(250);

/// The pause after a look that listed ends which the leader has not stored yet. The worker answers
/// the next look at once while it lists any, so that looks without a pause would keep both busy.
const LISTED_ENDS_PAUSE: Duration = Duration::from_millis(150);

/// The pause after a look that failed.
const HOLD_RETRY: Duration = Duration::from_millis(200);

/// The pause after all replicas were tried, at first and at most. The longest one bounds how late an
/// agent finds a new leader; leases outlast it several times.
const FIRST_ATTACH_DELAY: Duration = Duration::from_millis(60);
const LONGEST_ATTACH_DELAY: Duration = Duration::from_millis(500);

/// How many finished calls may wait for the agent.
const EVENT_QUEUE_LENGTH: usize = 256;

/// Who the agent is.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// The node, which stays the same over all incarnations of its worker.
    pub node: NodeName,
}

/// What a call to the worker or the leader ended with.
enum Event {
    Attached(Result<AgentStream, Option<SocketAddr>>),
    Started(WorkerIncarnation, RunId, StartResult),
    Stopped(WorkerIncarnation, RunId, StopResult),
    Held { incarnation: WorkerIncarnation, stopped: Vec<RunId>, result: PollResult },
}

/// The agent of one worker.
pub struct Agent<Port> {
    config: AgentConfig,
    port: Arc<Port>,
    client: QueueClient,
    events: mpsc::Sender<Event>,
    stream: Option<AgentStream>,
    heard_at: Instant,
    attaching: bool,
    attach_after: Instant,
    backoff: Backoff,
    tried: Vec<SocketAddr>,
    token: Option<u64>,
    worker: Option<WorkerState>,
    /// The number of the newest announcement of the present incarnation.
    sequence: u64,
    /// Whether the last look at the present incarnation failed.
    hold_failed: bool,
    holding: bool,
    hold_after: Instant,
    /// The renewed lease, by the worker's clock.
    lease_until_clock_ms: Option<u64>,
    /// Ends up to this number are stored by the leader.
    acknowledged_end: u64,
    /// The last end that the worker listed.
    listed_end: u64,
    orders: OrderBook,
}

impl<Port> Agent<Port>
where
    Port: WorkerPort,
{
    /// Runs until the shutdown. What runs on the worker goes on under its lease.
    pub async fn run(
        config: AgentConfig,
        port: Port,
        client: QueueClient,
        mut announcements: mpsc::Receiver<Announcement>,
        mut shutdown: Shutdown,
    ) {
        let (events, mut finished) = mpsc::channel(EVENT_QUEUE_LENGTH);
        let now = Instant::now();
        let mut agent = Self {
            config,
            port: Arc::new(port),
            client,
            events,
            stream: None,
            heard_at: now,
            attaching: false,
            attach_after: now,
            backoff: Backoff::new(FIRST_ATTACH_DELAY, LONGEST_ATTACH_DELAY),
            tried: Vec::new(),
            token: None,
            worker: None,
            sequence: 0,
            hold_failed: false,
            holding: false,
            hold_after: now,
            lease_until_clock_ms: None,
            acknowledged_end: 0,
            listed_end: 0,
            orders: OrderBook::default(),
        };
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = shutdown.wait_for(ShutdownPhase::Draining) => return,
                Some(event) = finished.recv() => agent.on_event(event),
                Some(announcement) = announcements.recv() => agent.on_announcement(announcement),
                frame = receive(&mut agent.stream) => agent.on_frame(frame),
                _ = checks.tick() => agent.check().await,
            }
            agent.hold_if_due();
        }
    }

    async fn check(&mut self) {
        if self.stream.is_some() && self.heard_at.elapsed() > LEADER_SILENCE_LIMIT {
            log::warn!(event = "leader_lost", reason = "silent"; "the leader is silent; attaching anew");
            if let Some(stream) = self.stream.take() {
                stream.mark_unresponsive().await;
            }
        }
        if self.stream.is_none() && !self.attaching && Instant::now() >= self.attach_after {
            self.attaching = true;
            let (client, events) = (self.client.clone(), self.events.clone());
            let (tried, hello) = (self.tried.clone(), AgentFrame::Hello(self.config.node.clone()));
            tokio::spawn(async move {
                let result = client.attach(&tried, &hello).await;
                // The agent may have ended.
                let _ = events.send(Event::Attached(result)).await;
            });
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Attached(result) => self.on_attached(result),
            Event::Started(incarnation, run, result) => {
                if self.is_current(&incarnation) {
                    self.orders.on_start_result(&run, result);
                    self.report(AgentMessage::Start(run, result));
                }
            }
            Event::Stopped(incarnation, run, result) => {
                if self.is_current(&incarnation) {
                    self.orders.on_stop_result(&run, result == StopResult::Confirmed);
                }
            }
            Event::Held { incarnation, stopped, result } => {
                self.on_held(&incarnation, stopped, result)
            }
        }
    }

    fn on_attached(&mut self, result: Result<AgentStream, Option<SocketAddr>>) {
        self.attaching = false;
        match result {
            Ok(stream) => {
                self.tried.push(stream.address());
                self.stream = Some(stream);
                self.heard_at = Instant::now();
                if let Some(worker) = self.worker.clone() {
                    self.report(AgentMessage::State(worker));
                }
            }
            Err(Some(address)) => self.tried.push(address),
            // All known replicas were tried.
            Err(None) => {
                self.tried.clear();
                self.attach_after = Instant::now() + self.backoff.delay();
            }
        }
    }

    fn on_frame(&mut self, frame: Option<LeaderFrame>) {
        self.heard_at = Instant::now();
        match frame {
            None | Some(LeaderFrame::NotLeader(_)) => self.stream = None,
            Some(LeaderFrame::Leading { token }) => {
                if self.token.is_none_or(|held| token > held) {
                    log::info!(event = "leader_attached", token = token; "a leader takes reports");
                    self.token = Some(token);
                }
                self.tried.clear();
                self.backoff.reset();
            }
            Some(LeaderFrame::Orders(orders)) => self.on_orders(orders),
        }
    }

    fn on_orders(&mut self, orders: Orders) {
        let outdated = self.token.is_some_and(|held| orders.token < held);
        if outdated || !self.is_current(&orders.incarnation) {
            log::warn!(
                event = "orders_dropped", token = orders.token, life:% = orders.incarnation;
                "the orders are of an earlier leader or for another incarnation of the worker"
            );
            return;
        }
        self.token = Some(orders.token);
        self.acknowledge_ends(orders.acknowledged_end);
        if orders.lease_until_clock_ms.is_some() {
            self.lease_until_clock_ms = orders.lease_until_clock_ms;
        }
        for start in orders.starts {
            self.start(&orders.incarnation, orders.token, start);
        }
        for run in orders.stops {
            self.stop(&orders.incarnation, orders.token, run);
        }
    }

    /// Takes note that ends are stored; the worker can forget them at the next look.
    fn acknowledge_ends(&mut self, acknowledged_end: u64) {
        if acknowledged_end <= self.acknowledged_end {
            return;
        }
        self.acknowledged_end = acknowledged_end;
        if acknowledged_end >= self.listed_end && !self.hold_failed {
            self.hold_after = Instant::now();
        }
    }

    fn start(&mut self, incarnation: &WorkerIncarnation, token: u64, order: StartOrder) {
        let StartOrder { run, payload, until_clock_ms, checkpoint } = order;
        match self.orders.on_start_order(&run) {
            StartAction::Wait => {}
            StartAction::Report(result) => {
                self.report(AgentMessage::Start(run, result));
            }
            StartAction::Send if self.worker.as_ref().is_none_or(|worker| worker.draining) => {
                self.orders.on_start_result(&run, StartResult::Refused);
                self.report(AgentMessage::Start(run, StartResult::Refused));
            }
            StartAction::Send => {
                let (port, events, incarnation) =
                    (self.port.clone(), self.events.clone(), incarnation.clone());
                let call = StartCall {
                    incarnation: incarnation.clone(),
                    token,
                    run: run.clone(),
                    payload,
                    until_clock_ms,
                    checkpoint,
                };
                tokio::spawn(async move {
                    let result = port.start(call).await;
                    log::info!(event = "start_carried_out", run:% = run, result:? = result; "a start ended");
                    let _ = events.send(Event::Started(incarnation, run, result)).await;
                });
            }
        }
    }

    fn stop(&mut self, incarnation: &WorkerIncarnation, token: u64, run: RunId) {
        if !self.orders.on_stop_order(&run) {
            return;
        }
        let (port, events, incarnation) =
            (self.port.clone(), self.events.clone(), incarnation.clone());
        let call = StopCall { incarnation: incarnation.clone(), token, run: run.clone() };
        tokio::spawn(async move {
            let result = port.stop(call).await;
            log::info!(event = "stop_carried_out", run:% = run, result:? = result; "a stop ended");
            let _ = events.send(Event::Stopped(incarnation, run, result)).await;
        });
    }

    fn on_announcement(&mut self, announcement: Announcement) {
        match announcement {
            Announcement::Present { state, sequence } => self.on_present(state, sequence),
            Announcement::Left(name) => {
                let left = self.worker.take_if(|worker| worker.incarnation.worker == name);
                if let Some(worker) = left {
                    log::info!(
                        event = "worker_departed", life:% = worker.incarnation;
                        "the worker has left"
                    );
                    self.forget_life();
                    self.report(AgentMessage::Left(worker.incarnation));
                }
            }
        }
    }

    fn on_present(&mut self, state: WorkerState, sequence: u64) {
        let newer = match &self.worker {
            Some(worker) if worker.incarnation == state.incarnation => {
                if sequence > self.sequence && *worker != state {
                    self.worker = Some(state.clone());
                    self.report(AgentMessage::State(state));
                }
                self.sequence = self.sequence.max(sequence);
                return;
            }
            // An announcement of an earlier incarnation may arrive late. The time of day can go back,
            // so an incarnation that does not answer any more gives way as well.
            Some(worker) => {
                state.incarnation.started_at_unix_ms > worker.incarnation.started_at_unix_ms
                    || self.hold_failed
            }
            None => true,
        };
        if newer {
            log::info!(
                event = "worker_found", life:% = state.incarnation;
                "a worker announced itself"
            );
            self.forget_life();
            self.sequence = sequence;
            self.worker = Some(state.clone());
            self.report(AgentMessage::State(state));
        }
    }

    fn forget_life(&mut self) {
        self.lease_until_clock_ms = None;
        self.acknowledged_end = 0;
        self.listed_end = 0;
        self.orders = OrderBook::default();
        self.hold_failed = false;
    }

    fn hold_if_due(&mut self) {
        let (Some(worker), Some(token)) = (&self.worker, self.token) else { return };
        if self.holding || Instant::now() < self.hold_after {
            return;
        }
        self.holding = true;
        let incarnation = worker.incarnation.clone();
        let call = PollCall {
            incarnation: incarnation.clone(),
            token,
            until_clock_ms: self.lease_until_clock_ms,
            acknowledged_end: self.acknowledged_end,
            wait_ms: HOLD_WAIT,
        };
        let stopped = self.orders.stopped();
        let (port, events) = (self.port.clone(), self.events.clone());
        tokio::spawn(async move {
            let result = port.poll(call).await;
            let _ = events.send(Event::Held { incarnation, stopped, result }).await;
        });
    }

    fn on_held(
        &mut self,
        incarnation: &WorkerIncarnation,
        stopped: Vec<RunId>,
        result: PollResult,
    ) {
        self.holding = false;
        if !self.is_current(incarnation) {
            return;
        }
        match result {
            PollResult::Answered(seen) if is_life(&seen, incarnation) => {
                self.hold_failed = false;
                self.listed_end = seen.ended.iter().map(|end| end.number).max().unwrap_or(0);
                if self.listed_end > self.acknowledged_end {
                    self.hold_after = Instant::now() + LISTED_ENDS_PAUSE;
                }
                let ended: Vec<RunId> = seen.ended.iter().map(|end| end.run.clone()).collect();
                let observation = Observation {
                    incarnation: incarnation.clone(),
                    clock_ms: seen.clock_ms,
                    running: seen.running,
                    ended: seen.ended,
                    stopped: stopped.clone(),
                };
                if self.report(AgentMessage::Observed(observation)) {
                    self.orders.on_reported(&stopped, &ended);
                }
            }
            PollResult::Answered(_) | PollResult::OtherIncarnation | PollResult::Failed => {
                if !self.hold_failed {
                    log::warn!(
                        event = "worker_silent", life:% = incarnation;
                        "the worker did not answer"
                    );
                }
                self.hold_failed = true;
                self.hold_after = Instant::now() + HOLD_RETRY;
            }
        }
    }

    fn is_current(&self, incarnation: &WorkerIncarnation) -> bool {
        self.worker.as_ref().is_some_and(|worker| worker.incarnation == *incarnation)
    }

    /// Sends a report; what does not reach the leader is found again after the next attachment.
    fn report(&mut self, message: AgentMessage) -> bool {
        let Some(stream) = &self.stream else { return false };
        let sent = stream.send(&AgentFrame::Report(message));
        if !sent {
            log::warn!(event = "leader_lost", reason = "stream full or gone"; "attaching anew");
            self.stream = None;
        }
        sent
    }
}

fn is_life(seen: &PollResponse, incarnation: &WorkerIncarnation) -> bool {
    seen.started_at_unix_ms.is_none_or(|started| started == incarnation.started_at_unix_ms)
}

async fn receive(stream: &mut Option<AgentStream>) -> Option<LeaderFrame> {
    match stream {
        Some(stream) => stream.receive().await,
        None => std::future::pending().await,
    }
}
