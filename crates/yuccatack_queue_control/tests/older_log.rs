//! Guards against accepted jobs that are no longer found, or found from another queue, after an
//! upgrade from a version that did not store where a job was submitted.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde_json::{Value, json};
use support::{STEP_TIMEOUT, configuration, free_address, job, target};
use tokio::sync::watch;
use tokio::time::timeout;
use yuccatack_core::{DurationMs, QueueName};
use yuccatack_dispatch::DispatchSettings;
use yuccatack_lifecycle::shutdown_channel;
use yuccatack_queue_client::QueueClient;
use yuccatack_queue_client::protocol::{CallTarget, Request, Response};
use yuccatack_queue_control::{ControlConfig, run};
use yuccatack_queues::Configuration;
use yuccatack_replication::{
    Committed, ProposalClass, ProposalId, ReplicaId, ReplicationConfig, RoleName, encode, start,
};
use yuccatack_runs::JobPhase;
use yuccatack_storage::DiskSettings;
use yuccatack_telemetry::Metrics;

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

fn job_at(path: &str) -> CallTarget {
    CallTarget { path: Arc::from(path), ..target("a") }
}

#[tokio::test(flavor = "multi_thread")]
async fn job_without_origin() {
    let folder = tempfile::tempdir().unwrap();
    let data_folder = folder.path().join("replica");
    let address = free_address();
    write_log(&data_folder, address, &older_commands()).await;

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
