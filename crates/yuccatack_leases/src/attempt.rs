//! Lifecycle of an attempt after its placement: eviction, stop, release of tasks, and completion.

use yuccatack_core::prelude::*;
use yuccatack_placement::WorkerIndex;

use crate::check::JobRefusal;
use crate::job::{AttemptPhase, JobPhase, TaskSlot, TaskState};
use crate::message::{LeaseEvent, StopReason, TaskOutcome};
use crate::table::LeaseTable;
use crate::worker::TaskKey;
use crate::{CHECKPOINT_TIMEOUT, MAX_FAILED_WORKERS, PREPARE_TIMEOUT};

/// Number of failures after which a job is refused even when too few workers are left to tell
/// whether the workers or the job are at fault.
const MAX_FAILURE_COUNT: u32 = 6;

fn add(left: &Resources, right: &Resources) -> Resources {
    left.checked_add(right).unwrap_or(*left)
}

fn subtract(left: &Resources, right: &Resources) -> Resources {
    left.checked_sub(right).unwrap_or_default()
}

impl LeaseTable {
    /// Evicts an attempt from its workers, by checkpoint where possible, otherwise by stopping it.
    pub(crate) fn evict_attempt(
        &mut self,
        job: &JobName,
        reason: StopReason,
        at: TimestampMs,
    ) -> Vec<LeaseEvent> {
        let Some(entry) = self.jobs.get_mut(job) else { return Vec::new() };
        let checkpointable = entry.spec.checkpointable;
        let JobPhase::Active(attempt) = &mut entry.phase else { return Vec::new() };
        if attempt.phase != AttemptPhase::Running || !checkpointable {
            return self.stop_attempt(job, reason, at);
        }
        let epoch = attempt.epoch;
        attempt.phase = AttemptPhase::Checkpointing(reason.clone());
        self.set_deadline(job, Some(at + CHECKPOINT_TIMEOUT));
        vec![LeaseEvent::AttemptStopping(job.clone(), epoch, reason)]
    }

    pub(crate) fn stop_attempt(
        &mut self,
        job: &JobName,
        reason: StopReason,
        at: TimestampMs,
    ) -> Vec<LeaseEvent> {
        let Some(entry) = self.jobs.get_mut(job) else { return Vec::new() };
        let JobPhase::Active(attempt) = &mut entry.phase else { return Vec::new() };
        if matches!(attempt.phase, AttemptPhase::Stopping(_)) {
            return Vec::new();
        }
        let epoch = attempt.epoch;
        attempt.phase = AttemptPhase::Stopping(reason.clone());
        let booked = |(_, slot): &(usize, &TaskSlot)| slot.state == TaskState::Booked;
        let booked_indexes: Vec<u32> = attempt
            .tasks
            .iter()
            .enumerate()
            .filter(booked)
            .map(|(index, _)| index as u32)
            .collect();
        self.ready.remove(job);
        self.set_deadline(job, None);
        for index in booked_indexes {
            self.release_task(job, index, TaskOutcome::Stopped, at);
        }
        let mut events = vec![LeaseEvent::AttemptStopping(job.clone(), epoch, reason)];
        events.extend(self.finish_attempt(job, at));
        events
    }

    pub(crate) fn set_deadline(&mut self, job: &JobName, deadline: Option<TimestampMs>) {
        let Some(entry) = self.jobs.get_mut(job) else { return };
        let JobPhase::Active(attempt) = &mut entry.phase else { return };
        let former = std::mem::replace(&mut attempt.deadline, deadline);
        if let Some(former) = former {
            self.deadlines.remove(&(former, job.clone()));
        }
        if let Some(deadline) = deadline {
            self.deadlines.insert((deadline, job.clone()));
        }
    }

    /// Marks a task as ended and releases its capacity.
    pub(crate) fn release_task(
        &mut self,
        job: &JobName,
        index: u32,
        outcome: TaskOutcome,
        at: TimestampMs,
    ) {
        let Some(entry) = self.jobs.get_mut(job) else { return };
        let (task, organisation) = (entry.spec.shape.task, entry.spec.organisation.clone());
        let JobPhase::Active(attempt) = &mut entry.phase else { return };
        let firm = attempt.firm;
        let Some(slot) = attempt.tasks.get_mut(index as usize) else { return };
        if slot.state.is_ended() {
            return;
        }
        let was_booked = slot.state == TaskState::Booked;
        let (worker, mask) = (slot.worker, std::mem::take(&mut slot.accelerator_mask));
        slot.state = TaskState::Ended(outcome);
        self.cluster.release_accelerators(worker, mask);
        self.cluster.update(worker, |capacity| {
            let held = if was_booked { &mut capacity.booked } else { &mut capacity.used };
            *held = subtract(held, &task);
            if firm {
                capacity.firm = subtract(&capacity.firm, &task);
            }
        });
        if let Some(organisation) = self.organisations.get_mut(&organisation) {
            let held = &mut organisation.held_accelerator_count;
            *held = held.saturating_sub(u64::from(task.accelerator_count));
        }
        if let Some(worker) = self.worker_at_mut(worker) {
            worker.tasks.remove(&TaskKey { job: job.clone(), index });
        }
        self.promote_booked(worker, at);
    }

    /// Assigns freed capacity to those tasks booked on this worker that now fit.
    pub(crate) fn promote_booked(&mut self, worker: WorkerIndex, at: TimestampMs) {
        let Some(capacity) = self.cluster.worker(worker) else { return };
        if capacity.booked == Resources::default() {
            return;
        }
        let Some(entry) = self.worker_at(worker) else { return };
        let is_booked = |key: &&TaskKey| {
            let attempt = self.jobs.get(&key.job).and_then(|job| job.attempt());
            attempt
                .is_some_and(|attempt| attempt.tasks[key.index as usize].state == TaskState::Booked)
        };
        let keys: Vec<TaskKey> = entry.tasks.iter().filter(is_booked).cloned().collect();
        for key in keys {
            self.promote_task(worker, &key, at);
        }
    }

