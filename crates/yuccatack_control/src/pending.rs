//! Proposals and reads that wait for the replicated log.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use yuccatack_core::prelude::*;
use yuccatack_records::ChangeOutcome;
use yuccatack_replication::{ProposalFailure, ProposalId, ReadId};
use yuccatack_requests::claims::{ClaimCommand, ClaimOutcome};

use crate::error::CallError;
use crate::message::{Query, QueryResponse, Reply};
use crate::state::ControlOutcome;

/// Delay after which the caller of a command that was refused for lack of space may try again. Space
/// is freed by an operator, or within seconds by a compaction.
const NO_SPACE_RETRY_DELAY: DurationMs = DurationMs::new(2_000);

/// Origin of a proposal, with the port of the caller that waits for it.
#[derive(Debug)]
pub enum PendingProposal {
    /// A change by an operator.
    Change(ChangeId, Reply<ChangeOutcome>),
    /// A claim or settlement by an entry.
    Claim(ClaimCommand, Reply<ClaimOutcome>),
    /// Decisions of the scheduler; no further ones are proposed until these are applied.
    Schedule,
    /// Reports of workers, for which no caller waits.
    Reports,
    /// The withdrawal of the record of an evicted job, for which no caller waits.
    Retention,
}

/// Origin of a read of the newest committed state.
#[derive(Debug)]
pub enum PendingRead {
    /// A query by an operator.
    Query(Query, Reply<QueryResponse>),
    /// A check that this replica led at that time, which the publisher reports to the nodes.
    LeadershipCheck(Instant),
}

/// Assigns ids to proposals and reads, and stores them until they complete.
#[derive(Debug, Default)]
pub struct Pending {
    last_number: u64,
    proposals: FastHashMap<ProposalId, (Instant, PendingProposal)>,
    reads: FastHashMap<ReadId, PendingRead>,
}

impl Pending {
    /// Adds a proposal and returns its id.
    pub fn add_proposal(&mut self, waiting: PendingProposal) -> ProposalId {
        let proposal = ProposalId::new(self.next_number());
        self.proposals.insert(proposal, (Instant::now(), waiting));
        proposal
    }

    /// Adds a read and returns its id.
    pub fn add_read(&mut self, waiting: PendingRead) -> ReadId {
        let read = ReadId::new(self.next_number());
        self.reads.insert(read, waiting);
        read
    }

    /// Returns the number of proposals and reads that wait.
    pub fn count(&self) -> usize {
        self.proposals.len() + self.reads.len()
    }

    /// Returns `true` while decisions of the scheduler are proposed but not applied.
    pub fn is_scheduling(&self) -> bool {
        self.proposals.values().any(|(_, waiting)| matches!(waiting, PendingProposal::Schedule))
    }

    /// Returns `true` if the proposal holds decisions of the scheduler.
    pub fn is_schedule(&self, proposal: ProposalId) -> bool {
        matches!(self.proposals.get(&proposal), Some((_, PendingProposal::Schedule)))
    }

    /// Responds to the caller of an applied proposal. Returns the time since it was proposed, or
    /// `None` if it is not pending here.
    pub fn complete(&mut self, proposal: ProposalId, outcome: ControlOutcome) -> Option<Duration> {
        let (proposed_at, waiting) = self.proposals.remove(&proposal)?;
        // An error means that the caller has stopped waiting; its resend finds the applied command.
        match (waiting, outcome) {
            (PendingProposal::Change(_, reply), ControlOutcome::Change(outcome)) => {
                let _ = reply.send(Ok(outcome));
            }
            (PendingProposal::Claim(_, reply), ControlOutcome::Claim(outcome)) => {
                let _ = reply.send(Ok(outcome));
            }
            (PendingProposal::Schedule | PendingProposal::Reports, ControlOutcome::Leases(_))
            | (PendingProposal::Retention, ControlOutcome::Change(_)) => {}
            (waiting, outcome) => {
                log::error!(
                    event = "proposal_mismatch";
                    "proposal {proposal} by {waiting:?} has a result of another kind: {outcome:?}; \
                     report this as a bug"
                );
            }
        }
        Some(proposed_at.elapsed())
    }

    /// Sends the error to the caller of a failed proposal.
    pub fn fail(&mut self, proposal: ProposalId, failure: ProposalFailure) {
        let waiting = self.proposals.remove(&proposal).map(|(_, waiting)| waiting);
        let failure = match failure {
            ProposalFailure::NotLeader { leader_address } => not_leader(leader_address),
            ProposalFailure::NoSpace => {
                waiting.as_ref().inspect(|waiting| log_refused(waiting));
                // The same command may be in flight for an earlier call and take effect.
                match waiting.as_ref().is_some_and(|waiting| self.is_in_flight(waiting)) {
                    true => CallError::Unknown,
                    false => CallError::NoSpace { retry_after_ms: NO_SPACE_RETRY_DELAY },
                }
            }
            ProposalFailure::Unknown => CallError::Unknown,
        };
        match waiting {
            Some(PendingProposal::Change(_, reply)) => {
                let _ = reply.send(Err(failure));
            }
            Some(PendingProposal::Claim(_, reply)) => {
                let _ = reply.send(Err(failure));
            }
            Some(
                PendingProposal::Schedule | PendingProposal::Reports | PendingProposal::Retention,
            )
            | None => {}
        }
    }

    /// Removes and returns a read that is ready or has failed.
    pub fn take_read(&mut self, read: ReadId) -> Option<PendingRead> {
        self.reads.remove(&read)
    }

    /// Returns `true` while another call with the command of `waiting` is pending.
    fn is_in_flight(&self, waiting: &PendingProposal) -> bool {
        self.proposals.values().any(|(_, other)| match (waiting, other) {
            (PendingProposal::Change(id, _), PendingProposal::Change(other, _)) => id == other,
            (PendingProposal::Claim(command, _), PendingProposal::Claim(other, _)) => {
                command == other
            }
            _ => false,
        })
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

/// Logs that the replicated log refused a proposal for lack of space, so that nothing was stored.
fn log_refused(waiting: &PendingProposal) {
    let proposal = match waiting {
        PendingProposal::Change(..) => "change",
        PendingProposal::Claim(..) => "claim",
        PendingProposal::Schedule | PendingProposal::Reports => "lease_commands",
        PendingProposal::Retention => "removal",
    };
    log::warn!(
        event = "proposal_refused", proposal = proposal, cause = "no_space";
        "the {proposal} was not stored: the disks of a quorum are full or nearly full, or too much \
         waits to be written to them"
    );
}

/// Returns the error that refers the caller to the leader.
pub fn not_leader(leader_address: Option<SocketAddr>) -> CallError {
    CallError::NotLeader { leader_address }
}
