//! Simulated workers whose runs slow each other, observed by a model.

#![allow(clippy::unwrap_used, dead_code, missing_docs)]

use std::sync::Arc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use yuccatack_core::{DurationMs, JobName, TimestampMs};
use yuccatack_interference::{InterferenceModel, Measure, RunSample, WorkerSample};
use yuccatack_runs::{RunId, TaskId};

const TICK_MS: u64 = 150;

/// Runs that one worker executes at the same time.
const RUNS_PER_WORKER: usize = 4;

/// Tasks of each step, which begin one after another on any worker with room.
const TASKS_PER_STEP: u32 = 12;

/// Probability that a task takes seven times as long as usual.
const LONG_TASK_PROBABILITY: f64 = 0.03;

/// Factor by which runs of an image take longer beside runs of other ones.
pub type Slowdown = fn(image: &str, other: &str) -> f64;

struct SimulatedRun {
    run: RunId,
    image: Arc<str>,
    run_time_ms: f64,
    percent: f64,
}

struct SimulatedWorker {
    speed: f64,
    runs: Vec<SimulatedRun>,
}

pub struct Simulation {
    pub model: InterferenceModel,
    pub now: TimestampMs,
    rng: ChaCha8Rng,
    images: Vec<Arc<str>>,
    slowdown: Slowdown,
    workers: Vec<SimulatedWorker>,
    /// Step of each image that is being begun: number of its job and the next task.
    steps: Vec<(u32, u32)>,
    /// Number of the image that always shares a worker with the next one.
    pub inseparable: Option<usize>,
    /// `true` if the model is told the speeds of the machines.
    pub speeds_known: bool,
    job_count: u32,
}

pub fn image(name: &str) -> Arc<str> {
    Arc::from(name)
}

pub fn run(job: u32, index: u32) -> RunId {
    let job = JobName::new(&format!("job-{job}")).unwrap();
    RunId { task: TaskId { job, occurrence: 0, step: 0, index }, number: 1 }
}

pub fn row(run: RunId, image: &Arc<str>, measure: Measure) -> RunSample {
    RunSample { run, image: Arc::clone(image), gang: false, measure }
}

impl Simulation {
    pub fn new(seed: u64, worker_count: usize, images: &[&str], slowdown: Slowdown) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut worker = |_| {
            let speed = if rng.random_bool(0.3) { 0.5 } else { rng.random_range(0.9..1.1) };
            SimulatedWorker { speed, runs: Vec::new() }
        };
        let workers = (0..worker_count).map(&mut worker).collect();
        Self {
            model: InterferenceModel::new(),
            now: TimestampMs::new(1_000_000),
            rng,
            images: images.iter().map(|name| image(name)).collect(),
            slowdown,
            workers,
            steps: vec![(0, TASKS_PER_STEP); images.len()],
            inseparable: None,
            speeds_known: true,
            job_count: 0,
        }
    }

    pub fn set_slowdown(&mut self, slowdown: Slowdown) {
        self.slowdown = slowdown;
    }

    pub fn advance(&mut self, seconds: u64) {
        for _ in 0..seconds * 1_000 / TICK_MS {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now = self.now + DurationMs::new(TICK_MS);
        for index in 0..self.workers.len() {
            while self.workers[index].runs.len() < RUNS_PER_WORKER && self.rng.random_bool(0.3) {
                let image_index = self.rng.random_range(0..self.images.len());
                self.begin(index, image_index);
                if self.inseparable == Some(image_index) {
                    self.begin(index, image_index + 1);
                }
            }
            self.progress(index);
        }
        self.model.expire(self.now);
    }

    fn begin(&mut self, worker_index: usize, image_index: usize) {
        let (job, task) = &mut self.steps[image_index];
        if *task >= TASKS_PER_STEP {
            self.job_count += 1;
            (*job, *task) = (self.job_count, 0);
        }
        let run = run(*job, *task);
        *task += 1;
        let mut run_time_ms = 5_000.0 * self.rng.random_range(0.75..1.25);
        if self.rng.random_bool(LONG_TASK_PROBABILITY) {
            run_time_ms *= 7.0;
        }
        let image = Arc::clone(&self.images[image_index]);
        self.workers[worker_index].runs.push(SimulatedRun {
            run,
            image,
            run_time_ms,
            percent: 0.0,
        });
    }

    fn progress(&mut self, worker_index: usize) {
        let worker = &mut self.workers[worker_index];
        let images: Vec<Arc<str>> = worker.runs.iter().map(|run| Arc::clone(&run.image)).collect();
        for (index, run) in worker.runs.iter_mut().enumerate() {
            let mut others: Vec<&Arc<str>> = images
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index)
                .map(|(_, image)| image)
                .collect();
            others.sort();
            others.dedup();
            let slowdown: f64 =
                others.iter().map(|other| (self.slowdown)(&run.image, other)).product();
            run.percent += 100.0 * TICK_MS as f64 * worker.speed / (run.run_time_ms * slowdown);
        }
        let row = |run: &SimulatedRun| {
            let percent = run.percent.min(100.0) as u8;
            row(run.run.clone(), &run.image, Measure::Progress { percent })
        };
        let sample = WorkerSample {
            clock_ms: self.now.get(),
            speed: if self.speeds_known { worker.speed } else { 1.0 },
            runs: worker.runs.iter().map(row).collect(),
        };
        self.model.on_progress(&sample, self.now);
        let ended: Vec<RunId> =
            worker.runs.extract_if(.., |run| run.percent >= 100.0).map(|run| run.run).collect();
        ended.iter().for_each(|run| self.model.on_end(run, self.now));
    }
}
