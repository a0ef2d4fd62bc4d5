//! Regression of an image's log rates on the images beside its runs.
//!
//! The slowdowns by all neighbours are estimated together, so that an image that is often beside a
//! harmful one is not blamed for it. The estimate is a normal distribution that is updated run by
//! run, as in a Kalman filter. The level of each run is a further unknown, which makes changes
//! within a run count for much and differences between runs for little.

use std::sync::Arc;

use yuccatack_core::TimestampMs;

use crate::exposure::Observation;
use crate::step_level::Level;

/// Maximum number of neighbours of an image. The one that was seen longest ago makes room.
const MAX_NEIGHBOUR_COUNT: usize = 16;

/// Variance of the log slowdown by an image about which nothing is known.
const PRIOR_VARIANCE: f64 = 0.09;

/// Growth of the variance with each run, so that the estimate follows lasting changes.
const DRIFT_VARIANCE: f64 = 0.000_1;

/// Variance of the level of a run that cannot be compared with others of its step.
const UNKNOWN_LEVEL_VARIANCE: f64 = 4.0;

/// Part of the runs and exposures that are slow for a reason of their own.
const TAIL_PROBABILITY: f64 = 0.03;

/// Variance of the level of such runs, which take about 7 times as long.
const RUN_TAIL_VARIANCE: f64 = 3.8;

/// Variance of such exposures within a run.
const EXPOSURE_TAIL_VARIANCE: f64 = 0.5;

/// Smallest slowdown that matters, as a natural logarithm: 10%.
const MIN_LOG_SLOWDOWN: f64 = 0.095_31;

/// Number of standard deviations between the estimate and the lower bound of its confidence interval,
/// which has 99%.
const CONFIDENCE_DEVIATION_COUNT: f64 = 2.6;

/// Number of runs below which a pair stays unknown, however clear they are.
const MIN_RUN_COUNT: u32 = 4;

/// What is known about the slowdown by one image.
#[derive(Clone, Debug)]
pub(crate) struct Neighbour {
    pub image: Arc<str>,
    pub run_count: u32,
    pub is_known: bool,
    last_seen_at: TimestampMs,
}

/// Joint distribution of the log slowdowns of an image by its neighbours.
#[derive(Debug, Default)]
pub(crate) struct Regression {
    neighbours: Vec<Neighbour>,
    means: Vec<f64>,
    /// Rows of the covariance matrix.
    covariance: Vec<Vec<f64>>,
}

impl Regression {
    /// Returns the neighbours with the expected log slowdowns and their standard deviations.
    pub fn neighbours(&self) -> impl Iterator<Item = (&Neighbour, f64, f64)> {
        let estimates = self.neighbours.iter().zip(&self.means).enumerate();
        estimates.map(|(index, (neighbour, mean))| {
            (neighbour, *mean, self.covariance[index][index].max(0.0).sqrt())
        })
    }

    /// Returns the expected log slowdown by `image`, 0 while it is unknown.
    pub fn known_log_slowdown(&self, image: &str) -> f64 {
        let found = self.neighbours.iter().position(|other| &*other.image == image);
        found
            .filter(|index| self.neighbours[*index].is_known)
            .map_or(0.0, |index| self.means[index])
    }

    /// Returns the expected sum of the log slowdowns by all of `images`.
    pub fn expected_log_slowdown(&self, images: &[Arc<str>]) -> f64 {
        let neighbours = self.neighbours.iter().zip(&self.means);
        let present = neighbours.filter(|(neighbour, _)| images.contains(&neighbour.image));
        present.map(|(_, mean)| mean).sum()
    }

    /// Removes an image that is no longer kept.
    pub fn remove(&mut self, image: &str) {
        if let Some(index) = self.neighbours.iter().position(|other| &*other.image == image) {
            self.remove_index(index);
        }
    }

    fn remove_index(&mut self, index: usize) {
        self.neighbours.remove(index);
        self.means.remove(index);
        self.covariance.remove(index);
        for row in &mut self.covariance {
            row.remove(index);
        }
    }

    /// Adds an image, unless it is a neighbour already.
    fn add_neighbour(&mut self, image: &Arc<str>, now: TimestampMs) {
        if let Some(known) = self.neighbours.iter_mut().find(|other| other.image == *image) {
            known.last_seen_at = now;
            return;
        }
        if self.neighbours.len() >= MAX_NEIGHBOUR_COUNT {
            let indexes = 0..self.neighbours.len();
            let oldest = indexes.min_by_key(|index| self.neighbours[*index].last_seen_at);
            oldest.into_iter().for_each(|index| self.remove_index(index));
        }
        let index = self.neighbours.len();
        self.neighbours.push(Neighbour {
            image: Arc::clone(image),
            run_count: 0,
            is_known: false,
            last_seen_at: now,
        });
        self.means.push(0.0);
        self.covariance.iter_mut().for_each(|row| row.push(0.0));
        let mut row = vec![0.0; index + 1];
        row[index] = PRIOR_VARIANCE;
        self.covariance.push(row);
    }

