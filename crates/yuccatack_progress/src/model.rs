//! The progress model: speeds of all machines and run times of all queues.

use yuccatack_core::{DurationMs, FastHashMap, NodeName, QueueName, TimestampMs};

use crate::estimate::{Estimate, MachineEstimate, Observation};
use crate::group::Group;
use crate::machine::Machine;
use crate::run_time::{RunTimes, scale};
use crate::sample::{GroupId, ProgressSample, RunKey};
use crate::summary::{EstimateError, EstimateRecord};

/// Time without a sample after which a step is forgotten.
const GROUP_RETENTION: DurationMs = DurationMs::new(60_000);

/// Maximum number of steps that are compared at the same time. Further ones are ignored.
const MAX_GROUP_COUNT: usize = 4_096;

/// Maximum number of observed runs. Further ones are ignored.
const MAX_RUN_COUNT: usize = 65_536;

/// Maximum number of machines. Further ones keep speed 1.
const MAX_MACHINE_COUNT: usize = 32_768;

/// Time without a run after which a machine is forgotten.
const MACHINE_RETENTION: DurationMs = DurationMs::new(24 * 60 * 60 * 1_000);

/// Part of the machines whose estimates change before the typical speed is computed again.
const TYPICAL_UPDATE_DIVISOR: usize = 8;

/// Learns the speeds of machines and the run times of queues. No function reads a clock: the current time is an argument.
#[derive(Debug, Default)]
pub struct ProgressModel {
    groups: FastHashMap<GroupId, Group>,
    machines: FastHashMap<NodeName, Machine>,
    /// Number of runs in progress over all groups.
    run_count: usize,
    /// Median of the machines' log speeds.
    typical_log_speed: f64,
    changes_since_typical: usize,
    newly_distinct: Vec<NodeName>,
    run_times: RunTimes,
}

impl ProgressModel {
    /// Creates a model that takes all machines for equally fast.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles an observation of a run in progress.
    pub fn on_progress(&mut self, sample: &ProgressSample, now: TimestampMs) {
        if !sample.comparable {
            return;
        }
        let RunKey { group: id, task_index, number } = &sample.run;
        if !self.groups.contains_key(id) {
            if self.groups.len() >= MAX_GROUP_COUNT {
                return;
            }
            self.groups.insert(id.clone(), Group::new(sample.gang, now));
        }
        let ProgressSample { machine: node, percent, clock_ms, .. } = sample;
        let Some(group) = self.groups.get(id) else { return };
        if let Some(number) = group.replaced_run(*task_index, *number, node) {
            let replaced = RunKey { number, ..sample.run.clone() };
            self.on_end(&replaced, now);
        }
        let Some(group) = self.groups.get_mut(id) else { return };
        group.last_sample_at = now;
        if !group.contains(*task_index) {
            if self.run_count >= MAX_RUN_COUNT {
                return;
            }
            self.run_count += 1;
        }
        let rate = group.record(*task_index, *number, node, *percent, *clock_ms);
        let Some(rate) = rate else { return };
        if !self.machines.contains_key(node) {
            if self.machines.len() >= MAX_MACHINE_COUNT {
                return;
            }
            let unknown = Estimate::unknown(self.typical_log_speed);
            self.machines.insert(node.clone(), Machine::new(unknown, now));
        }
        let Some(machine) = self.machines.get_mut(node) else { return };
        machine.last_seen_at = now;
        let is_new = group.set_rate(*task_index, *number, node, rate, machine.counted());
        if is_new {
            for (task_index, number, node, observation) in group.early_comparisons() {
                let run = RunKey { group: id.clone(), task_index, number };
                self.on_running(&node, &run, observation, now);
            }
        } else if let Some(observation) = group.compare(node, rate) {
            self.on_running(node, &sample.run, observation, now);
        }
    }

    fn on_running(
        &mut self,
        node: &NodeName,
        run: &RunKey,
        observation: Observation,
        now: TimestampMs,
    ) {
        if let Some(machine) = self.machines.get_mut(node) {
            machine.set_running(run, observation, now);
            self.on_changed(node);
        }
    }

