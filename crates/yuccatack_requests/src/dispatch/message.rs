//! Events that the dispatch state machine handles and commands that it issues.

use std::net::SocketAddr;

use yuccatack_core::prelude::*;

use crate::attempts::Resolution;
use crate::claims::{ClaimCallError, ClaimOutcome, ClaimState, ClaimedAttempt};
use crate::outcome::{NotRun, Outcome};

/// Agent that an attempt is addressed to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Node name of the agent.
    pub node: NodeName,
    /// Incarnation of the agent; a restarted agent refuses the attempt.
    pub incarnation: Incarnation,
    /// Address on which the agent accepts attempts.
    pub address: SocketAddr,
}

impl Target {
    /// Combines the target with an attempt identifier, as recorded in a claim.
    pub fn to_claimed_attempt(&self, attempt: AttemptId) -> ClaimedAttempt {
        ClaimedAttempt {
            attempt,
            node: self.node.clone(),
            incarnation: self.incarnation,
            address: self.address,
        }
    }
}

/// Purpose for which a minion is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChoiceKind {
    /// First attempt; subject to admission control.
    First,
    /// Attempt after one that did not run or whose outcome is lost; uses the retry budget.
    Retry,
    /// Second attempt in parallel with a slow one; uses the retry budget.
    Hedge,
}

/// Event handled by the dispatch of one request.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchEvent {
    /// Result of [`DispatchCommand::Choose`], with a newly generated attempt identifier.
    Chosen(Result<(AttemptId, Target), NotRun>),
    /// Result of [`DispatchCommand::Claim`].
    Claimed(Result<ClaimOutcome, ClaimCallError>),
    /// Result of [`DispatchCommand::Settle`].
    Settled(Result<ClaimOutcome, ClaimCallError>),
    /// Resolution reported by an agent, verified to be complete and to belong to this attempt.
    Resolved(AttemptId, Resolution),
    /// The exchange with the agent failed or timed out after data was sent.
    Broken(AttemptId),
    /// The time returned by [`Dispatch::next_timer`](super::Dispatch::next_timer) is reached.
    Timer,
}

/// Action that the caller of the state machine carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchCommand {
    /// Choose a minion, avoiding the given nodes.
    Choose(ChoiceKind, Vec<NodeName>),
    /// Claim the key for this attempt.
    Claim(ClaimedAttempt),
    /// Set the final state of the claim that this attempt holds.
    Settle(AttemptId, ClaimState),
    /// Send the attempt to its agent exactly once.
    Execute(ClaimedAttempt),
    /// Request the attempt's resolution from its agent on a new connection.
    Resolve(ClaimedAttempt),
    /// Return the outcome to the caller, exactly once. Only a [`Settle`](Self::Settle) of the same
    /// call to the state machine may follow; it must still be carried out.
    Finish(Outcome),
}
