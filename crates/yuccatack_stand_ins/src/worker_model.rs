//! The decisions of a worker, without I/O and clock.

use std::collections::{BTreeMap, BTreeSet};

use yuccatack_core::prelude::*;
use yuccatack_leases::{
    CommandKind, HeartbeatReply, HeartbeatReport, ReportedState, ReportedTask, TaskReference,
    WorkerCommand, WorkerRegistration,
};

/// How a worker treats its tasks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WorkerBehaviour {
    /// Runs every task to its end.
    #[default]
    Normal,
    /// Every task fails shortly after its start.
    FailAll,
    /// Heartbeats, but follows no command.
    Ignore,
    /// Does nothing at all until it is told otherwise, like a stopped process.
    Frozen,
}

/// What happened to one task.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskRecord {
    /// The task.
    pub task: TaskReference,
    /// When it started.
    pub started_at: TimestampMs,
    /// When and how it ended.
    pub ended: Option<(TimestampMs, ReportedState)>,
    /// The attempt whose checkpoint it continued.
    pub resume_epoch: Option<FencingEpoch>,
}

#[derive(Clone, Debug)]
struct ModelTask {
    state: ReportedState,
    accelerators: Vec<u32>,
    resume_epoch: Option<FencingEpoch>,
    due_at: Option<TimestampMs>,
    checkpointing: bool,
    record: Option<usize>,
}

impl ModelTask {
    fn is_active(&self) -> bool {
        matches!(self.state, ReportedState::Prepared | ReportedState::Running)
    }
}

/// A command to use an accelerator that another task of the worker holds.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceleratorConflict {
    /// The task that was to be prepared.
    pub task: TaskReference,
    /// The task that holds the accelerator.
    pub holder: TaskReference,
}

/// Failing tasks run this long, so that the start is seen before the failure.
const FAILURE_TIME: DurationMs = DurationMs::new(50);

/// A worker that runs tasks which only take time.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    registration: WorkerRegistration,
    sequence: u64,
    lease_end: Option<TimestampMs>,
    tasks: BTreeMap<TaskReference, ModelTask>,
    ended: BTreeSet<TaskReference>,
    newest: BTreeMap<JobName, FencingEpoch>,
    run_times: BTreeMap<JobName, DurationMs>,
    default_run_time: DurationMs,
    checkpoint_time: DurationMs,
    behaviour: WorkerBehaviour,
    records: Vec<TaskRecord>,
    violations: Vec<AcceleratorConflict>,
}

