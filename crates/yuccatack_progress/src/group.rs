//! Comparison of the runs of one step.

use std::collections::VecDeque;

use yuccatack_core::{FastHashMap, NodeName, TimestampMs};

use crate::estimate::{Estimate, Observation};
use crate::rate::{LogRate, RateMeter};

/// Variance of the log rates of a gang's members on equal machines.
const GANG_VARIANCE: f64 = 0.002_5;

/// Variance of the log rates of other tasks on equal machines: their work differs by 15 to 30%.
const SINGLE_VARIANCE: f64 = 0.062_5;

/// Number of rates that a step keeps for comparison; a gang has at most as many members.
const MAX_RATE_COUNT: usize = 64;

/// Number of rates of a step up to which a further one changes the comparison of the others.
const EARLY_RATE_COUNT: usize = 16;

/// Factor by which the variance of a median exceeds that of the mean.
const MEDIAN_VARIANCE_FACTOR: f64 = 1.57;

/// Growth after which a rate is used again, in percentage points.
const RATE_UPDATE_PERCENT: u8 = 5;

/// Run of the step that is in progress.
#[derive(Debug)]
struct Member {
    number: u32,
    machine: NodeName,
    meter: RateMeter,
    used_growth_percent: u8,
}

/// Rate of a run, ended or not.
#[derive(Debug)]
struct KnownRate {
    task_index: u32,
    number: u32,
    machine: NodeName,
    log_rate: f64,
    variance: f64,
    /// Estimate of the machine before the run told anything about it. A later one would contain
    /// the comparison itself.
    prior: Estimate,
}

/// Runs of one step.
#[derive(Debug)]
pub(crate) struct Group {
    gang: bool,
    members: FastHashMap<u32, Member>,
    rates: VecDeque<KnownRate>,
    pub last_sample_at: TimestampMs,
}

impl Group {
    pub fn new(gang: bool, now: TimestampMs) -> Self {
        Self { gang, members: FastHashMap::default(), rates: VecDeque::new(), last_sample_at: now }
    }

    /// Returns `true` if a run of the task is in progress.
    pub fn contains(&self, task_index: u32) -> bool {
        self.members.contains_key(&task_index)
    }

    /// Returns the number of the task's run in progress if it is another run, or on another machine.
    pub fn replaced_run(&self, task_index: u32, number: u32, machine: &NodeName) -> Option<u32> {
        let member = self.members.get(&task_index)?;
        (member.number != number || member.machine != *machine).then_some(member.number)
    }

    /// Returns the task index and the number of each run in progress.
    pub fn members(&self) -> impl Iterator<Item = (u32, u32)> {
        self.members.iter().map(|(index, member)| (*index, member.number))
    }

    /// Records the progress of a run. Returns its rate if this has become known or more precise.
    pub fn record(
        &mut self,
        task_index: u32,
        number: u32,
        machine: &NodeName,
        percent: u8,
        clock_ms: u64,
    ) -> Option<LogRate> {
        let member = self.members.entry(task_index).or_insert_with(|| Member {
            number,
            machine: machine.clone(),
            meter: RateMeter::new(percent, clock_ms),
            used_growth_percent: 0,
        });
        member.meter.record(percent, clock_ms);
        let rate = member.meter.log_rate()?;
        if rate.growth_percent < member.used_growth_percent.saturating_add(RATE_UPDATE_PERCENT) {
            return None;
        }
        member.used_growth_percent = rate.growth_percent;
        Some(rate)
    }

    /// Removes a run that has ended. Returns its machine and its rate, if known.
    pub fn remove(&mut self, task_index: u32, number: u32) -> Option<(NodeName, Option<LogRate>)> {
        if self.members.get(&task_index).is_none_or(|member| member.number != number) {
            return None;
        }
        let member = self.members.remove(&task_index)?;
        Some((member.machine, member.meter.log_rate()))
    }

    /// Keeps a rate for comparison. `prior` is the estimate of the machine before the run. Returns
    /// `true` if the run had no rate before.
    pub fn set_rate(
        &mut self,
        task_index: u32,
        number: u32,
        machine: &NodeName,
        rate: LogRate,
        prior: Estimate,
    ) -> bool {
        let variance = rate.variance + self.work_variance();
        let mut rates = self.rates.iter_mut();
        if let Some(known) =
            rates.find(|known| known.task_index == task_index && known.number == number)
        {
            known.log_rate = rate.value;
            known.variance = variance;
            return false;
        }
        if self.rates.len() == MAX_RATE_COUNT {
            self.rates.pop_front();
        }
        self.rates.push_back(KnownRate {
            task_index,
            number,
            machine: machine.clone(),
            log_rate: rate.value,
            variance,
            prior,
        });
        true
    }

    /// Returns the runs in progress whose rate is known, with what it tells about their machines, as
    /// long as the step has few rates. With many, a further one changes little.
    pub fn early_comparisons(&self) -> Vec<(u32, u32, NodeName, Observation)> {
        if self.rates.len() > EARLY_RATE_COUNT {
            return Vec::new();
        }
        let compared = self.members.iter().filter_map(|(task_index, member)| {
            let observation = self.compare(&member.machine, member.meter.log_rate()?)?;
            Some((*task_index, member.number, member.machine.clone(), observation))
        });
        compared.collect()
    }

    /// Returns what a rate tells about the speed of its machine: its difference from the runs of the
    /// step on other machines, corrected by their speeds. Returns `None` without such runs.
    pub fn compare(&self, machine: &NodeName, rate: LogRate) -> Option<Observation> {
        let others = self.rates.iter().filter(|known| known.machine != *machine);
        let mut effects: Vec<(f64, f64)> = others
            .map(|known| {
                let precision = 1.0 / (known.variance + known.prior.variance);
                (known.log_rate - known.prior.log_speed, precision)
            })
            .collect();
        let total_precision: f64 = effects.iter().map(|(_, precision)| precision).sum();
        let (step_effect, factor) = match effects.len() {
            0 => return None,
            1 | 2 => {
                let sum: f64 = effects.iter().map(|(effect, precision)| effect * precision).sum();
                (sum / total_precision, 1.0)
            }
            _ => (weighted_median(&mut effects, total_precision), MEDIAN_VARIANCE_FACTOR),
        };
        Some(Observation {
            log_speed: rate.value - step_effect,
            variance: rate.variance + self.work_variance() + factor / total_precision,
            equal_work: self.gang,
        })
    }

    fn work_variance(&self) -> f64 {
        if self.gang { GANG_VARIANCE } else { SINGLE_VARIANCE }
    }
}

/// Returns the value below which half of the total weight lies. `values` must not be empty.
fn weighted_median(values: &mut [(f64, f64)], total_weight: f64) -> f64 {
    values.sort_by(|left, right| left.0.total_cmp(&right.0));
    let mut weight_below = 0.0;
    for (value, weight) in values.iter() {
        weight_below += weight;
        if weight_below >= total_weight / 2.0 {
            return *value;
        }
    }
    values.last().map_or(0.0, |(value, _)| *value)
}
