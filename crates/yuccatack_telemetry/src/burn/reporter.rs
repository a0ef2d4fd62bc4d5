//! Task that samples the counters and publishes the burn report.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use yuccatack_core::{DurationMs, TimestampMs};
use yuccatack_lifecycle::{Shutdown, ShutdownPhase};

use super::{BurnReport, BurnSampler};
use crate::metrics::ObjectiveMetrics;

/// Interval between two readings of the counters, equal to the finest slot of a series.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(15);

/// Task that samples the counters of objectives and publishes a report after each sample.
#[derive(Debug)]
pub struct BurnReporter {
    objectives: ObjectiveMetrics,
    sampler: BurnSampler,
    started_at: Instant,
    reports: watch::Sender<Arc<BurnReport>>,
}

impl BurnReporter {
    /// Creates the task and a receiver of the reports that it publishes.
    pub fn new(objectives: ObjectiveMetrics) -> (Self, watch::Receiver<Arc<BurnReport>>) {
        let (reports, receiver) = watch::channel(Arc::new(BurnReport::default()));
        let sampler = BurnSampler::new(TimestampMs::default());
        (Self { objectives, sampler, started_at: Instant::now(), reports }, receiver)
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
        let now = TimestampMs::default() + DurationMs::from(self.started_at.elapsed());
        self.sampler.sample(&self.objectives.read(), now);
        self.reports.send_replace(Arc::new(self.sampler.report(now)));
    }
}
