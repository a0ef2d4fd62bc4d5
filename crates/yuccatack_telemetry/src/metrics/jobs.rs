//! Metrics of jobs and guarantees, at the control leader.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use yuccatack_core::prelude::*;

use super::catalogue::register;
use super::labels::{ClassLabel, NameLabel};
use super::{JobOutcome, JobPhase, ObjectiveMetrics};

/// Upper bounds of the buckets of job start times. One bound is the 8.3 s target of urgent jobs;
/// batch jobs may wait for hours.
const START_BUCKETS_S: [f64; 14] =
    [0.1, 0.5, 1.0, 2.0, 4.0, 8.3, 15.0, 30.0, 60.0, 300.0, 900.0, 3_600.0, 14_400.0, 43_200.0];

/// Upper bounds of the buckets of reclaim times, around the 3 s checkpoint limit, the 6.5 s of
/// lease and margin, and the 8.3 s target.
const RECLAIM_BUCKETS_S: [f64; 10] = [0.1, 0.5, 1.0, 2.0, 3.0, 4.0, 6.5, 8.3, 15.0, 30.0];

/// Metrics of jobs and guarantees.
#[derive(Clone, Debug)]
pub struct JobMetrics {
    jobs: Family<PhaseLabels, Gauge>,
    outcomes: Family<OutcomeLabels, Counter>,
    start: Family<StartLabels, Histogram, fn() -> Histogram>,
    reclaim: Family<GuaranteeLabels, Histogram, fn() -> Histogram>,
    objectives: ObjectiveMetrics,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct PhaseLabels {
    class: ClassLabel,
    state: JobPhase,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct OutcomeLabels {
    organisation: NameLabel<OrganisationName>,
    class: ClassLabel,
    outcome: JobOutcome,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct StartLabels {
    organisation: NameLabel<OrganisationName>,
    class: ClassLabel,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq, EncodeLabelSet)]
struct GuaranteeLabels {
    guarantee: NameLabel<RecordName>,
}

fn start_histogram() -> Histogram {
    Histogram::new(START_BUCKETS_S)
}

fn reclaim_histogram() -> Histogram {
    Histogram::new(RECLAIM_BUCKETS_S)
}

impl JobMetrics {
    pub(super) fn register(registry: &mut Registry, objectives: ObjectiveMetrics) -> Self {
        let start = Family::new_with_constructor(start_histogram as fn() -> Histogram);
        let reclaim = Family::new_with_constructor(reclaim_histogram as fn() -> Histogram);
        Self {
            jobs: register(registry, "jobs", Family::default()),
            outcomes: register(registry, "job_outcomes", Family::default()),
            start: register(registry, "job_start", start),
            reclaim: register(registry, "guarantee_reclaim", reclaim),
            objectives,
        }
    }

    /// Sets the number of jobs of a class that are in a phase.
    pub fn set_jobs(&self, class: PriorityClass, state: JobPhase, job_count: u64) {
        let labels = PhaseLabels { class: ClassLabel(class), state };
        self.jobs.get_or_create(&labels).set(job_count.try_into().unwrap_or(i64::MAX));
    }

    /// Counts a job that ended.
    pub fn count_outcome(
        &self,
        organisation: &OrganisationName,
        class: PriorityClass,
        outcome: JobOutcome,
    ) {
        let organisation = NameLabel(organisation.clone());
        let labels = OutcomeLabels { organisation, class: ClassLabel(class), outcome };
        self.outcomes.get_or_create(&labels).inc();
    }

    /// Records the time from the submission of a job to its start.
    pub fn observe_start(
        &self,
        organisation: &OrganisationName,
        class: PriorityClass,
        wait: DurationMs,
    ) {
        self.objectives.observe_start(organisation, class, wait);
        let organisation = NameLabel(organisation.clone());
        let labels = StartLabels { organisation, class: ClassLabel(class) };
        self.start.get_or_create(&labels).observe(seconds(wait));
    }

    /// Records the time that a reclaim of guaranteed capacity took.
    pub fn observe_reclaim(&self, guarantee: &RecordName, time: DurationMs) {
        self.objectives.observe_reclaim(guarantee, time);
        let labels = GuaranteeLabels { guarantee: NameLabel(guarantee.clone()) };
        self.reclaim.get_or_create(&labels).observe(seconds(time));
    }
}

fn seconds(duration: DurationMs) -> f64 {
    std::time::Duration::from(duration).as_secs_f64()
}
