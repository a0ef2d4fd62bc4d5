//! Start, operation and graceful shutdown of a control replica.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use ractor::{Actor, ActorRef};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use yuccatack_dispatch::DispatchSettings;
use yuccatack_lifecycle::{Shutdown, ShutdownPhase};
use yuccatack_queue_client::QueueClient;
use yuccatack_replication::{
    ReplicaId, ReplicationConfig, ReplicationHandle, ReplicationService, forward_committed,
};
use yuccatack_storage::DiskSettings;
use yuccatack_telemetry::Metrics;

use crate::actor::{ControlActor, ControlArguments};
use crate::error::{ActorSnafu, ControlError, ListenSnafu, ReplicationSnafu};
use crate::identity::{ReplicaIdentity, replica_identity};
use crate::join::maintain_joined;
use crate::leave::leave_group;
use crate::membership::maintain_membership;
use crate::message::ControlMessage;
use crate::service::QueueService;

/// Interval of scheduling passes without any event; no message announces that a lease has expired
/// or that a scheduled job is due.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of the leader's heartbeats. About six in a row must be lost before an election starts.
const HEARTBEAT_INTERVAL_MS: u64 = 100;

/// Shortest election timeout. It exceeds a sync of a slow disk, so that a leader on a slow machine
/// keeps its leadership.
const ELECTION_TIMEOUT_MS: u64 = 600;

/// Number of log entries between snapshots. An entry holds at most one configuration, and a few
/// hundred of these fit on the smallest disk.
const SNAPSHOT_ENTRY_COUNT: u64 = 500;

/// Time that pending calls get to complete after the shutdown has begun.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Number of requests of replicas that may be queued; a replica repeats a dropped one.
const MEMBER_REQUEST_QUEUE_LENGTH: usize = 16;

/// Interval of HTTP/2 pings on connections of entries and agents that send nothing. Only pings show
/// that a peer was lost without a reset.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which a connection without a response to a ping is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Configuration of one control replica.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// Address on which this replica listens and at which other nodes reach it.
    pub address: SocketAddr,
    /// Folder of the log, the snapshots and the replica's ID.
    pub data_folder: PathBuf,
    /// Disk that holds the folder.
    pub disk: DiskSettings,
    /// Addresses of replicas that may be members. On the first start they found the group.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// `true` if the deployment starts for the first time and has no replication group yet.
    pub first_start: bool,
    /// Number `n` of replicas that may fail at once; the group grows to `2n + 1` voters.
    pub tolerated_loss_count: usize,
    /// Lease and stop times that the leader schedules with.
    pub dispatch: DispatchSettings,
}

/// Delay before a replica whose data folder could not be opened on a full disk opens it again.
const DISK_FULL_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Runs a replica until shutdown, which transfers the leadership and answers pending calls.
///
/// A replica that cannot open its data folder because the disk is full tries again until there is
/// space. Once the folder is open, a full disk does not stop the replica. Any other failure of the
/// storage ends the process, which then starts from what the disk holds.
pub async fn run(
    config: ControlConfig,
    client: QueueClient,
    metrics: Metrics,
    mut shutdown: Shutdown,
) -> Result<(), ControlError> {
    loop {
        let replica =
            run_replica(config.clone(), client.clone(), metrics.clone(), shutdown.clone());
        match replica.await {
            Err(error) if error.is_disk_full() => {
                log::error!(
                    event = "disk_full", retry_ms = DISK_FULL_RETRY_DELAY.as_millis();
                    "the replica cannot run on the full disk and opens its data folder again in \
                     {DISK_FULL_RETRY_DELAY:?}: {error}"
                );
            }
            result => return result,
        }
        tokio::select! {
            () = shutdown.wait_for(ShutdownPhase::Draining) => return Ok(()),
            () = sleep(DISK_FULL_RETRY_DELAY) => {}
        }
    }
}

