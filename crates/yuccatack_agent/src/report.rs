//! What the agent reports about its minion.

use std::time::Duration;

use yuccatack_requests::outcome::{NotRunReason, Outcome, UnknownReason};
use yuccatack_view::{MinionState, MinionStatus};

/// The weight of a new answer time in the moving average, as one part in this many.
const LATENCY_SMOOTHING: u64 = 8;

/// Keeps the status of the minion up to date.
#[derive(Clone, Debug)]
pub struct LoadReport {
    status: MinionStatus,
    leaving: bool,
    reachable: bool,
}

impl LoadReport {
    /// Starts with a status whose minion has not been reached yet.
    pub fn new(mut status: MinionStatus) -> Self {
        status.state = MinionState::Unhealthy;
        Self { status, leaving: false, reachable: false }
    }

    /// The status to report.
    pub fn status(&self) -> MinionStatus {
        let state = match (self.leaving, self.reachable) {
            (true, _) => MinionState::Leaving,
            (false, true) => MinionState::Ready,
            (false, false) => MinionState::Unhealthy,
        };
        MinionStatus { state, ..self.status.clone() }
    }

    /// The minion takes nothing new any more.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether the minion accepted a connection when last tried.
    pub fn set_reachable(&mut self, reachable: bool) {
        self.reachable = reachable;
    }

    /// The slots that are in use now.
    pub fn set_slots_in_use(&mut self, slots_in_use: u32) {
        self.status.slots_in_use = slots_in_use;
    }

    /// Learns from an exchange that ended.
    pub fn exchange_ended(&mut self, outcome: &Outcome, duration: Duration) {
        match outcome {
            Outcome::Completed(_) => {
                self.reachable = true;
                let latency_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
                self.status.latency_us = match self.status.latency_us {
                    0 => latency_us,
                    old => (old * (LATENCY_SMOOTHING - 1) + latency_us) / LATENCY_SMOOTHING,
                };
            }
            Outcome::NotRun(not_run) if not_run.reason == NotRunReason::MinionUnreachable => {
                self.reachable = false;
            }
            Outcome::Unknown(unknown) if unknown.reason == UnknownReason::MinionConnection => {
                self.reachable = false;
            }
            Outcome::NotRun(_) | Outcome::Unknown(_) => {}
        }
    }
}
