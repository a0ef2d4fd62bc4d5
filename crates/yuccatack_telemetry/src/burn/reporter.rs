//! The task that samples the counters and publishes the report.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use yuccatack_core::{DurationMs, TimestampMs};
use yuccatack_lifecycle::{Shutdown, ShutdownPhase};

use super::{BurnReport, BurnSampler};
use crate::metrics::ObjectiveMetrics;

/// How often the counters are read; the finest slot of a series.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(15);

/// Samples the counters of objectives and publishes the report.
#[derive(Debug)]
pub struct BurnReporter {
    objectives: ObjectiveMetrics,
    sampler: BurnSampler,
    started: Instant,
    reports: watch::Sender<Arc<BurnReport>>,
}

impl BurnReporter {
    /// Makes the task and the place where it publishes.
    pub fn new(objectives: ObjectiveMetrics) -> (Self, watch::Receiver<Arc<BurnReport>>) {
        let (reports, receiver) = watch::channel(Arc::new(BurnReport::default()));
        let sampler = BurnSampler::new(TimestampMs::default());
        (Self { objectives, sampler, started: Instant::now(), reports }, receiver)
    }

    /// Samples until the process aborts.
    pub async fn run(mut self, mut shutdown: Shutdown) {
        let mut interval = tokio::time::interval(SAMPLE_INTERVAL);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = interval.tick() => self.sample(),
                () = shutdown.wait_for(ShutdownPhase::Aborting) => return,
            }
        }
    }

    fn sample(&mut self) {
        let now = TimestampMs::default() + DurationMs::from(self.started.elapsed());
        self.sampler.sample(&self.objectives.read(), now);
        self.reports.send_replace(Arc::new(self.sampler.report(now)));
    }
}
