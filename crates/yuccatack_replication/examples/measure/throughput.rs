//! Committed entries per second and latency from proposal to delivery.

use std::path::Path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use yuccatack_core::FastHashMap;
use yuccatack_replication::{Committed, ProposalClass, ProposalId};
use yuccatack_storage::{DataFolder, Store, StoredEntry};

use super::PAYLOAD_BYTES;
use super::cluster::Cluster;

const WARM_UP: Duration = Duration::from_millis(500);
const DURATION: Duration = Duration::from_secs(4);

/// Appends and syncs without replication, with one or several entries per sync.
pub fn measure_appends(folder: &Path) {
    for group in [1u64, 64, 1024] {
        let data = DataFolder::open(&folder.join(format!("bare-{group}")), 1).unwrap();
        let (mut store, _) = Store::open(&data).unwrap();
        let mut latency = Histogram::<u64>::new(3).unwrap();
        let payload = Bytes::from(vec![1; PAYLOAD_BYTES]);
        let started = Instant::now();
        let mut index = 0;
        while started.elapsed() < DURATION {
            let entries: Vec<StoredEntry> = (1..=group)
                .map(|offset| StoredEntry {
                    term: 1,
                    index: index + offset,
                    payload: payload.clone(),
                })
                .collect();
            let before = Instant::now();
            store.log.append(&entries).unwrap();
            latency.record(before.elapsed().as_micros() as u64).unwrap();
            index += group;
        }
        print_result(
            &format!("bare append, {group} entries a sync"),
            index,
            started.elapsed(),
            &latency,
        );
    }
}

/// Proposes to the leader with `in_flight` pending proposals at any time.
pub async fn measure_replicated(folder: &Path, voter_count: u64, in_flight: u64) {
    let path = folder.join(format!("throughput-{voter_count}-{in_flight}"));
    let mut cluster = Cluster::new(&path, voter_count).await;
    let leader = cluster.leader().await;
    let payload = Bytes::from(vec![1; PAYLOAD_BYTES]);
    let node = cluster.nodes.get_mut(&leader).unwrap();
    let mut proposed_at = FastHashMap::default();
    let mut next = 0;
    let mut latency = Histogram::<u64>::new(3).unwrap();
    let mut count = 0;
    let started = Instant::now();
    let mut measured_from = None;
    loop {
        while (proposed_at.len() as u64) < in_flight {
            next += 1;
            proposed_at.insert(next, Instant::now());
            node.handle.propose(ProposalId::new(next), ProposalClass::Growth, payload.clone());
        }
        let (_, item) = node.committed.recv().await.unwrap();
        let Committed::Entry { proposal: Some(proposal), .. } = item else { continue };
        let delivered_at = Instant::now();
        let proposal_time = proposed_at.remove(&proposal.get()).unwrap();
        if delivered_at - started < WARM_UP {
            continue;
        }
        let measured_since = *measured_from.get_or_insert(delivered_at);
        count += 1;
        latency.record((delivered_at - proposal_time).as_micros() as u64).unwrap();
        if delivered_at - measured_since > DURATION {
            let name = format!("{voter_count} replicas, {in_flight} proposals in flight");
            print_result(&name, count, delivered_at - measured_since, &latency);
            break;
        }
    }
    cluster.stop_all().await;
}

fn print_result(name: &str, count: u64, elapsed: Duration, latency: &Histogram<u64>) {
    let rate = count as f64 / elapsed.as_secs_f64();
    let [p50, p99] = [0.5, 0.99].map(|quantile| latency.value_at_quantile(quantile) as f64 / 1e3);
    println!("{name}: {rate:.0} entries/s, p50 {p50:.2} ms, p99 {p99:.2} ms");
}
