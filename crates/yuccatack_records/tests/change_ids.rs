//! Change ids and generations: a change is applied once, and its first answer is repeated.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{NOW, accepted, change, key, organisation, refused, store_with_organisation};
use yuccatack_core::prelude::*;
use yuccatack_records::{
    ChangeOutcome, MAX_RETAINED_AGE, MAX_RETAINED_CHANGE_COUNT, MAX_RETAINED_MESSAGE_BYTES,
    Operation, RecordKind, RecordStore, Refusal, RefusalKind,
};

/// Guards against a second application, or a conflict, after a lost answer.
#[test]
fn resend_gets_first_answer() {
    let mut store = store_with_organisation("tri");
    let bigger = change("a", Operation::Change, 1, &organisation("tri", 16));
    let first = store.apply(&bigger, NOW);
    assert_eq!(accepted(&first), (2, 2));
    let other = change("b", Operation::Change, 2, &organisation("tri", 24));
    assert_eq!(accepted(&store.apply(&other, NOW)), (3, 3));
    assert_eq!(store.apply(&bigger, NOW), first);
    assert_eq!(store.revision(), Revision::new(3));
}

/// Guards against a refusal that turns into an acceptance when it is asked for again.
#[test]
fn refusal_is_repeated() {
    let mut store = RecordStore::default();
    let early = change("a", Operation::Change, 0, &organisation("tri", 16));
    let first = store.apply(&early, NOW);
    assert_eq!(refused(&first), (RefusalKind::NotFound, 0));
    accepted(&store.apply(&change("b", Operation::Submit, 0, &organisation("tri", 1)), NOW));
    assert_eq!(store.apply(&early, NOW), first);
}

/// Guards against an id that hides a different change.
#[test]
fn reused_id_is_refused() {
    let mut store = store_with_organisation("tri");
    let other = change("first", Operation::Submit, 0, &organisation("other", 1));
    assert_eq!(refused(&store.apply(&other, NOW)), (RefusalKind::ChangeIdReused, 0));
    assert!(store.get(&key(RecordKind::Organisation, "other")).is_none());
}

/// Guards against one operator overwriting another unseen.
#[test]
fn equal_generations_conflict() {
    let mut store = store_with_organisation("tri");
    let left = change("left", Operation::Change, 1, &organisation("tri", 2));
    let right = change("right", Operation::Change, 1, &organisation("tri", 3));
    assert_eq!(accepted(&store.apply(&left, NOW)), (2, 2));
    assert_eq!(refused(&store.apply(&right, NOW)), (RefusalKind::Conflict, 2));
    let again = change("again", Operation::Submit, 0, &organisation("tri", 3));
    assert_eq!(refused(&store.apply(&again, NOW)), (RefusalKind::Duplicate, 2));
}

/// Guards against generations that start again after a withdrawal.
#[test]
fn generations_outlive_withdrawal() {
    let mut store = store_with_organisation("tri");
    let document = organisation("tri", 8);
    let withdraw = change("w", Operation::Withdraw, 1, &document);
    assert_eq!(accepted(&store.apply(&withdraw, NOW)), (2, 2));
    let blind = change("blind", Operation::Submit, 0, &document);
    assert_eq!(refused(&store.apply(&blind, NOW)), (RefusalKind::Conflict, 2));
    let again = change("again", Operation::Submit, 2, &document);
    assert_eq!(accepted(&store.apply(&again, NOW)), (3, 3));
}

/// Guards against memory that grows without bound.
#[test]
fn memory_is_bounded() {
    let mut store = store_with_organisation("tri");
    for index in 0..MAX_RETAINED_CHANGE_COUNT + 10 {
        let change = change(&format!("c{index}"), Operation::Withdraw, 9, &organisation("x", 1));
        store.apply(&change, NOW);
    }
    assert_eq!(store.retained_change_count(), MAX_RETAINED_CHANGE_COUNT);
}

/// Guards against refusals with long messages that fill the memory of every replica.
#[test]
fn refusal_memory_is_bounded() {
    let mut store = store_with_organisation("tri");
    let refusal = Refusal::new(RefusalKind::JobCanNeverRun, &"x".repeat(100_000));
    let bytes_each = refusal.message.len() as u64;
    let outcome = ChangeOutcome::Refused(refusal);
    for index in 0..10_000 {
        let change = change(&format!("c{index}"), Operation::Withdraw, 9, &organisation("x", 1));
        store.retain_outcome(&change, &outcome, NOW);
    }
    let remembered = store.retained_change_count() as u64;
    assert!(remembered * bytes_each <= MAX_RETAINED_MESSAGE_BYTES, "{remembered}");
    assert!((remembered + 2) * bytes_each > MAX_RETAINED_MESSAGE_BYTES, "{remembered}");
}

/// Guards against a submission, change or withdrawal that is applied again once its id is
/// forgotten, also after the name was withdrawn.
#[test]
fn forgotten_change_is_refused() {
    let mut store = RecordStore::default();
    let document = organisation("tri", 8);
    let changes = [
        change("submit", Operation::Submit, 0, &document),
        change("change", Operation::Change, 1, &organisation("tri", 9)),
        change("withdraw", Operation::Withdraw, 2, &document),
    ];
    for change in &changes {
        accepted(&store.apply(change, NOW));
    }
    let later = NOW + MAX_RETAINED_AGE + DurationMs::new(1);
    accepted(&store.apply(&change("o", Operation::Submit, 0, &organisation("o", 1)), later));
    assert_eq!(store.retained_change_count(), 1);
    for change in &changes {
        refused(&store.apply(change, later));
    }
    assert!(store.get(&key(RecordKind::Organisation, "tri")).is_none());
    assert_eq!(store.revision(), Revision::new(4));
}

/// Guards against a record that refers to nothing, and against a target that disappears.
#[test]
fn references_are_checked() {
    let mut store = store_with_organisation("tri");
    let job = |organisation: &str| {
        format!(
            r#"{{"schema_version":1,"kind":"job","name":"j","organisation":"{organisation}","gpus":1,"run_time_minutes":1}}"#
        )
    };
    let unknown = store.apply(&change("a", Operation::Submit, 0, &job("nobody")), NOW);
    assert_eq!(refused(&unknown), (RefusalKind::UnknownOrganisation, 0));
    accepted(&store.apply(&change("b", Operation::Submit, 0, &job("tri")), NOW));
    let withdraw = change("c", Operation::Withdraw, 1, &organisation("tri", 8));
    assert_eq!(refused(&store.apply(&withdraw, NOW)), (RefusalKind::InUse, 0));
}

/// Guards against a commit that rests on a check of an older state.
#[test]
fn commit_needs_the_checked_state() {
    let mut store = store_with_organisation("tri");
    let left = change("left", Operation::Change, 1, &organisation("tri", 2));
    let right = change("right", Operation::Change, 1, &organisation("tri", 3));
    let validated = store.validate(&left, NOW).unwrap();
    accepted(&store.apply(&right, NOW));
    assert_eq!(refused(&store.commit(validated, NOW)), (RefusalKind::Superseded, 0));
}
