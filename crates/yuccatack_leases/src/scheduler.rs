//! The leader's memory of workers: leases and heartbeats.

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
struct WorkerMemory {
    incarnation: Incarnation,
    registration_number: u64,
    sequence: u64,
    lease_end: TimestampMs,
    /// Set once the loss was proposed: no lease is granted until the loss is in force, because
    /// the log may already hold it.
    condemned: bool,
    reported: FastHashMap<TaskReference, ReportedState>,
}

/// What the leader knows and does not replicate. A new leader starts with [`Scheduler::new`].
#[derive(Clone, Debug)]
pub struct Scheduler {
    started_at: TimestampMs,
    workers: FastHashMap<WorkerName, WorkerMemory>,
    lease_ends: BTreeSet<(TimestampMs, WorkerName)>,
    grace_over: bool,
    pub(crate) starved: Option<StarvedJob>,
    pub(crate) strategy: Strategy,
    /// The last search for moves.
    pub(crate) defragmented_at: TimestampMs,
    /// Where the next search for a worker to empty starts.
    pub(crate) consolidation_cursor: usize,
    /// Accelerators placed lately by shape; recent decisions count most.
    pub(crate) demand: Vec<(Shape, f64)>,
}

impl Scheduler {
    /// The memory of a leader that starts at `now`. Until one lease and margin later it treats no
    /// silent worker as lost, because its predecessor may have granted a lease just before.
    ///
    /// Call it only after every entry of earlier terms is applied.
    pub fn new(now: TimestampMs) -> Self {
        Self {
            started_at: now,
            workers: FastHashMap::default(),
            lease_ends: BTreeSet::new(),
            grace_over: false,
            starved: None,
            strategy: Strategy::Policy,
            defragmented_at: now,
            consolidation_cursor: 0,
            demand: Vec::new(),
        }
    }

    /// Whether `worker` holds a lease.
    pub fn has_lease(&self, worker: &WorkerName, now: TimestampMs) -> bool {
        self.workers.get(worker).is_some_and(|memory| !memory.condemned && memory.lease_end > now)
    }

    /// Handles a heartbeat. Send the reply only while the leadership is confirmed, at most
    /// [`CLOCK_MARGIN`] after `now`; propose the commands.
    pub fn heartbeat(
        &mut self,
        table: &LeaseTable,
        report: HeartbeatReport,
        now: TimestampMs,
    ) -> (HeartbeatReply, Vec<LeaseCommand>) {
        let sequence = report.sequence;
        let silent = HeartbeatReply {
            sequence,
            lease: None,
            commands: Vec::new(),
            acknowledged: Vec::new(),
        };
        let registration = &report.registration;
        let name = registration.worker.clone();
        if let Some(memory) = self.workers.get(&name)
            && memory.incarnation == registration.incarnation
            && memory.sequence >= sequence
        {
            return (silent, Vec::new());
        }
        let entry = match table.workers.get(&name) {
            Some(entry) if !matches!(entry.health, WorkerHealth::Lost { .. }) => entry,
            _ => {
                let worker = registration.clone();
                return (silent, vec![LeaseCommand::RegisterWorker { worker, at: now }]);
            }
        };
        // A changed worker waits until the lease of its former registration has ended.
        if entry.incarnation != registration.incarnation
            || entry.resources != registration.resources
        {
            return (silent, Vec::new());
        }
        let registration_number = entry.registration_number;
        let condemned = self.workers.get(&name).is_some_and(|memory| {
            memory.condemned && memory.registration_number == registration_number
        });
        if condemned {
            let worker = name.clone();
            let loss = LeaseCommand::LoseWorker { worker, registration_number, at: now };
            return (silent, vec![loss]);
        }
        let reported = report.tasks.iter().map(|task| (task.task.clone(), task.state)).collect();
        let lease_end = now + LEASE_DURATION;
        let memory = WorkerMemory {
            incarnation: registration.incarnation,
            registration_number,
            sequence,
            lease_end,
            condemned: false,
            reported,
        };
        if let Some(former) = self.workers.insert(name.clone(), memory) {
            self.lease_ends.remove(&(former.lease_end, name.clone()));
        }
        self.lease_ends.insert((lease_end, name.clone()));
        let proposals = self.follow_report(table, &report, now);
        let mut reply = HeartbeatReply { lease: Some(LEASE_DURATION), ..silent };
        reply.commands = self.commands_for(table, &name);
        reply.acknowledged = acknowledged(table, &report);
        (reply, proposals)
    }

