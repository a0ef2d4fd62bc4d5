//! Calls from the services to the control actor.

use std::time::Duration;

use ractor::ActorRef;
use ractor::rpc::CallResult;
use tonic::{Code, Status};

use crate::error::CallError;
use crate::message::{ControlMessage, Reply};

/// Metadata key under which a follower sends the leader's address.
pub const LEADER_METADATA_KEY: &str = "yuccatack-leader";

/// Maximum time to wait for the actor. It is longer than an election, so that a single change of
/// leader does not fail a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends the message that `build_message` creates and waits for the actor's response.
pub async fn ask<Response, BuildMessage>(
    actor: &ActorRef<ControlMessage>,
    build_message: BuildMessage,
) -> Result<Response, Status>
where
    Response: Send + 'static,
    BuildMessage: FnOnce(Reply<Response>) -> ControlMessage,
{
    match actor.call(build_message, Some(CALL_TIMEOUT)).await {
        Ok(CallResult::Success(result)) => result.map_err(Status::from),
        Ok(CallResult::Timeout) => Err(CallError::Unknown.into()),
        Ok(CallResult::SenderError) => Err(CallError::Unknown.into()),
        Err(_) => Err(CallError::Stopping.into()),
    }
}

/// Returns the status `INVALID_ARGUMENT` for a call with invalid content.
pub fn invalid<Detail>(detail: Detail) -> Status
where
    Detail: ToString,
{
    Status::invalid_argument(detail.to_string())
}

impl From<CallError> for Status {
    fn from(failure: CallError) -> Self {
        let message = failure.to_string();
        match failure {
            CallError::NotLeader { leader_address } => {
                let mut status = Self::new(Code::FailedPrecondition, message);
                let address = leader_address.and_then(|address| address.to_string().parse().ok());
                if let Some(address) = address {
                    status.metadata_mut().insert(LEADER_METADATA_KEY, address);
                }
                status
            }
            CallError::Unknown => Self::new(Code::Aborted, message),
            // Clients take this code for a refusal, after which the command has had no effect.
            CallError::NoSpace { .. } => Self::new(Code::ResourceExhausted, message),
            CallError::Stopping => Self::new(Code::Unavailable, message),
            CallError::Invalid { .. } => Self::new(Code::InvalidArgument, message),
        }
    }
}
