//! Client with retries and leader discovery.

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

/// Metadata key under which a follower sends the leader's address.
const LEADER_METADATA_KEY: &str = "yuccatack-leader";
/// Maximum time to connect to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time to wait for one replica before another one is tried. An election takes at most half
/// a second, so a leader that does not respond for longer has probably been replaced.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum encoded size of a list of records.
const MAX_LIST_BYTES: usize = 64 << 20;
/// Pause after each unsuccessful attempt, so that an election has time to finish.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Settings of a [`ControlClient`].
#[derive(Clone, Debug)]
pub struct ControlClientConfig {
    /// Addresses of all control replicas.
    pub control_addresses: Vec<SocketAddr>,
    /// Maximum duration of a call with all of its attempts.
    pub call_deadline: Duration,
}

/// Calls the control leader; clones share the connections.
#[derive(Clone, Debug)]
pub struct ControlClient {
    directory: Directory,
    call_deadline: Duration,
}

/// Response of the leader.
struct LeaderResponse<Message> {
    message: Message,
    /// `true` if an earlier attempt of the same call may have had an effect.
    may_have_executed: bool,
}

/// Reason why a replica gave no response as the leader.
enum AttemptError {
    /// The replica could not be connected to, so the call did not reach it.
    Unreachable { reason: String },
    /// The replica does not lead, so the call had no effect.
    NotLeader { leader: Option<SocketAddr> },
    /// The response was lost, so the call may have had an effect.
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
            // The connection broke, or the replica lost leadership while the change was logged.
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
    /// Starts the actor that owns the connections.
    pub fn spawn(config: ControlClientConfig) -> Self {
        let directory = Directory::spawn(config.control_addresses);
        Self { directory, call_deadline: config.call_deadline }
    }

    /// Submits a change; if the response is lost, resends it with the same change id until the
    /// deadline.
    pub async fn submit_change(&self, change: &Change) -> Result<ChangeOutcome, ControlError> {
        let request = wire::SubmitChangeRequest::from(change);
        let leader_response = self
            .call(request, |channel, request| async move {
                OperatorsClient::new(channel).submit_change(request).await
            })
            .await?;
        ChangeOutcome::try_from(leader_response.message)
            .map_err(|error| ControlError::Unreadable { detail: error.to_string() })
    }

    /// Reads a record with the document that was submitted; `None` if it does not exist.
    pub async fn read_record(
        &self,
        key: &RecordKey,
    ) -> Result<Option<wire::StoredRecord>, ControlError> {
        let request = wire::ReadRecordRequest {
            kind: key.kind.as_str().to_owned(),
            name: key.name.to_string(),
        };
        let leader_response = self
            .call(request, |channel, request| async move {
                OperatorsClient::new(channel).read_record(request).await
            })
            .await
            .map_err(ControlError::into_read_error)?;
        Ok(leader_response.message.record)
    }

    /// Lists the records of a kind with the documents that were submitted.
    pub async fn list_records(
        &self,
        kind: RecordKind,
    ) -> Result<Vec<wire::StoredRecord>, ControlError> {
        let request = wire::ListRecordsRequest { kind: kind.as_str().to_owned() };
        let leader_response = self
            .call(request, |channel, request| async move {
                let client = OperatorsClient::new(channel);
                client.max_decoding_message_size(MAX_LIST_BYTES).list_records(request).await
            })
            .await
            .map_err(ControlError::into_read_error)?;
        Ok(leader_response.message.records)
    }

    /// Reads the outcome of a change and whether it is in force everywhere.
    pub async fn read_change(
        &self,
        change_id: &ChangeId,
    ) -> Result<wire::ReadChangeResponse, ControlError> {
        let request = wire::ReadChangeRequest { change_id: change_id.to_string() };
        let leader_response = self
            .call(request, |channel, request| async move {
                OperatorsClient::new(channel).read_change(request).await
            })
            .await
            .map_err(ControlError::into_read_error)?;
        Ok(leader_response.message)
    }

    /// Reads the status of replicas, nodes, workers, minions and guarantees as a JSON document.
    pub async fn read_status(&self) -> Result<wire::DocumentResponse, ControlError> {
        let leader_response = self
            .call(wire::ReadStatusRequest {}, |channel, request| async move {
                OperatorsClient::new(channel).read_status(request).await
            })
            .await
            .map_err(ControlError::into_read_error)?;
        Ok(leader_response.message)
    }

    /// Reads the JSON document that explains the state of a job.
    pub async fn explain_job(&self, job: &JobName) -> Result<wire::DocumentResponse, ControlError> {
        let request = wire::ExplainJobRequest { name: job.to_string() };
        let leader_response = self
            .call(request, |channel, request| async move {
                OperatorsClient::new(channel).explain_job(request).await
            })
            .await
            .map_err(ControlError::into_read_error)?;
        Ok(leader_response.message)
    }

