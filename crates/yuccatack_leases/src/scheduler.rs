//! Leases and heartbeats of workers, as tracked by the leader.

use std::collections::BTreeSet;

use yuccatack_core::prelude::*;

use crate::heartbeat::{
    CommandKind, HeartbeatReply, HeartbeatReport, ReportedState, ReportedTask, TaskReference,
    WorkerCommand,
};
use crate::job::{AttemptPhase, TaskState};
use crate::message::{LeaseCommand, StopReason, TaskOutcome};
use crate::reservation::StarvedJob;
use crate::scheduling_pass::Strategy;
use crate::table::LeaseTable;
use crate::worker::{TaskKey, WorkerEntry, WorkerHealth};
use crate::{CLOCK_MARGIN, LEASE_DURATION};

#[derive(Clone, Debug)]
struct WorkerSession {
    incarnation: Incarnation,
    registration_number: u64,
    sequence: u64,
    lease_end: TimestampMs,
    /// `true` once the loss was proposed. No lease is granted until the loss is applied, because
    /// the log may already contain it.
    loss_proposed: bool,
    reported: FastHashMap<TaskReference, ReportedState>,
}

/// Scheduling state of the leader that is not replicated. A new leader starts with
/// [`Scheduler::new`].
#[derive(Clone, Debug)]
pub struct Scheduler {
    started_at: TimestampMs,
    workers: FastHashMap<WorkerName, WorkerSession>,
    lease_ends: BTreeSet<(TimestampMs, WorkerName)>,
    grace_period_over: bool,
    pub(crate) starved: Option<StarvedJob>,
    pub(crate) strategy: Strategy,
    /// Time of the last search for moves.
    pub(crate) defragmented_at: TimestampMs,
    /// Position among the active jobs at which the next consolidation starts.
    pub(crate) consolidation_cursor: usize,
    /// Weight of recent demand by shape; recent placements count most.
    pub(crate) demand: Vec<(Shape, f64)>,
}

impl Scheduler {
    /// Creates the state of a leader whose leadership starts at `now`. For one lease and clock
    /// margin it treats no worker as lost, because its predecessor may have granted a lease just
    /// before.
    ///
    /// Call it only after every log entry of earlier terms is applied.
    pub fn new(now: TimestampMs) -> Self {
        Self {
            started_at: now,
            workers: FastHashMap::default(),
            lease_ends: BTreeSet::new(),
            grace_period_over: false,
            starved: None,
            strategy: Strategy::Policy,
            defragmented_at: now,
            consolidation_cursor: 0,
            demand: Vec::new(),
        }
    }