    /// What `worker` has to do now. Empty while it holds no lease.
    pub fn commands_for(&self, table: &LeaseTable, worker: &WorkerName) -> Vec<WorkerCommand> {
        let Some(memory) = self.workers.get(worker) else { return Vec::new() };
        let Some(entry) = table.workers.get(worker) else { return Vec::new() };
        if memory.condemned || memory.registration_number != entry.registration_number {
            return Vec::new();
        }
        let stale = memory.reported.iter().filter(|(task, state)| {
            matches!(state, ReportedState::Prepared | ReportedState::Running)
                && !is_held(table, entry, task)
        });
        // These come first, because a task below may get the accelerators they hold.
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
            let reported = memory.reported.get(&task).copied();
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

    /// The commands that the states in a heartbeat lead to.
    fn follow_report(
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
            if !is_held(table, entry, task) {
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
        proposals.extend(self.missing_tasks(table, entry, name, at));
        proposals
    }

    /// Stops attempts of which the worker has forgotten a task. The capacity is released when the
    /// worker confirms the stop, so an outdated report releases nothing.
    fn missing_tasks(
        &self,
        table: &LeaseTable,
        entry: &WorkerEntry,
        name: &WorkerName,
        at: TimestampMs,
    ) -> Vec<LeaseCommand> {
        let Some(memory) = self.workers.get(name) else { return Vec::new() };
        let mut proposals = Vec::new();
        for (TaskKey { job, index }, job_entry) in table.tasks_on(entry) {
            let Some(attempt) = job_entry.attempt() else { continue };
            let epoch = attempt.epoch;
            let reference = TaskReference { job: job.clone(), epoch, index: *index };
            let held = attempt.tasks[*index as usize].state == TaskState::Prepared;
            let ending = matches!(attempt.phase, AttemptPhase::Stopping(_));
            if held && !ending && !memory.reported.contains_key(&reference) {
                let reason = StopReason::TaskMissing(name.clone());
                proposals.push(LeaseCommand::StopAttempt { job: job.clone(), epoch, reason, at });
            }
        }
        proposals
    }

    /// Proposes the loss of workers whose lease and margin have ended.
    pub(crate) fn lose_silent(
        &mut self,
        table: &LeaseTable,
        now: TimestampMs,
    ) -> Vec<LeaseCommand> {
        let mut lost = Vec::new();
        let grace_end = self.started_at + LEASE_DURATION + CLOCK_MARGIN;
        if now < grace_end {
            return lost;
        }
        if !self.grace_over {
            self.grace_over = true;
            for (name, entry) in &table.workers {
                let silent = !self.workers.contains_key(name);
                if silent && !matches!(entry.health, WorkerHealth::Lost { .. }) {
                    let memory = WorkerMemory {
                        incarnation: entry.incarnation,
                        registration_number: entry.registration_number,
                        sequence: 0,
                        lease_end: self.started_at + LEASE_DURATION,
                        condemned: false,
                        reported: FastHashMap::default(),
                    };
                    self.lease_ends.insert((memory.lease_end, name.clone()));
                    self.workers.insert(name.clone(), memory);
                }
            }
        }
        while let Some((lease_end, name)) = self.lease_ends.first().cloned() {
            if lease_end + CLOCK_MARGIN > now {
                break;
            }
            self.lease_ends.pop_first();
            if let Some(memory) = self.workers.get_mut(&name) {
                memory.condemned = true;
                let registration_number = memory.registration_number;
                let worker = name;
                lost.push(LeaseCommand::LoseWorker { worker, registration_number, at: now });
            }
        }
        lost
    }

    /// When [`Scheduler::schedule`] must run next even if nothing happens before.
    pub fn next_deadline(&self, table: &LeaseTable, now: TimestampMs) -> TimestampMs {
        let grace_end = self.started_at + LEASE_DURATION + CLOCK_MARGIN;
        let mut next = now + LEASE_DURATION;
        if !self.grace_over {
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

/// Whether the table has this task on this worker under this epoch.
fn is_held(table: &LeaseTable, worker: &WorkerEntry, task: &TaskReference) -> bool {
    let Some(attempt) = table.jobs.get(&task.job).and_then(|job| job.attempt()) else {
        return false;
    };
    let Some(slot) = attempt.tasks.get(task.index as usize) else { return false };
    attempt.epoch == task.epoch && slot.worker == worker.index && !slot.state.is_ended()
}

fn acknowledged(table: &LeaseTable, report: &HeartbeatReport) -> Vec<TaskReference> {
    let Some(entry) = table.workers.get(&report.registration.worker) else { return Vec::new() };
    let ended = |task: &&ReportedTask| {
        !matches!(task.state, ReportedState::Prepared | ReportedState::Running)
            && !is_held(table, entry, &task.task)
    };
    report.tasks.iter().filter(ended).map(|task| task.task.clone()).collect()
}
