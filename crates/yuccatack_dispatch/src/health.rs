//! Health of a worker, judged by the failures and the progress of its runs.

use std::sync::Arc;

use yuccatack_core::{DurationMs, FastHashMap, TimestampMs};
use yuccatack_runs::{RunId, RunOutcome};

use crate::protocol::{RunningRun, StartResult};

/// Number of consecutive failures, without a completed task in between, after which a worker is
/// quarantined. A single failure is as likely to be caused by the task.
const QUARANTINE_FAILURE_COUNT: u32 = 2;

/// Length of the first quarantine of a worker; doubled for each consecutive one.
const INITIAL_QUARANTINE_MS: DurationMs = DurationMs::new(4_000);

/// Upper bound on the length of a quarantine.
const MAX_QUARANTINE_MS: DurationMs = DurationMs::new(16_000);

/// Time for which other workers are preferred to one that did not carry out a start, or that
/// restarted; doubled each time until a run completes there. Without it, the same group is placed
/// there again at once.
const INITIAL_BACKOFF_MS: DurationMs = DurationMs::new(1_000);

/// Upper bound on that time.
const MAX_BACKOFF_MS: DurationMs = DurationMs::new(8_000);

/// Time after a failure until a worker gets last attempts again. Without this limit, jobs that fail
/// everywhere would leave no worker for the last attempt of any task.
const RELIABILITY_RECOVERY_MS: DurationMs = DurationMs::new(4_000);

/// Shortest time without progress after which a run counts as stalled. A healthy run of up to half a
/// minute reports progress several times within this time.
const MIN_STALL_TIMEOUT_MS: DurationMs = DurationMs::new(3_000);

/// Time without progress after which a run counts as stalled, in percent of its predicted run time.
/// Progress is reported in whole percents, and a run may take several times as long as predicted.
const STALL_TIMEOUT_PERCENT: u64 = 10;

/// Number of observations that must show the same progress. A leader that was paused itself would
/// otherwise take its own pause for a stall of the run.
const STALL_SAMPLE_COUNT: u32 = 6;

/// Progress below which a run must have been seen first for its run time to be measured.
const MAX_FIRST_PERCENT: u8 = 50;

/// Observations of a run: the first one, and the series of those at the current progress.
#[derive(Debug)]
struct ProgressSamples {
    first_percent: u8,
    first_clock_ms: u64,
    percent: u8,
    since_clock_ms: u64,
    sample_count: u32,
    /// Latest checkpoint that the worker listed for the run.
    checkpoint: Option<Arc<str>>,
}

/// Failures and progress of a worker's runs.
#[derive(Debug, Default)]
pub(crate) struct Health {
    consecutive_failures: u32,
    consecutive_quarantines: u32,
    quarantined_until: Option<TimestampMs>,
    /// Starts that were not carried out, and restarts, since the last completed task.
    backoff_count: u32,
    backs_off_until: Option<TimestampMs>,
    /// Time of the last failure; `None` if no run has failed since the last completed task.
    failed_at: Option<TimestampMs>,
    progress: FastHashMap<RunId, ProgressSamples>,
}

impl Health {
    /// Returns `true` unless the worker is quarantined.
    pub fn is_usable(&self, now: TimestampMs) -> bool {
        self.quarantined_until.is_none_or(|until| now >= until)
    }

    /// Returns the end of the quarantine, which may be over.
    pub fn quarantined_until(&self) -> Option<TimestampMs> {
        self.quarantined_until
    }

    /// Returns `true` for a time after a restart or a start that was not carried out.
    pub fn is_backing_off(&self, now: TimestampMs) -> bool {
        self.backs_off_until.is_some_and(|until| now < until)
    }

    /// Returns the number of failures of any kind since the last completed task.
    pub fn failure_count(&self) -> u32 {
        self.consecutive_failures + self.backoff_count
    }

    pub fn on_start_result(&mut self, result: StartResult, now: TimestampMs) {
        match result {
            StartResult::Begun => {}
            StartResult::NoRoom | StartResult::Refused | StartResult::Unknown => self.back_off(now),
        }
    }

    /// Keeps the record of the worker's earlier incarnation, which ended without an announcement.
    pub fn on_restart(&mut self, now: TimestampMs) {
        self.progress.clear();
        self.back_off(now);
    }

    fn back_off(&mut self, now: TimestampMs) {
        let doubled_ms = INITIAL_BACKOFF_MS.get() << self.backoff_count.min(8);
        self.backoff_count += 1;
        self.backs_off_until = Some(now + DurationMs::new(doubled_ms.min(MAX_BACKOFF_MS.get())));
    }

