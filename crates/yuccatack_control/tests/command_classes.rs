//! Guards against commands that add to the state while disks are full, and against withdrawals,
//! settlements and ends that are refused although they free space.

#![allow(clippy::unwrap_used, missing_docs)]

use yuccatack_control::state::{ControlCommand, ControlState};
use yuccatack_core::prelude::*;
use yuccatack_records::{Change, Operation};
use yuccatack_replication::ProposalClass;
use yuccatack_requests::claims::{ClaimCommand, ClaimLimits, ClaimState, IdempotencyKey};

const NOW: TimestampMs = TimestampMs::new(1_700_000_000_000);

fn state() -> ControlState {
    ControlState::new(ClaimLimits::default())
}

fn change(operation: Operation) -> ControlCommand {
    let change = Change {
        change_id: ChangeId::new("change"),
        operation,
        replaces_generation: Generation::default(),
        document: "{}".into(),
    };
    ControlCommand::Change { change, now: NOW }
}

fn change_class(operation: Operation) -> ProposalClass {
    state().class_of(&change(operation))
}

#[test]
fn additions_are_growth() {
    assert_eq!(change_class(Operation::Submit), ProposalClass::Growth);
    assert_eq!(change_class(Operation::Change), ProposalClass::Growth);
}

#[test]
fn resent_change_answered() {
    // A refusal as not stored would be wrong for a change that was accepted before.
    let mut state = state();
    let command = change(Operation::Submit);
    state.apply(command.clone());
    assert_eq!(state.class_of(&command), ProposalClass::Essential);
}

#[test]
fn ends_are_essential() {
    assert_eq!(change_class(Operation::Withdraw), ProposalClass::Essential);
    let command = ControlCommand::Leases { commands: Vec::new() };
    assert_eq!(state().class_of(&command), ProposalClass::Essential);
    let command = ClaimCommand::Settle {
        organisation: OrganisationName::new("selangor").unwrap(),
        key: IdempotencyKey::new("1700000000000-key").unwrap(),
        attempt: AttemptId::new([1; 16]),
        state: ClaimState::Completed,
    };
    let command = ControlCommand::Claim { command, now: NOW };
    assert_eq!(state().class_of(&command), ProposalClass::Essential);
}
