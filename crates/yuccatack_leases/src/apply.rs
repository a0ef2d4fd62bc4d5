//! Application of logged commands to the lease table.

use yuccatack_core::prelude::*;

use crate::job::{AttemptPhase, JobEntry, JobPhase, TaskState};
use crate::message::{LeaseCommand, LeaseEvent, StopReason, TaskOutcome};
use crate::spec::JobSpec;
use crate::table::LeaseTable;

/// Time for which finished jobs are retained, so that callers can query the result.
const JOB_RETENTION: DurationMs = DurationMs::from_seconds(24 * 3600);
/// Maximum number of finished jobs retained, to bound memory during bursts. At the design load of
/// 8,600 jobs a day it covers more than five days.
const MAX_FINISHED_JOBS: usize = 50_000;

impl LeaseTable {
    /// Applies one command and returns its events. Outdated commands have no effect.
    pub fn apply(&mut self, command: LeaseCommand) -> Vec<LeaseEvent> {
        let events = self.dispatch(command);
        self.applied_count += 1;
        self.assert_invariants();
        events
    }

    fn dispatch(&mut self, command: LeaseCommand) -> Vec<LeaseEvent> {
        match command {
            LeaseCommand::SetGuarantee(guarantee) => self.set_guarantee(guarantee),
            LeaseCommand::RemoveGuarantee(name) => self.remove_guarantee(&name),
            LeaseCommand::SetQuota(quota) => {
                let organisation = quota.organisation.clone();
                self.organisations.entry(organisation).or_default().quota = Some(quota);
                Vec::new()
            }
            LeaseCommand::RemoveQuota(organisation) => {
                if let Some(entry) = self.organisations.get_mut(&organisation) {
                    entry.quota = None;
                }
                Vec::new()
            }
            LeaseCommand::SetPolicy(policy) => {
                self.policy = policy;
                Vec::new()
            }
            LeaseCommand::SubmitJob { job, at } => self.submit_job(job, at),
            LeaseCommand::CancelJobs { jobs, at } => {
                jobs.iter().flat_map(|job| self.cancel_job(job, at)).collect()
            }
            LeaseCommand::RegisterWorker { worker, at } => self.register_worker(worker, at),
            LeaseCommand::LoseWorker { worker, registration_number, at } => {
                self.lose_worker(&worker, registration_number, at)
            }
            LeaseCommand::ReleaseOnProbation { worker, at } => {
                self.release_on_probation(&worker, at)
            }
            LeaseCommand::BeginAttempt(begin) => self.begin_attempt(&begin),
            LeaseCommand::ConfirmPrepared { job, epoch, indexes, at } => {
                self.confirm_prepared(&job, epoch, &indexes, at)
            }
            LeaseCommand::StartAttempt { job, epoch, at } => self.start_attempt(&job, epoch, at),
            LeaseCommand::MoveAttempt { job, epoch, at } => {
                if !self.is_current(&job, epoch) {
                    return Vec::new();
                }
                self.evict_attempt(&job, StopReason::Moved, at)
            }
            LeaseCommand::StopAttempt { job, epoch, reason, at } => {
                self.stop_current(&job, epoch, reason, at)
            }
            LeaseCommand::EndTask { job, epoch, index, outcome, at } => {
                if !self.is_current(&job, epoch) {
                    return Vec::new();
                }
                self.end_task(&job, index, outcome, at)
            }
        }
    }

    fn is_current(&self, job: &JobName, epoch: FencingEpoch) -> bool {
        let attempt = self.jobs.get(job).and_then(JobEntry::attempt);
        attempt.is_some_and(|attempt| attempt.epoch == epoch)
    }

    fn submit_job(&mut self, job: JobSpec, at: TimestampMs) -> Vec<LeaseEvent> {
        self.remove_expired_jobs(at);
        let name = job.name.clone();
        if let Err(refusal) = self.check_job(&job) {
            return vec![LeaseEvent::JobRefused(name, refusal)];
        }
        if self.jobs.contains_key(&name) {
            return vec![LeaseEvent::JobAccepted(name)];
        }
        self.organisations.entry(job.organisation.clone()).or_default();
        self.jobs.insert(name.clone(), JobEntry::new(job, at));
        self.enqueue(&name);
        vec![LeaseEvent::JobAccepted(name)]
    }

    fn remove_expired_jobs(&mut self, now: TimestampMs) {
        while let Some((finished_at, _)) = self.finished.first() {
            let expired = now.since(*finished_at) > JOB_RETENTION;
            if !expired && self.finished.len() <= MAX_FINISHED_JOBS {
                break;
            }
            if let Some((_, job)) = self.finished.pop_first() {
                self.jobs.remove(&job);
            }
        }
    }

    fn cancel_job(&mut self, job: &JobName, at: TimestampMs) -> Vec<LeaseEvent> {
        let Some(entry) = self.jobs.get(job) else { return Vec::new() };
        match &entry.phase {
            JobPhase::Waiting => {
                self.dequeue(job);
                if let Some(entry) = self.jobs.get_mut(job) {
                    entry.phase = JobPhase::Cancelled;
                    entry.finished_at = Some(at);
                }
                self.finished.insert((at, job.clone()));
                vec![LeaseEvent::JobFinished(job.clone())]
            }
            JobPhase::Active(_) => {
                let mut events = self.stop_attempt(job, StopReason::Cancelled, at);
                // An attempt that is already stopping for another reason would put the job back
                // into the queue, so the cancellation replaces that reason.
                if let Some(entry) = self.jobs.get_mut(job)
                    && let JobPhase::Active(attempt) = &mut entry.phase
                {
                    attempt.phase = AttemptPhase::Stopping(StopReason::Cancelled);
                }
                events.extend(self.finish_attempt(job, at));
                events
            }
            _ => Vec::new(),
        }
    }

