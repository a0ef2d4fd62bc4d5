//! Calls to the control leader.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Response, Status};
use yuccatack_core::prelude::*;
use yuccatack_records::generated::records as wire;
use yuccatack_records::generated::records::operators_client::OperatorsClient;
use yuccatack_records::{Change, ChangeOutcome, RecordKey, RecordKind};
use yuccatack_requests::generated::claims;
use yuccatack_requests::generated::claims::claims_client::ClaimsClient;

use crate::actor::Directory;
use crate::error::ControlError;

/// The metadata key that holds the leader's address.
const LEADER_METADATA_KEY: &str = "yuccatack-leader";
/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long one replica may take to answer before another one is tried; an election takes at most
/// half a second, so a leader that is silent for longer has probably been replaced.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The longest accepted list of records.
const MAX_LIST_LENGTH_BYTES: usize = 64 << 20;
/// The pause after each attempt that led nowhere, so that an election has time to finish.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// What a client needs to know.
#[derive(Clone, Debug)]
pub struct ControlClientConfig {
    /// Every control replica.
    pub control_addresses: Vec<SocketAddr>,
    /// How long a call may take with all of its attempts.
    pub call_deadline: Duration,
}

/// Calls the control leader; a clone shares the connections.
#[derive(Clone, Debug)]
pub struct ControlClient {
    directory: Directory,
    call_deadline: Duration,
}

/// An answer of the leader.
struct Answer<Message> {
    message: Message,
    /// Whether an earlier attempt of the same call may have had an effect.
    sent_before: bool,
}

/// Why one replica gave no answer.
enum AttemptError {
    /// The call did not reach the replica.
    NotTaken { reason: String },
    /// The replica does not lead, so the call had no effect.
    NotLeader { leader: Option<SocketAddr> },
    /// The call may have had an effect.
    Lost { reason: String },
    /// The leader refused the call.
    Refused { code: Code, message: String },
}

impl From<Status> for AttemptError {
    fn from(status: Status) -> Self {
        let reason = format!("{}: {}", status.code(), status.message());
        match status.code() {
            Code::FailedPrecondition => {
                let text = status.metadata().get(LEADER_METADATA_KEY);
                let text = text.and_then(|value| value.to_str().ok());
                Self::NotLeader { leader: text.and_then(|text| text.parse().ok()) }
            }
            Code::InvalidArgument
            | Code::NotFound
            | Code::AlreadyExists
            | Code::PermissionDenied
            | Code::ResourceExhausted
            | Code::OutOfRange
            | Code::Unimplemented
            | Code::Unauthenticated => {
                Self::Refused { code: status.code(), message: status.message().to_owned() }
            }
            // A connection that broke, or leadership that was lost while the change was logged.
            Code::Ok
            | Code::Cancelled
            | Code::Unknown
            | Code::DeadlineExceeded
            | Code::Aborted
            | Code::Internal
            | Code::Unavailable
            | Code::DataLoss => Self::Lost { reason },
        }
    }
}

impl ControlClient {
    /// Starts the task that owns the connections.
    pub fn spawn(config: ControlClientConfig) -> Self {
        let directory = Directory::spawn(config.control_addresses);
        Self { directory, call_deadline: config.call_deadline }
    }

    /// Sends a change; it is sent again with the same change id while its answer is lost.
    pub async fn submit_change(&self, change: &Change) -> Result<ChangeOutcome, ControlError> {
        let request = wire::SubmitChangeRequest::from(change);
        let answer = self
            .call(request, |channel, request| async move {
                OperatorsClient::new(channel).submit_change(request).await
            })
            .await?;
        ChangeOutcome::try_from(answer.message)
            .map_err(|error| ControlError::Unreadable { detail: error.to_string() })
    }

    /// Reads a record as written.
    pub async fn read_record(
        &self,
        key: &RecordKey,
    ) -> Result<Option<wire::StoredRecord>, ControlError> {
        let request = wire::ReadRecordRequest {
            kind: key.kind.as_str().to_owned(),
            name: key.name.to_string(),
        };
        let answer = self
            .call(request, |channel, request| async move {
                OperatorsClient::new(channel).read_record(request).await
            })
            .await?;
        Ok(answer.message.record)
    }

    /// Lists the records of a kind as written.
    pub async fn list_records(
        &self,
        kind: RecordKind,
    ) -> Result<Vec<wire::StoredRecord>, ControlError> {
        let request = wire::ListRecordsRequest { kind: kind.as_str().to_owned() };
        let answer = self
            .call(request, |channel, request| async move {
                let client = OperatorsClient::new(channel);
                client.max_decoding_message_size(MAX_LIST_LENGTH_BYTES).list_records(request).await
            })
            .await?;
        Ok(answer.message.records)
    }

    /// Reads what became of a change and whether it is in force everywhere.
    pub async fn read_change(
        &self,
        change_id: &ChangeId,
    ) -> Result<wire::ReadChangeResponse, ControlError> {
        let request = wire::ReadChangeRequest { change_id: change_id.to_string() };
        let answer = self
            .call(request, |channel, request| async move {
                OperatorsClient::new(channel).read_change(request).await
            })
            .await?;
        Ok(answer.message)
    }

