//! Start of a replica: opens the data folder and spawns its tasks.

use std::sync::mpsc as blocking_mpsc;
use std::time::Instant;

use ractor::{Actor, ActorRef};
use tokio::sync::{mpsc, oneshot, watch};
use yuccatack_core::{DurationMs, FastHashMap, TimestampMs};
use yuccatack_storage::{DataFolder, DiskSettings, Store};

use super::storage_task::{StorageEvent, StorageTask, decode_recovered};
use super::{ActorMessage, ActorState, Peers, ReplicationActor};
use crate::committed::Committed;
use crate::error::{ActorSnafu, InvalidSettingsSnafu, StartError};
use crate::handle::{ReplicationConfig, ReplicationStatus};
use crate::persistence::Recovered;
use crate::state::{Replica, ReplicaSettings};

/// Capacity of the channel to the user of the log; further items wait in the replica.
const COMMITTED_QUEUE_LENGTH: usize = 1_024;

/// Maximum size of the entries in one message. Small messages delay the heartbeats behind them
/// less.
const APPEND_LIMIT_BYTES: usize = 256 * 1024;

/// Running actor with the channels that it feeds.
pub(crate) struct RunningReplica {
    pub actor: ActorRef<ActorMessage>,
    pub committed: mpsc::Receiver<Committed>,
    pub status: watch::Receiver<ReplicationStatus>,
    pub closed: watch::Receiver<bool>,
}

pub(crate) async fn start_actor(config: ReplicationConfig) -> Result<RunningReplica, StartError> {
    validate(&config)?;
    let folder_path = config.data_folder.clone();
    let replica_id = config.replica.get();
    let disk = config.disk.clone();
    let opened =
        tokio::task::spawn_blocking(move || open_folder(&disk, &folder_path, replica_id)).await;
    let (folder, store, recovered) =
        opened.map_err(|error| StartError::Actor { detail: error.to_string() })??;

    let settings = ReplicaSettings {
        replica: config.replica,
        incarnation: folder.incarnation(),
        address: config.address,
        initial_voters: config.initial_voters.clone(),
        heartbeat: DurationMs::new(config.heartbeat_ms),
        election_timeout: DurationMs::new(config.election_timeout_ms),
        snapshot_entry_count: config.snapshot_entry_count,
        disk_capacity_bytes: config.disk.capacity_bytes,
        append_limit_bytes: APPEND_LIMIT_BYTES,
    };
    let replica = Replica::new(settings, recovered, rand::random(), TimestampMs::new(0));

    let (batches, waiting_batches) = blocking_mpsc::channel();
    let (storage_ended_sender, storage_ended) = oneshot::channel();
    let (committed_sender, pending) = mpsc::unbounded_channel();
    let (delivered, committed) = mpsc::channel(COMMITTED_QUEUE_LENGTH);
    let (status_sender, status) = watch::channel(ReplicationStatus::from_view(&replica.view()));
    let (closed_sender, closed) = watch::channel(false);
    tokio::spawn(forward_to_bounded(pending, delivered));
    let state = ActorState {
        replica,
        started_at: Instant::now(),
        batches: Some(batches),
        storage_ended: Some(storage_ended),
        committed: committed_sender,
        status: status_sender,
        closed: closed_sender,
        peers: Peers::new(config.initial_voters),
        timer: None,
        flush_requested: false,
        next_change: 0,
        changes: FastHashMap::default(),
        transfer_replies: Vec::new(),
    };
    let (actor, _) = Actor::spawn(None, ReplicationActor, state)
        .await
        .map_err(|error| ActorSnafu { detail: error.to_string() }.build())?;

    let storage_actor = actor.clone();
    tokio::task::spawn_blocking(move || {
        // The task owns the folder, whose lock is held exactly as long as its files are in use.
        let notify = |event| notify_actor(&storage_actor, event);
        StorageTask::new(folder, store, waiting_batches, notify).run();
        drop(storage_ended_sender);
    });
    Ok(RunningReplica { actor, committed, status, closed })
}

fn validate(config: &ReplicationConfig) -> Result<(), StartError> {
    let problem = if config.replica.get() == 0 {
        "replica ID 0 is reserved for \"no replica\""
    } else if config.heartbeat_ms == 0 || config.election_timeout_ms <= 2 * config.heartbeat_ms {
        "the election timeout must be more than twice the heartbeat interval, which must not be 0"
    } else if config.snapshot_entry_count == 0 {
        "the number of entries between snapshots is 0 and must be at least 1"
    } else {
        return Ok(());
    };
    InvalidSettingsSnafu { problem }.fail()
}

fn open_folder(
    disk: &DiskSettings,
    path: &std::path::Path,
    replica_id: u64,
) -> Result<(DataFolder, Store, Recovered), StartError> {
    let folder = DataFolder::open_on_disk(disk, path, replica_id)?;
    let (store, stored) = Store::open(&folder)?;
    let recovered = decode_recovered(stored)
        .map_err(|error| StartError::Undecodable { detail: error.to_string() })?;
    Ok((folder, store, recovered))
}

fn notify_actor(actor: &ActorRef<ActorMessage>, event: StorageEvent) {
    let message = match event {
        StorageEvent::Written(sequence) => ActorMessage::Synced(sequence),
        StorageEvent::DiskFull(full) => ActorMessage::DiskFull(full),
        StorageEvent::Failed(failure) => ActorMessage::StorageFailed(failure),
    };
    // The actor may have stopped; then the event is not needed.
    let _ = actor.cast(message);
}

/// Forwards items to the bounded channel of the user, so that a slow user does not delay
/// heartbeats.
///
/// The unbounded channel needs little memory: its items share their payloads with the log.
async fn forward_to_bounded(
    mut pending: mpsc::UnboundedReceiver<Committed>,
    delivered: mpsc::Sender<Committed>,
) {
    while let Some(item) = pending.recv().await {
        if delivered.send(item).await.is_err() {
            return;
        }
    }
}
