//! Task that owns the list of open connections and closes those that exceed a limit.

use std::sync::{Arc, Weak};
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};

use crate::budget::Budget;
use crate::connection::Connection;
use crate::limits::ProcessLimits;
use crate::metrics::{HttpMetrics, Refusal};
use crate::victims::{Candidate, Phase, Room, choose_victims};

/// Interval at which connections are checked for their time limits.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Number of sweeps between two log lines about refusals.
const SWEEPS_PER_LOG_LINE: u32 = 10;

/// Time for which a client may take no byte of a response.
const RESPONSE_STALL_TIMEOUT_MS: u64 = 5_000;

/// Time limit for reading a response. A document of 4 MiB takes 22 s on the slowest link.
const RESPONSE_TIMEOUT_MS: u64 = 60_000;

/// Message to the registry.
#[derive(Debug)]
pub(crate) enum RegistryMessage {
    /// A connection was accepted.
    Opened(Weak<Connection>),
    /// Room is needed; stalled connections are closed.
    NeedsRoom(Room),
}

pub(crate) struct Registry {
    messages: mpsc::Receiver<RegistryMessage>,
    connections: Vec<Weak<Connection>>,
    limits: ProcessLimits,
    budget: Budget,
    metrics: HttpMetrics,
    logged_counts: [u64; Refusal::ALL.len()],
}

impl Registry {
    pub fn new(
        messages: mpsc::Receiver<RegistryMessage>,
        limits: ProcessLimits,
        budget: Budget,
        metrics: HttpMetrics,
    ) -> Self {
        let logged_counts = [0; Refusal::ALL.len()];
        Self { messages, connections: Vec::new(), limits, budget, metrics, logged_counts }
    }

    pub async fn run(mut self) {
        let mut sweeps = interval(SWEEP_INTERVAL);
        sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut sweep_count = 0;
        loop {
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(RegistryMessage::Opened(connection)) => self.open(connection),
                    Some(RegistryMessage::NeedsRoom(room)) => self.make_room(&self.open_ones(), room),
                    None => return,
                },
                _ = sweeps.tick() => {
                    self.sweep();
                    sweep_count += 1;
                    if sweep_count % SWEEPS_PER_LOG_LINE == 0 {
                        self.log_refusals();
                    }
                }
            }
        }
    }

    /// Returns the connections that are open and not about to be closed.
    fn open_ones(&self) -> Vec<Arc<Connection>> {
        let open = self.connections.iter().filter_map(Weak::upgrade);
        open.filter(|connection| !connection.is_closing()).collect()
    }

    fn open(&mut self, connection: Weak<Connection>) {
        let Some(opened) = connection.upgrade() else { return };
        self.connections.push(connection);
        if self.connections.len() <= self.limits.connections_per_address {
            return;
        }
        let mut same_address = self.open_ones();
        same_address.retain(|other| other.address == opened.address);
        if same_address.len() > self.limits.connections_per_address {
            self.make_room(&same_address, Room::Connection);
        }
    }

    fn make_room(&self, connections: &[Arc<Connection>], room: Room) {
        let candidates: Vec<Candidate> =
            connections.iter().map(|connection| connection.candidate()).collect();
        for index in choose_victims(&candidates, room) {
            if candidates[index].phase != Phase::Idle {
                self.metrics.count(Refusal::Stalled);
            }
            connections[index].close();
        }
    }

    /// Closes connections that exceed a time limit, and forgets those that have ended.
    fn sweep(&mut self) {
        self.connections.retain(|connection| connection.strong_count() > 0);
        for connection in self.open_ones() {
            let Candidate { phase, phase_age_ms, stalled_ms, .. } = connection.candidate();
            let limits = &connection.limits;
            let expired = match phase {
                Phase::Idle if stalled_ms >= limits.idle_timeout_ms.get() => Some(None),
                Phase::Head if phase_age_ms >= limits.header_timeout_ms.get() => {
                    Some(Some(Refusal::HeaderSlow))
                }
                Phase::Response
                    if stalled_ms >= RESPONSE_STALL_TIMEOUT_MS
                        || phase_age_ms >= RESPONSE_TIMEOUT_MS =>
                {
                    Some(Some(Refusal::ResponseSlow))
                }
                // The task that reads the body keeps its time limit.
                Phase::Idle | Phase::Head | Phase::Body | Phase::Handling | Phase::Response => None,
            };
            if let Some(refusal) = expired {
                connection.close();
                if let Some(reason) = refusal {
                    self.metrics.count(reason);
                }
            }
        }
        let count = i64::try_from(self.connections.len()).unwrap_or(i64::MAX);
        self.metrics.connections.set(count);
        let reserved = i64::try_from(self.budget.reserved_bytes()).unwrap_or(i64::MAX);
        self.metrics.reserved_bytes.set(reserved);
    }

    /// Logs the refusals since the last line in one line, so that a flood does not fill the log.
    fn log_refusals(&mut self) {
        let counts = Refusal::ALL.map(|reason| self.metrics.refusal_count(reason));
        if counts == self.logged_counts {
            return;
        }
        let new: Vec<String> = Refusal::ALL
            .iter()
            .zip(counts.iter().zip(self.logged_counts))
            .filter(|(_, (count, logged))| **count > *logged)
            .map(|(reason, (count, logged))| format!("{} {}", count - logged, reason.name()))
            .collect();
        self.logged_counts = counts;
        log::warn!(
            event = "clients_refused", reasons = &*new.join(", "),
            connections = self.connections.len(), reserved_bytes = self.budget.reserved_bytes();
            "refused requests or closed connections of clients that exceed the limits"
        );
    }
}
