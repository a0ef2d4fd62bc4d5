//! Guards against a group that loses voters because they do not respond, which a network partition
//! causes as well, and against a replica that votes under its old ID after its data folder was
//! wiped.

#![allow(clippy::unwrap_used, missing_docs)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use yuccatack_queue_control::{MembershipView, next_change, replica_identity};
use yuccatack_replication::{LogIndex, MembershipChange, ReplicaId};
use yuccatack_storage::DataFolder;

fn id(number: u64) -> ReplicaId {
    ReplicaId::new(number)
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

fn members(numbers: &[u8]) -> BTreeMap<ReplicaId, SocketAddr> {
    numbers.iter().map(|number| (id(u64::from(*number)), address(*number))).collect()
}

fn view(voters: &[u8], learners: &[u8], unresponsive: &[u64]) -> MembershipView {
    MembershipView {
        voters: members(voters),
        learners: members(learners),
        held_by_learners: BTreeMap::new(),
        silent_voters: unresponsive.iter().map(|number| id(*number)).collect::<BTreeSet<_>>(),
        joins: BTreeMap::new(),
        target_voter_count: 5,
        ..MembershipView::default()
    }
}

#[test]
fn grows_to_target() {
    let promote = MembershipChange::Promote { replica: id(4), replaces: None };
    assert_eq!(next_change(&view(&[1, 2, 3], &[4], &[])), Some(promote));
    assert_eq!(next_change(&view(&[1, 2, 3, 4, 5], &[6], &[])), None);
}

#[test]
fn unresponsive_voters_kept() {
    assert_eq!(next_change(&view(&[1, 2, 3, 4, 5], &[], &[1, 2])), None);
    let replace = MembershipChange::Promote { replica: id(6), replaces: Some(id(2)) };
    assert_eq!(next_change(&view(&[1, 2, 3, 4, 5], &[6], &[2])), Some(replace));
}

/// Guards against a learner whose disk takes no writes and that keeps another one from replacing a
/// lost voter.
#[test]
fn stuck_learner() {
    let mut stuck = view(&[1, 2, 3, 4, 5], &[6, 7], &[2]);
    stuck.held_by_learners.insert(id(7), LogIndex::new(10));
    let replace = MembershipChange::Promote { replica: id(7), replaces: Some(id(2)) };
    assert_eq!(next_change(&stuck), Some(replace));
}

/// Guards against a voter that stops as planned and keeps its vote although its successor runs.
#[test]
fn leaving_voter_replaced() {
    let mut stopping = view(&[1, 2, 3, 4, 5], &[6], &[]);
    stopping.leaving.insert(id(3));
    let replace = MembershipChange::Promote { replica: id(6), replaces: Some(id(3)) };
    assert_eq!(next_change(&stopping), Some(replace));
    stopping.learners.clear();
    assert_eq!(next_change(&stopping), None, "a voter without a successor lost its vote");
}

/// Guards against a voter that is not there: a learner that stops or has failed is promoted, and a
/// running one waits behind it.
#[test]
fn unavailable_learners_kept() {
    let mut stopping = view(&[1, 2, 3, 4, 5], &[6, 7], &[2]);
    stopping.leaving.insert(id(6));
    let replace = MembershipChange::Promote { replica: id(7), replaces: Some(id(2)) };
    assert_eq!(next_change(&stopping), Some(replace));
    stopping.silent_learners.insert(id(7));
    assert_eq!(next_change(&stopping), None);
}

/// Guards against a group that grows beside a voter that is gone, and then needs one more of the others.
#[test]
fn replaced_before_growth() {
    let replace = MembershipChange::Promote { replica: id(4), replaces: Some(id(1)) };
    assert_eq!(next_change(&view(&[1, 2, 3], &[4], &[1])), Some(replace));
}

#[test]
fn wiped_voter_replaced() {
    let mut wiped = view(&[1, 2, 3, 4, 5], &[], &[]);
    wiped.joins.insert(id(99), address(3));
    let add = MembershipChange::AddLearner { replica: id(99), address: address(3) };
    assert_eq!(next_change(&wiped), Some(add));
    wiped.learners.insert(id(99), address(3));
    let replace = MembershipChange::Promote { replica: id(99), replaces: Some(id(3)) };
    assert_eq!(next_change(&wiped), Some(replace));
}

#[test]
fn wiped_learner_removed() {
    let mut wiped = view(&[1, 2, 3, 4, 5], &[6], &[]);
    wiped.joins.insert(id(99), address(6));
    assert_eq!(next_change(&wiped), Some(MembershipChange::RemoveLearner { replica: id(6) }));
}

#[test]
fn wiped_folder_new_id() {
    let folder = tempfile::tempdir().unwrap();
    let seeds = [address(1), address(2), address(3)];
    let founder = replica_identity(folder.path(), address(1), &seeds, true).unwrap();
    assert_eq!(founder.founders.len(), 3);
    let later = replica_identity(folder.path(), address(1), &seeds, false).unwrap();
    assert_ne!(
        later.replica, founder.replica,
        "a replica with a wiped folder kept its ID and could vote twice"
    );
    assert!(later.founders.is_empty(), "a later start founded a second group");
    DataFolder::open(folder.path(), founder.replica.get()).unwrap();
    let kept = replica_identity(folder.path(), address(1), &seeds, false).unwrap();
    assert_eq!(kept.replica, founder.replica);
    let outside = replica_identity(folder.path(), address(9), &seeds, true).unwrap();
    assert!(outside.founders.is_empty(), "a replica that is not a seed founded a group");
}
