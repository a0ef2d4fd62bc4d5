//! Detection of diverged replicated state.
#![allow(clippy::unwrap_used, missing_docs)]

mod cluster;

use cluster::{Cluster, WAIT_TIMEOUT};
use tokio::time::timeout;
use yuccatack_replication::{LogIndex, ReplicaFailure};

/// Guards against a replica that continues with a state that differs from its leader's state.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn diverged_replica_stops() {
    let mut cluster = Cluster::new(3, 10_000).await;
    let leader = cluster.leader().await;
    cluster.node(leader).propose(1, "command").await;
    let index = cluster.node(leader).applied[0].0;
    let ids: Vec<_> = cluster.nodes.keys().copied().collect();
    for id in &ids {
        cluster.node(*id).wait_for_entry("command").await;
    }
    let diverged = *ids.iter().find(|id| **id != leader).unwrap();
    for id in &ids {
        let hash = if *id == diverged { 2 } else { 1 };
        cluster.node(*id).handle.report_state_hash(index, hash);
    }
    let mut status = cluster.node(diverged).handle.status();
    let failed = timeout(WAIT_TIMEOUT, status.wait_for(|status| status.failure.is_some())).await;
    let failure = failed.unwrap().unwrap().failure.clone().unwrap();
    let ReplicaFailure::StateDiverged { own, other, .. } = failure else { panic!("{failure}") };
    assert_eq!((own, other), (2, 1));
    assert!(failure.to_string().contains("join again as a new member"), "{failure}");
    cluster.node(leader).propose(2, "after").await;
    assert!(cluster.node(leader).handle.status().borrow().failure.is_none());
    let intact = ids.iter().find(|id| **id != leader && **id != diverged).unwrap();
    assert!(cluster.node(*intact).handle.status().borrow().failure.is_none());
    assert!(index > LogIndex::new(0));
}
