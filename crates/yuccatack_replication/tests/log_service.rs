//! Proposals, reads, restarts and leadership transfer of replicas on loopback with real files.
#![allow(clippy::unwrap_used, missing_docs)]

mod cluster;

use cluster::{Cluster, replica, state_at};
use yuccatack_replication::{Committed, ProposalFailure};

/// Guards against losing acknowledged entries when all replicas restart.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn entries_survive_restarts() {
    for voter_count in [1, 3, 5] {
        let mut cluster = Cluster::new(voter_count, 10_000).await;
        let leader = cluster.leader().await;
        for number in 0..20 {
            let item = cluster.node(leader).propose(number, &format!("command {number}")).await;
            assert!(matches!(item, Committed::Entry { .. }), "{item:?}");
        }
        let ids: Vec<_> = cluster.nodes.keys().copied().collect();
        for id in &ids {
            cluster.stop(*id).await;
        }
        for id in &ids {
            cluster.start(*id).await;
        }
        let leader = cluster.leader().await;
        assert!(matches!(cluster.node(leader).read(1).await, Committed::ReadReady { .. }));
        let applied = &cluster.node(leader).applied;
        assert_eq!(applied.len(), 20, "{voter_count} voters");
        for id in ids {
            cluster.node(id).wait_for_entry("command 19").await;
            assert_eq!(cluster.node(id).applied.len(), 20);
        }
    }
}

/// Guards against a follower that accepts proposals or reads, or does not report the leader's
/// address.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn followers_redirect_to_leader() {
    let mut cluster = Cluster::new(3, 10_000).await;
    let leader = cluster.leader().await;
    cluster.node(leader).propose(1, "first").await;
    let expected = Some(cluster.addresses[&leader]);
    let followers: Vec<_> = cluster.nodes.keys().copied().filter(|id| *id != leader).collect();
    for id in followers {
        cluster.node(id).wait_for_entry("first").await;
        let item = cluster.node(id).propose(2, "second").await;
        let Committed::ProposalFailed { failure, .. } = item else { panic!("{item:?}") };
        assert_eq!(failure, ProposalFailure::NotLeader { leader_address: expected });
        assert!(matches!(cluster.node(id).read(3).await, Committed::ReadFailed { .. }));
    }
}

/// Guards against a planned stop of the leader that waits for an election timeout or loses entries.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn transfer_moves_leadership() {
    let mut cluster = Cluster::new(3, 10_000).await;
    let old = cluster.leader().await;
    cluster.node(old).propose(1, "before").await;
    cluster.node(old).handle.transfer_leadership().await;
    let new = cluster.leader().await;
    assert_ne!(old, new);
    cluster.stop(old).await;
    cluster.node(new).propose(2, "after").await;
    let applied: Vec<_> = cluster.node(new).applied.iter().map(|(_, p)| p.clone()).collect();
    assert_eq!(applied, ["before", "after"]);
}

/// Guards against a restart that replays compacted entries, and against a follower that cannot
/// catch up once the entries that it needs are compacted.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn snapshots_replace_the_log() {
    let mut cluster = Cluster::new(3, 50).await;
    let leader = cluster.leader().await;
    let late = if leader == replica(3) { replica(2) } else { replica(3) };
    cluster.stop(late).await;
    for number in 0..300 {
        cluster.node(leader).propose(number, &format!("command {number}")).await;
    }
    cluster.start(late).await;
    cluster.node(late).wait_for_entry("command 299").await;
    let (index, payload) = cluster.node(late).snapshot.clone().expect("a snapshot");
    assert_eq!(payload, state_at(index, 0));
    assert!(cluster.node(late).applied.len() < 150);

    cluster.stop(late).await;
    cluster.start(late).await;
    cluster.node(late).wait_for(|item| matches!(item, Committed::Snapshot { .. })).await;
    cluster.node(late).wait_for_entry("command 299").await;
}

/// Guards against a snapshot of several chunks that is assembled incompletely or out of order.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_snapshots_arrive_complete() {
    const SNAPSHOT_BYTES: usize = 9_000_001;
    let mut cluster = Cluster::new(3, 50).await;
    let leader = cluster.leader().await;
    let late = if leader == replica(3) { replica(2) } else { replica(3) };
    cluster.stop(late).await;
    cluster.node(leader).snapshot_bytes = SNAPSHOT_BYTES;
    for number in 0..600 {
        cluster.node(leader).propose(number, &format!("command {number}")).await;
    }
    cluster.start(late).await;
    cluster.node(late).wait_for_entry("command 599").await;
    let (index, payload) = cluster.node(late).snapshot.clone().expect("a snapshot");
    assert!(payload == state_at(index, SNAPSHOT_BYTES), "the snapshot at {index} differs");
}
