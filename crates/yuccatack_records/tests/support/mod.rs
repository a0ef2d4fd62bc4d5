//! Builders of changes and stores, and unwrapping of outcomes.
#![allow(dead_code, clippy::unwrap_used, missing_docs)]

pub mod seeds;

use std::sync::Arc;

use yuccatack_core::prelude::*;
use yuccatack_records::{
    Change, ChangeOutcome, Operation, RecordKey, RecordKind, RecordStore, RefusalKind,
};

pub const NOW: TimestampMs = TimestampMs::new(1_000_000);

pub fn change(change_id: &str, operation: Operation, replaces: u64, document: &str) -> Change {
    Change {
        change_id: ChangeId::new(change_id),
        operation,
        replaces_generation: Generation::new(replaces),
        document: Arc::from(document),
    }
}

pub fn organisation(name: &str, quota: u32) -> String {
    format!(
        r#"{{"schema_version":2,"kind":"organisation","name":"{name}","accelerator_quota_count":{quota}}}"#
    )
}

pub fn key(kind: RecordKind, name: &str) -> RecordKey {
    RecordKey { kind, name: RecordName::new(name).unwrap() }
}

pub fn accepted(outcome: &ChangeOutcome) -> (u64, u64) {
    match outcome {
        ChangeOutcome::Accepted { generation, revision } => (generation.get(), revision.get()),
        ChangeOutcome::Refused(refusal) => panic!("refused: {refusal:?}"),
    }
}

pub fn refused(outcome: &ChangeOutcome) -> (RefusalKind, u64) {
    match outcome {
        ChangeOutcome::Refused(refusal) => (refusal.kind, refusal.current_generation.get()),
        accepted @ ChangeOutcome::Accepted { .. } => panic!("accepted: {accepted:?}"),
    }
}

pub fn store_with_organisation(name: &str) -> RecordStore {
    let mut store = RecordStore::default();
    let submit = change("first", Operation::Submit, 0, &organisation(name, 8));
    accepted(&store.apply(&submit, NOW));
    store
}
