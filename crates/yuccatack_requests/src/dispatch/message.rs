//! Events into the state machine and commands out of it.

use std::net::SocketAddr;

use yuccatack_core::prelude::*;

use crate::attempts::Resolution;
use crate::claims::{ClaimCallError, ClaimOutcome, ClaimState, ClaimedAttempt};
use crate::outcome::{NotRun, Outcome};

/// The agent that an attempt is addressed to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// The agent's node.
    pub node: NodeName,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// Where the agent accepts attempts.
    pub address: SocketAddr,
}

impl Target {
    /// The attempt as it is claimed.
    pub fn claimed(&self, attempt: AttemptId) -> ClaimedAttempt {
        ClaimedAttempt {
            attempt,
            node: self.node.clone(),
            incarnation: self.incarnation,
            address: self.address,
        }
    }
}

/// Why a minion is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChoiceKind {
    /// The first attempt; it passes admission.
    First,
    /// Another attempt after one that did not run or is lost; it spends the retry budget.
    Retry,
    /// A second attempt beside a slow one; it spends the retry budget.
    Hedge,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchEvent {
    /// The answer to [`DispatchCommand::Choose`], with a newly drawn attempt.
    Chosen(Result<(AttemptId, Target), NotRun>),
    /// The answer to [`DispatchCommand::Claim`].
    Claimed(Result<ClaimOutcome, ClaimCallError>),
    /// The answer to [`DispatchCommand::Settle`].
    Settled(Result<ClaimOutcome, ClaimCallError>),
    /// What an agent says of an attempt, checked to be whole and of this attempt.
    Resolved(AttemptId, Resolution),
    /// The exchange with the agent broke or timed out after something was sent.
    Broken(AttemptId),
    /// The time that [`Dispatch::next_timer`](super::Dispatch::next_timer) gave has come.
    Timer,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchCommand {
    /// Choose a minion on none of these nodes.
    Choose(ChoiceKind, Vec<NodeName>),
    /// Claim the key for this attempt.
    Claim(ClaimedAttempt),
    /// Settle the claim that this attempt holds.
    Settle(AttemptId, ClaimState),
    /// Send the attempt to its agent, once.
    Execute(ClaimedAttempt),
    /// Ask the agent on a new connection what became of the attempt.
    Resolve(ClaimedAttempt),
    /// Tell the caller.
    Finish(Outcome),
}
