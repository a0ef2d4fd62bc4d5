//! One call to one replica, and what its result says about the replica.

use std::net::SocketAddr;

use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout_at};
use tonic::transport::Channel;
use tonic::{Code, Status};

use crate::directory::{CallOutcome, Directory};
use crate::generated::queue_control::Envelope;
use crate::generated::queue_control::queue_control_client::QueueControlClient;
use crate::protocol::Response;

/// Largest message; a whole configuration must fit into one.
const MESSAGE_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Result of a call to a replica before it is decoded.
pub(crate) type CallResult = Result<Result<tonic::Response<Envelope>, Status>, Elapsed>;

/// Failure of an attempt to get a response of the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AttemptError {
    /// The request has not taken effect and cannot do so any more.
    NotDone,
    /// The request may have taken effect or may do so later.
    Unknown,
}

/// Sends a request to the replica at the other end of `channel`.
pub(crate) async fn call_replica(
    channel: Channel,
    request: Envelope,
    deadline: Instant,
) -> CallResult {
    timeout_at(deadline, replica_client(channel).call(request)).await
}

/// Records the result of a call in the directory and converts it to a response of the leader.
pub(crate) async fn evaluate_result(
    directory: &Directory,
    address: SocketAddr,
    result: CallResult,
) -> Result<Response, AttemptError> {
    let envelope = match result {
        Ok(Ok(response)) => response.into_inner(),
        Ok(Err(status)) => {
            directory.record(address, CallOutcome::Unresponsive).await;
            return Err(match status.code() {
                // A replica only returns these codes before it handles the request.
                Code::FailedPrecondition | Code::ResourceExhausted => AttemptError::NotDone,
                _ if is_connect_failure(&status) => AttemptError::NotDone,
                _ => AttemptError::Unknown,
            });
        }
        Err(_) => {
            directory.record(address, CallOutcome::Unresponsive).await;
            return Err(AttemptError::Unknown);
        }
    };
    match Response::try_from(envelope) {
        Ok(Response::NotLeader(hint)) => {
            directory.record(address, CallOutcome::NotLeader(hint)).await;
            Err(AttemptError::NotDone)
        }
        Ok(Response::Unknown) => Err(AttemptError::Unknown),
        Ok(response) => {
            directory.record(address, CallOutcome::ConfirmedLeader).await;
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

pub(crate) fn replica_client(channel: Channel) -> QueueControlClient<Channel> {
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
