//! Estimate of the work that is lost when a run is evicted.

use yuccatack_core::FastHashMap;
use yuccatack_runs::{JobTable, RunId, StepSpec};

/// Number of cores that one accelerator counts as. The platform prices work at this rate.
const CORES_PER_ACCELERATOR: u64 = 8;

/// Maximum loss of a run with checkpoints: it saves its progress when it is stopped, so only the
/// resume costs time.
const RESUME_LOSS_MS: u64 = 300;

/// Fixed loss of every stop: the end must be confirmed and the task placed again.
const RESTART_LOSS_MS: u64 = 200;

/// Evicting a run of an urgent job adds this many times its whole work to the loss, because the job
/// misses its objective when the run starts over. Urgent jobs are worth several times as much per
/// unit of work as others, and a late one is worth a fifth of that.
const URGENT_LOSS_FACTOR: u64 = 6;

/// Progress of each run, in percent.
pub(crate) type RunProgress = FastHashMap<RunId, u8>;

/// Returns the estimated loss in core-milliseconds if the run is evicted. The loss of a gang member
/// is that of the whole gang.
pub(crate) fn eviction_loss(run: &RunId, table: &JobTable, progress: &RunProgress) -> u64 {
    let Some(job) = table.job(&run.task.job) else { return 0 };
    let Some(spec) = job.step_spec(run.task.step) else { return 0 };
    let percent = u64::from(progress.get(run).copied().unwrap_or(0));
    let completed_ms = spec.estimated_run_ms.get().saturating_mul(percent) / 100;
    let lost_ms = if spec.checkpointing { completed_ms.min(RESUME_LOSS_MS) } else { completed_ms };
    let member_count = if spec.gang { u64::from(spec.task_count) } else { 1 };
    let urgent = job.submission.priority == 0;
    let lateness_penalty =
        if urgent { task_work(spec).saturating_mul(URGENT_LOSS_FACTOR) } else { 0 };
    let lost_work =
        weighted_cores_milli(spec).saturating_mul(lost_ms.saturating_add(RESTART_LOSS_MS)) / 1000;
    lost_work.saturating_add(lateness_penalty).saturating_mul(member_count)
}

/// Returns the estimated work of one task in core-milliseconds.
pub(crate) fn task_work(spec: &StepSpec) -> u64 {
    weighted_cores_milli(spec).saturating_mul(spec.estimated_run_ms.get()) / 1000
}

fn weighted_cores_milli(spec: &StepSpec) -> u64 {
    let accelerator_cores_milli =
        1000 * CORES_PER_ACCELERATOR * u64::from(spec.demand.accelerator_count);
    spec.demand.cores_milli.saturating_add(accelerator_cores_milli)
}
