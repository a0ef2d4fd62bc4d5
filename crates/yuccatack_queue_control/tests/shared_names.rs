//! Guards against callers that act on each other's jobs because both chose the same name: a cancel
//! that stops another organisation's job, a job that is accepted but not stored, and a state that
//! is another job's.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use support::{Deployment, configuration, job, target};
use yuccatack_core::{OrganisationName, QueueName};
use yuccatack_queue_client::protocol::{CallTarget, Request, Response};
use yuccatack_queues::{AccessKey, Configuration, Organisation};
use yuccatack_runs::JobPhase;

/// Time for which a task works; the calls of a test are over by then.
const RUN_TIME: Duration = Duration::from_secs(3);

/// Configuration with a second queue and a second organisation, whose callers have `key-2`.
fn two_organisations(version: u64) -> Configuration {
    let mut configuration = configuration(version, "key");
    let mut queue = configuration.queues[0].clone();
    queue.name = QueueName::new("queue-2").unwrap();
    queue.path_prefix = Arc::from("/queue-2/");
    configuration.queues.push(queue);
    configuration.organisations.push(Organisation {
        name: OrganisationName::new("tenant-2").unwrap(),
        keys: vec![AccessKey::new("key-2")],
        guaranteed_accelerator_count: 0,
    });
    configuration
}

async fn deployment() -> Deployment {
    let deployment = Deployment::start().await;
    configure(&deployment, two_organisations(1)).await;
    deployment
}

async fn configure(deployment: &Deployment, configuration: Configuration) {
    let request = Request::Configure(Arc::new(configuration));
    deployment.call_until(&request, |response| matches!(response, Response::Configured(_))).await;
}

/// Job `a` as the second organisation addresses it in `queue`.
fn second_target(queue: &str) -> CallTarget {
    CallTarget {
        path: Arc::from(format!("/{queue}/a")),
        key: Some(AccessKey::new("key-2")),
        ..target("a")
    }
}

async fn call(deployment: &Deployment, request: Request) -> Response {
    deployment.call_until(&request, |response| !matches!(response, Response::NotLeader(_))).await
}

async fn submit(deployment: &Deployment, target: &CallTarget) {
    let request = Request::Submit(target.clone(), Box::new(job(1)));
    assert_eq!(call(deployment, request).await, Response::Accepted);
}

async fn wait_for_phase(deployment: &Deployment, target: &CallTarget, phase: JobPhase) {
    let read = Request::Read(target.clone());
    deployment.call_until(&read, |response| *response == Response::Job(phase)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_in_other_queue() {
    let mut deployment = deployment().await;
    deployment.add_worker("w1", RUN_TIME).await;
    let (first, second) = (target("a"), second_target("queue-2"));
    submit(&deployment, &first).await;
    submit(&deployment, &second).await;
    let cancel = Request::Cancel(second.clone());
    assert_eq!(call(&deployment, cancel).await, Response::Cancelled);
    wait_for_phase(&deployment, &second, JobPhase::Cancelled).await;
    wait_for_phase(&deployment, &first, JobPhase::Completed).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cancel_by_other_organisation() {
    let mut deployment = deployment().await;
    deployment.add_worker("w1", RUN_TIME).await;
    let (first, second) = (target("a"), second_target("queue"));
    submit(&deployment, &first).await;
    assert_eq!(call(&deployment, Request::Cancel(second.clone())).await, Response::NoSuchJob);
    assert_eq!(call(&deployment, Request::Read(second.clone())).await, Response::NoSuchJob);
    submit(&deployment, &second).await;
    assert_eq!(call(&deployment, Request::Cancel(second.clone())).await, Response::Cancelled);
    wait_for_phase(&deployment, &first, JobPhase::Completed).await;
    wait_for_phase(&deployment, &second, JobPhase::Cancelled).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn both_jobs_run() {
    let mut deployment = deployment().await;
    let worker = deployment.add_worker("w1", Duration::from_millis(100)).await;
    let targets = [target("a"), second_target("queue-2"), second_target("queue")];
    // Both copies of each submission are in flight beside the other jobs of the name.
    tokio::join!(
        submit(&deployment, &targets[0]),
        submit(&deployment, &targets[1]),
        submit(&deployment, &targets[2]),
        submit(&deployment, &targets[1]),
        submit(&deployment, &targets[2]),
        submit(&deployment, &targets[0]),
    );
    for target in &targets {
        wait_for_phase(&deployment, target, JobPhase::Completed).await;
    }
    let starts = worker.starts().await;
    assert_eq!(starts.len(), 3, "{starts:?}");
    let jobs: BTreeSet<_> = starts.iter().map(|run| run.task.job.clone()).collect();
    assert_eq!(jobs.len(), 3, "two jobs have the same tasks: {starts:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn names_outlast_restart() {
    let mut deployment = deployment().await;
    let targets = [target("a"), second_target("queue-2")];
    for target in &targets {
        submit(&deployment, target).await;
    }
    let cancel = Request::Cancel(targets[1].clone());
    assert_eq!(call(&deployment, cancel).await, Response::Cancelled);
    for (folder, address) in deployment.stop_all().await {
        deployment.restart(folder, address);
    }
    wait_for_phase(&deployment, &targets[0], JobPhase::Queued).await;
    wait_for_phase(&deployment, &targets[1], JobPhase::Cancelled).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn renamed_queue() {
    // Callers address a queue by host and path; its name in the configuration may change.
    let deployment = deployment().await;
    submit(&deployment, &target("a")).await;
    let mut renamed = two_organisations(2);
    renamed.queues[0].name = QueueName::new("renamed").unwrap();
    configure(&deployment, renamed).await;
    wait_for_phase(&deployment, &target("a"), JobPhase::Queued).await;
    let second = Request::Cancel(second_target("queue"));
    assert_eq!(call(&deployment, second).await, Response::NoSuchJob);
    assert_eq!(call(&deployment, Request::Cancel(target("a"))).await, Response::Cancelled);
}
