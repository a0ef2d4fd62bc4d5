//! Guards against speeds of machines that a new leader does not know, and against logs and snapshots
//! of versions without them that can no longer be read.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Value, json};
use support::{Deployment, STEP_TIMEOUT, configuration, free_address, job};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};
use yuccatack_core::DurationMs;
use yuccatack_dispatch::DispatchSettings;
use yuccatack_lifecycle::shutdown_channel;
use yuccatack_queue_client::QueueClient;
use yuccatack_queue_client::protocol::{Request, Response};
use yuccatack_queue_control::{ControlConfig, run};
use yuccatack_queues::ConfigurationStore;
use yuccatack_replication::{
    Committed, ProposalClass, ProposalId, ReplicaId, ReplicationConfig, RoleName, encode, start,
};
use yuccatack_runs::{JobPhase, JobSpec, JobTable};
use yuccatack_storage::DiskSettings;
use yuccatack_telemetry::Metrics;

/// Time between two batches of stored estimates, and a margin.
const STORE_TIME: Duration = Duration::from_secs(6);

/// Writes a log with the commands as the only replica of a group, and a snapshot of the state if one
/// is given.
async fn write_log(folder: &Path, address: SocketAddr, commands: &[Value], state: Option<Value>) {
    let replica = ReplicaId::new(1);
    let config = ReplicationConfig {
        replica,
        address,
        initial_voters: BTreeMap::from([(replica, address)]),
        heartbeat_ms: 20,
        election_timeout_ms: 100,
        snapshot_entry_count: if state.is_some() { 1 } else { 100 },
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
    let (mut entry_count, mut stored) = (0, state.is_none());
    while entry_count < commands.len() || !stored {
        match timeout(STEP_TIMEOUT, committed.recv()).await.unwrap().unwrap() {
            Committed::Entry { .. } => entry_count += 1,
            Committed::SnapshotRequested { index } => {
                let payload = Bytes::from(encode(state.as_ref().unwrap()).unwrap());
                handle.store_snapshot(index, payload);
                stored = true;
            }
            _ => {}
        }
    }
    handle.stop().await;
}

/// Starts the control process on a log, and returns its metrics once it leads.
async fn lead(commands: &[Value], state: Option<Value>) -> Metrics {
    let folder = tempfile::tempdir().unwrap();
    let data_folder = folder.path().join("replica");
    let address = free_address();
    write_log(&data_folder, address, commands, state).await;
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
    let metrics = Metrics::new();
    tokio::spawn(run(config, client.clone(), metrics.clone(), shutdown));
    let started =
        async { while client.call(&Request::Ping, STORE_TIME).await != Ok(Response::Pong) {} };
    timeout(STEP_TIMEOUT, started).await.unwrap();
    metrics
}

fn slow_machine_count(metrics: &Metrics) -> u64 {
    let text = metrics.encode().unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix("yuccatack_slow_machines "));
    line.unwrap().parse().unwrap()
}

/// Records of five machines, one of which is slow.
fn records() -> Value {
    let record = |(number, speed): (usize, i32)| json!({"m": format!("w{number}"), "s": speed, "d": 50, "n": 9});
    [0, 10, -10, 20, -700].into_iter().enumerate().map(record).collect()
}

fn configure() -> Value {
    json!({"Configure": serde_json::to_value(configuration(1, "key")).unwrap()})
}

fn older_state() -> Value {
    json!({
        "configuration": serde_json::to_value(ConfigurationStore::default()).unwrap(),
        "jobs": serde_json::to_value(JobTable::default()).unwrap(),
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn speeds_in_log() {
    let store = json!({"StoreSpeeds": {"changed": records(), "removed": ["w1"]}});
    assert_eq!(slow_machine_count(&lead(std::slice::from_ref(&store), None).await), 1);
    let remove = json!({"StoreSpeeds": {"changed": [], "removed": ["w4"]}});
    assert_eq!(slow_machine_count(&lead(&[store, remove], None).await), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn speeds_in_snapshot() {
    let mut state = older_state();
    assert_eq!(slow_machine_count(&lead(&[configure()], Some(state.clone())).await), 0);
    state["speeds"] = records();
    assert_eq!(slow_machine_count(&lead(&[configure()], Some(state)).await), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn speeds_outlast_leader() {
    let mut deployment = Deployment::start().await;
    deployment.configure(1, "key").await;
    for index in 0..5 {
        let run_time = Duration::from_millis(if index == 0 { 600 } else { 200 });
        deployment.add_worker(&format!("w{index}"), run_time).await;
    }
    let gang = || {
        let mut spec: JobSpec = job(5);
        spec.steps[0].gang = true;
        spec.steps[0].demand.accelerator_count = 8;
        spec
    };
    let deadline = Instant::now() + STEP_TIMEOUT;
    let leader_index = |deployment: &Deployment| {
        deployment.replicas.iter().position(|replica| slow_machine_count(&replica.metrics) == 1)
    };
    let mut gang_count = 0;
    while leader_index(&deployment).is_none() {
        assert!(
            Instant::now() < deadline,
            "the slow machine is not known after {gang_count} gangs"
        );
        let name = format!("gang{gang_count}");
        deployment.submit(&name, gang()).await;
        deployment.wait_for_phase(&name, JobPhase::Completed).await;
        gang_count += 1;
    }
    sleep(STORE_TIME).await;
    let leader = leader_index(&deployment).unwrap();
    deployment.kill(leader).await;
    let deadline = Instant::now() + STEP_TIMEOUT;
    while leader_index(&deployment).is_none() {
        assert!(Instant::now() < deadline, "the new leader does not know the slow machine");
        sleep(Duration::from_millis(20)).await;
    }
}
