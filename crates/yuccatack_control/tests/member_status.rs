//! Guards against a status that shows a replacement as complete while the log still needs the old
//! voters, and against changes that are decided from the voters in force instead of the newest ones.

#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde_json::{Value, json};
use yuccatack_control::membership::{next_change, replication_document};
use yuccatack_replication::{LogIndex, ReplicaId, ReplicationStatus, RoleName, Term};

fn members(numbers: &[u8]) -> BTreeMap<ReplicaId, SocketAddr> {
    let members = numbers.iter().map(|number| {
        let address = SocketAddr::from(([10, 0, 0, *number], 7100));
        (ReplicaId::new(u64::from(*number)), address)
    });
    members.collect()
}

fn status(in_force: &[u8], newest: &[u8]) -> ReplicationStatus {
    ReplicationStatus {
        role: RoleName::Leader,
        term: Term::new(2),
        leader: Some(ReplicaId::new(1)),
        leader_address: None,
        commit: LogIndex::new(15),
        voters: members(newest),
        voters_in_force: members(in_force),
        learners: BTreeMap::new(),
        silent_voters: BTreeSet::new(),
        silent_learners: BTreeSet::new(),
        disk_full: false,
        log_bytes: 0,
        failure: None,
    }
}

fn listed(numbers: &[u8]) -> Value {
    let replicas = numbers
        .iter()
        .map(|number| json!({"replica_id": number, "address": format!("10.0.0.{number}:7100")}));
    replicas.collect()
}

#[test]
fn pending_shown_apart() {
    let document = replication_document(&status(&[1, 2, 3], &[1, 2, 4]));
    assert_eq!(document["voters"], listed(&[1, 2, 3]));
    assert_eq!(document["pending_voters"], listed(&[1, 2, 4]));
}

#[test]
fn complete_has_none_pending() {
    let document = replication_document(&status(&[1, 2, 4], &[1, 2, 4]));
    assert_eq!(document["voters"], listed(&[1, 2, 4]));
    assert_eq!(document["pending_voters"], listed(&[]));
}

#[test]
fn newest_decide() {
    let status = status(&[1, 2, 3], &[1, 2, 4]);
    assert_eq!(next_change(&members(&[1, 2, 4]), &status), None);
}
