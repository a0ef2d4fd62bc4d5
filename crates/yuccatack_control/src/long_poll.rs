//! Long polls: heartbeats whose response is delayed until there is a command for the worker.
//!
//! Otherwise a command would wait for the worker's next heartbeat, up to 2 s at each of the steps
//! prepare and start, which is too long for an urgent start after a reclaim.

use std::collections::BTreeSet;

use yuccatack_core::prelude::*;
use yuccatack_leases::{HeartbeatReply, LeaseCommand, LeaseEvent, LeaseTable};

use crate::message::{HeartbeatResponse, Reply};

/// Maximum delay of a response; the worker's next heartbeat is due then.
const MAX_RESPONSE_DELAY: DurationMs = yuccatack_leases::HEARTBEAT_INTERVAL;

/// A heartbeat whose response is delayed.
#[derive(Debug)]
pub struct LongPoll {
    /// Port of the call that waits for the response.
    pub reply: Reply<HeartbeatResponse>,
    /// Response whose commands are filled in when the long poll completes.
    pub response: HeartbeatReply,
    /// Time at which the heartbeat was received.
    pub received_at: TimestampMs,
}

/// Long polls by worker; a worker has at most one.
#[derive(Debug, Default)]
pub struct LongPolls {
    by_worker: FastHashMap<WorkerName, LongPoll>,
}

impl LongPolls {
    /// Returns `true` if a response may be delayed, as it grants a lease and has neither commands
    /// nor acknowledgements.
    pub const fn can_delay(response: &HeartbeatReply) -> bool {
        response.lease.is_some() && response.commands.is_empty() && response.acknowledged.is_empty()
    }

    /// Adds a long poll and returns the older one of the same worker that it replaces.
    pub fn insert(&mut self, worker: WorkerName, poll: LongPoll) -> Option<LongPoll> {
        self.by_worker.insert(worker, poll)
    }

    /// Removes and returns the long poll of a worker.
    pub fn take(&mut self, worker: &WorkerName) -> Option<LongPoll> {
        self.by_worker.remove(worker)
    }

    /// Removes and returns the long polls whose maximum delay has passed.
    pub fn take_expired(&mut self, now: TimestampMs) -> Vec<(WorkerName, LongPoll)> {
        self.by_worker
            .extract_if(|_, poll| now.since(poll.received_at) >= MAX_RESPONSE_DELAY)
            .collect()
    }
}

/// Returns the workers that may have a new command after these events.
pub fn affected_workers(leases: &LeaseTable, events: &[LeaseEvent]) -> BTreeSet<WorkerName> {
    let mut workers = BTreeSet::new();
    for job in events.iter().filter_map(placed_job) {
        let Some(attempt) = leases.job(job).and_then(|entry| entry.attempt()) else { continue };
        let attempt_workers =
            attempt.tasks.iter().filter_map(|task| leases.cluster().worker(task.worker));
        workers.extend(attempt_workers.map(|worker| worker.name.clone()));
    }
    workers
}

/// Returns the workers on which these commands end tasks. A job that waits for the capacity of an
/// ended task is prepared on the same worker.
pub fn freed_workers(leases: &LeaseTable, commands: &[LeaseCommand]) -> BTreeSet<WorkerName> {
    let freed = commands.iter().filter_map(|command| {
        let LeaseCommand::EndTask { job, index, .. } = command else { return None };
        let attempt = leases.job(job)?.attempt()?;
        let task = attempt.tasks.get(usize::try_from(*index).ok()?)?;
        Some(leases.cluster().worker(task.worker)?.name.clone())
    });
    freed.collect()
}

const fn placed_job(event: &LeaseEvent) -> Option<&JobName> {
    match event {
        LeaseEvent::AttemptBegan(job, _)
        | LeaseEvent::AttemptStarted(job, _)
        | LeaseEvent::AttemptStopping(job, _, _) => Some(job),
        _ => None,
    }
}
