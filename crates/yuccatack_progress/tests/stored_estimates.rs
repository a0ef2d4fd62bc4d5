//! Guards against a summary that loses what was learned, grows without bound or is written again and
//! again.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{Fleet, node};
use yuccatack_core::{DurationMs, TimestampMs};
use yuccatack_progress::prelude::*;

const MACHINE_COUNT: usize = 72;

fn learned() -> Fleet {
    let mut fleet = Fleet::uneven(MACHINE_COUNT, 5);
    for _ in 0..200 {
        let machines = fleet.choose(5);
        fleet.run_gang(&machines, 2_000);
    }
    fleet
}

/// Publishes all changes in batches of at most `limit`, and returns the records.
fn publish(fleet: &mut Fleet, limit: usize) -> Vec<EstimateRecord> {
    let mut records = Vec::new();
    loop {
        let batch = fleet.model.changed_estimates(limit);
        assert!(batch.len() <= limit);
        if batch.is_empty() {
            return records;
        }
        fleet.model.on_published(&batch);
        records.extend(batch);
    }
}

#[test]
fn restored_speeds_equal() {
    let mut fleet = learned();
    let records = publish(&mut fleet, 10);
    assert_eq!(records.len(), MACHINE_COUNT);
    let mut restored = ProgressModel::new();
    assert!(restored.restore(&records, TimestampMs::new(5)).is_empty());
    for index in 0..MACHINE_COUNT {
        let stored = restored.estimate(&node(index)).unwrap().speed;
        let learned = fleet.model.estimate(&node(index)).unwrap().speed;
        assert!((0.99..1.01).contains(&(stored / learned)), "{index}: {stored} {learned}");
        if !(0.8..1.25).contains(&learned) {
            assert_eq!(restored.speed(&node(index)), stored, "{index} is not known to differ");
        }
    }
    assert!(restored.changed_estimates(256).is_empty(), "restored estimates are stored again");
    // Further runs of the new leader begin with what is known.
    fleet.model = restored;
    let slow = (0..MACHINE_COUNT).find(|index| fleet.is_slow(*index)).unwrap();
    for _ in 0..5 {
        fleet.run_gang(&[slow, slow + 1, slow + 2], 2_000);
    }
    assert!(fleet.speed(slow) < 0.8);
}

#[test]
fn settled_model_writes_little() {
    let mut fleet = learned();
    publish(&mut fleet, 256);
    for _ in 0..100 {
        let machines = fleet.choose(5);
        fleet.run_gang(&machines, 2_000);
    }
    let count = publish(&mut fleet, 256).len();
    assert!(count <= MACHINE_COUNT / 8, "{count} estimates changed in a settled fleet");
}

#[test]
fn records_stay_readable() {
    let text = r#"{"m":"node-1","s":-693,"d":52,"n":17}"#;
    let record: EstimateRecord = serde_json::from_str(text).unwrap();
    assert_eq!(record.log_speed_milli, -693);
    assert_eq!(serde_json::to_string(&record).unwrap(), text);
    let mut model = ProgressModel::new();
    let wrong = EstimateRecord { log_speed_milli: i16::MIN, ..record };
    let errors = model.restore([&wrong], TimestampMs::new(1));
    assert_eq!(errors.len(), 1, "an impossible speed was accepted");
    assert_eq!(model.speed(&node(1)), 1.0);
}

#[test]
fn memory_is_bounded() {
    let mut fleet = learned();
    assert!(fleet.model.group_count() > 0);
    fleet.now = fleet.now + DurationMs::new(60_000);
    fleet.model.expire(fleet.now);
    assert_eq!(fleet.model.group_count(), 0, "steps that have ended are kept");
    for _ in 0..5_000 {
        let group = fleet.next_group();
        let sample = fleet.sample(&group, 0, 0, 1);
        fleet.model.on_progress(&sample, fleet.now);
    }
    assert_eq!(fleet.model.group_count(), 4_096);
    fleet.now = fleet.now + DurationMs::new(25 * 3_600_000);
    fleet.model.expire(fleet.now);
    assert_eq!(fleet.model.machine_count(), 0, "machines that are gone are kept");
}
