//! Summary of the estimates for the replicated state.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use yuccatack_core::NodeName;

use crate::estimate::{Estimate, PRIOR_VARIANCE};

/// Largest absolute log speed that a record may hold; it corresponds to a factor of 100.
const MAX_LOG_SPEED_MILLI: i16 = 4_605;

/// Difference of the log speed from which an estimate is stored again. It is well above the changes
/// that single runs cause, so that a settled model writes nothing.
const MIN_CHANGE_MILLI: u16 = 100;

/// Standard deviation from which an estimate is certain enough to be stored.
const MAX_STORED_DEVIATION_MILLI: u16 = 200;

/// Estimate of one machine in the replicated state, in about 30 bytes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EstimateRecord {
    /// Node of the worker's agent, which names the machine.
    #[serde(rename = "m")]
    pub machine: NodeName,
    /// Natural logarithm of the speed relative to the typical machine, in thousandths.
    #[serde(rename = "s")]
    pub log_speed_milli: i16,
    /// Standard deviation of the logarithm, in thousandths.
    #[serde(rename = "d")]
    pub deviation_milli: u16,
    /// Number of runs that the estimate is based on.
    #[serde(rename = "n")]
    pub run_count: u32,
}

/// Error of reading a record: a value is out of range.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display(
    "the stored log speed {log_speed_milli} of machine {machine} is not within \
     -{MAX_LOG_SPEED_MILLI} to {MAX_LOG_SPEED_MILLI}; the machine counts as unknown"
))]
pub struct EstimateError {
    /// Machine of the record.
    pub machine: NodeName,
    /// Value that is out of range.
    pub log_speed_milli: i16,
}

impl EstimateRecord {
    /// Returns `true` if the record should replace the published one.
    pub(crate) fn is_news(&self, published: Option<&Self>) -> bool {
        match published {
            None => self.deviation_milli <= MAX_STORED_DEVIATION_MILLI,
            Some(published) => {
                self.log_speed_milli.abs_diff(published.log_speed_milli) >= MIN_CHANGE_MILLI
                    || self.deviation_milli.saturating_mul(2) <= published.deviation_milli
            }
        }
    }
}

impl From<(&NodeName, Estimate)> for EstimateRecord {
    /// Converts an estimate whose log speed is relative to the typical machine.
    fn from((machine, estimate): (&NodeName, Estimate)) -> Self {
        let limit = f64::from(MAX_LOG_SPEED_MILLI);
        Self {
            machine: machine.clone(),
            log_speed_milli: (estimate.log_speed * 1_000.0).clamp(-limit, limit).round() as i16,
            deviation_milli: (estimate.variance.sqrt() * 1_000.0).round() as u16,
            run_count: estimate.run_count,
        }
    }
}

impl TryFrom<&EstimateRecord> for Estimate {
    type Error = EstimateError;

    fn try_from(record: &EstimateRecord) -> Result<Self, EstimateError> {
        if record.log_speed_milli.unsigned_abs() > MAX_LOG_SPEED_MILLI.unsigned_abs() {
            let EstimateRecord { machine, log_speed_milli, .. } = record.clone();
            return Err(EstimateError { machine, log_speed_milli });
        }
        let deviation = f64::from(record.deviation_milli) / 1_000.0;
        Ok(Self {
            log_speed: f64::from(record.log_speed_milli) / 1_000.0,
            variance: (deviation * deviation).min(PRIOR_VARIANCE),
            run_count: record.run_count,
        })
    }
}
