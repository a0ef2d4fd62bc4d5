//! Replicated table of claims.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;

use super::key::IdempotencyKey;
use super::message::{
    ClaimCommand, ClaimOutcome, ClaimRefusal, ClaimState, ClaimedAttempt, ContentDigest,
};

/// Limits of the claim table; every replica must apply the same ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimLimits {
    /// Retention period of claims, counted from the key's issue time.
    pub age: DurationMs,
    /// Maximum number of claims.
    pub count: u64,
    /// Tolerance for issue times that lie in the future. A claim expires by its key's issue time,
    /// so a key from the far future would stay in the table for as long.
    pub clock_skew: DurationMs,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            age: DurationMs::from_seconds(24 * 60 * 60),
            count: 1_000_000,
            clock_skew: DurationMs::from_seconds(60),
        }
    }
}

type ClaimKey = (OrganisationName, IdempotencyKey);

#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Claim {
    content: ContentDigest,
    attempt: ClaimedAttempt,
    state: ClaimState,
}

/// Grants each key to at most one attempt at a time.
///
/// `now` is the leader's wall clock as recorded in the log entry, so that every replica makes the
/// same decision. The table keeps the newest `now` and never moves back, so that an expired key
/// stays expired when a later leader's clock is behind.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClaimTable {
    limits: ClaimLimits,
    claims: BTreeMap<ClaimKey, Claim>,
    by_issue_time: BTreeSet<(TimestampMs, ClaimKey)>,
    newest_now: TimestampMs,
}

impl ClaimTable {
    /// Creates an empty table.
    pub fn new(limits: ClaimLimits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns `true` if the table holds no claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Applies a command; `now` is the time recorded in its log entry.
    pub fn apply(&mut self, command: ClaimCommand, now: TimestampMs) -> ClaimOutcome {
        self.newest_now = self.newest_now.max(now);
        self.expire();
        assert_eq!(
            self.claims.len(),
            self.by_issue_time.len(),
            "the expiry index does not cover every claim"
        );
        match command {
            ClaimCommand::Claim { organisation, key, content, attempt } => {
                self.claim((organisation, key), content, attempt)
            }
            ClaimCommand::Settle { organisation, key, attempt, state } => {
                ClaimOutcome::Settled(self.settle(&(organisation, key), attempt, state))
            }
        }
    }

    fn oldest_issue_time(&self) -> TimestampMs {
        self.newest_now - self.limits.age
    }

    fn expire(&mut self) {
        let oldest = self.oldest_issue_time();
        while self.by_issue_time.first().is_some_and(|(issued_at, _)| *issued_at < oldest) {
            if let Some((_, claim_key)) = self.by_issue_time.pop_first() {
                self.claims.remove(&claim_key);
            }
        }
    }

    fn claim(
        &mut self,
        claim_key: ClaimKey,
        content: ContentDigest,
        attempt: ClaimedAttempt,
    ) -> ClaimOutcome {
        let issued_at = claim_key.1.issued_at();
        if issued_at < self.oldest_issue_time() {
            return ClaimOutcome::Refused(ClaimRefusal::KeyTooOld);
        }
        if issued_at > self.newest_now + self.limits.clock_skew {
            return ClaimOutcome::Refused(ClaimRefusal::KeyFromFuture);
        }
        if let Some(claim) = self.claims.get_mut(&claim_key) {
            return Self::claim_existing_key(claim, content, attempt);
        }
        if self.claims.len() as u64 >= self.limits.count {
            return ClaimOutcome::Refused(self.table_full_refusal());
        }
        self.by_issue_time.insert((issued_at, claim_key.clone()));
        self.claims.insert(claim_key, Claim { content, attempt, state: ClaimState::Dispatched });
        ClaimOutcome::Granted
    }

    fn claim_existing_key(
        claim: &mut Claim,
        content: ContentDigest,
        attempt: ClaimedAttempt,
    ) -> ClaimOutcome {
        if claim.content != content {
            return ClaimOutcome::Refused(ClaimRefusal::KeyReused);
        }
        if claim.state == ClaimState::Released && claim.attempt.attempt != attempt.attempt {
            claim.attempt = attempt;
            claim.state = ClaimState::Dispatched;
            return ClaimOutcome::Granted;
        }
        ClaimOutcome::Existing { attempt: claim.attempt.clone(), state: claim.state }
    }

    fn table_full_refusal(&self) -> ClaimRefusal {
        let oldest =
            self.by_issue_time.first().map_or(self.newest_now, |(issued_at, _)| *issued_at);
        let wait = (oldest + self.limits.age).since(self.newest_now);
        ClaimRefusal::TableFull { retry_after_ms: wait.get() }
    }

    fn settle(&mut self, claim_key: &ClaimKey, attempt: AttemptId, state: ClaimState) -> bool {
        let Some(claim) = self.claims.get_mut(claim_key) else {
            return false;
        };
        if claim.attempt.attempt != attempt {
            return false;
        }
        match (claim.state, state) {
            (ClaimState::Dispatched, ClaimState::Completed | ClaimState::Released) => {
                claim.state = state;
                true
            }
            (current, requested) => current == requested && requested != ClaimState::Dispatched,
        }
    }
}
