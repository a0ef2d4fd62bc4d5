//! Run in progress and its exposures to other images.

use std::sync::Arc;

use yuccatack_core::{DurationMs, TimestampMs};

use crate::exposure::{Exposure, Observation};
use crate::sample::Measure;

/// Maximum number of exposures of one run. Further combinations of neighbours are ignored.
const MAX_EXPOSURE_COUNT: usize = 8;

/// Longest time between two observations whose difference counts. A longer one may hide a change of
/// the neighbours, or a pause of the worker.
const MAX_GAP: DurationMs = DurationMs::new(2_000);

/// Number of latency samples after which a run that serves users counts as another run, because it
/// does not end. It is about a minute of polls.
const LATENCY_RUN_SAMPLE_COUNT: u32 = 400;

/// Latest observation of a run.
#[derive(Clone, Copy, Debug)]
struct Reading {
    exposure_index: usize,
    percent: u8,
    clock_ms: u64,
}

/// Run in progress.
#[derive(Debug)]
pub(crate) struct ObservedRun {
    pub image: Arc<str>,
    pub gang: bool,
    /// Natural logarithm of the speed of the run's machine.
    pub log_speed: f64,
    pub last_seen_at: TimestampMs,
    exposures: Vec<Exposure>,
    /// `None` while the run does not progress for reasons of its own.
    reading: Option<Reading>,
    /// Progress at the first observation; `None` before it.
    first_percent: Option<u8>,
    has_progressed: bool,
}

impl ObservedRun {
    pub fn new(image: Arc<str>, gang: bool, now: TimestampMs) -> Self {
        Self {
            image,
            gang,
            log_speed: 0.0,
            last_seen_at: now,
            exposures: Vec::new(),
            reading: None,
            first_percent: None,
            has_progressed: false,
        }
    }

    /// Adds an observation. Returns `true` if the run has been observed for so long that it counts.
    pub fn observe(&mut self, measure: Measure, neighbours: &[Arc<str>], clock_ms: u64) -> bool {
        let Some(exposure_index) = self.exposure_index(neighbours) else {
            self.reading = None;
            return false;
        };
        match measure {
            Measure::Progress { percent } => {
                self.observe_progress(exposure_index, percent, clock_ms);
                false
            }
            Measure::Latency { tail_ms } => {
                self.exposures[exposure_index].add_latency(tail_ms);
                let count: u32 = self.exposures.iter().map(Exposure::latency_sample_count).sum();
                count >= LATENCY_RUN_SAMPLE_COUNT
            }
            Measure::Unmeasured => false,
        }
    }

    fn observe_progress(&mut self, exposure_index: usize, percent: u8, clock_ms: u64) {
        // A run may restore a checkpoint before it progresses, and a member of a gang waits at 100
        // percent.
        self.has_progressed |= *self.first_percent.get_or_insert(percent) != percent;
        if !self.has_progressed || percent >= 100 {
            self.reading = None;
            return;
        }
        let exposure = &mut self.exposures[exposure_index];
        let earlier = self.reading.filter(|reading| {
            reading.exposure_index == exposure_index
                && reading.percent <= percent
                && reading.clock_ms <= clock_ms
                && clock_ms - reading.clock_ms <= MAX_GAP.get()
        });
        match earlier {
            Some(reading) => exposure
                .add_progress(u32::from(percent - reading.percent), clock_ms - reading.clock_ms),
            None => exposure.begin_period(),
        }
        self.reading = Some(Reading { exposure_index, percent, clock_ms });
    }

    fn exposure_index(&mut self, neighbours: &[Arc<str>]) -> Option<usize> {
        let found = self.exposures.iter().position(|exposure| exposure.neighbours == neighbours);
        if found.is_some() {
            return found;
        }
        if self.exposures.len() >= MAX_EXPOSURE_COUNT {
            return None;
        }
        self.exposures.push(Exposure::new(neighbours));
        Some(self.exposures.len() - 1)
    }

    /// Returns `true` if the latency of the run is measured.
    pub fn serves_users(&self) -> bool {
        self.exposures.iter().any(|exposure| exposure.latency_sample_count() > 0)
    }

    /// Returns what was measured, and begins anew.
    pub fn take_observations(&mut self) -> Vec<Observation> {
        self.reading = None;
        let exposures = std::mem::take(&mut self.exposures);
        exposures.iter().filter_map(Exposure::observation).collect()
    }
}
