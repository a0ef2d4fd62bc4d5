//! Commands to the claim table and their results.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

use super::key::IdempotencyKey;

/// Digest of service, path and body, which detects a key that is reused for other content.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ContentDigest([u8; 32]);

impl ContentDigest {
    /// Creates a digest from its raw bytes.
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Computes the digest of the parts of a request. The length of each part is hashed too, so
    /// that moving bytes from one part to the next changes the digest.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(*hasher.finalize().as_bytes())
    }

    /// Returns the raw bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

/// Attempt that a claim permits, with the agent that may run it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimedAttempt {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Node name of the agent.
    pub node: NodeName,
    /// Incarnation of the agent; a restarted agent refuses the attempt.
    pub incarnation: Incarnation,
    /// Address on which the agent accepts attempts.
    pub address: SocketAddr,
}

/// Progress of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The attempt may have reached its agent.
    Dispatched,
    /// The attempt completed; its agent stores the answer until it evicts it or restarts.
    Completed,
    /// The attempt provably never ran; the key may be claimed again.
    Released,
}

/// Command to the claim table, replicated in the log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimCommand {
    /// Requests the right to dispatch one attempt for a key.
    Claim {
        /// Organisation of the caller; keys are unique within it.
        organisation: OrganisationName,
        /// Key to claim.
        key: IdempotencyKey,
        /// Digest of the request's content.
        content: ContentDigest,
        /// Attempt to be permitted.
        attempt: ClaimedAttempt,
    },
    /// Records the end of the claimed attempt.
    Settle {
        /// Organisation of the caller.
        organisation: OrganisationName,
        /// Claimed key.
        key: IdempotencyKey,
        /// Attempt that ended.
        attempt: AttemptId,
        /// Either [`ClaimState::Completed`] or [`ClaimState::Released`].
        state: ClaimState,
    },
}

/// Reason for which a claim is refused; the table is unchanged.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimRefusal {
    /// The key is older than the retention period of claims, so the request may have run before.
    KeyTooOld,
    /// The key's issue time is further in the future than the allowed clock skew.
    KeyFromFuture,
    /// The key was used for a request with other content.
    KeyReused,
    /// The table is at its maximum number of claims.
    TableFull {
        /// Time until the oldest claim expires.
        retry_after_ms: u64,
    },
}

/// Result of a claim command.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The claimant may dispatch the attempt.
    Granted,
    /// An earlier attempt holds the key.
    Existing {
        /// Attempt that holds the key.
        attempt: ClaimedAttempt,
        /// Progress of the earlier claim.
        state: ClaimState,
    },
    /// The claim is refused and the table is unchanged.
    Refused(ClaimRefusal),
    /// `true` if the attempt holds the key and its claim now has the requested state; `false` if
    /// nothing changed.
    Settled(bool),
}
