//! Guarantees are accepted only when they fit together, and can always be reclaimed.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::*;
use yuccatack_core::prelude::*;
use yuccatack_leases::*;

fn platform_with(count: usize) -> Platform {
    let mut platform = Platform::new(5, workers(count, 1));
    platform.run_for(1_000);
    platform
}

fn long_running(platform: &mut Platform, spec: &JobSpec) {
    for worker in &mut platform.workers {
        worker.model.set_run_time(&spec.name, DurationMs::new(600_000));
    }
}

/// Guards against a guarantee that the healthy capacity minus the reserve cannot hold, and against
/// a refusal that does not say what would fit.
#[test]
fn refuses_excess() {
    let mut platform = platform_with(6);
    let policy = PolicySpec { reserve_worker_count: 2, ..PolicySpec::default() };
    platform.apply(LeaseCommand::SetPolicy(policy));
    let whole_worker = shape(1, 8, Adjacency::Worker);
    platform.apply(LeaseCommand::SetGuarantee(guarantee("first", "alpha", whole_worker, 2)));
    let refusal = platform.table.check_guarantee(&guarantee("next", "beta", whole_worker, 3));
    let GuaranteeRefusal::DoesNotFit { nearest, .. } = refusal.clone().unwrap_err() else {
        panic!("{refusal:?}");
    };
    assert_eq!(nearest, Some((whole_worker, 2)));
    assert!(refusal.unwrap_err().to_string().contains("2 x 1 tasks x 8 accelerators"));
    assert!(platform.table.check_guarantee(&guarantee("next", "beta", whole_worker, 2)).is_ok());
}

/// Guards against an urgent claim that waits longer than 8.3 s for borrowers to checkpoint, and
/// against a borrower that ignores the checkpoint.
#[test]
fn reclaims_in_time() {
    for checkpoint_ms in [200, 10_000] {
        let mut platform = platform_with(3);
        let kept = guarantee("kept", "alpha", shape(2, 8, Adjacency::Rack), 1);
        platform.apply(LeaseCommand::SetGuarantee(kept));
        for number in 0..6 {
            let borrower =
                job(&format!("borrower-{number}"), "beta", shape(1, 4, Adjacency::Worker));
            long_running(&mut platform, &borrower);
            platform.submit(borrower);
        }
        platform.run_for(5_000);
        assert_eq!(platform.table.cluster().free_accelerator_count(), 0);
        for worker in &mut platform.workers {
            worker.model.set_checkpoint_time(DurationMs::new(checkpoint_ms));
        }
        let mut urgent = job("urgent", "alpha", shape(2, 8, Adjacency::Rack));
        urgent.class = PriorityClass::Urgent;
        platform.submit(urgent);
        let name = job_name("urgent");
        assert!(platform.run_until(8_300, |p| p.starts(&name).len() == 2), "{checkpoint_ms}");
        assert!(platform.violations().is_empty());
    }
}

/// Guards against a job that can be neither checkpointed nor run again on capacity that a
/// guarantee may need at any time.
#[test]
fn keeps_firm_jobs_off() {
    let mut platform = platform_with(3);
    let kept = guarantee("kept", "alpha", shape(2, 8, Adjacency::Rack), 1);
    platform.apply(LeaseCommand::SetGuarantee(kept));
    for number in 0..3 {
        let mut firm = job(&format!("firm-{number}"), "beta", shape(1, 8, Adjacency::Worker));
        firm.idempotent = false;
        firm.checkpointable = false;
        long_running(&mut platform, &firm);
        platform.submit(firm);
    }
    platform.run_for(10_000);
    let running = (0..3).filter(|number| {
        platform.status(&job_name(&format!("firm-{number}"))) == JobStatus::Running
    });
    assert_eq!(running.count(), 1);
    let waiting = platform.table.jobs().find(|(_, job)| job.phase == JobPhase::Waiting).unwrap().0;
    assert_eq!(platform.table.explain(waiting).wait, Some(WaitReason::Guarantees));
}

/// Guards against a guarantee that keeps a lost worker as its place.
#[test]
fn moves_off_lost_workers() {
    let mut platform = platform_with(6);
    let kept = guarantee("kept", "alpha", shape(1, 8, Adjacency::Worker), 1);
    platform.apply(LeaseCommand::SetGuarantee(kept));
    let bound = |p: &Platform| p.table.guarantees().next().unwrap().instances[0].binding.clone();
    let before = bound(&platform);
    let name = platform.table.cluster().worker(before[0].0).unwrap().name.clone();
    let now = platform.now;
    let lost = platform.workers.iter_mut().find(|w| w.model.registration().worker == name).unwrap();
    lost.cut_until = now + 60_000;
    platform.run_for(10_000);
    assert!(!bound(&platform).is_empty());
    assert_ne!(bound(&platform), before);
}
