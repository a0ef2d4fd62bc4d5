//! Scheduling passes of the leader: their pacing and the orders that they send.

use ractor::ActorProcessingErr;
use yuccatack_core::{DurationMs, TimestampMs};
use yuccatack_dispatch::PassSummary;
use yuccatack_replication::{ProposalId, ReadId};

use crate::actor::{ControlState, PendingProposal, PendingRead, unix_now_ms};
use crate::command::Command;
use crate::run_lines::RunLines;

/// Shortest interval between leadership confirmations for leases. Leases last several seconds, and
/// each confirmation costs a round of messages.
const LEASE_READ_INTERVAL: DurationMs = DurationMs::new(100);

/// Interval of scheduling passes without a change of the job table or of the workers. No message
/// announces that a lease has expired or that a scheduled job is due.
const PASS_INTERVAL: DurationMs = DurationMs::new(50);

/// Pause after a scheduling pass as a multiple of the pass's duration, so that passes on a loaded
/// deployment do not delay heartbeats and calls.
const PASS_PAUSE_FACTOR: u64 = 3;

/// Upper bound on the pause after a scheduling pass. A process that is suspended or slowed down
/// during a pass measures a long one, and callers expect work to start within a second or so.
const MAX_PASS_PAUSE: DurationMs = DurationMs::new(500);

/// Returns the pause after a scheduling pass that took `elapsed`.
pub fn pause_after_pass(elapsed: DurationMs) -> DurationMs {
    MAX_PASS_PAUSE.min(DurationMs::new(elapsed.get().saturating_mul(PASS_PAUSE_FACTOR)))
}

impl ControlState {
    pub(crate) fn schedule_is_due(&self) -> bool {
        let now = self.now();
        if now < self.paused_until {
            return false;
        }
        let pass_due = self.changed_since_pass || now.since(self.scheduled_at) >= PASS_INTERVAL;
        let lease_read_due =
            !self.lease_read_pending && now.since(self.lease_read_at) >= LEASE_READ_INTERVAL;
        self.dispatcher.is_some() && (pass_due || lease_read_due)
    }

    /// Runs one scheduling pass: proposes table changes, sends orders and starts a leadership
    /// confirmation for leases if one is due.
    pub(crate) fn schedule(&mut self) -> Result<(), ActorProcessingErr> {
        self.schedule_requested = false;
        let now = self.now();
        self.changed_since_pass = false;
        self.scheduled_at = now;
        let Some(dispatcher) = &mut self.dispatcher else { return Ok(()) };
        // The dispatcher requires a table without changes in flight.
        if !self.pending_changes.is_in_flight() && now >= self.changes_paused_until {
            let jobs = &self.queue_state.jobs;
            let now_unix_ms = unix_now_ms();
            let mut decided = Vec::new();
            if self.pending_changes.begin_decision(now) {
                let spare_bytes = self.stored_limit_bytes.saturating_sub(self.stored_bytes);
                dispatcher.set_spare_bytes(spare_bytes);
                decided =
                    dispatcher.decide(jobs, &self.queue_state.configuration, now, now_unix_ms);
                self.metrics.queues.count_evictions(dispatcher.take_eviction_count());
                if let Some(summary) = dispatcher.take_summary() {
                    log_summary(&summary);
                }
            }
            let proposal = ProposalId::new(self.next_id());
            if let Some(changes) = self.pending_changes.next_batch(proposal, decided) {
                let command = Command::Change { changes, now_unix_ms };
                self.propose_as(proposal, &command, PendingProposal::Changes)?;
            }
        }
        self.send_orders(now);
        if !self.lease_read_pending && now.since(self.lease_read_at) >= LEASE_READ_INTERVAL {
            self.lease_read_pending = true;
            self.lease_read_at = now;
            let read = ReadId::new(self.next_id());
            self.reads.insert(read, PendingRead::Leases { began_at: now });
            self.replication.read(read);
        }
        let ended_at = self.now();
        self.paused_until = ended_at + pause_after_pass(ended_at.since(now));
        Ok(())
    }

    fn send_orders(&mut self, now: TimestampMs) {
        let Some(dispatcher) = &mut self.dispatcher else { return };
        let (mut starts, mut stops) = (RunLines::new(), RunLines::new());
        let token = dispatcher.token();
        for (node, orders) in dispatcher.orders(&self.queue_state.jobs, now) {
            orders.starts.iter().for_each(|start| starts.add(&start.run, (), &node));
            orders.stops.iter().for_each(|run| stops.add(run, (), &node));
            if !self.agents.send(&node, orders) {
                dispatcher.disconnect(&node);
            }
        }
        starts.for_each(|runs, (), count, tasks| {
            log::info!(
                event = "run_ordered", run:% = runs, count = count, tasks = tasks, token = token;
                "the leader ordered runs of the step to start; tasks are given with their nodes"
            );
        });
        stops.for_each(|runs, (), count, tasks| {
            log::info!(
                event = "stop_ordered", run:% = runs, count = count, tasks = tasks, token = token;
                "the leader ordered runs of the step to stop; tasks are given with their nodes"
            );
        });
    }
}

fn log_summary(summary: &PassSummary) {
    let longest = summary.longest_waiting.as_ref();
    log::info!(
        event = "tasks_waiting", waiting:% = summary.waiting_tasks,
        overdue:% = summary.overdue_tasks, used:% = summary.used_accelerators,
        workers = summary.available_worker_count, free = summary.free_accelerator_count,
        free_cores_milli = summary.free_cores_milli, free_memory_bytes = summary.free_memory_bytes,
        held = summary.held_accelerator_count, reserved = summary.reserved_accelerator_count,
        quarantined = summary.quarantined_worker_count,
        longest_job = longest.map_or("", |group| group.job.as_str()),
        longest_ms = longest.map_or(0, |group| group.waited_ms.get()),
        longest_cause = longest.map(|group| group.cause().to_string()).unwrap_or_default();
        "ready tasks wait for capacity"
    );
}
