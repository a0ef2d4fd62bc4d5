//! Status of the minion, which the agent reports to the control leader.

use std::time::Duration;

use yuccatack_requests::outcome::{NotRunReason, Outcome, UnknownReason};
use yuccatack_view::{MinionState, MinionStatus};

/// Divisor of the moving average: a new response time has the weight of one part in this many.
const LATENCY_SMOOTHING_DIVISOR: u64 = 8;

/// Current status of the minion, with the state derived from draining and reachability.
#[derive(Clone, Debug)]
pub struct LoadReport {
    status: MinionStatus,
    draining: bool,
    reachable: bool,
}

impl LoadReport {
    /// Creates a report with the state `Unhealthy`, as the minion has not been reached yet.
    pub fn new(mut status: MinionStatus) -> Self {
        status.state = MinionState::Unhealthy;
        Self { status, draining: false, reachable: false }
    }

    /// Returns the status to report.
    pub fn status(&self) -> MinionStatus {
        let state = match (self.draining, self.reachable) {
            (true, _) => MinionState::Leaving,
            (false, true) => MinionState::Ready,
            (false, false) => MinionState::Unhealthy,
        };
        MinionStatus { state, ..self.status.clone() }
    }

    /// Reports from now on that the minion takes no new attempts.
    pub fn start_draining(&mut self) {
        self.draining = true;
    }

    /// Sets whether the minion accepted a connection when last tried.
    pub fn set_reachable(&mut self, reachable: bool) {
        self.reachable = reachable;
    }

    /// Sets the number of slots in use.
    pub fn set_slots_in_use(&mut self, slots_in_use: u32) {
        self.status.slots_in_use = slots_in_use;
    }

    /// Updates reachability and latency from the result of an exchange.
    pub fn exchange_ended(&mut self, outcome: &Outcome, duration: Duration) {
        match outcome {
            Outcome::Completed(_) => {
                self.reachable = true;
                let latency_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
                self.status.latency_us = match self.status.latency_us {
                    0 => latency_us,
                    old => {
                        (old * (LATENCY_SMOOTHING_DIVISOR - 1) + latency_us)
                            / LATENCY_SMOOTHING_DIVISOR
                    }
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
