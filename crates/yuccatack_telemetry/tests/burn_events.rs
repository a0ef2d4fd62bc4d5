//! Guards against events that are counted for the wrong objective or organisation, or not at all.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{fast_rankings, observe, organisation, seconds};
use yuccatack_core::prelude::*;
use yuccatack_records::{Indicator, ObjectiveRecord};
use yuccatack_telemetry::Metrics;
use yuccatack_telemetry::burn::{BurnSampler, ObjectiveReading};
use yuccatack_telemetry::metrics::RequestOutcome;

fn counts(metrics: &Metrics, name: Option<&str>) -> (u64, u64) {
    let readings = metrics.objectives.read();
    let matches = |reading: &&ObjectiveReading| {
        reading.organisation.as_ref().map(OrganisationName::as_str) == name
    };
    let found: Vec<&ObjectiveReading> = readings.iter().filter(matches).collect();
    assert_eq!(found.len(), 1, "{readings:?}");
    (found[0].good_count, found[0].total_count)
}

#[test]
fn organisations_counted_separately() {
    let metrics = Metrics::new();
    let known = [organisation("selangor"), organisation("johor")];
    metrics.objectives.set_objectives(&[fast_rankings()], &known);
    observe(&metrics, "selangor", RequestOutcome::Completed, 20, 3);
    observe(&metrics, "johor", RequestOutcome::NotRun, 20, 2);
    assert_eq!(counts(&metrics, Some("selangor")), (3, 3));
    assert_eq!(counts(&metrics, Some("johor")), (0, 2));
}

#[test]
fn threshold_separates_events() {
    let metrics = Metrics::new();
    metrics.objectives.set_objectives(&[fast_rankings()], &[organisation("selangor")]);
    observe(&metrics, "selangor", RequestOutcome::Completed, 500, 1);
    observe(&metrics, "selangor", RequestOutcome::Completed, 501, 1);
    observe(&metrics, "selangor", RequestOutcome::Unknown, 1, 1);
    // An invalid request is the caller's error, so it must not use the error budget.
    observe(&metrics, "selangor", RequestOutcome::Invalid, 1, 1);
    assert_eq!(counts(&metrics, Some("selangor")), (1, 3));
}

/// Guards against unbounded memory use when callers send requests with invented names.
#[test]
fn unknown_organisations_not_counted() {
    let metrics = Metrics::new();
    metrics.objectives.set_objectives(&[fast_rankings()], &[organisation("selangor")]);
    observe(&metrics, "invented", RequestOutcome::Completed, 20, 1);
    assert_eq!(metrics.objectives.read().len(), 1);
    assert_eq!(counts(&metrics, Some("selangor")), (0, 0));
}

#[test]
fn series_are_bounded() {
    let metrics = Metrics::new();
    let names: Vec<OrganisationName> =
        (0..5_000).map(|number| organisation(&format!("o-{number}"))).collect();
    metrics.objectives.set_objectives(&[fast_rankings()], &names);
    assert_eq!(metrics.objectives.read().len(), 4_000);
}

#[test]
fn jobs_and_guarantees_counted() {
    let metrics = Metrics::new();
    let start = ObjectiveRecord {
        name: RecordName::new("prompt-start").unwrap(),
        organisation: Some(organisation("selangor")),
        indicator: Indicator::JobStart(PriorityClass::Urgent),
        target_ratio: 0.99,
        threshold_ms: 8_300,
    };
    let guarantee = RecordName::new("selangor-8").unwrap();
    let reclaim = ObjectiveRecord {
        name: RecordName::new("prompt-reclaim").unwrap(),
        organisation: None,
        indicator: Indicator::GuaranteeReclaim(guarantee.clone()),
        target_ratio: 0.99,
        threshold_ms: 6_500,
    };
    metrics.objectives.set_objectives(&[start, reclaim], &[]);
    let selangor = organisation("selangor");
    metrics.jobs.observe_start(&selangor, PriorityClass::Urgent, DurationMs::new(8_300));
    metrics.jobs.observe_start(&selangor, PriorityClass::Urgent, DurationMs::new(8_301));
    metrics.jobs.observe_start(&selangor, PriorityClass::Batch, DurationMs::new(1));
    metrics.jobs.observe_reclaim(&guarantee, DurationMs::new(6_500));
    metrics.jobs.observe_reclaim(&RecordName::new("other").unwrap(), DurationMs::new(1));
    assert_eq!(counts(&metrics, Some("selangor")), (1, 2));
    assert_eq!(counts(&metrics, None), (1, 1));
}

/// Guards against counts that restart at 0 whenever any record changes.
#[test]
fn unchanged_objective_keeps_counts() {
    let metrics = Metrics::new();
    let selangor = organisation("selangor");
    metrics.objectives.set_objectives(&[fast_rankings()], std::slice::from_ref(&selangor));
    observe(&metrics, "selangor", RequestOutcome::Completed, 20, 3);
    metrics.objectives.set_objectives(&[fast_rankings()], &[selangor, organisation("johor")]);
    assert_eq!(counts(&metrics, Some("selangor")), (3, 3));
    metrics.objectives.set_objectives(&[], &[]);
    assert!(!metrics.encode().unwrap().contains("fast-rankings"));
}

#[test]
fn events_reach_report() {
    let metrics = Metrics::new();
    metrics.objectives.set_objectives(&[fast_rankings()], &[organisation("selangor")]);
    let mut sampler = BurnSampler::new(seconds(0));
    sampler.sample(&metrics.objectives.read(), seconds(0));
    observe(&metrics, "selangor", RequestOutcome::Completed, 20, 98);
    observe(&metrics, "selangor", RequestOutcome::Completed, 900, 2);
    sampler.sample(&metrics.objectives.read(), seconds(15));
    let report = sampler.report(seconds(15));
    // 2 of 100 are bad: 0.02 / 0.01 = 2.
    support::assert_close(report.series[0].windows[0].burn_rate, 2.0);
    assert_eq!(report.series[0].indicator, "request latency of rankings");
    assert_eq!(report.observed_s, 15);
}
