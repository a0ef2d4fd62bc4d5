//! Guards against heavy jobs of an earlier version that stand in the log and keep every leader from
//! answering calls.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::time::Duration;

use serde_json::{Value, json};
use support::{STEP_TIMEOUT, configuration, free_address, job, start_on_log, write_log};
use tokio::time::{sleep, timeout};
use yuccatack_queue_client::protocol::{Request, Response};

/// Time in which a leader answers a call while it schedules.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns a command by which an earlier version stored a job.
fn submit(name: &str, spec: &Value) -> Value {
    json!({"Submit": {
        "name": name, "queue": "queue", "service": "pool", "organisation": "tenant", "priority": 1,
        "max_attempts": 2, "stretch": 3.0, "allowance_ms": 1000,
        "accepted_at_unix_ms": 1_800_000_000_000_u64, "spec": spec,
    }})
}

fn heavy_commands() -> Vec<Value> {
    let mut many_steps = serde_json::to_value(job(1)).unwrap();
    let step = many_steps["steps"][0].clone();
    let mut many_occurrences = many_steps.clone();
    many_steps["steps"] = Value::from(vec![step; 20_000]);
    many_occurrences["schedule"] =
        json!({"first_at_unix_ms": 0, "period_ms": 60_000, "occurrence_count": 1_000_000});
    let configuration = serde_json::to_value(configuration(1, "key")).unwrap();
    vec![
        json!({"Configure": configuration}),
        submit("steps", &many_steps),
        submit("occurrences", &many_occurrences),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_answered() {
    let folder = tempfile::tempdir().unwrap();
    let data_folder = folder.path().join("replica");
    let address = free_address();
    write_log(&data_folder, address, &heavy_commands()).await;

    let client = start_on_log(data_folder, address);
    let call = async || client.call(&Request::Ping, CALL_TIMEOUT).await;
    let started = async { while call().await != Ok(Response::Pong) {} };
    timeout(STEP_TIMEOUT, started).await.expect("no leader answered a call");
    for number in 0..20 {
        assert_eq!(call().await, Ok(Response::Pong), "call {number}");
        sleep(Duration::from_millis(100)).await;
    }
}
