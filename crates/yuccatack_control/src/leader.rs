//! Unreplicated state of the leader: leases of workers and pending heartbeat responses.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use yuccatack_core::prelude::*;
use yuccatack_leases::{HeartbeatReport, LeaseCommand, LeaseTable, Scheduler};

use crate::heartbeat;
use crate::long_poll::{LongPoll, LongPolls};
use crate::message::{HeartbeatResponse, Reply};
use crate::pending::not_leader;

/// A response that may grant a lease, with the port of the call that waits for it.
type PendingResponse = (Reply<HeartbeatResponse>, HeartbeatResponse);

/// Unreplicated state of the leader; a new leader starts with an empty one.
///
/// A response that grants a lease is sent only after a leadership check that started after the
/// heartbeat was handled, so that a deposed leader grants no lease.
pub struct LeaderState {
    scheduler: Scheduler,
    long_polls: LongPolls,
    unconfirmed: Vec<PendingResponse>,
    /// Responses that are sent when the running leadership check succeeds.
    confirming: Vec<PendingResponse>,
    checking: bool,
}

impl LeaderState {
    /// Creates the state of a leader whose term starts at `now`.
    pub fn new(now: TimestampMs) -> Self {
        Self {
            scheduler: Scheduler::new(now),
            long_polls: LongPolls::default(),
            unconfirmed: Vec::new(),
            confirming: Vec::new(),
            checking: false,
        }
    }

    /// Returns the scheduler, which tracks the leases of workers.
    pub const fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }

    /// Returns the commands that the scheduler proposes at `now`.
    pub fn schedule(&mut self, leases: &LeaseTable, now: TimestampMs) -> Vec<LeaseCommand> {
        self.scheduler.schedule(leases, now)
    }

    /// Handles a heartbeat and returns the commands to propose. A response that grants a lease and
    /// has neither commands nor acknowledgements is delayed until the worker may have a new command,
    /// sends its next heartbeat, or the delay limit has passed.
    pub fn heartbeat(
        &mut self,
        leases: &LeaseTable,
        report: HeartbeatReport,
        reply: Reply<HeartbeatResponse>,
        now: TimestampMs,
    ) -> Vec<LeaseCommand> {
        let worker = report.registration.worker.clone();
        let (response, commands) = self.scheduler.heartbeat(leases, report, now);
        if LongPolls::can_delay(&response) {
            let poll = LongPoll { reply, response, received_at: now };
            if let Some(replaced) = self.long_polls.insert(worker.clone(), poll) {
                self.complete(leases, &worker, replaced);
            }
        } else {
            self.unconfirmed.push((reply, heartbeat::encode(response)));
        }
        commands
    }

    /// Completes the long polls of workers that may have a new command.
    pub fn complete_polls(&mut self, leases: &LeaseTable, workers: &BTreeSet<WorkerName>) {
        for worker in workers {
            if let Some(poll) = self.long_polls.take(worker) {
                self.complete(leases, worker, poll);
            }
        }
    }

    /// Completes the long polls whose delay limit has passed.
    pub fn complete_expired_polls(&mut self, leases: &LeaseTable, now: TimestampMs) {
        for (worker, poll) in self.long_polls.take_expired(now) {
            self.complete(leases, &worker, poll);
        }
    }

    /// Records the start of a leadership check and returns `true`, unless one is running.
    pub fn begin_check(&mut self) -> bool {
        if self.checking {
            return false;
        }
        self.checking = true;
        self.confirming.append(&mut self.unconfirmed);
        true
    }

    /// Sends the responses that the check has confirmed. Returns `true` if others need a further
    /// check.
    pub fn check_succeeded(&mut self) -> bool {
        self.checking = false;
        for (reply, response) in self.confirming.drain(..) {
            // A worker that stopped waiting sends its next heartbeat.
            let _ = reply.send(Ok(response));
        }
        !self.unconfirmed.is_empty()
    }

    /// Sends an error in place of the responses that the failed check was to confirm.
    pub fn check_failed(&mut self, leader_address: Option<SocketAddr>) {
        self.checking = false;
        for (reply, _) in self.confirming.drain(..) {
            let _ = reply.send(Err(not_leader(leader_address)));
        }
    }

    fn complete(&mut self, leases: &LeaseTable, worker: &WorkerName, mut poll: LongPoll) {
        poll.response.commands = self.scheduler.commands_for(leases, worker);
        self.unconfirmed.push((poll.reply, heartbeat::encode(poll.response)));
    }
}
