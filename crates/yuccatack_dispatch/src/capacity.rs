//! Free capacity of each worker.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use yuccatack_core::{FastHashMap, NodeName, Resources, ServiceName, TimestampMs};
use yuccatack_queues::EvacuationStore;
use yuccatack_runs::{JobTable, RunId, StepSpec, WorkerIncarnation};

use crate::demand::TaskGroup;
use crate::run_counts::{RunCounts, job_share};
use crate::session::{OrderState, Session};
use crate::waiting::{StepKey, step_key};

/// Part of the workers of a service that may be quarantined at once, at least one.
const MAX_QUARANTINED_PERCENT: usize = 25;

/// Number of failures in a row from which a worker is taken to fail again. Fewer are likely to be
/// caused by the task, or by a restart.
const REPEATED_FAILURE_COUNT: u32 = 3;

/// Maximum number of open runs on a worker. Each observation lists all of them, and tasks that need
/// next to nothing would otherwise fill the memory of the agents and of the leader.
const MAX_WORKER_RUN_COUNT: u32 = 1_024;

/// Maximum number of open runs of one job on a worker.
pub(crate) const MAX_JOB_RUN_COUNT: u32 = job_share(MAX_WORKER_RUN_COUNT);

/// Maximum number of starts on a worker that wait for their results. Starts are carried out one after
/// the other, so that those of other jobs would wait behind them.
const MAX_UNANSWERED_START_COUNT: u32 = 256;

/// State of a worker during one scheduling pass.
#[derive(Clone, Debug)]
pub(crate) struct WorkerSnapshot {
    pub node: NodeName,
    pub incarnation: WorkerIncarnation,
    pub service: ServiceName,
    pub rack: Option<Arc<str>>,
    pub labels: Vec<Arc<str>>,
    /// Capacity that no open run occupies.
    pub free: Resources,
    /// Capacity that is free once all runs that are being stopped have ended.
    pub free_after_stops: Resources,
    pub total: Resources,
    /// `true` if no run failed here recently, so that the worker may get a task's last attempt.
    pub reliable: bool,
    /// Gets no runs for now, since runs on the worker failed or stalled.
    pub quarantined: bool,
    /// Did not carry out a start recently, or restarted, so that other workers are preferred.
    pub backing_off: bool,
    /// Is cold, or its data centre has just returned, so that other workers are preferred.
    pub warming: bool,
    /// Number of failures of any kind since the last completed task.
    pub failure_count: u32,
    /// Relative progress rate of the machine: the mean of its speed class, 1 while unknown.
    pub speed: f64,
    /// Speed class within the service; 0 is the fastest.
    pub speed_class: usize,
    /// Reserved for a group that is more urgent than those placed later in the pass.
    pub reserved: bool,
    /// Headroom for urgent groups that may arrive soon.
    pub held_for_urgent: bool,
    /// `true` if runs of less urgent jobs execute on the worker.
    pub has_less_urgent: bool,
    /// Open runs on the worker, including those that are being stopped.
    pub runs: Vec<RunId>,
    /// Number of open runs of each step that limits them.
    limited_steps: FastHashMap<StepKey, u32>,
    open_counts: RunCounts,
    /// Starts that wait for their results.
    unanswered_counts: RunCounts,
    /// Images of these runs, each once.
    pub images: Vec<Arc<str>>,
}

impl WorkerSnapshot {
    /// Returns `true` if the worker has failed several times and is likely to fail again.
    pub fn keeps_failing(&self) -> bool {
        self.backing_off && self.failure_count >= REPEATED_FAILURE_COUNT
    }

    /// Returns the number of further runs that the limit of the group's step allows.
    pub fn step_allowance(&self, group: &TaskGroup<'_>) -> u32 {
        let Some(limit) = group.spec.tasks_per_worker else { return u32::MAX };
        limit.saturating_sub(self.limited_steps.get(&step_key(group)).copied().unwrap_or(0))
    }

    /// Returns the number of further runs of the group's job that may begin on the worker, apart from
    /// its resources. A gang begins as a whole, so that its starts may exceed those that may wait for
    /// their results.
    pub fn run_allowance(&self, group: &TaskGroup<'_>) -> u32 {
        let open_allowance = self.open_counts.allowance(MAX_WORKER_RUN_COUNT, group.job);
        if group.spec.gang {
            return open_allowance;
        }
        let unanswered = &self.unanswered_counts;
        open_allowance.min(unanswered.allowance(MAX_UNANSWERED_START_COUNT, group.job))
    }

    /// Adds a run of the group that begins on the worker.
    pub fn add_run(&mut self, group: &TaskGroup<'_>, run: RunId) {
        let need = footprint(group.spec);
        self.free = subtract(self.free, need);
        self.free_after_stops = subtract(self.free_after_stops, need);
        self.has_less_urgent |= !group.is_urgent();
        self.add_image(group.spec);
        self.count_limited_step(group.spec, step_key(group));
        self.open_counts.add(group.job);
        self.unanswered_counts.add(group.job);
        self.runs.push(run);
    }

    fn count_limited_step(&mut self, spec: &StepSpec, key: StepKey) {
        if spec.tasks_per_worker.is_some() {
            *self.limited_steps.entry(key).or_default() += 1;
        }
    }

    /// Returns `true` if a run on the worker has the image of a step.
    pub fn has_image(&self, step: &StepSpec) -> bool {
        step.image.as_ref().is_some_and(|image| self.images.contains(image))
    }

    /// Adds the image of a step that has a run on the worker.
    pub fn add_image(&mut self, step: &StepSpec) {
        if let Some(image) = &step.image
            && !self.images.contains(image)
        {
            self.images.push(Arc::clone(image));
        }
    }
}

