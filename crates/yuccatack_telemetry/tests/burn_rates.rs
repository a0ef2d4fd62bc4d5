//! Guards against wrong burn rates and alerts; every number is calculated by hand beside it.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{assert_close, fast_rankings, organisation, seconds};
use yuccatack_records::ObjectiveRecord;
use yuccatack_telemetry::burn::{
    Alert, BurnReport, BurnSampler, CountSeries, Counts, ObjectiveReading, SeriesReport, Window,
};

/// Grows one counter in steps of 15 s and samples it.
struct Feed {
    sampler: BurnSampler,
    reading: ObjectiveReading,
    now_s: u64,
}

impl Feed {
    fn new() -> Self {
        let reading = ObjectiveReading {
            objective: fast_rankings(),
            organisation: Some(organisation("selangor")),
            good_count: 0,
            total_count: 0,
        };
        let mut feed = Self { sampler: BurnSampler::new(seconds(0)), reading, now_s: 0 };
        feed.sample();
        feed
    }

    /// 100 events every 15 s, of which `bad` are bad.
    fn run(&mut self, minutes: u64, bad: u64) {
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
    // 15 of 1000 are bad: 0.015 / (1 - 0.999) = 15.
    assert_close(Counts { good: 985, total: 1000 }.burn_rate(0.999), 15.0);
    // All are bad: 1 / (1 - 0.99) = 100.
    assert_close(Counts { good: 0, total: 7 }.burn_rate(0.99), 100.0);
    assert_close(Counts { good: 7, total: 7 }.burn_rate(0.99), 0.0);
    assert_close(Counts::default().burn_rate(0.99), 0.0);
}

#[test]
fn short_disturbance_no_page() {
    let mut feed = Feed::new();
    feed.run(60, 0);
    feed.run(5, 20);
    let report = feed.report();
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
    let mut feed = Feed::new();
    feed.run(60, 0);
    feed.run(45, 20);
    let report = feed.report();
    // 180 of 240 slots have 20 bad events: 3600 / 24000 / 0.01 = 15, above 14.4.
    assert_close(report.burn_rate(Window::OneHour), 15.0);
    assert_close(report.burn_rate(Window::FiveMinutes), 20.0);
    assert_eq!(report.alert, Alert::Page);
}

/// Guards against a page that goes on after the disturbance has ended.
#[test]
fn page_ends_with_disturbance() {
    let mut feed = Feed::new();
    feed.run(60, 20);
    assert_eq!(feed.report().alert, Alert::Page);
    feed.run(5, 0);
    let report = feed.report();
    assert_close(report.burn_rate(Window::FiveMinutes), 0.0);
    // 100 of 120 slots have 20 bad events: 2000 / 12000 / 0.01 = 16.666667, above 6; over six
    // hours 4800 of 26000 are bad: 18.461538, above 6.
    assert_close(report.burn_rate(Window::ThirtyMinutes), 16.666_666_7);
    assert_close(report.burn_rate(Window::SixHours), 18.461_538_5);
    assert_eq!(report.alert, Alert::Ticket);
}

#[test]
fn slow_burn_opens_ticket() {
    let mut feed = Feed::new();
    feed.run(360, 7);
    let report = feed.report();
    for window in Window::ALL {
        assert_close(report.burn_rate(window), 7.0);
    }
    assert_eq!(report.alert, Alert::Ticket);
}

#[test]
fn promised_rate_no_alert() {
    let mut feed = Feed::new();
    feed.run(360, 1);
    let report = feed.report();
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

/// Guards against events that come back when the ring wraps around after a pause.
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

/// Guards against events that are lost between the start of an objective and the next sample.
#[test]
fn first_events_counted() {
    let mut sampler = BurnSampler::new(seconds(0));
    let mut reading = Feed::new().reading;
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

/// Guards against a counter that starts again and takes away what was counted before.
#[test]
fn restarted_counter_adds() {
    let mut feed = Feed::new();
    feed.run(1, 0);
    feed.reading.total_count = 5;
    feed.reading.good_count = 5;
    feed.sample();
    assert_eq!(feed.report().windows[0].counts, Counts { good: 405, total: 405 });
}

/// Guards against events under an old measure that count under the new one.
#[test]
fn new_measure_counts_from_now() {
    let mut feed = Feed::new();
    feed.run(1, 100);
    feed.reading.objective = ObjectiveRecord { threshold_ms: 100, ..fast_rankings() };
    feed.reading.total_count += 1_000_000;
    feed.sample();
    assert_eq!(feed.report().windows[0].counts, Counts::default());
    feed.reading.total_count += 4;
    feed.sample();
    assert_eq!(feed.report().windows[0].counts, Counts { good: 0, total: 4 });
}

#[test]
fn new_threshold_starts_anew() {
    let mut feed = Feed::new();
    feed.run(5, 20);
    feed.reading.objective = ObjectiveRecord { target_ratio: 0.9, ..fast_rankings() };
    feed.sample();
    // The same events under a target of 0.9: 0.2 / 0.1 = 2.
    assert_close(feed.report().burn_rate(Window::FiveMinutes), 2.0);
    feed.reading.objective = ObjectiveRecord { threshold_ms: 100, ..fast_rankings() };
    feed.sample();
    assert_eq!(feed.report().windows[0].counts, Counts::default());
}

#[test]
fn withdrawn_objective_forgotten() {
    let mut feed = Feed::new();
    feed.run(5, 20);
    feed.sampler.sample(&[], seconds(feed.now_s));
    assert_eq!(feed.sampler.report(seconds(feed.now_s)).series, []);
}

#[test]
fn processes_merge() {
    let report = |bad: u64| {
        let mut feed = Feed::new();
        feed.run(1, bad);
        BurnReport { observed_s: 60 + bad, series: vec![feed.report()] }
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
fn other_objectives_stay_apart() {
    let mut feed = Feed::new();
    feed.run(1, 0);
    let ours = BurnReport { observed_s: 60, series: vec![feed.report()] };
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
