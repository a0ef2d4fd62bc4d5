//! Calls from the services to the control actor.

use std::time::Duration;

use ractor::ActorRef;
use ractor::rpc::CallResult;
use tonic::{Code, Status};

use crate::error::ControlFailure;
use crate::message::{ControlMessage, Reply};

/// The metadata key that names the leader to a caller that asked a follower.
pub const LEADER_METADATA_KEY: &str = "yuccatack-leader";

/// Longer than an election, so that a call does not fail because of one change of leader.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Sends the message that `build` makes and waits for the actor's answer.
pub async fn ask<Answer, Build>(
    actor: &ActorRef<ControlMessage>,
    build: Build,
) -> Result<Answer, Status>
where
    Answer: Send + 'static,
    Build: FnOnce(Reply<Answer>) -> ControlMessage,
{
    match actor.call(build, Some(CALL_LIMIT)).await {
        Ok(CallResult::Success(answer)) => answer.map_err(Status::from),
        Ok(CallResult::Timeout) => Err(ControlFailure::Unknown.into()),
        Ok(CallResult::SenderError) => Err(ControlFailure::Unknown.into()),
        Err(_) => Err(ControlFailure::Stopping.into()),
    }
}

/// The status for a call with wrong content.
pub fn invalid<Problem>(problem: Problem) -> Status
where
    Problem: ToString,
{
    Status::invalid_argument(problem.to_string())
}

impl From<ControlFailure> for Status {
    fn from(failure: ControlFailure) -> Self {
        let message = failure.to_string();
        match failure {
            ControlFailure::NotLeader { leader_address } => {
                let mut status = Self::new(Code::FailedPrecondition, message);
                let address = leader_address.and_then(|address| address.to_string().parse().ok());
                if let Some(address) = address {
                    status.metadata_mut().insert(LEADER_METADATA_KEY, address);
                }
                status
            }
            ControlFailure::Unknown => Self::new(Code::Aborted, message),
            ControlFailure::Stopping => Self::new(Code::Unavailable, message),
            ControlFailure::Invalid { .. } => Self::new(Code::InvalidArgument, message),
        }
    }
}
