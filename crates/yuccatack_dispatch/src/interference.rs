//! Pairs of images that slow each other, and the order of workers that follows from them.
//!
//! Load pattern: workers run tasks of several images side by side, and some of these images take
//! much longer beside certain others. Where there is room, such images are kept apart.

use std::sync::Arc;

use yuccatack_core::{DurationMs, FastHashMap, TimestampMs};
use yuccatack_interference::{InterferenceModel, Measure, RunSample, WorkerSample};
use yuccatack_runs::{JobTable, StepSpec};

use crate::demand::TaskGroup;
use crate::protocol::{Observation, RunningRun};

/// Interval at which steps and runs that are gone are forgotten.
const EXPIRY_INTERVAL: DurationMs = DurationMs::new(1_000);

/// Pairs of images that are known to slow each other, with the sum of both slowdowns in percent.
#[derive(Debug, Default)]
struct SlowPairs {
    partners: FastHashMap<Arc<str>, Vec<(Arc<str>, u32)>>,
}

impl SlowPairs {
    fn new(model: &InterferenceModel) -> Self {
        let mut pairs = Self::default();
        for pair in model.pairs() {
            let percent = ((pair.slowdown - 1.0) * 100.0).round() as u32;
            pairs.add(&pair.image, &pair.other, percent);
            pairs.add(&pair.other, &pair.image, percent);
        }
        pairs
    }

    fn add(&mut self, image: &Arc<str>, other: &Arc<str>, percent: u32) {
        let partners = self.partners.entry(Arc::clone(image)).or_default();
        match partners.iter_mut().find(|(partner, _)| partner == other) {
            Some((_, sum)) => *sum += percent,
            None => partners.push((Arc::clone(other), percent)),
        }
    }

    /// Returns the images that slow the image, or are slowed by it, with the slowdowns in percent.
    fn partners(&self, image: Option<&Arc<str>>) -> &[(Arc<str>, u32)] {
        let partners = image.and_then(|image| self.partners.get(image));
        partners.map_or(&[], Vec::as_slice)
    }
}

/// Returns the slowdowns in percent that a task with these partners suffers or causes beside runs
/// of `images`.
pub(crate) fn slowdown_percent(partners: &[(Arc<str>, u32)], images: &[Arc<str>]) -> u32 {
    let present = partners.iter().filter(|(partner, _)| images.contains(partner));
    present.map(|(_, percent)| percent).sum()
}

/// Returns the slowdowns in percent that a task of the group suffers or causes beside another one.
pub(crate) fn own_slowdown_percent(group: &TaskGroup<'_>) -> u32 {
    group
        .spec
        .image
        .as_ref()
        .map_or(0, |image| slowdown_percent(&group.slow_partners, std::slice::from_ref(image)))
}

/// Learns from the observations of workers which images slow each other.
#[derive(Debug, Default)]
pub(crate) struct Interference {
    model: InterferenceModel,
    pairs: SlowPairs,
    expired_at: TimestampMs,
}

impl Interference {
    /// Tells the groups which images slow their tasks or are slowed by them.
    pub fn set_partners(&self, groups: &mut [TaskGroup<'_>]) {
        if self.pairs.partners.is_empty() {
            return;
        }
        for group in groups {
            group.slow_partners = self.pairs.partners(group.spec.image.as_ref()).to_vec();
        }
    }

    /// Returns the number of pairs that are known, each direction counted by itself.
    pub fn known_pair_count(&self) -> usize {
        self.model.known_pair_count()
    }

    /// Handles an observation of a worker whose machine has this speed.
    pub fn on_observation(
        &mut self,
        observation: &Observation,
        speed: f64,
        table: &JobTable,
        now: TimestampMs,
    ) {
        let row = |row: &RunningRun| {
            let job = table.job(&row.run.task.job)?;
            let spec = job.step_spec(row.run.task.step)?;
            let image = Arc::clone(spec.image.as_ref()?);
            let measure = measure(row, spec);
            Some(RunSample { run: row.run.clone(), image, gang: spec.gang, measure })
        };
        let runs: Vec<RunSample> = observation.running.iter().filter_map(row).collect();
        if !runs.is_empty() {
            let clock_ms = observation.clock_ms;
            self.model.on_progress(&WorkerSample { clock_ms, speed, runs }, now);
        }
        observation.ended.iter().for_each(|ended| self.model.on_end(&ended.run, now));
    }

    /// Updates the known pairs and logs new ones, once a second.
    pub fn update(&mut self, now: TimestampMs) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        self.model.expire(now);
        for pair in self.model.take_newly_known() {
            log::info!(
                event = "slow_pair_known", image = &*pair.image, other = &*pair.other,
                slowdown = pair.slowdown, deviation = pair.log_deviation, runs = pair.run_count;
                "runs of the image are slower beside runs of the other one; they are kept apart \
                 where there is room"
            );
        }
        if self.model.known_pair_count() > 0 || !self.pairs.partners.is_empty() {
            self.pairs = SlowPairs::new(&self.model);
        }
    }
}

/// Returns what shows how fast a run proceeds. Tasks that use idle CPU time proceed as fast as the
/// load of the worker lets them, whatever images cause it.
fn measure(row: &RunningRun, spec: &StepSpec) -> Measure {
    match row.load {
        Some(tail_ms) if spec.latency_target_ms.is_some() => Measure::Latency { tail_ms },
        _ if spec.long_running || spec.uses_idle_cpu => Measure::Unmeasured,
        _ => Measure::Progress { percent: row.percent },
    }
}
