//! Messages over `tonic`: one outgoing stream per replica, and the service for incoming ones.

use std::net::SocketAddr;
use std::time::Duration;

use ractor::ActorRef;
use tokio::sync::{mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Response, Status, Streaming};

use crate::actor::ActorMessage;
use crate::generated::replication::replication_client::ReplicationClient;
use crate::generated::replication::replication_server::{Replication, ReplicationServer};
use crate::generated::replication::{DeliverResponse, Envelope};
use crate::message::Message;

/// How long a connection attempt may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// How long to wait before the next attempt; an election needs several messages in a row, so this
/// stays well below the shortest election timeout.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// How often an open connection is probed, and how long an answer may take. A connection can stop
/// responding for good while new ones work.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_LIMIT: Duration = Duration::from_millis(500);

/// The largest message; a single large command must fit.
const MESSAGE_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// How many encoded messages wait in one stream; the rest waits in the queue that drops.
const STREAM_QUEUE_LENGTH: usize = 16;

/// The service that the caller adds to its router.
pub type ReplicationService = ReplicationServer<Inbound>;

/// Hands incoming messages to the actor.
pub struct Inbound {
    actor: ActorRef<ActorMessage>,
    closed: watch::Receiver<bool>,
}

impl Inbound {
    pub(crate) fn service(
        actor: ActorRef<ActorMessage>,
        closed: watch::Receiver<bool>,
    ) -> ReplicationService {
        ReplicationServer::new(Self { actor, closed })
            .max_decoding_message_size(MESSAGE_LIMIT_BYTES)
            .max_encoding_message_size(MESSAGE_LIMIT_BYTES)
    }

    fn receive(&self, envelope: Envelope) -> Result<(), Status> {
        let message = Message::try_from(envelope).map_err(|error| {
            Status::invalid_argument(format!("{error}; run compatible versions on all replicas"))
        })?;
        self.actor
            .cast(ActorMessage::Receive(message))
            .map_err(|_| Status::unavailable("the replica has stopped; start it again"))
    }
}

#[tonic::async_trait]
impl Replication for Inbound {
    async fn deliver(
        &self,
        request: Request<Streaming<Envelope>>,
    ) -> Result<Response<DeliverResponse>, Status> {
        let mut envelopes = request.into_inner();
        let mut closed = self.closed.clone();
        loop {
            tokio::select! {
                envelope = envelopes.message() => match envelope? {
                    Some(envelope) => self.receive(envelope)?,
                    None => return Ok(Response::new(DeliverResponse {})),
                },
                // An error means that the actor is gone, which closes the stream as well.
                _ = closed.wait_for(|closed| *closed) => {
                    return Err(Status::unavailable("the replica has stopped; start it again"));
                }
            }
        }
    }
}

/// Sends the messages of `waiting` to `address` until the queue is closed.
pub(crate) async fn run_connection(address: SocketAddr, mut waiting: mpsc::Receiver<Message>) {
    let endpoint = match Endpoint::from_shared(format!("http://{address}")) {
        Ok(endpoint) => endpoint
            .connect_timeout(CONNECT_LIMIT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(PROBE_INTERVAL)
            .keep_alive_timeout(PROBE_LIMIT)
            .keep_alive_while_idle(true),
        Err(error) => {
            log::error!(event = "invalid_address"; "cannot connect to {address}: {error}");
            return;
        }
    };
    while !waiting.is_closed() {
        if let Ok(channel) = endpoint.connect().await
            && !send_until_broken(channel, &mut waiting).await
        {
            return;
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Returns whether the queue is still open.
async fn send_until_broken(channel: Channel, waiting: &mut mpsc::Receiver<Message>) -> bool {
    let mut client = ReplicationClient::new(channel)
        .max_encoding_message_size(MESSAGE_LIMIT_BYTES)
        .max_decoding_message_size(MESSAGE_LIMIT_BYTES);
    let (stream, queued) = mpsc::channel(STREAM_QUEUE_LENGTH);
    let call = client.deliver(ReceiverStream::new(queued));
    tokio::pin!(call);
    loop {
        let message = tokio::select! {
            message = waiting.recv() => message,
            _ = &mut call => return true,
        };
        let Some(message) = message else { return false };
        let envelope = match Envelope::try_from(&message) {
            Ok(envelope) => envelope,
            Err(error) => {
                log::error!(event = "message_dropped"; "{error}");
                continue;
            }
        };
        tokio::select! {
            sent = stream.send(envelope) => if sent.is_err() { return true },
            _ = &mut call => return true,
        }
    }
}
