//! Duration without commits after a leader stops.

use std::path::Path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use yuccatack_replication::{Committed, ProposalClass, ProposalId};

use super::cluster::Cluster;

/// Stops the leader `rounds` times and measures the time until another one commits a new entry.
pub async fn measure_unavailability(folder: &Path, voter_count: u64, rounds: u64) {
    let path = folder.join(format!("failover-{voter_count}"));
    let mut cluster = Cluster::new(&path, voter_count).await;
    let mut leader = cluster.leader().await;
    let mut durations = Histogram::<u64>::new(3).unwrap();
    for round in 0..rounds {
        let stopped_at = Instant::now();
        cluster.stop(leader).await;
        let old = leader;
        leader = cluster.leader().await;
        let node = cluster.nodes.get_mut(&leader).unwrap();
        let proposal = ProposalId::new(round);
        node.handle.propose(proposal, ProposalClass::Growth, Bytes::from_static(b"after"));
        loop {
            let (_, item) = node.committed.recv().await.unwrap();
            if matches!(item, Committed::Entry { proposal: Some(found), .. } if found == proposal) {
                break;
            }
        }
        durations.record(stopped_at.elapsed().as_micros() as u64).unwrap();
        cluster.start(old).await;
        // Lets the restarted replica catch up and the heartbeats become regular again.
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    let [p50, p99, max] =
        [0.5, 0.99, 1.0].map(|quantile| durations.value_at_quantile(quantile) as f64 / 1e3);
    println!(
        "{voter_count} replicas, leader stopped {rounds} times: until the next commit p50 {p50:.0} \
         ms, p99 {p99:.0} ms, longest {max:.0} ms"
    );
    cluster.stop_all().await;
}
