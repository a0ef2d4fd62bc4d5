//! Replicas whose disks are full for a while, on loopback with real files.
#![allow(clippy::unwrap_used, missing_docs)]

mod cluster;

use std::time::{Duration, Instant};

use bytes::Bytes;
use cluster::{Cluster, WAIT_TIMEOUT, replica};
use tokio::time::timeout;
use yuccatack_replication::{Committed, ProposalClass, ProposalId, ReplicaId};

/// Size of disks on which the reserve has 16 KiB.
const DISK_BYTES: u64 = 1 << 20;
/// Longest time within which the end of a replica must not wait for space on its disk.
const STOP_LIMIT: Duration = Duration::from_secs(2);

fn used_bytes(cluster: &Cluster, id: ReplicaId) -> u64 {
    let names = cluster.data_folder(id).read_dir().unwrap();
    names.map(|entry| entry.unwrap().metadata().map_or(0, |metadata| metadata.len())).sum()
}

/// Leaves no free byte on the disks of `ids`; releasing the reserve makes its space available.
fn fill_disks(cluster: &Cluster, ids: &[ReplicaId]) {
    for id in ids {
        cluster.disks[id].set_capacity(used_bytes(cluster, *id));
    }
}

async fn wait_for_disk_full(cluster: &mut Cluster, id: ReplicaId, full: bool) {
    let mut status = cluster.node(id).handle.status();
    let changed = timeout(WAIT_TIMEOUT, status.wait_for(|status| status.disk_full == full)).await;
    let status = changed.expect("the state of the disk is reported in time").unwrap();
    assert_eq!(status.failure, None);
}

/// Proposes a command that is not refused for a lack of space.
async fn propose_essential(cluster: &mut Cluster, id: ReplicaId, number: u64) -> Committed {
    send_essential(cluster, id, number);
    let proposal = ProposalId::new(number);
    let is_outcome = |item: &Committed| match item {
        Committed::Entry { proposal: found, .. } => *found == Some(proposal),
        Committed::ProposalFailed { proposal: found, .. } => *found == proposal,
        _ => false,
    };
    cluster.node(id).wait_for(is_outcome).await
}

fn send_essential(cluster: &mut Cluster, id: ReplicaId, number: u64) {
    let payload = Bytes::from(format!("command {number}"));
    cluster.node(id).handle.propose(ProposalId::new(number), ProposalClass::Essential, payload);
}

fn assert_committed(item: &Committed) {
    assert!(matches!(item, Committed::Entry { .. }), "{item:?}");
}

/// Guards against replicas that cannot store a vote on full disks, so that no leader is elected
/// after the loss of the old one, and against a replica that does not start on a full disk.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leader_changes() {
    let ids = [replica(1), replica(2), replica(3)];
    let mut cluster = Cluster::on_disks(3, 50, DISK_BYTES).await;
    let first = cluster.leader().await;
    for number in 0..20 {
        assert_committed(&propose_essential(&mut cluster, first, number).await);
    }
    for id in ids {
        cluster.node(id).wait_for_entry("command 19").await;
    }
    fill_disks(&cluster, &ids);
    cluster.stop(first).await;
    let second = cluster.leader().await;
    wait_for_disk_full(&mut cluster, second, true).await;
    let item = cluster.node(second).read(100).await;
    assert!(matches!(item, Committed::ReadReady { .. }), "{item:?}");
    assert_committed(&propose_essential(&mut cluster, second, 101).await);

    cluster.start(first).await;
    cluster.node(first).wait_for_entry("command 101").await;
    for id in ids {
        cluster.disks[&id].set_capacity(DISK_BYTES);
    }
    for id in ids {
        wait_for_disk_full(&mut cluster, id, false).await;
    }
}

/// Guards against a replica that stops on a full disk, or that loses, repeats or reorders writes
/// when the disk has space again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn writes_resume() {
    let ids = [replica(1), replica(2), replica(3)];
    let mut cluster = Cluster::on_disks(3, 1_000, DISK_BYTES).await;
    let leader = cluster.leader().await;
    assert_committed(&propose_essential(&mut cluster, leader, 0).await);
    let follower = *ids.iter().find(|id| **id != leader).unwrap();
    cluster.node(follower).wait_for_entry("command 0").await;

    // Not even the space of the reserve can be used.
    cluster.disks[&follower].set_capacity(0);
    for number in 1..50 {
        assert_committed(&propose_essential(&mut cluster, leader, number).await);
    }
    wait_for_disk_full(&mut cluster, follower, true).await;
    cluster.disks[&follower].set_capacity(DISK_BYTES);
    cluster.node(follower).wait_for_entry("command 49").await;
    wait_for_disk_full(&mut cluster, follower, false).await;

    // All disks are full, so the command is committed only when there is space again.
    for id in ids {
        cluster.disks[&id].set_capacity(0);
    }
    send_essential(&mut cluster, leader, 50);
    for id in ids {
        wait_for_disk_full(&mut cluster, id, true).await;
    }
    assert!(!cluster.node(leader).applied.iter().any(|(_, payload)| payload == "command 50"));
    for id in ids {
        cluster.disks[&id].set_capacity(DISK_BYTES);
    }
    for id in ids {
        cluster.node(id).wait_for_entry("command 50").await;
    }
    // The stored logs are equal, and hold each command once and in order.
    for id in ids {
        cluster.stop(id).await;
        cluster.start(id).await;
    }
    let leader = cluster.leader().await;
    assert_committed(&propose_essential(&mut cluster, leader, 51).await);
    let expected: Vec<_> =
        (0..=51).map(|number| Bytes::from(format!("command {number}"))).collect();
    for id in ids {
        cluster.node(id).wait_for_entry("command 51").await;
        let applied: Vec<_> =
            cluster.node(id).applied.iter().map(|(_, payload)| payload.clone()).collect();
        assert_eq!(applied, expected, "replica {id}");
    }
}

/// Guards against a replica that cannot be stopped while a write waits for space, and keeps the
/// lock on its folder.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stop_in_time() {
    let ids = [replica(1), replica(2), replica(3)];
    let mut cluster = Cluster::on_disks(3, 1_000, DISK_BYTES).await;
    let leader = cluster.leader().await;
    assert_committed(&propose_essential(&mut cluster, leader, 0).await);
    for id in ids {
        cluster.disks[&id].set_capacity(0);
    }
    send_essential(&mut cluster, leader, 1);
    wait_for_disk_full(&mut cluster, leader, true).await;
    let started_at = Instant::now();
    cluster.stop(leader).await;
    assert!(started_at.elapsed() < STOP_LIMIT, "{:?}", started_at.elapsed());
    cluster.start(leader).await;
    for id in ids {
        cluster.disks[&id].set_capacity(DISK_BYTES);
    }
    for id in ids {
        cluster.node(id).wait_for_entry("command 0").await;
        wait_for_disk_full(&mut cluster, id, false).await;
    }
}
