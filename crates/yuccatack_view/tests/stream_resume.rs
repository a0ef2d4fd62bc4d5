//! Snapshots and deltas at the start of a stream, and the updates that follow.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{at, key, minion, organisation, report, withdrawal};
use yuccatack_core::prelude::*;
use yuccatack_view::limits::{LOAD_UPDATE_INTERVAL, MAX_LOAD_ENTRIES, STREAM_IDLE_TIMEOUT};
use yuccatack_view::{MinionState, NodeRole, PublisherState, StreamId, Update, UpdateBody};

fn leader_at_revision(revision: u64) -> PublisherState {
    let mut publisher = PublisherState::default();
    for number in 1..=revision {
        publisher.publish(organisation("tri", number), at(0));
    }
    publisher.become_leader(at(0));
    publisher
}

fn subscribe(publisher: &mut PublisherState, stream: StreamId, applied: u64) -> Update {
    publisher.open(stream, at(10)).unwrap();
    publisher.handle_report(stream, &report("entry", NodeRole::Entry, 1, applied), at(10));
    publisher.next_update(stream, at(10)).unwrap()
}

/// Guards against a new node that misses records because its first delta is not complete.
#[test]
fn new_node_gets_complete_delta_or_snapshot() {
    let mut publisher = leader_at_revision(3);
    let update = subscribe(&mut publisher, 1, 0);
    // The leader knows every change since revision 0, so a delta from 0 is complete.
    let Some(UpdateBody::Delta(delta)) = update.body else { panic!("{update:?}") };
    assert_eq!((delta.base_revision.get(), delta.changed_records.len()), (0, 1));
    let records = snapshot_records();
    publisher.reset(Revision::new(9), records, at(20));
    let update = subscribe(&mut publisher, 2, 0);
    let Some(UpdateBody::Snapshot { records, .. }) = update.body else { panic!("{update:?}") };
    assert_eq!((update.revision.get(), records.len()), (9, 2));
}

fn snapshot_records() -> Vec<yuccatack_view::PublishedRecord> {
    ["tri", "fin"].into_iter().flat_map(|name| organisation(name, 9).changed).collect()
}

/// Guards against a returning node that receives all records again, or misses some of the changes.
#[test]
fn returning_node_gets_delta() {
    let mut publisher = leader_at_revision(3);
    publisher.publish(organisation("fin", 4), at(1));
    publisher.publish(withdrawal("tri", 5), at(2));
    publisher.publish(organisation("fin", 6), at(3));
    let update = subscribe(&mut publisher, 1, 3);
    let Some(UpdateBody::Delta(delta)) = update.body else { panic!("{update:?}") };
    assert_eq!(delta.base_revision.get(), 3);
    assert_eq!(delta.changed_records.len(), 1);
    assert_eq!(delta.changed_records[0].revision.get(), 6);
    assert_eq!(delta.removed_records, [key("tri")]);
    assert_eq!(publisher.next_update(1, at(11)), None, "nothing has changed");
}

/// Guards against a delta that omits changes because the leader no longer keeps them.
#[test]
fn late_node_gets_snapshot() {
    let mut publisher = leader_at_revision(10_005);
    let late = subscribe(&mut publisher, 1, 4);
    assert!(matches!(late.body, Some(UpdateBody::Snapshot { .. })), "{late:?}");
    let recent = subscribe(&mut publisher, 2, 5);
    assert!(matches!(recent.body, Some(UpdateBody::Delta(_))), "{recent:?}");
}

/// Guards against a leader that sends an older revision to a node that is ahead of it.
#[test]
fn node_ahead_gets_no_update() {
    let mut publisher = leader_at_revision(3);
    publisher.open(1, at(10)).unwrap();
    publisher.handle_report(1, &report("entry", NodeRole::Entry, 1, 5), at(10));
    publisher.confirm_leadership(at(20));
    assert_eq!(publisher.next_update(1, at(20)), None);
    publisher.publish(organisation("tri", 5), at(30));
    publisher.publish(organisation("tri", 6), at(30));
    let update = publisher.next_update(1, at(30)).unwrap();
    let Some(UpdateBody::Delta(delta)) = update.body else { panic!("{update:?}") };
    assert_eq!(delta.base_revision.get(), 5);
}

/// Guards against streams of lost machines that are never closed.
#[test]
fn idle_stream_is_closed() {
    let mut publisher = leader_at_revision(1);
    subscribe(&mut publisher, 1, 0);
    subscribe(&mut publisher, 2, 0);
    let idle_deadline = at(10) + STREAM_IDLE_TIMEOUT;
    assert!(publisher.expire(idle_deadline).is_empty());
    publisher.handle_report(2, &report("entry", NodeRole::Entry, 2, 1), idle_deadline);
    assert_eq!(publisher.expire(idle_deadline + DurationMs::new(1)), [1]);
    assert_eq!(publisher.next_update(1, idle_deadline), None);
}

/// Guards against traffic for changes in load that grows with the number of minions, and against a
/// minion whose load is never sent because others take precedence.
#[test]
fn load_traffic_is_bounded() {
    let mut publisher = leader_at_revision(1);
    let count = MAX_LOAD_ENTRIES * 2 + 1;
    for index in 0..count as u64 {
        publisher.open(100 + index, at(0)).unwrap();
    }
    let report_all = |publisher: &mut PublisherState, sequence: u64, load: u32, now| {
        for index in 0..count as u64 {
            let mut report = report(&format!("agent-{index}"), NodeRole::Agent, sequence, 1);
            report.minion = Some(minion("m", MinionState::Ready, load));
            report.received_acknowledgement = sequence.saturating_sub(1);
            publisher.handle_report(100 + index, &report, now);
        }
    };
    report_all(&mut publisher, 1, 0, at(0));
    publisher.confirm_leadership(at(5));
    for index in 0..count as u64 {
        publisher.next_update(100 + index, at(5)).unwrap();
    }
    report_all(&mut publisher, 2, 0, at(10));
    let first = subscribe(&mut publisher, 1, 0);
    let Some(UpdateBody::Delta(delta)) = first.body else { panic!("{first:?}") };
    assert_eq!(
        delta.changed_minions.len(),
        count,
        "a new stream gets all minions in its first update"
    );
    let mut now = at(10);
    let mut updated_nodes = std::collections::BTreeSet::new();
    report_all(&mut publisher, 3, 5, now);
    assert_eq!(
        publisher.next_update(1, now),
        None,
        "changes in load are sent only once per interval"
    );
    for _ in 0..3 {
        now = now + LOAD_UPDATE_INTERVAL;
        let update = publisher.next_update(1, now).unwrap();
        let Some(UpdateBody::Delta(delta)) = update.body else { panic!("{update:?}") };
        assert!(delta.changed_minions.len() <= MAX_LOAD_ENTRIES);
        updated_nodes.extend(delta.changed_minions.iter().map(|minion| minion.node.clone()));
    }
    assert_eq!(updated_nodes.len(), count);
}
