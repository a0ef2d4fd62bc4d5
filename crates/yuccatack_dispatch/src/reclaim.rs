//! Selection of the runs to evict for a more urgent task group.

use yuccatack_core::{FastHashMap, FastHashSet, OrganisationName, Resources};
use yuccatack_queues::ConfigurationStore;
use yuccatack_runs::{JobTable, RunId};

use crate::capacity::{WorkerSnapshot, add, footprint, subtract};
use crate::demand::{TaskGroup, Tier, within_guarantee};
use crate::loss::{RunProgress, eviction_loss, task_work};
use crate::placement::{Placement, candidate_sets, step_allowance};

/// A group without a guarantee may cause evictions that lose at most this many times its own work.
/// Beyond that, the lost work costs more than the group is worth.
const EVICTION_LOSS_FACTOR: u64 = 2;

/// Inputs of the search for runs to evict.
pub(crate) struct Reclaim<'a> {
    pub table: &'a JobTable,
    pub configuration: &'a ConfigurationStore,
    pub urgent_demand: &'a FastHashMap<OrganisationName, u64>,
    /// Runs that are already being stopped.
    pub stopping: &'a FastHashSet<RunId>,
    pub progress: &'a RunProgress,
}

/// Placement of a group that becomes possible once the victims have stopped.
#[derive(Debug)]
pub(crate) struct Eviction {
    pub placement: Placement,
    /// Resources that the victims release on the worker of each task, in the order of the tasks.
    pub freed: Vec<Resources>,
    pub victims: Vec<RunId>,
}

impl Reclaim<'_> {
    /// Finds the runs with the smallest loss whose eviction lets the group fit.
    ///
    /// Returns `None` if no eviction makes the group fit, or if the loss is out of proportion to
    /// the work of a group without a guarantee.
    pub fn find(&self, group: &TaskGroup<'_>, workers: &[WorkerSnapshot]) -> Option<Eviction> {
        let sets = candidate_sets(group, workers);
        let evictions = sets.iter().filter_map(|set| self.find_in_set(group, workers, set));
        let (cost, eviction) = evictions.min_by_key(|(cost, _)| *cost)?;
        // Guaranteed capacity is reclaimed at any cost to other organisations.
        let guaranteed = group.urgency.tier == Tier::Guaranteed;
        let work = task_work(group.spec).saturating_mul(group.tasks.len() as u64);
        (guaranteed || cost <= EVICTION_LOSS_FACTOR * work).then_some(eviction)
    }

    fn find_in_set(
        &self,
        group: &TaskGroup<'_>,
        workers: &[WorkerSnapshot],
        set: &[usize],
    ) -> Option<(u64, Eviction)> {
        let need = footprint(group.spec);
        let mut free: FastHashMap<usize, Resources> =
            set.iter().map(|index| (*index, workers[*index].free_after_stops)).collect();
        let mut allowed: FastHashMap<usize, u32> =
            set.iter().map(|index| (*index, step_allowance(group, &workers[*index]))).collect();
        let mut victims = FastHashSet::default();
        let mut placement = Vec::with_capacity(group.tasks.len());
        let mut freed_per_task = Vec::with_capacity(group.tasks.len());
        let mut total_cost = 0;
        for _ in &group.tasks {
            let candidates_per_worker =
                set.iter().filter(|index| allowed[index] > 0).filter_map(|index| {
                    let chosen =
                        self.victims_on(group, &workers[*index], free[index], need, &victims)?;
                    Some((
                        chosen
                            .iter()
                            .map(|run| eviction_loss(run, self.table, self.progress))
                            .sum::<u64>(),
                        *index,
                        chosen,
                    ))
                });
            let (cost, index, chosen) =
                candidates_per_worker.min_by_key(|(cost, index, _)| (*cost, *index))?;
            total_cost += cost;
            let footprints = chosen.iter().filter_map(|run| self.footprint_of(run));
            let freed = footprints.fold(Resources::default(), add);
            free.insert(index, subtract(add(free[&index], freed), need));
            freed_per_task.push(freed);
            allowed.entry(index).and_modify(|remaining| *remaining -= 1);
            victims.extend(chosen);
            placement.push(index);
        }
        let mut victims: Vec<RunId> = victims.into_iter().collect();
        victims.sort_unstable();
        Some((total_cost, Eviction { placement, freed: freed_per_task, victims }))
    }

    fn footprint_of(&self, run: &RunId) -> Option<Resources> {
        self.table.job(&run.task.job)?.step_spec(run.task.step).map(footprint)
    }

    /// Returns the runs of a worker to evict so that one task fits, in order of increasing loss.
    fn victims_on(
        &self,
        group: &TaskGroup<'_>,
        worker: &WorkerSnapshot,
        mut free: Resources,
        need: Resources,
        already_chosen: &FastHashSet<RunId>,
    ) -> Option<Vec<RunId>> {
        let mut chosen = Vec::new();
        if free.contains(&need) {
            return Some(chosen);
        }
        let mut candidates: Vec<&RunId> = worker
            .runs
            .iter()
            .filter(|run| !already_chosen.contains(run) && !self.stopping.contains(run))
            .filter(|run| self.may_evict(group, run))
            .collect();
        candidates
            .sort_by_key(|run| (eviction_loss(run, self.table, self.progress), (*run).clone()));
        for run in candidates {
            free = add(free, self.footprint_of(run).unwrap_or_default());
            chosen.push(run.clone());
            if free.contains(&need) {
                return Some(chosen);
            }
        }
        None
    }

    /// Returns `true` if the group may evict the run: only less urgent runs are evicted, and runs
    /// within a guarantee never are.
    fn may_evict(&self, group: &TaskGroup<'_>, run: &RunId) -> bool {
        let Some(job) = self.table.job(&run.task.job) else { return false };
        let submission = &job.submission;
        let guaranteed = submission.priority == 0
            && within_guarantee(
                submission.organisation.as_ref(),
                self.urgent_demand,
                self.configuration,
            );
        match group.urgency.tier {
            Tier::Guaranteed => !guaranteed,
            Tier::Priority(priority) => priority == 0 && submission.priority > 0,
            Tier::Overdue(_) => false,
        }
    }
}
