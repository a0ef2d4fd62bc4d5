//! Simulates a worker without I/O and without reading a clock.

use std::collections::{BTreeMap, BTreeSet};

use yuccatack_core::prelude::*;
use yuccatack_leases::{
    CommandKind, HeartbeatReply, HeartbeatReport, ReportedState, ReportedTask, TaskReference,
    WorkerCommand, WorkerRegistration,
};

/// Response of a worker to commands and outcome of its tasks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WorkerBehaviour {
    /// Runs every task until its run time is over.
    #[default]
    Normal,
    /// Fails every task shortly after its start.
    FailAll,
    /// Sends heartbeats, but ignores all commands.
    Ignore,
    /// Stops sending heartbeats and advancing tasks, like a suspended process.
    Frozen,
}

/// Start and end of one task that ran on the worker.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskRecord {
    /// Job, attempt and index of the task.
    pub task: TaskReference,
    /// Time at which the worker carried out the start command.
    pub started_at: TimestampMs,
    /// End time and final state; `None` while the task runs.
    pub ended: Option<(TimestampMs, ReportedState)>,
    /// Attempt whose checkpoint the task resumed from; `None` for a start from the beginning.
    pub resume_epoch: Option<FencingEpoch>,
}

#[derive(Clone, Debug)]
struct ModelTask {
    state: ReportedState,
    accelerators: Vec<u32>,
    resume_epoch: Option<FencingEpoch>,
    due_at: Option<TimestampMs>,
    checkpointing: bool,
    record_index: Option<usize>,
}

impl ModelTask {
    fn is_active(&self) -> bool {
        matches!(self.state, ReportedState::Prepared | ReportedState::Running)
    }
}

/// Command to use an accelerator that another active task of the worker holds.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceleratorConflict {
    /// Task that the command prepares.
    pub task: TaskReference,
    /// Task that holds the accelerator.
    pub holder: TaskReference,
}

/// Run time of a failing task; long enough for a heartbeat to report the start before the failure.
const FAILURE_RUN_TIME: DurationMs = DurationMs::new(50);

/// Simulated worker whose tasks do nothing for a given run time.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    registration: WorkerRegistration,
    sequence: u64,
    lease_end: Option<TimestampMs>,
    tasks: BTreeMap<TaskReference, ModelTask>,
    ended: BTreeSet<TaskReference>,
    newest_epochs: BTreeMap<JobName, FencingEpoch>,
    run_times: BTreeMap<JobName, DurationMs>,
    default_run_time: DurationMs,
    checkpoint_time: DurationMs,
    behaviour: WorkerBehaviour,
    records: Vec<TaskRecord>,
    violations: Vec<AcceleratorConflict>,
}

impl WorkerModel {
    /// Creates a worker whose tasks run for `default_run_time` unless their job's run time is set.
    pub fn new(registration: WorkerRegistration, default_run_time: DurationMs) -> Self {
        Self {
            registration,
            sequence: 0,
            lease_end: None,
            tasks: BTreeMap::new(),
            ended: BTreeSet::new(),
            newest_epochs: BTreeMap::new(),
            run_times: BTreeMap::new(),
            default_run_time,
            checkpoint_time: DurationMs::new(200),
            behaviour: WorkerBehaviour::Normal,
            records: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Sets the run time of tasks of `job` that start from now on.
    pub fn set_run_time(&mut self, job: &JobName, run_time: DurationMs) {
        self.run_times.insert(job.clone(), run_time);
    }

    /// Sets the duration of a checkpoint; it is 200 ms by default.
    pub fn set_checkpoint_time(&mut self, checkpoint_time: DurationMs) {
        self.checkpoint_time = checkpoint_time;
    }

    /// Sets the behaviour towards commands and tasks.
    pub fn set_behaviour(&mut self, behaviour: WorkerBehaviour) {
        self.behaviour = behaviour;
    }

    /// Returns the behaviour towards commands and tasks.
    pub fn behaviour(&self) -> WorkerBehaviour {
        self.behaviour
    }

    /// Simulates a restart of the worker process: stops every task and continues as `incarnation`,
    /// without tasks or a lease.
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
        self.newest_epochs.clear();
    }

    /// Returns a record of every task that was started, in start order.
    pub fn records(&self) -> &[TaskRecord] {
        &self.records
    }

    /// Returns the commands that a correct scheduler never sends to a worker that reports its tasks
    /// truthfully.
    pub fn violations(&self) -> &[AcceleratorConflict] {
        &self.violations
    }

    /// Returns the name, incarnation, location and resources that the worker registers with.
    pub fn registration(&self) -> &WorkerRegistration {
        &self.registration
    }

    /// Returns the prepared and running tasks, which occupy capacity.
    pub fn active(&self) -> impl Iterator<Item = &TaskReference> {
        self.tasks.iter().filter(|(_, task)| task.is_active()).map(|(reference, _)| reference)
    }

    /// Returns the sequence number of the last heartbeat; replies to earlier ones are ignored.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Builds the next heartbeat and increments the sequence number.
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

    /// Handles the reply to the heartbeat that was sent at `sent_at`. Returns `true` if the state
    /// of a task changed, so that a heartbeat is due immediately.
    ///
    /// The lease starts at `sent_at`. The leader counts it from a later time, so the lease never
    /// lasts longer at the worker than at the leader.
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
        let has_lease = self.lease_end.is_some_and(|end| end > now);
        if !has_lease || self.behaviour == WorkerBehaviour::Ignore {
            return false;
        }
        let mut changed = false;
        for command in &reply.commands {
            changed |= self.execute(command, now);
        }
        changed
    }

