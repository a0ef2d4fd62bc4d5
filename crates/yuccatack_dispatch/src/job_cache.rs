//! Values derived from the specification or the progress of each unfinished job.

use yuccatack_core::FastHashMap;
use yuccatack_runs::Job;

/// Number of steps for which a pass computes values again. The jobs take
/// turns if all unfinished ones have more steps.
const REFRESHED_STEP_COUNT: usize = 4_096;

/// One value for each unfinished job, by the order of the job.
#[derive(Debug)]
pub(crate) struct JobCache<Value> {
    values: FastHashMap<u64, Value>,
    /// Order of the job whose turn it is.
    next_order: u64,
}

impl<Value> Default for JobCache<Value> {
    fn default() -> Self {
        Self { values: FastHashMap::default(), next_order: 0 }
    }
}

impl<Value> JobCache<Value> {
    /// Computes missing values and, in turn, some of the others. Forgets all other jobs.
    pub fn refresh<Compute>(&mut self, jobs: &[&Job], compute: Compute)
    where
        Compute: Fn(&Job) -> Value,
    {
        let step_count = |job: &Job| job.submission.spec.steps.len();
        if jobs.iter().map(|job| step_count(job)).sum::<usize>() <= REFRESHED_STEP_COUNT {
            self.values = jobs.iter().map(|job| (job.order, compute(job))).collect();
            return;
        }
        let mut earlier = std::mem::take(&mut self.values);
        let mut in_turn = jobs.to_vec();
        in_turn.sort_unstable_by_key(|job| (job.order < self.next_order, job.order));
        let mut remaining_count = REFRESHED_STEP_COUNT;
        self.next_order = 0;
        for job in in_turn {
            let kept = earlier.remove(&job.order).filter(|_| remaining_count == 0);
            if kept.is_some() && self.next_order == 0 {
                self.next_order = job.order;
            }
            let value = kept.unwrap_or_else(|| {
                remaining_count = remaining_count.saturating_sub(step_count(job));
                compute(job)
            });
            self.values.insert(job.order, value);
        }
    }

    /// Returns the value of a job that was unfinished at the last refresh.
    pub fn get(&self, job: &Job) -> Option<&Value> {
        self.values.get(&job.order)
    }
}
