//! The HTTP server for the heartbeats of workers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode};
use ractor::ActorRef;
use ractor::rpc::CallResult;
use tokio::net::TcpListener;
use tokio::sync::watch;
use yuccatack_core::prelude::*;
use yuccatack_http::{DrainTimes, Guard, HttpMetrics, ProcessLimits, RequestBody, ServerLimits};
use yuccatack_lifecycle::Shutdown;

use crate::error::CallError;
use crate::forward::Forwarder;
use crate::message::{ControlMessage, HeartbeatResponse};

/// Maximum size of a heartbeat; 64 tasks with their usage take a few kilobytes.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Maximum time to wait for the actor's response; shorter than the lease.
const ACTOR_TIMEOUT: Duration = Duration::from_secs(4);

/// Time limit for requests in flight once the drain begins.
const FINISH_TIMEOUT: Duration = Duration::from_secs(5);

/// Memory and descriptors of a control replica that serves 9,300 workers, each with a connection of
/// its own.
const MEMORY_BYTES: u64 = 2 * 1024 * 1024 * 1024;
const DESCRIPTOR_COUNT: usize = 16_384;

/// Serves workers until the shutdown reaches its draining phase.
pub async fn serve_workers(
    listener: TcpListener,
    actor: ActorRef<ControlMessage>,
    forwarder: Forwarder,
    metrics: HttpMetrics,
    shutdown: Shutdown,
) {
    let guard = Guard::spawn(ProcessLimits::new(MEMORY_BYTES, DESCRIPTOR_COUNT), metrics);
    let (_, limits) = watch::channel(ServerLimits::new(MAX_BODY_BYTES));
    let handler = move |request| {
        let (actor, forwarder) = (actor.clone(), forwarder.clone());
        async move { handle_request(request, &actor, &forwarder).await }
    };
    let drain = DrainTimes { accept_duration: Duration::ZERO, finish_timeout: FINISH_TIMEOUT };
    yuccatack_http::serve(listener, guard, limits, handler, shutdown, drain).await;
}

async fn handle_request(
    request: Request<RequestBody>,
    actor: &ActorRef<ControlMessage>,
    forwarder: &Forwarder,
) -> Response<Full<Bytes>> {
    let worker = match parse_worker(&request) {
        Ok(worker) => worker,
        Err((status, message)) => return error_response(status, &message),
    };
    let body_json = match request.into_body().read().await {
        Ok(body) => Bytes::from(body),
        Err(refusal) if refusal.status() == StatusCode::SERVICE_UNAVAILABLE => {
            let message = "too much is received at once; send the next heartbeat later";
            return error_response(refusal.status(), message);
        }
        Err(_) => {
            let message = format!("send a whole body of at most {MAX_BODY_BYTES} bytes");
            return error_response(StatusCode::BAD_REQUEST, &message);
        }
    };
    match heartbeat(worker, body_json, actor, forwarder).await {
        Ok(response) => into_http_response(response),
        Err(failure) => error_response(StatusCode::SERVICE_UNAVAILABLE, &failure),
    }
}

async fn heartbeat(
    worker: WorkerName,
    body_json: Bytes,
    actor: &ActorRef<ControlMessage>,
    forwarder: &Forwarder,
) -> Result<HeartbeatResponse, String> {
    let build_message = |reply| ControlMessage::Heartbeat {
        worker: worker.clone(),
        body_json: body_json.clone(),
        reply,
    };
    match actor.call(build_message, Some(ACTOR_TIMEOUT)).await {
        Ok(CallResult::Success(Ok(response))) => Ok(response),
        Ok(CallResult::Success(Err(CallError::NotLeader {
            leader_address: Some(leader_address),
        }))) => forwarder
            .forward(leader_address, worker, body_json)
            .await
            .map_err(|status| status.message().to_owned()),
        Ok(CallResult::Success(Err(failure))) => Err(failure.to_string()),
        Ok(CallResult::Timeout | CallResult::SenderError) | Err(_) => {
            Err("no answer in time; send the next heartbeat to another replica".to_owned())
        }
    }
}

fn parse_worker(request: &Request<RequestBody>) -> Result<WorkerName, (StatusCode, String)> {
    let path = request.uri().path();
    let name = path
        .strip_prefix("/v1/workers/")
        .and_then(|rest| rest.strip_suffix("/heartbeat"))
        .ok_or_else(|| {
        (StatusCode::NOT_FOUND, "use /v1/workers/{worker}/heartbeat".to_owned())
    })?;
    if request.method() != Method::POST {
        return Err((StatusCode::METHOD_NOT_ALLOWED, "use POST".to_owned()));
    }
    WorkerName::new(name).map_err(|error| (StatusCode::BAD_REQUEST, error.to_string()))
}

fn into_http_response(heartbeat: HeartbeatResponse) -> Response<Full<Bytes>> {
    let status = StatusCode::from_u16(heartbeat.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(Full::new(heartbeat.body_json));
    *response.status_mut() = status;
    response
}

fn error_response(status: StatusCode, message: &str) -> Response<Full<Bytes>> {
    let body_json = serde_json::json!({ "message": message }).to_string().into();
    into_http_response(HeartbeatResponse { status: status.as_u16(), body_json })
}
