//! Conversions for `claims.proto`.

use bytes::Bytes;
use yuccatack_core::prelude::*;

use super::error::WireError;
use crate::claims::{
    ClaimCommand, ClaimOutcome, ClaimRefusal, ClaimState, ClaimedAttempt, ContentDigest,
    IdempotencyKey,
};
use crate::generated::claims as wire;

/// Suggested retry delay for a key whose issue time lies in the future.
const FUTURE_KEY_RETRY_MS: u64 = 1_000;

fn organisation(text: &str) -> Result<OrganisationName, WireError> {
    OrganisationName::new(text).map_err(|_| WireError::new("organisation"))
}

fn key(text: &str) -> Result<IdempotencyKey, WireError> {
    IdempotencyKey::new(text).map_err(|_| WireError::new("key"))
}

fn attempt_id(bytes: &[u8]) -> Result<AttemptId, WireError> {
    AttemptId::try_from(bytes).map_err(|_| WireError::new("attempt_id"))
}

impl From<&ClaimedAttempt> for wire::Attempt {
    fn from(attempt: &ClaimedAttempt) -> Self {
        Self {
            attempt_id: Bytes::copy_from_slice(attempt.attempt.as_bytes()),
            agent_node: attempt.node.to_string(),
            agent_incarnation: attempt.incarnation.get(),
            agent_address: attempt.address.to_string(),
        }
    }
}

impl TryFrom<wire::Attempt> for ClaimedAttempt {
    type Error = WireError;

    fn try_from(attempt: wire::Attempt) -> Result<Self, Self::Error> {
        let address = attempt.agent_address.parse();
        Ok(Self {
            attempt: attempt_id(&attempt.attempt_id)?,
            node: NodeName::new(&attempt.agent_node).map_err(|_| WireError::new("agent_node"))?,
            incarnation: Incarnation::new(attempt.agent_incarnation),
            address: address.map_err(|_| WireError::new("agent_address"))?,
        })
    }
}

impl From<ClaimState> for wire::ClaimState {
    fn from(state: ClaimState) -> Self {
        match state {
            ClaimState::Dispatched => Self::Dispatched,
            ClaimState::Completed => Self::Completed,
            ClaimState::Released => Self::Released,
        }
    }
}

fn claim_state(number: i32) -> Result<ClaimState, WireError> {
    match wire::ClaimState::try_from(number) {
        Ok(wire::ClaimState::Dispatched) => Ok(ClaimState::Dispatched),
        Ok(wire::ClaimState::Completed) => Ok(ClaimState::Completed),
        Ok(wire::ClaimState::Released) => Ok(ClaimState::Released),
        Ok(wire::ClaimState::Unspecified) | Err(_) => Err(WireError::new("state")),
    }
}

/// Claim command as the request message of its RPC method.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimCall {
    /// Request of the method `Claim`.
    Claim(wire::ClaimRequest),
    /// Request of the method `Settle`.
    Settle(wire::SettleRequest),
}

impl From<&ClaimCommand> for ClaimCall {
    fn from(command: &ClaimCommand) -> Self {
        match command {
            ClaimCommand::Claim { organisation, key, content, attempt } => {
                Self::Claim(wire::ClaimRequest {
                    organisation: organisation.to_string(),
                    key: key.to_string(),
                    key_issued_at_ms: key.issued_at().get(),
                    content_digest: Bytes::copy_from_slice(content.as_bytes()),
                    attempt: Some(attempt.into()),
                })
            }
            ClaimCommand::Settle { organisation, key, attempt, state } => {
                Self::Settle(wire::SettleRequest {
                    organisation: organisation.to_string(),
                    key: key.to_string(),
                    attempt_id: Bytes::copy_from_slice(attempt.as_bytes()),
                    state: wire::ClaimState::from(*state).into(),
                })
            }
        }
    }
}

impl TryFrom<wire::ClaimRequest> for ClaimCommand {
    type Error = WireError;

    fn try_from(request: wire::ClaimRequest) -> Result<Self, Self::Error> {
        let digest: [u8; 32] =
            (*request.content_digest).try_into().map_err(|_| WireError::new("content_digest"))?;
        let key = key(&request.key)?;
        if key.issued_at().get() != request.key_issued_at_ms {
            return Err(WireError::new("key_issued_at_ms"));
        }
        let attempt = request.attempt.ok_or(WireError::new("attempt"))?;
        Ok(Self::Claim {
            organisation: organisation(&request.organisation)?,
            key,
            content: ContentDigest::new(digest),
            attempt: attempt.try_into()?,
        })
    }
}

