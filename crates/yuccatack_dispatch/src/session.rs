//! The leader's state of one worker and its agent.

use std::collections::VecDeque;

use yuccatack_core::{FastHashMap, NodeName, TimestampMs};
use yuccatack_queues::EvacuationStore;
use yuccatack_runs::{RunId, WorkerIncarnation};

use crate::health::Health;
use crate::lease::ClockReading;
use crate::protocol::{StartResult, WorkerState};
use crate::settings::MAX_READING_AGE_MS;

/// Number of clock readings that may wait for a confirmation of leadership. Agents poll up to seven
/// times a second, and a slow leader may take a second or two for a confirmation.
const MAX_UNCONFIRMED_READING_COUNT: usize = 16;

/// Progress of the leader's orders for a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OrderState {
    /// A start was sent and its result is awaited.
    Starting { sent_at: TimestampMs },
    /// The run has begun. `missing_count` is the number of consecutive observations without it.
    Active { missing_count: u8 },
    /// The start got no response; observations show whether the run began.
    Unknown { missing_count: u8 },
    /// The run must stop. The stop also bars a start that is still in flight.
    Stopping { sent_at: Option<TimestampMs> },
}

/// Session of a node's agent and the worker behind it.
#[derive(Debug, Default)]
pub(crate) struct Session {
    /// `true` while the agent's stream is open.
    pub connected: bool,
    /// Latest announcement of the worker; `None` if it has not announced itself or has left.
    pub state: Option<WorkerState>,
    /// Latest reading of the worker's clock.
    pub latest_reading: Option<ClockReading>,
    /// Readings that were received since leadership was last confirmed, in order of arrival.
    pub unconfirmed_readings: VecDeque<ClockReading>,
    /// Latest reading that was received before leadership was last confirmed. Leases build on it.
    pub confirmed_reading: Option<ClockReading>,
    /// Latest expiry of any lease granted to this incarnation, by the worker's clock.
    pub lease_until_clock_ms: u64,
    /// Reading from which the lease was last renewed, so that each reading renews it once.
    pub lease_reading: Option<ClockReading>,
    /// Highest number of a run end that was reported for the table. `PendingChanges` keeps the end
    /// until the table holds it.
    pub proposed_end: u64,
    /// Highest acknowledged end that was sent to the agent.
    pub sent_acknowledged_end: u64,
    /// Order state of each run of the worker.
    pub orders: FastHashMap<RunId, OrderState>,
    /// Runs that the latest observation lists as executing but the table does not hold for the
    /// worker, with the time at which their stop was sent.
    pub unheld_runs: FastHashMap<RunId, Option<TimestampMs>>,
    pub health: Health,
}

impl Session {
    /// Returns the current incarnation of the worker; `None` while no worker is announced.
    pub fn incarnation(&self) -> Option<&WorkerIncarnation> {
        self.state.as_ref().map(|state| &state.incarnation)
    }

    /// Returns `true` if the worker can take new runs: its agent is connected, its clock reading is
    /// recent, and it is not draining.
    pub fn is_available(&self, now: TimestampMs) -> bool {
        let is_recent =
            |reading: &ClockReading| now.since(reading.received_at) <= MAX_READING_AGE_MS;
        self.connected
            && self.state.as_ref().is_some_and(|state| !state.draining)
            && self.confirmed_reading.as_ref().is_some_and(is_recent)
    }

    /// Returns `true` if the worker runs in an evacuated data centre.
    pub fn is_evacuated(&self, evacuations: &EvacuationStore) -> bool {
        self.state.as_ref().is_some_and(|state| evacuations.contains(&state.data_centre))
    }

    /// Adds a reading, from which leases may be renewed once leadership is confirmed.
    pub fn record_reading(&mut self, reading: ClockReading) {
        self.latest_reading = Some(reading);
        if self.unconfirmed_readings.len() == MAX_UNCONFIRMED_READING_COUNT {
            self.unconfirmed_readings.pop_front();
        }
        self.unconfirmed_readings.push_back(reading);
    }

    /// Confirms the readings that were received no later than `began_at`.
    pub fn confirm_readings(&mut self, began_at: TimestampMs) {
        while let Some(reading) =
            self.unconfirmed_readings.pop_front_if(|reading| reading.received_at <= began_at)
        {
            self.confirmed_reading = Some(reading);
        }
    }

    /// Replaces the executing runs that the table does not hold, and keeps when they were stopped.
    pub fn set_unheld_runs<Runs>(&mut self, runs: Runs)
    where
        Runs: Iterator<Item = RunId>,
    {
        let earlier = std::mem::take(&mut self.unheld_runs);
        self.unheld_runs =
            runs.map(|run| (run.clone(), earlier.get(&run).copied().flatten())).collect();
    }

    /// Discards the state of the previous incarnation, except for its health if it ended without an
    /// announcement.
    pub fn begin_incarnation(&mut self, state: WorkerState, now: TimestampMs) {
        let mut health = Health::default();
        if self.state.is_some() {
            health = std::mem::take(&mut self.health);
            health.on_restart(now);
        }
        *self = Self { connected: self.connected, state: Some(state), health, ..Self::default() };
    }

    /// Marks the agent as connected. Orders sent on an earlier stream may have been lost, so starts
    /// become unknown, and stops and acknowledgements are sent again.
    pub fn reconnect(&mut self) {
        self.connected = true;
        self.sent_acknowledged_end = 0;
        for order in self.orders.values_mut() {
            match order {
                OrderState::Starting { .. } => *order = OrderState::Unknown { missing_count: 0 },
                OrderState::Stopping { sent_at } => *sent_at = None,
                OrderState::Active { .. } | OrderState::Unknown { .. } => {}
            }
        }
        self.unheld_runs.values_mut().for_each(|sent_at| *sent_at = None);
    }
    /// Handles the result of a start order.
    pub fn on_start_result(
        &mut self,
        node: &NodeName,
        run: &RunId,
        result: StartResult,
        now: TimestampMs,
    ) {
        let Some(order) = self.orders.get_mut(run) else { return };
        if !matches!(order, OrderState::Starting { .. } | OrderState::Unknown { .. }) {
            return;
        }
        if result != StartResult::Begun {
            log::warn!(
                event = "start_refused", run:% = run, agent = node.as_str(),
                result:? = result;
                "start not confirmed; the run is barred, or observed if the result is unknown"
            );
        }
        self.health.on_start_result(result, now);
        *order = match result {
            StartResult::Begun => OrderState::Active { missing_count: 0 },
            StartResult::Unknown => OrderState::Unknown { missing_count: 0 },
            // An earlier copy of the same start may still be in flight, so the run is barred.
            StartResult::NoRoom | StartResult::Refused => OrderState::Stopping { sent_at: None },
        };
    }
}