    fn execute(&mut self, command: &WorkerCommand, now: TimestampMs) -> bool {
        let reference = &command.task;
        let newest_epoch = self.newest_epochs.entry(reference.job.clone()).or_default();
        if reference.epoch < *newest_epoch {
            // Of the commands for an outdated attempt, only a stop is carried out.
            return command.kind == CommandKind::Stop && self.stop(reference, now);
        }
        *newest_epoch = reference.epoch;
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
            record_index: None,
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
        let run_time = if fails { FAILURE_RUN_TIME } else { run_time };
        task.state = ReportedState::Running;
        task.due_at = Some(now + run_time);
        task.record_index = Some(self.records.len());
        self.records.push(TaskRecord {
            task: reference.clone(),
            started_at: now,
            ended: None,
            resume_epoch: task.resume_epoch,
        });
        true
    }

    /// Begins a checkpoint. The task runs until the checkpoint is saved.
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
            // A stop is also confirmed and recorded for an unknown task, so that a delayed
            // `prepare` command cannot start the task after its stop.
            let task = ModelTask {
                state: ReportedState::Stopped,
                accelerators: Vec::new(),
                resume_epoch: None,
                due_at: None,
                checkpointing: false,
                record_index: None,
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
        let record = task.record_index.and_then(|index| self.records.get_mut(index));
        if let Some(record) = record {
            record.ended = Some((now, state));
        }
    }

    /// Advances the worker to `now`: ends tasks that are due, or every task once the lease has
    /// expired. Returns `true` if a task ended.
    pub fn tick(&mut self, now: TimestampMs) -> bool {
        if self.behaviour == WorkerBehaviour::Frozen {
            return false;
        }
        let has_lease = self.lease_end.is_some_and(|end| end > now);
        let mut ended_tasks = Vec::new();
        for (reference, task) in &self.tasks {
            let due = task.due_at.is_some_and(|due| due <= now);
            if !task.is_active() || (has_lease && !due) {
                continue;
            }
            let state = match self.behaviour {
                _ if !has_lease => ReportedState::Stopped,
                _ if task.checkpointing => ReportedState::Checkpointed,
                WorkerBehaviour::FailAll => ReportedState::Failed,
                _ => ReportedState::Succeeded,
            };
            ended_tasks.push((reference.clone(), state));
        }
        for (reference, state) in &ended_tasks {
            self.end(reference, *state, now);
        }
        !ended_tasks.is_empty()
    }

    /// Returns the next time at which [`WorkerModel::tick`] ends a task: the earliest end of a task
    /// or the expiry of the lease. `None` if no task is active.
    pub fn next_event(&self) -> Option<TimestampMs> {
        let active = || self.tasks.values().filter(|task| task.is_active());
        let due = active().filter_map(|task| task.due_at).min();
        let lease = self.lease_end.filter(|_| active().next().is_some());
        due.into_iter().chain(lease).min()
    }
}