    fn confirm_prepared(
        &mut self,
        job: &JobName,
        epoch: FencingEpoch,
        indexes: &[u32],
        _at: TimestampMs,
    ) -> Vec<LeaseEvent> {
        if !self.is_current(job, epoch) {
            return Vec::new();
        }
        let Some(entry) = self.jobs.get_mut(job) else { return Vec::new() };
        let JobPhase::Active(attempt) = &mut entry.phase else { return Vec::new() };
        for index in indexes {
            if let Some(slot) = attempt.tasks.get_mut(*index as usize)
                && slot.state == TaskState::Assigned
            {
                slot.state = TaskState::Prepared;
            }
        }
        let complete = attempt.tasks.iter().all(|slot| slot.state == TaskState::Prepared);
        if complete && attempt.phase == AttemptPhase::Preparing {
            self.ready.insert(job.clone());
        }
        Vec::new()
    }

    fn start_attempt(
        &mut self,
        job: &JobName,
        epoch: FencingEpoch,
        at: TimestampMs,
    ) -> Vec<LeaseEvent> {
        if !self.is_current(job, epoch) || !self.ready.remove(job) {
            return Vec::new();
        }
        let Some(entry) = self.jobs.get_mut(job) else { return Vec::new() };
        assert!(
            entry.spec.idempotent || !entry.unsaved,
            "job {job} is not idempotent and would run twice; report this as a bug"
        );
        let JobPhase::Active(attempt) = &mut entry.phase else { return Vec::new() };
        attempt.phase = AttemptPhase::Running;
        attempt.started_at = Some(at);
        entry.started_count += 1;
        entry.unsaved = true;
        self.set_deadline(job, None);
        vec![LeaseEvent::AttemptStarted(job.clone(), epoch)]
    }

    fn stop_current(
        &mut self,
        job: &JobName,
        epoch: FencingEpoch,
        reason: StopReason,
        at: TimestampMs,
    ) -> Vec<LeaseEvent> {
        if !self.is_current(job, epoch) {
            return Vec::new();
        }
        let Some(entry) = self.jobs.get_mut(job) else { return Vec::new() };
        let Some(attempt) = entry.attempt() else { return Vec::new() };
        // A timeout is decided for a phase that may have passed since.
        let phase_passed = match &reason {
            StopReason::PrepareOverdue => attempt.phase != AttemptPhase::Preparing,
            StopReason::CheckpointOverdue => {
                !matches!(attempt.phase, AttemptPhase::Checkpointing(_))
            }
            _ => false,
        };
        if phase_passed {
            return Vec::new();
        }
        if let StopReason::RanUnasked(_) = reason {
            if attempt.started_at.is_some() {
                return Vec::new();
            }
            entry.ran_before_start = true;
            entry.unsaved = true;
        }
        self.stop_attempt(job, reason, at)
    }

    pub(crate) fn end_task(
        &mut self,
        job: &JobName,
        index: u32,
        outcome: TaskOutcome,
        at: TimestampMs,
    ) -> Vec<LeaseEvent> {
        let Some(entry) = self.jobs.get_mut(job) else { return Vec::new() };
        let JobPhase::Active(attempt) = &mut entry.phase else { return Vec::new() };
        let Some(slot) = attempt.tasks.get(index as usize) else { return Vec::new() };
        // A booked task was never sent to its worker, so only the loss of the worker can end it.
        let not_dispatched = slot.state == TaskState::Booked && outcome != TaskOutcome::Lost;
        if slot.state.is_ended() || not_dispatched {
            return Vec::new();
        }
        let worker = slot.worker;
        let started = attempt.started_at.is_some();
        let stopping = matches!(attempt.phase, AttemptPhase::Stopping(_));
        let checkpointing = matches!(attempt.phase, AttemptPhase::Checkpointing(_));
        // A success before the start is a false report: the gang cannot have completed its work.
        let outcome = match outcome {
            TaskOutcome::Succeeded if !started => {
                entry.ran_before_start = true;
                entry.unsaved = true;
                TaskOutcome::Failed
            }
            TaskOutcome::Checkpointed if !checkpointing && !stopping => TaskOutcome::Stopped,
            other => other,
        };
        self.release_task(job, index, outcome, at);
        let Some(name) = self.worker_name(worker) else { return Vec::new() };
        let mut events = Vec::new();
        match outcome {
            TaskOutcome::Succeeded => events.extend(self.record_worker_success(&name)),
            TaskOutcome::Failed if !stopping => {
                events.extend(self.record_worker_failure(&name, job, at));
                events.extend(self.stop_attempt(job, StopReason::TaskFailed(name), at));
            }
            TaskOutcome::Stopped | TaskOutcome::Lost if !stopping => {
                events.extend(self.stop_attempt(job, StopReason::TaskLost(name), at));
            }
            TaskOutcome::Failed
            | TaskOutcome::Stopped
            | TaskOutcome::Lost
            | TaskOutcome::Checkpointed => {}
        }
        events.extend(self.finish_attempt(job, at));
        events
    }
}
