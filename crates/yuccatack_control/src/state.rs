//! The replicated state: records, leases and claims, changed by one sequence of commands.

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;
use yuccatack_leases::{LeaseCommand, LeaseEvent, LeaseTable};
use yuccatack_records::{
    Change, ChangeOutcome, Operation, Record, RecordStore, Refusal, RefusalKind, ValidatedChange,
};
use yuccatack_replication::ProposalClass;
use yuccatack_requests::claims::{ClaimCommand, ClaimLimits, ClaimOutcome, ClaimTable};

use crate::specs;

/// A command of the replicated log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Changes a record for an operator.
    Change {
        /// Change to validate and apply.
        change: Change,
        /// The leader's wall clock when it logged the command.
        now: TimestampMs,
    },
    /// Applies the leader's decisions about jobs and workers.
    Leases {
        /// Commands in the order in which they are applied.
        commands: Vec<LeaseCommand>,
    },
    /// Claims or settles an idempotency key.
    Claim {
        /// Claim or settlement to apply.
        command: ClaimCommand,
        /// The leader's wall clock when it logged the command.
        now: TimestampMs,
    },
}

/// Result of a [`ControlCommand`].
#[derive(Clone, Debug)]
pub enum ControlOutcome {
    /// Result of [`ControlCommand::Change`]: accepted or refused.
    Change(ChangeOutcome),
    /// Events that the lease commands caused.
    Leases(Vec<LeaseEvent>),
    /// Result of [`ControlCommand::Claim`]: granted, existing, refused or settled.
    Claim(ClaimOutcome),
}

/// The whole replicated state. The same sequence of commands gives the same state on every replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControlState {
    records: RecordStore,
    leases: LeaseTable,
    claims: ClaimTable,
}

impl ControlState {
    /// Creates an empty state.
    pub fn new(claim_limits: ClaimLimits) -> Self {
        Self {
            records: RecordStore::default(),
            leases: LeaseTable::default(),
            claims: ClaimTable::new(claim_limits),
        }
    }

    /// Returns the records that operators have submitted.
    pub const fn records(&self) -> &RecordStore {
        &self.records
    }

    /// Returns the table of jobs, guarantees and workers.
    pub const fn leases(&self) -> &LeaseTable {
        &self.leases
    }

    /// Returns the claims of idempotency keys.
    pub const fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// Returns the class by which the replicated log refuses the command while disks are full.
    pub fn class_of(&self, command: &ControlCommand) -> ProposalClass {
        match command {
            // A resent change gets its first outcome again and adds nothing.
            ControlCommand::Change { change, .. }
                if self.records.change(&change.change_id).is_some() =>
            {
                ProposalClass::Essential
            }
            ControlCommand::Change { change, .. } => match change.operation {
                Operation::Submit | Operation::Change => ProposalClass::Growth,
                Operation::Withdraw => ProposalClass::Essential,
            },
            ControlCommand::Claim { command, .. } => match command {
                ClaimCommand::Claim { .. } => ProposalClass::Growth,
                ClaimCommand::Settle { .. } => ProposalClass::Essential,
            },
            // Reports of workers and decisions about jobs that are stored already.
            ControlCommand::Leases { .. } => ProposalClass::Essential,
        }
    }

    /// Applies one command and returns its result.
    pub fn apply(&mut self, command: ControlCommand) -> ControlOutcome {
        match command {
            ControlCommand::Change { change, now } => {
                ControlOutcome::Change(self.apply_change(&change, now))
            }
            ControlCommand::Leases { commands } => {
                let events = commands.into_iter().flat_map(|command| self.leases.apply(command));
                ControlOutcome::Leases(events.collect())
            }
            ControlCommand::Claim { command, now } => {
                ControlOutcome::Claim(self.claims.apply(command, now))
            }
        }
    }

    fn apply_change(&mut self, change: &Change, now: TimestampMs) -> ChangeOutcome {
        let validation = self.records.validate(change, now).and_then(|validated| {
            let commands = self.lease_commands(&validated, now).map_err(ChangeOutcome::Refused)?;
            Ok((validated, commands))
        });
        match validation {
            Ok((validated, commands)) => {
                let outcome = self.records.commit(validated, now);
                for command in commands {
                    self.leases.apply(command);
                }
                outcome
            }
            Err(outcome) => {
                self.records.retain_outcome(change, &outcome, now);
                outcome
            }
        }
    }

    /// Returns the lease commands that follow from a change of a record, or the reason to refuse
    /// the change.
    fn lease_commands(
        &self,
        validated: &ValidatedChange,
        now: TimestampMs,
    ) -> Result<Vec<LeaseCommand>, Refusal> {
        let Some(record) = validated.record() else {
            return Ok(specs::withdrawal(validated.key(), now).into_iter().collect());
        };
        match record.as_ref() {
            Record::Job(job) => {
                if validated.change().operation == Operation::Change {
                    let message = "a submitted job cannot be changed; withdraw it and submit \
                                   another one under a new name";
                    return Err(Refusal::new(RefusalKind::InvalidChange, message));
                }
                let spec = specs::job(job);
                self.leases.check_job(&spec).map_err(|refusal| {
                    Refusal::new(RefusalKind::JobCanNeverRun, &refusal.to_string())
                })?;
                Ok(vec![LeaseCommand::SubmitJob { job: spec, at: now }])
            }
            Record::Guarantee(guarantee) => {
                let spec = specs::guarantee(guarantee);
                self.leases.check_guarantee(&spec).map_err(|refusal| {
                    Refusal::new(RefusalKind::GuaranteeDoesNotFit, &refusal.to_string())
                })?;
                Ok(vec![LeaseCommand::SetGuarantee(spec)])
            }
            Record::Organisation(organisation) => {
                Ok(vec![LeaseCommand::SetQuota(specs::quota(organisation))])
            }
            Record::Policy(policy) => Ok(vec![LeaseCommand::SetPolicy(specs::policy(policy))]),
            Record::Service(_) | Record::Objective(_) | Record::Membership(_) => Ok(Vec::new()),
        }
    }
}
