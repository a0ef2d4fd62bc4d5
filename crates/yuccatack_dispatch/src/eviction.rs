//! How a more urgent unit gets room: by runs that end anyway, or by runs that give way.

use yuccatack_core::{FastHashMap, FastHashSet, OrganisationName};
use yuccatack_queues::ConfigurationStore;
use yuccatack_runs::{JobTable, RunId};

use crate::capacity::{Slot, add, footprint, subtract};
use crate::demand::{Tier, Unit};
use crate::dispatcher::Dispatcher;
use crate::loss::Progress;
use crate::placement::{Room, place};
use crate::reclaim::Reclaim;
use crate::session::OrderState;

impl Dispatcher {
    /// Evicts less urgent runs for a unit that does not fit, and keeps their room for it. Returns
    /// whether there is such room.
    pub(crate) fn evict_for(
        &mut self,
        unit: &Unit<'_>,
        slots: &mut [Slot],
        table: &JobTable,
        configuration: &ConfigurationStore,
        needs: &FastHashMap<OrganisationName, u64>,
    ) -> bool {
        let stopping = self.stopping_runs();
        let progress = self.progress();
        let reclaim =
            Reclaim { table, configuration, needs, stopping: &stopping, progress: &progress };
        let Some(eviction) = reclaim.find(unit, slots) else { return false };
        for victim in eviction.victims {
            log::info!(
                event = "run_evicted", run:% = victim,
                for_job = unit.job.submission.name.as_str();
                "the run gives way to a more urgent job"
            );
            self.eviction_count += 1;
            self.evicted.insert(victim);
        }
        let need = footprint(unit.spec);
        for (at, freed) in eviction.placement.into_iter().zip(eviction.freed) {
            slots[at].reserved = true;
            slots[at].free_soon = subtract(add(slots[at].free_soon, freed), need);
        }
        true
    }

    fn progress(&self) -> Progress {
        let of_sessions = self.sessions.values().flat_map(|session| session.health.progress());
        of_sessions.map(|(run, percent)| (run.clone(), percent)).collect()
    }

    fn stopping_runs(&self) -> FastHashSet<RunId> {
        let of_sessions = self.sessions.values().flat_map(|session| &session.orders);
        of_sessions
            .filter(|(_, order)| matches!(order, OrderState::Stopping { .. }))
            .map(|(run, _)| run.clone())
            .chain(self.evicted.iter().cloned())
            .collect()
    }
}

/// Keeps the room that is about to be free for a unit that fits there.
pub(crate) fn reserve_soon(unit: &Unit<'_>, slots: &mut [Slot]) -> bool {
    let Some(placement) = place(unit, slots, Room::Soon, true) else { return false };
    let need = footprint(unit.spec);
    for at in placement {
        slots[at].reserved = true;
        slots[at].free_soon = subtract(slots[at].free_soon, need);
    }
    true
}

pub(crate) fn may_evict_others(unit: &Unit<'_>) -> bool {
    matches!(unit.urgency.tier, Tier::Guaranteed | Tier::Priority(0))
}
