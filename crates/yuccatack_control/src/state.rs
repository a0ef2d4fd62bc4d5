//! The replicated state: records, leases and claims behind one order of commands.

use serde::{Deserialize, Serialize};
use yuccatack_core::prelude::*;
use yuccatack_leases::{LeaseCommand, LeaseEvent, LeaseTable};
use yuccatack_records::{
    Change, ChangeOutcome, Operation, Record, RecordStore, Refusal, RefusalKind, ValidatedChange,
};
use yuccatack_requests::claims::{ClaimCommand, ClaimLimits, ClaimOutcome, ClaimTable};

use crate::specs;

/// A logged command.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ControlCommand {
    /// An operator's change of a record.
    Change {
        /// The change.
        change: Change,
        /// The leader's wall clock when it logged the command.
        now: TimestampMs,
    },
    /// What the leader decided about jobs and workers.
    Leases {
        /// The commands in order.
        commands: Vec<LeaseCommand>,
    },
    /// A claim of a caller key or its settlement.
    Claim {
        /// The command.
        command: ClaimCommand,
        /// The leader's wall clock when it logged the command.
        now: TimestampMs,
    },
}

/// The result of a command.
#[derive(Clone, Debug)]
pub enum ControlOutcome {
    /// What became of a change.
    Change(ChangeOutcome),
    /// What happened to jobs and workers.
    Leases(Vec<LeaseEvent>),
    /// The answer to a claim.
    Claim(ClaimOutcome),
}

/// The whole replicated state. Equal commands in equal order give equal states on every replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ControlState {
    records: RecordStore,
    leases: LeaseTable,
    claims: ClaimTable,
}

impl ControlState {
    /// An empty state.
    pub fn new(claim_limits: ClaimLimits) -> Self {
        Self {
            records: RecordStore::default(),
            leases: LeaseTable::default(),
            claims: ClaimTable::new(claim_limits),
        }
    }

    /// The records.
    pub const fn records(&self) -> &RecordStore {
        &self.records
    }

    /// Jobs, gangs and workers.
    pub const fn leases(&self) -> &LeaseTable {
        &self.leases
    }

    /// The claims of caller keys.
    pub const fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// Applies one command.
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
        let checked = self.records.validate(change, now).and_then(|validated| {
            let commands = self.lease_commands(&validated, now).map_err(ChangeOutcome::Refused)?;
            Ok((validated, commands))
        });
        match checked {
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

    /// What a change of records means for jobs, guarantees and quotas, or why it cannot be kept.
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
