//! The interference model: slowdowns of all images by the images beside them.

use std::sync::Arc;

use yuccatack_core::{DurationMs, FastHashMap, JobName, TimestampMs};
use yuccatack_runs::RunId;

use crate::exposure::Observation;
use crate::observed_run::ObservedRun;
use crate::regression::Regression;
use crate::sample::{Measure, RunSample, WorkerSample};
use crate::step_level::StepLevels;

/// Maximum number of images. Further ones are ignored until one has not been seen for a while.
const MAX_IMAGE_COUNT: usize = 64;

/// Time without a run after which an image makes room for another one.
const IMAGE_RETENTION: DurationMs = DurationMs::new(10 * 60 * 1_000);

/// Maximum number of observed runs. Further ones are ignored.
const MAX_RUN_COUNT: usize = 16_384;

/// Maximum number of steps whose runs are compared with each other.
const MAX_STEP_COUNT: usize = 512;

/// Time without a sample or a run after which a run or a step is forgotten.
const RETENTION: DurationMs = DurationMs::new(60_000);

/// Variance of the log rates of a gang's members, as far as the speeds of machines do not explain it.
const MEMBER_VARIANCE: f64 = 0.04;

/// Variance of the log rates of the other tasks of a step. Their work differs by 15 to 30%, and the
/// speeds of their machines may not be known yet.
const TASK_VARIANCE: f64 = 0.16;

/// Step whose runs are compared: job, occurrence and step.
type StepKey = (JobName, u32, u32);

/// Images of which one is known to slow the other.
#[derive(Clone, Debug, PartialEq)]
pub struct ImagePair {
    /// Image whose runs are slowed.
    pub image: Arc<str>,
    /// Image beside which they are slowed.
    pub other: Arc<str>,
    /// Factor by which runs of `image` take longer, or their tail latency is higher.
    pub slowdown: f64,
    /// Standard deviation of the natural logarithm of the slowdown.
    pub log_deviation: f64,
    /// Number of runs that the estimate is based on.
    pub run_count: u32,
}

#[derive(Debug)]
struct Image {
    regression: Regression,
    last_seen_at: TimestampMs,
}

/// Learns which images slow each other. No function reads a clock: the current time is an argument.
#[derive(Debug, Default)]
pub struct InterferenceModel {
    images: FastHashMap<Arc<str>, Image>,
    runs: FastHashMap<RunId, ObservedRun>,
    steps: FastHashMap<StepKey, StepLevels>,
    newly_known: Vec<ImagePair>,
    known_pair_count: usize,
}

impl InterferenceModel {
    /// Creates a model in which no image slows another one.
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles an observation of the runs on one worker.
    pub fn on_progress(&mut self, sample: &WorkerSample, now: TimestampMs) {
        let mut images: Vec<&Arc<str>> = sample.runs.iter().map(|run| &run.image).collect();
        images.sort_unstable();
        let mut settled = Vec::new();
        for row in &sample.runs {
            if !self.keep_image(&row.image, now) || row.measure == Measure::Unmeasured {
                continue;
            }
            if !self.runs.contains_key(&row.run) && self.runs.len() >= MAX_RUN_COUNT {
                continue;
            }
            let neighbours = neighbours(&images, row);
            let run = self
                .runs
                .entry(row.run.clone())
                .or_insert_with(|| ObservedRun::new(Arc::clone(&row.image), row.gang, now));
            run.last_seen_at = now;
            if sample.speed > 0.0 {
                run.log_speed = sample.speed.ln();
            }
            if run.observe(row.measure, &neighbours, sample.clock_ms) {
                settled.push(&row.run);
            }
        }
        settled.into_iter().for_each(|run| self.on_end(run, now));
    }

    /// Handles the end of a run, however it ended. The run then counts once.
    pub fn on_end(&mut self, run: &RunId, now: TimestampMs) {
        let Some(mut observed) = self.runs.remove(run) else { return };
        let serves_users = observed.serves_users();
        let mut observations = observed.take_observations();
        let Some(image) = self.images.get_mut(&observed.image) else { return };
        if observations.is_empty() {
            return;
        }
        for observation in &mut observations {
            observation.log_rate -= observed.log_speed;
        }
        let key = (run.task.job.clone(), run.task.occurrence, run.task.step);
        let step = self.steps.get(&key);
        let run_variance = if observed.gang { MEMBER_VARIANCE } else { TASK_VARIANCE };
        // A task that serves users counts many times on the same worker. What makes that worker slow
        // would look like a slowdown if the task were compared with those on other workers.
        let step = step.filter(|_| !serves_users);
        let level = step.and_then(|step| step.expected(run_variance));
        let log_rate = run_level(&observations, &image.regression);
        let was_known: Vec<Arc<str>> = known_images(&image.regression);
        image.regression.add_run(&observations, level, now);
        for (neighbour, mean, log_deviation) in image.regression.neighbours() {
            if neighbour.is_known && !was_known.contains(&neighbour.image) {
                self.newly_known.push(ImagePair {
                    image: Arc::clone(&observed.image),
                    other: Arc::clone(&neighbour.image),
                    slowdown: mean.exp(),
                    log_deviation,
                    run_count: neighbour.run_count,
                });
            }
        }
        let is_known = known_images(&image.regression).len();
        self.known_pair_count = (self.known_pair_count + is_known).saturating_sub(was_known.len());
        let has_room = self.steps.len() < MAX_STEP_COUNT || self.steps.contains_key(&key);
        if has_room && !serves_users {
            self.steps.entry(key).or_insert_with(|| StepLevels::new(now)).add(log_rate, now);
        }
    }