    /// Handles the end of a run, however it ended. The run then counts once.
    pub fn on_end(&mut self, run: &RunKey, now: TimestampMs) {
        let Some(group) = self.groups.get_mut(&run.group) else { return };
        let Some((node, rate)) = group.remove(run.task_index, run.number) else { return };
        self.run_count = self.run_count.saturating_sub(1);
        let observation = rate.and_then(|rate| group.compare(&node, rate));
        if let Some(machine) = self.machines.get_mut(&node) {
            machine.end_run(run, observation, now);
            self.on_changed(&node);
        }
    }

    /// Handles a new incarnation of a machine's worker, which may run on other hardware.
    pub fn on_incarnation(&mut self, node: &NodeName, now: TimestampMs) {
        if let Some(machine) = self.machines.get_mut(node) {
            machine.begin_incarnation(now);
            self.on_changed(node);
        }
    }

    /// Forgets steps and machines that are gone, and deviations that are over. To be called
    /// several times a second.
    pub fn expire(&mut self, now: TimestampMs) {
        let is_over = |group: &Group| now.since(group.last_sample_at) >= GROUP_RETENTION;
        let over = self.groups.iter().filter(|(_, group)| is_over(group));
        let over: Vec<GroupId> = over.map(|(id, _)| id.clone()).collect();
        for id in over {
            self.end_group(&id, now);
        }
        self.machines.retain(|_, machine| now.since(machine.last_seen_at) < MACHINE_RETENTION);
        self.machines.values_mut().for_each(|machine| machine.expire(now));
        self.update_typical();
    }

    fn end_group(&mut self, id: &GroupId, now: TimestampMs) {
        let Some(group) = self.groups.get(id) else { return };
        let runs: Vec<RunKey> = group
            .members()
            .map(|(task_index, number)| RunKey { group: id.clone(), task_index, number })
            .collect();
        runs.iter().for_each(|run| self.on_end(run, now));
        self.groups.remove(id);
    }

    /// Returns the speed of a machine relative to the typical one; 1 until it is known to differ.
    pub fn speed(&self, node: &NodeName) -> f64 {
        match self.machines.get(node) {
            Some(machine) if machine.is_distinct => machine.estimate(self.typical_log_speed).speed,
            _ => 1.0,
        }
    }

    /// Returns the machines that are known to differ from the typical one, with their speeds.
    pub fn distinct_speeds(&self) -> impl Iterator<Item = (&NodeName, f64)> {
        let distinct = self.machines.iter().filter(|(_, machine)| machine.is_distinct);
        distinct.map(|(node, machine)| (node, machine.estimate(self.typical_log_speed).speed))
    }

    /// Returns the estimate of a machine with its uncertainty; `None` if nothing is known.
    pub fn estimate(&self, node: &NodeName) -> Option<MachineEstimate> {
        self.machines.get(node).map(|machine| machine.estimate(self.typical_log_speed))
    }

    /// Records the run time of a completed run on a machine of this speed. For a gang, it is the
    /// speed of the slowest member's machine.
    pub fn on_run_time(
        &mut self,
        queue: &QueueName,
        estimate_ms: DurationMs,
        run_time_ms: DurationMs,
        speed: f64,
    ) {
        self.run_times.record(queue, estimate_ms, scale(run_time_ms, speed));
    }

    /// Predicts the run time of a task on a machine of this speed, from the caller's estimate and
    /// the completed runs of the queue without the longest ones.
    pub fn predict(&self, queue: &QueueName, estimate_ms: DurationMs, speed: f64) -> DurationMs {
        scale(self.run_times.predict(queue, estimate_ms), 1.0 / speed)
    }

    /// Returns the geometric mean of the queue's run times at speed 1 in milliseconds; `None` until
    /// enough runs have completed.
    pub fn typical_ms(&self, queue: &QueueName) -> Option<u64> {
        self.run_times.typical_ms(queue)
    }

    /// Returns the part of a queue's runs that took several times as long as predicted.
    pub fn tail_share(&self, queue: &QueueName) -> f64 {
        self.run_times.tail_share(queue)
    }

