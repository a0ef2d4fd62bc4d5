//! Records of a small deployment, and steps that wait until the deployment has reached a state.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use yuccatack_stand_ins::{CallerResponse, CallerStandIn};

use super::STEP_TIMEOUT;

const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub fn organisation() -> Value {
    json!({
        "schema_version": 2, "kind": "organisation", "name": "putrajaya-club",
        "accelerator_quota_count": 8, "fair_share_weight": 1,
        "request_rate_per_s": 1000, "request_concurrency_count": 64,
    })
}

pub fn service() -> Value {
    json!({
        "schema_version": 2, "kind": "service", "name": "results",
        "slot_count": 8, "connection_count": 64,
        "queue_length_count": 100, "default_deadline_ms": 5000,
    })
}

pub fn job(name: &str) -> Value {
    json!({
        "schema_version": 2, "kind": "job", "name": name, "organisation": "putrajaya-club",
        "tasks": 2, "accelerators_per_task": 1, "cores_milli_per_task": 1000,
        "memory_bytes_per_task": 1_073_741_824_u64, "adjacency": "worker", "class": "urgent",
        "declared_run_time_s": 1, "idempotent": true, "checkpointable": false,
        "command": ["rank"],
    })
}

/// Sends a change with the same id until it is accepted, and returns the response.
pub async fn submit(operator: &CallerStandIn, change_id: &str, record: Value) -> Value {
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        let answer = operator.change(change_id, "submit", 0, record.clone()).await;
        if let Ok(answer) = &answer
            && answer.status.is_success()
        {
            return answer.json();
        }
        assert!(Instant::now() < deadline, "{change_id} was not accepted in time: {answer:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a worker has registered, because jobs are accepted only if the capacity exists.
pub async fn wait_for_worker(operator: &CallerStandIn) {
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        let answer = operator.get("/v1/status").await;
        if let Ok(answer) = &answer
            && answer.json()["workers"].as_array().is_some_and(|workers| !workers.is_empty())
        {
            return;
        }
        assert!(Instant::now() < deadline, "no worker registered in time: {answer:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until an entry reports a control leader other than `former`, and returns its number.
pub async fn wait_for_leader(operator: &CallerStandIn, former: Option<u64>) -> u64 {
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        let answer = operator.get("/v1/status").await;
        if let Ok(answer) = &answer
            && let Some(leader) = answer.json()["replication"]["leader"].as_u64()
            && Some(leader) != former
        {
            return leader;
        }
        assert!(Instant::now() < deadline, "no new control leader in time: {answer:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until exactly `count` minions accept new requests.
pub async fn wait_for_minions(operator: &CallerStandIn, count: usize) {
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        let answer = operator.get("/v1/status").await;
        if let Ok(answer) = &answer
            && let Some(minions) = answer.json()["minions"].as_array()
            && minions.iter().filter(|minion| minion["state"] == "ready").count() == count
        {
            return;
        }
        assert!(Instant::now() < deadline, "not {count} ready minions in time: {answer:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the seed of a randomised test; `YUCCATACK_SEED` overrides the default.
pub fn seed(default: u64) -> u64 {
    std::env::var("YUCCATACK_SEED").map_or(default, |text| text.parse().unwrap())
}

/// Sends an idempotent request until its outcome is completed, and returns the response.
pub async fn complete_request(caller: &CallerStandIn, body: &str) -> CallerResponse {
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        let answer = caller.request("putrajaya-club", "results", body.to_owned().into()).await;
        if let Ok(answer) = &answer
            && answer.outcome() == Some("completed")
        {
            return answer.clone();
        }
        assert!(Instant::now() < deadline, "no completed request in time: {answer:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a job is in the state `wanted`.
pub async fn wait_for_job(operator: &CallerStandIn, job: &str, wanted: &str) {
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        let answer = operator.get(&format!("/v1/jobs/{job}/explanation")).await;
        if let Ok(answer) = &answer
            && answer.json()["state"] == wanted
        {
            return;
        }
        assert!(Instant::now() < deadline, "{job} is not {wanted} in time: {answer:?}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
