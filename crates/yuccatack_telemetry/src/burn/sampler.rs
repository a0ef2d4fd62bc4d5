//! Samples growing counters into series.

use std::collections::BTreeMap;

use yuccatack_core::prelude::*;
use yuccatack_records::{Indicator, ObjectiveRecord};

use super::{BurnReport, CountSeries, Counts, SeriesReport, Window};

/// The counters of one objective for one organisation, as they stand now.
#[derive(Clone, Debug)]
pub struct ObjectiveReading {
    /// The objective.
    pub objective: ObjectiveRecord,
    /// The organisation; `None` for the objective of a guarantee.
    pub organisation: Option<OrganisationName>,
    /// Good events since the counters were made.
    pub good_count: u64,
    /// All events since the counters were made.
    pub total_count: u64,
}

/// Samples growing counters into series and reports on them.
#[derive(Debug)]
pub struct BurnSampler {
    started_at: TimestampMs,
    tracked: BTreeMap<(RecordName, Option<OrganisationName>), Tracked>,
}

#[derive(Debug)]
struct Tracked {
    objective: ObjectiveRecord,
    good_count: u64,
    total_count: u64,
    series: CountSeries,
}

impl BurnSampler {
    /// Without series.
    pub fn new(now: TimestampMs) -> Self {
        Self { started_at: now, tracked: BTreeMap::new() }
    }

    /// Adds what was counted since the last sample. Series that `readings` lacks are forgotten.
    pub fn sample(&mut self, readings: &[ObjectiveReading], now: TimestampMs) {
        let mut kept = BTreeMap::new();
        for reading in readings {
            let key = (reading.objective.name.clone(), reading.organisation.clone());
            let mut tracked = match self.tracked.remove(&key) {
                Some(tracked) if tracked.continues(reading) => tracked,
                Some(_) => Tracked::with_new_measure(reading, now),
                None => Tracked::new(reading, now),
            };
            tracked.sample(reading, now);
            kept.insert(key, tracked);
        }
        self.tracked = kept;
    }

    /// Reports on every series.
    pub fn report(&mut self, now: TimestampMs) -> BurnReport {
        let tracked = self.tracked.iter_mut();
        let series =
            tracked.map(|((_, organisation), tracked)| tracked.report(organisation.clone(), now));
        BurnReport { observed_s: now.since(self.started_at).get() / 1000, series: series.collect() }
    }
}

impl Tracked {
    /// Counts from 0: the counters of a new series are made with it, so that everything they hold
    /// has happened since the last sample.
    fn new(reading: &ObjectiveReading, now: TimestampMs) -> Self {
        Self {
            objective: reading.objective.clone(),
            good_count: 0,
            total_count: 0,
            series: CountSeries::new(now),
        }
    }

    /// Counts from the reading on: the counters go on under the same name, but what they hold was
    /// judged by another measure.
    fn with_new_measure(reading: &ObjectiveReading, now: TimestampMs) -> Self {
        Self {
            good_count: reading.good_count,
            total_count: reading.total_count,
            ..Self::new(reading, now)
        }
    }

    /// Whether the reading counts by the same measure as before.
    fn continues(&self, reading: &ObjectiveReading) -> bool {
        self.objective.threshold_ms == reading.objective.threshold_ms
            && self.objective.indicator == reading.objective.indicator
    }

    fn sample(&mut self, reading: &ObjectiveReading, now: TimestampMs) {
        // The counters start at 0 again when an objective was withdrawn and submitted in between.
        if reading.total_count < self.total_count {
            self.good_count = 0;
            self.total_count = 0;
        }
        let counts = Counts {
            good: narrow(reading.good_count.saturating_sub(self.good_count)),
            total: narrow(reading.total_count.saturating_sub(self.total_count)),
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
            indicator: describe(&self.objective.indicator),
            target_ratio: self.objective.target_ratio,
            threshold_ms: self.objective.threshold_ms,
            alert: Default::default(),
            windows: Vec::new(),
            plot: self.series.plot(),
        };
        report.with_counts(counts)
    }
}

fn narrow(count: u64) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn describe(indicator: &Indicator) -> String {
    match indicator {
        Indicator::RequestLatency(service) => format!("request latency of {service}"),
        Indicator::JobStart(class) => {
            format!("start time of {} jobs", crate::metrics::class_name(*class))
        }
        Indicator::GuaranteeReclaim(guarantee) => format!("reclaim time of {guarantee}"),
    }
}
