//! One view stream of a node.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Endpoint;
use tonic::{Code, Status, Streaming};

use super::state::UpdateError;
use crate::generated::view::view_client::ViewClient;
use crate::generated::view::{NodeReport, ViewUpdate};
use crate::limits::STREAM_IDLE_TIMEOUT;
use crate::message::{Report, Update};
use crate::publisher::LEADER_METADATA_KEY;
use crate::wire::WireError;

/// How long opening a connection may take; it is longer than any round trip within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Reports that may wait for the network.
const REPORT_QUEUE_LENGTH: usize = 4;
/// The longest accepted update: a snapshot of the records without jobs.
const MAX_UPDATE_LENGTH_BYTES: usize = 16 << 20;

/// Why a stream ended.
#[derive(Debug, Snafu)]
pub enum ConnectionError {
    /// The replica cannot be reached.
    #[snafu(display("the replica cannot be reached ({detail}); trying another one"))]
    Unreachable {
        /// What failed.
        detail: String,
    },
    /// The replica does not lead.
    #[snafu(display("the replica does not lead; trying the leader or another one"))]
    NotLeader {
        /// The leader, if the replica knows it.
        leader: Option<SocketAddr>,
    },
    /// The replica ended the stream.
    #[snafu(display("the replica ended the stream ({detail}); trying another one"))]
    Ended {
        /// The status.
        detail: String,
    },
    /// Nothing came for too long.
    #[snafu(display("no update for {} ms; replacing the connection", STREAM_IDLE_TIMEOUT.get()))]
    Silent,
    /// An update could not be read.
    #[snafu(display("{error}"))]
    Wire {
        /// Why.
        error: WireError,
    },
    /// An update could not be applied.
    #[snafu(display("{error}"))]
    Update {
        /// Why.
        error: UpdateError,
    },
    /// No task uses the view any more.
    #[snafu(display("no task uses the view any more"))]
    Unused,
}

impl From<Status> for ConnectionError {
    fn from(status: Status) -> Self {
        if status.code() == Code::FailedPrecondition {
            let text = status.metadata().get(LEADER_METADATA_KEY);
            let text = text.and_then(|value| value.to_str().ok());
            return Self::NotLeader { leader: text.and_then(|text| text.parse().ok()) };
        }
        Self::Ended { detail: format!("{}: {}", status.code(), status.message()) }
    }
}

/// An open stream.
#[derive(Debug)]
pub struct Connection {
    reports: mpsc::Sender<NodeReport>,
    updates: Streaming<ViewUpdate>,
}

impl Connection {
    /// Connects and subscribes; `first` is the first report.
    pub async fn open(address: SocketAddr, first: Report) -> Result<Self, ConnectionError> {
        let opening = Self::subscribe(address, first);
        match tokio::time::timeout(STREAM_IDLE_TIMEOUT.into(), opening).await {
            Ok(opened) => opened,
            Err(_) => Err(ConnectionError::Silent),
        }
    }

    async fn subscribe(address: SocketAddr, first: Report) -> Result<Self, ConnectionError> {
        let unreachable = |error: tonic::transport::Error| ConnectionError::Unreachable {
            detail: error.to_string(),
        };
        let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(unreachable)?;
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
        let channel = endpoint.connect().await.map_err(unreachable)?;
        let mut client =
            ViewClient::new(channel).max_decoding_message_size(MAX_UPDATE_LENGTH_BYTES);
        let (reports, queue) = mpsc::channel(REPORT_QUEUE_LENGTH);
        // The queue is empty, so this cannot fail.
        let _ = reports.try_send(first.into());
        let response = client.subscribe(ReceiverStream::new(queue)).await?;
        Ok(Self { reports, updates: response.into_inner() })
    }

    /// Queues a report; while the network takes nothing, reports are left out.
    pub fn send(&self, report: Report) {
        // A closed queue shows in `next_update`.
        let _ = self.reports.try_send(report.into());
    }

    /// Waits for the next update. It may be cancelled without loss.
    pub async fn next_update(&mut self) -> Result<Update, ConnectionError> {
        match self.updates.message().await? {
            Some(update) => {
                Update::try_from(update).map_err(|error| ConnectionError::Wire { error })
            }
            None => Err(ConnectionError::Ended { detail: "end of stream".to_owned() }),
        }
    }
}
