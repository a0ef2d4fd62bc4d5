//! Heartbeats whose answer is held back until there is a command for the worker.
//!
//! Without this a command would wait for the worker's next heartbeat, up to 2 s at each of the
//! steps prepare and start, which an urgent start after a reclaim cannot afford.

use std::collections::BTreeSet;

use yuccatack_core::prelude::*;
use yuccatack_leases::{HeartbeatReply, LeaseEvent, LeaseTable};

use crate::message::{HeartbeatAnswer, Reply};

/// How long an answer is held; the worker's next heartbeat is due then.
const HOLD_LIMIT: DurationMs = yuccatack_leases::HEARTBEAT_INTERVAL;

/// A heartbeat that waits.
#[derive(Debug)]
pub struct Held {
    /// Takes the answer.
    pub reply: Reply<HeartbeatAnswer>,
    /// The answer so far; its commands are filled in when it is released.
    pub answer: HeartbeatReply,
    /// When the heartbeat came.
    pub received_at: TimestampMs,
}

/// At most one heartbeat a worker.
#[derive(Debug, Default)]
pub struct HeldHeartbeats {
    by_worker: FastHashMap<WorkerName, Held>,
}

impl HeldHeartbeats {
    /// Whether an answer may wait: it grants a lease and tells the worker nothing else.
    pub const fn may_hold(answer: &HeartbeatReply) -> bool {
        answer.lease.is_some() && answer.commands.is_empty() && answer.acknowledged.is_empty()
    }

    /// Holds a heartbeat and gives back the older one that it replaces.
    pub fn insert(&mut self, worker: WorkerName, held: Held) -> Option<Held> {
        self.by_worker.insert(worker, held)
    }

    /// Takes the heartbeat of a worker.
    pub fn take(&mut self, worker: &WorkerName) -> Option<Held> {
        self.by_worker.remove(worker)
    }

    /// Takes the heartbeats that were held long enough.
    pub fn take_expired(&mut self, now: TimestampMs) -> Vec<(WorkerName, Held)> {
        self.by_worker.extract_if(|_, held| now.since(held.received_at) >= HOLD_LIMIT).collect()
    }
}

/// The workers that may have a new command after these events.
pub fn affected_workers(leases: &LeaseTable, events: &[LeaseEvent]) -> BTreeSet<WorkerName> {
    let mut workers = BTreeSet::new();
    for job in events.iter().filter_map(job_of) {
        let Some(attempt) = leases.job(job).and_then(|entry| entry.attempt()) else { continue };
        let cells = attempt.tasks.iter().filter_map(|task| leases.cluster().worker(task.worker));
        workers.extend(cells.map(|cell| cell.name.clone()));
    }
    workers
}

const fn job_of(event: &LeaseEvent) -> Option<&JobName> {
    match event {
        LeaseEvent::AttemptBegan(job, _)
        | LeaseEvent::AttemptStarted(job, _)
        | LeaseEvent::AttemptStopping(job, _, _) => Some(job),
        _ => None,
    }
}
