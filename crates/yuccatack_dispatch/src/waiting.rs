//! Groups that wait while most of the capacity is unused, and the restraints that yield to them.
//!
//! Restraints serve other work or a better placement. While most of the capacity is unused, a group
//! that they keep waiting gains nothing from them.

use std::collections::BTreeMap;

use yuccatack_core::{DurationMs, FastHashMap, NodeName, Resources, ServiceName, TimestampMs};
use yuccatack_queues::EvacuationStore;
use yuccatack_runs::JobTable;

use crate::capacity::{WorkerSnapshot, add, footprint};
use crate::demand::TaskGroup;
use crate::placement::{CapacityKind, Placement, place};
use crate::restraint::{Restraint, Waivers};
use crate::session::Session;

/// Time for which restraints may keep a group waiting while most of the capacity is unused. The
/// users allow 3 s; the rest is for the start itself.
const RESTRAINT_LIMIT_MS: DurationMs = DurationMs::new(2_000);

/// Time for which a group may be placed, or the capacity be in use, without ending the wait of the
/// group: a refused start takes about a second to be barred, and short runs that fail at once fill
/// the capacity for moments only.
const MAX_GAP_MS: DurationMs = DurationMs::new(2_000);

/// Part of a service's capacity below which it counts as mostly unused. The users draw the line at
/// half of the capacity that runs use; open runs also include those that begin or end.
const MOSTLY_UNUSED_PERCENT: u64 = 60;

/// Waivers in the order in which they are tried: first those that cost the group nothing, then those
/// that make it slower, then those that make it more likely to fail.
const WAIVER_STEPS: [Waivers; 4] = {
    let idle = Waivers::NONE.with(Restraint::Headroom).with(Restraint::Reservation);
    let idle = idle.with(Restraint::Speed);
    let far = idle.with(Restraint::DataRack).with(Restraint::SingleRack);
    let unreliable = far.with(Restraint::LastAttempt);
    [idle, far, unreliable, unreliable.with(Restraint::Quarantine)]
};

/// Step of an occurrence of a job, by the order of the job.
pub(crate) type StepKey = (u64, u32, u32);

/// Wait of a group while most of the capacity of its service is unused.
#[derive(Clone, Copy, Debug)]
struct Wait {
    began_at: TimestampMs,
    /// Last time at which the group waited and most of the capacity was unused.
    unused_at: TimestampMs,
}

/// Steps with a group that waits while most of the capacity of its service is unused.
#[derive(Debug, Default)]
pub(crate) struct WaitingSteps {
    waits: FastHashMap<StepKey, Wait>,
}

impl WaitingSteps {
    /// Places the group without the restraints that have kept it waiting for too long.
    pub fn place_waiting(
        &self,
        group: &TaskGroup<'_>,
        workers: &[WorkerSnapshot],
        now: TimestampMs,
    ) -> Option<Placement> {
        let wait = self.waits.get(&step_key(group))?;
        if now.since(wait.began_at) < RESTRAINT_LIMIT_MS {
            return None;
        }
        WAIVER_STEPS.into_iter().find_map(|waivers| {
            let placement = place(group, workers, CapacityKind::Free, waivers)?;
            log::info!(
                event = "restraint_waived", job = group.job.submission.name.as_str(),
                step = group.step, waived:% = waivers;
                "the group waits while most of the capacity is unused; these rules do not apply to it"
            );
            Some(placement)
        })
    }

    /// Records the groups that a scheduling pass left waiting. Keeps the waits of other groups for a
    /// time, since their starts may fail. Long-running tasks wait for a replacement of a lost run,
    /// however much of the capacity is in use.
    pub fn update(
        &mut self,
        waiting: &[TaskGroup<'_>],
        services: &UnusedServices,
        now: TimestampMs,
    ) {
        self.waits.retain(|_, wait| now.since(wait.unused_at) <= MAX_GAP_MS);
        let counts = |group: &&TaskGroup<'_>| {
            group.spec.long_running || services.contains(&group.job.submission.service)
        };
        for group in waiting.iter().filter(counts) {
            let wait =
                self.waits.entry(step_key(group)).or_insert(Wait { began_at: now, unused_at: now });
            wait.unused_at = now;
        }
    }
}

pub(crate) fn step_key(group: &TaskGroup<'_>) -> StepKey {
    (group.job.order, group.occurrence, group.step)
}

/// Services of which most of the capacity is unused.
#[derive(Debug, Default)]
pub(crate) struct UnusedServices(Vec<ServiceName>);

impl UnusedServices {
    /// Compares the open runs with the capacity of all announced workers, both without those of
    /// evacuated data centres.
    pub fn new(
        sessions: &BTreeMap<NodeName, Session>,
        evacuations: &EvacuationStore,
        table: &JobTable,
    ) -> Self {
        let remaining = |session: &&Session| !session.is_evacuated(evacuations);
        let mut totals: BTreeMap<&ServiceName, Resources> = BTreeMap::new();
        let states =
            sessions.values().filter(remaining).filter_map(|session| session.state.as_ref());
        for state in states {
            let total = totals.entry(&state.service).or_default();
            *total = add(*total, state.capacity);
        }
        let mut used: BTreeMap<&ServiceName, Resources> = BTreeMap::new();
        for (run, open) in table.open_runs() {
            let session = sessions.get(&open.incarnation.node);
            if session.is_some_and(|session| session.is_evacuated(evacuations)) {
                continue;
            }
            let Some(job) = table.job(&run.task.job) else { continue };
            let Some(spec) = job.step_spec(run.task.step) else { continue };
            let sum = used.entry(&job.submission.service).or_default();
            *sum = add(*sum, footprint(spec));
        }
        let is_unused = |(service, total): &(&ServiceName, Resources)| {
            is_mostly_unused(used.get(service).copied().unwrap_or_default(), *total)
        };
        Self(totals.into_iter().filter(is_unused).map(|(service, _)| service.clone()).collect())
    }

    fn contains(&self, service: &ServiceName) -> bool {
        self.0.contains(service)
    }
}

fn is_mostly_unused(used: Resources, total: Resources) -> bool {
    let is_below = |used: u64, total: u64| used * 100 <= total * MOSTLY_UNUSED_PERCENT;
    is_below(used.cores_milli, total.cores_milli)
        && is_below(used.memory_bytes / 100, total.memory_bytes / 100)
        && is_below(u64::from(used.accelerator_count), u64::from(total.accelerator_count))
}
