//! Guards against accepted jobs that are no longer found, or found from another queue, after an
//! upgrade from a version that did not store where a job was submitted.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use support::{STEP_TIMEOUT, configuration, free_address, job, start_on_log, target, write_log};
use tokio::time::timeout;
use yuccatack_core::QueueName;
use yuccatack_queue_client::protocol::{CallTarget, Request, Response};
use yuccatack_queues::Configuration;
use yuccatack_runs::JobPhase;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Configuration with two queues, of which the first one is called `first`.
fn two_queues(version: u64, first: &str) -> Configuration {
    let mut configuration = configuration(version, "key");
    configuration.queues[0].name = QueueName::new(first).unwrap();
    let mut second = configuration.queues[0].clone();
    second.name = QueueName::new("queue-2").unwrap();
    second.path_prefix = Arc::from("/queue-2/");
    configuration.queues.push(second);
    configuration
}

/// Commands as a version wrote them that stored no origins: a configuration, and a job in the first
/// of its queues.
fn older_commands() -> [Value; 2] {
    let configuration = serde_json::to_value(two_queues(1, "queue")).unwrap();
    let submission = json!({
        "name": "a", "queue": "queue", "service": "pool", "organisation": "tenant", "priority": 1,
        "max_attempts": 2, "stretch": 3.0, "allowance_ms": 1000,
        "accepted_at_unix_ms": 1_800_000_000_000_u64,
        "spec": serde_json::to_value(job(1)).unwrap(),
    });
    [json!({"Configure": configuration}), json!({"Submit": submission})]
}

fn job_at(path: &str) -> CallTarget {
    CallTarget { path: Arc::from(path), ..target("a") }
}

#[tokio::test(flavor = "multi_thread")]
async fn job_without_origin() {
    let folder = tempfile::tempdir().unwrap();
    let data_folder = folder.path().join("replica");
    let address = free_address();
    write_log(&data_folder, address, &older_commands()).await;

    let client = start_on_log(data_folder, address);
    let call = async |request: Request| client.call(&request, CALL_TIMEOUT).await;
    let started = async { while call(Request::Ping).await != Ok(Response::Pong) {} };
    timeout(STEP_TIMEOUT, started).await.unwrap();

    let read = |path: &str| Request::Read(job_at(path));
    let queued = Ok(Response::Job(JobPhase::Queued));
    assert_eq!(call(read("/queue/a")).await, queued);
    assert_eq!(call(read("/queue-2/a")).await, Ok(Response::NoSuchJob));

    // The configuration that renames the queue is the last one to tell the job's address.
    let renamed = call(Request::Configure(Arc::new(two_queues(2, "renamed")))).await;
    assert!(matches!(renamed, Ok(Response::Configured(_))), "{renamed:?}");
    assert_eq!(call(read("/queue/a")).await, queued);
    let cancel = Request::Cancel(job_at("/queue-2/a"));
    assert_eq!(call(cancel).await, Ok(Response::NoSuchJob));
    let repeated = Request::Submit(job_at("/queue/a"), Box::new(job(1)));
    assert_eq!(call(repeated).await, Ok(Response::Accepted));
    assert_eq!(call(Request::Read(job_at("/queue/"))).await, Ok(Response::Waiting(1)));
}
