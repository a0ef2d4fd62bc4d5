//! When the leader decides, and what it sends then.

use ractor::ActorProcessingErr;
use yuccatack_core::{DurationMs, TimestampMs};
use yuccatack_replication::ReadId;

use crate::actor::{Confirmed, ControlState, Proposed, unix_now_ms};
use crate::command::Command;

/// The shortest time from one confirmation of the lead for leases to the next; leases last several
/// seconds, and each confirmation costs a round of messages.
const CONFIRM_INTERVAL: DurationMs = DurationMs::new(100);

/// How often the leader decides without a change of the table or of the workers. Leases end and
/// scheduled jobs become due without any message.
const DECISION_INTERVAL: DurationMs = DurationMs::new(50);

/// After a decision the leader does other work for this many times as long as the decision took, so
/// that decisions on a loaded deployment cannot keep it from its heartbeats and calls.
const DECISION_PAUSE_FACTOR: u64 = 3;

impl ControlState {
    pub(crate) fn schedule_is_due(&self) -> bool {
        let now = self.now();
        if now < self.paused_until {
            return false;
        }
        let decision = self.decision_due || now.since(self.decided_at) >= DECISION_INTERVAL;
        let confirmation = !self.lease_read && now.since(self.confirmed_at) >= CONFIRM_INTERVAL;
        self.dispatcher.is_some() && (decision || confirmation)
    }

    /// Confirms the lead, decides and sends what is due.
    pub(crate) fn schedule(&mut self) -> Result<(), ActorProcessingErr> {
        self.schedule_requested = false;
        let now = self.now();
        self.decision_due = false;
        self.decided_at = now;
        let Some(dispatcher) = &mut self.dispatcher else { return Ok(()) };
        if !self.changes_proposed {
            let jobs = &self.state.jobs;
            let unix_ms = unix_now_ms();
            let mut changes = std::mem::take(&mut self.changes);
            if changes.is_empty() {
                // Decisions build on a table without changes under way.
                changes = dispatcher.decide(jobs, &self.state.configuration, now, unix_ms);
                self.metrics.queues.count_evictions(dispatcher.take_eviction_count());
            }
            if !changes.is_empty() {
                self.changes_proposed = true;
                let command = Command::Change { changes, now_unix_ms: unix_ms };
                self.propose(&command, Proposed::Changes)?;
            }
        }
        self.send_orders(now);
        if !self.lease_read && now.since(self.confirmed_at) >= CONFIRM_INTERVAL {
            self.lease_read = true;
            self.confirmed_at = now;
            let read = ReadId::new(self.number());
            self.reads.insert(read, Confirmed::Leases { began_at: now });
            self.replication.read(read);
        }
        let took_ms = self.now().since(now).get();
        self.paused_until = self.now() + DurationMs::new(DECISION_PAUSE_FACTOR * took_ms);
        Ok(())
    }

    fn send_orders(&mut self, now: TimestampMs) {
        let Some(dispatcher) = &mut self.dispatcher else { return };
        for (node, orders) in dispatcher.orders(&self.state.jobs, now) {
            for start in &orders.starts {
                log::info!(
                    event = "run_ordered", run:% = start.run, node = node.as_str(),
                    lease_until_clock_ms = start.until_clock_ms, token = orders.token;
                    "a run is ordered to begin"
                );
            }
            for stop in &orders.stops {
                log::info!(
                    event = "stop_ordered", run:% = stop, node = node.as_str(),
                    token = orders.token;
                    "a run is ordered to stop"
                );
            }
            if !self.agents.send(&node, orders) {
                dispatcher.disconnect(&node);
            }
        }
    }
}
