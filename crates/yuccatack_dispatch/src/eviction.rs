//! Capacity for urgent task groups: reserved on workers whose runs are already stopping, or freed
//! by evicting less urgent runs.
//!
//! Answers bursts of urgent jobs on workers that are full of other work.

use std::collections::BTreeMap;

use yuccatack_core::{FastHashSet, NodeName};
use yuccatack_runs::{JobTable, RunId};

use crate::capacity::{WorkerSnapshot, add, footprint, subtract};
use crate::demand::{TaskGroup, Tier};
use crate::loss::RunProgress;
use crate::pass::Pass;
use crate::placement::{CapacityKind, Placement};
use crate::reclaim::{Eviction, Reclaim};
use crate::restraint::{Restraint, Waivers};
use crate::session::{OrderState, Session};
use crate::speed_range::{SpeedRange, fast_enough_range, place_by_speed};

/// Number of tasks for which one scheduling pass searches for runs to evict. A group is searched as
/// a whole, so the last one may exceed the limit. A search visits every run for every task, so a
/// burst of urgent jobs would otherwise delay the leader's heartbeats.
const EVICTION_SEARCH_TASK_COUNT: usize = 32;

/// Largest number of tasks of a group that may evict other runs. The time of a search grows faster than
/// the number of tasks.
const MAX_EVICTING_TASK_COUNT: usize = 256;

/// Runs that must stop although their job continues.
#[derive(Debug, Default)]
pub(crate) struct Evictions {
    runs: FastHashSet<RunId>,
    /// Number of evictions since the last call of [`Self::take_count`].
    count: u64,
}

impl Evictions {
    pub fn runs(&self) -> &FastHashSet<RunId> {
        &self.runs
    }

    pub fn contains(&self, run: &RunId) -> bool {
        self.runs.contains(run)
    }

    /// Evicts a run that is open in the table.
    pub fn add(&mut self, run: RunId) {
        self.count += 1;
        self.runs.insert(run);
    }

    /// Forgets the runs that have ended.
    pub fn retain_open(&mut self, table: &JobTable) {
        self.runs.retain(|run| table.open_runs().contains_key(run));
    }

    /// Returns the number of evictions since the last call, stalled runs included, and resets it.
    pub fn take_count(&mut self) -> u64 {
        std::mem::take(&mut self.count)
    }

    /// Returns all runs that are being stopped, evicted ones included.
    pub fn stopping_runs(&self, sessions: &BTreeMap<NodeName, Session>) -> FastHashSet<RunId> {
        let per_session = sessions.values().flat_map(|session| &session.orders);
        per_session
            .filter(|(_, order)| matches!(order, OrderState::Stopping { .. }))
            .map(|(run, _)| run.clone())
            .chain(self.runs.iter().cloned())
            .collect()
    }
}

/// Search for runs to evict during one scheduling pass.
#[derive(Debug)]
pub(crate) struct EvictionSearch {
    remaining_task_count: usize,
}

impl Default for EvictionSearch {
    fn default() -> Self {
        Self { remaining_task_count: EVICTION_SEARCH_TASK_COUNT }
    }
}

impl EvictionSearch {
    /// Counts the tasks of a group. Returns `false` if the pass has searched enough.
    pub fn begin(&mut self, group: &TaskGroup<'_>) -> bool {
        if group.tasks.len() > MAX_EVICTING_TASK_COUNT {
            return false;
        }
        let may_search = self.remaining_task_count > 0;
        self.remaining_task_count = self.remaining_task_count.saturating_sub(group.tasks.len());
        may_search
    }
}

/// Evicts less urgent runs for a group that does not fit, and reserves their capacity for it. Returns
/// `false` if no eviction makes the group fit, or if it would lose too much work.
pub(crate) fn evict_for_room(
    group: &TaskGroup<'_>,
    pass: &mut Pass<'_>,
    evictions: &mut Evictions,
) -> bool {
    evict_for(group, pass, evictions, SpeedRange::ALL, group.urgency.tier)
}

