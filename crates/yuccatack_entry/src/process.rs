//! Start, drain and shutdown of the entry process.

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
use crate::connection_pool::ConnectionPool;
use crate::error::{EntryError, ListenSnafu, MetricsSnafu};
use crate::observe::observe_view;
use crate::server::{ServerContext, serve_connection};

/// Maximum number of open connections of callers. Each takes a task and a buffer.
const CONNECTION_COUNT_LIMIT: u32 = 10_000;

/// Listener, handles and settings that an entry runs on.
#[derive(Debug)]
pub struct EntryInputs {
    /// Listener for callers and operators.
    pub listener: TcpListener,
    /// Local copy of the records and minions, received from the control leader.
    pub view: ViewHandle,
    /// Claims idempotency keys at the control leader.
    pub claims: ClaimClient,
    /// Forwards the calls of operators to the control leader.
    pub control: ControlClient,
    /// Metrics, readiness and burn reports.
    pub telemetry: Telemetry,
    /// Timeouts and limits of dispatch.
    pub dispatch: DispatchSettings,
    /// Policy, timeouts and limits of load balancing over minions.
    pub routing: RoutingSettings,
    /// Limits of queues and of the retry budget.
    pub admission: BalancerSettings,
}

/// Timeout of a call to the control leader; longer than an election.
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_secs(5);

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
        call_deadline: CONTROL_CALL_TIMEOUT,
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
        connections: ConnectionPool::spawn(),
        claims: inputs.claims,
        settings: inputs.dispatch,
        body_limit_bytes: settings.body_limit_bytes,
        metrics: inputs.telemetry.metrics.requests.clone(),
    };
    let context =
        ServerContext::new(call, inputs.view, inputs.control, inputs.telemetry, &settings);
    // Each connection holds a permit, so that all permits are free once the last one has closed.
    let connections = Arc::new(Semaphore::new(CONNECTION_COUNT_LIMIT as usize));
    accept(&inputs.listener, &context, &connections, &mut shutdown).await;
    drop(inputs.listener);
    log::info!(
        event = "entry_draining";
        "entry is draining; new connections are refused, requests in flight complete"
    );
    let result = tokio::select! {
        _ = connections.acquire_many(CONNECTION_COUNT_LIMIT) => Ok(()),
        () = shutdown.wait_for(ShutdownPhase::Aborting) => {
            Err(EntryError::Aborted { request_count: log_unfinished(&balancer_sender).await })
        }
    };
    balancer_task.abort();
    result
}

/// Logs the requests in flight of each organisation and returns their total.
async fn log_unfinished(balancer: &mpsc::Sender<BalancerMessage>) -> u32 {
    let (reply, in_flight) = oneshot::channel();
    // Sending fails only if the balancer has ended, and then no request is in flight.
    let _ = balancer.send(BalancerMessage::ListInFlight(reply)).await;
    let in_flight = in_flight.await.unwrap_or_default();
    for (organisation, requests) in &in_flight {
        log::warn!(
            event = "requests_left", organisation:%, requests;
            "shutdown aborted {requests} requests of organisation {organisation}; \
             their outcome is unknown"
        );
    }
    in_flight.iter().map(|(_, count)| count).sum()
}

/// Accepts the next connection once fewer than `CONNECTION_COUNT_LIMIT` are open.
async fn accept_one(
    listener: &TcpListener,
    connections: &Arc<Semaphore>,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(connections).acquire_owned().await.map_err(io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    Ok((stream, permit))
}

/// Accepts connections until the drain starts.
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
                // The error may persist, for example at too many open files; the pause avoids a
                // busy loop.
                log::warn!(
                    event = "accept_failed";
                    "cannot accept a connection: {error}; retrying in 50 ms"
                );
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}