    /// Updates the estimate with the observations of one run. `level` is the expected log rate of
    /// the run without neighbours; `None` if nothing is known about it.
    pub fn add_run(
        &mut self,
        observations: &[Observation],
        level: Option<Level>,
        now: TimestampMs,
    ) {
        let Some(first) = observations.first() else { return };
        let is_comparable = level.is_some() || observations.len() > 1;
        if !is_comparable || observations.iter().all(|other| other.neighbours.is_empty()) {
            return;
        }
        // All neighbours are added first, since each addition may replace an earlier one.
        let images = || observations.iter().flat_map(|observation| &observation.neighbours);
        images().for_each(|image| self.add_neighbour(image, now));
        let level = match level {
            Some(level) => Level { variance: self.level_variance(observations, level), ..level },
            None => Level {
                log_rate: first.log_rate + self.expected_log_slowdown(&first.neighbours),
                variance: UNKNOWN_LEVEL_VARIANCE,
            },
        };
        self.push_level(level);
        observations.iter().for_each(|observation| self.add_observation(observation));
        self.pop_level();
        let seen: Vec<bool> = self
            .neighbours
            .iter()
            .map(|other| images().any(|image| *image == other.image))
            .collect();
        for (index, _) in seen.iter().enumerate().filter(|(_, seen)| **seen) {
            let variance = &mut self.covariance[index][index];
            if *variance + DRIFT_VARIANCE <= PRIOR_VARIANCE {
                *variance += DRIFT_VARIANCE;
            }
            let variance = *variance;
            let neighbour = &mut self.neighbours[index];
            neighbour.run_count = neighbour.run_count.saturating_add(1);
            let lower_bound = self.means[index] - CONFIDENCE_DEVIATION_COUNT * variance.sqrt();
            // A known pair stays known while the expected slowdown matters, so that the order of
            // workers does not change back and forth.
            neighbour.is_known = if neighbour.is_known {
                self.means[index] > MIN_LOG_SLOWDOWN
            } else {
                neighbour.run_count >= MIN_RUN_COUNT && lower_bound > MIN_LOG_SLOWDOWN
            };
        }
    }

    /// Returns the variance of the run's level, which is higher if the whole run was unusual.
    fn level_variance(&self, observations: &[Observation], level: Level) -> f64 {
        let weight: f64 = observations.iter().map(|observation| observation.weight).sum();
        let innovation: f64 = observations
            .iter()
            .map(|observation| {
                let slowdown = self.expected_log_slowdown(&observation.neighbours);
                (observation.log_rate + slowdown - level.log_rate) * observation.weight / weight
            })
            .sum();
        let spread = level.variance + PRIOR_VARIANCE;
        level.variance + tail_probability(innovation, spread, RUN_TAIL_VARIANCE) * RUN_TAIL_VARIANCE
    }

    fn push_level(&mut self, level: Level) {
        self.means.push(level.log_rate);
        self.covariance.iter_mut().for_each(|row| row.push(0.0));
        let mut row = vec![0.0; self.means.len()];
        if let Some(variance) = row.last_mut() {
            *variance = level.variance;
        }
        self.covariance.push(row);
    }

    fn pop_level(&mut self) {
        self.means.pop();
        self.covariance.pop();
        for row in &mut self.covariance {
            row.pop();
        }
    }

    /// Updates the means and the covariance, of which the run's level is the last element.
    fn add_observation(&mut self, observation: &Observation) {
        let level_index = self.neighbours.len();
        let mut design: Vec<f64> = self
            .neighbours
            .iter()
            .map(|other| if observation.neighbours.contains(&other.image) { -1.0 } else { 0.0 })
            .collect();
        design.push(1.0);
        let product = |row: &Vec<f64>| -> f64 {
            row.iter().zip(&design).map(|(value, factor)| value * factor).sum()
        };
        let gains: Vec<f64> = self.covariance.iter().map(product).collect();
        let expected: f64 = self.means.iter().zip(&design).map(|(mean, d)| mean * d).sum();
        let explained: f64 = gains.iter().zip(&design).map(|(gain, d)| gain * d).sum();
        let innovation = observation.log_rate - expected;
        let tail =
            tail_probability(innovation, explained + observation.variance, EXPOSURE_TAIL_VARIANCE);
        let spread = explained + observation.variance + tail * EXPOSURE_TAIL_VARIANCE;
        for row_index in 0..=level_index {
            self.means[row_index] += gains[row_index] * innovation / spread;
            for column_index in 0..=level_index {
                self.covariance[row_index][column_index] -=
                    gains[row_index] * gains[column_index] / spread;
            }
        }
    }
}

/// Returns the probability that a deviation comes from the tail and not from the ordinary spread.
fn tail_probability(deviation: f64, variance: f64, tail_variance: f64) -> f64 {
    let density =
        |variance: f64| (-deviation * deviation / (2.0 * variance)).exp() / variance.sqrt();
    let ordinary = (1.0 - TAIL_PROBABILITY) * density(variance);
    let tail = TAIL_PROBABILITY * density(variance + tail_variance);
    if ordinary + tail > 0.0 { tail / (ordinary + tail) } else { 1.0 }
}
