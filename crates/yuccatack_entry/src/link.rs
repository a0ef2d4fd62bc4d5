//! One exchange with an agent.

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

/// How long connecting to an agent may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How often a connection with calls in flight is pinged.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// How long a ping may go unanswered before the connection counts as broken.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// An exchange with an agent that gave no checked result.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// No connection was made, so that nothing was sent.
    #[snafu(display("cannot connect to the agent: {detail}"))]
    Connect {
        /// What was seen.
        detail: Box<str>,
    },
    /// The agent refused the attempt as malformed; it did not start it.
    #[snafu(display("the agent refused the attempt: {detail}"))]
    Refused {
        /// What the agent said.
        detail: Box<str>,
    },
    /// The exchange broke, or the answer is not this attempt's whole answer.
    #[snafu(display("the exchange with the agent broke: {detail}"))]
    Broken {
        /// What was seen.
        detail: Box<str>,
    },
}

fn broken(detail: impl std::fmt::Display) -> LinkError {
    LinkError::Broken { detail: detail.to_string().into_boxed_str() }
}

/// Whether the call failed because an earlier connection is gone and no new one could be made.
fn never_connected(status: &Status) -> bool {
    let mut cause = std::error::Error::source(status);
    while let Some(error) = cause {
        if error.is::<ConnectError>() {
            return true;
        }
        cause = error.source();
    }
    false
}

fn connect_error(error: impl std::fmt::Display) -> LinkError {
    LinkError::Connect { detail: error.to_string().into_boxed_str() }
}

fn call_error(status: &Status) -> LinkError {
    if never_connected(status) {
        return connect_error(status.message());
    }
    let detail = status.message().to_owned().into_boxed_str();
    match status.code() {
        Code::InvalidArgument => LinkError::Refused { detail },
        _ => LinkError::Broken { detail },
    }
}

/// Opens a connection to an agent.
pub async fn connect(address: SocketAddr) -> Result<Channel, LinkError> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(connect_error)?
        .connect_timeout(CONNECT_TIMEOUT)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .tcp_nodelay(true);
    endpoint.connect().await.map_err(connect_error)
}

/// Sends an attempt and waits for what became of it.
pub async fn execute(
    channel: Channel,
    claimed: &ClaimedAttempt,
    content: &RequestContent,
    remaining: Duration,
    body_limit_bytes: u64,
) -> Result<Resolution, LinkError> {
    let head = AttemptHead {
        attempt: claimed.attempt,
        incarnation: claimed.incarnation,
        remaining_deadline: remaining.into(),
    };
    let parts = tokio_stream::iter(attempt_parts(&head, content));
    let response = AttemptsClient::new(channel).execute(Request::new(parts)).await;
    let stream = response.map_err(|status| call_error(&status))?.into_inner();
    read(stream, claimed.attempt, &content.organisation, body_limit_bytes).await
}

/// Asks what became of an attempt.
pub async fn resolve(
    channel: Channel,
    claimed: &ClaimedAttempt,
    organisation: &OrganisationName,
    wait: Duration,
    body_limit_bytes: u64,
) -> Result<Resolution, LinkError> {
    let request = wire::ResolveRequest {
        attempt_id: Bytes::copy_from_slice(claimed.attempt.as_bytes()),
        agent_incarnation: claimed.incarnation.get(),
        organisation: organisation.to_string(),
        wait_ms: DurationMs::from(wait).get(),
    };
    let response = AttemptsClient::new(channel).resolve(Request::new(request)).await;
    let stream = response.map_err(broken)?.into_inner();
    read(stream, claimed.attempt, organisation, body_limit_bytes).await
}

async fn read(
    mut stream: Streaming<wire::AnswerPart>,
    attempt: AttemptId,
    organisation: &OrganisationName,
    body_limit_bytes: u64,
) -> Result<Resolution, LinkError> {
    let mut answer = AnswerCollector::new(attempt, organisation.clone(), body_limit_bytes);
    loop {
        let part = stream.message().await.map_err(broken)?;
        let part = part.ok_or_else(|| broken("the answer ended before its last part"))?;
        let part = AnswerPart::try_from(part).map_err(broken)?;
        if let Some(resolution) = answer.push(part).map_err(broken)? {
            return Ok(resolution);
        }
    }
}
