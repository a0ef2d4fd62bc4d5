//! What the leader knows of one worker.

use yuccatack_core::{FastHashMap, TimestampMs};
use yuccatack_runs::{RunId, WorkerIncarnation};

use crate::health::Health;
use crate::lease::ClockReading;
use crate::protocol::WorkerState;
use crate::settings::FRESH_READING_LIMIT;

/// How far the leader's orders about a run have come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OrderState {
    /// A start was sent.
    Starting { sent_at: TimestampMs },
    /// The run has begun. The count is that of observations in a row in which it was missing.
    Active { missing_count: u8 },
    /// A start got no answer; observations show whether the run is there.
    Unknown { missing_count: u8 },
    /// The run is told to stop; a start that is still under way is barred by it.
    Stopping { sent_at: Option<TimestampMs> },
}

/// One worker and its agent.
#[derive(Debug, Default)]
pub(crate) struct Session {
    /// Whether the agent's stream is open.
    pub connected: bool,
    /// The worker as it announced itself last.
    pub state: Option<WorkerState>,
    /// The newest reading of the worker's clock.
    pub reading: Option<ClockReading>,
    /// The newest reading that was received before the lead was last confirmed.
    pub base: Option<ClockReading>,
    /// The latest end of any lease granted to this incarnation.
    pub lease_until_clock_ms: u64,
    /// The reading that the last grant was made from, so that each reading is used once.
    pub granted_from: Option<ClockReading>,
    /// The last end that was proposed to the table.
    pub proposed_end: u64,
    /// The last noted end that the agent was told of.
    pub told_noted_end: u64,
    /// The orders about the worker's runs.
    pub orders: FastHashMap<RunId, OrderState>,
    /// What its runs have shown.
    pub health: Health,
}

impl Session {
    /// The incarnation that is known to be the present one.
    pub fn incarnation(&self) -> Option<&WorkerIncarnation> {
        self.state.as_ref().map(|state| &state.incarnation)
    }

    /// Whether the worker may get new runs.
    pub fn is_available(&self, now: TimestampMs) -> bool {
        let fresh = |reading: &ClockReading| now.since(reading.received_at) <= FRESH_READING_LIMIT;
        self.connected
            && self.state.as_ref().is_some_and(|state| !state.draining)
            && self.base.as_ref().is_some_and(fresh)
            && self.health.is_usable(now)
    }

    /// Forgets everything that ended with the earlier incarnation.
    pub fn begin_life(&mut self, state: WorkerState) {
        *self = Self { connected: self.connected, state: Some(state), ..Self::default() };
    }

    /// After the agent's stream was opened anew, orders on their way may have been lost.
    pub fn reconnect(&mut self) {
        self.connected = true;
        self.told_noted_end = 0;
        for order in self.orders.values_mut() {
            match order {
                OrderState::Starting { .. } => *order = OrderState::Unknown { missing_count: 0 },
                OrderState::Stopping { sent_at } => *sent_at = None,
                OrderState::Active { .. } | OrderState::Unknown { .. } => {}
            }
        }
    }
}
