//! Guards against calls that find the job of another queue once a configuration has dropped or
//! renamed queues: a job that is accepted but never run, a state that is another job's, and a job
//! that its own caller no longer finds.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use support::{Deployment, configuration, job, target};
use yuccatack_core::QueueName;
use yuccatack_queue_client::protocol::{CallTarget, Request, Response};
use yuccatack_queues::Configuration;
use yuccatack_runs::JobPhase;

/// Configuration with a queue for each pair of name and path prefix.
fn queues(version: u64, pairs: &[(&str, &str)]) -> Configuration {
    let mut configuration = configuration(version, "key");
    let queue = configuration.queues[0].clone();
    let queues = pairs.iter().map(|(name, path_prefix)| {
        let mut queue = queue.clone();
        queue.name = QueueName::new(name).unwrap();
        queue.path_prefix = Arc::from(*path_prefix);
        queue
    });
    configuration.queues = queues.collect();
    configuration
}

async fn configure(deployment: &Deployment, configuration: Configuration) {
    let request = Request::Configure(Arc::new(configuration));
    deployment.call_until(&request, |response| matches!(response, Response::Configured(_))).await;
}

async fn call(deployment: &Deployment, request: Request) -> Response {
    deployment.call_until(&request, |response| !matches!(response, Response::NotLeader(_))).await
}

fn job_at(path: &str) -> CallTarget {
    CallTarget { path: Arc::from(path), ..target("a") }
}

async fn submit(deployment: &Deployment, path: &str) {
    let request = Request::Submit(job_at(path), Box::new(job(1)));
    assert_eq!(call(deployment, request).await, Response::Accepted);
}

async fn read(deployment: &Deployment, path: &str) -> Response {
    call(deployment, Request::Read(job_at(path))).await
}

async fn wait_for_phase(deployment: &Deployment, path: &str, phase: JobPhase) {
    let request = Request::Read(job_at(path));
    deployment.call_until(&request, |response| *response == Response::Job(phase)).await;
}

/// Guards against an accepted job that is taken for the ended job of a dropped queue and never runs.
#[tokio::test(flavor = "multi_thread")]
async fn name_of_dropped_job() {
    let mut deployment = Deployment::start().await;
    configure(&deployment, queues(1, &[("first", "/first/"), ("second", "/second/")])).await;
    let worker = deployment.add_worker("w1", Duration::from_millis(100)).await;
    submit(&deployment, "/first/a").await;
    wait_for_phase(&deployment, "/first/a", JobPhase::Completed).await;
    configure(&deployment, queues(2, &[("second", "/second/")])).await;
    assert_eq!(read(&deployment, "/second/a").await, Response::NoSuchJob);
    submit(&deployment, "/second/a").await;
    wait_for_phase(&deployment, "/second/a", JobPhase::Completed).await;
    let jobs: BTreeSet<_> = worker.starts().await.into_iter().map(|run| run.task.job).collect();
    assert_eq!(jobs.len(), 2, "the job of the queue that was kept did not run: {jobs:?}");
}

/// Guards against a cancel that stops the job of a dropped queue.
#[tokio::test(flavor = "multi_thread")]
async fn cancel_beside_dropped() {
    let deployment = Deployment::start().await;
    let both = [("first", "/first/"), ("second", "/second/")];
    configure(&deployment, queues(1, &both)).await;
    submit(&deployment, "/first/a").await;
    configure(&deployment, queues(2, &both[1..])).await;
    let cancel = Request::Cancel(job_at("/second/a"));
    assert_eq!(call(&deployment, cancel).await, Response::NoSuchJob);
    configure(&deployment, queues(3, &both)).await;
    assert_eq!(read(&deployment, "/first/a").await, Response::Job(JobPhase::Queued));
}

/// Guards against a new queue that answers for the jobs of the queue that had its name before.
#[tokio::test(flavor = "multi_thread")]
async fn reused_queue_name() {
    let deployment = Deployment::start().await;
    configure(&deployment, queues(1, &[("first", "/first/")])).await;
    submit(&deployment, "/first/a").await;
    configure(&deployment, queues(2, &[("first", "/other/")])).await;
    assert_eq!(read(&deployment, "/other/a").await, Response::NoSuchJob);
    assert_eq!(call(&deployment, Request::Read(job_at("/other/"))).await, Response::Waiting(0));
    submit(&deployment, "/other/a").await;
    assert_eq!(call(&deployment, Request::Cancel(job_at("/other/a"))).await, Response::Cancelled);
    configure(&deployment, queues(3, &[("second", "/first/")])).await;
    assert_eq!(read(&deployment, "/first/a").await, Response::Job(JobPhase::Queued));
}

/// Guards against callers who no longer find their jobs, or find each other's, after two queues have
/// exchanged their names. The second job of a name is stored under a derived one.
#[tokio::test(flavor = "multi_thread")]
async fn exchanged_queue_names() {
    let deployment = Deployment::start().await;
    configure(&deployment, queues(1, &[("first", "/first/"), ("second", "/second/")])).await;
    submit(&deployment, "/first/a").await;
    submit(&deployment, "/second/a").await;
    let cancel = Request::Cancel(job_at("/second/a"));
    assert_eq!(call(&deployment, cancel).await, Response::Cancelled);
    configure(&deployment, queues(2, &[("second", "/first/"), ("first", "/second/")])).await;
    assert_eq!(read(&deployment, "/first/a").await, Response::Job(JobPhase::Queued));
    assert_eq!(read(&deployment, "/second/a").await, Response::Job(JobPhase::Cancelled));
    assert_eq!(call(&deployment, Request::Read(job_at("/first/"))).await, Response::Waiting(1));
    assert_eq!(call(&deployment, Request::Read(job_at("/second/"))).await, Response::Waiting(0));
}

/// Guards against origins that are lost with a restart: the index of names is not stored.
#[tokio::test(flavor = "multi_thread")]
async fn origins_outlast_restart() {
    let mut deployment = Deployment::start().await;
    let both = [("first", "/first/"), ("second", "/second/")];
    configure(&deployment, queues(1, &both)).await;
    submit(&deployment, "/first/a").await;
    submit(&deployment, "/second/a").await;
    let cancel = Request::Cancel(job_at("/second/a"));
    assert_eq!(call(&deployment, cancel).await, Response::Cancelled);
    configure(&deployment, queues(2, &[("third", "/second/")])).await;
    for (folder, address) in deployment.stop_all().await {
        deployment.restart(folder, address);
    }
    wait_for_phase(&deployment, "/second/a", JobPhase::Cancelled).await;
}
