//! Opening the data folder and starting the actor.

use std::time::Instant;

use ractor::{Actor, ActorRef};
use tokio::sync::{mpsc, oneshot, watch};
use yuccatack_core::{DurationMs, FastHashMap, TimestampMs};
use yuccatack_storage::{DataFolder, Store};

use super::storage_task::{PersistError, decode_recovered, write_batches};
use super::{ActorMessage, ActorState, Peers, ReplicationActor};
use crate::committed::Committed;
use crate::error::{ActorSnafu, InvalidSettingsSnafu, StartError};
use crate::handle::{ReplicationConfig, ReplicationStatus};
use crate::persistence::Recovered;
use crate::state::{Replica, ReplicaSettings};

/// How many items the user of the log may lag behind before they wait in the replica.
const COMMITTED_QUEUE_LENGTH: usize = 1_024;

/// How many bytes of entries one message carries, so that a heartbeat waits behind little.
const APPEND_LIMIT_BYTES: usize = 256 * 1024;

/// A running actor and what it shares.
pub(crate) struct Started {
    pub actor: ActorRef<ActorMessage>,
    pub committed: mpsc::Receiver<Committed>,
    pub status: watch::Receiver<ReplicationStatus>,
    pub closed: watch::Receiver<bool>,
}

pub(crate) async fn start_actor(config: ReplicationConfig) -> Result<Started, StartError> {
    check(&config)?;
    let folder_path = config.data_folder.clone();
    let replica_id = config.replica.get();
    let opened = tokio::task::spawn_blocking(move || open_folder(&folder_path, replica_id)).await;
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
        append_limit_bytes: APPEND_LIMIT_BYTES,
    };
    let replica = Replica::new(settings, recovered, rand::random(), TimestampMs::new(0));

    let (batches, waiting_batches) = mpsc::unbounded_channel();
    let (storage_ended_sender, storage_ended) = oneshot::channel();
    let (committed_sender, undelivered) = mpsc::unbounded_channel();
    let (delivered, committed) = mpsc::channel(COMMITTED_QUEUE_LENGTH);
    let (status_sender, status) = watch::channel(ReplicationStatus::from_view(&replica.view()));
    let (closed_sender, closed) = watch::channel(false);
    tokio::spawn(deliver(undelivered, delivered));
    let state = ActorState {
        replica,
        started: Instant::now(),
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
        handovers: Vec::new(),
    };
    let (actor, _) = Actor::spawn(None, ReplicationActor, state)
        .await
        .map_err(|error| ActorSnafu { detail: error.to_string() }.build())?;

    let reporter = actor.clone();
    tokio::task::spawn_blocking(move || {
        write_batches(store, waiting_batches, |result| report(&reporter, result));
        // The lock on the folder lasts as long as its files are in use, and no longer than that.
        drop(folder);
        drop(storage_ended_sender);
    });
    Ok(Started { actor, committed, status, closed })
}

fn check(config: &ReplicationConfig) -> Result<(), StartError> {
    let problem = if config.replica.get() == 0 {
        "replica id 0 stands for no replica"
    } else if config.heartbeat_ms == 0 || config.election_timeout_ms <= 2 * config.heartbeat_ms {
        "the election timeout must be more than twice the heartbeat interval, which must not be 0"
    } else if config.snapshot_entry_count == 0 {
        "the number of entries between snapshots must not be 0"
    } else {
        return Ok(());
    };
    InvalidSettingsSnafu { problem }.fail()
}

fn open_folder(
    path: &std::path::Path,
    replica_id: u64,
) -> Result<(DataFolder, Store, Recovered), StartError> {
    let folder = DataFolder::open(path, replica_id)?;
    let (store, stored) = Store::open(&folder)?;
    let recovered = decode_recovered(stored)
        .map_err(|error| StartError::Undecodable { detail: error.to_string() })?;
    Ok((folder, store, recovered))
}

fn report(actor: &ActorRef<ActorMessage>, result: Result<u64, PersistError>) {
    let message = match result {
        Ok(sequence) => ActorMessage::Synced(sequence),
        Err(error) => ActorMessage::StorageFailed(error.into()),
    };
    // The actor may have stopped; then nobody waits for the report.
    let _ = actor.cast(message);
}

/// Moves items to the bounded queue of the user, so that a slow user does not delay heartbeats.
///
/// What waits here shares its payloads with the log in memory.
async fn deliver(
    mut undelivered: mpsc::UnboundedReceiver<Committed>,
    delivered: mpsc::Sender<Committed>,
) {
    while let Some(item) = undelivered.recv().await {
        if delivered.send(item).await.is_err() {
            return;
        }
    }
}
