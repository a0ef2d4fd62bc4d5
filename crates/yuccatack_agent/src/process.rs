//! The agent process: start, drain and end.

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

/// What an agent is connected to.
#[derive(Debug)]
pub struct AgentInputs {
    /// Where entries connect.
    pub listener: TcpListener,
    /// The agent's incarnation, the same as on its view stream.
    pub incarnation: Incarnation,
    /// The node's view.
    pub view: ViewHandle,
    /// Where reports go.
    pub reports: watch::Sender<Option<MinionStatus>>,
    /// Metrics and readiness.
    pub telemetry: Telemetry,
}

/// Runs an agent until it has drained.
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

/// Runs an agent on inputs that are already connected.
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
    let drained = drain(shutdown.clone(), sender.clone(), in_flight_receiver);
    let server =
        Server::builder().add_service(service).serve_with_incoming_shutdown(incoming, drained);
    log::info!(event = "agent_started", address:% = bound_address; "the agent accepts attempts");
    let result = tokio::select! {
        result = server => result.context(ServeSnafu),
        () = shutdown.wait_for(ShutdownPhase::Aborting) => {
            Err(AgentError::Aborted { attempt_count: report_left(&sender).await })
        }
    };
    actor_task.abort();
    result
}

/// Logs the attempts that the process leaves running, and counts them.
async fn report_left(actor: &mpsc::Sender<AgentMessage>) -> usize {
    let (reply, running) = oneshot::channel();
    // An error means that the actor has already ended, with nothing running.
    let _ = actor.send(AgentMessage::ListRunning { reply }).await;
    let running = running.await.unwrap_or_default();
    for attempt in &running {
        log::warn!(event = "attempt_left", attempt:%; "the attempt was left running");
    }
    running.len()
}

/// Waits for the shutdown, makes the agent leave, and returns once nothing is in flight. Until
/// then entries can still connect and resolve.
async fn drain(
    mut shutdown: Shutdown,
    actor: mpsc::Sender<AgentMessage>,
    mut in_flight: watch::Receiver<usize>,
) {
    shutdown.wait_for(ShutdownPhase::Draining).await;
    let (left, leaving) = oneshot::channel();
    // Errors mean that the actor has already ended.
    let _ = actor.send(AgentMessage::Leave { left }).await;
    let _ = leaving.await;
    let _ = in_flight.wait_for(|count| *count == 0).await;
}
