//! Startup, servers and graceful shutdown of the process.

use std::net::SocketAddr;
use std::time::Duration;

use ractor::rpc::CallResult;
use ractor::{Actor, ActorRef};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use yuccatack_core::prelude::*;
use yuccatack_lifecycle::{Shutdown, ShutdownPhase};
use yuccatack_records::generated::records::operators_server::OperatorsServer;
use yuccatack_replication::{ReplicaId, ReplicationConfig, ReplicationService, forward_committed};
use yuccatack_requests::claims::ClaimLimits;
use yuccatack_requests::generated::claims::claims_server::ClaimsServer;
use yuccatack_settings::ControlSettings;
use yuccatack_storage::DiskSettings;
use yuccatack_telemetry::Telemetry;
use yuccatack_view::{ViewPublisher, ViewService};

use crate::actor::{ControlActor, ControlArguments};
use crate::claims::ClaimsService;
use crate::error::{ActorSnafu, ControlError, ListenSnafu, MetricsSnafu, ReplicationSnafu};
use crate::forward::{Forwarder, WorkersService};
use crate::generated::workers::workers_server::WorkersServer;
use crate::membership::reconcile;
use crate::message::ControlMessage;
use crate::operators::OperatorsService;
use crate::workers::serve_workers;

/// Interval at which the leader schedules and confirms its leadership to the nodes.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a draining process checks whether calls still wait.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between HTTP/2 pings, the only way to detect connections of lost machines.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which a connection without a response to a ping is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for other processes to close their streams at the shutdown. Afterwards the server is
/// aborted, because such streams do not end by themselves.
const STREAM_CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs a control replica until the shutdown, which transfers leadership and completes pending
/// calls.
pub async fn run(settings: ControlSettings, mut shutdown: Shutdown) -> Result<(), ControlError> {
    let listener = listen(settings.listen_address, "listen_address").await?;
    let worker_listener = listen(settings.worker_address, "worker_address").await?;
    let telemetry =
        Telemetry::start(settings.metrics_address, shutdown.clone()).await.context(MetricsSnafu)?;
    let (replication, committed, replication_service) =
        yuccatack_replication::start(replication_config(&settings))
            .await
            .context(ReplicationSnafu)?;
    let publisher = ViewPublisher::spawn();
    let (desired_replicas, desired) = watch::channel(None);
    let http_metrics = telemetry.metrics.http.clone();
    let arguments = ControlArguments {
        replication: replication.clone(),
        publisher: publisher.clone(),
        claim_limits: claim_limits(&settings),
        telemetry,
        desired_replicas,
    };
    let (actor, actor_task) =
        Actor::spawn(None, ControlActor, arguments).await.context(ActorSnafu)?;

    let mut log_feed = tokio::spawn(forward_committed(committed, actor.clone()));
    let reconciler = tokio::spawn(reconcile(desired, replication.clone()));
    let ticker = tokio::spawn(tick(actor.clone()));
    let workers = tokio::spawn(serve_workers(
        worker_listener,
        actor.clone(),
        Forwarder::spawn(),
        http_metrics,
        shutdown.clone(),
    ));
    let mut server = tokio::spawn(serve(listener, actor.clone(), publisher, replication_service));
    log::info!(
        event = "control_started", address = settings.listen_address.to_string();
        "control replica {} accepts calls", settings.replica_id
    );

    let result = tokio::select! {
        () = shutdown.wait_for(ShutdownPhase::Draining) => drain(&actor, &mut shutdown).await,
        _ = &mut log_feed => Err(ControlError::LogStopped),
        ended = &mut server => Err(server_failure(ended)),
    };
    workers.abort();
    ticker.abort();
    reconciler.abort();
    replication.stop().await;
    let _ = tokio::time::timeout(STREAM_CLOSE_TIMEOUT, &mut server).await;
    server.abort();
    actor.stop(None);
    let _ = actor_task.await;
    result
}

async fn listen(address: SocketAddr, setting: &'static str) -> Result<TcpListener, ControlError> {
    TcpListener::bind(address).await.context(ListenSnafu { address, setting })
}

fn replication_config(settings: &ControlSettings) -> ReplicationConfig {
    let initial_voters = settings
        .initial_replicas
        .iter()
        .map(|replica| (ReplicaId::new(replica.replica_id), replica.address))
        .collect();
    ReplicationConfig {
        replica: ReplicaId::new(settings.replica_id),
        address: settings.listen_address,
        initial_voters,
        heartbeat_ms: settings.heartbeat_ms,
        election_timeout_ms: settings.election_timeout_ms,
        snapshot_entry_count: settings.snapshot_entry_count,
        data_folder: settings.data_folder.clone(),
        disk: DiskSettings::new(settings.disk_limit_bytes),
    }
}

fn claim_limits(settings: &ControlSettings) -> ClaimLimits {
    ClaimLimits {
        age: DurationMs::new(settings.claim_age_limit_ms),
        count: settings.claim_count_limit,
        ..ClaimLimits::default()
    }
}

async fn tick(actor: ActorRef<ControlMessage>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    // After a pause of the process one tick is enough; a burst would only repeat the decisions.
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if actor.cast(ControlMessage::Tick).is_err() {
            return;
        }
    }
}

async fn serve(
    listener: TcpListener,
    actor: ActorRef<ControlMessage>,
    publisher: ViewPublisher,
    replication: ReplicationService,
) -> Result<(), tonic::transport::Error> {
    Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .add_service(OperatorsServer::new(OperatorsService::new(actor.clone())))
        .add_service(ClaimsServer::new(ClaimsService::new(actor.clone())))
        .add_service(WorkersServer::new(WorkersService::new(actor)))
        .add_service(ViewService::new(publisher).into_server())
        .add_service(replication)
        .serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true)))
        .await
}

fn server_failure(
    ended: Result<Result<(), tonic::transport::Error>, tokio::task::JoinError>,
) -> ControlError {
    let message = match ended {
        Ok(Ok(())) => "the server task ended".to_owned(),
        Ok(Err(error)) => error.to_string(),
        Err(error) => error.to_string(),
    };
    ControlError::Server { setting: "listen_address", message }
}

/// Transfers leadership and waits until every accepted call has its response.
async fn drain(
    actor: &ActorRef<ControlMessage>,
    shutdown: &mut Shutdown,
) -> Result<(), ControlError> {
    let drained = async {
        let _ = actor.call(|reply| ControlMessage::Drain { reply }, None).await;
        while waiting_count(actor).await > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = drained => Ok(()),
        () = shutdown.wait_for(ShutdownPhase::Aborting) => {
            let waiting_count = waiting_count(actor).await;
            Err(ControlError::Aborted { waiting_count })
        }
    }
}

async fn waiting_count(actor: &ActorRef<ControlMessage>) -> usize {
    match actor.call(|reply| ControlMessage::WaitingCount { reply }, None).await {
        Ok(CallResult::Success(count)) => count,
        Ok(CallResult::Timeout | CallResult::SenderError) | Err(_) => 0,
    }
}
