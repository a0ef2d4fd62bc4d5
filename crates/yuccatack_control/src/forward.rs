//! Passes the heartbeats of workers from a follower to the leader.

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
use crate::message::{ControlMessage, HeartbeatAnswer};

/// Shorter than the lease, so that a worker can still reach another replica in time.
const FORWARD_LIMIT: Duration = Duration::from_secs(2);

/// The forwarded heartbeats that may wait at once; further ones are refused.
const QUEUE_LENGTH: usize = 1024;

/// A heartbeat on its way to the leader.
#[derive(Debug)]
struct Forward {
    leader_address: SocketAddr,
    worker: WorkerName,
    body_json: Bytes,
    reply: oneshot::Sender<Result<HeartbeatAnswer, Status>>,
}

/// Sends heartbeats to the task that owns the channels to the other replicas.
#[derive(Clone, Debug)]
pub struct Forwarder {
    sender: mpsc::Sender<Forward>,
}

impl Forwarder {
    /// Starts the task.
    pub fn spawn() -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
        tokio::spawn(run(receiver));
        Self { sender }
    }

    /// Passes a heartbeat on and waits for the leader's answer.
    pub async fn forward(
        &self,
        leader_address: SocketAddr,
        worker: WorkerName,
        body_json: Bytes,
    ) -> Result<HeartbeatAnswer, Status> {
        let (reply, answer) = oneshot::channel();
        self.sender
            .try_send(Forward { leader_address, worker, body_json, reply })
            .map_err(|_| Status::resource_exhausted("too many forwarded heartbeats; resend"))?;
        answer.await.map_err(|_| Status::unavailable("the forwarder stopped; resend"))?
    }
}

async fn run(mut receiver: mpsc::Receiver<Forward>) {
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
                let channel = endpoint.timeout(FORWARD_LIMIT).connect_lazy();
                channels.insert(forward.leader_address, channel.clone());
                channel
            }
        };
        tokio::spawn(deliver(channel, forward));
    }
}

async fn deliver(channel: Channel, forward: Forward) {
    let message =
        wire::ForwardedHeartbeat { worker: forward.worker.into(), body_json: forward.body_json };
    let answer = WorkersClient::new(channel).heartbeat(message).await.map(|response| {
        let reply = response.into_inner();
        HeartbeatAnswer {
            status: u16::try_from(reply.status).unwrap_or(502),
            body_json: reply.body_json,
        }
    });
    // The worker may have closed its connection; its next heartbeat asks again.
    let _ = forward.reply.send(answer);
}

/// Serves heartbeats that other replicas pass on.
#[derive(Clone, Debug)]
pub struct WorkersService {
    actor: ActorRef<ControlMessage>,
}

impl WorkersService {
    /// A service in front of `actor`.
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
        let answer =
            ask(&self.actor, |reply| ControlMessage::Heartbeat { worker, body_json, reply })
                .await?;
        Ok(Response::new(wire::ForwardedReply {
            status: u32::from(answer.status),
            body_json: answer.body_json,
        }))
    }
}
