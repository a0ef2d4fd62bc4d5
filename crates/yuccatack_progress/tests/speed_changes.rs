//! Guards against estimates that keep a temporary slow-down, miss a lasting change, or take a machine
//! for slow because of one long task.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{Fleet, node};
use yuccatack_core::DurationMs;

/// Returns ten equal machines whose speeds are known.
fn settled() -> Fleet {
    let mut fleet = Fleet::new(vec![1.0; 10], 1);
    for _ in 0..40 {
        let machines = fleet.choose(5);
        fleet.run_gang(&machines, 2_000);
    }
    fleet
}

#[test]
fn slow_down_followed() {
    let mut fleet = settled();
    fleet.speeds[0] = 0.4;
    for _ in 0..2 {
        fleet.run_gang(&[0, 1, 2, 3], 2_000);
    }
    assert!(fleet.speed(0) < 0.5, "two slow runs did not count: {}", fleet.speed(0));
    fleet.speeds[0] = 1.0;
    for _ in 0..2 {
        fleet.run_gang(&[0, 1, 2, 3], 2_000);
    }
    assert_eq!(fleet.speed(0), 1.0, "the machine has recovered");
}

#[test]
fn avoided_machine_forgiven() {
    let mut fleet = settled();
    fleet.speeds[0] = 0.4;
    fleet.run_gang(&[0, 1, 2, 3], 2_000);
    assert!(fleet.speed(0) < 1.0);
    // No run begins on the machine any more.
    fleet.now = fleet.now + DurationMs::new(11_000);
    fleet.model.expire(fleet.now);
    assert_eq!(fleet.speed(0), 1.0, "the machine was never tried again");
}

#[test]
fn lasting_change_kept() {
    let mut fleet = settled();
    fleet.speeds[0] = 0.4;
    for _ in 0..12 {
        fleet.run_gang(&[0, 1, 2, 3], 2_000);
    }
    fleet.now = fleet.now + DurationMs::new(60_000);
    fleet.model.expire(fleet.now);
    assert!(fleet.speed(0) < 0.5, "the change was forgotten: {}", fleet.speed(0));
}

#[test]
fn long_task_tolerated() {
    let mut fleet = settled();
    let machines: Vec<usize> = (0..10).collect();
    let mut work = vec![1.0; 10];
    work[0] = 7.0;
    fleet.run_step(&machines, &work, 2_000, false, u64::MAX);
    assert_eq!(fleet.speed(0), 1.0, "one long task makes the machine look slow");
    // The first task that an unknown machine runs may be a long one, too.
    fleet.speeds.push(1.0);
    let machines: Vec<usize> = (1..=10).collect();
    let mut work = vec![1.0; 10];
    work[9] = 7.0;
    fleet.run_step(&machines, &work, 2_000, false, u64::MAX);
    assert_eq!(fleet.speed(10), 1.0, "the first task makes the machine look slow");
}

#[test]
fn restart_widens_estimate() {
    let mut fleet = settled();
    let before = fleet.model.estimate(&node(0)).unwrap();
    fleet.model.on_incarnation(&node(0), fleet.now);
    let after = fleet.model.estimate(&node(0)).unwrap();
    assert_eq!(before.speed, after.speed);
    assert!(after.log_deviation > 2.0 * before.log_deviation, "{after:?}");
}
