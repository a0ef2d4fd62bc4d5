//! Guards against jobs that are accepted although it is known that they cannot be served, and against
//! jobs that are refused although they can.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{TestCluster, node, run, starts, step};
use yuccatack_core::{DurationMs, JobName, OrganisationName, QueueName, Resources, ServiceName};
use yuccatack_dispatch::{MachineSpeeds, Refusal, RefusalCause};
use yuccatack_runs::{JobSpec, JobSubmission, RunOutcome, StepSpec};

/// Time after which a leader refuses jobs.
const SETTLING_MS: u64 = 5_000;

fn submission(name: &str, priority: u32, step: StepSpec) -> JobSubmission {
    JobSubmission {
        name: JobName::new(name).unwrap(),
        queue: QueueName::new("queue").unwrap(),
        service: ServiceName::new("pool").unwrap(),
        organisation: None,
        priority,
        max_attempts: 2,
        stretch: 3.0,
        allowance_ms: DurationMs::new(1_000),
        accepted_at_unix_ms: 0,
        origin: None,
        spec: JobSpec { payload: "payload".into(), steps: vec![step], schedule: None },
    }
}

fn admit(cluster: &mut TestCluster, submission: &JobSubmission) -> Result<(), Refusal> {
    let (table, configuration) = (&cluster.table, &cluster.configuration);
    cluster.dispatcher.admit(submission, table, configuration, cluster.now.get())
}

/// Completes enough jobs of 2 s for run times to be known.
fn complete_jobs(cluster: &mut TestCluster) {
    for index in 0..10 {
        let name = format!("completed{index}");
        cluster.submit(&name, 1, step(1, 8));
        cluster.decide();
        let completed = run(&name, 0, 1);
        cluster.report_begun(&completed);
        let worker_index = cluster.worker_of(&completed);
        cluster.observe(worker_index, &[(completed.clone(), 0)], &[], &[]);
        cluster.advance(2_000);
        cluster.observe(worker_index, &[], &[(completed, RunOutcome::Done)], &[]);
        cluster.observe(1 - worker_index, &[], &[], &[]);
    }
}

/// Creates a cluster of two workers with more work of a priority than they complete in
/// `queued_count * 2` s.
fn loaded_cluster(priority: u32, queued_count: usize) -> TestCluster {
    let mut cluster = TestCluster::new(2);
    cluster.advance(SETTLING_MS);
    cluster.observe_all(2);
    complete_jobs(&mut cluster);
    for index in 0..2 * queued_count {
        cluster.submit(&format!("queued{index}"), priority, step(1, 8));
    }
    let begun = starts(&cluster.decide());
    begun.iter().for_each(|run| cluster.report_begun(run));
    cluster.decide();
    cluster
}

fn cause(result: Result<(), Refusal>) -> Option<RefusalCause> {
    result.err().map(|refusal| refusal.cause)
}

#[test]
fn too_wide_gang() {
    let mut cluster = loaded_cluster(1, 2);
    let wide = submission("wide", 1, StepSpec { gang: true, ..step(3, 8) });
    assert_eq!(cause(admit(&mut cluster, &wide)), Some(RefusalCause::Shape));
    let large = submission("large", 1, step(1, 9));
    assert_eq!(cause(admit(&mut cluster, &large)), Some(RefusalCause::Shape));
    let possible = submission("possible", 1, StepSpec { gang: true, ..step(2, 8) });
    assert_eq!(admit(&mut cluster, &possible), Ok(()));
}

#[test]
fn long_backlog() {
    // The objective is 7 s and value ends after 21 s; 40 jobs for each worker take 80 s.
    let mut cluster = loaded_cluster(1, 40);
    let refusal = admit(&mut cluster, &submission("late", 1, step(1, 8))).unwrap_err();
    assert!(matches!(refusal.cause, RefusalCause::Backlog { .. }), "{refusal:?}");
    // The excess over twice the end of the value is at least 38 s, of which the longest delay is 15 s and half of that as spread.
    let delay_ms = refusal.retry_after_ms.get();
    assert!((15_000..=22_500).contains(&delay_ms), "{delay_ms} ms");
}

#[test]
fn short_backlog() {
    let mut cluster = loaded_cluster(1, 4);
    assert_eq!(admit(&mut cluster, &submission("next", 1, step(1, 8))), Ok(()));
}