    /// Reads the status document.
    pub async fn read_status(&self) -> Result<wire::DocumentResponse, ControlError> {
        let answer = self
            .call(wire::ReadStatusRequest {}, |channel, request| async move {
                OperatorsClient::new(channel).read_status(request).await
            })
            .await?;
        Ok(answer.message)
    }

    /// Reads the document that explains a job's state.
    pub async fn explain_job(&self, job: &JobName) -> Result<wire::DocumentResponse, ControlError> {
        let request = wire::ExplainJobRequest { name: job.to_string() };
        let answer = self
            .call(request, |channel, request| async move {
                OperatorsClient::new(channel).explain_job(request).await
            })
            .await?;
        Ok(answer.message)
    }

    /// Claims a key for an attempt.
    ///
    /// After a lost answer the claim is sent again; it then finds itself, which is a grant.
    pub async fn claim(
        &self,
        request: claims::ClaimRequest,
    ) -> Result<claims::ClaimResponse, ControlError> {
        let attempt_id = request.attempt.as_ref().map(|attempt| attempt.attempt_id.clone());
        let answer = self
            .call(request, |channel, request| async move {
                ClaimsClient::new(channel).claim(request).await
            })
            .await?;
        let mut response = answer.message;
        if let Some(claims::claim_response::Outcome::Existing(existing)) = &response.outcome
            && answer.sent_before
            && existing.state() == claims::ClaimState::Dispatched
            && existing.attempt.as_ref().map(|attempt| &attempt.attempt_id) == attempt_id.as_ref()
        {
            response.outcome = Some(claims::claim_response::Outcome::Granted(claims::Granted {}));
        }
        Ok(response)
    }

    /// Tells what became of a claimed attempt.
    pub async fn settle(
        &self,
        request: claims::SettleRequest,
    ) -> Result<claims::SettleResponse, ControlError> {
        let answer = self
            .call(request, |channel, request| async move {
                ClaimsClient::new(channel).settle(request).await
            })
            .await?;
        Ok(answer.message)
    }

    /// Tries replicas until one answers as the leader or the deadline has passed.
    async fn call<Request, Message, Send, Sending>(
        &self,
        request: Request,
        send: Send,
    ) -> Result<Answer<Message>, ControlError>
    where
        Request: Clone,
        Send: Fn(Channel, Request) -> Sending,
        Sending: Future<Output = Result<Response<Message>, Status>>,
    {
        let deadline = Instant::now() + self.call_deadline;
        let mut sent_before = false;
        let mut detail = "no control address is configured".to_owned();
        let mut avoid = None;
        while Instant::now() < deadline {
            let Some(target) = self.directory.choose(avoid.take()).await else { break };
            let address = target.address;
            let limit = deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
            let attempt = self.attempt(address, target.channel, request.clone(), &send, limit);
            match attempt.await {
                Ok(message) => {
                    self.directory.answered(address).await;
                    return Ok(Answer { message, sent_before });
                }
                Err(AttemptError::Refused { code, message }) => {
                    return Err(ControlError::Refused { code: code.to_string(), message });
                }
                Err(AttemptError::NotLeader { leader }) => {
                    detail = format!("{address}: does not lead");
                    self.directory.redirected(address, leader).await;
                }
                Err(AttemptError::NotTaken { reason }) => {
                    detail = format!("{address}: {reason}");
                    self.directory.failed(address).await;
                }
                Err(AttemptError::Lost { reason }) => {
                    sent_before = true;
                    detail = format!("{address}: {reason}");
                    self.directory.failed(address).await;
                }
            }
            avoid = Some(address);
            tokio::time::sleep_until(deadline.min(Instant::now() + RETRY_PAUSE)).await;
        }
        let deadline_ms = DurationMs::from(self.call_deadline).get();
        Err(match sent_before {
            true => ControlError::AnswerLost { deadline_ms, detail },
            false => ControlError::NotSent { deadline_ms, detail },
        })
    }

    async fn attempt<Request, Message, Send, Sending>(
        &self,
        address: SocketAddr,
        channel: Option<Channel>,
        request: Request,
        send: &Send,
        limit: Instant,
    ) -> Result<Message, AttemptError>
    where
        Send: Fn(Channel, Request) -> Sending,
        Sending: Future<Output = Result<Response<Message>, Status>>,
    {
        let channel = match channel {
            Some(channel) => channel,
            None => self.open(address).await?,
        };
        match tokio::time::timeout_at(limit, send(channel, request)).await {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(AttemptError::from(status)),
            Err(_) => Err(AttemptError::Lost { reason: "no answer in time".to_owned() }),
        }
    }

    async fn open(&self, address: SocketAddr) -> Result<Channel, AttemptError> {
        let not_taken =
            |error: tonic::transport::Error| AttemptError::NotTaken { reason: error.to_string() };
        let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(not_taken)?;
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
        let channel = endpoint.connect().await.map_err(not_taken)?;
        self.directory.opened(address, channel.clone()).await;
        Ok(channel)
    }
}
