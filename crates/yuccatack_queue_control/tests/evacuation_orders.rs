//! Guards against an acknowledged evacuation that is forgotten when replicas are killed or restarted,
//! against work that starts in spite of it, and against snapshots of earlier versions, which have no
//! evacuations, that are no longer read.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use support::{Deployment, STEP_TIMEOUT, configuration, free_address, job};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use yuccatack_core::{DataCentreName, DurationMs};
use yuccatack_dispatch::DispatchSettings;
use yuccatack_lifecycle::shutdown_channel;
use yuccatack_queue_client::QueueClient;
use yuccatack_queue_client::protocol::{Request, Response};
use yuccatack_queue_control::{ControlConfig, run};
use yuccatack_queues::ConfigurationStore;
use yuccatack_replication::{
    Committed, ProposalClass, ProposalId, ReplicaId, ReplicationConfig, RoleName, encode, start,
};
use yuccatack_runs::{JobPhase, JobTable};
use yuccatack_storage::DiskSettings;
use yuccatack_telemetry::Metrics;

/// Time in which a task would begin if nothing kept it from that.
const START_TIME: Duration = Duration::from_millis(1_500);

/// Number of log entries after which the snapshot of an earlier version is written.
const ENTRY_COUNT: u64 = 3;

fn name(text: &str) -> DataCentreName {
    DataCentreName::new(text).unwrap()
}

async fn evacuate(deployment: &Deployment, text: &str) {
    let request = Request::Evacuate { data_centre: name(text) };
    deployment.call_until(&request, |response| contains(response, text)).await;
}

async fn readmit(deployment: &Deployment, text: &str) {
    let request = Request::Readmit { data_centre: name(text) };
    let is_withdrawn = |response: &Response| {
        matches!(response, Response::Evacuations(_)) && !contains(response, text)
    };
    deployment.call_until(&request, is_withdrawn).await;
}

fn contains(response: &Response, text: &str) -> bool {
    matches!(response, Response::Evacuations(names) if names.contains(&name(text)))
}

#[tokio::test(flavor = "multi_thread")]
async fn order_outlives_replicas() {
    let mut deployment = Deployment::start().await;
    deployment.configure(1, "key").await;
    let worker = deployment.add_worker("w1", Duration::from_millis(100)).await;
    evacuate(&deployment, "here").await;
    // A repeated order, as after a lost response, is acknowledged like the first one.
    evacuate(&deployment, "here").await;
    deployment.submit("a", job(2)).await;
    sleep(START_TIME).await;
    let (folder, address) = deployment.kill(0).await;
    sleep(START_TIME).await;
    deployment.restart(folder, address);
    for (folder, address) in deployment.stop_all().await {
        deployment.restart(folder, address);
    }
    let stored = Response::Evacuations(vec![name("here")]);
    deployment.call_until(&Request::ReadEvacuations, |response| *response == stored).await;
    sleep(START_TIME).await;
    assert!(worker.starts().await.is_empty(), "a task started in an evacuated data centre");
    readmit(&deployment, "here").await;
    deployment.wait_for_phase("a", JobPhase::Completed).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn other_centre_unaffected() {
    let mut deployment = Deployment::start().await;
    deployment.configure(1, "key").await;
    deployment.add_worker("w1", Duration::from_millis(100)).await;
    evacuate(&deployment, "elsewhere").await;
    deployment.submit("a", job(2)).await;
    deployment.wait_for_phase("a", JobPhase::Completed).await;
}

/// Opposite orders follow each other without a wait, as from an operator that gives up the first one.
/// The one that was acknowledged last holds.
#[tokio::test(flavor = "multi_thread")]
async fn last_order_holds() {
    let deployment = Deployment::start().await;
    for round in 0..10 {
        let client = deployment.client.clone();
        let abandoned = tokio::spawn(async move {
            let request = Request::Evacuate { data_centre: name("here") };
            client.call(&request, Duration::from_secs(2)).await
        });
        sleep(Duration::from_millis(round)).await;
        readmit(&deployment, "here").await;
        abandoned.await.unwrap().unwrap();
        readmit(&deployment, "here").await;
        let none = Response::Evacuations(Vec::new());
        let read = deployment.call_until(&Request::ReadEvacuations, |_| true).await;
        assert_eq!(read, none);
    }
}

/// State as versions without evacuations wrote it to snapshots.
#[derive(Default, Serialize)]
struct EarlierState {
    configuration: ConfigurationStore,
    jobs: JobTable,
}

/// Writes a snapshot of an earlier version as the only replica of a group.
async fn write_snapshot(folder: &Path, address: SocketAddr) {
    let replica = ReplicaId::new(1);
    let config = ReplicationConfig {
        replica,
        address,
        initial_voters: BTreeMap::from([(replica, address)]),
        heartbeat_ms: 20,
        election_timeout_ms: 100,
        snapshot_entry_count: ENTRY_COUNT,
        data_folder: folder.to_owned(),
        disk: DiskSettings::new(support::LARGE_DISK_BYTES),
    };
    let (handle, mut committed, _service) = start(config).await.unwrap();
    let mut status = handle.status();
    status.wait_for(|status| status.role == RoleName::Leader).await.unwrap();
    let mut state = EarlierState::default();
    state.configuration.accept(Arc::new(configuration(7, "key")));
    let command = serde_json::json!({"Configure": configuration(7, "key")});
    let payload = Bytes::from(encode(&command).unwrap());
    for number in 1..=2 * ENTRY_COUNT {
        handle.propose(ProposalId::new(number), ProposalClass::Growth, payload.clone());
    }
    let written = async {
        while let Some(item) = committed.recv().await {
            if let Committed::SnapshotRequested { index } = item {
                handle.store_snapshot(index, Bytes::from(encode(&state).unwrap()));
                return;
            }
        }
    };
    timeout(STEP_TIMEOUT, written).await.unwrap();
    sleep(Duration::from_millis(500)).await;
    handle.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn earlier_snapshot_read() {
    let folder = tempfile::tempdir().unwrap();
    let data_folder = folder.path().join("replica");
    let address = free_address();
    write_snapshot(&data_folder, address).await;

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
    let call = async |request: Request| client.call(&request, Duration::from_secs(2)).await;
    let started = async { while call(Request::Ping).await != Ok(Response::Pong) {} };
    timeout(STEP_TIMEOUT, started).await.unwrap();
    let document = Response::Configuration(Some("document 7".into()));
    assert_eq!(call(Request::ReadConfiguration).await, Ok(document));
    let none = Response::Evacuations(Vec::new());
    assert_eq!(call(Request::ReadEvacuations).await, Ok(none));
    let order = Request::Evacuate { data_centre: name("here") };
    assert_eq!(call(order).await, Ok(Response::Evacuations(vec![name("here")])));
}
