//! Guards against a group that tolerates one loss less than it should after a planned replacement: the
//! stopped replica keeps its vote, and the running successor has none.

#![allow(clippy::unwrap_used, missing_docs)]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use support::{Deployment, job};
use tokio::time::sleep;
use yuccatack_runs::JobPhase;

/// Time in which a new replica joins and receives the log.
const JOIN_TIME: Duration = Duration::from_secs(3);

/// Starts a successor of each stopped replica, stops each group of replicas together and the groups in
/// turn, and loses the disk of `wiped` right after. Replicas are numbered in the order of their first
/// start.
async fn replace(groups: &[&[usize]], wiped: usize) {
    let mut deployment = Deployment::start().await;
    deployment.configure(1, "key").await;
    deployment.submit("a", job(1)).await;
    for _ in groups.iter().copied().flatten() {
        deployment.add_replica();
    }
    let addresses: Vec<SocketAddr> =
        deployment.replicas.iter().map(|replica| replica.address).collect();
    sleep(JOIN_TIME).await;
    for group in groups {
        let stopped: Vec<SocketAddr> = group.iter().map(|index| addresses[*index]).collect();
        deployment.stop(&stopped).await;
    }
    let is_wiped = |address: SocketAddr| address == addresses[wiped];
    let index = deployment.replicas.iter().position(|replica| is_wiped(replica.address)).unwrap();
    let (_, address) = deployment.kill(index).await;
    deployment.restart(tempfile::tempdir().unwrap(), address);
    deployment.submit("b", job(1)).await;
    deployment.wait_for_phase("a", JobPhase::Queued).await;
}

/// Guards against the loss of a disk 0.5 s after the planned end of a replica, which ended the group.
#[tokio::test(flavor = "multi_thread")]
async fn disk_lost_after_replacement() {
    // One of the replicas leads, so that its end hands over the leadership as well as the vote.
    for stopped in 0..3 {
        replace(&[&[stopped]], (stopped + 1) % 3).await;
    }
}

/// Guards against successors of which only one gets a vote when two replicas are replaced in series. A
/// successor loses its disk, since the clients and the wiped replica need a seed that is left.
#[tokio::test(flavor = "multi_thread")]
async fn disk_lost_after_two_replacements() {
    replace(&[&[0], &[1]], 3).await;
}

/// Guards against two replicas that stop at once and hand leadership or votes over to each other.
#[tokio::test(flavor = "multi_thread")]
async fn overlapping_replacements() {
    for stopped in [[0, 1], [1, 2], [0, 2]] {
        replace(&[&stopped], 3).await;
    }
}
