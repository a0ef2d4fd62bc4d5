//! Cluster of replicas in one process, on loopback and with real files.
#![allow(clippy::unwrap_used, missing_docs, dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use yuccatack_replication::{
    Committed, Leadership, LogIndex, ProposalClass, ProposalId, ReadId, ReplicaId,
    ReplicationConfig, ReplicationHandle, start,
};
use yuccatack_stand_ins::DiskStandIn;
use yuccatack_storage::DiskSettings;

pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub struct Node {
    pub handle: ReplicationHandle,
    pub committed: mpsc::Receiver<Committed>,
    pub applied: Vec<(LogIndex, Bytes)>,
    pub snapshot: Option<(LogIndex, Bytes)>,
    /// Minimum size of the snapshots that this node takes.
    pub snapshot_bytes: usize,
    shutdown: Option<oneshot::Sender<()>>,
    server: tokio::task::JoinHandle<()>,
}

pub struct Cluster {
    pub folder: tempfile::TempDir,
    pub addresses: BTreeMap<ReplicaId, SocketAddr>,
    pub voters: BTreeMap<ReplicaId, SocketAddr>,
    pub nodes: BTreeMap<ReplicaId, Node>,
    pub snapshot_entry_count: u64,
    /// Disks of the replicas; one is added when its replica starts for the first time.
    pub disks: BTreeMap<ReplicaId, DiskStandIn>,
    pub disk_bytes: u64,
}

/// Size of a disk that no test fills by accident.
pub const LARGE_DISK_BYTES: u64 = 1 << 30;

/// Returns the test state as of `index`: a text, padded with bytes that depend on their offset.
pub fn state_at(index: LogIndex, shortest_bytes: usize) -> Bytes {
    let mut state = format!("state at {index}").into_bytes();
    while state.len() < shortest_bytes {
        state.extend_from_slice(&(state.len() as u64 ^ index.get()).to_le_bytes());
    }
    Bytes::from(state)
}

pub fn replica(number: u64) -> ReplicaId {
    ReplicaId::new(number)
}

impl Cluster {
    pub async fn new(voter_count: u64, snapshot_entry_count: u64) -> Self {
        Self::on_disks(voter_count, snapshot_entry_count, LARGE_DISK_BYTES).await
    }

    /// Starts a cluster as [`Cluster::new`] does, with a disk of `disk_bytes` per replica.
    pub async fn on_disks(voter_count: u64, snapshot_entry_count: u64, disk_bytes: u64) -> Self {
        let mut cluster = Self::empty(snapshot_entry_count);
        cluster.disk_bytes = disk_bytes;
        let mut listeners = BTreeMap::new();
        for number in 1..=voter_count {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            cluster.addresses.insert(replica(number), listener.local_addr().unwrap());
            listeners.insert(replica(number), listener);
        }
        cluster.voters = cluster.addresses.clone();
        for (id, listener) in listeners {
            cluster.start_on(id, listener).await;
        }
        cluster
    }

    pub fn empty(snapshot_entry_count: u64) -> Self {
        Self {
            folder: tempfile::tempdir().unwrap(),
            addresses: BTreeMap::new(),
            voters: BTreeMap::new(),
            nodes: BTreeMap::new(),
            snapshot_entry_count,
            disks: BTreeMap::new(),
            disk_bytes: LARGE_DISK_BYTES,
        }
    }

    pub fn data_folder(&self, id: ReplicaId) -> PathBuf {
        self.folder.path().join(format!("replica-{id}"))
    }

    pub fn config(&mut self, id: ReplicaId) -> ReplicationConfig {
        let disk_bytes = self.disk_bytes;
        let disk = self.disks.entry(id).or_insert_with(|| DiskStandIn::new(disk_bytes)).clone();
        ReplicationConfig {
            replica: id,
            address: self.addresses[&id],
            initial_voters: self.voters.clone(),
            heartbeat_ms: 50,
            election_timeout_ms: 250,
            snapshot_entry_count: self.snapshot_entry_count,
            data_folder: self.data_folder(id),
            disk: DiskSettings::new(disk_bytes).with_file_system(Arc::new(disk)),
        }
    }

