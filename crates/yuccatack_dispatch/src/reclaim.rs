//! Selection of the runs to evict for a more urgent task group.

use yuccatack_core::{FastHashMap, FastHashSet, Resources};
use yuccatack_runs::{RunId, StepSpec};

use crate::capacity::{WorkerSnapshot, add, footprint, subtract};
use crate::demand::{TaskGroup, Tier, within_guarantee};
use crate::loss::{RunProgress, eviction_loss, task_work};
use crate::pass::Pass;
use crate::placement::{Placement, candidate_sets};
use crate::restraint::Waivers;
use crate::speed_range::SpeedRange;

/// A group without a guarantee may cause evictions that lose at most this many times its own work.
/// Beyond that, the lost work costs more than the group is worth.
const EVICTION_LOSS_FACTOR: u64 = 2;

/// Inputs of the search for runs to evict.
pub(crate) struct Reclaim<'a, 'p> {
    pub pass: &'a Pass<'p>,
    /// Runs that are already being stopped.
    pub stopping: &'a FastHashSet<RunId>,
    pub progress: &'a RunProgress,
    /// Tier that determines which runs the group may evict, and at which loss.
    pub tier: Tier,
}

/// Placement of a group that becomes possible once the victims have stopped.
#[derive(Debug)]
pub(crate) struct Eviction {
    pub placement: Placement,
    /// Resources that the victims release on the worker of each task, in the order of the tasks.
    pub freed: Vec<Resources>,
    pub victims: Vec<RunId>,
}

/// Runs chosen so far in the search for one group.
#[derive(Clone, Debug, Default)]
struct Victims {
    runs: FastHashSet<RunId>,
    loss: u64,
    /// Fraction of the service's capacity that the runs of each priority release.
    released_fractions: FastHashMap<u32, f64>,
}

impl Reclaim<'_, '_> {
    /// Finds the runs with the smallest loss whose eviction lets the group fit on workers of a range
    /// of speed classes.
    ///
    /// Returns `None` if no eviction makes the group fit, or if the loss is out of proportion to
    /// the work of a group without a guarantee.
    pub fn find(&self, group: &TaskGroup<'_>, range: SpeedRange) -> Option<Eviction> {
        let workers = &self.pass.workers;
        let sets = candidate_sets(group, workers, Waivers::NONE);
        let evictions = sets.iter().filter_map(|set| {
            let in_range: Vec<usize> =
                set.iter().copied().filter(|index| range.contains(&workers[*index])).collect();
            self.find_in_set(group, workers, &in_range)
        });
        let (loss, eviction) = evictions.min_by_key(|(loss, _)| *loss)?;
        // Guaranteed capacity is reclaimed at any cost to other organisations.
        let guaranteed = self.tier == Tier::Guaranteed;
        let work = task_work(group.spec).saturating_mul(group.tasks.len() as u64);
        (guaranteed || loss <= EVICTION_LOSS_FACTOR * work).then_some(eviction)
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
            set.iter().map(|index| (*index, workers[*index].step_allowance(group))).collect();
        let mut victims = Victims::default();
        let mut placement = Vec::with_capacity(group.tasks.len());
        let mut freed_per_task = Vec::with_capacity(group.tasks.len());
        for _ in group.tasks.clone() {
            let candidates_per_worker =
                set.iter().filter(|index| allowed[index] > 0).filter_map(|index| {
                    let chosen = self.victims_on(group, &workers[*index], free[index], &victims)?;
                    Some((*index, chosen))
                });
            let (index, chosen) =
                candidates_per_worker.min_by_key(|(index, chosen)| (chosen.loss, *index))?;
            let added = chosen.runs.difference(&victims.runs);
            let footprints = added.filter_map(|run| self.spec_of(run)).map(footprint);
            let freed = footprints.fold(Resources::default(), add);
            free.insert(index, subtract(add(free[&index], freed), need));
            freed_per_task.push(freed);
            allowed.entry(index).and_modify(|remaining| *remaining -= 1);
            victims = chosen;
            placement.push(index);
        }
        let mut runs: Vec<RunId> = victims.runs.into_iter().collect();
        runs.sort_unstable();
        Some((victims.loss, Eviction { placement, freed: freed_per_task, victims: runs }))
    }

