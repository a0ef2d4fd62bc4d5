//! Repair of a running cluster on loopback with real files: a voter loses its data folder, and a
//! new replica replaces it.
#![allow(clippy::unwrap_used, missing_docs)]

mod cluster;

use cluster::{Cluster, replica};
use yuccatack_replication::{ChangeError, Committed, MembershipChange};

/// Guards against a repair that works only in the simulation. The new replica must learn the
/// leader's address from its messages, receive a snapshot, and vote after its promotion.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn new_replica_replaces_lost_voter() {
    let mut cluster = Cluster::new(3, 50).await;
    let leader = cluster.leader().await;
    for number in 0..200 {
        cluster.node(leader).propose(number, &format!("command {number}")).await;
    }
    let lost = *cluster.nodes.keys().find(|id| **id != leader).unwrap();
    cluster.stop(lost).await;
    std::fs::remove_dir_all(cluster.data_folder(lost)).unwrap();
    let new = replica(4);
    cluster.start(new).await;

    let handle = cluster.node(leader).handle.clone();
    let add = MembershipChange::AddLearner { replica: new, address: cluster.addresses[&new] };
    handle.change_membership(add).await.unwrap();
    assert_eq!(
        handle.change_membership(add).await,
        Err(ChangeError::AlreadyMember { replica: new })
    );
    let promote = MembershipChange::Promote { replica: new, replaces: Some(lost) };
    handle.change_membership(promote).await.unwrap();
    let voters: Vec<_> = handle.status().borrow().voters.keys().copied().collect();
    assert!(voters.contains(&new) && !voters.contains(&lost) && voters.len() == 3);

    // A second voter is lost right after the repair.
    let second = *cluster.nodes.keys().find(|id| ![leader, new].contains(id)).unwrap();
    cluster.stop(second).await;
    let item = cluster.node(leader).propose(500, "after the repair").await;
    assert!(matches!(item, Committed::Entry { .. }), "{item:?}");
    cluster.node(new).wait_for_entry("after the repair").await;

    // The lost replica returns with an empty data folder and must not count as a voter.
    cluster.start(lost).await;
    cluster.stop(new).await;
    let item = cluster.node(leader).propose(501, "by one voter of three").await;
    assert!(matches!(item, Committed::ProposalFailed { .. }), "{item:?}");
}
