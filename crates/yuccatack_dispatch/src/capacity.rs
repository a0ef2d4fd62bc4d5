//! What is free on each worker.

use std::collections::BTreeMap;
use std::sync::Arc;

use yuccatack_core::{NodeName, Resources, ServiceName, TimestampMs};
use yuccatack_runs::{JobTable, RunId, StepSpec, WorkerIncarnation};

use crate::session::{OrderState, Session};

/// A worker as placement sees it.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub node: NodeName,
    pub incarnation: WorkerIncarnation,
    pub service: ServiceName,
    pub rack: Option<Arc<str>>,
    pub labels: Vec<Arc<str>>,
    /// What nothing uses.
    pub free: Resources,
    /// What nothing uses once everything that is being stopped has ended.
    pub free_soon: Resources,
    pub total: Resources,
    /// Whether it may get the last attempt of a task.
    pub trusted: bool,
    /// Kept free for a unit that is more urgent than those placed later.
    pub reserved: bool,
    /// Kept free for urgent units that may come.
    pub kept: bool,
    /// The runs that occupy it.
    pub runs: Vec<RunId>,
}

/// What one task of a step takes from a worker.
pub(crate) fn footprint(step: &StepSpec) -> Resources {
    let cores_milli = if step.uses_idle_cpu { 0 } else { step.demand.cores_milli };
    Resources { cores_milli, ..step.demand }
}

/// The workers that may get new runs.
pub(crate) fn slots(
    sessions: &BTreeMap<NodeName, Session>,
    table: &JobTable,
    now: TimestampMs,
) -> Vec<Slot> {
    let mut slots: Vec<Slot> = sessions
        .iter()
        .filter(|(_, session)| session.is_available(now))
        .filter_map(|(node, session)| {
            let state = session.state.as_ref()?;
            Some(Slot {
                node: node.clone(),
                incarnation: state.incarnation.clone(),
                service: state.service.clone(),
                rack: state.rack.clone(),
                labels: state.labels.clone(),
                free: state.capacity,
                free_soon: state.capacity,
                total: state.capacity,
                trusted: session.health.is_trusted(now),
                reserved: false,
                kept: false,
                runs: Vec::new(),
            })
        })
        .collect();
    for (run, open) in table.open_runs() {
        let Some(slot) = slots.iter_mut().find(|slot| slot.incarnation == open.incarnation) else {
            continue;
        };
        let step = table.job(&run.task.job).and_then(|job| job.step_spec(run.task.step));
        let used = step.map_or(open.demand, footprint);
        slot.free = subtract(slot.free, used);
        let order = sessions.get(&slot.node).and_then(|session| session.orders.get(run));
        if !matches!(order, Some(OrderState::Stopping { .. })) {
            slot.free_soon = subtract(slot.free_soon, used);
        }
        slot.runs.push(run.clone());
    }
    slots
}

/// What is left; nothing where more is used than there is.
pub(crate) fn subtract(from: Resources, used: Resources) -> Resources {
    Resources {
        cores_milli: from.cores_milli.saturating_sub(used.cores_milli),
        memory_bytes: from.memory_bytes.saturating_sub(used.memory_bytes),
        accelerator_count: from.accelerator_count.saturating_sub(used.accelerator_count),
    }
}

/// The sum, at most the largest numbers.
pub(crate) fn add(to: Resources, more: Resources) -> Resources {
    Resources {
        cores_milli: to.cores_milli.saturating_add(more.cores_milli),
        memory_bytes: to.memory_bytes.saturating_add(more.memory_bytes),
        accelerator_count: to.accelerator_count.saturating_add(more.accelerator_count),
    }
}