impl TryFrom<wire::SettleRequest> for ClaimCommand {
    type Error = WireError;

    fn try_from(request: wire::SettleRequest) -> Result<Self, Self::Error> {
        let state = claim_state(request.state)?;
        if state == ClaimState::Dispatched {
            return Err(WireError::new("state"));
        }
        Ok(Self::Settle {
            organisation: organisation(&request.organisation)?,
            key: key(&request.key)?,
            attempt: attempt_id(&request.attempt_id)?,
            state,
        })
    }
}

fn refused(kind: &str, message: &str, retry_after_ms: u64) -> wire::ClaimRefused {
    wire::ClaimRefused { kind: kind.to_owned(), message: message.to_owned(), retry_after_ms }
}

impl From<ClaimRefusal> for wire::ClaimRefused {
    fn from(refusal: ClaimRefusal) -> Self {
        match refusal {
            ClaimRefusal::KeyTooOld => refused(
                "key_too_old",
                "the key is older than claims are kept; check the effect of the first request, \
                 then use a new key",
                0,
            ),
            ClaimRefusal::KeyFromFuture => refused(
                "key_from_future",
                "the key's time lies in the future; correct the caller's clock",
                FUTURE_KEY_RETRY_MS,
            ),
            ClaimRefusal::KeyReused => refused(
                "key_reused",
                "the key was used for a request with other content; use a new key",
                0,
            ),
            ClaimRefusal::TableFull { retry_after_ms } => refused(
                "table_full",
                "as many claims are held as may be; send the request later",
                retry_after_ms,
            ),
        }
    }
}

impl TryFrom<wire::ClaimRefused> for ClaimRefusal {
    type Error = WireError;

    fn try_from(refusal: wire::ClaimRefused) -> Result<Self, Self::Error> {
        match refusal.kind.as_str() {
            "key_too_old" => Ok(Self::KeyTooOld),
            "key_from_future" => Ok(Self::KeyFromFuture),
            "key_reused" => Ok(Self::KeyReused),
            "table_full" => Ok(Self::TableFull { retry_after_ms: refusal.retry_after_ms }),
            _ => Err(WireError::new("kind")),
        }
    }
}

impl TryFrom<ClaimOutcome> for wire::ClaimResponse {
    type Error = WireError;

    fn try_from(outcome: ClaimOutcome) -> Result<Self, Self::Error> {
        let outcome = match outcome {
            ClaimOutcome::Granted => wire::claim_response::Outcome::Granted(wire::Granted {}),
            ClaimOutcome::Existing { attempt, state } => {
                wire::claim_response::Outcome::Existing(wire::Existing {
                    attempt: Some((&attempt).into()),
                    state: wire::ClaimState::from(state).into(),
                })
            }
            ClaimOutcome::Refused(refusal) => {
                wire::claim_response::Outcome::Refused(refusal.into())
            }
            ClaimOutcome::Settled(_) => return Err(WireError::new("outcome")),
        };
        Ok(Self { outcome: Some(outcome) })
    }
}

impl TryFrom<wire::ClaimResponse> for ClaimOutcome {
    type Error = WireError;

    fn try_from(response: wire::ClaimResponse) -> Result<Self, Self::Error> {
        match response.outcome.ok_or(WireError::new("outcome"))? {
            wire::claim_response::Outcome::Granted(_) => Ok(Self::Granted),
            wire::claim_response::Outcome::Existing(existing) => {
                let attempt = existing.attempt.ok_or(WireError::new("attempt"))?;
                Ok(Self::Existing {
                    attempt: attempt.try_into()?,
                    state: claim_state(existing.state)?,
                })
            }
            wire::claim_response::Outcome::Refused(refusal) => {
                Ok(Self::Refused(refusal.try_into()?))
            }
        }
    }
}

impl TryFrom<ClaimOutcome> for wire::SettleResponse {
    type Error = WireError;

    fn try_from(outcome: ClaimOutcome) -> Result<Self, Self::Error> {
        match outcome {
            ClaimOutcome::Settled(settled) => Ok(Self { settled }),
            ClaimOutcome::Granted | ClaimOutcome::Existing { .. } | ClaimOutcome::Refused(_) => {
                Err(WireError::new("settled"))
            }
        }
    }
}

impl From<wire::SettleResponse> for ClaimOutcome {
    fn from(response: wire::SettleResponse) -> Self {
        Self::Settled(response.settled)
    }
}