/// Evicts runs on workers on which the group meets its objective if it begins after `delay_ms`.
///
/// The group could begin on slower workers, so that also guaranteed ones evict less urgent runs only,
/// and only if that loses little. Evicts nothing while the speeds of the machines do not differ.
pub(crate) fn evict_for_speed(
    group: &TaskGroup<'_>,
    pass: &mut Pass<'_>,
    evictions: &mut Evictions,
    delay_ms: u64,
) -> bool {
    if !pass.speed_classes.differ(&group.job.submission.service) {
        return false;
    }
    let range = fast_enough_range(group, pass.classes(group), delay_ms);
    range.is_some_and(|range| evict_for(group, pass, evictions, range, Tier::Urgent))
}

fn evict_for(
    group: &TaskGroup<'_>,
    pass: &mut Pass<'_>,
    evictions: &mut Evictions,
    range: SpeedRange,
    tier: Tier,
) -> bool {
    let stopping = evictions.stopping_runs(pass.sessions);
    let progress = run_progress(pass.sessions);
    let reclaim = Reclaim { pass, stopping: &stopping, progress: &progress, tier };
    let Some(eviction) = reclaim.find(group, range) else { return false };
    carry_out(eviction, group, pass, evictions);
    true
}

/// Evicts the runs and reserves the workers of the placement for the group.
fn carry_out(
    eviction: Eviction,
    group: &TaskGroup<'_>,
    pass: &mut Pass<'_>,
    evictions: &mut Evictions,
) {
    let victims = eviction.victims.iter().map(ToString::to_string).collect::<Vec<_>>();
    log::info!(
        event = "run_evicted", count = victims.len(), runs = victims.join(",").as_str(),
        for_job = group.job.submission.name.as_str();
        "evicting the runs to free their capacity for a more urgent job"
    );
    for victim in eviction.victims {
        pass.shares.release(&victim, pass.table);
        evictions.add(victim);
    }
    let need = footprint(group.spec);
    for (index, freed) in eviction.placement.into_iter().zip(eviction.freed) {
        let worker = &mut pass.workers[index];
        worker.reserved = true;
        worker.free_after_stops = subtract(add(worker.free_after_stops, freed), need);
    }
}

fn run_progress(sessions: &BTreeMap<NodeName, Session>) -> RunProgress {
    let per_session = sessions.values().flat_map(|session| session.health.progress());
    per_session.map(|(run, percent)| (run.clone(), percent)).collect()
}

/// Reserves capacity for the group on workers where it fits once the runs being stopped have ended.
/// Returns `false` if it does not fit there either, or only on workers that are too slow although
/// `must_be_fast` is set.
pub(crate) fn reserve_after_stops(
    group: &TaskGroup<'_>,
    pass: &mut Pass<'_>,
    must_be_fast: bool,
) -> bool {
    let waivers = Waivers::NONE.with(Restraint::Reservation);
    let kind = CapacityKind::FreeAfterStops;
    let found = place_by_speed(group, &pass.workers, pass.classes(group), kind, waivers);
    let Some(found) = found.filter(|found| found.is_fast_enough || !must_be_fast) else {
        return false;
    };
    reserve(group, &found.placement, &mut pass.workers);
    true
}

/// Reserves the workers of a placement for the group.
pub(crate) fn reserve(
    group: &TaskGroup<'_>,
    placement: &Placement,
    workers: &mut [WorkerSnapshot],
) {
    let need = footprint(group.spec);
    for index in placement {
        let worker = &mut workers[*index];
        worker.reserved = true;
        worker.free_after_stops = subtract(worker.free_after_stops, need);
    }
}

pub(crate) fn may_evict(group: &TaskGroup<'_>) -> bool {
    matches!(group.urgency.tier, Tier::Guaranteed | Tier::Urgent)
}
