//! Guards against a fault that fills the log with equal lines, and against lines that vanish
//! without a count.

#![allow(clippy::unwrap_used, missing_docs)]

use std::sync::Arc;

use log::Level;
use yuccatack_core::{DurationMs, TimestampMs};
use yuccatack_telemetry::logging::{Decision, RepeatLimiter};

const WINDOW: DurationMs = DurationMs::from_seconds(10);

fn at(milliseconds: u64) -> TimestampMs {
    TimestampMs::new(milliseconds)
}

fn check(limiter: &mut RepeatLimiter, event: &str, count: u64, now: TimestampMs) -> u64 {
    let event = Arc::from(event);
    let decisions = (0..count).map(|_| limiter.check(&event, Level::Warn, now));
    decisions.filter(|decision| *decision == Decision::Write).count() as u64
}

#[test]
fn lines_above_limit_counted() {
    let mut limiter = RepeatLimiter::new(3, WINDOW);
    assert_eq!(check(&mut limiter, "minion_lost", 10, at(0)), 3);
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
    let mut limiter = RepeatLimiter::new(3, WINDOW);
    check(&mut limiter, "minion_lost", 10, at(0));
    limiter.expire(at(10_000));
    assert_eq!(check(&mut limiter, "minion_lost", 2, at(10_000)), 2);
    assert_eq!(limiter.expire(at(20_000)), []);
}

#[test]
fn events_counted_apart() {
    let mut limiter = RepeatLimiter::new(1, WINDOW);
    assert_eq!(check(&mut limiter, "minion_lost", 2, at(0)), 1);
    assert_eq!(check(&mut limiter, "lease_expired", 2, at(0)), 1);
    let warn = Arc::from("minion_lost");
    assert_eq!(limiter.check(&warn, Level::Error, at(0)), Decision::Write);
}

#[test]
fn end_reports_rest() {
    let mut limiter = RepeatLimiter::new(1, WINDOW);
    check(&mut limiter, "minion_lost", 5, at(0));
    assert_eq!(limiter.finish()[0].suppressed_count, 4);
    assert_eq!(limiter.finish(), []);
}

/// Guards against memory that grows with the number of event names.
#[test]
fn kinds_are_bounded() {
    let mut limiter = RepeatLimiter::new(1, WINDOW);
    for number in 0..2_000 {
        assert_eq!(check(&mut limiter, &format!("event_{number}"), 1, at(0)), 1);
    }
    assert_eq!(check(&mut limiter, "event_1999", 1, at(0)), 1, "not counted beyond the bound");
    assert_eq!(check(&mut limiter, "event_0", 1, at(0)), 0, "counted within the bound");
}
