//! The gRPC service through which entries claim and settle idempotency keys.

use ractor::ActorRef;
use tonic::{Request, Response, Status};
use yuccatack_requests::claims::{ClaimCommand, ClaimOutcome};
use yuccatack_requests::generated::claims as wire;
use yuccatack_requests::generated::claims::claims_server::Claims;

use crate::call::{ask, invalid};
use crate::message::ControlMessage;

/// Serves entries by messages to the control actor.
#[derive(Clone, Debug)]
pub struct ClaimsService {
    actor: ActorRef<ControlMessage>,
}

impl ClaimsService {
    /// Creates a service that forwards calls to `actor`.
    pub fn new(actor: ActorRef<ControlMessage>) -> Self {
        Self { actor }
    }

    async fn propose(&self, command: ClaimCommand) -> Result<ClaimOutcome, Status> {
        ask(&self.actor, |reply| ControlMessage::Claim { command, reply }).await
    }
}

#[tonic::async_trait]
impl Claims for ClaimsService {
    async fn claim(
        &self,
        request: Request<wire::ClaimRequest>,
    ) -> Result<Response<wire::ClaimResponse>, Status> {
        let command = ClaimCommand::try_from(request.into_inner()).map_err(invalid)?;
        let outcome = self.propose(command).await?;
        Ok(Response::new(wire::ClaimResponse::try_from(outcome).map_err(invalid)?))
    }

    async fn settle(
        &self,
        request: Request<wire::SettleRequest>,
    ) -> Result<Response<wire::SettleResponse>, Status> {
        let command = ClaimCommand::try_from(request.into_inner()).map_err(invalid)?;
        let outcome = self.propose(command).await?;
        Ok(Response::new(wire::SettleResponse::try_from(outcome).map_err(invalid)?))
    }
}
