//! Client that finds the leading replica and calls it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout_at};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Code, Status, Streaming};

use crate::backoff::Backoff;
use crate::directory::{CallOutcome, Candidate, Directory};
use crate::error::CallError;
use crate::generated::queue_control::Envelope;
use crate::generated::queue_control::queue_control_client::QueueControlClient;
use crate::protocol::{AgentFrame, LeaderFrame, Request, Response};

/// Timeout of a call to one replica. A commit takes a few round trips and syncs: tens of
/// milliseconds on healthy machines, some hundreds with a slow disk.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout for a replica to confirm its leadership, which takes a round trip to a quorum and no
/// disk access.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(400);

/// Initial delay after all replicas were tried. An election takes several times as long.
const INITIAL_ROUND_DELAY: Duration = Duration::from_millis(60);

/// Longest delay after all replicas were tried.
const MAX_ROUND_DELAY: Duration = Duration::from_millis(250);

/// Number of frames that may be queued in an agent's stream.
const STREAM_QUEUE_LENGTH: usize = 64;

/// Largest message; a whole configuration must fit into one.
const MESSAGE_LIMIT_BYTES: usize = 8 * 1024 * 1024;

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

/// Failure of an attempt to get a response of the leader.
enum AttemptError {
    /// The request has not taken effect and cannot do so any more.
    NotDone,
    /// The request may have taken effect or may do so later.
    Unknown,
}

impl QueueClient {
    /// Creates a client that searches for the leader among `seeds`, whose addresses may change
    /// later.
    pub fn new(seeds: watch::Receiver<Vec<SocketAddr>>) -> Self {
        Self { directory: Directory::spawn(seeds) }
    }

    /// Calls the leader; on failure searches for another one until `timeout` is over.
    pub async fn call(&self, request: &Request, timeout: Duration) -> Result<Response, CallError> {
        let deadline = Instant::now() + timeout;
        let envelope = Envelope::try_from(request).map_err(|error| {
            log::error!(event = "call_not_encoded"; "the request was not sent: {error}");
            CallError::NotDone
        })?;
        let mut tried = Vec::new();
        let mut may_have_taken_effect = false;
        let mut backoff = Backoff::new(INITIAL_ROUND_DELAY, MAX_ROUND_DELAY);
        while Instant::now() < deadline {
            let Some(candidate) = self.directory.next(&tried).await else {
                tried.clear();
                sleep(backoff.delay().min(deadline - Instant::now())).await;
                continue;
            };
            let address = candidate.address;
            match self.attempt(request, &envelope, candidate, deadline).await {
                Ok(response) => return Ok(response),
                Err(AttemptError::NotDone) => {}
                Err(AttemptError::Unknown) => may_have_taken_effect |= request.has_effects(),
            }
            tried.push(address);
        }
        Err(if may_have_taken_effect { CallError::Unknown } else { CallError::NotDone })
    }

    /// Calls one replica.
    ///
    /// A request with effects is only sent shortly after the replica has confirmed its leadership:
    /// from a replica that is partitioned or down, the caller would never learn the outcome.
    async fn attempt(
        &self,
        request: &Request,
        envelope: &Envelope,
        candidate: Candidate,
        deadline: Instant,
    ) -> Result<Response, AttemptError> {
        let Candidate { address, channel, confirmed } = candidate;
        let mut client = replica_client(channel);
        if request.has_effects() && !confirmed {
            let ping = Envelope::try_from(&Request::Ping).map_err(|error| {
                log::error!(event = "call_not_encoded"; "the ping was not sent: {error}");
                AttemptError::NotDone
            })?;
            let attempt_deadline = deadline.min(Instant::now() + CONFIRMATION_TIMEOUT);
            let result = timeout_at(attempt_deadline, client.call(ping)).await;
            self.evaluate_result(address, result).await.map_err(|_| AttemptError::NotDone)?;
        }
        let attempt_deadline = deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
        let result = timeout_at(attempt_deadline, client.call(envelope.clone())).await;
        self.evaluate_result(address, result).await
    }

    /// Records the result of a call in the directory and converts it to a response of the leader.
    async fn evaluate_result(
        &self,
        address: SocketAddr,
        result: Result<Result<tonic::Response<Envelope>, Status>, tokio::time::error::Elapsed>,
    ) -> Result<Response, AttemptError> {
        let envelope = match result {
            Ok(Ok(response)) => response.into_inner(),
            Ok(Err(status)) => {
                self.directory.record(address, CallOutcome::Unresponsive).await;
                return Err(match status.code() {
                    // A replica only returns these codes before it handles the request.
                    Code::FailedPrecondition | Code::ResourceExhausted => AttemptError::NotDone,
                    _ if is_connect_failure(&status) => AttemptError::NotDone,
                    _ => AttemptError::Unknown,
                });
            }
            Err(_) => {
                self.directory.record(address, CallOutcome::Unresponsive).await;
                return Err(AttemptError::Unknown);
            }
        };
        match Response::try_from(envelope) {
            Ok(Response::NotLeader(hint)) => {
                self.directory.record(address, CallOutcome::NotLeader(hint)).await;
                Err(AttemptError::NotDone)
            }
            Ok(Response::Unknown) => Err(AttemptError::Unknown),
            Ok(response) => {
                self.directory.record(address, CallOutcome::ConfirmedLeader).await;
                Ok(response)
            }
            Err(error) => {
                log::error!(
                    event = "answer_not_decoded", address:% = address;
                    "ignoring the replica's response, which cannot be decoded: {error}"
                );
                Err(AttemptError::Unknown)
            }
        }
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

fn replica_client(
    channel: tonic::transport::Channel,
) -> QueueControlClient<tonic::transport::Channel> {
    QueueControlClient::new(channel)
        .max_decoding_message_size(MESSAGE_LIMIT_BYTES)
        .max_encoding_message_size(MESSAGE_LIMIT_BYTES)
}

/// Returns `true` if the connection could not be opened, so that nothing was sent.
fn is_connect_failure(status: &Status) -> bool {
    let mut cause = std::error::Error::source(status);
    while let Some(error) = cause {
        if error.is::<tonic::ConnectError>() {
            return true;
        }
        cause = error.source();
    }
    false
}
