//! Message transport over `tonic`: one outgoing stream per replica, and the service for incoming
//! messages.

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

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay between connection attempts. An election needs several consecutive messages, so the delay
/// stays well below the shortest election timeout.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

// HTTP/2 keep-alive closes a connection that has permanently stopped responding although it is
// open; a new connection to the same replica may work.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of an encoded message; a single large command must fit.
const MESSAGE_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Maximum number of encoded messages that wait in one stream. Further messages wait in the peer's
/// queue, which drops messages when it is full.
const STREAM_QUEUE_LENGTH: usize = 16;

/// gRPC service that the caller adds to its router.
pub type ReplicationService = ReplicationServer<Inbound>;

/// Passes incoming messages to the actor.
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
                // An error means that the actor has stopped, which closes the stream as well.
                _ = closed.wait_for(|closed| *closed) => {
                    return Err(Status::unavailable("the replica has stopped; start it again"));
                }
            }
        }
    }
}

/// Sends the messages of `queue` to `address` until the queue is closed.
pub(crate) async fn run_connection(address: SocketAddr, mut queue: mpsc::Receiver<Message>) {
    let endpoint = match Endpoint::from_shared(format!("http://{address}")) {
        Ok(endpoint) => endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .keep_alive_while_idle(true),
        Err(error) => {
            log::error!(
                event = "invalid_address";
                "replica address {address} is invalid, no messages are sent to it: {error}"
            );
            return;
        }
    };
    while !queue.is_closed() {
        match endpoint.connect().await {
            Ok(channel) => {
                if !send_until_broken(channel, &mut queue).await {
                    return;
                }
            }
            // Queued messages are outdated by the time the replica is reachable again and would
            // only delay the current ones.
            Err(_) => while queue.try_recv().is_ok() {},
        }
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Sends messages until the connection breaks; returns `true` if the queue is still open.
async fn send_until_broken(channel: Channel, queue: &mut mpsc::Receiver<Message>) -> bool {
    let mut client = ReplicationClient::new(channel)
        .max_encoding_message_size(MESSAGE_LIMIT_BYTES)
        .max_decoding_message_size(MESSAGE_LIMIT_BYTES);
    let (stream, queued) = mpsc::channel(STREAM_QUEUE_LENGTH);
    let call = client.deliver(ReceiverStream::new(queued));
    tokio::pin!(call);
    loop {
        let message = tokio::select! {
            message = queue.recv() => message,
            _ = &mut call => return true,
        };
        let Some(message) = message else { return false };
        let envelope = match Envelope::try_from(&message) {
            Ok(envelope) => envelope,
            Err(error) => {
                log::error!(
                    event = "message_dropped";
                    "message to replica {} dropped: {error}", message.to
                );
                continue;
            }
        };
        tokio::select! {
            sent = stream.send(envelope) => if sent.is_err() { return true },
            _ = &mut call => return true,
        }
    }
}
