//! Capacity for urgent task groups: reserved on workers whose runs are already stopping, or freed
//! by evicting less urgent runs.

use yuccatack_core::{FastHashMap, FastHashSet, OrganisationName};
use yuccatack_queues::ConfigurationStore;
use yuccatack_runs::{JobTable, RunId};

use crate::capacity::{WorkerSnapshot, add, footprint, subtract};
use crate::demand::{TaskGroup, Tier};
use crate::dispatcher::Dispatcher;
use crate::loss::RunProgress;
use crate::placement::{CapacityKind, place};
use crate::reclaim::Reclaim;
use crate::restraint::{Restraint, Waivers};
use crate::session::OrderState;
use crate::share::MinimumShares;

/// State of a scheduling pass that the choice of runs to evict depends on.
pub(crate) struct EvictionInputs<'a> {
    pub table: &'a JobTable,
    pub configuration: &'a ConfigurationStore,
    pub urgent_demand: &'a FastHashMap<OrganisationName, u64>,
    pub shares: &'a mut MinimumShares,
}

impl Dispatcher {
    /// Evicts less urgent runs for a group that does not fit, and reserves their capacity for it.
    /// Returns `false` if no eviction makes the group fit, or if it would lose too much work.
    pub(crate) fn evict_for(
        &mut self,
        group: &TaskGroup<'_>,
        workers: &mut [WorkerSnapshot],
        inputs: EvictionInputs<'_>,
    ) -> bool {
        let stopping = self.stopping_runs();
        let progress = self.progress();
        let reclaim = Reclaim { inputs: &inputs, stopping: &stopping, progress: &progress };
        let Some(eviction) = reclaim.find(group, workers) else { return false };
        let victims = eviction.victims.iter().map(ToString::to_string).collect::<Vec<_>>();
        log::info!(
            event = "run_evicted", count = victims.len(), runs = victims.join(",").as_str(),
            for_job = group.job.submission.name.as_str();
            "evicting the runs to free their capacity for a more urgent job"
        );
        for victim in eviction.victims {
            inputs.shares.release(&victim, inputs.table);
            self.eviction_count += 1;
            self.evicted.insert(victim);
        }
        let need = footprint(group.spec);
        for (index, freed) in eviction.placement.into_iter().zip(eviction.freed) {
            workers[index].reserved = true;
            workers[index].free_after_stops =
                subtract(add(workers[index].free_after_stops, freed), need);
        }
        true
    }

    fn progress(&self) -> RunProgress {
        let per_session = self.sessions.values().flat_map(|session| session.health.progress());
        per_session.map(|(run, percent)| (run.clone(), percent)).collect()
    }

    pub(crate) fn stopping_runs(&self) -> FastHashSet<RunId> {
        let per_session = self.sessions.values().flat_map(|session| &session.orders);
        per_session
            .filter(|(_, order)| matches!(order, OrderState::Stopping { .. }))
            .map(|(run, _)| run.clone())
            .chain(self.evicted.iter().cloned())
            .collect()
    }
}

/// Reserves capacity for the group on workers where it fits once the runs being stopped have ended.
/// Returns `false` if it does not fit there either.
pub(crate) fn reserve_after_stops(group: &TaskGroup<'_>, workers: &mut [WorkerSnapshot]) -> bool {
    let waivers = Waivers::NONE.with(Restraint::Reservation);
    let Some(placement) = place(group, workers, CapacityKind::FreeAfterStops, waivers) else {
        return false;
    };
    let need = footprint(group.spec);
    for index in placement {
        workers[index].reserved = true;
        workers[index].free_after_stops = subtract(workers[index].free_after_stops, need);
    }
    true
}

pub(crate) fn may_evict(group: &TaskGroup<'_>) -> bool {
    matches!(group.urgency.tier, Tier::Guaranteed | Tier::Urgent)
}
