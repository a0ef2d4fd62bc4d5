//! Start, service and graceful shutdown of the process.

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
use yuccatack_replication::{ReplicationConfig, ReplicationService, forward_committed};
use yuccatack_telemetry::Metrics;

use crate::actor::{ControlActor, ControlArguments};
use crate::error::{ActorSnafu, ControlError, ListenSnafu, ReplicationSnafu};
use crate::identity::{Formation, replica_identity};
use crate::join::keep_joined;
use crate::membership::keep_membership;
use crate::message::ControlMessage;
use crate::service::QueueService;

/// How often the leader decides without any event; leases and due times pass silently.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// How often a leader confirms its lead. Half a dozen are lost before an election.
const HEARTBEAT_MS: u64 = 100;

/// The shortest election timeout. It exceeds a sync of a slow disk, so that a slow machine keeps
/// its lead.
const ELECTION_TIMEOUT_MS: u64 = 600;

/// How many entries lie between snapshots. An entry holds at most one configuration, and a few
/// hundred of these fit on the smallest disk.
const SNAPSHOT_ENTRY_COUNT: u64 = 500;

/// How long waiting calls may take after the shutdown began.
const DRAIN_LIMIT: Duration = Duration::from_millis(1_500);

/// How many replicas may ask for membership at once.
const JOIN_QUEUE_LENGTH: usize = 16;

/// Where and how one replica runs.
#[derive(Clone, Debug)]
pub struct ControlConfig {
    /// Where other nodes reach this replica.
    pub address: SocketAddr,
    /// The folder with all durable state.
    pub data_folder: PathBuf,
    /// Replicas that may be members; they found the group on the first start.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Whether the deployment starts for the first time.
    pub first_start: bool,
    /// How many replicas may be lost at once.
    pub tolerated_loss_count: usize,
    /// The times that decisions depend on.
    pub dispatch: DispatchSettings,
}

/// How long a replica with a full disk waits before it opens its folder again.
const DISK_FULL_RETRY: Duration = Duration::from_secs(1);

/// Runs a replica until the shutdown, which hands the lead over and answers waiting calls.
///
/// A full disk stops the replica but not the process, which goes on as soon as there is space.
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
                log::error!(event = "disk_full"; "the replica waits for space: {error}");
            }
            ended => return ended,
        }
        tokio::select! {
            () = shutdown.wait_for(ShutdownPhase::Draining) => return Ok(()),
            () = sleep(DISK_FULL_RETRY) => {}
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
    let formation = replica_identity(&config.data_folder, address, &seeds, config.first_start)?;
    let is_founder = !formation.founders.is_empty();
    let replica = formation.replica;
    let replication_config = replication_config(&config, formation);
    let (replication, committed, replication_service) =
        yuccatack_replication::start(replication_config).await.context(ReplicationSnafu)?;
    let (joins, join_requests) = mpsc::channel(JOIN_QUEUE_LENGTH);
    let arguments = ControlArguments {
        replication: replication.clone(),
        settings: config.dispatch.clone(),
        joins,
        metrics,
    };
    let (actor, actor_task) = Actor::spawn(None, ControlActor, arguments)
        .await
        .map_err(|error| ActorSnafu { detail: error.to_string() }.build())?;
    let wanted_voter_count = 2 * config.tolerated_loss_count + 1;
    let background = [
        tokio::spawn(tick(actor.clone())),
        tokio::spawn(keep_membership(replication.clone(), join_requests, wanted_voter_count)),
        tokio::spawn(keep_joined(replication.clone(), client, replica, address, is_founder)),
    ];
    let mut feed = tokio::spawn(forward_committed(committed, actor.clone()));
    let mut server = tokio::spawn(serve(listener, actor.clone(), replication_service));
    log::info!(
        event = "queue_control_started", address:% = address, replica = replica.get(),
        founder = is_founder;
        "the replica answers"
    );
    let result = tokio::select! {
        () = shutdown.wait_for(ShutdownPhase::Draining) => {
            drain(&actor, &replication).await;
            Ok(())
        }
        _ = &mut feed => {
            Err(ControlError::from_failure(replication.status().borrow().failure.clone()))
        }
        ended = &mut server => Err(server_failure(ended)),
    };
    for task in background {
        task.abort();
    }
    server.abort();
    replication.stop().await;
    actor.stop(None);
    // The actor's result was reported by whatever stopped it.
    let _ = actor_task.await;
    result
}

fn replication_config(config: &ControlConfig, formation: Formation) -> ReplicationConfig {
    ReplicationConfig {
        replica: formation.replica,
        address: config.address,
        initial_voters: formation.founders,
        heartbeat_ms: HEARTBEAT_MS,
        election_timeout_ms: ELECTION_TIMEOUT_MS,
        snapshot_entry_count: SNAPSHOT_ENTRY_COUNT,
        data_folder: config.data_folder.clone(),
    }
}

async fn tick(actor: ActorRef<ControlMessage>) {
    let mut ticks = interval(TICK_INTERVAL);
    // After a pause of the process one tick is enough; a burst would repeat the same decision.
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
        .add_service(QueueService::server(actor))
        .add_service(replication)
        .serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true)))
        .await
}

fn server_failure(
    ended: Result<Result<(), tonic::transport::Error>, tokio::task::JoinError>,
) -> ControlError {
    let detail = match ended {
        Ok(Ok(())) => "it ended".to_owned(),
        Ok(Err(error)) => error.to_string(),
        Err(error) => error.to_string(),
    };
    ControlError::Server { detail }
}

/// Hands the lead over and waits until every call that was accepted has its answer.
async fn drain(
    actor: &ActorRef<ControlMessage>,
    replication: &yuccatack_replication::ReplicationHandle,
) {
    replication.transfer_leadership().await;
    let (reply, finished) = oneshot::channel();
    if actor.cast(ControlMessage::Drain { reply }).is_ok()
        && timeout(DRAIN_LIMIT, finished).await.is_err()
    {
        log::warn!(event = "calls_left"; "calls were left unanswered at the end of the drain");
    }
}
