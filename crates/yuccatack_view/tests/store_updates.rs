//! Views of nodes that follow the record store.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::sync::Arc;

use support::at;
use yuccatack_core::prelude::*;
use yuccatack_records::{Change, ChangeOutcome, Operation, RecordKind, RecordStore};
use yuccatack_view::{
    NodeIdentity, NodeRole, PublishedRecord, PublisherState, RecordKey, RecordUpdate,
    SubscriberState,
};

/// Step of the test: operation, replaced generation, kind, name and the other keys of the document.
type Step = (Operation, u64, RecordKind, &'static str, &'static str);

const STEPS: [Step; 7] = [
    (Operation::Submit, 0, RecordKind::Organisation, "tri", r#""gpu_quota":8"#),
    (Operation::Submit, 0, RecordKind::Service, "rank", r#""slots":4"#),
    (
        Operation::Submit,
        0,
        RecordKind::Job,
        "j",
        r#""organisation":"tri","gpus":1,"run_time_minutes":1"#,
    ),
    (Operation::Change, 1, RecordKind::Organisation, "tri", r#""gpu_quota":16"#),
    (Operation::Withdraw, 1, RecordKind::Service, "rank", r#""slots":4"#),
    (Operation::Withdraw, 1, RecordKind::Job, "j", r#""gpus":1"#),
    (Operation::Submit, 2, RecordKind::Service, "rank", r#""slots":2"#),
];

fn apply(store: &mut RecordStore, index: usize) -> RecordKey {
    let (operation, replaced_generation, kind, name, keys) = STEPS[index];
    let document = format!(r#"{{"schema_version":1,"kind":"{kind}","name":"{name}",{keys}}}"#);
    let change = Change {
        change_id: ChangeId::new(&format!("step-{index}")),
        operation,
        replaces_generation: Generation::new(replaced_generation),
        document: Arc::from(document),
    };
    let outcome = store.apply(&change, at(1));
    assert!(matches!(outcome, ChangeOutcome::Accepted { .. }), "{outcome:?}");
    RecordKey { kind, name: RecordName::new(name).unwrap() }
}

fn node(name: &str) -> SubscriberState {
    SubscriberState::new(NodeIdentity {
        node: NodeName::new(name).unwrap(),
        incarnation: Incarnation::new(1),
        role: NodeRole::Entry,
        data_centre: DataCentreName::new("desaru").unwrap(),
    })
}

/// Asserts that the view contains the records of the store except jobs, which are not published.
fn assert_view_matches(node: &SubscriberState, store: &RecordStore) {
    let view = node.view();
    assert_eq!(view.revision, store.revision());
    let published = store.iter().filter(|(key, _)| key.kind != RecordKind::Job);
    let expected: Vec<_> = published.map(|(key, stored)| (key, &*stored.record)).collect();
    let held: Vec<_> = view.records.iter().map(|(key, entry)| (key, &entry.record)).collect();
    assert_eq!(held, expected);
}

/// Guards against a change or withdrawal that a node misses and against a job that is published,
/// through deltas as well as through a snapshot.
#[test]
fn view_follows_the_store() {
    let mut store = RecordStore::default();
    let mut publisher = PublisherState::default();
    publisher.become_leader(at(0));
    publisher.open(1, at(0)).unwrap();
    let mut follower = node("follower");
    publisher.handle_report(1, &follower.next_report(None, at(0)), at(0));
    for index in 0..STEPS.len() {
        let key = apply(&mut store, index);
        publisher.publish(RecordUpdate::from_last_change(&store, &key), at(2));
        let update = publisher.next_update(1, at(2)).unwrap();
        follower.apply(update, at(2)).unwrap();
        assert_view_matches(&follower, &store);
    }
    let records = store.iter().map(PublishedRecord::from).collect();
    publisher.reset(store.revision(), records, at(3));
    publisher.open(2, at(3)).unwrap();
    let mut new_node = node("newcomer");
    publisher.handle_report(2, &new_node.next_report(None, at(3)), at(3));
    new_node.apply(publisher.next_update(2, at(3)).unwrap(), at(3)).unwrap();
    assert_view_matches(&new_node, &store);
}