impl WorkerModel {
    /// A worker whose tasks take `default_run_time`.
    pub fn new(registration: WorkerRegistration, default_run_time: DurationMs) -> Self {
        Self {
            registration,
            sequence: 0,
            lease_end: None,
            tasks: BTreeMap::new(),
            ended: BTreeSet::new(),
            newest: BTreeMap::new(),
            run_times: BTreeMap::new(),
            default_run_time,
            checkpoint_time: DurationMs::new(200),
            behaviour: WorkerBehaviour::Normal,
            records: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Sets how long the tasks of a job run.
    pub fn set_run_time(&mut self, job: &JobName, run_time: DurationMs) {
        self.run_times.insert(job.clone(), run_time);
    }

    /// Sets how long a checkpoint takes.
    pub fn set_checkpoint_time(&mut self, checkpoint_time: DurationMs) {
        self.checkpoint_time = checkpoint_time;
    }

    /// Changes how the worker treats its tasks.
    pub fn set_behaviour(&mut self, behaviour: WorkerBehaviour) {
        self.behaviour = behaviour;
    }

    /// How the worker treats its tasks.
    pub fn behaviour(&self) -> WorkerBehaviour {
        self.behaviour
    }

    /// Ends the process and starts it again: every task is gone.
    pub fn restart(&mut self, incarnation: Incarnation, now: TimestampMs) {
        let active: Vec<TaskReference> = self.active().cloned().collect();
        for task in active {
            self.end(&task, ReportedState::Stopped, now);
        }
        self.registration.incarnation = incarnation;
        self.sequence = 0;
        self.lease_end = None;
        self.tasks.clear();
        self.ended.clear();
        self.newest.clear();
    }

    /// Every task that was started, in order.
    pub fn records(&self) -> &[TaskRecord] {
        &self.records
    }

    /// Commands that no correct scheduler sends to a truthful worker.
    pub fn violations(&self) -> &[AcceleratorConflict] {
        &self.violations
    }

    /// The worker and what it offers.
    pub fn registration(&self) -> &WorkerRegistration {
        &self.registration
    }

    /// Tasks that hold capacity.
    pub fn active(&self) -> impl Iterator<Item = &TaskReference> {
        self.tasks.iter().filter(|(_, task)| task.is_active()).map(|(reference, _)| reference)
    }

    /// The sequence of the last heartbeat; replies to earlier ones are of no use.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// The next heartbeat.
    pub fn heartbeat(&mut self) -> HeartbeatReport {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|(reference, task)| ReportedTask {
            task: reference.clone(),
            state: task.state,
            usage: Resources::default(),
        });
        HeartbeatReport {
            registration: self.registration.clone(),
            sequence: self.sequence,
            tasks: tasks.collect(),
        }
    }

    /// Follows the reply to the heartbeat that was sent at `sent_at`. Returns whether a task
    /// changed, so that a heartbeat is due at once.
    ///
    /// The lease counts from the sending, because the leader counts from a later moment.
    pub fn handle_reply(
        &mut self,
        reply: &HeartbeatReply,
        sent_at: TimestampMs,
        now: TimestampMs,
    ) -> bool {
        if reply.sequence != self.sequence {
            return false;
        }
        if let Some(lease) = reply.lease {
            let lease_end = sent_at + lease;
            self.lease_end = self.lease_end.max(Some(lease_end));
        }
        for task in &reply.acknowledged {
            if self.tasks.get(task).is_some_and(|task| !task.is_active()) {
                self.tasks.remove(task);
            }
        }
        let holds_lease = self.lease_end.is_some_and(|end| end > now);
        if !holds_lease || self.behaviour == WorkerBehaviour::Ignore {
            return false;
        }
        let mut changed = false;
        for command in &reply.commands {
            changed |= self.obey(command, now);
        }
        changed
    }

    fn obey(&mut self, command: &WorkerCommand, now: TimestampMs) -> bool {
        let reference = &command.task;
        let newest = self.newest.entry(reference.job.clone()).or_default();
        if reference.epoch < *newest {
            // An old attempt may still be told to stop; nothing else of it is followed.
            return command.kind == CommandKind::Stop && self.stop(reference, now);
        }
        *newest = reference.epoch;
        match &command.kind {
            CommandKind::Prepare { accelerators, resume_epoch, .. } => {
                self.prepare(reference, accelerators, *resume_epoch)
            }
            CommandKind::Start => self.start(reference, now),
            CommandKind::Checkpoint => self.checkpoint(reference, now),
            CommandKind::Throttle { .. } => false,
            CommandKind::Stop => self.stop(reference, now),
        }
    }

    fn prepare(
        &mut self,
        reference: &TaskReference,
        accelerators: &[u32],
        resume_epoch: Option<FencingEpoch>,
    ) -> bool {
        if self.tasks.contains_key(reference) || self.ended.contains(reference) {
            return false;
        }
        for (other, task) in self.tasks.iter().filter(|(_, task)| task.is_active()) {
            if task.accelerators.iter().any(|number| accelerators.contains(number)) {
                let (task, holder) = (reference.clone(), other.clone());
                self.violations.push(AcceleratorConflict { task, holder });
            }
        }
        let task = ModelTask {
            state: ReportedState::Prepared,
            accelerators: accelerators.to_vec(),
            resume_epoch,
            due_at: None,
            checkpointing: false,
            record: None,
        };
        self.tasks.insert(reference.clone(), task);
        true
    }

    fn start(&mut self, reference: &TaskReference, now: TimestampMs) -> bool {
        let run_time = self.run_times.get(&reference.job).copied().unwrap_or(self.default_run_time);
        let fails = self.behaviour == WorkerBehaviour::FailAll;
        let Some(task) = self.tasks.get_mut(reference) else { return false };
        if task.state != ReportedState::Prepared {
            return false;
        }
        let run_time = if fails { FAILURE_TIME } else { run_time };
        task.state = ReportedState::Running;
        task.due_at = Some(now + run_time);
        task.record = Some(self.records.len());
        self.records.push(TaskRecord {
            task: reference.clone(),
            started_at: now,
            ended: None,
            resume_epoch: task.resume_epoch,
        });
        true
    }

    /// Begins a checkpoint. The task keeps running until it is saved.
    fn checkpoint(&mut self, reference: &TaskReference, now: TimestampMs) -> bool {
        let saved_at = now + self.checkpoint_time;
        let Some(task) = self.tasks.get_mut(reference) else { return false };
        match task.state {
            ReportedState::Prepared => {
                self.end(reference, ReportedState::Checkpointed, now);
                true
            }
            ReportedState::Running if !task.checkpointing => {
                if task.due_at.is_none_or(|due| due > saved_at) {
                    task.checkpointing = true;
                    task.due_at = Some(saved_at);
                }
                false
            }
            _ => false,
        }
    }

    fn stop(&mut self, reference: &TaskReference, now: TimestampMs) -> bool {
        if !self.tasks.contains_key(reference) {
            // The stop is confirmed and remembered also for a task that never arrived, so that a
            // late `prepare` does not bring it to life.
            let task = ModelTask {
                state: ReportedState::Stopped,
                accelerators: Vec::new(),
                resume_epoch: None,
                due_at: None,
                checkpointing: false,
                record: None,
            };
            self.ended.insert(reference.clone());
            self.tasks.insert(reference.clone(), task);
            return true;
        }
        let active = self.tasks.get(reference).is_some_and(ModelTask::is_active);
        if active {
            self.end(reference, ReportedState::Stopped, now);
        }
        active
    }

    fn end(&mut self, reference: &TaskReference, state: ReportedState, now: TimestampMs) {
        let Some(task) = self.tasks.get_mut(reference) else { return };
        task.state = state;
        self.ended.insert(reference.clone());
        let record = task.record.and_then(|position| self.records.get_mut(position));
        if let Some(record) = record {
            record.ended = Some((now, state));
        }
    }

    /// Lets time pass: ends tasks that are done, and all of them when the lease has ended.
    /// Returns whether a task changed.
    pub fn tick(&mut self, now: TimestampMs) -> bool {
        if self.behaviour == WorkerBehaviour::Frozen {
            return false;
        }
        let leased = self.lease_end.is_some_and(|end| end > now);
        let mut endings = Vec::new();
        for (reference, task) in &self.tasks {
            let due = task.due_at.is_some_and(|due| due <= now);
            if !task.is_active() || (leased && !due) {
                continue;
            }
            let state = match self.behaviour {
                _ if !leased => ReportedState::Stopped,
                _ if task.checkpointing => ReportedState::Checkpointed,
                WorkerBehaviour::FailAll => ReportedState::Failed,
                _ => ReportedState::Succeeded,
            };
            endings.push((reference.clone(), state));
        }
        for (reference, state) in &endings {
            self.end(reference, *state, now);
        }
        !endings.is_empty()
    }

    /// When [`WorkerModel::tick`] has something to do.
    pub fn next_event(&self) -> Option<TimestampMs> {
        let active = || self.tasks.values().filter(|task| task.is_active());
        let due = active().filter_map(|task| task.due_at).min();
        let lease = self.lease_end.filter(|_| active().next().is_some());
        due.into_iter().chain(lease).min()
    }
}
