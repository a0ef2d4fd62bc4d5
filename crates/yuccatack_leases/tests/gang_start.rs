//! Tests that a gang starts completely or not at all.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::*;
use yuccatack_core::prelude::*;
use yuccatack_leases::*;

/// Guards against a gang that never starts, or starts twice, on a healthy platform.
#[test]
fn starts_once() {
    let mut platform = Platform::new(1, workers(6, 2));
    platform.run_for(1_000);
    platform.submit(job("gang", "alpha", shape(6, 4, Adjacency::DataCentre)));
    let gang = job_name("gang");
    assert!(platform.run_until(10_000, |p| p.status(&gang) == JobStatus::Succeeded));
    assert_eq!(platform.starts(&gang).len(), 6);
    assert!(platform.violations().is_empty());
}

/// Guards against a gang that starts on some workers although a disconnected one never confirmed
/// the preparation.
#[test]
fn missing_confirmation() {
    let mut platform = Platform::new(2, workers(3, 1));
    platform.run_for(1_000);
    platform.workers[1].disconnected_until = platform.now + 60_000;
    platform.submit(job("gang", "alpha", shape(3, 8, Adjacency::Rack)));
    let gang = job_name("gang");
    platform.run_for(30_000);
    assert_eq!(platform.starts(&gang).len(), 0);
    assert!(platform.table.explain(&gang).not_run);
    assert!(platform.run_until(90_000, |p| p.status(&gang) == JobStatus::Succeeded));
    assert!(platform.violations().is_empty());
}

/// Guards against the remaining tasks of a gang that continue after one of its workers is lost.
#[test]
fn stops_together() {
    let mut platform = Platform::new(3, workers(3, 1));
    platform.run_for(1_000);
    let mut spec = job("gang", "alpha", shape(3, 8, Adjacency::Rack));
    spec.idempotent = false;
    spec.checkpointable = false;
    let gang = job_name("gang");
    for worker in &mut platform.workers {
        worker.model.set_run_time(&gang, DurationMs::new(100_000));
    }
    platform.submit(spec);
    assert!(platform.run_until(5_000, |p| p.starts(&gang).len() == 3));
    platform.workers[2].off_until = platform.now + 100_000;
    platform.run_for(9_000);
    let records = platform.starts(&gang);
    assert!(records.iter().all(|record| record.ended.is_some() || record.task.index == 2));
    let explanation = platform.table.explain(&gang);
    assert_eq!(explanation.status, JobStatus::Unknown);
    assert!(!explanation.not_run);
}
