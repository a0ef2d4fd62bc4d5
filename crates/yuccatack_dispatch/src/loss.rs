//! How much work is thrown away when a run stops.

use yuccatack_core::FastHashMap;
use yuccatack_runs::{JobTable, RunId, StepSpec};

/// An accelerator counts as this many cores, as the platform prices work.
const CORES_PER_ACCELERATOR: u64 = 8;

/// What a run that saves its progress loses at most: it saves when it stops, and pays for the
/// restart.
const RESUME_LOSS_MS: u64 = 300;

/// What every stop costs: the end must be confirmed and the task placed again.
const RESTART_LOSS_MS: u64 = 200;

/// A run of an urgent job counts as this many times its whole work on top of what it loses, since
/// its job is late if it begins again. Urgent jobs earn several times as much for their work as
/// others, and a late one earns a fifth.
const URGENT_LOSS_FACTOR: u64 = 6;

/// How far the runs are, in percent.
pub(crate) type Progress = FastHashMap<RunId, u8>;

/// The estimated loss in core-milliseconds; that of a gang's member is that of the whole gang.
pub(crate) fn loss_of(run: &RunId, table: &JobTable, progress: &Progress) -> u64 {
    let Some(job) = table.job(&run.task.job) else { return 0 };
    let Some(spec) = job.step_spec(run.task.step) else { return 0 };
    let percent = u64::from(progress.get(run).copied().unwrap_or(0));
    let worked_ms = spec.estimated_run_ms.get() * percent / 100;
    let lost_ms = if spec.checkpointing { worked_ms.min(RESUME_LOSS_MS) } else { worked_ms };
    let members = if spec.gang { u64::from(spec.task_count) } else { 1 };
    let urgent = job.submission.priority == 0;
    let lateness = if urgent { URGENT_LOSS_FACTOR * work_of(spec) } else { 0 };
    (priced_cores_milli(spec) * (lost_ms + RESTART_LOSS_MS) / 1000 + lateness) * members
}

/// The estimated work of one task in core-milliseconds.
pub(crate) fn work_of(spec: &StepSpec) -> u64 {
    priced_cores_milli(spec) * spec.estimated_run_ms.get() / 1000
}

fn priced_cores_milli(spec: &StepSpec) -> u64 {
    spec.demand.cores_milli
        + 1000 * CORES_PER_ACCELERATOR * u64::from(spec.demand.accelerator_count)
}
