//! The gRPC service that entries call.

use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio_stream::Iter;
use tonic::{Request, Response, Status, Streaming};
use yuccatack_core::prelude::*;
use yuccatack_requests::answer_check::{BodyCollector, BodyTrailer};
use yuccatack_requests::attempts::Resolution;
use yuccatack_requests::generated::agent as wire;
use yuccatack_requests::generated::agent::attempts_server::Attempts;
use yuccatack_requests::prelude::*;
use yuccatack_requests::wire::attempts::{decode_attempt_head, resolution_parts};

use crate::message::AgentMessage;

/// Maximum time for which a response to `Resolve` is delayed, whatever wait the entry requests.
const MAX_RESOLVE_WAIT: Duration = Duration::from_secs(30);

/// Decodes calls, forwards them to the actor and encodes its replies.
#[derive(Clone, Debug)]
pub struct AttemptService {
    actor: mpsc::Sender<AgentMessage>,
    body_limit_bytes: u64,
}

type PartStream = Iter<std::vec::IntoIter<Result<wire::AnswerPart, Status>>>;

fn response_parts(
    attempt: AttemptId,
    organisation: &OrganisationName,
    resolution: &Resolution,
) -> Response<PartStream> {
    let parts = resolution_parts(attempt, organisation, resolution);
    let parts: Vec<_> = parts.into_iter().map(Ok).collect();
    Response::new(tokio_stream::iter(parts))
}

fn invalid(detail: impl std::fmt::Display) -> Status {
    Status::invalid_argument(detail.to_string())
}

impl AttemptService {
    /// Creates a service that forwards calls to `actor`.
    pub fn new(actor: mpsc::Sender<AgentMessage>, body_limit_bytes: u64) -> Self {
        Self { actor, body_limit_bytes }
    }

    /// Reads a complete attempt; an incomplete or corrupt one is refused and never started.
    async fn receive_attempt(
        &self,
        mut parts: Streaming<wire::AttemptPart>,
    ) -> Result<(AttemptHead, RequestContent), Status> {
        let first = parts.message().await?.and_then(|part| part.part);
        let Some(wire::attempt_part::Part::Head(head)) = first else {
            return Err(invalid("the first part must be a head"));
        };
        let (head, mut content) = decode_attempt_head(head).map_err(invalid)?;
        let mut body = BodyCollector::new(self.body_limit_bytes);
        loop {
            match parts.message().await?.and_then(|part| part.part) {
                Some(wire::attempt_part::Part::Chunk(chunk)) => {
                    body.push(&chunk).map_err(invalid)?;
                }
                Some(wire::attempt_part::Part::End(end)) => {
                    let trailer = BodyTrailer::try_from(end).map_err(invalid)?;
                    content.body = body.finish(&trailer).map_err(invalid)?;
                    return Ok((head, content));
                }
                Some(wire::attempt_part::Part::Head(_)) => {
                    return Err(invalid("a second head in one attempt"));
                }
                None => return Err(invalid("the attempt ended before its last part")),
            }
        }
    }

    async fn send(&self, message: AgentMessage) -> Result<(), Status> {
        let sent = self.actor.send(message).await;
        sent.map_err(|_| Status::unavailable("the agent ends"))
    }
}

#[tonic::async_trait]
impl Attempts for AttemptService {
    type ExecuteStream = PartStream;
    type ResolveStream = PartStream;

    async fn execute(
        &self,
        request: Request<Streaming<wire::AttemptPart>>,
    ) -> Result<Response<PartStream>, Status> {
        let (head, content) = self.receive_attempt(request.into_inner()).await?;
        let attempt = head.attempt;
        let organisation = content.organisation.clone();
        let (reply, resolution) = oneshot::channel();
        self.send(AgentMessage::Start { head, content, reply }).await?;
        let resolution =
            resolution.await.map_err(|_| Status::unavailable("the attempt was dropped"))?;
        Ok(response_parts(attempt, &organisation, &resolution))
    }

    async fn resolve(
        &self,
        request: Request<wire::ResolveRequest>,
    ) -> Result<Response<PartStream>, Status> {
        let request = request.into_inner();
        let attempt = AttemptId::try_from(request.attempt_id.as_ref()).map_err(invalid)?;
        let organisation = OrganisationName::new(&request.organisation).map_err(invalid)?;
        let wait = Duration::from_millis(request.wait_ms).min(MAX_RESOLVE_WAIT);
        let (reply, resolution) = oneshot::channel();
        let message = AgentMessage::Resolve {
            attempt,
            incarnation: Incarnation::new(request.agent_incarnation),
            organisation: organisation.clone(),
            wait,
            reply,
        };
        self.send(message).await?;
        let resolution = match tokio::time::timeout(wait, resolution).await {
            Ok(Ok(resolution)) => resolution,
            Ok(Err(_)) => return Err(Status::unavailable("the agent ends")),
            Err(_) => Resolution::Running,
        };
        Ok(response_parts(attempt, &organisation, &resolution))
    }
}
