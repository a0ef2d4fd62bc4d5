//! What a stream is sent first, next, and not at all.
#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use support::{at, key, minion, organisation, report, withdrawal};
use yuccatack_core::prelude::*;
use yuccatack_view::limits::{LOAD_INTERVAL, MAX_LOAD_ENTRIES, STREAM_IDLE_TIMEOUT};
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
    publisher.report(stream, &report("entry", NodeRole::Entry, 1, applied), at(10));
    publisher.next_update(stream, at(10)).unwrap()
}

/// Guards against a new node that starts from a difference.
#[test]
fn new_node_gets_difference_from_nothing_or_snapshot() {
    let mut publisher = leader_at_revision(3);
    let update = subscribe(&mut publisher, 1, 0);
    // Every change since revision 0 is known, so a difference from 0 is complete.
    let Some(UpdateBody::Delta(delta)) = update.body else { panic!("{update:?}") };
    assert_eq!((delta.base_revision.get(), delta.changed_records.len()), (0, 1));
    let records = leader_records();
    publisher.reset(Revision::new(9), records, at(20));
    let update = subscribe(&mut publisher, 2, 0);
    let Some(UpdateBody::Snapshot { records, .. }) = update.body else { panic!("{update:?}") };
    assert_eq!((update.revision.get(), records.len()), (9, 2));
}

fn leader_records() -> Vec<yuccatack_view::PublishedRecord> {
    ["tri", "fin"].into_iter().flat_map(|name| organisation(name, 9).changed).collect()
}

/// Guards against a returning node that is sent everything again, or not everything.
#[test]
fn returning_node_gets_difference() {
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
    assert_eq!(publisher.next_update(1, at(11)), None, "nothing is new");
}

/// Guards against a difference that leaves out changes that the leader no longer remembers.
#[test]
fn late_node_gets_snapshot() {
    let mut publisher = leader_at_revision(10_005);
    let late = subscribe(&mut publisher, 1, 4);
    assert!(matches!(late.body, Some(UpdateBody::Snapshot { .. })), "{late:?}");
    let recent = subscribe(&mut publisher, 2, 5);
    assert!(matches!(recent.body, Some(UpdateBody::Delta(_))), "{recent:?}");
}

/// Guards against a leader that takes a node back to an older revision.
#[test]
fn node_ahead_gets_nothing() {
    let mut publisher = leader_at_revision(3);
    publisher.open(1, at(10)).unwrap();
    publisher.report(1, &report("entry", NodeRole::Entry, 1, 5), at(10));
    publisher.confirm_leadership(at(20));
    assert_eq!(publisher.next_update(1, at(20)), None);
    publisher.publish(organisation("tri", 5), at(30));
    publisher.publish(organisation("tri", 6), at(30));
    let update = publisher.next_update(1, at(30)).unwrap();
    let Some(UpdateBody::Delta(delta)) = update.body else { panic!("{update:?}") };
    assert_eq!(delta.base_revision.get(), 5);
}

/// Guards against streams of lost machines that are kept for ever.
#[test]
fn silent_stream_is_cut() {
    let mut publisher = leader_at_revision(1);
    subscribe(&mut publisher, 1, 0);
    subscribe(&mut publisher, 2, 0);
    let limit = at(10) + STREAM_IDLE_TIMEOUT;
    assert!(publisher.expire(limit).is_empty());
    publisher.report(2, &report("entry", NodeRole::Entry, 2, 1), limit);
    assert_eq!(publisher.expire(limit + DurationMs::new(1)), [1]);
    assert_eq!(publisher.next_update(1, limit), None);
}

/// Guards against changes in load that take more traffic the more minions there are, and against
/// a minion whose load is never sent.
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
            publisher.report(100 + index, &report, now);
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
    assert_eq!(delta.changed_minions.len(), count, "a new stream gets every minion at once");
    let mut now = at(10);
    let mut seen = std::collections::BTreeSet::new();
    report_all(&mut publisher, 3, 5, now);
    assert_eq!(publisher.next_update(1, now), None, "loads wait for their interval");
    for _ in 0..3 {
        now = now + LOAD_INTERVAL;
        let update = publisher.next_update(1, now).unwrap();
        let Some(UpdateBody::Delta(delta)) = update.body else { panic!("{update:?}") };
        assert!(delta.changed_minions.len() <= MAX_LOAD_ENTRIES);
        seen.extend(delta.changed_minions.iter().map(|minion| minion.node.clone()));
    }
    assert_eq!(seen.len(), count);
}
