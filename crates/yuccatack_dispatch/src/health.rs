//! Which workers fail, hang or slow down what they run.

use yuccatack_core::{DurationMs, FastHashMap, TimestampMs};
use yuccatack_runs::{RunId, RunOutcome};

use crate::protocol::RunningRun;

/// Failures in a row, without a task done in between, after which a worker is set aside. One failure
/// is as likely the fault of the task.
const FAILURE_LIMIT: u32 = 2;

/// How long a worker is set aside the first time; doubled each further time in a row.
const FIRST_REST: DurationMs = DurationMs::new(4_000);

/// The longest time that a worker is set aside.
const LONGEST_REST: DurationMs = DurationMs::new(16_000);

/// A worker gets last attempts again this long after a failure. Jobs that fail everywhere would
/// otherwise take the trust of all workers, and with it the room for every last attempt.
const TRUST_REGAIN: DurationMs = DurationMs::new(4_000);

/// A run whose progress stands still for this long is stuck. Tasks of the deployments last up to
/// eleven seconds, so that a sound one shows progress several times in that time.
const STALL_LIMIT: DurationMs = DurationMs::new(3_000);

/// How many looks must show the same progress. A leader that was paused would otherwise take its own
/// pause for the run's.
const STALL_LOOK_COUNT: u32 = 6;

/// The progress of a run and since when it is the same.
#[derive(Debug)]
struct Seen {
    percent: u8,
    since_clock_ms: u64,
    look_count: u32,
}

/// What a worker's runs have shown.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failures_in_a_row: u32,
    rests_in_a_row: u32,
    resting_until: Option<TimestampMs>,
    /// The last failure since the last task that was done.
    failed_at: Option<TimestampMs>,
    progress: FastHashMap<RunId, Seen>,
}

impl Health {
    /// Whether the worker may get new work.
    pub fn is_usable(&self, now: TimestampMs) -> bool {
        self.resting_until.is_none_or(|until| now >= until)
    }

    /// Whether nothing failed lately, so that the worker may get a task's last attempt.
    pub fn is_trusted(&self, now: TimestampMs) -> bool {
        self.failed_at.is_none_or(|failed_at| now.since(failed_at) >= TRUST_REGAIN)
    }

    /// How far a run is, in percent.
    pub fn percent(&self, run: &RunId) -> Option<u8> {
        self.progress.get(run).map(|seen| seen.percent)
    }

    /// How far each run is, in percent.
    pub fn progress(&self) -> impl Iterator<Item = (&RunId, u8)> {
        self.progress.iter().map(|(run, seen)| (run, seen.percent))
    }

    pub fn on_end(&mut self, run: &RunId, outcome: RunOutcome, now: TimestampMs) {
        self.progress.remove(run);
        match outcome {
            RunOutcome::Done => {
                self.failures_in_a_row = 0;
                self.rests_in_a_row = 0;
                self.resting_until = None;
                self.failed_at = None;
            }
            RunOutcome::Failed => {
                self.failures_in_a_row += 1;
                self.failed_at = Some(now);
                if self.failures_in_a_row >= FAILURE_LIMIT {
                    self.rest(now);
                }
            }
            _ => {}
        }
    }

    /// Sets the worker aside for a while.
    pub fn rest(&mut self, now: TimestampMs) {
        if !self.is_usable(now) {
            return;
        }
        let doubled_ms = FIRST_REST.get() << self.rests_in_a_row.min(8);
        self.resting_until = Some(now + DurationMs::new(doubled_ms.min(LONGEST_REST.get())));
        self.rests_in_a_row += 1;
    }

    /// Notes how far the runs are, and returns those that stand still.
    pub fn on_running(&mut self, running: &[RunningRun], clock_ms: u64) -> Vec<RunId> {
        let mut stalled = Vec::new();
        for row in running {
            let fresh = Seen { percent: row.percent, since_clock_ms: clock_ms, look_count: 0 };
            let seen = self.progress.entry(row.run.clone()).or_insert(fresh);
            if seen.percent != row.percent {
                *seen = Seen { percent: row.percent, since_clock_ms: clock_ms, look_count: 0 };
            }
            seen.look_count += 1;
            let still_ms = clock_ms.saturating_sub(seen.since_clock_ms);
            if still_ms >= STALL_LIMIT.get() && seen.look_count >= STALL_LOOK_COUNT {
                stalled.push(row.run.clone());
            }
        }
        if self.progress.len() > running.len() {
            self.progress.retain(|run, _| running.iter().any(|row| row.run == *run));
        }
        stalled
    }
}
