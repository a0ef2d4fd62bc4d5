//! Guards the path of a job through client, log, leader, agent and worker, also over kills.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use support::{Deployment, STEP_LIMIT, job, target};
use tokio::time::{Instant, sleep};
use yuccatack_queue_client::protocol::{Request, Response};
use yuccatack_queues::AccessError;
use yuccatack_runs::JobPhase;

#[tokio::test(flavor = "multi_thread")]
async fn job_runs_once() {
    let mut deployment = Deployment::start().await;
    let read = Request::Read(target("early"));
    let refused = Response::Denied(AccessError::NotConfigured);
    deployment.answered(&read, |response| *response == refused).await;
    deployment.configure(1, "key").await;
    let worker = deployment.add_worker("w1", Duration::from_millis(100)).await;
    deployment.submit("a", job(4)).await;
    // The same job arrives again, as after a lost answer.
    deployment.submit("a", job(4)).await;
    deployment.reaches("a", JobPhase::Completed).await;
    let starts = worker.starts().await;
    assert_eq!(starts.len(), 4);
    assert_eq!(starts.iter().collect::<BTreeSet<_>>().len(), 4, "a task ran twice");
    deployment.submit("a", job(4)).await;
    deployment.reaches("a", JobPhase::Completed).await;
    assert_eq!(worker.starts().await.len(), 4, "a completed job ran again");
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_stops_work() {
    let mut deployment = Deployment::start().await;
    deployment.configure(1, "key").await;
    let worker = deployment.add_worker("w1", Duration::from_secs(60)).await;
    deployment.submit("a", job(1)).await;
    deployment.reaches("a", JobPhase::Running).await;
    let cancel = Request::Cancel(target("a"));
    deployment.answered(&cancel, |response| *response == Response::Cancelled).await;
    deployment.reaches("a", JobPhase::Cancelled).await;
    let unknown = Request::Cancel(target("b"));
    deployment.answered(&unknown, |response| *response == Response::NoSuchJob).await;
    // The freed worker takes the next job, so the stop was carried out.
    deployment.submit("c", job(8)).await;
    let deadline = Instant::now() + STEP_LIMIT;
    while worker.starts().await.len() < 9 {
        assert!(Instant::now() < deadline, "the cancelled run kept its room");
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
    assert_eq!(deployment.answered(&submit, |_| true).await, refused);
    // An older version arrives again and changes nothing.
    deployment.configure(1, "key").await;
    assert_eq!(deployment.answered(&submit, |_| true).await, refused);
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_replicas_borne() {
    let mut deployment = Deployment::start().await;
    deployment.configure(1, "key").await;
    let worker = deployment.add_worker("w1", Duration::from_millis(300)).await;
    for round in 0..3 {
        let name = format!("job{round}");
        deployment.submit(&name, job(2)).await;
        // Over the rounds each replica is killed once, the leader among them.
        let (folder, address) = deployment.kill(0).await;
        deployment.reaches(&name, JobPhase::Completed).await;
        deployment.restart(folder, address);
    }
    let starts = worker.starts().await;
    assert_eq!(starts.iter().collect::<BTreeSet<_>>().len(), starts.len(), "a run began twice");
    assert_eq!(starts.len(), 6, "work was lost or done twice");
}

#[tokio::test(flavor = "multi_thread")]
async fn restart_keeps_jobs() {
    let mut deployment = Deployment::start().await;
    deployment.configure(7, "key").await;
    deployment.submit("a", job(1)).await;
    for (folder, address) in deployment.stop_all().await {
        deployment.restart(folder, address);
    }
    deployment.reaches("a", JobPhase::Queued).await;
    let read = Request::ReadConfiguration;
    let answer = deployment.answered(&read, |r| matches!(r, Response::Configuration(_))).await;
    assert_eq!(answer, Response::Configuration(Some("document 7".into())));
}

#[tokio::test(flavor = "multi_thread")]
async fn wiped_replica_replaced() {
    let mut deployment = Deployment::start().await;
    deployment.configure(1, "key").await;
    // One after the other loses its folder; each successor must hold everything and vote.
    for round in 0..3 {
        let name = format!("job{round}");
        deployment.submit(&name, job(1)).await;
        let (folder, address) = deployment.kill(0).await;
        drop(folder);
        deployment.restart(tempfile::tempdir().unwrap(), address);
        // With one more replica down, the rest is a quorum only if the wiped one votes again.
        let (kept, other) = deployment.kill(0).await;
        deployment.reaches(&name, JobPhase::Queued).await;
        deployment.restart(kept, other);
        sleep(Duration::from_millis(1_500)).await;
    }
    for round in 0..3 {
        deployment.reaches(&format!("job{round}"), JobPhase::Queued).await;
    }
}