    /// Returns `true` if no run failed recently, so that the worker may get a task's last attempt.
    pub fn is_reliable(&self, now: TimestampMs) -> bool {
        self.failed_at.is_none_or(|failed_at| now.since(failed_at) >= RELIABILITY_RECOVERY_MS)
    }

    /// Returns the latest checkpoint that the worker listed for a run.
    pub fn checkpoint(&self, run: &RunId) -> Option<Arc<str>> {
        self.progress.get(run)?.checkpoint.clone()
    }

    /// Returns the progress of a run, in percent.
    pub fn percent(&self, run: &RunId) -> Option<u8> {
        self.progress.get(run).map(|samples| samples.percent)
    }

    /// Returns the progress of each run, in percent.
    pub fn progress(&self) -> impl Iterator<Item = (&RunId, u8)> {
        self.progress.iter().map(|(run, samples)| (run, samples.percent))
    }

    /// Returns the run time of a run that has just completed, scaled up if it was first seen later
    /// than at its start. Returns `None` if it was seen too late or not at all.
    pub fn run_time_ms(&self, run: &RunId, clock_ms: u64) -> Option<DurationMs> {
        let samples = self.progress.get(run)?;
        if samples.first_percent > MAX_FIRST_PERCENT {
            return None;
        }
        let elapsed_ms = clock_ms.saturating_sub(samples.first_clock_ms);
        Some(DurationMs::new(elapsed_ms * 100 / u64::from(100 - samples.first_percent)))
    }

    pub fn on_end(&mut self, run: &RunId, outcome: RunOutcome, now: TimestampMs) {
        self.progress.remove(run);
        match outcome {
            RunOutcome::Done => {
                self.consecutive_failures = 0;
                self.consecutive_quarantines = 0;
                self.quarantined_until = None;
                self.failed_at = None;
                self.backoff_count = 0;
                self.backs_off_until = None;
            }
            RunOutcome::Failed => {
                self.consecutive_failures += 1;
                self.failed_at = Some(now);
                if self.consecutive_failures >= QUARANTINE_FAILURE_COUNT {
                    self.quarantine(now);
                }
            }
            _ => {}
        }
    }

    /// Quarantines the worker, unless it already is.
    pub fn quarantine(&mut self, now: TimestampMs) {
        if !self.is_usable(now) {
            return;
        }
        let doubled_ms = INITIAL_QUARANTINE_MS.get() << self.consecutive_quarantines.min(8);
        self.quarantined_until =
            Some(now + DurationMs::new(doubled_ms.min(MAX_QUARANTINE_MS.get())));
        self.consecutive_quarantines += 1;
    }

    /// Records the progress of the running runs. Returns those that have shown none for a while, and
    /// for how long.
    pub fn on_running(
        &mut self,
        running: &[RunningRun],
        clock_ms: u64,
    ) -> Vec<(RunId, DurationMs)> {
        let mut unchanged = Vec::new();
        for row in running {
            let initial = ProgressSamples {
                first_percent: row.percent,
                first_clock_ms: clock_ms,
                percent: row.percent,
                since_clock_ms: clock_ms,
                sample_count: 0,
                checkpoint: None,
            };
            let samples = self.progress.entry(row.run.clone()).or_insert(initial);
            if samples.percent != row.percent {
                samples.percent = row.percent;
                samples.since_clock_ms = clock_ms;
                samples.sample_count = 0;
            }
            samples.sample_count += 1;
            if row.checkpoint.is_some() {
                samples.checkpoint.clone_from(&row.checkpoint);
            }
            let unchanged_ms = DurationMs::new(clock_ms.saturating_sub(samples.since_clock_ms));
            if unchanged_ms >= MIN_STALL_TIMEOUT_MS && samples.sample_count >= STALL_SAMPLE_COUNT {
                unchanged.push((row.run.clone(), unchanged_ms));
            }
        }
        if self.progress.len() > running.len() {
            self.progress.retain(|run, _| running.iter().any(|row| row.run == *run));
        }
        unchanged
    }
}

/// Returns the time without progress after which a run of this predicted length counts as stalled.
pub(crate) fn stall_timeout(run_time_ms: DurationMs) -> DurationMs {
    let share_ms = run_time_ms.get().saturating_mul(STALL_TIMEOUT_PERCENT) / 100;
    MIN_STALL_TIMEOUT_MS.max(DurationMs::new(share_ms))
}
