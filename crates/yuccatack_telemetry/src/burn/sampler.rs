//! Sampling of monotonic counters into series of counts.

use std::collections::BTreeMap;

use yuccatack_core::prelude::*;
use yuccatack_records::{Indicator, ObjectiveRecord};

use super::{BurnReport, CountSeries, Counts, SeriesReport, Window};

/// Values of the counters of one objective for one organisation at one time.
#[derive(Clone, Debug)]
pub struct ObjectiveReading {
    /// Objective that the counters belong to.
    pub objective: ObjectiveRecord,
    /// Organisation; `None` for the objective of a guarantee.
    pub organisation: Option<OrganisationName>,
    /// Number of good events since the counters were created.
    pub good_count: u64,
    /// Number of all events since the counters were created.
    pub total_count: u64,
}

/// Sampler of monotonic counters that reports on the sampled series.
#[derive(Debug)]
pub struct BurnSampler {
    started_at: TimestampMs,
    tracked: BTreeMap<(RecordName, Option<OrganisationName>), TrackedSeries>,
}

#[derive(Debug)]
struct TrackedSeries {
    objective: ObjectiveRecord,
    good_count: u64,
    total_count: u64,
    series: CountSeries,
}

impl BurnSampler {
    /// Creates a sampler without series.
    pub fn new(now: TimestampMs) -> Self {
        Self { started_at: now, tracked: BTreeMap::new() }
    }

    /// Adds the events since the last sample. Series without a reading are removed.
    pub fn sample(&mut self, readings: &[ObjectiveReading], now: TimestampMs) {
        let mut current = BTreeMap::new();
        for reading in readings {
            let key = (reading.objective.name.clone(), reading.organisation.clone());
            let mut tracked = match self.tracked.remove(&key) {
                Some(tracked) if tracked.has_same_criteria(reading) => tracked,
                Some(_) => TrackedSeries::with_new_criteria(reading, now),
                None => TrackedSeries::new(reading, now),
            };
            tracked.sample(reading, now);
            current.insert(key, tracked);
        }
        self.tracked = current;
    }

    /// Returns a report on all series.
    pub fn report(&mut self, now: TimestampMs) -> BurnReport {
        let tracked = self.tracked.iter_mut();
        let series =
            tracked.map(|((_, organisation), tracked)| tracked.report(organisation.clone(), now));
        BurnReport { observed_s: now.since(self.started_at).get() / 1000, series: series.collect() }
    }
}

impl TrackedSeries {
    /// Starts a series at 0: the counters of a new series are created with it, so that all their
    /// events have occurred since the last sample.
    fn new(reading: &ObjectiveReading, now: TimestampMs) -> Self {
        Self {
            objective: reading.objective.clone(),
            good_count: 0,
            total_count: 0,
            series: CountSeries::new(now),
        }
    }

    /// Starts a series at the values of the reading: the counters continue under the same name, but
    /// their events so far were judged by another threshold or indicator.
    fn with_new_criteria(reading: &ObjectiveReading, now: TimestampMs) -> Self {
        Self {
            good_count: reading.good_count,
            total_count: reading.total_count,
            ..Self::new(reading, now)
        }
    }

    /// Returns `true` if the reading has the same threshold and indicator as the series.
    fn has_same_criteria(&self, reading: &ObjectiveReading) -> bool {
        self.objective.threshold_ms == reading.objective.threshold_ms
            && self.objective.indicator == reading.objective.indicator
    }

    fn sample(&mut self, reading: &ObjectiveReading, now: TimestampMs) {
        // The counters start at 0 again if the objective was withdrawn and submitted in between.
        if reading.total_count < self.total_count {
            self.good_count = 0;
            self.total_count = 0;
        }
        let counts = Counts {
            good: saturating_u32(reading.good_count.saturating_sub(self.good_count)),
            total: saturating_u32(reading.total_count.saturating_sub(self.total_count)),
        };
        self.series.add(counts, now);
        self.objective = reading.objective.clone();
        self.good_count = reading.good_count;
        self.total_count = reading.total_count;
    }

    fn report(&mut self, organisation: Option<OrganisationName>, now: TimestampMs) -> SeriesReport {
        let counts = Window::ALL.map(|window| self.series.sum(window, now));
        let report = SeriesReport {
            objective: self.objective.name.clone(),
            organisation,
            indicator: describe_indicator(&self.objective.indicator),
            target_ratio: self.objective.target_ratio,
            threshold_ms: self.objective.threshold_ms,
            alert: Default::default(),
            windows: Vec::new(),
            plot: self.series.plot(),
        };
        report.with_counts(counts)
    }
}

fn saturating_u32(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn describe_indicator(indicator: &Indicator) -> String {
    match indicator {
        Indicator::RequestLatency(service) => format!("request latency of {service}"),
        Indicator::JobStart(class) => {
            format!("start time of {} jobs", crate::metrics::class_name(*class))
        }
        Indicator::GuaranteeReclaim(guarantee) => format!("reclaim time of {guarantee}"),
    }
}