async fn run_replica(
    config: ControlConfig,
    client: QueueClient,
    metrics: Metrics,
    mut shutdown: Shutdown,
) -> Result<(), ControlError> {
    let address = config.address;
    let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let seeds = config.seeds.borrow().clone();
    let identity = replica_identity(&config.data_folder, address, &seeds, config.first_start)?;
    let is_founder = !identity.founders.is_empty();
    let replica = identity.replica;
    let replication_config = replication_config(&config, identity);
    let (replication, committed, replication_service) =
        yuccatack_replication::start(replication_config).await.context(ReplicationSnafu)?;
    let (member_requests, queued_requests) = mpsc::channel(MEMBER_REQUEST_QUEUE_LENGTH);
    let arguments = ControlArguments {
        replication: replication.clone(),
        settings: config.dispatch.clone(),
        member_requests,
        metrics,
        disk_capacity_bytes: config.disk.capacity_bytes,
    };
    let (actor, actor_task) = Actor::spawn(None, ControlActor, arguments)
        .await
        .map_err(|error| ActorSnafu { detail: error.to_string() }.build())?;
    let target_voter_count = 2 * config.tolerated_loss_count + 1;
    let background = [
        tokio::spawn(tick(actor.clone())),
        tokio::spawn(maintain_membership(replication.clone(), queued_requests, target_voter_count)),
        tokio::spawn(maintain_joined(
            replication.clone(),
            client.clone(),
            replica,
            address,
            is_founder,
        )),
    ];
    let mut forwarder = tokio::spawn(forward_committed(committed, actor.clone()));
    let mut server = tokio::spawn(serve(listener, actor.clone(), replication_service));
    log::info!(
        event = "queue_control_started", address:% = address, replica = replica.get(),
        founder = is_founder;
        "the control replica accepts calls"
    );
    let result = tokio::select! {
        () = shutdown.wait_for(ShutdownPhase::Draining) => {
            drain(&actor, &replication, &client, replica).await;
            Ok(())
        }
        _ = &mut forwarder => {
            Err(ControlError::from_failure(replication.status().borrow().failure.clone()))
        }
        result = &mut server => Err(server_failure(result)),
    };
    for task in background {
        task.abort();
    }
    server.abort();
    replication.stop().await;
    actor.stop(None);
    // `result` already reports any failure that stopped the actor.
    let _ = actor_task.await;
    result
}

fn replication_config(config: &ControlConfig, identity: ReplicaIdentity) -> ReplicationConfig {
    ReplicationConfig {
        replica: identity.replica,
        address: config.address,
        initial_voters: identity.founders,
        heartbeat_ms: HEARTBEAT_INTERVAL_MS,
        election_timeout_ms: ELECTION_TIMEOUT_MS,
        snapshot_entry_count: SNAPSHOT_ENTRY_COUNT,
        data_folder: config.data_folder.clone(),
        disk: config.disk.clone(),
    }
}

async fn tick(actor: ActorRef<ControlMessage>) {
    let mut ticks = interval(TICK_INTERVAL);
    // One tick after a pause of the process is enough; a burst would repeat the same pass.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if actor.cast(ControlMessage::Tick).is_err() {
            return;
        }
    }
}

async fn serve(
    listener: TcpListener,
    actor: ActorRef<ControlMessage>,
    replication: ReplicationService,
) -> Result<(), tonic::transport::Error> {
    Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .add_service(QueueService::server(actor))
        .add_service(replication)
        .serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true)))
        .await
}

fn server_failure(
    result: Result<Result<(), tonic::transport::Error>, tokio::task::JoinError>,
) -> ControlError {
    let detail = match result {
        Ok(Ok(())) => "it ended without an error".to_owned(),
        Ok(Err(error)) => error.to_string(),
        Err(error) => error.to_string(),
    };
    ControlError::Server { detail }
}

/// Transfers the leadership, hands the vote over to a learner and waits until every accepted call has
/// its response.
async fn drain(
    actor: &ActorRef<ControlMessage>,
    replication: &ReplicationHandle,
    client: &QueueClient,
    replica: ReplicaId,
) {
    replication.transfer_leadership().await;
    leave_group(replication, client, replica).await;
    // The replica may have been elected meanwhile.
    replication.transfer_leadership().await;
    let (reply, drained) = oneshot::channel();
    if actor.cast(ControlMessage::Drain { reply }).is_ok()
        && timeout(DRAIN_TIMEOUT, drained).await.is_err()
    {
        log::warn!(
            event = "calls_left";
            "the drain timed out; pending calls end without a response"
        );
    }
}
