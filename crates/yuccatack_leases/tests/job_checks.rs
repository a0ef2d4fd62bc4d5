//! Tests of job refusals, quotas, quarantine and cancellations.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::*;
use yuccatack_core::prelude::*;
use yuccatack_leases::*;
use yuccatack_stand_ins::WorkerBehaviour;

fn platform_with(count: usize) -> Platform {
    let mut platform = Platform::new(9, workers(count, 1));
    platform.run_for(1_000);
    platform
}

/// Guards against accepted jobs that wait forever because they exceed every domain or the quota.
#[test]
fn refuses_impossible() {
    let mut platform = platform_with(3);
    let too_wide = job("wide", "alpha", shape(1, 9, Adjacency::Worker));
    let refusal = platform.table.check_job(&too_wide).unwrap_err();
    assert!(matches!(refusal, JobRefusal::NeverFits { possible_count: 0, .. }), "{refusal}");
    let quota = QuotaSpec {
        organisation: organisation("alpha"),
        accelerator_quota_count: 4,
        fair_share_weight: 1,
    };
    platform.apply(LeaseCommand::SetQuota(quota));
    let over = job("over", "alpha", shape(5, 1, Adjacency::Rack));
    let refusal = platform.table.check_job(&over).unwrap_err();
    assert!(matches!(refusal, JobRefusal::ExceedsQuota { .. }), "{refusal}");
    let none = job("none", "alpha", shape(0, 1, Adjacency::Rack));
    assert!(matches!(platform.table.check_job(&none), Err(JobRefusal::NoTasks { .. })));
}

/// Guards against an organisation that holds more accelerators than its quota allows.
#[test]
fn enforces_quota() {
    let mut platform = platform_with(3);
    let quota = QuotaSpec {
        organisation: organisation("alpha"),
        accelerator_quota_count: 6,
        fair_share_weight: 1,
    };
    platform.apply(LeaseCommand::SetQuota(quota));
    for number in 0..5 {
        platform.submit(job(&format!("job-{number}"), "alpha", shape(1, 2, Adjacency::Worker)));
    }
    platform.run_for(2_000);
    let held = platform.table.organisation(&organisation("alpha")).unwrap().held_accelerator_count;
    assert_eq!(held, 6);
}

/// Guards against a faulty worker that fails one job after another, and against a repaired worker
/// that never returns to service.
#[test]
fn quarantines_worker() {
    let mut platform = platform_with(3);
    platform.workers[0].model.set_behaviour(WorkerBehaviour::FailAll);
    let faulty = platform.workers[0].model.registration().worker.clone();
    for number in 0..30 {
        platform.submit(job(&format!("job-{number}"), "alpha", shape(1, 8, Adjacency::Worker)));
    }
    let quarantined = |p: &Platform| {
        matches!(p.table.worker(&faulty).unwrap().health, WorkerHealth::Quarantined { .. })
    };
    assert!(platform.run_until(30_000, quarantined));
    platform.workers[0].model.set_behaviour(WorkerBehaviour::Normal);
    assert!(platform.run_until(200_000, |p| !quarantined(p)));
    platform.run_for(60_000);
    assert!(platform.table.jobs().all(|(_, job)| job.phase == JobPhase::Succeeded));
}

/// Guards against a faulty job that is retried forever.
#[test]
fn refuses_faulty_job() {
    let mut platform = platform_with(6);
    // Other jobs succeed on the workers first, so the failures count against the job.
    for number in 0..30 {
        platform.submit(job(&format!("good-{number}"), "alpha", shape(1, 1, Adjacency::Worker)));
    }
    platform.run_for(20_000);
    let faulty = job_name("faulty");
    platform.submit(job("faulty", "alpha", shape(1, 8, Adjacency::Worker)));
    for _ in 0..3 {
        for worker in &mut platform.workers {
            worker.model.set_behaviour(WorkerBehaviour::FailAll);
        }
        let failures = platform.table.job(&faulty).unwrap().failure_count;
        platform.run_until(10_000, |p| p.table.job(&faulty).unwrap().failure_count > failures);
    }
    platform.run_for(2_000);
    assert_eq!(platform.status(&faulty), JobStatus::Refused);
    let text = platform.table.explain(&faulty).text;
    assert!(text.contains("3 different healthy workers"), "{text}");
    assert!(!platform.table.explain(&faulty).not_run);
}

/// Guards against a burst of cancellations that delays urgent work, and against a cancelled job
/// that ran but is reported as not run.
#[test]
fn cancels_in_bulk() {
    let mut platform = platform_with(6);
    let names: Vec<JobName> = (0..5_000)
        .map(|number| {
            let spec = job(&format!("batch-{number}"), "alpha", shape(1, 8, Adjacency::Worker));
            platform.submit(spec.clone());
            spec.name
        })
        .collect();
    platform.run_for(2_000);
    let at = platform.time();
    platform.apply(LeaseCommand::CancelJobs { jobs: names.clone(), at });
    let mut urgent = job("urgent", "beta", shape(1, 8, Adjacency::Worker));
    urgent.class = PriorityClass::Urgent;
    platform.submit(urgent);
    let urgent = job_name("urgent");
    assert!(platform.run_until(2_000, |p| p.starts(&urgent).len() == 1));
    for name in &names {
        let explanation = platform.table.explain(name);
        assert_eq!(explanation.status, JobStatus::Cancelled);
        assert_eq!(explanation.not_run, platform.table.job(name).unwrap().started_count == 0);
    }
}
