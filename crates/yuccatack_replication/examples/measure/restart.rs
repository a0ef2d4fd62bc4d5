//! Duration of a restart of a single replica, until all entries are delivered again.

use std::path::Path;
use std::time::Instant;

use bytes::Bytes;
use yuccatack_replication::{Committed, Leadership, ProposalClass, ProposalId};

use super::PAYLOAD_BYTES;
use super::cluster::Cluster;

pub async fn measure_restart(folder: &Path, entry_count: u64) {
    let path = folder.join(format!("restart-{entry_count}"));
    let mut cluster = Cluster::new(&path, 1).await;
    let leader = cluster.leader().await;
    let node = cluster.nodes.get_mut(&leader).unwrap();
    let payload = Bytes::from(vec![1; PAYLOAD_BYTES]);
    for number in 0..entry_count {
        node.handle.propose(ProposalId::new(number), ProposalClass::Growth, payload.clone());
    }
    let mut delivered = 0;
    while delivered < entry_count {
        let (_, item) = node.committed.recv().await.unwrap();
        delivered += u64::from(matches!(item, Committed::Entry { .. }));
    }
    cluster.stop(leader).await;

    let started = Instant::now();
    cluster.start(leader).await;
    let opened = started.elapsed();
    let node = cluster.nodes.get_mut(&leader).unwrap();
    let mut delivered = 0;
    loop {
        let (_, item) = node.committed.recv().await.unwrap();
        match item {
            Committed::Entry { .. } => delivered += 1,
            Committed::Leadership(Leadership::Leader { .. }) => break,
            _ => {}
        }
    }
    assert_eq!(delivered, entry_count);
    let total = started.elapsed();
    println!(
        "restart after {entry_count} entries: folder read in {:.0} ms, leading with everything \
         delivered after {:.0} ms",
        opened.as_secs_f64() * 1e3,
        total.as_secs_f64() * 1e3
    );
    cluster.stop_all().await;
}