    /// Returns `true` if `worker` holds a lease at `now`.
    pub fn has_lease(&self, worker: &WorkerName, now: TimestampMs) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|session| !session.loss_proposed && session.lease_end > now)
    }

    /// Handles a heartbeat and returns the reply and the commands to propose. Send the reply only
    /// while the leadership is confirmed and at most [`CLOCK_MARGIN`] after `now`.
    pub fn heartbeat(
        &mut self,
        table: &LeaseTable,
        report: HeartbeatReport,
        now: TimestampMs,
    ) -> (HeartbeatReply, Vec<LeaseCommand>) {
        let sequence = report.sequence;
        let no_lease = HeartbeatReply {
            sequence,
            lease: None,
            commands: Vec::new(),
            acknowledged: Vec::new(),
        };
        let registration = &report.registration;
        let name = registration.worker.clone();
        if let Some(session) = self.workers.get(&name)
            && session.incarnation == registration.incarnation
            && session.sequence >= sequence
        {
            return (no_lease, Vec::new());
        }
        let entry = match table.workers.get(&name) {
            Some(entry) if !matches!(entry.health, WorkerHealth::Lost { .. }) => entry,
            _ => {
                let worker = registration.clone();
                return (no_lease, vec![LeaseCommand::RegisterWorker { worker, at: now }]);
            }
        };
        // A changed worker gets no lease until the lease of its former registration has ended.
        if entry.incarnation != registration.incarnation
            || entry.resources != registration.resources
        {
            return (no_lease, Vec::new());
        }
        let registration_number = entry.registration_number;
        let loss_proposed = self.workers.get(&name).is_some_and(|session| {
            session.loss_proposed && session.registration_number == registration_number
        });
        if loss_proposed {
            let worker = name.clone();
            let loss = LeaseCommand::LoseWorker { worker, registration_number, at: now };
            return (no_lease, vec![loss]);
        }
        let reported = report.tasks.iter().map(|task| (task.task.clone(), task.state)).collect();
        let lease_end = now + LEASE_DURATION;
        let session = WorkerSession {
            incarnation: registration.incarnation,
            registration_number,
            sequence,
            lease_end,
            loss_proposed: false,
            reported,
        };
        if let Some(former) = self.workers.insert(name.clone(), session) {
            self.lease_ends.remove(&(former.lease_end, name.clone()));
        }
        self.lease_ends.insert((lease_end, name.clone()));
        let proposals = self.proposals_for_report(table, &report, now);
        let mut reply = HeartbeatReply { lease: Some(LEASE_DURATION), ..no_lease };
        reply.commands = self.commands_for(table, &name);
        reply.acknowledged = acknowledged_tasks(table, &report);
        (reply, proposals)
    }

    /// Returns the commands that `worker` has to carry out. Empty if this leader has granted no
    /// lease to its current registration, or has proposed its loss.
    pub fn commands_for(&self, table: &LeaseTable, worker: &WorkerName) -> Vec<WorkerCommand> {
        let Some(session) = self.workers.get(worker) else { return Vec::new() };
        let Some(entry) = table.workers.get(worker) else { return Vec::new() };
        if session.loss_proposed || session.registration_number != entry.registration_number {
            return Vec::new();
        }
        let stale = session.reported.iter().filter(|(task, state)| {
            matches!(state, ReportedState::Prepared | ReportedState::Running)
                && !is_assigned(table, entry, task)
        });
        // Stops come first, because a task below may be assigned the accelerators that they free.
        let stop = |(task, _): (&TaskReference, _)| WorkerCommand {
            task: task.clone(),
            kind: CommandKind::Stop,
        };
        let mut commands: Vec<WorkerCommand> = stale.map(stop).collect();
        commands.sort_by(|left, right| left.task.cmp(&right.task));
        for (key, job) in table.tasks_on(entry) {
            let Some(attempt) = job.attempt() else { continue };
            let task =
                TaskReference { job: key.job.clone(), epoch: attempt.epoch, index: key.index };
            let reported = session.reported.get(&task).copied();
            let slot = &attempt.tasks[key.index as usize];
            let kind = match (&attempt.phase, slot.state, reported) {
                (_, TaskState::Booked | TaskState::Ended(_), _) => None,
                (AttemptPhase::Preparing | AttemptPhase::Reclaiming, _, None) => {
                    Some(CommandKind::Prepare {
                        accelerators: bit_positions(slot.accelerator_mask),
                        resources: job.spec.shape.task,
                        task_count: job.spec.shape.task_count,
                        command: job.spec.command.clone(),
                        resume_epoch: job.checkpoint,
                    })
                }
                (AttemptPhase::Running, _, Some(ReportedState::Prepared)) => {
                    Some(CommandKind::Start)
                }
                (
                    AttemptPhase::Checkpointing(_),
                    _,
                    Some(ReportedState::Prepared | ReportedState::Running),
                ) => Some(CommandKind::Checkpoint),
                (
                    AttemptPhase::Stopping(_),
                    _,
                    None | Some(ReportedState::Prepared | ReportedState::Running),
                ) => Some(CommandKind::Stop),
                _ => None,
            };
            commands.extend(kind.map(|kind| WorkerCommand { task, kind }));
        }
        commands
    }

    /// Returns the commands that follow from the task states in a heartbeat.
    fn proposals_for_report(
        &self,
        table: &LeaseTable,
        report: &HeartbeatReport,
        at: TimestampMs,
    ) -> Vec<LeaseCommand> {
        let name = &report.registration.worker;
        let Some(entry) = table.workers.get(name) else { return Vec::new() };
        let mut proposals = Vec::new();
        let mut prepared: FastHashMap<(JobName, FencingEpoch), Vec<u32>> = FastHashMap::default();
        for reported in &report.tasks {
            let task = &reported.task;
            if !is_assigned(table, entry, task) {
                continue;
            }
            let Some(attempt) = table.jobs.get(&task.job).and_then(|job| job.attempt()) else {
                continue;
            };
            let (job, epoch, index) = (task.job.clone(), task.epoch, task.index);
            let outcome = match reported.state {
                ReportedState::Prepared => {
                    if attempt.tasks[index as usize].state == TaskState::Assigned {
                        prepared.entry((job, epoch)).or_default().push(index);
                    }
                    continue;
                }
                ReportedState::Running => {
                    if attempt.started_at.is_none() {
                        let reason = StopReason::RanUnasked(name.clone());
                        proposals.push(LeaseCommand::StopAttempt { job, epoch, reason, at });
                    }
                    continue;
                }
                ReportedState::Checkpointed => TaskOutcome::Checkpointed,
                ReportedState::Stopped => TaskOutcome::Stopped,
                ReportedState::Succeeded => TaskOutcome::Succeeded,
                ReportedState::Failed => TaskOutcome::Failed,
            };
            proposals.push(LeaseCommand::EndTask { job, epoch, index, outcome, at });
        }
        let mut prepared: Vec<_> = prepared.into_iter().collect();
        prepared.sort();
        for ((job, epoch), indexes) in prepared {
            proposals.push(LeaseCommand::ConfirmPrepared { job, epoch, indexes, at });
        }
        proposals.extend(self.proposals_for_missing_tasks(table, entry, name, at));
        proposals
    }

    /// Proposes to stop attempts of which the worker no longer reports a task. The capacity is
    /// released when the worker confirms the stop, so an outdated report releases nothing.
    fn proposals_for_missing_tasks(
        &self,
        table: &LeaseTable,
        entry: &WorkerEntry,
        name: &WorkerName,
        at: TimestampMs,
    ) -> Vec<LeaseCommand> {
        let Some(session) = self.workers.get(name) else { return Vec::new() };
        let mut proposals = Vec::new();
        for (TaskKey { job, index }, job_entry) in table.tasks_on(entry) {
            let Some(attempt) = job_entry.attempt() else { continue };
            let epoch = attempt.epoch;
            let reference = TaskReference { job: job.clone(), epoch, index: *index };
            let held = attempt.tasks[*index as usize].state == TaskState::Prepared;
            let ending = matches!(attempt.phase, AttemptPhase::Stopping(_));
            if held && !ending && !session.reported.contains_key(&reference) {
                let reason = StopReason::TaskMissing(name.clone());
                proposals.push(LeaseCommand::StopAttempt { job: job.clone(), epoch, reason, at });
            }
        }
        proposals
    }

    /// Proposes the loss of workers whose lease and clock margin have ended.
    pub(crate) fn expire_workers(
        &mut self,
        table: &LeaseTable,
        now: TimestampMs,
    ) -> Vec<LeaseCommand> {
        let mut lost = Vec::new();
        let grace_end = self.started_at + LEASE_DURATION + CLOCK_MARGIN;
        if now < grace_end {
            return lost;
        }
        if !self.grace_period_over {
            self.grace_period_over = true;
            for (name, entry) in &table.workers {
                let unseen = !self.workers.contains_key(name);
                if unseen && !matches!(entry.health, WorkerHealth::Lost { .. }) {
                    let session = WorkerSession {
                        incarnation: entry.incarnation,
                        registration_number: entry.registration_number,
                        sequence: 0,
                        lease_end: self.started_at + LEASE_DURATION,
                        loss_proposed: false,
                        reported: FastHashMap::default(),
                    };
                    self.lease_ends.insert((session.lease_end, name.clone()));
                    self.workers.insert(name.clone(), session);
                }
            }
        }
        while let Some((lease_end, name)) = self.lease_ends.first().cloned() {
            if lease_end + CLOCK_MARGIN > now {
                break;
            }
            self.lease_ends.pop_first();
            if let Some(session) = self.workers.get_mut(&name) {
                session.loss_proposed = true;
                let registration_number = session.registration_number;
                let worker = name;
                lost.push(LeaseCommand::LoseWorker { worker, registration_number, at: now });
            }
        }
        lost
    }

    /// Returns the time at which [`Scheduler::schedule`] must run next, even without a change.
    pub fn next_deadline(&self, table: &LeaseTable, now: TimestampMs) -> TimestampMs {
        let grace_end = self.started_at + LEASE_DURATION + CLOCK_MARGIN;
        let mut next = now + LEASE_DURATION;
        if !self.grace_period_over {
            next = next.min(grace_end);
        }
        if let Some((lease_end, _)) = self.lease_ends.first() {
            next = next.min((*lease_end + CLOCK_MARGIN).max(grace_end));
        }
        if let Some((deadline, _)) = table.deadlines.first() {
            next = next.min(*deadline);
        }
        next.max(now)
    }
}

fn bit_positions(mask: u64) -> Vec<u32> {
    (0..u64::BITS).filter(|position| mask >> position & 1 == 1).collect()
}

/// Returns `true` if the table assigns this task to this worker under this epoch.
fn is_assigned(table: &LeaseTable, worker: &WorkerEntry, task: &TaskReference) -> bool {
    let Some(attempt) = table.jobs.get(&task.job).and_then(|job| job.attempt()) else {
        return false;
    };
    let Some(slot) = attempt.tasks.get(task.index as usize) else { return false };
    attempt.epoch == task.epoch && slot.worker == worker.index && !slot.state.is_ended()
}

fn acknowledged_tasks(table: &LeaseTable, report: &HeartbeatReport) -> Vec<TaskReference> {
    let Some(entry) = table.workers.get(&report.registration.worker) else { return Vec::new() };
    let ended = |task: &&ReportedTask| {
        !matches!(task.state, ReportedState::Prepared | ReportedState::Running)
            && !is_assigned(table, entry, &task.task)
    };
    report.tasks.iter().filter(ended).map(|task| task.task.clone()).collect()
}
