//! Startup, drain and shutdown of the agent process.

use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use yuccatack_core::prelude::*;
use yuccatack_lifecycle::{Shutdown, ShutdownPhase};
use yuccatack_requests::generated::agent::attempts_server::AttemptsServer;
use yuccatack_settings::AgentSettings;
use yuccatack_telemetry::Telemetry;
use yuccatack_view::{
    MinionState, MinionStatus, NodeRole, SubscriberConfig, ViewHandle, ViewSubscriber,
};

use crate::actor::{Actor, ActorInputs};
use crate::error::{AgentError, ListenSnafu, MetricsSnafu, ServeSnafu};
use crate::message::AgentMessage;
use crate::observe::observe_agent;
use crate::service::AttemptService;

/// Connections and handles that an agent runs on.
#[derive(Debug)]
pub struct AgentInputs {
    /// Socket on which entries connect.
    pub listener: TcpListener,
    /// Incarnation of the agent; must equal the one on its view stream.
    pub incarnation: Incarnation,
    /// View of the records.
    pub view: ViewHandle,
    /// Channel that publishes the minion's status.
    pub reports: watch::Sender<Option<MinionStatus>>,
    /// Metrics and readiness of the process.
    pub telemetry: Telemetry,
}

/// Connects an agent and runs it until it has drained.
pub async fn run(settings: AgentSettings, shutdown: Shutdown) -> Result<(), AgentError> {
    let address = settings.listen_address;
    let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let telemetry =
        Telemetry::start(settings.metrics_address, shutdown.clone()).await.context(MetricsSnafu)?;
    let incarnation = Incarnation::random();
    let (reports, reports_receiver) = watch::channel(None);
    let subscription = SubscriberConfig {
        node: settings.node.clone(),
        incarnation,
        role: NodeRole::Agent,
        data_centre: settings.data_centre.clone(),
        control_addresses: settings.control_addresses.clone(),
    };
    let view = ViewSubscriber::spawn(subscription, reports_receiver.clone());
    let observer = tokio::spawn(observe_agent(
        view.clone(),
        reports_receiver,
        telemetry.clone(),
        shutdown.clone(),
    ));
    let inputs = AgentInputs { listener, incarnation, view, reports, telemetry };
    let result = serve(settings, inputs, shutdown).await;
    observer.abort();
    result
}

/// Runs an agent on `inputs` until it has drained.
pub async fn serve(
    settings: AgentSettings,
    inputs: AgentInputs,
    mut shutdown: Shutdown,
) -> Result<(), AgentError> {
    let address = settings.listen_address;
    let bound_address = inputs.listener.local_addr().context(ListenSnafu { address })?;
    let status = MinionStatus {
        minion: settings.minion.clone(),
        service: settings.service.clone(),
        agent_address: bound_address,
        state: MinionState::Unhealthy,
        slot_count: settings.slot_count.min(settings.connection_count),
        slots_in_use: 0,
        queued_count: 0,
        latency_us: 0,
    };
    let body_limit_bytes = settings.body_limit_bytes;
    let (in_flight, in_flight_receiver) = watch::channel(0);
    let (actor, sender) = Actor::new(ActorInputs {
        settings,
        incarnation: inputs.incarnation,
        status,
        reports: inputs.reports,
        view: inputs.view,
        in_flight,
        metrics: inputs.telemetry.metrics.agent.clone(),
    });
    let actor_task = tokio::spawn(actor.run());
    let service = AttemptsServer::new(AttemptService::new(sender.clone(), body_limit_bytes));
    let incoming = TcpIncoming::from(inputs.listener).with_nodelay(Some(true));
    let drain_complete = drain(shutdown.clone(), sender.clone(), in_flight_receiver);
    let server = Server::builder()
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, drain_complete);
    log::info!(
        event = "agent_started", address:% = bound_address;
        "the agent accepts attempts on {bound_address}"
    );
    let result = tokio::select! {
        result = server => result.context(ServeSnafu),
        () = shutdown.wait_for(ShutdownPhase::Aborting) => {
            Err(AgentError::Aborted { attempt_count: log_unfinished_attempts(&sender).await })
        }
    };
    actor_task.abort();
    result
}

/// Logs the attempts that are still running, and returns their number.
async fn log_unfinished_attempts(actor: &mpsc::Sender<AgentMessage>) -> usize {
    let (reply, running) = oneshot::channel();
    // An error means that the actor has already ended with no attempt running.
    let _ = actor.send(AgentMessage::ListRunning { reply }).await;
    let running = running.await.unwrap_or_default();
    for attempt in &running {
        log::warn!(
            event = "attempt_left", attempt:%;
            "attempt {attempt} was still running when the agent was aborted; its outcome is unknown"
        );
    }
    running.len()
}

/// Waits for the shutdown, stops new attempts, and returns once none is in flight. Until then
/// entries can still connect and resolve attempts.
async fn drain(
    mut shutdown: Shutdown,
    actor: mpsc::Sender<AgentMessage>,
    mut in_flight: watch::Receiver<usize>,
) {
    shutdown.wait_for(ShutdownPhase::Draining).await;
    let (started, draining_started) = oneshot::channel();
    // An error means that the actor has already ended.
    let _ = actor.send(AgentMessage::StartDraining { started }).await;
    let _ = draining_started.await;
    let _ = in_flight.wait_for(|count| *count == 0).await;
}
