//! Calls to whichever replica leads.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout_at};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Code, Status, Streaming};

use crate::backoff::Backoff;
use crate::directory::{Candidate, Directory, Finding};
use crate::error::CallError;
use crate::generated::queue_control::Envelope;
use crate::generated::queue_control::queue_control_client::QueueControlClient;
use crate::protocol::{AgentFrame, LeaderFrame, Request, Response};

/// How long one replica may take to answer. A commit takes a few round trips and syncs, tens of
/// milliseconds on sound machines; a slow disk stretches that to some hundreds.
const ATTEMPT_LIMIT: Duration = Duration::from_millis(800);

/// How long a replica may take to confirm its lead, which needs a round trip to a quorum and no disk.
const CONFIRMATION_LIMIT: Duration = Duration::from_millis(400);

/// How long to wait after all replicas were tried, at first and at most. An election takes several
/// times the first delay.
const FIRST_ROUND_DELAY: Duration = Duration::from_millis(60);
const LONGEST_ROUND_DELAY: Duration = Duration::from_millis(250);

/// How many frames may wait in an agent's stream.
const STREAM_QUEUE_LENGTH: usize = 64;

/// The largest message; a whole configuration must fit.
const MESSAGE_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Calls the leader; clones are cheap.
#[derive(Clone, Debug)]
pub struct QueueClient {
    directory: Directory,
}

/// An agent's open stream to the leader.
#[derive(Debug)]
pub struct AgentStream {
    sender: mpsc::Sender<Envelope>,
    receiver: Streaming<Envelope>,
    address: SocketAddr,
    directory: Directory,
    /// Whether the replica has sent anything that only a leader sends.
    led: bool,
}

/// How one attempt ended without an answer of the leader.
enum Attempt {
    /// Nothing reached the replica's state.
    NotDone,
    /// It may have.
    Unknown,
}

impl QueueClient {
    /// A client that begins with the given replicas; their addresses may change later.
    pub fn new(seeds: watch::Receiver<Vec<SocketAddr>>) -> Self {
        Self { directory: Directory::spawn(seeds) }
    }

    /// Calls the leader, and looks for another one until `limit` is over.
    pub async fn call(&self, request: &Request, limit: Duration) -> Result<Response, CallError> {
        let deadline = Instant::now() + limit;
        let envelope = Envelope::try_from(request).map_err(|error| {
            log::error!(event = "call_not_encoded"; "{error}");
            CallError::NotDone
        })?;
        let mut tried = Vec::new();
        let mut maybe_done = false;
        let mut backoff = Backoff::new(FIRST_ROUND_DELAY, LONGEST_ROUND_DELAY);
        while Instant::now() < deadline {
            let Some(candidate) = self.directory.next(&tried).await else {
                tried.clear();
                sleep(backoff.delay().min(deadline - Instant::now())).await;
                continue;
            };
            let address = candidate.address;
            match self.attempt(request, &envelope, candidate, deadline).await {
                Ok(response) => return Ok(response),
                Err(Attempt::NotDone) => {}
                Err(Attempt::Unknown) => maybe_done |= request.has_effects(),
            }
            tried.push(address);
        }
        Err(if maybe_done { CallError::Unknown } else { CallError::NotDone })
    }

    /// Calls one replica. It gets a request with effects only shortly after it has confirmed its
    /// lead, since one that is cut off or down would leave the caller without knowing the outcome.
    async fn attempt(
        &self,
        request: &Request,
        envelope: &Envelope,
        candidate: Candidate,
        deadline: Instant,
    ) -> Result<Response, Attempt> {
        let Candidate { address, channel, confirmed } = candidate;
        let mut replica = replica(channel);
        if request.has_effects() && !confirmed {
            let ping = Envelope::try_from(&Request::Ping).map_err(|error| {
                log::error!(event = "call_not_encoded"; "{error}");
                Attempt::NotDone
            })?;
            let limit = deadline.min(Instant::now() + CONFIRMATION_LIMIT);
            let answer = timeout_at(limit, replica.call(ping)).await;
            self.judge(address, answer).await.map_err(|_| Attempt::NotDone)?;
        }
        let limit = deadline.min(Instant::now() + ATTEMPT_LIMIT);
        let answer = timeout_at(limit, replica.call(envelope.clone())).await;
        self.judge(address, answer).await
    }

