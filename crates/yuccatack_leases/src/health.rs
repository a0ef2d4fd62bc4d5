//! Registration, loss and quarantine of workers.

use yuccatack_core::prelude::*;

use crate::message::{LeaseEvent, TaskOutcome, WorkerRegistration};
use crate::table::LeaseTable;
use crate::worker::{WorkerEntry, WorkerHealth};
use crate::{MAX_FAILED_JOBS, MAX_FAILED_WORKERS};

/// Delay before the first probe of a quarantined worker. It doubles with each failure in quarantine
/// and each further quarantine, up to [`MAX_PROBE_BACKOFF_MS`], until a success resets it.
const INITIAL_PROBE_BACKOFF_MS: u64 = 30_000;
/// Maximum delay before a probe. Half an hour limits a permanently broken worker to 48 failed jobs
/// a day.
const MAX_PROBE_BACKOFF_MS: u64 = 1_800_000;
/// Time for which the entry of a lost worker is kept.
const WORKER_RETENTION: DurationMs = DurationMs::from_seconds(3600);

impl WorkerEntry {
    fn postpone_probe(&mut self, at: TimestampMs) {
        let probe_at = at + DurationMs::new(self.backoff_ms);
        self.health = WorkerHealth::Quarantined { probe_at };
        self.backoff_ms = (self.backoff_ms * 2).min(MAX_PROBE_BACKOFF_MS);
    }
}

impl LeaseTable {
    pub(crate) fn record_worker_success(&mut self, name: &WorkerName) -> Vec<LeaseEvent> {
        let Some(worker) = self.workers.get_mut(name) else { return Vec::new() };
        worker.failed_jobs.clear();
        worker.backoff_ms = INITIAL_PROBE_BACKOFF_MS;
        if !matches!(worker.health, WorkerHealth::Quarantined { .. }) {
            return Vec::new();
        }
        self.restore_worker(name)
    }

    /// Returns a quarantined worker to service without a probe, because no waiting job is suitable
    /// as one. The next failure quarantines it again, with a longer delay.
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
        self.cluster.update(index, |capacity| capacity.schedulable = true);
        let mut events = vec![LeaseEvent::WorkerRestored(name.clone())];
        events.extend(self.rebind_unbacked());
        events
    }

    /// Counts the first failure of an attempt against both the job and the worker.
    pub(crate) fn record_worker_failure(
        &mut self,
        name: &WorkerName,
        job: &JobName,
        at: TimestampMs,
    ) -> Vec<LeaseEvent> {
        let Some(worker) = self.workers.get_mut(name) else { return Vec::new() };
        if worker.failed_jobs.len() < MAX_FAILED_JOBS {
            worker.failed_jobs.insert(job.clone());
        }
        let at_limit = worker.failed_jobs.len() >= MAX_FAILED_JOBS;
        let mut healthy = true;
        let mut quarantine = false;
        match worker.health {
            WorkerHealth::Healthy if at_limit => quarantine = true,
            WorkerHealth::Quarantined { .. } => {
                healthy = false;
                worker.postpone_probe(at);
            }
            WorkerHealth::Healthy | WorkerHealth::Lost { .. } => {}
        }
        let failure = (name.clone(), worker.quarantine_count);
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.failure_count += 1;
            if healthy && !entry.failed_on.contains(&failure) {
                // Keeps more workers than the limit, because a later quarantine may discount some.
                entry.failed_on.truncate(2 * MAX_FAILED_WORKERS);
                entry.failed_on.push(failure);
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
        self.mark_unschedulable(index);
        let mut events = vec![LeaseEvent::WorkerQuarantined(name.clone())];
        events.extend(self.rebind_unbacked());
        events
    }

    /// Removes a worker from the schedulable capacity; tasks that run there are not affected.
    fn mark_unschedulable(&mut self, index: u32) {
        self.unbind_worker(index);
        self.cluster.update(index, |capacity| capacity.schedulable = false);
    }

    pub(crate) fn register_worker(
        &mut self,
        registration: WorkerRegistration,
        at: TimestampMs,
    ) -> Vec<LeaseEvent> {
        self.remove_expired_workers(at);
        let name = &registration.worker;
        let mut quarantine_count = 0;
        let mut registration_number = 1;
        if let Some(known) = self.workers.get(name) {
            if !matches!(known.health, WorkerHealth::Lost { .. }) {
                return Vec::new();
            }
            quarantine_count = known.quarantine_count;
            registration_number = known.registration_number + 1;
            self.remove_worker(name);
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
            backoff_ms: INITIAL_PROBE_BACKOFF_MS,
            quarantine_count,
        };
        self.workers.insert(name.clone(), entry);
        let mut events = Vec::new();
        events.push(LeaseEvent::WorkerRegistered(name.clone()));
        events.extend(self.rebind_unbacked());
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
        self.mark_unschedulable(index);
        let mut events = vec![LeaseEvent::WorkerLost(name.clone())];
        for key in tasks {
            events.extend(self.end_task(&key.job, key.index, TaskOutcome::Lost, at));
        }
        events.extend(self.rebind_unbacked());
        events
    }

    fn remove_expired_workers(&mut self, now: TimestampMs) {
        while let Some((since, name)) = self.lost.first().cloned() {
            if now.since(since) <= WORKER_RETENTION {
                break;
            }
            self.remove_worker(&name);
        }
    }

    fn remove_worker(&mut self, name: &WorkerName) {
        let Some(worker) = self.workers.remove(name) else { return };
        if let WorkerHealth::Lost { since } = worker.health {
            self.lost.remove(&(since, name.clone()));
        }
        self.quarantined.remove(name);
        self.cluster.remove_worker(worker.index);
    }
}
