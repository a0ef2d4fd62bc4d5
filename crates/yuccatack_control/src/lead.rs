//! What the leader keeps beside the replicated state: leases of workers and answers that wait.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use yuccatack_core::prelude::*;
use yuccatack_leases::{HeartbeatReport, LeaseCommand, LeaseTable, Scheduler};

use crate::heartbeat;
use crate::held::{Held, HeldHeartbeats};
use crate::message::{HeartbeatAnswer, Reply};
use crate::pending::not_leader;

/// An answer that grants a lease and the worker that waits for it.
type WaitingAnswer = (Reply<HeartbeatAnswer>, HeartbeatAnswer);

/// The leader's memory; a new leader starts with an empty one.
///
/// An answer that grants a lease goes out only after a leadership check that began later than the
/// heartbeat was handled, so that a deposed leader grants nothing.
pub struct Lead {
    scheduler: Scheduler,
    held: HeldHeartbeats,
    unconfirmed: Vec<WaitingAnswer>,
    /// The answers that the leadership check on its way will release.
    confirming: Vec<WaitingAnswer>,
    checking: bool,
}

impl Lead {
    /// The memory of a leader that starts now.
    pub fn new(now: TimestampMs) -> Self {
        Self {
            scheduler: Scheduler::new(now),
            held: HeldHeartbeats::default(),
            unconfirmed: Vec::new(),
            confirming: Vec::new(),
            checking: false,
        }
    }

    /// What the leader knows of workers.
    pub const fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// What the scheduler decides now.
    pub fn schedule(&mut self, leases: &LeaseTable, now: TimestampMs) -> Vec<LeaseCommand> {
        self.scheduler.schedule(leases, now)
    }

    /// Handles a heartbeat; the answer is held while it has nothing to say.
    pub fn heartbeat(
        &mut self,
        leases: &LeaseTable,
        report: HeartbeatReport,
        reply: Reply<HeartbeatAnswer>,
        now: TimestampMs,
    ) -> Vec<LeaseCommand> {
        let worker = report.registration.worker.clone();
        let (answer, commands) = self.scheduler.heartbeat(leases, report, now);
        if HeldHeartbeats::may_hold(&answer) {
            let held = Held { reply, answer, received_at: now };
            if let Some(replaced) = self.held.insert(worker.clone(), held) {
                self.release(leases, &worker, replaced);
            }
        } else {
            self.unconfirmed.push((reply, heartbeat::encode(answer)));
        }
        commands
    }

    /// Answers the held heartbeats of workers that may have a new command.
    pub fn release_workers(&mut self, leases: &LeaseTable, workers: &BTreeSet<WorkerName>) {
        for worker in workers {
            if let Some(held) = self.held.take(worker) {
                self.release(leases, worker, held);
            }
        }
    }

    /// Answers the heartbeats that were held long enough.
    pub fn release_expired(&mut self, leases: &LeaseTable, now: TimestampMs) {
        for (worker, held) in self.held.take_expired(now) {
            self.release(leases, &worker, held);
        }
    }

    /// Whether a leadership check shall be sent now; at most one is on its way.
    pub fn begin_check(&mut self) -> bool {
        if self.checking {
            return false;
        }
        self.checking = true;
        self.confirming.append(&mut self.unconfirmed);
        true
    }

    /// Sends the answers that the check on its way has confirmed; true if others wait for the next.
    pub fn check_succeeded(&mut self) -> bool {
        self.checking = false;
        for (reply, answer) in self.confirming.drain(..) {
            // A worker that gave up sends its next heartbeat.
            let _ = reply.send(Ok(answer));
        }
        !self.unconfirmed.is_empty()
    }

    /// Withdraws the answers that the check on its way was to confirm.
    pub fn check_failed(&mut self, leader_address: Option<SocketAddr>) {
        self.checking = false;
        for (reply, _) in self.confirming.drain(..) {
            let _ = reply.send(Err(not_leader(leader_address)));
        }
    }

    fn release(&mut self, leases: &LeaseTable, worker: &WorkerName, mut held: Held) {
        held.answer.commands = self.scheduler.commands_for(leases, worker);
        self.unconfirmed.push((held.reply, heartbeat::encode(held.answer)));
    }
}
