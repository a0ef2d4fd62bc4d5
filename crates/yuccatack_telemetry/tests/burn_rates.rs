//! Guards against wrong burn rates and alerts. The comments show the calculation of each expected
//! value.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{assert_close, fast_rankings, organisation, seconds};
use yuccatack_records::ObjectiveRecord;
use yuccatack_telemetry::burn::{
    Alert, BurnReport, BurnSampler, CountSeries, Counts, ObjectiveReading, SeriesReport, Window,
};

/// Counter that is increased and sampled in steps of 15 s.
struct SampledCounter {
    sampler: BurnSampler,
    reading: ObjectiveReading,
    now_s: u64,
}

impl SampledCounter {
    fn new() -> Self {
        let reading = ObjectiveReading {
            objective: fast_rankings(),
            organisation: Some(organisation("selangor")),
            good_count: 0,
            total_count: 0,
        };
        let mut counter = Self { sampler: BurnSampler::new(seconds(0)), reading, now_s: 0 };
        counter.sample();
        counter
    }

    /// Counts 100 events every 15 s, of which `bad` are bad.
    fn advance(&mut self, minutes: u64, bad: u64) {
        for _ in 0..minutes * 4 {
            self.now_s += 15;
            self.reading.total_count += 100;
            self.reading.good_count += 100 - bad;
            self.sample();
        }
    }

    fn sample(&mut self) {
        self.sampler.sample(std::slice::from_ref(&self.reading), seconds(self.now_s));
    }

    fn report(&mut self) -> SeriesReport {
        let report = self.sampler.report(seconds(self.now_s));
        assert_eq!(report.series.len(), 1);
        report.series[0].clone()
    }
}

#[test]
fn rate_of_counts() {
    // 15 of 1000 events are bad: 0.015 / (1 - 0.999) = 15.
    assert_close(Counts { good: 985, total: 1000 }.burn_rate(0.999), 15.0);
    // All events are bad: 1 / (1 - 0.99) = 100.
    assert_close(Counts { good: 0, total: 7 }.burn_rate(0.99), 100.0);
    assert_close(Counts { good: 7, total: 7 }.burn_rate(0.99), 0.0);
    assert_close(Counts::default().burn_rate(0.99), 0.0);
}

#[test]
fn short_disturbance_no_page() {
    let mut counter = SampledCounter::new();
    counter.advance(60, 0);
    counter.advance(5, 20);
    let report = counter.report();
    // 20 slots with 20 bad of 100 each: 0.2 / 0.01 = 20.
    assert_close(report.burn_rate(Window::FiveMinutes), 20.0);
    // 120 slots hold 12000 events, 400 of them bad: 0.033333 / 0.01 = 3.333333.
    assert_close(report.burn_rate(Window::ThirtyMinutes), 3.333_333_3);
    // 240 slots hold 24000 events, 400 of them bad: 0.016667 / 0.01 = 1.666667.
    assert_close(report.burn_rate(Window::OneHour), 1.666_666_7);
    // 65 minutes hold 26000 events, 400 of them bad: 0.015385 / 0.01 = 1.538462.
    assert_close(report.burn_rate(Window::SixHours), 1.538_461_5);
    assert_eq!(report.alert, Alert::None);
}

#[test]
fn long_disturbance_pages() {
    let mut counter = SampledCounter::new();
    counter.advance(60, 0);
    counter.advance(45, 20);
    let report = counter.report();
    // 180 of 240 slots have 20 bad events: 3600 / 24000 / 0.01 = 15, above 14.4.
    assert_close(report.burn_rate(Window::OneHour), 15.0);
    assert_close(report.burn_rate(Window::FiveMinutes), 20.0);
    assert_eq!(report.alert, Alert::Page);
}

/// Guards against a page that remains active after the disturbance has ended.
#[test]
fn page_ends_with_disturbance() {
    let mut counter = SampledCounter::new();
    counter.advance(60, 20);
    assert_eq!(counter.report().alert, Alert::Page);
    counter.advance(5, 0);
    let report = counter.report();
    assert_close(report.burn_rate(Window::FiveMinutes), 0.0);
    // 100 of 120 slots have 20 bad events: 2000 / 12000 / 0.01 = 16.666667, above 6; over six
    // hours 4800 of 26000 are bad: 18.461538, above 6.
    assert_close(report.burn_rate(Window::ThirtyMinutes), 16.666_666_7);
    assert_close(report.burn_rate(Window::SixHours), 18.461_538_5);
    assert_eq!(report.alert, Alert::Ticket);
}

#[test]
fn slow_burn_opens_ticket() {
    let mut counter = SampledCounter::new();
    counter.advance(360, 7);
    let report = counter.report();
    for window in Window::ALL {
        assert_close(report.burn_rate(window), 7.0);
    }
    assert_eq!(report.alert, Alert::Ticket);
}

#[test]
fn rate_within_budget_no_alert() {
    let mut counter = SampledCounter::new();
    counter.advance(360, 1);
    let report = counter.report();
    assert_close(report.burn_rate(Window::SixHours), 1.0);
    assert_eq!(report.alert, Alert::None);
}

