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

/// How far the runs are, in percent.
pub(crate) type Progress = FastHashMap<RunId, u8>;

/// The estimated loss in core-milliseconds; that of a gang's member is that of the whole gang.
pub(crate) fn loss_of(run: &RunId, table: &JobTable, progress: &Progress) -> u64 {
    let Some(spec) = table.job(&run.task.job).and_then(|job| job.step_spec(run.task.step)) else {
        return 0;
    };
    let percent = u64::from(progress.get(run).copied().unwrap_or(0));
    let worked_ms = spec.estimated_run_ms.get() * percent / 100;
    let lost_ms = if spec.checkpointing { worked_ms.min(RESUME_LOSS_MS) } else { worked_ms };
    let members = if spec.gang { u64::from(spec.task_count) } else { 1 };
    priced_cores_milli(spec) * (lost_ms + RESTART_LOSS_MS) / 1000 * members
}

/// The estimated work of one task in core-milliseconds.
pub(crate) fn work_of(spec: &StepSpec) -> u64 {
    priced_cores_milli(spec) * spec.estimated_run_ms.get() / 1000
}

fn priced_cores_milli(spec: &StepSpec) -> u64 {
    spec.demand.cores_milli
        + 1000 * CORES_PER_ACCELERATOR * u64::from(spec.demand.accelerator_count)
}
