//! Calls to an agent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use snafu::Snafu;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, ConnectError, Request, Status, Streaming};
use yuccatack_core::prelude::*;
use yuccatack_requests::answer_check::{AnswerCollector, AnswerPart};
use yuccatack_requests::attempts::Resolution;
use yuccatack_requests::claims::ClaimedAttempt;
use yuccatack_requests::generated::agent as wire;
use yuccatack_requests::generated::agent::attempts_client::AttemptsClient;
use yuccatack_requests::prelude::*;
use yuccatack_requests::wire::attempts::attempt_parts;

/// Time within which a connection to an agent must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of keep-alive pings on a connection with calls in flight.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which an unanswered ping marks the connection as broken.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// A call to an agent that returned no verified result.
#[derive(Debug, Snafu)]
pub enum AgentCallError {
    /// No connection was established, so that nothing was sent.
    #[snafu(display("cannot connect to the agent: {detail}"))]
    Connect {
        /// Error of the transport.
        detail: Box<str>,
    },
    /// The agent rejected the attempt as malformed and did not start it.
    #[snafu(display("the agent refused the attempt: {detail}"))]
    Refused {
        /// Message from the agent.
        detail: Box<str>,
    },
    /// The call broke off, or the response is incomplete or belongs to another attempt.
    #[snafu(display("the call to the agent broke off: {detail}"))]
    Broken {
        /// Error of the transport or of the check of the response.
        detail: Box<str>,
    },
}

fn broken(detail: impl std::fmt::Display) -> AgentCallError {
    AgentCallError::Broken { detail: detail.to_string().into_boxed_str() }
}

/// Returns `true` if the pooled connection was closed and reconnecting failed.
fn reconnect_failed(status: &Status) -> bool {
    let mut cause = std::error::Error::source(status);
    while let Some(error) = cause {
        if error.is::<ConnectError>() {
            return true;
        }
        cause = error.source();
    }
    false
}

fn connect_error(error: impl std::fmt::Display) -> AgentCallError {
    AgentCallError::Connect { detail: error.to_string().into_boxed_str() }
}

fn call_error(status: &Status) -> AgentCallError {
    if reconnect_failed(status) {
        return connect_error(status.message());
    }
    let detail = status.message().to_owned().into_boxed_str();
    match status.code() {
        Code::InvalidArgument => AgentCallError::Refused { detail },
        _ => AgentCallError::Broken { detail },
    }
}

/// Opens a connection to an agent.
pub async fn connect(address: SocketAddr) -> Result<Channel, AgentCallError> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(connect_error)?
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .tcp_nodelay(true);
    endpoint.connect().await.map_err(connect_error)
}

/// Sends an attempt and waits for its resolution.
pub async fn execute(
    channel: Channel,
    claimed: &ClaimedAttempt,
    content: &RequestContent,
    remaining: Duration,
    body_limit_bytes: u64,
) -> Result<Resolution, AgentCallError> {
    let head = AttemptHead {
        attempt: claimed.attempt,
        incarnation: claimed.incarnation,
        remaining_deadline: remaining.into(),
    };
    let parts = tokio_stream::iter(attempt_parts(&head, content));
    let response = AttemptsClient::new(channel).execute(Request::new(parts)).await;
    let stream = response.map_err(|status| call_error(&status))?.into_inner();
    read_response(stream, claimed.attempt, &content.organisation, body_limit_bytes).await
}

/// Queries the resolution of an attempt that was sent earlier. The agent waits at most `wait` for
/// the end of the attempt.
pub async fn resolve(
    channel: Channel,
    claimed: &ClaimedAttempt,
    organisation: &OrganisationName,
    wait: Duration,
    body_limit_bytes: u64,
) -> Result<Resolution, AgentCallError> {
    let request = wire::ResolveRequest {
        attempt_id: Bytes::copy_from_slice(claimed.attempt.as_bytes()),
        agent_incarnation: claimed.incarnation.get(),
        organisation: organisation.to_string(),
        wait_ms: DurationMs::from(wait).get(),
    };
    let response = AttemptsClient::new(channel).resolve(Request::new(request)).await;
    let stream = response.map_err(broken)?.into_inner();
    read_response(stream, claimed.attempt, organisation, body_limit_bytes).await
}

async fn read_response(
    mut stream: Streaming<wire::AnswerPart>,
    attempt: AttemptId,
    organisation: &OrganisationName,
    body_limit_bytes: u64,
) -> Result<Resolution, AgentCallError> {
    let mut collector = AnswerCollector::new(attempt, organisation.clone(), body_limit_bytes);
    loop {
        let part = stream.message().await.map_err(broken)?;
        let part = part.ok_or_else(|| broken("the response stream ended before its last part"))?;
        let part = AnswerPart::try_from(part).map_err(broken)?;
        if let Some(resolution) = collector.push(part).map_err(broken)? {
            return Ok(resolution);
        }
    }
}
