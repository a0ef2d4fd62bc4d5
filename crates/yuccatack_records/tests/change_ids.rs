//! Change ids and generations: a change is applied once, and a resend gets the first outcome.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{NOW, accepted, change, key, organisation, refused, store_with_organisation};
use yuccatack_core::prelude::*;
use yuccatack_records::{
    ChangeOutcome, MAX_RETAINED_AGE, MAX_RETAINED_CHANGE_COUNT, MAX_RETAINED_MESSAGE_BYTES,
    Operation, RecordKind, RecordStore, Refusal, RefusalKind,
};

/// Guards against a change that is applied twice, or refused as a conflict, when the operator
/// resends it after a lost response.
#[test]
fn resend_gets_first_outcome() {
    let mut store = store_with_organisation("tri");
    let first_change = change("a", Operation::Change, 1, &organisation("tri", 16));
    let first = store.apply(&first_change, NOW);
    assert_eq!(accepted(&first), (2, 2));
    let other = change("b", Operation::Change, 2, &organisation("tri", 24));
    assert_eq!(accepted(&store.apply(&other, NOW)), (3, 3));
    assert_eq!(store.apply(&first_change, NOW), first);
    assert_eq!(store.revision(), Revision::new(3));
}

/// Guards against a refused change that is accepted on a resend, because the record that it lacked
/// was submitted in between.
#[test]
fn refusal_is_repeated() {
    let mut store = RecordStore::default();
    let premature = change("a", Operation::Change, 0, &organisation("tri", 16));
    let first = store.apply(&premature, NOW);
    assert_eq!(refused(&first), (RefusalKind::NotFound, 0));
    accepted(&store.apply(&change("b", Operation::Submit, 0, &organisation("tri", 1)), NOW));
    assert_eq!(store.apply(&premature, NOW), first);
}

/// Guards against a reused change id whose new content is ignored and answered with the old
/// outcome.
#[test]
fn reused_id_is_refused() {
    let mut store = store_with_organisation("tri");
    let other = change("first", Operation::Submit, 0, &organisation("other", 1));
    assert_eq!(refused(&store.apply(&other, NOW)), (RefusalKind::ChangeIdReused, 0));
    assert!(store.get(&key(RecordKind::Organisation, "other")).is_none());
}

/// Guards against a lost update: two operators read the same generation and both replace it.
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

/// Guards against generations that restart after a withdrawal, so that a stale submission is
/// accepted.
#[test]
fn generations_outlive_withdrawal() {
    let mut store = store_with_organisation("tri");
    let document = organisation("tri", 8);
    let withdraw = change("w", Operation::Withdraw, 1, &document);
    assert_eq!(accepted(&store.apply(&withdraw, NOW)), (2, 2));
    let stale = change("blind", Operation::Submit, 0, &document);
    assert_eq!(refused(&store.apply(&stale, NOW)), (RefusalKind::Conflict, 2));
    let again = change("again", Operation::Submit, 2, &document);
    assert_eq!(accepted(&store.apply(&again, NOW)), (3, 3));
}

/// Guards against a history that grows without bound with the number of changes.
#[test]
fn history_is_bounded() {
    let mut store = store_with_organisation("tri");
    for index in 0..MAX_RETAINED_CHANGE_COUNT + 10 {
        let change = change(&format!("c{index}"), Operation::Withdraw, 9, &organisation("x", 1));
        store.apply(&change, NOW);
    }
    assert_eq!(store.retained_change_count(), MAX_RETAINED_CHANGE_COUNT);
}

/// Guards against refusals with long messages that exhaust the memory of the replicas.
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
    let retained_count = store.retained_change_count() as u64;
    assert!(retained_count * bytes_each <= MAX_RETAINED_MESSAGE_BYTES, "{retained_count}");
    assert!((retained_count + 2) * bytes_each > MAX_RETAINED_MESSAGE_BYTES, "{retained_count}");
}

/// Guards against a submission, change or withdrawal that is applied twice because it is resent
/// after its id was evicted, also when the name has been withdrawn since.
#[test]
fn evicted_change_is_refused() {
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

/// Guards against dangling references: a record that refers to a missing one, and the withdrawal of
/// a record that others refer to.
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

/// Guards against a commit of a change that was validated against an older state of the store.
#[test]
fn commit_needs_the_validated_state() {
    let mut store = store_with_organisation("tri");
    let left = change("left", Operation::Change, 1, &organisation("tri", 2));
    let right = change("right", Operation::Change, 1, &organisation("tri", 3));
    let validated = store.validate(&left, NOW).unwrap();
    accepted(&store.apply(&right, NOW));
    assert_eq!(refused(&store.commit(validated, NOW)), (RefusalKind::Superseded, 0));
}