    pub async fn start_on(&mut self, id: ReplicaId, listener: TcpListener) {
        let (handle, committed, service) = start(self.config(id)).await.unwrap();
        let (shutdown, stopped) = oneshot::channel::<()>();
        let server = tokio::spawn(async move {
            let served = Server::builder().add_service(service).serve_with_incoming_shutdown(
                TcpIncoming::from(listener),
                async {
                    let _ = stopped.await;
                },
            );
            served.await.unwrap();
        });
        let node = Node {
            handle,
            committed,
            applied: Vec::new(),
            snapshot: None,
            snapshot_bytes: 0,
            shutdown: Some(shutdown),
            server,
        };
        self.nodes.insert(id, node);
    }

    pub async fn start(&mut self, id: ReplicaId) {
        let address = *self.addresses.entry(id).or_insert("127.0.0.1:0".parse().unwrap());
        let listener = TcpListener::bind(address).await.unwrap();
        self.addresses.insert(id, listener.local_addr().unwrap());
        self.start_on(id, listener).await;
    }

    pub async fn stop(&mut self, id: ReplicaId) {
        let mut node = self.nodes.remove(&id).unwrap();
        node.handle.clone().stop().await;
        let _ = node.shutdown.take().unwrap().send(());
        timeout(WAIT_TIMEOUT, node.server).await.unwrap().unwrap();
    }

    /// Waits until a replica leads and has delivered all entries of earlier terms.
    pub async fn leader(&mut self) -> ReplicaId {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            for (id, node) in &mut self.nodes {
                while let Ok(item) = node.committed.try_recv() {
                    let leads = matches!(item, Committed::Leadership(Leadership::Leader { .. }));
                    node.apply(item);
                    if leads {
                        return *id;
                    }
                }
            }
            assert!(tokio::time::Instant::now() < deadline, "no leader in time");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    pub fn node(&mut self, id: ReplicaId) -> &mut Node {
        self.nodes.get_mut(&id).unwrap()
    }
}

impl Node {
    /// Applies an item to the state, which is the list of commands.
    pub fn apply(&mut self, item: Committed) {
        match item {
            Committed::Entry { index, payload, .. } => self.applied.push((index, payload)),
            Committed::Snapshot { index, payload } => {
                self.applied.clear();
                self.snapshot = Some((index, payload));
            }
            Committed::SnapshotRequested { index } => {
                self.handle.store_snapshot(index, state_at(index, self.snapshot_bytes));
            }
            _ => {}
        }
    }

    /// Applies items until `is_wanted` accepts one, and returns it.
    pub async fn wait_for(&mut self, is_wanted: impl Fn(&Committed) -> bool) -> Committed {
        timeout(WAIT_TIMEOUT, async {
            loop {
                let item = self.committed.recv().await.expect("the replica stopped");
                self.apply(item.clone());
                if is_wanted(&item) {
                    return item;
                }
            }
        })
        .await
        .expect("expected item within the wait timeout")
    }

    pub async fn propose(&mut self, number: u64, payload: &str) -> Committed {
        let id = ProposalId::new(number);
        self.handle.propose(id, ProposalClass::Growth, Bytes::copy_from_slice(payload.as_bytes()));
        self.wait_for(|item| match item {
            Committed::Entry { proposal, .. } => *proposal == Some(id),
            Committed::ProposalFailed { proposal, .. } => *proposal == id,
            _ => false,
        })
        .await
    }

    pub async fn read(&mut self, number: u64) -> Committed {
        let id = ReadId::new(number);
        self.handle.read(id);
        self.wait_for(|item| match item {
            Committed::ReadReady { read } | Committed::ReadFailed { read, .. } => *read == id,
            _ => false,
        })
        .await
    }

    pub async fn wait_for_entry(&mut self, payload: &str) {
        let wanted = Bytes::copy_from_slice(payload.as_bytes());
        if self.applied.iter().any(|(_, applied)| *applied == wanted) {
            return;
        }
        self.wait_for(
            |item| matches!(item, Committed::Entry { payload, .. } if *payload == wanted),
        )
        .await;
    }
}
