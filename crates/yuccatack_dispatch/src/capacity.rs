//! Free capacity of each worker.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use yuccatack_core::{NodeName, Resources, ServiceName, TimestampMs};
use yuccatack_queues::EvacuationStore;
use yuccatack_runs::{JobTable, RunId, StepSpec, WorkerIncarnation};

use crate::session::{OrderState, Session};

/// Part of the workers of a service that may be quarantined at once, at least one.
const MAX_QUARANTINED_PERCENT: usize = 25;

/// Number of failures in a row from which a worker is taken to fail again. Fewer are likely to be
/// caused by the task, or by a restart.
const REPEATED_FAILURE_COUNT: u32 = 3;

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
    /// Images of these runs, each once.
    pub images: Vec<Arc<str>>,
}

impl WorkerSnapshot {
    /// Returns `true` if the worker has failed several times and is likely to fail again.
    pub fn keeps_failing(&self) -> bool {
        self.backing_off && self.failure_count >= REPEATED_FAILURE_COUNT
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
                failure_count: session.health.failure_count(),
                speed: 1.0,
                speed_class: 0,
                reserved: false,
                held_for_urgent: false,
                has_less_urgent: false,
                runs: Vec::new(),
                images: Vec::new(),
            })
        })
        .collect();
    for (run, open) in table.open_runs() {
        let Some(worker) = workers.iter_mut().find(|worker| worker.incarnation == open.incarnation)
        else {
            continue;
        };
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
        step.into_iter().for_each(|step| worker.add_image(step));
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
