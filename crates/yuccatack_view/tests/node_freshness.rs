//! Time until which a node may start work, and updates that it rejects.
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

/// Guards against a node that stays fresh for too long after a late acknowledgement, because its
/// freshness counts from the receipt instead of the sending of the report.
#[test]
fn freshness_starts_at_sending() {
    let mut node = node();
    node.start_stream();
    assert_eq!(node.next_report(None, at(100)).sequence, 1);
    assert_eq!(node.next_report(None, at(600)).sequence, 2);
    node.apply(snapshot(5, 0), at(700)).unwrap();
    assert_eq!(node.fresh_until(), None, "no report has been acknowledged");
    node.apply(acknowledgement(5, 1), at(2_900)).unwrap();
    assert_eq!(node.fresh_until(), Some(at(100) + FRESHNESS_DURATION));
    node.apply(acknowledgement(5, 2), at(3_900)).unwrap();
    assert_eq!(node.fresh_until(), Some(at(600) + FRESHNESS_DURATION));
}

/// Guards against an acknowledgement of one leader that extends the freshness through a report sent
/// to another leader.
#[test]
fn earlier_streams_are_ignored() {
    let mut node = node();
    node.start_stream();
    let sequence = node.next_report(None, at(100)).sequence;
    node.apply(snapshot(5, 0), at(200)).unwrap();
    node.start_stream();
    assert!(node.next_report(None, at(300)).sequence > sequence);
    node.apply(acknowledgement(5, sequence), at(400)).unwrap();
    assert_eq!(node.fresh_until(), None);
}

/// Guards against a node whose revision goes back through a snapshot or an acknowledgement of a
/// leader that is behind.
#[test]
fn stale_leader_is_rejected() {
    let mut node = node();
    node.start_stream();
    node.next_report(None, at(100));
    node.apply(snapshot(5, 0), at(200)).unwrap();
    let (offered, applied) = (Revision::new(4), Revision::new(5));
    let expected_error = Err(UpdateError::StaleLeader { offered, applied });
    assert_eq!(node.apply(snapshot(4, 1), at(300)), expected_error);
    assert_eq!(node.apply(acknowledgement(4, 1), at(300)), expected_error);
    assert_eq!(node.view().revision, applied);
    assert_eq!(node.fresh_until(), None);
}

/// Guards against changes that a node skips because an update starts after its revision.
#[test]
fn revision_gap_is_rejected() {
    let mut node = node();
    node.apply(snapshot(5, 0), at(200)).unwrap();
    let body = Delta { base_revision: Revision::new(6), ..Delta::default() };
    let update = Update { body: Some(UpdateBody::Delta(body)), ..snapshot(7, 0) };
    let (base, applied) = (Revision::new(6), Revision::new(5));
    assert_eq!(node.apply(update, at(300)), Err(UpdateError::RevisionGap { base, applied }));
    let base = Revision::new(6);
    let expected_error = Err(UpdateError::RevisionGap { base, applied });
    assert_eq!(node.apply(acknowledgement(6, 0), at(300)), expected_error);
    assert_eq!(node.view().revision, applied);
}

/// Guards against a node that reports a revision as applied although it cannot decode its record.
#[test]
fn undecodable_record_is_not_applied() {
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

fn minion_entry(name: &str) -> Arc<MinionEntry> {
    Arc::new(MinionEntry {
        node: NodeName::new(name).unwrap(),
        incarnation: Incarnation::new(3),
        data_centre: DataCentreName::new("desaru").unwrap(),
        status: minion("m", MinionState::Ready, 0),
    })
}

/// Guards against minions that stay in the view after their expiry, and against minions that are
/// lost at a change of leader because the new leader does not know them yet.
#[test]
fn minions_survive_leader_change() {
    let mut node = node();
    node.start_stream();
    node.next_report(None, at(100));
    let minions = vec![minion_entry("agent-1"), minion_entry("agent-2")];
    let body = Some(UpdateBody::Snapshot { records: Vec::new(), minions });
    let oldest_minion_age = DurationMs::new(400);
    let update = Update { body, oldest_minion_age, ..snapshot(5, 1) };
    node.apply(update, at(200)).unwrap();
    let expiry = at(100) + MINION_FRESHNESS_DURATION - oldest_minion_age;
    assert_eq!(node.view().minions.len(), 2);
    assert_eq!(
        node.fresh_until(),
        Some(expiry),
        "the view is not fresh after the expiry of a minion in it"
    );
    node.start_stream();
    node.next_report(None, at(1_000));
    let body =
        Some(UpdateBody::Snapshot { records: Vec::new(), minions: vec![minion_entry("agent-2")] });
    node.apply(Update { body, ..snapshot(5, 2) }, at(1_100)).unwrap();
    assert_eq!(
        node.view().minions.len(),
        2,
        "agent-1 stays until its expiry although the new leader does not list it"
    );
    assert!(!node.expire(expiry - DurationMs::new(1)));
    assert!(node.expire(expiry));
    let remaining: Vec<&str> = node.view().minions.keys().map(NodeName::as_str).collect();
    assert_eq!(remaining, ["agent-2"]);
}

/// Guards against a minion that stays in the view after the leader has removed it.
#[test]
fn removed_minion_is_dropped() {
    let mut node = node();
    node.start_stream();
    node.next_report(None, at(100));
    let body =
        Some(UpdateBody::Snapshot { records: Vec::new(), minions: vec![minion_entry("agent-1")] });
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
