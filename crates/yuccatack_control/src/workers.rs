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

use crate::error::ControlFailure;
use crate::forward::Forwarder;
use crate::message::{ControlMessage, HeartbeatAnswer};

/// The largest heartbeat: 64 tasks with their usage take a few kilobytes.
const BODY_LIMIT_BYTES: usize = 256 * 1024;

/// How long a worker may take to send the head of a heartbeat.
const HEADER_LIMIT: Duration = Duration::from_secs(5);

/// How long the actor may hold an answer back; shorter than the lease.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);

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
                log::warn!(event = "worker_accept_failed"; "cannot accept a connection: {error}");
                // Without a pause a full table of file descriptors would make this loop spin.
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
        async move { Ok::<_, Infallible>(answer(request, &actor, &forwarder).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_LIMIT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!(event = "worker_connection_ended", peer = peer.to_string(); "{error}");
    }
}

async fn answer(
    request: Request<Incoming>,
    actor: &ActorRef<ControlMessage>,
    forwarder: &Forwarder,
) -> Response<Full<Bytes>> {
    let worker = match worker_of(&request) {
        Ok(worker) => worker,
        Err((status, message)) => return refusal(status, &message),
    };
    let Ok(body) = Limited::new(request.into_body(), BODY_LIMIT_BYTES).collect().await else {
        let message = format!("send a whole body of at most {BODY_LIMIT_BYTES} bytes");
        return refusal(StatusCode::BAD_REQUEST, &message);
    };
    let body_json = body.to_bytes();
    match heartbeat(worker, body_json, actor, forwarder).await {
        Ok(answer) => respond(answer),
        Err(failure) => refusal(StatusCode::SERVICE_UNAVAILABLE, &failure),
    }
}

async fn heartbeat(
    worker: WorkerName,
    body_json: Bytes,
    actor: &ActorRef<ControlMessage>,
    forwarder: &Forwarder,
) -> Result<HeartbeatAnswer, String> {
    let build = |reply| ControlMessage::Heartbeat {
        worker: worker.clone(),
        body_json: body_json.clone(),
        reply,
    };
    match actor.call(build, Some(ANSWER_LIMIT)).await {
        Ok(CallResult::Success(Ok(answer))) => Ok(answer),
        Ok(CallResult::Success(Err(ControlFailure::NotLeader {
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

fn worker_of(request: &Request<Incoming>) -> Result<WorkerName, (StatusCode, String)> {
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

fn respond(answer: HeartbeatAnswer) -> Response<Full<Bytes>> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::new(Full::new(answer.body_json));
    *response.status_mut() = status;
    response
}

fn refusal(status: StatusCode, message: &str) -> Response<Full<Bytes>> {
    let body_json = serde_json::json!({ "message": message }).to_string().into();
    respond(HeartbeatAnswer { status: status.as_u16(), body_json })
}
