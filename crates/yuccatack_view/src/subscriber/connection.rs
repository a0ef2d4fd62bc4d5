//! Client side of one view stream.

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

/// Time limit for opening a connection; longer than any round trip within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of reports that wait to be sent.
const REPORT_QUEUE_LENGTH: usize = 4;
/// Maximum length of a received update. The longest is a snapshot of all records except jobs.
const MAX_UPDATE_LENGTH_BYTES: usize = 16 << 20;

/// Reason for the end of a view stream.
#[derive(Debug, Snafu)]
pub enum ConnectionError {
    #[snafu(display("cannot connect to the control replica ({detail}); trying another replica"))]
    Unreachable { detail: String },
    #[snafu(display(
        "the control replica is not the leader; trying the leader or another replica"
    ))]
    NotLeader {
        /// Address of the leader; `None` if the replica does not know it.
        leader: Option<SocketAddr>,
    },
    #[snafu(display("the control replica closed the stream ({detail}); trying another replica"))]
    Ended {
        /// gRPC status code and message, or a note that the stream ended without a status.
        detail: String,
    },
    #[snafu(display("no update within {} ms; trying another replica", STREAM_IDLE_TIMEOUT.get()))]
    IdleTimeout,
    /// An update could not be decoded.
    #[snafu(display("{error}"))]
    Wire { error: WireError },
    #[snafu(display("{error}"))]
    Update { error: UpdateError },
    /// All handles of the view were dropped.
    #[snafu(display("no task uses the view any more; the subscriber stops"))]
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

/// Open view stream to a control replica.
#[derive(Debug)]
pub struct Connection {
    reports: mpsc::Sender<NodeReport>,
    updates: Streaming<ViewUpdate>,
}

impl Connection {
    /// Connects to the replica at `address` and subscribes with `first_report`.
    pub async fn open(address: SocketAddr, first_report: Report) -> Result<Self, ConnectionError> {
        let opening = Self::subscribe(address, first_report);
        match tokio::time::timeout(STREAM_IDLE_TIMEOUT.into(), opening).await {
            Ok(opened) => opened,
            Err(_) => Err(ConnectionError::IdleTimeout),
        }
    }

    async fn subscribe(address: SocketAddr, first_report: Report) -> Result<Self, ConnectionError> {
        let unreachable = |error: tonic::transport::Error| ConnectionError::Unreachable {
            detail: error.to_string(),
        };
        let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(unreachable)?;
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
        let channel = endpoint.connect().await.map_err(unreachable)?;
        let mut client =
            ViewClient::new(channel).max_decoding_message_size(MAX_UPDATE_LENGTH_BYTES);
        let (reports, report_queue) = mpsc::channel(REPORT_QUEUE_LENGTH);
        // The queue is empty, so sending cannot fail.
        let _ = reports.try_send(first_report.into());
        let response = client.subscribe(ReceiverStream::new(report_queue)).await?;
        Ok(Self { reports, updates: response.into_inner() })
    }

    /// Queues a report and drops it if the queue is full, because a newer report replaces it.
    pub fn send(&self, report: Report) {
        // If the queue is closed, `next_update` returns the error.
        let _ = self.reports.try_send(report.into());
    }

    /// Waits for the next update. Cancelling this call loses no update.
    pub async fn next_update(&mut self) -> Result<Update, ConnectionError> {
        match self.updates.message().await? {
            Some(update) => {
                Update::try_from(update).map_err(|error| ConnectionError::Wire { error })
            }
            None => Err(ConnectionError::Ended { detail: "end of stream".to_owned() }),
        }
    }
}
