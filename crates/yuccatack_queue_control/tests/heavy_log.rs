//! Guards against heavy jobs of an earlier version that stand in the log and keep every leader from
//! answering calls.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Value, json};
use support::{STEP_TIMEOUT, configuration, free_address, job};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use yuccatack_core::DurationMs;
use yuccatack_dispatch::DispatchSettings;
use yuccatack_lifecycle::shutdown_channel;
use yuccatack_queue_client::QueueClient;
use yuccatack_queue_client::protocol::{Request, Response};
use yuccatack_queue_control::{ControlConfig, run};
use yuccatack_replication::{
    Committed, ProposalClass, ProposalId, ReplicaId, ReplicationConfig, RoleName, encode, start,
};
use yuccatack_storage::DiskSettings;
use yuccatack_telemetry::Metrics;

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

/// Writes a log with `commands` as the only replica of a group.
async fn write_log(folder: &Path, address: SocketAddr, commands: &[Value]) {
    let replica = ReplicaId::new(1);
    let config = ReplicationConfig {
        replica,
        address,
        initial_voters: BTreeMap::from([(replica, address)]),
        heartbeat_ms: 20,
        election_timeout_ms: 100,
        snapshot_entry_count: 100,
        data_folder: folder.to_owned(),
        disk: DiskSettings::new(support::LARGE_DISK_BYTES),
    };
    let (handle, mut committed, _service) = start(config).await.unwrap();
    let mut status = handle.status();
    status.wait_for(|status| status.role == RoleName::Leader).await.unwrap();
    for (number, command) in (1..).zip(commands) {
        let payload = Bytes::from(encode(command).unwrap());
        handle.propose(ProposalId::new(number), ProposalClass::Growth, payload);
    }
    let mut entry_count = 0;
    while entry_count < commands.len() {
        let item = timeout(STEP_TIMEOUT, committed.recv()).await.unwrap().unwrap();
        entry_count += usize::from(matches!(item, Committed::Entry { .. }));
    }
    handle.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_answered() {
    let folder = tempfile::tempdir().unwrap();
    let data_folder = folder.path().join("replica");
    let address = free_address();
    write_log(&data_folder, address, &heavy_commands()).await;

    let (_sender, seeds) = watch::channel(vec![address]);
    let (_trigger, shutdown) = shutdown_channel();
    let client = QueueClient::new(seeds.clone());
    let config = ControlConfig {
        address,
        data_folder,
        disk: DiskSettings::new(support::LARGE_DISK_BYTES),
        seeds,
        first_start: false,
        tolerated_loss_count: 0,
        dispatch: DispatchSettings::new(DurationMs::new(3_000), DurationMs::new(200)),
    };
    tokio::spawn(run(config, client.clone(), Metrics::new(), shutdown));
    let call = async || client.call(&Request::Ping, CALL_TIMEOUT).await;
    let started = async { while call().await != Ok(Response::Pong) {} };
    timeout(STEP_TIMEOUT, started).await.expect("no leader answered a call");
    for number in 0..20 {
        assert_eq!(call().await, Ok(Response::Pong), "call {number}");
        sleep(Duration::from_millis(100)).await;
    }
}
