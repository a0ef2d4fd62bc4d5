//! Recovery from connections that stay open without responding, while new ones work.
#![allow(clippy::unwrap_used, missing_docs)]

mod cluster;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cluster::{Cluster, replica};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;
use yuccatack_replication::{Committed, RoleName};

/// Nodes accept no new work once their view is this old, so the log must recover earlier.
const RECOVERY_TARGET: Duration = Duration::from_secs(3);

/// Forwards connections to `target`. At the next change of `stalls` each existing connection stops
/// forwarding and stays open.
async fn run_proxy(listener: TcpListener, target: SocketAddr, stalls: watch::Receiver<u64>) {
    loop {
        let (mut client, _) = listener.accept().await.unwrap();
        let mut stalled = stalls.clone();
        stalled.mark_unchanged();
        tokio::spawn(async move {
            let Ok(mut server) = TcpStream::connect(target).await else {
                let _ = client.shutdown().await;
                return;
            };
            tokio::select! {
                _ = tokio::io::copy_bidirectional(&mut client, &mut server) => return,
                _ = stalled.changed() => {}
            }
            std::future::pending::<()>().await;
        });
    }
}

/// Guards against a replica that waits forever on an open connection that no longer responds.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn log_recovers_on_new_connections() {
    let (stall, stalls) = watch::channel(0);
    let mut cluster = Cluster::empty(10_000);
    let mut listeners = BTreeMap::new();
    for number in 1..=3 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = TcpListener::bind("127.0.0.1:0").await.unwrap();
        cluster.addresses.insert(replica(number), proxy.local_addr().unwrap());
        tokio::spawn(run_proxy(proxy, listener.local_addr().unwrap(), stalls.clone()));
        listeners.insert(replica(number), listener);
    }
    cluster.voters = cluster.addresses.clone();
    for (id, listener) in listeners {
        cluster.start_on(id, listener).await;
    }
    let leader = cluster.leader().await;
    cluster.node(leader).propose(1, "before").await;

    stall.send_modify(|stalls| *stalls += 1);
    let stalled_at = Instant::now();
    let mut number = 10;
    loop {
        tokio::time::sleep(Duration::from_millis(20)).await;
        let leads = |role| role == RoleName::Leader;
        let leading: Vec<_> = cluster
            .nodes
            .iter()
            .filter(|(_, node)| leads(node.handle.status().borrow().role))
            .map(|(id, _)| *id)
            .collect();
        let Some(leader) = leading.first() else { continue };
        number += 1;
        let item = cluster.node(*leader).propose(number, "after").await;
        if matches!(item, Committed::Entry { .. }) {
            break;
        }
    }
    // Replicas without a connection to each other can elect a leader over new ones. The entry
    // reaches all replicas only when the stalled connections are replaced.
    for node in cluster.nodes.values_mut() {
        node.wait_for_entry("after").await;
    }
    assert!(
        stalled_at.elapsed() < RECOVERY_TARGET,
        "the entry reached all replicas only after {:?}",
        stalled_at.elapsed()
    );
}
