//! Client that finds the leading replica and calls it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout_at};
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

use crate::attempt::{AttemptError, call_replica, evaluate_result, replica_client};
use crate::directory::{CallOutcome, Contact, Directory};
use crate::error::CallError;
use crate::generated::queue_control::Envelope;
use crate::protocol::{AgentFrame, LeaderFrame, Request, Response};
use crate::search::Search;

/// Timeout of a call to one replica. A commit takes a few round trips and syncs: tens of
/// milliseconds on healthy machines, some hundreds with a slow disk.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout for a replica to confirm its leadership, which takes a round trip to a quorum and no
/// disk access.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of frames that may be queued in an agent's stream.
const STREAM_QUEUE_LENGTH: usize = 64;

/// Calls the leader. Clones are cheap and share the connections.
#[derive(Clone, Debug)]
pub struct QueueClient {
    directory: Directory,
}

/// Open stream of an agent to a replica that may lead.
#[derive(Debug)]
pub struct AgentStream {
    sender: mpsc::Sender<Envelope>,
    receiver: Streaming<Envelope>,
    address: SocketAddr,
    directory: Directory,
    /// `true` once the replica has sent a frame that only a leader sends.
    is_leader: bool,
}

impl QueueClient {
    /// Creates a client that searches for the leader among `seeds`, whose addresses may change
    /// later.
    pub fn new(seeds: watch::Receiver<Vec<SocketAddr>>) -> Self {
        Self { directory: Directory::spawn(seeds) }
    }

    /// Calls the leader; on failure searches for another one until `timeout` is over.
    ///
    /// A request without effects is sent to further replicas while earlier ones are silent. A
    /// request with effects is sent to one replica at a time, shortly after that replica has
    /// confirmed its leadership: from a replica that is partitioned or down, the caller would never
    /// learn the outcome.
    pub async fn call(&self, request: &Request, timeout: Duration) -> Result<Response, CallError> {
        let deadline = Instant::now() + timeout;
        let envelope = encode_request(request)?;
        if !request.has_effects() {
            let mut search = Search::new(self.directory.clone(), envelope, ATTEMPT_TIMEOUT);
            let leader = search.find(deadline).await.ok_or(CallError::NotDone)?;
            return Ok(leader.response);
        }
        let ping = encode_request(&Request::Ping)?;
        let mut search = Search::new(self.directory.clone(), ping, CONFIRMATION_TIMEOUT);
        let mut may_have_taken_effect = false;
        let mut leader = match self.directory.next(&[]).await {
            Some(candidate) if candidate.contact == Contact::Confirmed => {
                search.skip(candidate.address);
                Some((candidate.address, candidate.channel))
            }
            _ => None,
        };
        loop {
            if leader.is_none() {
                leader = search.find(deadline).await.map(|found| (found.address, found.channel));
            }
            let Some((address, channel)) = leader.take() else { break };
            let attempt_deadline = deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
            let result = call_replica(channel, envelope.clone(), attempt_deadline).await;
            match evaluate_result(&self.directory, address, result).await {
                // An earlier attempt may take effect, so that the refusal of a later one tells nothing.
                Ok(Response::Busy { .. } | Response::Denied(_)) if may_have_taken_effect => {
                    return Err(CallError::Unknown);
                }
                Ok(response) => return Ok(response),
                Err(AttemptError::NotDone) => {}
                Err(AttemptError::Unknown) => may_have_taken_effect = true,
            }
        }
        Err(if may_have_taken_effect { CallError::Unknown } else { CallError::NotDone })
    }

    /// Opens an agent's stream to a replica that may lead and is not in `tried`.
    ///
    /// Fails with the address of the replica that could not be reached, or with `None` if no
    /// untried replica is left or `hello` cannot be encoded.
    pub async fn attach(
        &self,
        tried: &[SocketAddr],
        hello: &AgentFrame,
    ) -> Result<AgentStream, Option<SocketAddr>> {
        let candidate = self.directory.next(tried).await.ok_or(None)?;
        let address = candidate.address;
        let unreachable = Some(address);
        let (sender, queued) = mpsc::channel(STREAM_QUEUE_LENGTH);
        let first = Envelope::try_from(hello).map_err(|_| None)?;
        sender.send(first).await.map_err(|_| None)?;
        let mut client = replica_client(candidate.channel);
        let opened = client.attach(ReceiverStream::new(queued));
        match timeout_at(Instant::now() + ATTEMPT_TIMEOUT, opened).await {
            Ok(Ok(stream)) => {
                let receiver = stream.into_inner();
                let directory = self.directory.clone();
                Ok(AgentStream { sender, receiver, address, directory, is_leader: false })
            }
            Ok(Err(_)) | Err(_) => {
                self.directory.record(address, CallOutcome::Unresponsive).await;
                Err(unreachable)
            }
        }
    }
}

impl AgentStream {
    /// Returns the address of the replica at the other end.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a frame and returns `true` if it was queued.
    ///
    /// Returns `false` if the stream is closed or its queue is full.
    pub fn send(&self, frame: &AgentFrame) -> bool {
        match Envelope::try_from(frame) {
            Ok(envelope) => self.sender.try_send(envelope).is_ok(),
            Err(error) => {
                log::error!(
                    event = "report_not_encoded";
                    "the report to the leader was not sent: {error}"
                );
                false
            }
        }
    }

    /// Returns the leader's next frame, or `None` if the stream has ended, the replica does not
    /// lead, or a frame cannot be decoded; the caller then drops the stream.
    pub async fn receive(&mut self) -> Option<LeaderFrame> {
        let envelope = self.receiver.message().await.ok()??;
        match LeaderFrame::try_from(envelope) {
            Ok(LeaderFrame::NotLeader(hint)) => {
                self.directory.record(self.address, CallOutcome::NotLeader(hint)).await;
                None
            }
            Ok(frame) => {
                if !self.is_leader {
                    self.is_leader = true;
                    self.directory.record(self.address, CallOutcome::Leader).await;
                }
                Some(frame)
            }
            Err(error) => {
                log::error!(
                    event = "orders_not_decoded", address:% = self.address;
                    "closing the stream, since a frame of the leader cannot be decoded: {error}"
                );
                None
            }
        }
    }

    /// Closes the stream and drops the connection to the replica, which may be dead.
    pub async fn mark_unresponsive(self) {
        self.directory.record(self.address, CallOutcome::Unresponsive).await;
    }
}

fn encode_request(request: &Request) -> Result<Envelope, CallError> {
    Envelope::try_from(request).map_err(|error| {
        log::error!(event = "call_not_encoded"; "the request was not sent: {error}");
        CallError::NotDone
    })
}
