//! Estimate of a machine's speed, as a normal distribution of its logarithm.

/// Variance of the speeds of machines about which nothing is known. It corresponds to a factor of 1.5.
pub(crate) const PRIOR_VARIANCE: f64 = 0.16;

/// Growth of the variance with each counted run. It bounds the weight of the past to about 20 runs,
/// so that the estimate follows lasting changes.
const DRIFT_VARIANCE: f64 = 0.000_2;

/// Part of the single tasks that take several times as long as others of their step.
const TAIL_PROBABILITY: f64 = 0.03;

/// Variance of the run times of such tasks. It corresponds to a factor of 7.
const TAIL_VARIANCE: f64 = 3.8;

/// Observed log speed of a machine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Observation {
    pub log_speed: f64,
    pub variance: f64,
    /// `true` if the run did the same work as those it is compared with.
    pub equal_work: bool,
}

/// Distribution of a machine's log speed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    pub log_speed: f64,
    pub variance: f64,
    pub run_count: u32,
}

impl Estimate {
    /// Creates the estimate of a machine that has not been observed.
    pub fn unknown(typical_log_speed: f64) -> Self {
        Self { log_speed: typical_log_speed, variance: PRIOR_VARIANCE, run_count: 0 }
    }

    /// Returns the distance of an observation from the estimate, in standard deviations.
    pub fn distance(&self, observation: &Observation) -> f64 {
        let spread = self.variance + observation.variance;
        (observation.log_speed - self.log_speed).abs() / spread.sqrt()
    }

    /// Updates the estimate with a run.
    pub fn add(&mut self, observation: &Observation) {
        let innovation = observation.log_speed - self.log_speed;
        let weight = if observation.equal_work {
            1.0
        } else {
            ordinary_probability(innovation, self.variance + observation.variance)
        };
        let gain = weight * self.variance / (weight * self.variance + observation.variance);
        self.log_speed += gain * innovation;
        self.variance = ((1.0 - gain) * self.variance + DRIFT_VARIANCE).min(PRIOR_VARIANCE);
        self.run_count = self.run_count.saturating_add(1);
    }

    /// Increases the variance, at most to that of an unknown machine.
    pub fn widen(&mut self, variance: f64) {
        self.variance = (self.variance + variance).min(PRIOR_VARIANCE);
    }
}

/// Returns the probability that a run with this innovation is not one of the long ones.
fn ordinary_probability(innovation: f64, variance: f64) -> f64 {
    let density =
        |variance: f64| (-innovation * innovation / (2.0 * variance)).exp() / variance.sqrt();
    let ordinary = (1.0 - TAIL_PROBABILITY) * density(variance);
    let tail = TAIL_PROBABILITY * density(variance + TAIL_VARIANCE);
    ordinary / (ordinary + tail)
}

/// Estimate of a machine's speed relative to the typical machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineEstimate {
    /// Expected speed, where the typical machine has speed 1. Unlike [`crate::ProgressModel::speed`],
    /// it is also given while it is uncertain.
    pub speed: f64,
    /// Standard deviation of the natural logarithm of the speed.
    pub log_deviation: f64,
    /// Number of runs that the estimate is based on.
    pub run_count: u32,
    /// `true` if the speed differs from the typical one by more than the uncertainty.
    pub is_distinct: bool,
}