/// Returns the resources that one task of a step occupies on a worker. Tasks that only use idle CPU
/// time occupy no cores.
pub(crate) fn footprint(step: &StepSpec) -> Resources {
    let cores_milli = if step.uses_idle_cpu { 0 } else { step.demand.cores_milli };
    Resources { cores_milli, ..step.demand }
}

/// Returns the workers that can take new runs, quarantined ones included, with the capacity that open
/// runs leave free. Those of evacuated data centres take none.
pub(crate) fn available_workers(
    sessions: &BTreeMap<NodeName, Session>,
    evacuations: &EvacuationStore,
    table: &JobTable,
    now: TimestampMs,
) -> Vec<WorkerSnapshot> {
    let mut workers: Vec<WorkerSnapshot> = sessions
        .iter()
        .filter(|(_, session)| session.is_available(now) && !session.is_evacuated(evacuations))
        .filter_map(|(node, session)| {
            let state = session.state.as_ref()?;
            Some(WorkerSnapshot {
                node: node.clone(),
                incarnation: state.incarnation.clone(),
                service: state.service.clone(),
                rack: state.rack.clone(),
                labels: state.labels.clone(),
                free: state.capacity,
                free_after_stops: state.capacity,
                total: state.capacity,
                reliable: session.health.is_reliable(now),
                quarantined: !session.health.is_usable(now),
                backing_off: session.health.is_backing_off(now),
                warming: session.is_warming(now),
                failure_count: session.health.failure_count(),
                speed: 1.0,
                speed_class: 0,
                reserved: false,
                held_for_urgent: false,
                has_less_urgent: false,
                runs: Vec::new(),
                limited_steps: FastHashMap::default(),
                open_counts: RunCounts::default(),
                unanswered_counts: RunCounts::default(),
                images: Vec::new(),
            })
        })
        .collect();
    let indexes: FastHashMap<WorkerIncarnation, usize> =
        (0..).zip(&workers).map(|(index, worker)| (worker.incarnation.clone(), index)).collect();
    for (run, open) in table.open_runs() {
        let Some(index) = indexes.get(&open.incarnation) else { continue };
        let worker = &mut workers[*index];
        let job = table.job(&run.task.job);
        let step = job.and_then(|job| job.step_spec(run.task.step));
        let used = step.map_or(open.demand, footprint);
        worker.free = subtract(worker.free, used);
        let order = sessions.get(&worker.node).and_then(|session| session.orders.get(run));
        if !matches!(order, Some(OrderState::Stopping { .. })) {
            worker.free_after_stops = subtract(worker.free_after_stops, used);
        }
        worker.has_less_urgent |= job.is_some_and(|job| job.submission.priority > 0);
        worker.runs.push(run.clone());
        if let (Some(job), Some(step)) = (job, step) {
            worker.add_image(step);
            worker.count_limited_step(step, (job.order, run.task.occurrence, run.task.step));
            worker.open_counts.add(job);
            if matches!(order, None | Some(OrderState::Starting { .. })) {
                worker.unanswered_counts.add(job);
            }
        }
    }
    limit_quarantine(&mut workers, sessions);
    workers
}

/// Releases the workers whose quarantine ends first until only a part of each service's workers is
/// quarantined. When more fail than that, the cause is likely to be in the jobs.
fn limit_quarantine(workers: &mut [WorkerSnapshot], sessions: &BTreeMap<NodeName, Session>) {
    let mut counts: BTreeMap<ServiceName, usize> = BTreeMap::new();
    for worker in workers.iter() {
        *counts.entry(worker.service.clone()).or_default() += 1;
    }
    let mut quarantined: Vec<usize> =
        (0..workers.len()).filter(|index| workers[*index].quarantined).collect();
    let ends_at = |index: &usize| {
        let session = sessions.get(&workers[*index].node);
        session.and_then(|session| session.health.quarantined_until())
    };
    quarantined.sort_by_key(|index| Reverse(ends_at(index)));
    let mut limits: BTreeMap<ServiceName, usize> = counts
        .into_iter()
        .map(|(service, count)| (service, (count * MAX_QUARANTINED_PERCENT / 100).max(1)))
        .collect();
    for index in quarantined {
        let limit = limits.entry(workers[index].service.clone()).or_default();
        workers[index].quarantined = *limit > 0;
        *limit = limit.saturating_sub(1);
    }
}

/// Returns the number of tasks that fit into `capacity`.
pub(crate) fn slot_count(capacity: Resources, need: Resources) -> u64 {
    let slots = |capacity: u64, need: u64| capacity.checked_div(need).unwrap_or(u64::MAX);
    slots(capacity.cores_milli, need.cores_milli)
        .min(slots(capacity.memory_bytes, need.memory_bytes))
        .min(slots(u64::from(capacity.accelerator_count), u64::from(need.accelerator_count)))
}

/// Subtracts each resource, saturating at zero.
pub(crate) fn subtract(from: Resources, used: Resources) -> Resources {
    Resources {
        cores_milli: from.cores_milli.saturating_sub(used.cores_milli),
        memory_bytes: from.memory_bytes.saturating_sub(used.memory_bytes),
        accelerator_count: from.accelerator_count.saturating_sub(used.accelerator_count),
    }
}

/// Adds each resource, saturating at the maximum.
pub(crate) fn add(base: Resources, extra: Resources) -> Resources {
    Resources {
        cores_milli: base.cores_milli.saturating_add(extra.cores_milli),
        memory_bytes: base.memory_bytes.saturating_add(extra.memory_bytes),
        accelerator_count: base.accelerator_count.saturating_add(extra.accelerator_count),
    }
}
