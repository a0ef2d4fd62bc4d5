//! Runs every role and test doubles of a minion and a worker in one process on loopback ports.
//! Submits an organisation, a service, a guarantee, a job and a request, prints each outcome and
//! stops.
//!
//! `cargo run --example quick_start`

#![allow(clippy::print_stdout)]

mod deployment;

use std::error::Error;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use yuccatack_stand_ins::CallerStandIn;

use deployment::Deployment;

/// Timeout of each step; longer than an election, the first heartbeat of a worker and the run of
/// the job together.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(100);

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let deployment = Deployment::start().await?;
    let operator = CallerStandIn::new(deployment.entry_address);

    submit(&operator, "organisation", organisation()).await?;
    submit(&operator, "service", service()).await?;
    wait_for_worker(&operator).await?;
    submit(&operator, "guarantee", guarantee()).await?;
    submit(&operator, "job", job()).await?;
    let state = wait_for_job(&operator, "rank-age-groups").await?;
    println!("job rank-age-groups: {state}");

    let answer = wait_for_request(&operator).await?;
    println!("request to results: {answer}");

    deployment.stop().await?;
    println!("all roles stopped after a graceful shutdown");
    Ok(())
}

fn organisation() -> Value {
    json!({
        "schema_version": 2, "kind": "organisation", "name": "putrajaya-club",
        "accelerator_quota_count": 8, "fair_share_weight": 1,
        "request_rate_per_s": 100, "request_concurrency_count": 16,
    })
}

fn service() -> Value {
    json!({
        "schema_version": 2, "kind": "service", "name": "results",
        "slot_count": 8, "connection_count": 64,
        "queue_length_count": 100, "default_deadline_ms": 2000,
    })
}

fn guarantee() -> Value {
    json!({
        "schema_version": 2, "kind": "guarantee", "name": "putrajaya-club-pair",
        "organisation": "putrajaya-club",
        "tasks": 1, "accelerators_per_task": 2, "cores_milli_per_task": 2000,
        "memory_bytes_per_task": 4_294_967_296_u64, "adjacency": "worker", "shape_count": 1,
    })
}

fn job() -> Value {
    json!({
        "schema_version": 2, "kind": "job", "name": "rank-age-groups",
        "organisation": "putrajaya-club",
        "tasks": 2, "accelerators_per_task": 1, "cores_milli_per_task": 1000,
        "memory_bytes_per_task": 1_073_741_824_u64, "adjacency": "rack", "class": "urgent",
        "declared_run_time_s": 1, "idempotent": true, "checkpointable": false,
        "command": ["rank", "--age-groups"],
    })
}

/// Submits a record, retries until the control leader has decided, and prints the outcome.
///
/// Every attempt has the same change id, so that a change whose response was lost is not applied
/// twice.
async fn submit(operator: &CallerStandIn, kind: &str, record: Value) -> Result<(), Box<dyn Error>> {
    let change_id = format!("quick-start-{kind}");
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        let answer = operator.change(&change_id, "submit", 0, record.clone()).await;
        if let Ok(answer) = &answer
            && answer.status.is_success()
        {
            println!("{kind}: {}", answer.json());
            return Ok(());
        }
        if let Ok(answer) = &answer
            && answer.status.is_client_error()
        {
            return Err(format!("{kind} was refused: {}", answer.json()).into());
        }
        if Instant::now() > deadline {
            return Err(format!("{kind} was not accepted in time: {answer:?}").into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits for the first worker, because a guarantee is accepted only if the capacity for it exists.
async fn wait_for_worker(operator: &CallerStandIn) -> Result<(), Box<dyn Error>> {
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        let status = operator.get("/v1/status").await?.json();
        if status["workers"].as_array().is_some_and(|workers| !workers.is_empty()) {
            return Ok(());
        }
        if Instant::now() > deadline {
            return Err(format!("no worker joined in time: {status}").into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn wait_for_job(operator: &CallerStandIn, job: &str) -> Result<String, Box<dyn Error>> {
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        let answer = operator.get(&format!("/v1/jobs/{job}/explanation")).await?;
        let document = answer.json();
        let state = document["state"].as_str().unwrap_or("unknown").to_owned();
        if matches!(state.as_str(), "succeeded" | "failed" | "refused") {
            return Ok(state);
        }
        if Instant::now() > deadline {
            return Err(format!("the job did not end in time: {document}").into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sends a request until a minion is ready. Resending is safe after the outcome "not run".
async fn wait_for_request(caller: &CallerStandIn) -> Result<String, Box<dyn Error>> {
    let deadline = Instant::now() + STEP_TIMEOUT;
    loop {
        let answer = caller.request("putrajaya-club", "results", "split of bib 17".into()).await?;
        if answer.outcome() == Some("completed") {
            return Ok(String::from_utf8_lossy(&answer.body).into_owned());
        }
        if Instant::now() > deadline {
            return Err(format!("no minion answered in time: {answer:?}").into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
