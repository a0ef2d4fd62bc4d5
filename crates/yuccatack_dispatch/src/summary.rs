//! Summary of a scheduling pass for logs: what waits, and how the capacity is used.

use std::collections::BTreeMap;
use std::fmt;

use yuccatack_core::{DurationMs, JobName, TimestampMs};
use yuccatack_runs::JobTable;

use crate::capacity::WorkerSnapshot;
use crate::demand::TaskGroup;
use crate::pass::Pass;
use crate::placement::wait_cause;
use crate::restraint::WaitCause;

/// Interval of the summaries of what waits for capacity.
const SUMMARY_INTERVAL: DurationMs = DurationMs::new(1_000);

/// Latest summary that was not taken yet.
#[derive(Debug, Default)]
pub(crate) struct Summaries {
    latest: Option<PassSummary>,
    summarized_at: TimestampMs,
}

impl Summaries {
    /// Summarizes the pass if it left groups waiting and the interval has passed.
    pub fn update(&mut self, pass: &Pass<'_>) {
        if !pass.waiting.is_empty() && pass.now.since(self.summarized_at) >= SUMMARY_INTERVAL {
            self.summarized_at = pass.now;
            self.latest = Some(PassSummary::new(&pass.waiting, &pass.workers, pass.table));
        }
    }

    pub fn take(&mut self) -> Option<PassSummary> {
        self.latest.take()
    }
}

/// Amounts by the priority of the queue.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ByPriority(BTreeMap<u32, u64>);

impl ByPriority {
    fn add(&mut self, priority: u32, amount: u64) {
        *self.0.entry(priority).or_default() += amount;
    }

    /// Returns the amount of one priority.
    pub fn get(&self, priority: u32) -> u64 {
        self.0.get(&priority).copied().unwrap_or(0)
    }
}

impl fmt::Display for ByPriority {
    /// Writes for example `0:12 2:3`.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, (priority, amount)) in self.0.iter().enumerate() {
            let separator = if position > 0 { " " } else { "" };
            write!(formatter, "{separator}{priority}:{amount}")?;
        }
        Ok(())
    }
}

/// Task group that waits, and the reason.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingGroup {
    /// Job of the group.
    pub job: JobName,
    /// Time since the job was accepted, or its occurrence was due.
    pub waited_ms: DurationMs,
    cause: WaitCause,
}

impl WaitingGroup {
    /// Returns the reason, in a form for logs: the rule that keeps the group from free capacity, or
    /// `no_capacity`.
    pub fn cause(&self) -> impl fmt::Display {
        self.cause
    }
}

/// State at the end of a scheduling pass in which not every ready task could begin.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PassSummary {
    /// Ready tasks that did not begin.
    pub waiting_tasks: ByPriority,
    /// Those of them whose job has missed its objective by far.
    pub overdue_tasks: ByPriority,
    /// Accelerators of open runs.
    pub used_accelerators: ByPriority,
    /// Workers that may get new runs.
    pub available_worker_count: usize,
    /// Workers that may get none for now, since runs on them failed or stalled.
    pub quarantined_worker_count: usize,
    /// Accelerators of available workers that no run uses.
    pub free_accelerator_count: u32,
    /// CPU of available workers that no run uses, in thousandths of a core.
    pub free_cores_milli: u64,
    /// Memory of available workers that no run uses.
    pub free_memory_bytes: u64,
    /// Free accelerators on workers that are kept free for urgent work.
    pub held_accelerator_count: u32,
    /// Free accelerators on workers that are reserved for a group of this pass.
    pub reserved_accelerator_count: u32,
    /// Group that has waited longest.
    pub longest_waiting: Option<WaitingGroup>,
}

impl PassSummary {
    /// Summarizes a pass that left the groups in `waiting` without capacity.
    pub(crate) fn new(
        waiting: &[TaskGroup<'_>],
        workers: &[WorkerSnapshot],
        table: &JobTable,
    ) -> Self {
        let mut summary = Self {
            quarantined_worker_count: workers.iter().filter(|worker| worker.quarantined).count(),
            ..Self::default()
        };
        summary.available_worker_count = workers.len() - summary.quarantined_worker_count;
        let longest = waiting.iter().max_by_key(|group| group.waited_ms);
        summary.longest_waiting = longest.map(|group| WaitingGroup {
            job: group.job.submission.name.clone(),
            waited_ms: group.waited_ms,
            cause: wait_cause(group, workers),
        });
        for group in waiting {
            let (priority, task_count) = (group.job.submission.priority, group.tasks.len() as u64);
            summary.waiting_tasks.add(priority, task_count);
            if group.is_overdue() {
                summary.overdue_tasks.add(priority, task_count);
            }
        }
        for (run, open) in table.open_runs() {
            if let Some(job) = table.job(&run.task.job) {
                let count = u64::from(open.demand.accelerator_count);
                summary.used_accelerators.add(job.submission.priority, count);
            }
        }
        for worker in workers.iter().filter(|worker| !worker.quarantined) {
            let free = worker.free.accelerator_count;
            summary.free_accelerator_count += free;
            summary.free_cores_milli += worker.free.cores_milli;
            summary.free_memory_bytes += worker.free.memory_bytes;
            summary.held_accelerator_count += if worker.held_for_urgent { free } else { 0 };
            summary.reserved_accelerator_count += if worker.reserved { free } else { 0 };
        }
        summary
    }
}
