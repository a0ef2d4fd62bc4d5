//! Commit rule for entries of older terms.
#![allow(clippy::unwrap_used, missing_docs)]

use std::net::SocketAddr;

use bytes::Bytes;
use yuccatack_core::{DurationMs, Incarnation, TimestampMs};
use yuccatack_replication::state::{Input, Replica, ReplicaSettings, RoleView};
use yuccatack_replication::{
    AppendOutcome, ClusterId, EntryPayload, HardState, LogEntry, LogIndex, LogPosition, Member,
    Membership, Message, MessageBody, Recovered, ReplicaId, Term,
};

fn address(number: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 7000))
}

fn incarnation(number: u64) -> Incarnation {
    Incarnation::new(100 + number)
}

/// Creates replica 1 of three, in term 3, with an entry of term 2 that it does not know to be
/// committed.
fn replica_with_old_entry() -> Replica {
    let member = |number| Member { address: address(number), incarnation: incarnation(number) };
    let voters = (1..=3).map(|number| (ReplicaId::new(number), member(number))).collect();
    let membership = Membership { voters, ..Membership::default() };
    let entries = vec![
        LogEntry {
            term: Term::new(1),
            index: LogIndex::new(1),
            payload: EntryPayload::Membership(membership),
        },
        LogEntry {
            term: Term::new(2),
            index: LogIndex::new(2),
            payload: EntryPayload::Command(Bytes::from_static(b"old")),
        },
    ];
    let hard_state = HardState {
        term: Term::new(3),
        voted_for: ReplicaId::NONE,
        cluster: ClusterId::new(incarnation(1).get()),
    };
    let recovered = Recovered { hard_state, snapshot: None, base: LogPosition::default(), entries };
    let settings = ReplicaSettings {
        replica: ReplicaId::new(1),
        incarnation: incarnation(1),
        address: address(1),
        initial_voters: (1..=3).map(|id| (ReplicaId::new(id), address(id))).collect(),
        heartbeat: DurationMs::new(50),
        election_timeout: DurationMs::new(250),
        snapshot_entry_count: 1_000,
        disk_capacity_bytes: 1 << 30,
        append_limit_bytes: 1,
    };
    Replica::new(settings, recovered, 1, TimestampMs::new(0))
}

fn message(term: u64, body: MessageBody) -> Input {
    Input::Message(Message {
        from: ReplicaId::new(2),
        from_incarnation: incarnation(2),
        from_address: address(2),
        to: ReplicaId::new(1),
        to_incarnation: incarnation(1),
        cluster: ClusterId::new(incarnation(1).get()),
        term: Term::new(term),
        body,
    })
}

/// Handles an input and confirms the writes that it requests.
fn step(replica: &mut Replica, input: Input) {
    let now = TimestampMs::new(500);
    replica.step(input, now);
    while let Some(batch) = replica.take_outputs().persist {
        replica.step(Input::Synced { sequence: batch.sequence }, now);
    }
}

/// Guards against committing an entry of an older term because a quorum holds it. A replica with a
/// newer last term can still be elected and replace the entry.
#[test]
fn old_terms_commit_with_own_term() {
    let mut replica = replica_with_old_entry();
    step(&mut replica, Input::Tick);
    for pre_vote in [true, false] {
        let for_term = Term::new(4);
        let body = MessageBody::VoteResponse { for_term, pre_vote, granted: true };
        step(&mut replica, message(if pre_vote { 3 } else { 4 }, body));
    }
    assert_eq!(replica.view().role, RoleView::Leader);
    let accepted = |index| {
        let matched = LogIndex::new(index);
        message(4, MessageBody::AppendResponse(AppendOutcome::Accepted { matched }))
    };
    step(&mut replica, accepted(2));
    assert_eq!(replica.view().commit, LogIndex::new(0), "an entry of term 2 was committed alone");
    step(&mut replica, accepted(3));
    assert_eq!(replica.view().commit, LogIndex::new(3));
}