    fn promote_task(&mut self, worker: WorkerIndex, key: &TaskKey, at: TimestampMs) {
        let Some(capacity) = self.cluster.worker(worker) else { return };
        let Some(entry) = self.jobs.get_mut(&key.job) else { return };
        let task = entry.spec.shape.task;
        let fits =
            capacity.used.checked_add(&task).is_some_and(|sum| capacity.total.contains(&sum));
        if !fits {
            return;
        }
        let JobPhase::Active(attempt) = &mut entry.phase else { return };
        let mask = self.cluster.allocate_accelerators(worker, task.accelerator_count);
        let slot = &mut attempt.tasks[key.index as usize];
        slot.accelerator_mask = mask;
        slot.state = TaskState::Assigned;
        let complete = attempt.tasks.iter().all(|slot| slot.state != TaskState::Booked);
        if complete && attempt.phase == AttemptPhase::Reclaiming {
            attempt.phase = AttemptPhase::Preparing;
            self.set_deadline(&key.job, Some(at + PREPARE_TIMEOUT));
        }
        self.cluster.update(worker, |capacity| {
            capacity.booked = subtract(&capacity.booked, &task);
            capacity.used = add(&capacity.used, &task);
        });
    }

    /// Moves the job to its next phase once every task of the attempt has ended.
    pub(crate) fn finish_attempt(&mut self, job: &JobName, at: TimestampMs) -> Vec<LeaseEvent> {
        let Some(entry) = self.jobs.get(job) else { return Vec::new() };
        let Some(attempt) = entry.attempt() else { return Vec::new() };
        if !attempt.tasks.iter().all(|slot| slot.state.is_ended()) {
            return Vec::new();
        }
        let (epoch, claim) = (attempt.epoch, attempt.claim.clone());
        let next = self.next_phase(job, at);
        self.set_deadline(job, None);
        self.ready.remove(job);
        self.active.remove(job);
        if let Some((guarantee, instance)) = claim
            && let Some(entry) = self.guarantees.get_mut(&guarantee)
            && let Some(instance) = entry.instances.get_mut(instance as usize)
        {
            instance.claimed_by = None;
        }
        let mut events = vec![LeaseEvent::AttemptReleased(job.clone(), epoch)];
        let requeued = next == JobPhase::Waiting;
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.phase = next;
            entry.finished_at = (!requeued).then_some(at);
        }
        if requeued {
            self.enqueue(job);
            events.push(LeaseEvent::JobRequeued(job.clone()));
        } else {
            self.finished.insert((at, job.clone()));
            events.push(LeaseEvent::JobFinished(job.clone()));
        }
        events.extend(self.rebind_unbacked());
        events
    }

    fn next_phase(&mut self, job: &JobName, at: TimestampMs) -> JobPhase {
        let Some(entry) = self.jobs.get_mut(job) else { return JobPhase::Waiting };
        let JobPhase::Active(attempt) = &entry.phase else { return JobPhase::Waiting };
        let all_ended_with = |allowed: &[TaskOutcome]| {
            attempt.tasks.iter().all(|slot| match slot.state {
                TaskState::Ended(outcome) => allowed.contains(&outcome),
                _ => false,
            })
        };
        let run_time = attempt.started_at.map_or(DurationMs::ZERO, |start| at.since(start));
        let started = attempt.started_at.is_some();
        if started && all_ended_with(&[TaskOutcome::Succeeded]) {
            let total = DurationMs::new(run_time.get() + entry.saved_run_time_ms);
            let declared = DurationMs::from_seconds(entry.spec.declared_run_time_s);
            let organisation = self.organisations.entry(entry.spec.organisation.clone());
            organisation.or_default().estimate.record(declared, total);
            return JobPhase::Succeeded;
        }
        let saved = started && all_ended_with(&[TaskOutcome::Checkpointed, TaskOutcome::Succeeded]);
        let reason = match &attempt.phase {
            AttemptPhase::Stopping(reason) | AttemptPhase::Checkpointing(reason) => reason.clone(),
            _ => return JobPhase::Waiting,
        };
        if saved {
            entry.checkpoint = Some(attempt.epoch);
            entry.saved_run_time_ms += run_time.get();
            entry.unsaved = false;
        }
        if reason == StopReason::Cancelled {
            return JobPhase::Cancelled;
        }
        let may_restart = entry.may_restart();
        if let StopReason::TaskFailed(_) = reason {
            let worker_count = self.healthy_failure_count(job);
            let retries_exhausted = worker_count >= MAX_FAILED_WORKERS
                || self.jobs.get(job).is_some_and(|job| job.failure_count >= MAX_FAILURE_COUNT);
            if retries_exhausted {
                let job = job.clone();
                return JobPhase::Refused(JobRefusal::FailedRepeatedly { job, worker_count });
            }
            return if may_restart { JobPhase::Waiting } else { JobPhase::Failed(reason) };
        }
        if may_restart { JobPhase::Waiting } else { JobPhase::Unknown(reason) }
    }

    /// Returns the number of workers on which the job failed and that were not quarantined since.
    pub(crate) fn healthy_failure_count(&self, job: &JobName) -> usize {
        let Some(entry) = self.jobs.get(job) else { return 0 };
        let healthy = |(name, quarantine_count): &&(WorkerName, u32)| {
            self.workers.get(name).is_none_or(|worker| worker.quarantine_count == *quarantine_count)
        };
        entry.failed_on.iter().filter(healthy).count()
    }
}
