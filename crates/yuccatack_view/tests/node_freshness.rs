//! When a node may start work, and which updates it refuses.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::sync::Arc;

use bytes::Bytes;
use support::{at, minion, organisation};
use yuccatack_core::prelude::*;
use yuccatack_view::limits::{FRESHNESS_DURATION, MINION_FRESHNESS_DURATION};
use yuccatack_view::{
    Delta, MinionEntry, MinionState, NodeIdentity, NodeRole, PublishedRecord, SubscriberState,
    Update, UpdateBody, UpdateError,
};

fn node() -> SubscriberState {
    SubscriberState::new(NodeIdentity {
        node: NodeName::new("entry-1").unwrap(),
        incarnation: Incarnation::new(1),
        role: NodeRole::Entry,
        data_centre: DataCentreName::new("desaru").unwrap(),
    })
}

fn snapshot(revision: u64, acknowledged_sequence: u64) -> Update {
    let records = organisation("tri", revision).changed.into_iter().map(Arc::new).collect();
    Update {
        revision: Revision::new(revision),
        acknowledged_sequence,
        oldest_minion_age: DurationMs::ZERO,
        body: Some(UpdateBody::Snapshot { records, minions: Vec::new() }),
    }
}

fn acknowledgement(revision: u64, acknowledged_sequence: u64) -> Update {
    Update { body: None, ..snapshot(revision, acknowledged_sequence) }
}

/// Guards against freshness that counts from the receipt of an acknowledgement.
#[test]
fn freshness_counts_from_sending() {
    let mut node = node();
    node.start_stream();
    assert_eq!(node.next_report(None, at(100)).sequence, 1);
    assert_eq!(node.next_report(None, at(600)).sequence, 2);
    node.apply(snapshot(5, 0), at(700)).unwrap();
    assert_eq!(node.fresh_until(), None, "nothing is acknowledged");
    node.apply(acknowledgement(5, 1), at(2_900)).unwrap();
    assert_eq!(node.fresh_until(), Some(at(100) + FRESHNESS_DURATION));
    node.apply(acknowledgement(5, 2), at(3_900)).unwrap();
    assert_eq!(node.fresh_until(), Some(at(600) + FRESHNESS_DURATION));
}

/// Guards against an acknowledgement of one leader that counts for a report to another.
#[test]
fn earlier_streams_do_not_count() {
    let mut node = node();
    node.start_stream();
    let sequence = node.next_report(None, at(100)).sequence;
    node.apply(snapshot(5, 0), at(200)).unwrap();
    node.start_stream();
    assert!(node.next_report(None, at(300)).sequence > sequence);
    node.apply(acknowledgement(5, sequence), at(400)).unwrap();
    assert_eq!(node.fresh_until(), None);
}

/// Guards against a node that goes back, by a snapshot, a difference or an acknowledgement.
#[test]
fn older_leader_is_refused() {
    let mut node = node();
    node.start_stream();
    node.next_report(None, at(100));
    node.apply(snapshot(5, 0), at(200)).unwrap();
    let (offered, applied) = (Revision::new(4), Revision::new(5));
    let error = Err(UpdateError::StaleLeader { offered, applied });
    assert_eq!(node.apply(snapshot(4, 1), at(300)), error);
    assert_eq!(node.apply(acknowledgement(4, 1), at(300)), error);
    assert_eq!(node.view().revision, applied);
    assert_eq!(node.fresh_until(), None);
}

/// Guards against changes that are skipped unseen.
#[test]
fn gap_is_refused() {
    let mut node = node();
    node.apply(snapshot(5, 0), at(200)).unwrap();
    let body = Delta { base_revision: Revision::new(6), ..Delta::default() };
    let update = Update { body: Some(UpdateBody::Delta(body)), ..snapshot(7, 0) };
    let (base, applied) = (Revision::new(6), Revision::new(5));
    assert_eq!(node.apply(update, at(300)), Err(UpdateError::RevisionGap { base, applied }));
    let base = Revision::new(6);
    let error = Err(UpdateError::RevisionGap { base, applied });
    assert_eq!(node.apply(acknowledgement(6, 0), at(300)), error);
    assert_eq!(node.view().revision, applied);
}

/// Guards against a node that confirms a record that it cannot read.
#[test]
fn unreadable_record_is_not_applied() {
    let mut node = node();
    node.start_stream();
    node.next_report(None, at(100));
    node.apply(snapshot(5, 0), at(200)).unwrap();
    let mut record: PublishedRecord = organisation("tri", 6).changed.remove(0);
    record.document = Bytes::from_static(br#"{"schema_version":3,"kind":"organisation"}"#);
    let body = UpdateBody::Snapshot { records: vec![Arc::new(record)], minions: Vec::new() };
    let error = node.apply(Update { body: Some(body), ..snapshot(6, 1) }, at(300)).unwrap_err();
    assert!(error.to_string().contains("upgrade this node"), "{error}");
    assert_eq!(node.view().revision.get(), 5);
    assert_eq!(node.fresh_until(), None);
    assert_eq!(node.next_report(None, at(400)).applied_revision.get(), 5);
}

fn listed(name: &str) -> Arc<MinionEntry> {
    Arc::new(MinionEntry {
        node: NodeName::new(name).unwrap(),
        incarnation: Incarnation::new(3),
        data_centre: DataCentreName::new("desaru").unwrap(),
        status: minion("m", MinionState::Ready, 0),
    })
}

/// Guards against minions that stay after their time, and against minions that are lost when a new
/// leader has not yet heard of them.
#[test]
fn minions_outlive_a_leader_for_their_time() {
    let mut node = node();
    node.start_stream();
    node.next_report(None, at(100));
    let minions = vec![listed("agent-1"), listed("agent-2")];
    let body = Some(UpdateBody::Snapshot { records: Vec::new(), minions });
    let oldest_minion_age = DurationMs::new(400);
    let update = Update { body, oldest_minion_age, ..snapshot(5, 1) };
    node.apply(update, at(200)).unwrap();
    let limit = at(100) + MINION_FRESHNESS_DURATION - oldest_minion_age;
    assert_eq!(node.view().minions.len(), 2);
    assert_eq!(node.fresh_until(), Some(limit), "not longer than a minion in the view");
    node.start_stream();
    node.next_report(None, at(1_000));
    let body = Some(UpdateBody::Snapshot { records: Vec::new(), minions: vec![listed("agent-2")] });
    node.apply(Update { body, ..snapshot(5, 2) }, at(1_100)).unwrap();
    assert_eq!(node.view().minions.len(), 2, "the new leader may not know agent-1 yet");
    assert!(!node.expire(limit - DurationMs::new(1)));
    assert!(node.expire(limit));
    let left: Vec<&str> = node.view().minions.keys().map(NodeName::as_str).collect();
    assert_eq!(left, ["agent-2"]);
}

/// Guards against a minion that stays in the view although the leader removed it.
#[test]
fn removed_minion_is_dropped_at_once() {
    let mut node = node();
    node.start_stream();
    node.next_report(None, at(100));
    let body = Some(UpdateBody::Snapshot { records: Vec::new(), minions: vec![listed("agent-1")] });
    node.apply(Update { body, ..snapshot(5, 1) }, at(200)).unwrap();
    let delta = Delta {
        base_revision: Revision::new(5),
        removed_minion_nodes: vec![NodeName::new("agent-1").unwrap()],
        ..Delta::default()
    };
    let update = Update { body: Some(UpdateBody::Delta(delta)), ..snapshot(5, 1) };
    node.apply(update, at(300)).unwrap();
    assert!(node.view().minions.is_empty());
}
