//! Guards against an error that fills the log with equal lines, and against lines that are
//! suppressed without being counted.

#![allow(clippy::unwrap_used, missing_docs)]

use std::sync::Arc;

use log::Level;
use yuccatack_core::{DurationMs, TimestampMs};
use yuccatack_telemetry::logging::{Decision, RepeatLimiter};

const WINDOW_DURATION: DurationMs = DurationMs::from_seconds(10);

fn at(milliseconds: u64) -> TimestampMs {
    TimestampMs::new(milliseconds)
}

fn count_written(limiter: &mut RepeatLimiter, event: &str, count: u64, now: TimestampMs) -> u64 {
    let event = Arc::from(event);
    let decisions = (0..count).map(|_| limiter.check(&event, Level::Warn, now));
    decisions.filter(|decision| *decision == Decision::Write).count() as u64
}

#[test]
fn lines_above_limit_counted() {
    let mut limiter = RepeatLimiter::new(3, WINDOW_DURATION);
    assert_eq!(count_written(&mut limiter, "minion_lost", 10, at(0)), 3);
    assert_eq!(limiter.next_summary_at(), Some(at(10_000)));
    assert_eq!(limiter.expire(at(9_999)), []);
    let summaries = limiter.expire(at(10_000));
    assert_eq!(summaries.len(), 1);
    assert_eq!(summaries[0].suppressed_count, 7);
    assert_eq!(&*summaries[0].event, "minion_lost");
    assert_eq!(limiter.next_summary_at(), None);
}

#[test]
fn next_window_writes_again() {
    let mut limiter = RepeatLimiter::new(3, WINDOW_DURATION);
    count_written(&mut limiter, "minion_lost", 10, at(0));
    limiter.expire(at(10_000));
    assert_eq!(count_written(&mut limiter, "minion_lost", 2, at(10_000)), 2);
    assert_eq!(limiter.expire(at(20_000)), []);
}

#[test]
fn events_counted_separately() {
    let mut limiter = RepeatLimiter::new(1, WINDOW_DURATION);
    assert_eq!(count_written(&mut limiter, "minion_lost", 2, at(0)), 1);
    assert_eq!(count_written(&mut limiter, "lease_expired", 2, at(0)), 1);
    let event = Arc::from("minion_lost");
    assert_eq!(limiter.check(&event, Level::Error, at(0)), Decision::Write);
}

#[test]
fn finish_reports_suppressed() {
    let mut limiter = RepeatLimiter::new(1, WINDOW_DURATION);
    count_written(&mut limiter, "minion_lost", 5, at(0));
    assert_eq!(limiter.finish()[0].suppressed_count, 4);
    assert_eq!(limiter.finish(), []);
}

/// Guards against memory use that grows without bound with the number of event names.
#[test]
fn kinds_are_bounded() {
    let mut limiter = RepeatLimiter::new(1, WINDOW_DURATION);
    for number in 0..2_000 {
        assert_eq!(count_written(&mut limiter, &format!("event_{number}"), 1, at(0)), 1);
    }
    assert_eq!(
        count_written(&mut limiter, "event_1999", 1, at(0)),
        1,
        "events beyond the bound must not be limited"
    );
    assert_eq!(
        count_written(&mut limiter, "event_0", 1, at(0)),
        0,
        "events within the bound must be limited"
    );
}