    /// Claims an idempotency key for an attempt.
    ///
    /// If the response is lost, the claim is sent again. The leader then reports the existing claim
    /// of the same attempt, which is returned as a grant.
    pub async fn claim(
        &self,
        request: claims::ClaimRequest,
    ) -> Result<claims::ClaimResponse, ControlError> {
        let attempt_id = request.attempt.as_ref().map(|attempt| attempt.attempt_id.clone());
        let leader_response = self
            .call(request, |channel, request| async move {
                ClaimsClient::new(channel).claim(request).await
            })
            .await?;
        let mut response = leader_response.message;
        if let Some(claims::claim_response::Outcome::Existing(existing)) = &response.outcome
            && leader_response.may_have_executed
            && existing.state() == claims::ClaimState::Dispatched
            && existing.attempt.as_ref().map(|attempt| &attempt.attempt_id) == attempt_id.as_ref()
        {
            response.outcome = Some(claims::claim_response::Outcome::Granted(claims::Granted {}));
        }
        Ok(response)
    }

    /// Reports the outcome of an attempt that holds a claim.
    pub async fn settle(
        &self,
        request: claims::SettleRequest,
    ) -> Result<claims::SettleResponse, ControlError> {
        let leader_response = self
            .call(request, |channel, request| async move {
                ClaimsClient::new(channel).settle(request).await
            })
            .await?;
        Ok(leader_response.message)
    }

    /// Tries replicas until one responds as the leader or the deadline has passed.
    async fn call<Request, Message, Rpc, RpcFuture>(
        &self,
        request: Request,
        rpc: Rpc,
    ) -> Result<LeaderResponse<Message>, ControlError>
    where
        Request: Clone,
        Rpc: Fn(Channel, Request) -> RpcFuture,
        RpcFuture: Future<Output = Result<Response<Message>, Status>>,
    {
        let deadline = Instant::now() + self.call_deadline;
        let mut may_have_executed = false;
        let mut detail = "no control address is configured".to_owned();
        let mut avoid = None;
        while Instant::now() < deadline {
            let Some(target) = self.directory.choose(avoid.take()).await else { break };
            let address = target.address;
            let attempt_deadline = deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
            let attempt =
                self.attempt(address, target.channel, request.clone(), &rpc, attempt_deadline);
            match attempt.await {
                Ok(message) => {
                    self.directory.report_answered(address).await;
                    return Ok(LeaderResponse { message, may_have_executed });
                }
                Err(AttemptError::Refused { code, message }) => {
                    return Err(ControlError::Refused { code: code.to_string(), message });
                }
                Err(AttemptError::NotLeader { leader }) => {
                    detail = format!("{address}: does not lead");
                    self.directory.report_redirected(address, leader).await;
                }
                Err(AttemptError::Unreachable { reason }) => {
                    detail = format!("{address}: {reason}");
                    self.directory.report_failed(address).await;
                }
                Err(AttemptError::Lost { reason }) => {
                    may_have_executed = true;
                    detail = format!("{address}: {reason}");
                    self.directory.report_failed(address).await;
                }
            }
            avoid = Some(address);
            tokio::time::sleep_until(deadline.min(Instant::now() + RETRY_PAUSE)).await;
        }
        let deadline_ms = DurationMs::from(self.call_deadline).get();
        Err(match may_have_executed {
            true => ControlError::AnswerLost { deadline_ms, detail },
            false => ControlError::NotSent { deadline_ms, detail },
        })
    }

    async fn attempt<Request, Message, Rpc, RpcFuture>(
        &self,
        address: SocketAddr,
        channel: Option<Channel>,
        request: Request,
        rpc: &Rpc,
        attempt_deadline: Instant,
    ) -> Result<Message, AttemptError>
    where
        Rpc: Fn(Channel, Request) -> RpcFuture,
        RpcFuture: Future<Output = Result<Response<Message>, Status>>,
    {
        let channel = match channel {
            Some(channel) => channel,
            None => self.connect(address).await?,
        };
        match tokio::time::timeout_at(attempt_deadline, rpc(channel, request)).await {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(AttemptError::from(status)),
            Err(_) => Err(AttemptError::Lost { reason: "no answer in time".to_owned() }),
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Channel, AttemptError> {
        let unreachable = |error: tonic::transport::Error| AttemptError::Unreachable {
            reason: error.to_string(),
        };
        let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(unreachable)?;
        let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
        let channel = endpoint.connect().await.map_err(unreachable)?;
        self.directory.report_connected(address, channel.clone()).await;
        Ok(channel)
    }
}
