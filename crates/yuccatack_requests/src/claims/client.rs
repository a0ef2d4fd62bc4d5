//! Message interface through which entries send claim commands to the control leader.

use tokio::sync::{mpsc, oneshot};

use super::error::ClaimCallError;
use super::message::{ClaimCommand, ClaimOutcome};

/// Maximum number of calls that wait for the control client; further calls are refused at once.
const CLAIM_QUEUE_LENGTH: usize = 1024;

/// Claim command with the channel for its reply.
#[derive(Debug)]
pub struct ClaimMessage {
    /// Command to apply in the replicated state.
    pub command: ClaimCommand,
    /// Channel for the result. Dropping it without a result counts as unconfirmed.
    pub reply: oneshot::Sender<Result<ClaimOutcome, ClaimCallError>>,
}

/// Handle that sends claim commands to the task connected to the control leader.
#[derive(Clone, Debug)]
pub struct ClaimClient {
    sender: mpsc::Sender<ClaimMessage>,
}

/// Creates a client and the receiving end of its queue, which the connected task reads.
pub fn claim_channel() -> (ClaimClient, mpsc::Receiver<ClaimMessage>) {
    let (sender, receiver) = mpsc::channel(CLAIM_QUEUE_LENGTH);
    (ClaimClient { sender }, receiver)
}

impl ClaimClient {
    /// Sends a command to the control leader and returns its result.
    ///
    /// [`ClaimCallError::Unavailable`] means that nothing changed; after
    /// [`ClaimCallError::Unconfirmed`] the same command may be sent again.
    pub async fn call(&self, command: ClaimCommand) -> Result<ClaimOutcome, ClaimCallError> {
        let (reply, result) = oneshot::channel();
        let message = ClaimMessage { command, reply };
        if self.sender.try_send(message).is_err() {
            return Err(ClaimCallError::Unavailable { retry_after_ms: 1_000 });
        }
        result.await.unwrap_or(Err(ClaimCallError::Unconfirmed))
    }
}
