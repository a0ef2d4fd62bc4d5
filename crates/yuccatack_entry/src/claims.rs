//! Forwarding of claims of idempotency keys to the control leader.

use tokio::sync::mpsc;
use yuccatack_control_client::{ControlClient, ControlError};
use yuccatack_requests::claims::{ClaimCallError, ClaimCommand, ClaimMessage, ClaimOutcome};
use yuccatack_requests::wire::claims::ClaimCall;

/// Delay before a caller may retry after no control replica was reachable; an election is shorter.
const RETRY_AFTER_MS: u64 = 1_000;

/// Forwards each claim in a separate task, so that a slow claim does not delay the others.
pub async fn forward_claims(mut messages: mpsc::Receiver<ClaimMessage>, control: ControlClient) {
    while let Some(message) = messages.recv().await {
        let control = control.clone();
        tokio::spawn(async move {
            let result = call(&control, &message.command).await;
            // The receiver is gone if the deadline of the request has passed.
            let _ = message.reply.send(result);
        });
    }
}

async fn call(
    control: &ControlClient,
    command: &ClaimCommand,
) -> Result<ClaimOutcome, ClaimCallError> {
    match ClaimCall::from(command) {
        ClaimCall::Claim(request) => {
            let response = control.claim(request).await.map_err(|error| call_error(&error))?;
            ClaimOutcome::try_from(response).map_err(|_| ClaimCallError::Unconfirmed)
        }
        ClaimCall::Settle(request) => {
            let response = control.settle(request).await.map_err(|error| call_error(&error))?;
            Ok(ClaimOutcome::from(response))
        }
    }
}

fn call_error(error: &ControlError) -> ClaimCallError {
    match error {
        ControlError::NotSent { .. } | ControlError::Refused { .. } => {
            ClaimCallError::Unavailable { retry_after_ms: RETRY_AFTER_MS }
        }
        ControlError::AnswerLost { .. } | ControlError::Unreadable { .. } => {
            ClaimCallError::Unconfirmed
        }
    }
}
