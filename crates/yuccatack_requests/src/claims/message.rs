//! Commands to the claim table and its answers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

use super::key::IdempotencyKey;

/// A digest of service, path and body.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ContentDigest([u8; 32]);

impl ContentDigest {
    /// Wraps the raw bytes.
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Digests the content of a request. Lengths are part of the digest, so that the parts cannot
    /// be shifted against each other.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(*hasher.finalize().as_bytes())
    }

    /// The raw bytes.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

/// The attempt that a claim permits, and where it may run.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// The agent's node.
    pub node: NodeName,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// Where the agent accepts attempts.
    pub address: SocketAddr,
}

/// How far a claim has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The attempt may have reached its agent.
    Dispatched,
    /// The attempt completed; its agent holds the answer while it lives.
    Completed,
    /// The attempt provably never ran; the key may be claimed again.
    Released,
}

/// A replicated command.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimCommand {
    /// Asks for the right to dispatch one attempt for a key.
    Claim {
        /// Who asks.
        organisation: OrganisationName,
        /// The caller's key.
        key: IdempotencyKey,
        /// What is asked for.
        content: ContentDigest,
        /// The attempt that the claim shall permit.
        attempt: ClaimedAttempt,
    },
    /// Records how the claimed attempt ended.
    Settle {
        /// Who asked.
        organisation: OrganisationName,
        /// The caller's key.
        key: IdempotencyKey,
        /// The attempt that ended.
        attempt: AttemptId,
        /// [`ClaimState::Completed`] or [`ClaimState::Released`].
        state: ClaimState,
    },
}

/// Why a claim is refused; nothing was claimed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimRefusal {
    /// The key is older than claims are kept, so that it may have run before.
    KeyTooOld,
    /// The key's time lies too far in the future.
    KeyFromFuture,
    /// The key was used for other content.
    KeyReused,
    /// The table holds as many claims as it may.
    TableFull {
        /// When the oldest claim expires.
        retry_after_ms: u64,
    },
}

/// The result of a command.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The attempt may be dispatched, by whoever claimed it.
    Granted,
    /// An earlier attempt holds the key.
    Existing {
        /// That attempt.
        attempt: ClaimedAttempt,
        /// How far it has come.
        state: ClaimState,
    },
    /// The claim is refused.
    Refused(ClaimRefusal),
    /// Whether the settlement was for the attempt that holds the key.
    Settled(bool),
}
