//! The entry process: start, drain and end.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use yuccatack_control_client::{ControlClient, ControlClientConfig};
use yuccatack_core::prelude::*;
use yuccatack_lifecycle::{Shutdown, ShutdownPhase};
use yuccatack_requests::claims::{ClaimClient, claim_channel};
use yuccatack_requests::dispatch::DispatchSettings;
use yuccatack_requests::routing::{Router, RoutingSettings};
use yuccatack_settings::EntrySettings;
use yuccatack_telemetry::Telemetry;
use yuccatack_view::{NodeRole, SubscriberConfig, ViewHandle, ViewSubscriber};

use crate::balancer::{Balancer, BalancerMessage, BalancerSettings};
use crate::call::CallContext;
use crate::claims::forward_claims;
use crate::error::{EntryError, ListenSnafu, MetricsSnafu};
use crate::links::Links;
use crate::observe::observe_view;
use crate::server::{ServerContext, serve_connection};

/// The callers' connections that are open at once; each costs a task and a buffer.
const CONNECTION_COUNT_LIMIT: u32 = 10_000;

/// What an entry is connected to.
#[derive(Debug)]
pub struct EntryInputs {
    /// Where callers connect.
    pub listener: TcpListener,
    /// The node's view.
    pub view: ViewHandle,
    /// Claims of non-idempotent keys.
    pub claims: ClaimClient,
    /// The control leader, for operators.
    pub control: ControlClient,
    /// Metrics and readiness.
    pub telemetry: Telemetry,
    /// Times and bounds of dispatching.
    pub dispatch: DispatchSettings,
    /// Times and bounds of the choice of minions.
    pub routing: RoutingSettings,
    /// Bounds of admission.
    pub admission: BalancerSettings,
}

/// How long a call to the control leader may take; it covers an election.
const CONTROL_CALL_LIMIT: Duration = Duration::from_secs(5);

/// Runs an entry until it has drained.
pub async fn run(settings: EntrySettings, shutdown: Shutdown) -> Result<(), EntryError> {
    let address = settings.listen_address;
    let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let telemetry =
        Telemetry::start(settings.metrics_address, shutdown.clone()).await.context(MetricsSnafu)?;
    let subscription = SubscriberConfig {
        node: settings.node.clone(),
        incarnation: Incarnation::random(),
        role: NodeRole::Entry,
        data_centre: settings.data_centre.clone(),
        control_addresses: settings.control_addresses.clone(),
    };
    let (_no_minion, reports) = watch::channel(None);
    let view = ViewSubscriber::spawn(subscription, reports);
    let observer = tokio::spawn(observe_view(view.clone(), telemetry.clone(), shutdown.clone()));
    let control = ControlClient::spawn(ControlClientConfig {
        control_addresses: settings.control_addresses.clone(),
        call_deadline: CONTROL_CALL_LIMIT,
    });
    let (claims, claim_messages) = claim_channel();
    tokio::spawn(forward_claims(claim_messages, control.clone()));
    let inputs = EntryInputs {
        listener,
        view,
        claims,
        control,
        telemetry,
        dispatch: DispatchSettings::default(),
        routing: RoutingSettings::default(),
        admission: BalancerSettings::default(),
    };
    let result = serve(settings, inputs, shutdown).await;
    observer.abort();
    result
}

/// Runs an entry on inputs that are already connected.
pub async fn serve(
    settings: EntrySettings,
    inputs: EntryInputs,
    mut shutdown: Shutdown,
) -> Result<(), EntryError> {
    let router = Router::new(inputs.routing, settings.data_centre.clone(), rand::random());
    let (balancer, balancer_sender) = Balancer::new(inputs.admission, router, inputs.view.clone());
    let balancer_task = tokio::spawn(balancer.run());
    let call = CallContext {
        node: settings.node.clone(),
        balancer: balancer_sender.clone(),
        links: Links::spawn(),
        claims: inputs.claims,
        settings: inputs.dispatch,
        body_limit_bytes: settings.body_limit_bytes,
        metrics: inputs.telemetry.metrics.requests.clone(),
    };
    let context =
        ServerContext::new(call, inputs.view, inputs.control, inputs.telemetry, &settings);
    // Every connection holds a permit; all are free once the last connection has closed.
    let connections = Arc::new(Semaphore::new(CONNECTION_COUNT_LIMIT as usize));
    accept(&inputs.listener, &context, &connections, &mut shutdown).await;
    drop(inputs.listener);
    log::info!(event = "entry_draining"; "finishing requests");
    let result = tokio::select! {
        _ = connections.acquire_many(CONNECTION_COUNT_LIMIT) => Ok(()),
        () = shutdown.wait_for(ShutdownPhase::Aborting) => {
            Err(EntryError::Aborted { request_count: report_left(&balancer_sender).await })
        }
    };
    balancer_task.abort();
    result
}

/// Logs the requests that the process leaves unfinished, and counts them.
async fn report_left(balancer: &mpsc::Sender<BalancerMessage>) -> u32 {
    let (reply, in_flight) = oneshot::channel();
    // An error means that the balancer has already ended, with nothing in flight.
    let _ = balancer.send(BalancerMessage::ListInFlight(reply)).await;
    let in_flight = in_flight.await.unwrap_or_default();
    for (organisation, requests) in &in_flight {
        log::warn!(event = "requests_left", organisation:%, requests; "requests were left");
    }
    in_flight.iter().map(|(_, count)| count).sum()
}

/// Accepts the next caller once there is room for it.
async fn accept_one(
    listener: &TcpListener,
    connections: &Arc<Semaphore>,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(connections).acquire_owned().await.map_err(io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    Ok((stream, permit))
}

/// Accepts callers until the shutdown starts.
async fn accept(
    listener: &TcpListener,
    context: &ServerContext,
    connections: &Arc<Semaphore>,
    shutdown: &mut Shutdown,
) {
    loop {
        let accepted = tokio::select! {
            accepted = accept_one(listener, connections) => accepted,
            () = shutdown.wait_for(ShutdownPhase::Draining) => return,
        };
        match accepted {
            Ok((stream, permit)) => {
                let _ = stream.set_nodelay(true);
                let served = serve_connection(context.clone(), stream, shutdown.clone(), permit);
                tokio::spawn(served);
            }
            Err(error) => {
                // For example too many open files; the pause keeps the loop from spinning.
                log::warn!(event = "accept_failed"; "{error}");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}
