//! gRPC service of the publisher.

use std::pin::Pin;

use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::metadata::MetadataValue;
use tonic::{Request, Response, Status, Streaming};

use super::actor::ViewPublisher;
use super::state::{NotLeader, StreamId};
use crate::generated::view::view_server::{View, ViewServer};
use crate::generated::view::{NodeReport, ViewUpdate};
use crate::limits::STREAM_IDLE_TIMEOUT;
use crate::message::Report;

/// Metadata key of the address of the leader in a refusal by a follower.
pub const LEADER_METADATA_KEY: &str = "yuccatack-leader";

/// Accepts view streams and connects them to the publisher task.
#[derive(Clone, Debug)]
pub struct ViewService {
    publisher: ViewPublisher,
}

impl ViewService {
    /// Creates a service that serves the view of `publisher`.
    pub const fn new(publisher: ViewPublisher) -> Self {
        Self { publisher }
    }

    /// Wraps the service for a `tonic` router.
    pub fn into_server(self) -> ViewServer<Self> {
        ViewServer::new(self)
    }
}

impl From<NotLeader> for Status {
    fn from(error: NotLeader) -> Self {
        let mut status = Self::failed_precondition(
            "this control replica does not lead; connect to the one in the metadata, or try others",
        );
        let leader = error.leader.map(|address| address.to_string());
        if let Some(Ok(value)) = leader.map(|text| MetadataValue::try_from(text.as_str())) {
            status.metadata_mut().insert(LEADER_METADATA_KEY, value);
        }
        status
    }
}

#[tonic::async_trait]
impl View for ViewService {
    type SubscribeStream = Pin<Box<dyn Stream<Item = Result<ViewUpdate, Status>> + Send>>;

    async fn subscribe(
        &self,
        request: Request<Streaming<NodeReport>>,
    ) -> Result<Response<Self::SubscribeStream>, Status> {
        let (stream, updates) = self.publisher.open_stream().await?;
        let publisher = self.publisher.clone();
        tokio::spawn(forward_reports(publisher, stream, request.into_inner()));
        let updates = ReceiverStream::new(updates).map(|update| update.map(ViewUpdate::from));
        Ok(Response::new(Box::pin(updates)))
    }
}

async fn forward_reports(
    publisher: ViewPublisher,
    stream: StreamId,
    mut reports: Streaming<NodeReport>,
) {
    // The publisher closes an idle stream. This task must not wait for a lost machine either,
    // because the operating system would keep the connection open for many minutes.
    let timeout = std::time::Duration::from(STREAM_IDLE_TIMEOUT) * 2;
    while let Ok(Ok(Some(report))) = tokio::time::timeout(timeout, reports.message()).await {
        match Report::try_from(report) {
            Ok(report) => publisher.report(stream, report).await,
            Err(error) => {
                log::warn!(
                    event = "invalid_node_report";
                    "view stream {stream} closed because of an invalid report: {error}"
                );
                break;
            }
        }
    }
    publisher.close(stream).await;
}

/// Receiver of the updates that are due on a stream.
pub type UpdateReceiver = mpsc::Receiver<Result<crate::message::Update, Status>>;
