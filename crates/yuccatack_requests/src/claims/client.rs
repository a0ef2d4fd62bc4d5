//! The message interface through which entries reach the control leader.

use tokio::sync::{mpsc, oneshot};

use super::error::ClaimCallError;
use super::message::{ClaimCommand, ClaimOutcome};

/// The calls that may wait for the control client; more are refused at once.
const CLAIM_QUEUE_LENGTH: usize = 1024;

/// One call about a claim with the place for its reply.
#[derive(Debug)]
pub struct ClaimMessage {
    /// The command.
    pub command: ClaimCommand,
    /// Where the result goes. Dropping it without a result counts as unconfirmed.
    pub reply: oneshot::Sender<Result<ClaimOutcome, ClaimCallError>>,
}

/// Sends claim commands to the task that is connected to the control leader.
#[derive(Clone, Debug)]
pub struct ClaimClient {
    sender: mpsc::Sender<ClaimMessage>,
}

/// Makes a client and the queue that the connecting task reads.
pub fn claim_channel() -> (ClaimClient, mpsc::Receiver<ClaimMessage>) {
    let (sender, receiver) = mpsc::channel(CLAIM_QUEUE_LENGTH);
    (ClaimClient { sender }, receiver)
}

impl ClaimClient {
    /// Has a command applied and gives its result.
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