    /// Adds runs of a worker to the victims, in order of increasing loss, until one task fits.
    fn victims_on(
        &self,
        group: &TaskGroup<'_>,
        worker: &WorkerSnapshot,
        mut free: Resources,
        victims: &Victims,
    ) -> Option<Victims> {
        let need = footprint(group.spec);
        let mut victims = victims.clone();
        if free.contains(&need) {
            return Some(victims);
        }
        let mut candidates: Vec<(u64, &RunId)> = worker
            .runs
            .iter()
            .filter(|run| !victims.runs.contains(run) && !self.stopping.contains(run))
            .filter(|run| self.may_evict(run) && !self.ends_soon(run, worker))
            .map(|run| (eviction_loss(run, self.pass.table, self.progress), run))
            .collect();
        candidates.sort_unstable();
        let mut protected = Vec::new();
        for (loss, run) in candidates {
            if !self.release_surplus(run, &mut victims) {
                protected.push((loss, run));
                continue;
            }
            free = add(free, self.spec_of(run).map(footprint).unwrap_or_default());
            victims.loss += loss;
            victims.runs.insert(run.clone());
            if free.contains(&need) {
                return Some(victims);
            }
        }
        if self.tier != Tier::Guaranteed {
            return None;
        }
        for (loss, run) in protected {
            free = add(free, self.spec_of(run).map(footprint).unwrap_or_default());
            // The whole work counts on top, so that runs beyond a minimum share go first.
            victims.loss += loss + self.spec_of(run).map_or(0, task_work);
            victims.runs.insert(run.clone());
            if free.contains(&need) {
                return Some(victims);
            }
        }
        None
    }

    /// Counts the capacity of the run as released. Returns `false` if its priority would fall below
    /// its minimum share.
    fn release_surplus(&self, run: &RunId, victims: &mut Victims) -> bool {
        let Some(job) = self.pass.table.job(&run.task.job) else { return true };
        let Some(spec) = job.step_spec(run.task.step) else { return true };
        let (service, priority) = (&job.submission.service, job.submission.priority);
        let fraction = self.pass.shares.dominant_fraction(service, spec);
        let released_fraction = victims.released_fractions.entry(priority).or_default();
        let surplus_fraction = self.pass.shares.surplus_fraction(service, priority);
        let allowed = *released_fraction + fraction <= surplus_fraction;
        *released_fraction += if allowed { fraction } else { 0.0 };
        allowed
    }

    fn spec_of(&self, run: &RunId) -> Option<&StepSpec> {
        self.pass.table.job(&run.task.job)?.step_spec(run.task.step)
    }

    /// Returns `true` if the run ends before it would have stopped. Not predicted while the speeds of
    /// the machines are unknown.
    fn ends_soon(&self, run: &RunId, worker: &WorkerSnapshot) -> bool {
        let stop_timeout_ms = self.pass.stop_timeout_ms.get();
        self.pass.speed_classes.differ(&worker.service)
            && self.pass.remaining_ms(run, worker).is_some_and(|left| left <= stop_timeout_ms)
    }

    /// Returns `true` if the group may evict the run: only less urgent runs are evicted, and runs
    /// within a guarantee never are.
    fn may_evict(&self, run: &RunId) -> bool {
        let Some(job) = self.pass.table.job(&run.task.job) else { return false };
        let submission = &job.submission;
        let guaranteed = submission.priority == 0
            && within_guarantee(
                submission.organisation.as_ref(),
                &self.pass.urgent_demand,
                self.pass.configuration,
            );
        match self.tier {
            Tier::Guaranteed => !guaranteed,
            Tier::Urgent => submission.priority > 0,
            Tier::MinimumShare(_) | Tier::LateUrgent | Tier::Priority(_) | Tier::Overdue(_) => {
                false
            }
        }
    }
}
