//! Guards against jobs that are lost or run twice on their way through client, log, leader, agent
//! and worker, also when replicas are killed, restarted or replaced.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use support::{Deployment, STEP_TIMEOUT, job, target};
use tokio::time::{Instant, sleep};
use yuccatack_queue_client::protocol::{Request, Response};
use yuccatack_queues::AccessError;
use yuccatack_runs::JobPhase;

#[tokio::test(flavor = "multi_thread")]
async fn job_runs_once() {
    let mut deployment = Deployment::start().await;
    let read = Request::Read(target("early"));
    let refused = Response::Denied(AccessError::NotConfigured);
    deployment.call_until(&read, |response| *response == refused).await;
    deployment.configure(1, "key").await;
    let worker = deployment.add_worker("w1", Duration::from_millis(100)).await;
    deployment.submit("a", job(4)).await;
    // The client submits the job again, as after a lost response.
    deployment.submit("a", job(4)).await;
    deployment.wait_for_phase("a", JobPhase::Completed).await;
    let starts = worker.starts().await;
    assert_eq!(starts.len(), 4);
    assert_eq!(starts.iter().collect::<BTreeSet<_>>().len(), 4, "a task ran twice");
    deployment.submit("a", job(4)).await;
    deployment.wait_for_phase("a", JobPhase::Completed).await;
    assert_eq!(worker.starts().await.len(), 4, "a completed job ran again");
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_stops_work() {
    let mut deployment = Deployment::start().await;
    deployment.configure(1, "key").await;
    let worker = deployment.add_worker("w1", Duration::from_secs(60)).await;
    deployment.submit("a", job(1)).await;
    deployment.wait_for_phase("a", JobPhase::Running).await;
    let cancel = Request::Cancel(target("a"));
    deployment.call_until(&cancel, |response| *response == Response::Cancelled).await;
    deployment.wait_for_phase("a", JobPhase::Cancelled).await;
    let unknown = Request::Cancel(target("b"));
    deployment.call_until(&unknown, |response| *response == Response::NoSuchJob).await;
    // All nine runs only start if the stop freed the worker's capacity.
    deployment.submit("c", job(8)).await;
    let deadline = Instant::now() + STEP_TIMEOUT;
    while worker.starts().await.len() < 9 {
        assert!(Instant::now() < deadline, "the cancelled run still occupies the worker");
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn revoked_key_refused() {
    let deployment = Deployment::start().await;
    deployment.configure(1, "key").await;
    deployment.submit("a", job(1)).await;
    deployment.configure(2, "other").await;
    let refused = Response::Denied(AccessError::UnknownKey);
    let submit = Request::Submit(target("b"), Box::new(job(1)));
    assert_eq!(deployment.call_until(&submit, |_| true).await, refused);
    // An older configuration that arrives late must not restore the revoked key.
    deployment.configure(1, "key").await;
    assert_eq!(deployment.call_until(&submit, |_| true).await, refused);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_replicas_tolerated() {
    let mut deployment = Deployment::start().await;
    deployment.configure(1, "key").await;
    let worker = deployment.add_worker("w1", Duration::from_millis(300)).await;
    for round in 0..3 {
        let name = format!("job{round}");
        deployment.submit(&name, job(2)).await;
        // Each replica is killed once, including the leader.
        let (folder, address) = deployment.kill(0).await;
        deployment.wait_for_phase(&name, JobPhase::Completed).await;
        deployment.restart(folder, address);
    }
    let starts = worker.starts().await;
    assert_eq!(starts.iter().collect::<BTreeSet<_>>().len(), starts.len(), "a run started twice");
    assert_eq!(starts.len(), 6, "a task did not run or ran twice");
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_keeps_jobs() {
    let mut deployment = Deployment::start().await;
    deployment.configure(7, "key").await;
    deployment.submit("a", job(1)).await;
    for (folder, address) in deployment.stop_all().await {
        deployment.restart(folder, address);
    }
    deployment.wait_for_phase("a", JobPhase::Queued).await;
    let read = Request::ReadConfiguration;
    let response = deployment.call_until(&read, |r| matches!(r, Response::Configuration(_))).await;
    assert_eq!(response, Response::Configuration(Some("document 7".into())));
}

/// Time in which a wiped replica joins under its new ID, receives the log and replaces its old voter.
/// Until then a second loss would leave no quorum.
const REPLACEMENT_TIME: Duration = Duration::from_secs(3);

#[tokio::test(flavor = "multi_thread")]
async fn wiped_replica_replaced() {
    let mut deployment = Deployment::start().await;
    deployment.configure(1, "key").await;
    // Each replica's folder is wiped in turn; the new member must hold all jobs and vote.
    for round in 0..3 {
        let name = format!("job{round}");
        deployment.submit(&name, job(1)).await;
        let (folder, address) = deployment.kill(0).await;
        drop(folder);
        deployment.restart(tempfile::tempdir().unwrap(), address);
        sleep(REPLACEMENT_TIME).await;
        // With another replica down, a quorum needs the vote of the wiped one's new member.
        let (kept, other) = deployment.kill(0).await;
        deployment.wait_for_phase(&name, JobPhase::Queued).await;
        deployment.restart(kept, other);
        sleep(Duration::from_millis(1_500)).await;
    }
    for round in 0..3 {
        deployment.wait_for_phase(&format!("job{round}"), JobPhase::Queued).await;
    }
}