#[test]
fn slow_machines() {
    // 16 jobs for each worker take 32 s, and 45 s if one of the two is 2.4 times slower.
    let mut cluster = loaded_cluster(1, 16);
    let next = submission("next", 1, step(1, 8));
    assert_eq!(admit(&mut cluster, &next), Ok(()));
    let speeds = MachineSpeeds::new().with_speed(node(0), 1.0).with_speed(node(1), 1.0 / 2.4);
    cluster.dispatcher.set_speeds(speeds);
    cluster.decide();
    let refusal = admit(&mut cluster, &next).unwrap_err();
    assert!(matches!(refusal.cause, RefusalCause::Backlog { .. }), "{refusal:?}");
}

#[test]
fn unknown_run_times() {
    let mut cluster = TestCluster::new(2);
    cluster.advance(SETTLING_MS);
    cluster.observe_all(2);
    for index in 0..80 {
        cluster.submit(&format!("queued{index}"), 1, step(1, 8));
    }
    cluster.decide();
    let result = admit(&mut cluster, &submission("next", 1, step(1, 8)));
    assert_eq!(result, Ok(()), "refused by estimates alone, which are often wrong");
}

#[test]
fn low_estimate() {
    let mut cluster = loaded_cluster(1, 4);
    let hasty = StepSpec { estimated_run_ms: DurationMs::new(50), ..step(1, 8) };
    let result = admit(&mut cluster, &submission("hasty", 1, hasty));
    assert_eq!(result, Ok(()), "refused since an estimate far below the usual was believed");
}

#[test]
fn delays_differ() {
    let mut cluster = loaded_cluster(1, 40);
    let mut delay = |name: &str| {
        admit(&mut cluster, &submission(name, 1, step(1, 8))).unwrap_err().retry_after_ms
    };
    assert_ne!(delay("first"), delay("second"), "refused callers return together");
}

#[test]
fn urgent_passes() {
    let mut cluster = loaded_cluster(1, 40);
    assert_eq!(admit(&mut cluster, &submission("urgent", 0, step(1, 8))), Ok(()));
}

#[test]
fn guaranteed_passes() {
    let mut cluster = loaded_cluster(0, 20);
    cluster.add_organisation("owner", 8);
    let organisation = Some(OrganisationName::new("owner").unwrap());
    let guaranteed = JobSubmission { organisation, ..submission("guaranteed", 0, step(1, 8)) };
    assert_eq!(admit(&mut cluster, &guaranteed), Ok(()));
}

#[test]
fn starved_shape() {
    let mut cluster = loaded_cluster(0, 20);
    let urgent = submission("urgent", 0, step(1, 8));
    assert_eq!(admit(&mut cluster, &urgent), Ok(()));
    // None of the queued jobs begins until they have lost their value.
    let mut refused_count = 0;
    for _ in 0..30 {
        cluster.advance(1_000);
        let running: Vec<_> = cluster.table.open_runs().keys().cloned().collect();
        for run in running {
            let worker_index = cluster.worker_of(&run);
            cluster.observe(worker_index, &[(run, (refused_count % 90) as u8)], &[], &[]);
        }
        cluster.decide();
        let result = admit(&mut cluster, &urgent);
        let starved = matches!(cause(result), Some(RefusalCause::Starvation { .. }));
        refused_count += usize::from(starved);
    }
    // Evidence counts for 3 s; afterwards the load may have changed.
    assert!((2..=4).contains(&refused_count), "refused for {refused_count} s");
}

#[test]
fn unsettled_leader() {
    let mut cluster = TestCluster::new(1);
    cluster.submit("running", 1, step(1, 8));
    cluster.submit("queued", 1, step(1, 8));
    cluster.decide();
    let wide = submission("wide", 1, StepSpec { gang: true, ..step(3, 8) });
    assert_eq!(admit(&mut cluster, &wide), Ok(()), "refused before the workers were known");
}

#[test]
fn free_capacity() {
    let mut cluster = loaded_cluster(1, 40);
    // One task needs no accelerator and fits beside the running ones.
    assert_eq!(admit(&mut cluster, &submission("small", 1, step(1, 0))), Ok(()));
}

/// Guards against a gang that is accepted by idle workers and never begins, since they may not run
/// that many tasks at once.
#[test]
fn gang_beyond_run_limits() {
    let mut cluster = TestCluster::new(2);
    cluster.advance(SETTLING_MS);
    cluster.observe_all(2);
    cluster.decide();
    let gang =
        |task_count| StepSpec { gang: true, demand: Resources::default(), ..step(task_count, 0) };
    assert_eq!(admit(&mut cluster, &submission("narrow", 1, gang(1_000))), Ok(()));
    let refused = admit(&mut cluster, &submission("wide", 1, gang(20_000)));
    assert_eq!(cause(refused), Some(RefusalCause::Shape));
    cluster.submit("narrow", 1, gang(1_000));
    assert_eq!(starts(&cluster.decide()).len(), 1_000);
}
