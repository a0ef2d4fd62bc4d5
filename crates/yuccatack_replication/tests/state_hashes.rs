//! Comparison of the replicated state between replicas.
#![allow(clippy::unwrap_used, missing_docs)]

mod cluster;

use cluster::{Cluster, PATIENCE};
use tokio::time::timeout;
use yuccatack_replication::{LogIndex, ReplicaFailure};

/// Guards against a replica that goes on with a state that differs from its leader's.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn different_state_stops_the_replica() {
    let mut cluster = Cluster::new(3, 10_000).await;
    let leader = cluster.leader().await;
    cluster.node(leader).propose(1, "command").await;
    let index = cluster.node(leader).applied[0].0;
    let ids: Vec<_> = cluster.nodes.keys().copied().collect();
    for id in &ids {
        cluster.node(*id).until_entry("command").await;
    }
    let different = *ids.iter().find(|id| **id != leader).unwrap();
    for id in &ids {
        let hash = if *id == different { 2 } else { 1 };
        cluster.node(*id).handle.report_state_hash(index, hash);
    }
    let mut status = cluster.node(different).handle.status();
    let failed = timeout(PATIENCE, status.wait_for(|status| status.failure.is_some())).await;
    let failure = failed.unwrap().unwrap().failure.clone().unwrap();
    let ReplicaFailure::StateDiverged { own, other, .. } = failure else { panic!("{failure}") };
    assert_eq!((own, other), (2, 1));
    assert!(failure.to_string().contains("join again as a new member"), "{failure}");
    cluster.node(leader).propose(2, "after").await;
    assert!(cluster.node(leader).handle.status().borrow().failure.is_none());
    let equal = ids.iter().find(|id| **id != leader && **id != different).unwrap();
    assert!(cluster.node(*equal).handle.status().borrow().failure.is_none());
    assert!(index > LogIndex::new(0));
}
