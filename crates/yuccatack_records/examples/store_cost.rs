//! Measures memory, snapshot size and apply rate of the record store at increasing numbers of jobs.
//!
//! `cargo run --release --package yuccatack_records --example store_cost`
#![allow(clippy::print_stdout, clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Instant;

use yuccatack_core::prelude::*;
use yuccatack_records::{Change, ChangeOutcome, Operation, RecordStore};

/// Page size of the system; `/proc/self/statm` counts resident memory in pages.
const PAGE_KB: u64 = 4;

fn resident_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    text.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * PAGE_KB
}

fn change(id: String, operation: Operation, replaces: u64, document: &str) -> Change {
    Change {
        change_id: ChangeId::new(&id),
        operation,
        replaces_generation: Generation::new(replaces),
        document: Arc::from(document),
    }
}

fn job(index: u64) -> String {
    format!(
        r#"{{"schema_version":2,"kind":"job","name":"reconcile-{index:08}","organisation":"tri","tasks":4,"accelerators_per_task":8,"adjacency":"rack","class":"batch","declared_run_time_s":7200,"idempotent":true,"checkpointable":true,"command":["reconcile","--batch","{index}"]}}"#
    )
}

fn apply(store: &mut RecordStore, change: &Change, index: u64) {
    let outcome = store.apply(change, TimestampMs::new(index));
    assert!(matches!(outcome, ChangeOutcome::Accepted { .. }), "{outcome:?}");
}

fn main() {
    let organisation =
        r#"{"schema_version":2,"kind":"organisation","name":"tri","accelerator_quota_count":8}"#;
    println!("document: {} bytes", job(1).len());
    println!("records  resident_kB  bytes/record  snapshot_bytes/record  submits/s  resends/s");
    let mut store = RecordStore::default();
    apply(&mut store, &change("org".to_owned(), Operation::Submit, 0, organisation), 0);
    let base_kb = resident_kb();
    let mut count = 0;
    for target in [10_000, 20_000, 40_000, 80_000] {
        let batch: Vec<Change> = (count..target)
            .map(|index| change(format!("submit-{index}"), Operation::Submit, 0, &job(index)))
            .collect();
        let started = Instant::now();
        for change in &batch {
            apply(&mut store, change, count);
        }
        let submits_per_s = batch.len() as f64 / started.elapsed().as_secs_f64();
        let started = Instant::now();
        for change in &batch {
            apply(&mut store, change, count);
        }
        let resends_per_s = batch.len() as f64 / started.elapsed().as_secs_f64();
        drop(batch);
        count = target;
        let resident = resident_kb();
        let per_record = (resident - base_kb) * 1024 / count;
        let snapshot = rmp_serde::to_vec_named(&store).unwrap().len() as u64 / count;
        println!(
            "{count:7}  {resident:11}  {per_record:12}  {snapshot:21}  {submits_per_s:9.0}  \
             {resends_per_s:9.0}"
        );
    }
    withdraw_all(store, count);
}

/// Measures the snapshot size of a withdrawn name before and after its change ids are evicted.
fn withdraw_all(mut store: RecordStore, count: u64) {
    let started = Instant::now();
    for index in 0..count {
        let change = change(format!("withdraw-{index}"), Operation::Withdraw, 1, &job(index));
        apply(&mut store, &change, index);
    }
    let withdrawals_per_s = count as f64 / started.elapsed().as_secs_f64();
    let before = rmp_serde::to_vec_named(&store).unwrap().len();
    // Changes are retained for seven days, so a change eight days later evicts the others.
    let eight_days_ms = 8 * 24 * 3600 * 1000;
    let policy = r#"{"schema_version":1,"kind":"policy","name":"p","completion_percent":50}"#;
    apply(&mut store, &change("late".to_owned(), Operation::Submit, 0, policy), eight_days_ms);
    let after = rmp_serde::to_vec_named(&store).unwrap().len();
    println!("withdrawals/s: {withdrawals_per_s:.0}");
    println!("snapshot of {count} withdrawn names: {before} bytes with their change ids,");
    println!("  {after} bytes after these are evicted ({} bytes a name)", after as u64 / count);
}
