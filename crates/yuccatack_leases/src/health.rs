//! Registration, loss and quarantine of workers.

use yuccatack_core::prelude::*;

use crate::message::{LeaseEvent, TaskOutcome, WorkerRegistration};
use crate::table::LeaseTable;
use crate::worker::{WorkerEntry, WorkerHealth};
use crate::{MAX_FAILED_JOBS, MAX_FAILED_WORKERS};

/// The first wait before a quarantined worker is probed; it doubles up to the limit.
const FIRST_PROBE_WAIT_MS: u64 = 30_000;
/// Half an hour keeps a permanently broken worker from costing more than 48 jobs a day.
const PROBE_WAIT_LIMIT_MS: u64 = 1_800_000;
/// A lost worker is forgotten after this time.
const WORKER_RETENTION: DurationMs = DurationMs::from_seconds(3600);

impl WorkerEntry {
    fn postpone_probe(&mut self, at: TimestampMs) {
        let probe_at = at + DurationMs::new(self.backoff_ms);
        self.health = WorkerHealth::Quarantined { probe_at };
        self.backoff_ms = (self.backoff_ms * 2).min(PROBE_WAIT_LIMIT_MS);
    }
}

impl LeaseTable {
    pub(crate) fn credit_worker(&mut self, name: &WorkerName) -> Vec<LeaseEvent> {
        let Some(worker) = self.workers.get_mut(name) else { return Vec::new() };
        worker.failed_jobs.clear();
        worker.backoff_ms = FIRST_PROBE_WAIT_MS;
        if !matches!(worker.health, WorkerHealth::Quarantined { .. }) {
            return Vec::new();
        }
        self.restore_worker(name)
    }

    /// Lets a quarantined worker serve without a probe, because no waiting job can be one. The
    /// next failure quarantines it again, for longer.
    pub(crate) fn release_on_probation(
        &mut self,
        name: &WorkerName,
        at: TimestampMs,
    ) -> Vec<LeaseEvent> {
        let Some(worker) = self.workers.get_mut(name) else { return Vec::new() };
        match worker.health {
            WorkerHealth::Quarantined { probe_at } if probe_at <= at => {}
            _ => return Vec::new(),
        }
        worker.failed_jobs.pop_first();
        self.restore_worker(name)
    }

    fn restore_worker(&mut self, name: &WorkerName) -> Vec<LeaseEvent> {
        let Some(worker) = self.workers.get_mut(name) else { return Vec::new() };
        worker.health = WorkerHealth::Healthy;
        let index = worker.index;
        self.quarantined.remove(name);
        self.cluster.update(index, |cell| cell.schedulable = true);
        let mut events = vec![LeaseEvent::WorkerRestored(name.clone())];
        events.extend(self.restore_bindings());
        events
    }

    /// Counts the first failure of an attempt against the job and the worker.
    pub(crate) fn blame_worker(
        &mut self,
        name: &WorkerName,
        job: &JobName,
        at: TimestampMs,
    ) -> Vec<LeaseEvent> {
        let Some(worker) = self.workers.get_mut(name) else { return Vec::new() };
        if worker.failed_jobs.len() < MAX_FAILED_JOBS {
            worker.failed_jobs.insert(job.clone());
        }
        let full = worker.failed_jobs.len() >= MAX_FAILED_JOBS;
        let mut healthy = true;
        let mut quarantine = false;
        match worker.health {
            WorkerHealth::Healthy if full => quarantine = true,
            WorkerHealth::Quarantined { .. } => {
                healthy = false;
                worker.postpone_probe(at);
            }
            WorkerHealth::Healthy | WorkerHealth::Lost { .. } => {}
        }
        let record = (name.clone(), worker.quarantine_count);
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.failure_count += 1;
            if healthy && !entry.failed_on.contains(&record) {
                // One more than matter, because a later quarantine may discount one.
                entry.failed_on.truncate(2 * MAX_FAILED_WORKERS);
                entry.failed_on.push(record);
            }
        }
        if quarantine { self.quarantine(name, at) } else { Vec::new() }
    }

    fn quarantine(&mut self, name: &WorkerName, at: TimestampMs) -> Vec<LeaseEvent> {
        let Some(worker) = self.workers.get_mut(name) else { return Vec::new() };
        worker.postpone_probe(at);
        worker.quarantine_count += 1;
        let index = worker.index;
        self.quarantined.insert(name.clone());
        self.retire_capacity(index);
        let mut events = vec![LeaseEvent::WorkerQuarantined(name.clone())];
        events.extend(self.restore_bindings());
        events
    }

    /// Takes a worker out of the capacity; what runs there is not affected.
    fn retire_capacity(&mut self, index: u32) {
        self.unbind_worker(index);
        self.cluster.update(index, |cell| cell.schedulable = false);
    }

    pub(crate) fn register_worker(
        &mut self,
        registration: WorkerRegistration,
        at: TimestampMs,
    ) -> Vec<LeaseEvent> {
        self.forget_lost_workers(at);
        let name = &registration.worker;
        let mut quarantine_count = 0;
        let mut registration_number = 1;
        if let Some(known) = self.workers.get(name) {
            if !matches!(known.health, WorkerHealth::Lost { .. }) {
                return Vec::new();
            }
            quarantine_count = known.quarantine_count;
            registration_number = known.registration_number + 1;
            self.forget_worker(name);
        }
        let index = self.cluster.add_worker(
            name,
            &registration.data_centre,
            &registration.rack,
            registration.resources,
        );
        let entry = WorkerEntry {
            index,
            incarnation: registration.incarnation,
            registration_number,
            resources: registration.resources,
            health: WorkerHealth::Healthy,
            tasks: Default::default(),
            failed_jobs: Default::default(),
            backoff_ms: FIRST_PROBE_WAIT_MS,
            quarantine_count,
        };
        self.workers.insert(name.clone(), entry);
        let mut events = Vec::new();
        events.push(LeaseEvent::WorkerRegistered(name.clone()));
        events.extend(self.restore_bindings());
        events
    }

    pub(crate) fn lose_worker(
        &mut self,
        name: &WorkerName,
        registration_number: u64,
        at: TimestampMs,
    ) -> Vec<LeaseEvent> {
        let Some(worker) = self.workers.get_mut(name) else { return Vec::new() };
        let lost = matches!(worker.health, WorkerHealth::Lost { .. });
        if worker.registration_number != registration_number || lost {
            return Vec::new();
        }
        worker.health = WorkerHealth::Lost { since: at };
        let (index, tasks) = (worker.index, worker.tasks.clone());
        self.quarantined.remove(name);
        self.lost.insert((at, name.clone()));
        self.retire_capacity(index);
        let mut events = vec![LeaseEvent::WorkerLost(name.clone())];
        for key in tasks {
            events.extend(self.end_task(&key.job, key.index, TaskOutcome::Lost, at));
        }
        events.extend(self.restore_bindings());
        events
    }

    fn forget_lost_workers(&mut self, now: TimestampMs) {
        while let Some((since, name)) = self.lost.first().cloned() {
            if now.since(since) <= WORKER_RETENTION {
                break;
            }
            self.forget_worker(&name);
        }
    }

    fn forget_worker(&mut self, name: &WorkerName) {
        let Some(worker) = self.workers.remove(name) else { return };
        if let WorkerHealth::Lost { since } = worker.health {
            self.lost.remove(&(since, name.clone()));
        }
        self.quarantined.remove(name);
        self.cluster.remove_worker(worker.index);
    }
}
