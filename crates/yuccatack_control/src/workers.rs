//! The HTTP server for the heartbeats of workers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use ractor::ActorRef;
use ractor::rpc::CallResult;
use tokio::net::TcpListener;
use yuccatack_core::prelude::*;
use yuccatack_lifecycle::{Shutdown, ShutdownPhase};

use crate::error::CallError;
use crate::forward::Forwarder;
use crate::message::{ControlMessage, HeartbeatResponse};

/// Maximum size of a heartbeat; 64 tasks with their usage take a few kilobytes.
const MAX_BODY_BYTES: usize = 256 * 1024;

/// Maximum time for a worker to send the headers of a heartbeat.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time to wait for the actor's response; shorter than the lease.
const ACTOR_TIMEOUT: Duration = Duration::from_secs(4);

/// Serves workers until the shutdown reaches its draining phase.
pub async fn serve_workers(
    listener: TcpListener,
    actor: ActorRef<ControlMessage>,
    forwarder: Forwarder,
    mut shutdown: Shutdown,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.wait_for(ShutdownPhase::Draining) => return,
        };
        match accepted {
            Ok((stream, peer)) => {
                tokio::spawn(serve_connection(stream, peer, actor.clone(), forwarder.clone()));
            }
            Err(error) => {
                log::warn!(
                    event = "worker_accept_failed";
                    "cannot accept a worker connection: {error}; trying again after a pause"
                );
                // Without a pause this loop would spin while no file descriptors are available.
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_connection(
    stream: tokio::net::TcpStream,
    peer: SocketAddr,
    actor: ActorRef<ControlMessage>,
    forwarder: Forwarder,
) {
    let service = service_fn(move |request| {
        let actor = actor.clone();
        let forwarder = forwarder.clone();
        async move { Ok::<_, Infallible>(handle_request(request, &actor, &forwarder).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!(
            event = "worker_connection_ended", peer = peer.to_string();
            "the connection of the worker at {peer} failed and was closed: {error}"
        );
    }
}

async fn handle_request(
    request: Request<Incoming>,
    actor: &ActorRef<ControlMessage>,
    forwarder: &Forwarder,
) -> Response<Full<Bytes>> {
    let worker = match parse_worker(&request) {
        Ok(worker) => worker,
        Err((status, message)) => return error_response(status, &message),
    };
    let Ok(body) = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await else {
        let message = format!("send a whole body of at most {MAX_BODY_BYTES} bytes");
        return error_response(StatusCode::BAD_REQUEST, &message);
    };
    let body_json = body.to_bytes();
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

fn parse_worker(request: &Request<Incoming>) -> Result<WorkerName, (StatusCode, String)> {
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
