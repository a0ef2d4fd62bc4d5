//! Cluster of replicas in one process, each with its own server, connections and files.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use yuccatack_replication::{
    Committed, Leadership, ReplicaId, ReplicationConfig, ReplicationHandle, start,
};
use yuccatack_storage::DiskSettings;

/// Large enough for the logs of all measurements.
const DISK_BYTES: u64 = 1 << 40;

pub struct Node {
    pub handle: ReplicationHandle,
    pub committed: mpsc::UnboundedReceiver<(ReplicaId, Committed)>,
    shutdown: oneshot::Sender<()>,
    server: JoinHandle<()>,
}

pub struct Cluster {
    folder: PathBuf,
    addresses: BTreeMap<ReplicaId, SocketAddr>,
    pub nodes: BTreeMap<ReplicaId, Node>,
}

impl Cluster {
    pub async fn new(folder: &Path, voter_count: u64) -> Self {
        let mut listeners = BTreeMap::new();
        for number in 1..=voter_count {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            listeners.insert(ReplicaId::new(number), listener);
        }
        let addresses =
            listeners.iter().map(|(id, listener)| (*id, listener.local_addr().unwrap())).collect();
        let mut cluster = Self { folder: folder.to_owned(), addresses, nodes: BTreeMap::new() };
        for (id, listener) in listeners {
            cluster.start_on(id, listener).await;
        }
        cluster
    }

    pub async fn start(&mut self, id: ReplicaId) {
        let listener = TcpListener::bind(self.addresses[&id]).await.unwrap();
        self.start_on(id, listener).await;
    }

    async fn start_on(&mut self, id: ReplicaId, listener: TcpListener) {
        let config = ReplicationConfig {
            replica: id,
            address: self.addresses[&id],
            initial_voters: self.addresses.clone(),
            heartbeat_ms: 50,
            election_timeout_ms: 250,
            snapshot_entry_count: u64::MAX,
            data_folder: self.folder.join(format!("replica-{id}")),
            disk: DiskSettings::new(DISK_BYTES),
        };
        let (handle, mut delivered, service) = start(config).await.unwrap();
        let (shutdown, stopped) = oneshot::channel::<()>();
        let server = tokio::spawn(async move {
            let served = Server::builder().add_service(service).serve_with_incoming_shutdown(
                TcpIncoming::from(listener).with_nodelay(Some(true)),
                async {
                    let _ = stopped.await;
                },
            );
            served.await.unwrap();
        });
        let (sender, committed) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Some(item) = delivered.recv().await {
                if sender.send((id, item)).is_err() {
                    return;
                }
            }
        });
        self.nodes.insert(id, Node { handle, committed, shutdown, server });
    }

    /// Stops a replica without a leadership transfer; its peers see broken connections.
    pub async fn stop(&mut self, id: ReplicaId) {
        let node = self.nodes.remove(&id).unwrap();
        node.handle.stop().await;
        let _ = node.shutdown.send(());
        node.server.await.unwrap();
    }

    pub async fn stop_all(mut self) {
        let ids: Vec<ReplicaId> = self.nodes.keys().copied().collect();
        for id in ids {
            self.stop(id).await;
        }
    }

    /// Waits until a replica leads and has delivered all entries of earlier terms.
    pub async fn leader(&mut self) -> ReplicaId {
        loop {
            for (id, node) in &mut self.nodes {
                while let Ok((_, item)) = node.committed.try_recv() {
                    if matches!(item, Committed::Leadership(Leadership::Leader { .. })) {
                        return *id;
                    }
                }
            }
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
    }
}
