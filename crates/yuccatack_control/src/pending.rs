//! Calls that wait for the replicated log.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use yuccatack_core::prelude::*;
use yuccatack_records::ChangeOutcome;
use yuccatack_replication::{ProposalFailure, ProposalId, ReadId};
use yuccatack_requests::claims::ClaimOutcome;

use crate::error::ControlFailure;
use crate::message::{Query, QueryAnswer, Reply};
use crate::state::ControlOutcome;

/// What waits for a proposal.
#[derive(Debug)]
pub enum PendingProposal {
    /// An operator.
    Change(Reply<ChangeOutcome>),
    /// An entry.
    Claim(Reply<ClaimOutcome>),
    /// The scheduler; no further decisions are proposed until these are applied.
    Schedule,
    /// Reports of workers; nobody waits for them.
    Reports,
    /// The withdrawal of a forgotten job; nobody waits for it.
    Retention,
}

/// What waits for a read of the newest committed state.
#[derive(Debug)]
pub enum PendingRead {
    /// An operator.
    Query(Query, Reply<QueryAnswer>),
    /// The publisher, which tells the nodes that this replica led at that time.
    LeadershipCheck(Instant),
}

/// Numbers proposals and reads and keeps who waits for them.
#[derive(Debug, Default)]
pub struct Pending {
    last_number: u64,
    proposals: FastHashMap<ProposalId, (Instant, PendingProposal)>,
    reads: FastHashMap<ReadId, PendingRead>,
}

impl Pending {
    /// Registers a proposal.
    pub fn add_proposal(&mut self, waiting: PendingProposal) -> ProposalId {
        let proposal = ProposalId::new(self.next_number());
        self.proposals.insert(proposal, (Instant::now(), waiting));
        proposal
    }

    /// Registers a read.
    pub fn add_read(&mut self, waiting: PendingRead) -> ReadId {
        let read = ReadId::new(self.next_number());
        self.reads.insert(read, waiting);
        read
    }

    /// The calls that wait now.
    pub fn count(&self) -> usize {
        self.proposals.len() + self.reads.len()
    }

    /// Whether decisions of the scheduler are on their way.
    pub fn is_scheduling(&self) -> bool {
        self.proposals.values().any(|(_, waiting)| matches!(waiting, PendingProposal::Schedule))
    }

    /// Answers the call behind an applied proposal and tells how long it took.
    pub fn complete(&mut self, proposal: ProposalId, outcome: ControlOutcome) -> Option<Duration> {
        let (proposed_at, waiting) = self.proposals.remove(&proposal)?;
        // A caller that gave up has dropped its end; its resend finds the applied command.
        match (waiting, outcome) {
            (PendingProposal::Change(reply), ControlOutcome::Change(outcome)) => {
                let _ = reply.send(Ok(outcome));
            }
            (PendingProposal::Claim(reply), ControlOutcome::Claim(outcome)) => {
                let _ = reply.send(Ok(outcome));
            }
            (PendingProposal::Schedule | PendingProposal::Reports, ControlOutcome::Leases(_))
            | (PendingProposal::Retention, ControlOutcome::Change(_)) => {}
            (waiting, outcome) => {
                log::error!(
                    event = "proposal_mismatch";
                    "proposal {proposal} gave {outcome:?} to {waiting:?}; report this as a defect"
                );
            }
        }
        Some(proposed_at.elapsed())
    }

    /// Tells the call behind a failed proposal.
    pub fn fail(&mut self, proposal: ProposalId, failure: ProposalFailure) {
        let failure = match failure {
            ProposalFailure::NotLeader { leader_address } => not_leader(leader_address),
            ProposalFailure::Unknown => ControlFailure::Unknown,
        };
        match self.proposals.remove(&proposal).map(|(_, waiting)| waiting) {
            Some(PendingProposal::Change(reply)) => {
                let _ = reply.send(Err(failure));
            }
            Some(PendingProposal::Claim(reply)) => {
                let _ = reply.send(Err(failure));
            }
            Some(
                PendingProposal::Schedule | PendingProposal::Reports | PendingProposal::Retention,
            )
            | None => {}
        }
    }

    /// Takes a read that can be answered now or has failed.
    pub fn take_read(&mut self, read: ReadId) -> Option<PendingRead> {
        self.reads.remove(&read)
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

/// The failure that points to the leader.
pub fn not_leader(leader_address: Option<SocketAddr>) -> ControlFailure {
    ControlFailure::NotLeader { leader_address }
}