    /// Returns the number of machines that are known to be slower than the typical one.
    pub fn slow_machine_count(&self) -> usize {
        let is_slow = |machine: &&Machine| {
            machine.is_distinct && machine.current().log_speed < self.typical_log_speed
        };
        self.machines.values().filter(is_slow).count()
    }

    /// Returns the number of machines about which something is known.
    pub fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Returns the number of steps that are compared now.
    pub fn group_count(&self) -> usize {
        self.groups.len()
    }

    /// Takes the machines that were found to differ from the typical one for the first time.
    pub fn take_newly_distinct(&mut self) -> Vec<(NodeName, MachineEstimate)> {
        let nodes = std::mem::take(&mut self.newly_distinct);
        nodes
            .into_iter()
            .filter_map(|node| self.estimate(&node).map(|estimate| (node, estimate)))
            .collect()
    }

    /// Returns up to `limit` estimates that differ from those last published. Returns none while all
    /// machines are alike.
    pub fn changed_estimates(&self, limit: usize) -> Vec<EstimateRecord> {
        let is_known = |machine: &Machine| machine.is_distinct || machine.published.is_some();
        if !self.machines.values().any(is_known) {
            return Vec::new();
        }
        let changed = self.machines.iter().filter_map(|(node, machine)| {
            let settled = machine.settled();
            let log_speed = settled.log_speed - self.typical_log_speed;
            let record = EstimateRecord::from((node, Estimate { log_speed, ..settled }));
            (settled.run_count > 0 && record.is_news(machine.published.as_ref())).then_some(record)
        });
        changed.take(limit).collect()
    }

    /// Notes that estimates are stored, so that [`Self::changed_estimates`] returns only later ones.
    pub fn on_published(&mut self, records: &[EstimateRecord]) {
        for record in records {
            if let Some(machine) = self.machines.get_mut(&record.machine) {
                machine.published = Some(record.clone());
            }
        }
    }

    /// Replaces the estimates of machines by stored ones. Returns the records that cannot be used;
    /// their machines stay unknown.
    pub fn restore<'record, Records>(
        &mut self,
        records: Records,
        now: TimestampMs,
    ) -> Vec<EstimateError>
    where
        Records: IntoIterator<Item = &'record EstimateRecord>,
    {
        let mut errors = Vec::new();
        for record in records {
            match Estimate::try_from(record) {
                Ok(estimate) => {
                    let log_speed = estimate.log_speed + self.typical_log_speed;
                    let mut machine = Machine::new(Estimate { log_speed, ..estimate }, now);
                    machine.published = Some(record.clone());
                    machine.reported = true;
                    self.machines.insert(record.machine.clone(), machine);
                }
                Err(error) => errors.push(error),
            }
        }
        self.update_typical();
        errors
    }

    fn on_changed(&mut self, node: &NodeName) {
        self.changes_since_typical += 1;
        if self.changes_since_typical * TYPICAL_UPDATE_DIVISOR >= self.machines.len() {
            self.update_typical();
        } else if let Some(machine) = self.machines.get_mut(node) {
            machine.compare(self.typical_log_speed);
            if machine.is_distinct && !machine.reported {
                machine.reported = true;
                self.newly_distinct.push(node.clone());
            }
        }
    }

    /// Computes the typical speed again and compares all machines with it.
    fn update_typical(&mut self) {
        self.changes_since_typical = 0;
        let known = self.machines.values().map(Machine::current);
        let mut log_speeds: Vec<f64> = known
            .filter(|estimate| estimate.run_count > 0)
            .map(|estimate| estimate.log_speed)
            .collect();
        if log_speeds.is_empty() {
            return;
        }
        let middle = log_speeds.len() / 2;
        let (below, median, _) = log_speeds.select_nth_unstable_by(middle, f64::total_cmp);
        let upper = *median;
        let lower = below.iter().copied().max_by(f64::total_cmp).unwrap_or(upper);
        let is_even = log_speeds.len().is_multiple_of(2);
        self.typical_log_speed = if is_even { (lower + upper) / 2.0 } else { upper };
        for (node, machine) in &mut self.machines {
            machine.compare(self.typical_log_speed);
            if machine.is_distinct && !machine.reported {
                machine.reported = true;
                self.newly_distinct.push(node.clone());
            }
        }
    }
}
