//! Claim table: grants, expiry, limits and the key format.

#![allow(clippy::unwrap_used, missing_docs)]

use yuccatack_core::prelude::*;
use yuccatack_requests::claims::{
    ClaimCommand, ClaimLimits, ClaimOutcome, ClaimRefusal, ClaimState, ClaimTable, ClaimedAttempt,
    ContentDigest, IdempotencyKey,
};

const NOW: TimestampMs = TimestampMs::new(1_767_225_600_000);
const LIMITS: ClaimLimits =
    ClaimLimits { age: DurationMs::new(10_000), count: 3, clock_skew: DurationMs::new(1_000) };

fn attempt(number: u8) -> ClaimedAttempt {
    ClaimedAttempt {
        attempt: AttemptId::new([number; 16]),
        node: NodeName::new("agent-1").unwrap(),
        incarnation: Incarnation::new(7),
        address: ([127, 0, 0, 1], 9000).into(),
    }
}

fn claim(key: &str, content: &str, number: u8) -> ClaimCommand {
    ClaimCommand::Claim {
        organisation: OrganisationName::new("lender").unwrap(),
        key: IdempotencyKey::new(key).unwrap(),
        content: ContentDigest::of(&[content.as_bytes()]),
        attempt: attempt(number),
    }
}

fn settle(key: &str, number: u8, state: ClaimState) -> ClaimCommand {
    ClaimCommand::Settle {
        organisation: OrganisationName::new("lender").unwrap(),
        key: IdempotencyKey::new(key).unwrap(),
        attempt: attempt(number).attempt,
        state,
    }
}

fn key(offset_ms: i64, text: &str) -> String {
    format!("{}-{text}", NOW.get().saturating_add_signed(offset_ms))
}

/// Guards against granting a key to two attempts, and against a key that stays blocked after its
/// attempt was released.
#[test]
fn one_holder() {
    let mut table = ClaimTable::new(LIMITS);
    let key = key(0, "a");
    let existing = |state| ClaimOutcome::Existing { attempt: attempt(1), state };
    let steps = [
        (claim(&key, "x", 1), ClaimOutcome::Granted),
        (claim(&key, "x", 1), existing(ClaimState::Dispatched)),
        (claim(&key, "x", 2), existing(ClaimState::Dispatched)),
        (claim(&key, "y", 2), ClaimOutcome::Refused(ClaimRefusal::KeyReused)),
        (settle(&key, 2, ClaimState::Released), ClaimOutcome::Settled(false)),
        (settle(&key, 1, ClaimState::Released), ClaimOutcome::Settled(true)),
        (settle(&key, 1, ClaimState::Released), ClaimOutcome::Settled(true)),
        (settle(&key, 1, ClaimState::Completed), ClaimOutcome::Settled(false)),
        (claim(&key, "x", 1), existing(ClaimState::Released)),
        (claim(&key, "x", 2), ClaimOutcome::Granted),
        (settle(&key, 1, ClaimState::Released), ClaimOutcome::Settled(false)),
        (settle(&key, 2, ClaimState::Completed), ClaimOutcome::Settled(true)),
        (settle(&key, 2, ClaimState::Released), ClaimOutcome::Settled(false)),
    ];
    for (index, (command, outcome)) in steps.into_iter().enumerate() {
        assert_eq!(table.apply(command, NOW), outcome, "step {index}");
    }
}

/// Guards against a second run of an old key after its claim has expired, including the case in
/// which a later leader's clock is behind.
#[test]
fn old_keys() {
    let mut table = ClaimTable::new(LIMITS);
    let first = key(0, "a");
    assert_eq!(table.apply(claim(&first, "x", 1), NOW), ClaimOutcome::Granted);
    let later = NOW + DurationMs::new(10_001);
    let too_old = ClaimOutcome::Refused(ClaimRefusal::KeyTooOld);
    assert_eq!(table.apply(claim(&first, "x", 2), later), too_old);
    assert!(table.is_empty());
    assert_eq!(table.apply(claim(&first, "x", 3), NOW), too_old);
    let future = claim(&key(20_000, "b"), "x", 4);
    assert_eq!(table.apply(future, later), ClaimOutcome::Refused(ClaimRefusal::KeyFromFuture));
}

/// Guards against a table that grows beyond its limit, and against a refusal without a correct
/// retry delay.
#[test]
fn full_table() {
    let mut table = ClaimTable::new(LIMITS);
    for (number, offset_ms) in [-4_000, -2_000, 0].into_iter().enumerate() {
        let command = claim(&key(offset_ms, "a"), "x", number as u8);
        assert_eq!(table.apply(command, NOW), ClaimOutcome::Granted);
    }
    let full = ClaimRefusal::TableFull { retry_after_ms: 6_000 };
    let command = claim(&key(0, "b"), "x", 9);
    assert_eq!(table.apply(command.clone(), NOW), ClaimOutcome::Refused(full));
    assert_eq!(table.apply(command, NOW + DurationMs::new(6_001)), ClaimOutcome::Granted);
    assert_eq!(table.len(), 3);
}

/// Guards against accepting keys without a valid issue time, without text after it, with other than
/// visible ASCII characters, or above the length limit.
#[test]
fn key_form() {
    for text in ["", "-", "5", "5-", "-a", "a-b", "5 -a", "99999999999999999999999-a", "5-ä"] {
        assert!(IdempotencyKey::new(text).is_err(), "{text}");
    }
    assert!(IdempotencyKey::new(&format!("5-{}", "a".repeat(127))).is_err());
    assert_eq!(IdempotencyKey::new("5-a-b").unwrap().issued_at(), TimestampMs::new(5));
}