#[test]
fn old_events_leave_window() {
    let mut series = CountSeries::new(seconds(0));
    series.add(Counts { good: 0, total: 10 }, seconds(0));
    assert_eq!(series.sum(Window::FiveMinutes, seconds(299)).total, 10);
    assert_eq!(series.sum(Window::FiveMinutes, seconds(300)).total, 0);
    assert_eq!(series.sum(Window::ThirtyMinutes, seconds(1_799)).total, 10);
    assert_eq!(series.sum(Window::ThirtyMinutes, seconds(1_800)).total, 0);
    assert_eq!(series.sum(Window::OneHour, seconds(3_599)).total, 10);
    assert_eq!(series.sum(Window::OneHour, seconds(3_600)).total, 0);
    assert_eq!(series.sum(Window::SixHours, seconds(21_599)).total, 10);
    assert_eq!(series.sum(Window::SixHours, seconds(21_600)).total, 0);
}

/// Guards against old events that are counted again when the ring wraps around after a pause.
#[test]
fn pause_empties_rings() {
    let mut series = CountSeries::new(seconds(0));
    for slot in 0..300 {
        series.add(Counts { good: 1, total: 1 }, seconds(slot * 15));
    }
    let day = seconds(86_400);
    for window in Window::ALL {
        assert_eq!(series.sum(window, day), Counts::default());
    }
    series.add(Counts { good: 2, total: 3 }, day);
    assert_eq!(series.sum(Window::SixHours, day), Counts { good: 2, total: 3 });
    assert_eq!(series.plot().len(), 72);
    assert_eq!(series.plot()[71], Counts { good: 2, total: 3 });
}

/// Guards against the loss of events between the creation of an objective and the next sample.
#[test]
fn first_events_counted() {
    let mut sampler = BurnSampler::new(seconds(0));
    let mut reading = SampledCounter::new().reading;
    sampler.sample(&[], seconds(0));
    reading.total_count = 3;
    reading.good_count = 1;
    sampler.sample(&[reading.clone()], seconds(15));
    let counts = sampler.report(seconds(15)).series[0].windows[0].counts;
    assert_eq!(counts, Counts { good: 1, total: 3 });
    reading.total_count += 4;
    sampler.sample(&[reading], seconds(30));
    let counts = sampler.report(seconds(30)).series[0].windows[0].counts;
    assert_eq!(counts, Counts { good: 1, total: 7 });
}

/// Guards against the loss of earlier counts when a counter restarts at 0.
#[test]
fn restarted_counter_keeps_counts() {
    let mut counter = SampledCounter::new();
    counter.advance(1, 0);
    counter.reading.total_count = 5;
    counter.reading.good_count = 5;
    counter.sample();
    assert_eq!(counter.report().windows[0].counts, Counts { good: 405, total: 405 });
}

/// Guards against events that were judged by an old threshold and count under the new one.
#[test]
fn new_threshold_drops_old_events() {
    let mut counter = SampledCounter::new();
    counter.advance(1, 100);
    counter.reading.objective = ObjectiveRecord { threshold_ms: 100, ..fast_rankings() };
    counter.reading.total_count += 1_000_000;
    counter.sample();
    assert_eq!(counter.report().windows[0].counts, Counts::default());
    counter.reading.total_count += 4;
    counter.sample();
    assert_eq!(counter.report().windows[0].counts, Counts { good: 0, total: 4 });
}

#[test]
fn new_threshold_resets_counts() {
    let mut counter = SampledCounter::new();
    counter.advance(5, 20);
    counter.reading.objective = ObjectiveRecord { target_ratio: 0.9, ..fast_rankings() };
    counter.sample();
    // The same events under a target of 0.9: 0.2 / 0.1 = 2.
    assert_close(counter.report().burn_rate(Window::FiveMinutes), 2.0);
    counter.reading.objective = ObjectiveRecord { threshold_ms: 100, ..fast_rankings() };
    counter.sample();
    assert_eq!(counter.report().windows[0].counts, Counts::default());
}

#[test]
fn withdrawn_objective_removed() {
    let mut counter = SampledCounter::new();
    counter.advance(5, 20);
    counter.sampler.sample(&[], seconds(counter.now_s));
    assert_eq!(counter.sampler.report(seconds(counter.now_s)).series, []);
}

#[test]
fn processes_merge() {
    let report = |bad: u64| {
        let mut counter = SampledCounter::new();
        counter.advance(1, bad);
        BurnReport { observed_s: 60 + bad, series: vec![counter.report()] }
    };
    let merged = report(0).merge(report(50));
    assert_eq!(merged.observed_s, 60);
    assert_eq!(merged.series.len(), 1);
    let series = &merged.series[0];
    // 400 good of 400 and 200 good of 400: 200 / 800 / 0.01 = 25.
    assert_eq!(series.windows[0].counts, Counts { good: 600, total: 800 });
    assert_close(series.burn_rate(Window::FiveMinutes), 25.0);
    assert_eq!(merged.alert(), Alert::Page);
    assert_eq!(series.plot[71], Counts { good: 600, total: 800 });
}

#[test]
fn other_series_not_merged() {
    let mut counter = SampledCounter::new();
    counter.advance(1, 0);
    let ours = BurnReport { observed_s: 60, series: vec![counter.report()] };
    let mut theirs = ours.clone();
    theirs.series[0].organisation = Some(organisation("johor"));
    let merged = ours.merge(theirs);
    let names: Vec<String> = merged
        .series
        .iter()
        .map(|series| series.organisation.clone().unwrap().to_string())
        .collect();
    assert_eq!(names, ["johor", "selangor"]);
}
