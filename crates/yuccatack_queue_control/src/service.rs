//! gRPC service for entries, agents and other replicas.

use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};

use ractor::ActorRef;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::{Request, Response, Status, Streaming};
use yuccatack_queue_client::generated::queue_control::Envelope;
use yuccatack_queue_client::generated::queue_control::queue_control_server::{
    QueueControl, QueueControlServer,
};
use yuccatack_queue_client::protocol::{self, AgentFrame, LeaderFrame};

use crate::message::{ControlMessage, StreamId};

/// Number of frames that may be queued for one agent.
const FRAME_QUEUE_LENGTH: usize = 64;

/// Largest message; a whole configuration must fit into one.
const MESSAGE_LIMIT_BYTES: usize = 8 * 1024 * 1024;

pub(crate) struct QueueService {
    actor: ActorRef<ControlMessage>,
    next_stream: AtomicU64,
}

impl QueueService {
    pub fn server(actor: ActorRef<ControlMessage>) -> QueueControlServer<Self> {
        QueueControlServer::new(Self { actor, next_stream: AtomicU64::new(1) })
            .max_decoding_message_size(MESSAGE_LIMIT_BYTES)
            .max_encoding_message_size(MESSAGE_LIMIT_BYTES)
    }
}

fn stopped_status() -> Status {
    Status::unavailable("the replica has stopped; call another one")
}

#[tonic::async_trait]
impl QueueControl for QueueService {
    async fn call(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        let request = protocol::Request::try_from(request.into_inner())
            .map_err(|error| Status::failed_precondition(error.to_string()))?;
        let (reply, response) = oneshot::channel();
        self.actor.cast(ControlMessage::Call { request, reply }).map_err(|_| stopped_status())?;
        let response = response.await.map_err(|_| stopped_status())?;
        let envelope =
            Envelope::try_from(&response).map_err(|error| Status::internal(error.to_string()))?;
        Ok(Response::new(envelope))
    }

    type AttachStream = Pin<Box<dyn Stream<Item = Result<Envelope, Status>> + Send>>;

    async fn attach(
        &self,
        request: Request<Streaming<Envelope>>,
    ) -> Result<Response<Self::AttachStream>, Status> {
        let mut reports = request.into_inner();
        let first = reports.message().await?.ok_or_else(stopped_status)?;
        let Ok(AgentFrame::Hello(node)) = AgentFrame::try_from(first) else {
            return Err(Status::failed_precondition("the first frame must name the node"));
        };
        let stream = StreamId(self.next_stream.fetch_add(1, Ordering::Relaxed));
        let (frames, queued) = mpsc::channel::<LeaderFrame>(FRAME_QUEUE_LENGTH);
        let connected = ControlMessage::AgentConnected { stream, node: node.clone(), frames };
        self.actor.cast(connected).map_err(|_| stopped_status())?;
        let actor = self.actor.clone();
        tokio::spawn(async move {
            while let Ok(Some(envelope)) = reports.message().await {
                let Ok(AgentFrame::Report(message)) = AgentFrame::try_from(envelope) else { break };
                let report = ControlMessage::AgentReport { stream, node: node.clone(), message };
                if actor.cast(report).is_err() {
                    return;
                }
            }
            // The actor may have stopped already.
            let _ = actor.cast(ControlMessage::AgentDisconnected { stream, node });
        });
        let frames = ReceiverStream::new(queued).map(|frame| {
            Envelope::try_from(&frame).map_err(|error| Status::internal(error.to_string()))
        });
        Ok(Response::new(Box::pin(frames)))
    }
}
