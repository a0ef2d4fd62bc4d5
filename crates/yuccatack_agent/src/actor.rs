//! The agent's actor, which owns the attempts, the slots and the idle connections.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};
use yuccatack_core::prelude::*;
use yuccatack_requests::attempts::{AttemptLimits, AttemptTable, Resolution, StartDecision};
use yuccatack_requests::prelude::*;
use yuccatack_settings::AgentSettings;
use yuccatack_telemetry::metrics::{AgentMetrics, RequestOutcome};
use yuccatack_view::{MinionState, MinionStatus, ViewHandle};

use crate::connection::MinionConnection;
use crate::exchange::{Exchange, run_exchange};
use crate::message::AgentMessage;
use crate::report::LoadReport;

/// Interval between probes of a minion without running exchanges.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a probe without a connection counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Number of callers that may wait for the same attempt; further ones get `Running` at once.
const MAX_WAITER_COUNT: usize = 16;

/// Owns the agent's state and handles [`AgentMessage`]s.
pub struct Actor {
    settings: AgentSettings,
    table: AttemptTable,
    report: LoadReport,
    reports: watch::Sender<Option<MinionStatus>>,
    view: ViewHandle,
    idle_connections: Vec<MinionConnection>,
    waiters: FastHashMap<AttemptId, Vec<oneshot::Sender<Resolution>>>,
    messages: mpsc::Receiver<AgentMessage>,
    sender: mpsc::Sender<AgentMessage>,
    in_flight: watch::Sender<usize>,
    metrics: AgentMetrics,
    probing: bool,
}

/// Dependencies of an [`Actor`].
pub struct ActorInputs {
    /// Settings of the agent process.
    pub settings: AgentSettings,
    /// Incarnation that attempts must be addressed to.
    pub incarnation: Incarnation,
    /// Initial status of the minion.
    pub status: MinionStatus,
    /// Channel that publishes the minion's status.
    pub reports: watch::Sender<Option<MinionStatus>>,
    /// View of the records; new attempts start only while it is fresh.
    pub view: ViewHandle,
    /// Channel that publishes the number of attempts in flight.
    pub in_flight: watch::Sender<usize>,
    /// Metrics of calls and connections.
    pub metrics: AgentMetrics,
}

/// Returns the wall-clock time, since attempt identifiers carry wall-clock times.
fn wall_clock_now() -> TimestampMs {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let milliseconds = since_epoch.map_or(0, |duration| duration.as_millis());
    TimestampMs::new(u64::try_from(milliseconds).unwrap_or(u64::MAX))
}

impl Actor {
    /// Creates the actor and the sender of messages to it.
    pub fn new(inputs: ActorInputs) -> (Self, mpsc::Sender<AgentMessage>) {
        let (sender, messages) = mpsc::channel(1024);
        // Each exchange uses one connection, so the connection count also limits the slots.
        let slot_count = inputs.settings.slot_count.min(inputs.settings.connection_count);
        let limits = AttemptLimits { slot_count: slot_count as usize, ..AttemptLimits::default() };
        let actor = Self {
            table: AttemptTable::new(inputs.incarnation, limits),
            report: LoadReport::new(inputs.status),
            reports: inputs.reports,
            view: inputs.view,
            settings: inputs.settings,
            idle_connections: Vec::new(),
            waiters: FastHashMap::default(),
            messages,
            sender: sender.clone(),
            in_flight: inputs.in_flight,
            metrics: inputs.metrics,
            probing: false,
        };
        (actor, sender)
    }