    async fn judge(
        &self,
        address: SocketAddr,
        answer: Result<Result<tonic::Response<Envelope>, Status>, tokio::time::error::Elapsed>,
    ) -> Result<Response, Attempt> {
        let envelope = match answer {
            Ok(Ok(answer)) => answer.into_inner(),
            Ok(Err(status)) => {
                self.directory.found(address, Finding::Silent).await;
                return Err(match status.code() {
                    // The replica refuses by itself only what it has not begun.
                    Code::FailedPrecondition | Code::ResourceExhausted => Attempt::NotDone,
                    _ if is_connect_failure(&status) => Attempt::NotDone,
                    _ => Attempt::Unknown,
                });
            }
            Err(_) => {
                self.directory.found(address, Finding::Silent).await;
                return Err(Attempt::Unknown);
            }
        };
        match Response::try_from(envelope) {
            Ok(Response::NotLeader(hint)) => {
                self.directory.found(address, Finding::Follows(hint)).await;
                Err(Attempt::NotDone)
            }
            Ok(Response::Unknown) => Err(Attempt::Unknown),
            Ok(response) => {
                self.directory.found(address, Finding::Confirmed).await;
                Ok(response)
            }
            Err(error) => {
                log::error!(event = "answer_not_decoded", address:% = address; "{error}");
                Err(Attempt::Unknown)
            }
        }
    }

    /// Opens an agent's stream to a replica that may lead; `tried` were found not to.
    pub async fn attach(
        &self,
        tried: &[SocketAddr],
        hello: &AgentFrame,
    ) -> Result<AgentStream, Option<SocketAddr>> {
        let candidate = self.directory.next(tried).await.ok_or(None)?;
        let address = candidate.address;
        let failed = Some(address);
        let (sender, queued) = mpsc::channel(STREAM_QUEUE_LENGTH);
        let first = Envelope::try_from(hello).map_err(|_| None)?;
        sender.send(first).await.map_err(|_| None)?;
        let mut replica = replica(candidate.channel);
        let opened = replica.attach(ReceiverStream::new(queued));
        match timeout_at(Instant::now() + ATTEMPT_LIMIT, opened).await {
            Ok(Ok(stream)) => {
                let receiver = stream.into_inner();
                let directory = self.directory.clone();
                Ok(AgentStream { sender, receiver, address, directory, led: false })
            }
            Ok(Err(_)) | Err(_) => {
                self.directory.found(address, Finding::Silent).await;
                Err(failed)
            }
        }
    }
}

impl AgentStream {
    /// The replica at the other end.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a frame; fails when the stream is gone or does not drain.
    pub fn send(&self, frame: &AgentFrame) -> bool {
        match Envelope::try_from(frame) {
            Ok(envelope) => self.sender.try_send(envelope).is_ok(),
            Err(error) => {
                log::error!(event = "report_not_encoded"; "{error}");
                false
            }
        }
    }

    /// The next frame of the leader; nothing when the stream is over.
    pub async fn receive(&mut self) -> Option<LeaderFrame> {
        let envelope = self.receiver.message().await.ok()??;
        match LeaderFrame::try_from(envelope) {
            Ok(LeaderFrame::NotLeader(hint)) => {
                self.directory.found(self.address, Finding::Follows(hint)).await;
                None
            }
            Ok(frame) => {
                if !self.led {
                    self.led = true;
                    self.directory.found(self.address, Finding::Leads).await;
                }
                Some(frame)
            }
            Err(error) => {
                log::error!(event = "orders_not_decoded", address:% = self.address; "{error}");
                None
            }
        }
    }

    /// Gives the replica up; the connection may be dead.
    pub async fn give_up(self) {
        self.directory.found(self.address, Finding::Silent).await;
    }
}

fn replica(channel: tonic::transport::Channel) -> QueueControlClient<tonic::transport::Channel> {
    QueueControlClient::new(channel)
        .max_decoding_message_size(MESSAGE_LIMIT_BYTES)
        .max_encoding_message_size(MESSAGE_LIMIT_BYTES)
}

/// Whether the connection could not be opened, so that nothing was sent.
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
