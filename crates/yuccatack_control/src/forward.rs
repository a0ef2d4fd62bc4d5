//! Forwards the heartbeats of workers from a follower to the leader.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use ractor::ActorRef;
use tokio::sync::{mpsc, oneshot};
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status};
use yuccatack_core::prelude::*;

use crate::call::{ask, invalid};
use crate::generated::workers as wire;
use crate::generated::workers::workers_client::WorkersClient;
use crate::generated::workers::workers_server::Workers;
use crate::message::{ControlMessage, HeartbeatResponse};

/// Maximum duration of a forwarded call. It is shorter than the lease, so that a worker can still
/// reach another replica before its lease expires.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of heartbeats that may wait to be forwarded; further ones are refused.
const QUEUE_CAPACITY_COUNT: usize = 1024;

/// A heartbeat to forward to the leader.
#[derive(Debug)]
struct ForwardRequest {
    leader_address: SocketAddr,
    worker: WorkerName,
    body_json: Bytes,
    reply: oneshot::Sender<Result<HeartbeatResponse, Status>>,
}

/// Handle of the task that owns the channels to the other replicas and forwards heartbeats.
#[derive(Clone, Debug)]
pub struct Forwarder {
    sender: mpsc::Sender<ForwardRequest>,
}

impl Forwarder {
    /// Starts the task, which ends when every clone of the handle is dropped.
    pub fn spawn() -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY_COUNT);
        tokio::spawn(run(receiver));
        Self { sender }
    }

    /// Forwards a heartbeat and waits for the leader's response.
    pub async fn forward(
        &self,
        leader_address: SocketAddr,
        worker: WorkerName,
        body_json: Bytes,
    ) -> Result<HeartbeatResponse, Status> {
        let (reply, response) = oneshot::channel();
        self.sender
            .try_send(ForwardRequest { leader_address, worker, body_json, reply })
            .map_err(|_| Status::resource_exhausted("too many forwarded heartbeats; resend"))?;
        response.await.map_err(|_| Status::unavailable("the forwarder stopped; resend"))?
    }
}

async fn run(mut receiver: mpsc::Receiver<ForwardRequest>) {
    let mut channels: FastHashMap<SocketAddr, Channel> = FastHashMap::default();
    while let Some(forward) = receiver.recv().await {
        let channel = match channels.get(&forward.leader_address) {
            Some(channel) => channel.clone(),
            None => {
                let Ok(endpoint) =
                    Endpoint::from_shared(format!("http://{}", forward.leader_address))
                else {
                    continue;
                };
                let channel = endpoint.timeout(FORWARD_TIMEOUT).connect_lazy();
                channels.insert(forward.leader_address, channel.clone());
                channel
            }
        };
        tokio::spawn(forward_heartbeat(channel, forward));
    }
}

async fn forward_heartbeat(channel: Channel, forward: ForwardRequest) {
    let message =
        wire::ForwardedHeartbeat { worker: forward.worker.into(), body_json: forward.body_json };
    let result = WorkersClient::new(channel).heartbeat(message).await.map(|response| {
        let reply = response.into_inner();
        HeartbeatResponse {
            status: u16::try_from(reply.status).unwrap_or(502),
            body_json: reply.body_json,
        }
    });
    // An error means that the worker closed its connection; it gets commands at its next heartbeat.
    let _ = forward.reply.send(result);
}

/// Serves the heartbeats that other replicas forward.
#[derive(Clone, Debug)]
pub struct WorkersService {
    actor: ActorRef<ControlMessage>,
}

impl WorkersService {
    /// Creates a service that forwards calls to `actor`.
    pub fn new(actor: ActorRef<ControlMessage>) -> Self {
        Self { actor }
    }
}

#[tonic::async_trait]
impl Workers for WorkersService {
    async fn heartbeat(
        &self,
        request: Request<wire::ForwardedHeartbeat>,
    ) -> Result<Response<wire::ForwardedReply>, Status> {
        let request = request.into_inner();
        let worker = WorkerName::new(&request.worker).map_err(invalid)?;
        let body_json = request.body_json;
        let response =
            ask(&self.actor, |reply| ControlMessage::Heartbeat { worker, body_json, reply })
                .await?;
        Ok(Response::new(wire::ForwardedReply {
            status: u32::from(response.status),
            body_json: response.body_json,
        }))
    }
}
