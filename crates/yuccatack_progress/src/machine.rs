//! What is known of one machine.

use yuccatack_core::{DurationMs, TimestampMs};

use crate::estimate::{Estimate, MachineEstimate, Observation};
use crate::sample::RunKey;
use crate::summary::EstimateRecord;

/// Number of standard deviations by which a speed must differ from the typical one to count.
const DISTINCT_DEVIATIONS: f64 = 3.0;

/// Number of standard deviations below which a speed no longer counts as different. It is lower
/// than [`DISTINCT_DEVIATIONS`], so that an estimate at the limit does not change with each run.
const INDISTINCT_DEVIATIONS: f64 = 2.0;

/// Ratio to the typical speed from which a speed counts as different.
const MIN_DISTINCT_RATIO: f64 = 1.1;

/// Number of standard deviations from which a run contradicts the estimate.
const SURPRISE_DEVIATIONS: f64 = 3.0;

/// Number of standard deviations within which a run agrees with the estimate.
const AGREEMENT_DEVIATIONS: f64 = 2.0;

/// Number of runs from which an estimate can be contradicted.
const MIN_SETTLED_RUN_COUNT: u32 = 3;

/// Evidence from which a deviation is believed: one gang member, or two single tasks. One single
/// task may just take longer than others.
const MIN_DEVIATION_EVIDENCE: u32 = 2;

/// Number of runs after which a deviation counts as lasting.
const LASTING_RUN_COUNT: u32 = 8;

/// Time after the last run at which a deviation is forgotten. A machine that is avoided because it
/// is slow for some seconds would otherwise never be seen to have recovered.
const DEVIATION_RETENTION: DurationMs = DurationMs::new(10_000);

/// Growth of the variance with a new incarnation, which may run on other hardware.
const INCARNATION_VARIANCE: f64 = 0.04;

/// Growth of the variance per second without a counted run, so that new runs outweigh an estimate
/// that is hours old.
const IDLE_VARIANCE_PER_S: f64 = 0.000_005;

/// Recent runs that contradict the settled estimate.
#[derive(Clone, Copy, Debug)]
struct Deviation {
    estimate: Estimate,
    evidence: u32,
    last_run_at: TimestampMs,
}

/// Estimate that tells a temporary deviation from a lasting change.
#[derive(Clone, Copy, Debug)]
struct Track {
    settled: Estimate,
    deviation: Option<Deviation>,
}

impl Track {
    fn count(&mut self, observation: &Observation, now: TimestampMs) {
        let settled_distance = self.settled.distance(observation);
        if settled_distance <= AGREEMENT_DEVIATIONS {
            self.deviation = None;
        }
        if self.deviation.is_none()
            && (settled_distance <= SURPRISE_DEVIATIONS
                || self.settled.run_count < MIN_SETTLED_RUN_COUNT)
        {
            self.settled.add(observation);
            return;
        }
        let settled = self.settled;
        let deviation = self.deviation.get_or_insert_with(|| Deviation {
            estimate: Estimate::unknown(settled.log_speed),
            evidence: 0,
            last_run_at: now,
        });
        deviation.estimate.add(observation);
        deviation.evidence += if observation.equal_work { MIN_DEVIATION_EVIDENCE } else { 1 };
        deviation.last_run_at = now;
        if deviation.estimate.run_count >= LASTING_RUN_COUNT {
            self.settled = deviation.estimate;
            self.deviation = None;
        }
    }

    fn current(&self) -> Estimate {
        match &self.deviation {
            Some(deviation) if deviation.evidence >= MIN_DEVIATION_EVIDENCE => deviation.estimate,
            _ => self.settled,
        }
    }
}

/// Speed of one machine, with the runs that are still executing on it.
#[derive(Debug)]
pub(crate) struct Machine {
    /// Estimate from the runs that have ended.
    counted: Track,
    /// Runs in progress. Their observations still change, so they are not counted yet.
    running: Vec<(RunKey, Observation)>,
    /// Estimate with the runs in progress.
    current: Estimate,
    pub is_distinct: bool,
    /// `true` once the machine was reported as different from the typical one.
    pub reported: bool,
    /// Estimate that is stored with the replicated state.
    pub published: Option<EstimateRecord>,
    pub last_seen_at: TimestampMs,
    widened_at: TimestampMs,
}

impl Machine {
    pub fn new(estimate: Estimate, now: TimestampMs) -> Self {
        Self {
            counted: Track { settled: estimate, deviation: None },
            running: Vec::new(),
            current: estimate,
            is_distinct: false,
            reported: false,
            published: None,
            last_seen_at: now,
            widened_at: now,
        }
    }

    /// Returns the estimate from ended runs alone.
    pub fn counted(&self) -> Estimate {
        self.counted.current()
    }

    /// Returns the estimate from ended runs without a temporary deviation.
    pub fn settled(&self) -> Estimate {
        self.counted.settled
    }

    /// Returns the estimate with the runs in progress.
    pub fn current(&self) -> Estimate {
        self.current
    }

    /// Replaces what a run in progress tells about the machine.
    pub fn set_running(&mut self, run: &RunKey, observation: Observation, now: TimestampMs) {
        match self.running.iter_mut().find(|(other, _)| other == run) {
            Some((_, existing)) => *existing = observation,
            None => self.running.push((run.clone(), observation)),
        }
        self.update(now);
    }

    /// Counts a run that has ended. Without an observation, the run is only removed.
    pub fn end_run(&mut self, run: &RunKey, observation: Option<Observation>, now: TimestampMs) {
        self.running.retain(|(other, _)| other != run);
        if let Some(observation) = observation {
            self.counted.count(&observation, now);
            self.widened_at = now;
        }
        self.update(now);
    }

    /// Makes the estimate less certain and forgets the runs in progress.
    pub fn begin_incarnation(&mut self, now: TimestampMs) {
        self.counted.settled.widen(INCARNATION_VARIANCE);
        self.counted.deviation = None;
        self.running.clear();
        self.update(now);
    }

    /// Forgets a deviation without recent runs, and widens an estimate without runs.
    pub fn expire(&mut self, now: TimestampMs) {
        let is_over =
            |deviation: &Deviation| now.since(deviation.last_run_at) >= DEVIATION_RETENTION;
        if self.counted.deviation.as_ref().is_some_and(is_over) {
            self.counted.deviation = None;
        }
        let idle_ms = now.since(self.widened_at).get();
        if idle_ms >= 1_000 {
            self.counted.settled.widen(IDLE_VARIANCE_PER_S * idle_ms as f64 / 1_000.0);
            self.widened_at = now;
        }
        self.update(now);
    }

    fn update(&mut self, now: TimestampMs) {
        let mut track = self.counted;
        for (_, observation) in &self.running {
            track.count(observation, now);
        }
        self.current = track.current();
    }

    /// Updates whether the machine counts as different from the typical one.
    pub fn compare(&mut self, typical_log_speed: f64) {
        let difference = (self.current.log_speed - typical_log_speed).abs();
        let deviations = if self.is_distinct { INDISTINCT_DEVIATIONS } else { DISTINCT_DEVIATIONS };
        self.is_distinct = difference > deviations * self.current.variance.sqrt()
            && difference > MIN_DISTINCT_RATIO.ln();
    }

    /// Returns the estimate relative to the typical machine.
    pub fn estimate(&self, typical_log_speed: f64) -> MachineEstimate {
        MachineEstimate {
            speed: (self.current.log_speed - typical_log_speed).exp(),
            log_deviation: self.current.variance.sqrt(),
            run_count: self.current.run_count,
            is_distinct: self.is_distinct,
        }
    }
}