    /// Runs until the task is aborted, which the process does once the drain is complete.
    pub async fn run(mut self) {
        let mut probe_ticks = interval(PROBE_INTERVAL);
        probe_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => return,
                },
                _ = probe_ticks.tick() => {
                    self.table.evict_expired(wall_clock_now());
                    self.probe();
                }
            }
            self.publish();
        }
    }

    fn handle(&mut self, message: AgentMessage) {
        match message {
            AgentMessage::Start { head, content, reply } => self.start(head, content, reply),
            AgentMessage::Resolve { attempt, incarnation, organisation, wait, reply } => {
                let now = wall_clock_now();
                let resolution = self.table.resolve(attempt, incarnation, &organisation, now);
                if resolution == Resolution::Running && !wait.is_zero() {
                    return self.add_waiter(attempt, reply);
                }
                let _ = reply.send(resolution);
            }
            AgentMessage::ExchangeEnded { attempt, outcome, duration, connection } => {
                self.report.exchange_ended(&outcome, duration);
                self.metrics.count_call(outcome_label(&outcome));
                self.idle_connections.extend(connection);
                self.finish(attempt, outcome);
            }
            AgentMessage::Probed { reachable } => {
                self.probing = false;
                self.report.set_reachable(reachable);
            }
            AgentMessage::ListRunning { reply } => {
                let _ = reply.send(self.table.running().collect());
            }
            AgentMessage::StartDraining { started } => {
                self.table.start_draining();
                self.report.start_draining();
                self.publish();
                let _ = started.send(());
            }
        }
    }

    fn add_waiter(&mut self, attempt: AttemptId, reply: oneshot::Sender<Resolution>) {
        let waiters = self.waiters.entry(attempt).or_default();
        waiters.retain(|waiter| !waiter.is_closed());
        if waiters.len() >= MAX_WAITER_COUNT {
            let _ = reply.send(Resolution::Running);
            return;
        }
        waiters.push(reply);
    }

    fn start(
        &mut self,
        head: AttemptHead,
        content: RequestContent,
        reply: oneshot::Sender<Resolution>,
    ) {
        let view_is_fresh = self.view.is_fresh(Instant::now());
        let now = wall_clock_now();
        let organisation = &content.organisation;
        match self.table.start(head.attempt, head.incarnation, organisation, view_is_fresh, now) {
            StartDecision::Run => {
                self.add_waiter(head.attempt, reply);
                self.spawn_exchange(head, content);
            }
            StartDecision::Refuse(not_run) => {
                let _ = reply.send(Resolution::NotRun(not_run));
            }
            StartDecision::Known(resolution) => {
                let _ = reply.send(resolution);
            }
        }
    }

    fn spawn_exchange(&mut self, head: AttemptHead, content: RequestContent) {
        let deadline = Instant::now() + head.remaining_deadline.into();
        let exchange = Exchange {
            attempt: head.attempt,
            content,
            minion_address: self.settings.minion_address,
            deadline: deadline.into(),
            view: self.view.clone(),
            body_limit_bytes: self.settings.body_limit_bytes,
            idle_connection: self.pop_idle_connection(),
        };
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let started = Instant::now();
            let result = run_exchange(exchange).await;
            let message = AgentMessage::ExchangeEnded {
                attempt: head.attempt,
                outcome: result.outcome,
                duration: started.elapsed(),
                connection: result.connection,
            };
            // The actor runs as long as the process, so a failed send needs no handling.
            let _ = sender.send(message).await;
        });
    }

    fn pop_idle_connection(&mut self) -> Option<MinionConnection> {
        while let Some(connection) = self.idle_connections.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn finish(&mut self, attempt: AttemptId, outcome: Outcome) {
        let now = wall_clock_now();
        let shared = Arc::new(outcome);
        self.table.finish(attempt, Arc::clone(&shared), now);
        for waiter in self.waiters.remove(&attempt).unwrap_or_default() {
            let _ = waiter.send(Resolution::Ended(Arc::clone(&shared)));
        }
    }

    fn probe(&mut self) {
        self.idle_connections.retain(MinionConnection::is_open);
        let running = self.table.running_count();
        let connections = running + self.idle_connections.len();
        // A running exchange already shows that the minion is reachable.
        let needed = running == 0 || self.report.status().state == MinionState::Unhealthy;
        let has_capacity = connections < self.settings.connection_count as usize;
        if self.probing || !needed || !has_capacity {
            return;
        }
        self.probing = true;
        let address = self.settings.minion_address;
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let connect = tokio::net::TcpStream::connect(address);
            let connected = tokio::time::timeout(PROBE_TIMEOUT, connect).await;
            let reachable = matches!(connected, Ok(Ok(_)));
            let _ = sender.send(AgentMessage::Probed { reachable }).await;
        });
    }

    fn publish(&mut self) {
        let running = self.table.running_count();
        self.report.set_slots_in_use(u32::try_from(running).unwrap_or(u32::MAX));
        let connections = running + self.idle_connections.len();
        self.metrics.set_connections_open(u32::try_from(connections).unwrap_or(u32::MAX));
        let status = self.report.status();
        self.reports.send_if_modified(|current| {
            let changed = current.as_ref() != Some(&status);
            if changed {
                *current = Some(status);
            }
            changed
        });
        self.in_flight.send_replace(running);
    }
}

const fn outcome_label(outcome: &Outcome) -> RequestOutcome {
    match outcome {
        Outcome::Completed(_) => RequestOutcome::Completed,
        Outcome::NotRun(_) => RequestOutcome::NotRun,
        Outcome::Unknown(_) => RequestOutcome::Unknown,
    }
}
