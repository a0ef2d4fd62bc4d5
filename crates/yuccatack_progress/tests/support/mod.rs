//! Machines of known speeds whose runs report their progress to a model.

#![allow(clippy::unwrap_used, dead_code, missing_docs)]

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccatack_core::{DurationMs, JobName, NodeName, TimestampMs};
use yuccatack_progress::prelude::*;

pub const POLL_MS: u64 = 150;

/// Part of the single tasks that take [`TAIL_FACTOR`] times as long as others.
const TAIL_PROBABILITY: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;

pub struct Fleet {
    pub model: ProgressModel,
    /// Speed of each machine.
    pub speeds: Vec<f64>,
    pub now: TimestampMs,
    pub random: ChaCha8Rng,
    job_count: u32,
}

pub fn node(index: usize) -> NodeName {
    NodeName::new(&format!("node-{index}")).unwrap()
}

impl Fleet {
    pub fn new(speeds: Vec<f64>, seed: u64) -> Self {
        Self {
            model: ProgressModel::new(),
            speeds,
            now: TimestampMs::new(1_000),
            random: ChaCha8Rng::seed_from_u64(seed),
            job_count: 0,
        }
    }

    /// Creates a fleet as it was measured: a third of the machines takes 1.6 to 2.4 times as long as
    /// usual, the others take 0.6 to 1.1 times as long.
    pub fn uneven(count: usize, seed: u64) -> Self {
        let mut fleet = Self::new(Vec::new(), seed);
        for index in 0..count {
            let range = if index % 3 == 0 { 1.6..2.4 } else { 0.6..1.1 };
            fleet.speeds.push(1.0 / fleet.random.random_range(range));
        }
        fleet
    }

    pub fn is_slow(&self, index: usize) -> bool {
        self.speeds[index] < 0.7
    }

    pub fn speed(&self, index: usize) -> f64 {
        self.model.speed(&node(index))
    }

    /// Chooses different machines.
    pub fn choose(&mut self, count: usize) -> Vec<usize> {
        let mut chosen = Vec::new();
        while chosen.len() < count {
            let index = self.random.random_range(0..self.speeds.len());
            if !chosen.contains(&index) {
                chosen.push(index);
            }
        }
        chosen
    }

    pub fn next_group(&mut self) -> GroupId {
        self.job_count += 1;
        let job = JobName::new(&format!("job-{}", self.job_count)).unwrap();
        GroupId { job, occurrence: 0, step: 0 }
    }

    pub fn sample(
        &self,
        group: &GroupId,
        task: usize,
        machine: usize,
        percent: u8,
    ) -> ProgressSample {
        let task_index = u32::try_from(task).unwrap();
        ProgressSample {
            run: RunKey { group: group.clone(), task_index, number: 1 },
            machine: node(machine),
            percent,
            clock_ms: self.now.get() + 7_000_000 * machine as u64,
            gang: false,
            comparable: true,
        }
    }

    /// Runs a gang to its end: all members do equal work, and end with the slowest.
    pub fn run_gang(&mut self, machines: &[usize], run_ms: u64) {
        let work = vec![1.0; machines.len()];
        self.run_step(machines, &work, run_ms, true, u64::MAX);
    }

    /// Runs a gang for a limited time and leaves it unfinished.
    pub fn begin_gang(&mut self, machines: &[usize], run_ms: u64, limit_ms: u64) {
        let work = vec![1.0; machines.len()];
        self.run_step(machines, &work, run_ms, true, limit_ms);
    }

    /// Runs single tasks whose work differs by 25%, and some of which take seven times as long.
    pub fn run_singles(&mut self, machines: &[usize], run_ms: u64) {
        let work: Vec<f64> = machines
            .iter()
            .map(|_| {
                // The sum of three uniform variables is close to a normal one.
                let noise: f64 = (0..3).map(|_| self.random.random_range(-0.5..0.5)).sum();
                let tail = self.random.random_bool(TAIL_PROBABILITY);
                (0.5 * noise).exp() * if tail { TAIL_FACTOR } else { 1.0 }
            })
            .collect();
        self.run_step(machines, &work, run_ms, false, u64::MAX);
    }

    pub fn run_step(
        &mut self,
        machines: &[usize],
        work: &[f64],
        run_ms: u64,
        gang: bool,
        limit_ms: u64,
    ) {
        let group = self.next_group();
        let began_at = self.now;
        let mut running: Vec<usize> = (0..machines.len()).collect();
        while !running.is_empty() && self.now.since(began_at).get() < limit_ms {
            self.now = self.now + DurationMs::new(POLL_MS);
            let elapsed_ms = self.now.since(began_at).get() as f64;
            let percent = |task: &usize| {
                let duration_ms = run_ms as f64 * work[*task] / self.speeds[machines[*task]];
                (elapsed_ms / duration_ms * 100.0).min(100.0) as u8
            };
            let all_done = running.iter().all(|task| percent(task) >= 100);
            let (ended, left): (Vec<usize>, Vec<usize>) =
                running.iter().partition(|task| if gang { all_done } else { percent(task) >= 100 });
            for task in ended {
                let run = self.sample(&group, task, machines[task], 100).run;
                self.model.on_end(&run, self.now);
            }
            for task in &left {
                let sample = self.sample(&group, *task, machines[*task], percent(task));
                self.model.on_progress(&ProgressSample { gang, ..sample }, self.now);
            }
            running = left;
        }
        self.model.expire(self.now);
    }
}
