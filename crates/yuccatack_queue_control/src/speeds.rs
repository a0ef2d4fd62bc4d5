//! Speeds of machines in the replicated state, so that a new leader knows what an earlier one learned.

use std::collections::BTreeMap;

use ractor::ActorProcessingErr;
use serde::{Deserialize, Serialize};
use yuccatack_core::{DurationMs, NodeName, TimestampMs};
use yuccatack_progress::EstimateRecord;

use crate::actor::{ControlState, PendingProposal};
use crate::command::Command;

/// Shortest interval between batches of changed estimates.
const STORE_INTERVAL: DurationMs = DurationMs::new(5_000);

/// Maximum number of machines in a batch, which bounds the size of its log entry to about 10 KB.
const BATCH_LIMIT_COUNT: usize = 256;

/// Stored estimates of the speeds of machines.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "Vec<EstimateRecord>", into = "Vec<EstimateRecord>")]
pub(crate) struct StoredSpeeds(BTreeMap<NodeName, EstimateRecord>);

impl StoredSpeeds {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn records(&self) -> impl Iterator<Item = &EstimateRecord> {
        self.0.values()
    }

    pub fn apply(&mut self, changed: Vec<EstimateRecord>, removed: &[NodeName]) {
        removed.iter().for_each(|machine| {
            self.0.remove(machine);
        });
        self.0.extend(changed.into_iter().map(|record| (record.machine.clone(), record)));
    }
}

impl From<Vec<EstimateRecord>> for StoredSpeeds {
    fn from(records: Vec<EstimateRecord>) -> Self {
        Self(records.into_iter().map(|record| (record.machine.clone(), record)).collect())
    }
}

impl From<StoredSpeeds> for Vec<EstimateRecord> {
    fn from(speeds: StoredSpeeds) -> Self {
        speeds.0.into_values().collect()
    }
}

impl ControlState {
    /// Lets a new dispatcher begin with the stored estimates.
    pub(crate) fn restore_speeds(&mut self, now: TimestampMs) {
        self.speeds_stored_at = now;
        let Some(dispatcher) = &mut self.dispatcher else { return };
        for error in dispatcher.restore_estimates(self.queue_state.speeds.records(), now) {
            log::warn!(
                event = "machine_speed_not_read", agent = error.machine.as_str(), error:% = error;
                "the stored speed of a machine cannot be used; the machine counts as typical"
            );
        }
        self.metrics.queues.set_slow_machines(dispatcher.slow_machine_count());
    }

    /// Proposes the estimates that have changed, if any, at most one batch at a time.
    pub(crate) fn store_speeds(&mut self, now: TimestampMs) -> Result<(), ActorProcessingErr> {
        let Some(dispatcher) = &self.dispatcher else { return Ok(()) };
        let is_pending = |pending: &PendingProposal| matches!(pending, PendingProposal::Speeds);
        if now.since(self.speeds_stored_at) < STORE_INTERVAL
            || self.proposals.values().any(is_pending)
        {
            return Ok(());
        }
        self.speeds_stored_at = now;
        self.metrics.queues.set_slow_machines(dispatcher.slow_machine_count());
        let changed = dispatcher.changed_estimates(BATCH_LIMIT_COUNT);
        let machines = self.queue_state.speeds.records().map(|record| &record.machine);
        let removed: Vec<NodeName> = machines
            .filter(|machine| !dispatcher.is_known_machine(machine))
            .take(BATCH_LIMIT_COUNT)
            .cloned()
            .collect();
        if changed.is_empty() && removed.is_empty() {
            return Ok(());
        }
        self.propose(&Command::StoreSpeeds { changed, removed }, PendingProposal::Speeds)
    }

    /// Tells the dispatcher which estimates are stored.
    pub(crate) fn on_speeds_applied(&mut self, command: &Command) {
        if let (Command::StoreSpeeds { changed, .. }, Some(dispatcher)) =
            (command, &mut self.dispatcher)
        {
            dispatcher.on_estimates_stored(changed);
        }
    }
}
