//! Tests that guarantees are accepted only when they fit together, and can always be reclaimed.
#![allow(clippy::unwrap_used, clippy::print_stdout, missing_docs)]

mod support;

use support::*;
use yuccatack_core::prelude::*;
use yuccatack_leases::*;

fn platform_with(count: usize) -> Platform {
    let mut platform = Platform::new(5, workers(count, 1));
    platform.run_for(1_000);
    platform
}

fn set_long_run_time(platform: &mut Platform, spec: &JobSpec) {
    for worker in &mut platform.workers {
        worker.model.set_run_time(&spec.name, DurationMs::new(600_000));
    }
}

/// Guards against an accepted guarantee that exceeds the healthy capacity minus the reserve, and
/// against a refusal that does not name the nearest guarantee that fits.
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

/// Returns the time from the submission of an urgent gang to the start of its last task, when
/// borrowers hold all accelerators and take `checkpoint_ms` to checkpoint.
fn urgent_start_ms(seed: u64, checkpoint_ms: u64) -> u64 {
    let mut platform = Platform::new(seed, workers(3, 1));
    platform.run_for(1_000);
    let kept = guarantee("kept", "alpha", shape(2, 8, Adjacency::Rack), 1);
    platform.apply(LeaseCommand::SetGuarantee(kept));
    for number in 0..6 {
        let borrower = job(&format!("borrower-{number}"), "beta", shape(1, 4, Adjacency::Worker));
        set_long_run_time(&mut platform, &borrower);
        platform.submit(borrower);
    }
    platform.run_for(5_000 + seed * 130 % 2_000);
    assert_eq!(platform.table.cluster().free_accelerator_count(), 0);
    for worker in &mut platform.workers {
        worker.model.set_checkpoint_time(DurationMs::new(checkpoint_ms));
    }
    let mut urgent = job("urgent", "alpha", shape(2, 8, Adjacency::Rack));
    urgent.class = PriorityClass::Urgent;
    let submitted_at = platform.now;
    platform.submit(urgent);
    let name = job_name("urgent");
    assert!(platform.run_until(60_000, |p| p.starts(&name).len() == 2));
    assert!(platform.violations().is_empty());
    platform.now - submitted_at
}

/// Guards against an urgent claim that starts later than 8.3 s, both when borrowers checkpoint in
/// time and when they exceed the checkpoint timeout.
#[test]
fn reclaims_in_time() {
    for checkpoint_ms in [200, 10_000] {
        let starts = seeds(20).into_iter().map(|seed| urgent_start_ms(seed, checkpoint_ms));
        let mut starts: Vec<u64> = starts.collect();
        starts.sort_unstable();
        println!("checkpoint {checkpoint_ms} ms: start after {starts:?} ms");
        assert!(starts.iter().all(|start| *start <= 8_300), "{starts:?}");
    }
}

/// Guards against placing a job that can be neither checkpointed nor run again on capacity that a
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
        set_long_run_time(&mut platform, &firm);
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

/// Guards against a guarantee that stays bound to a lost worker.
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
    lost.disconnected_until = now + 60_000;
    platform.run_for(10_000);
    assert!(!bound(&platform).is_empty());
    assert_ne!(bound(&platform), before);
}