    /// Forgets steps and runs that are gone. To be called about once a second.
    pub fn expire(&mut self, now: TimestampMs) {
        self.steps.retain(|_, step| now.since(step.last_run_at) < RETENTION);
        let gone = self.runs.iter().filter(|(_, run)| now.since(run.last_seen_at) >= RETENTION);
        let gone: Vec<RunId> = gone.map(|(run, _)| run.clone()).collect();
        gone.iter().for_each(|run| self.on_end(run, now));
    }

    /// Returns the factor by which runs of `image` take longer beside runs of `other`; 1 while it is
    /// unknown.
    pub fn slowdown(&self, image: &str, other: &str) -> f64 {
        let image = self.images.get(image);
        image.map_or(1.0, |image| image.regression.known_log_slowdown(other).exp())
    }

    /// Returns the known pairs, sorted by their names.
    pub fn pairs(&self) -> Vec<ImagePair> {
        let mut pairs: Vec<ImagePair> = self
            .images
            .iter()
            .flat_map(|(name, image)| {
                let known = image.regression.neighbours().filter(|(other, ..)| other.is_known);
                known.map(|(other, mean, log_deviation)| ImagePair {
                    image: Arc::clone(name),
                    other: Arc::clone(&other.image),
                    slowdown: mean.exp(),
                    log_deviation,
                    run_count: other.run_count,
                })
            })
            .collect();
        pairs.sort_by(|a, b| (&a.image, &a.other).cmp(&(&b.image, &b.other)));
        pairs
    }

    /// Returns the number of known pairs.
    pub fn known_pair_count(&self) -> usize {
        self.known_pair_count
    }

    /// Returns the number of images that are kept.
    pub fn image_count(&self) -> usize {
        self.images.len()
    }

    /// Returns the number of runs that are observed now.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Takes the pairs that became known since the last call.
    pub fn take_newly_known(&mut self) -> Vec<ImagePair> {
        std::mem::take(&mut self.newly_known)
    }

    /// Returns `true` if the image is kept, which it is from now on if there is room.
    fn keep_image(&mut self, name: &Arc<str>, now: TimestampMs) -> bool {
        if let Some(image) = self.images.get_mut(name) {
            image.last_seen_at = now;
            return true;
        }
        if self.images.len() >= MAX_IMAGE_COUNT {
            let oldest = self.images.iter().min_by_key(|(_, image)| image.last_seen_at);
            let unused =
                oldest.filter(|(_, image)| now.since(image.last_seen_at) >= IMAGE_RETENTION);
            let Some(unused) = unused.map(|(name, _)| Arc::clone(name)) else { return false };
            self.images.remove(&unused);
            self.images.values_mut().for_each(|image| image.regression.remove(&unused));
            let known = self.images.values().map(|image| known_images(&image.regression).len());
            self.known_pair_count = known.sum();
        }
        let image = Image { regression: Regression::default(), last_seen_at: now };
        self.images.insert(Arc::clone(name), image);
        true
    }
}

/// Returns the other images beside a run, sorted, from the sorted images of all runs.
fn neighbours(images: &[&Arc<str>], row: &RunSample) -> Vec<Arc<str>> {
    let own_count = images.iter().filter(|image| **image == &row.image).count();
    let mut neighbours: Vec<Arc<str>> = images
        .iter()
        .filter(|image| own_count > 1 || **image != &row.image)
        .map(|image| Arc::clone(image))
        .collect();
    neighbours.dedup();
    neighbours
}

/// Returns the log rate that a run would have had without neighbours, as far as they are known.
fn run_level(observations: &[Observation], regression: &Regression) -> f64 {
    let weight: f64 = observations.iter().map(|observation| observation.weight).sum();
    let level = |observation: &Observation| {
        let slowdown = regression.expected_log_slowdown(&observation.neighbours);
        (observation.log_rate + slowdown) * observation.weight / weight
    };
    observations.iter().map(level).sum()
}

fn known_images(regression: &Regression) -> Vec<Arc<str>> {
    let known = regression.neighbours().filter(|(other, ..)| other.is_known);
    known.map(|(other, ..)| Arc::clone(&other.image)).collect()
}
