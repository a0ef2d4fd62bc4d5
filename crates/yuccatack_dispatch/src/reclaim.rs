//! Which runs give way to a more urgent unit.

use yuccatack_core::{FastHashMap, FastHashSet, OrganisationName, Resources};
use yuccatack_queues::ConfigurationStore;
use yuccatack_runs::{JobTable, RunId};

use crate::capacity::{Slot, add, footprint, subtract};
use crate::demand::{Tier, Unit, within_guarantee};
use crate::loss::{Progress, loss_of, work_of};
use crate::placement::{Placement, candidate_sets, step_allowance};

/// A unit without a guarantee evicts runs that lose at most this many times its own work. More would
/// cost others more than the unit is worth.
const EVICTION_LOSS_FACTOR: u64 = 2;

/// What a decision about victims needs to know.
pub(crate) struct Reclaim<'a> {
    pub table: &'a JobTable,
    pub configuration: &'a ConfigurationStore,
    pub needs: &'a FastHashMap<OrganisationName, u64>,
    /// Runs that are being stopped already.
    pub stopping: &'a FastHashSet<RunId>,
    /// How far the runs are.
    pub progress: &'a Progress,
}

/// Where a unit fits once the victims have stopped.
#[derive(Debug)]
pub(crate) struct Eviction {
    pub placement: Placement,
    /// What the victims of each task's place leave free there.
    pub freed: Vec<Resources>,
    pub victims: Vec<RunId>,
}

impl Reclaim<'_> {
    /// Finds the cheapest victims that make room for the unit, if they do not lose much more
    /// work than the unit does.
    pub fn find(&self, unit: &Unit<'_>, slots: &[Slot]) -> Option<Eviction> {
        let sets = candidate_sets(unit, slots);
        let evictions = sets.iter().filter_map(|set| self.find_in(unit, slots, set));
        let (cost, eviction) = evictions.min_by_key(|(cost, _)| *cost)?;
        // What belongs to an organisation at all times is not weighed against what others lose.
        let guaranteed = unit.urgency.tier == Tier::Guaranteed;
        let work = work_of(unit.spec).saturating_mul(unit.tasks.len() as u64);
        (guaranteed || cost <= EVICTION_LOSS_FACTOR * work).then_some(eviction)
    }

    fn find_in(&self, unit: &Unit<'_>, slots: &[Slot], set: &[usize]) -> Option<(u64, Eviction)> {
        let need = footprint(unit.spec);
        let mut free: FastHashMap<usize, Resources> =
            set.iter().map(|at| (*at, slots[*at].free_soon)).collect();
        let mut allowed: FastHashMap<usize, u32> =
            set.iter().map(|at| (*at, step_allowance(unit, &slots[*at]))).collect();
        let mut victims = FastHashSet::default();
        let mut placement = Vec::with_capacity(unit.tasks.len());
        let mut all_freed = Vec::with_capacity(unit.tasks.len());
        let mut total_cost = 0;
        for _ in &unit.tasks {
            let options = set.iter().filter(|at| allowed[at] > 0).filter_map(|at| {
                let chosen = self.victims_on(unit, &slots[*at], free[at], need, &victims)?;
                Some((
                    chosen.iter().map(|run| loss_of(run, self.table, self.progress)).sum::<u64>(),
                    *at,
                    chosen,
                ))
            });
            let (cost, at, chosen) = options.min_by_key(|(cost, at, _)| (*cost, *at))?;
            total_cost += cost;
            let footprints = chosen.iter().filter_map(|run| self.footprint_of(run));
            let freed = footprints.fold(Resources::default(), add);
            free.insert(at, subtract(add(free[&at], freed), need));
            all_freed.push(freed);
            allowed.entry(at).and_modify(|left| *left -= 1);
            victims.extend(chosen);
            placement.push(at);
        }
        let mut victims: Vec<RunId> = victims.into_iter().collect();
        victims.sort_unstable();
        Some((total_cost, Eviction { placement, freed: all_freed, victims }))
    }

    fn footprint_of(&self, run: &RunId) -> Option<Resources> {
        self.table.job(&run.task.job)?.step_spec(run.task.step).map(footprint)
    }

    /// The cheapest runs of a worker that make room for one task, cheapest first.
    fn victims_on(
        &self,
        unit: &Unit<'_>,
        slot: &Slot,
        mut free: Resources,
        need: Resources,
        taken: &FastHashSet<RunId>,
    ) -> Option<Vec<RunId>> {
        let mut chosen = Vec::new();
        if free.contains(&need) {
            return Some(chosen);
        }
        let mut candidates: Vec<&RunId> = slot
            .runs
            .iter()
            .filter(|run| !taken.contains(run) && !self.stopping.contains(run))
            .filter(|run| self.may_evict(unit, run))
            .collect();
        candidates.sort_by_key(|run| (loss_of(run, self.table, self.progress), (*run).clone()));
        for run in candidates {
            free = add(free, self.footprint_of(run).unwrap_or_default());
            chosen.push(run.clone());
            if free.contains(&need) {
                return Some(chosen);
            }
        }
        None
    }

    /// Whether a run must give way: only less urgent work does, and never what is guaranteed.
    fn may_evict(&self, unit: &Unit<'_>, run: &RunId) -> bool {
        let Some(job) = self.table.job(&run.task.job) else { return false };
        let submission = &job.submission;
        let guaranteed = submission.priority == 0
            && within_guarantee(submission.organisation.as_ref(), self.needs, self.configuration);
        match unit.urgency.tier {
            Tier::Guaranteed => !guaranteed,
            Tier::Priority(priority) => priority == 0 && submission.priority > 0,
            Tier::Overdue(_) => false,
        }
    }
}
