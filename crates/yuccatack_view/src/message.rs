//! Messages between nodes and the leader, independent of their encoding.

use std::sync::Arc;

use bytes::Bytes;
use yuccatack_core::prelude::*;
use yuccatack_records::{RecordKey, RecordKind, RecordStore, StoredRecord};

use crate::state::{MinionEntry, MinionStatus};

/// Role of a subscribed process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeRole {
    /// Routes requests and therefore receives the minions.
    Entry,
    /// Runs requests on its minion and receives records only.
    Agent,
}

/// State that a node sends to the leader at regular intervals and after changes.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Name of the sending node, which stays the same across restarts.
    pub node: NodeName,
    /// Distinguishes the process from earlier and later processes of the same node.
    pub incarnation: Incarnation,
    /// Role of the process, which decides whether it receives minions.
    pub role: NodeRole,
    /// Data centre that the node runs in.
    pub data_centre: DataCentreName,
    /// Increases with each report of a process, also across its streams.
    pub sequence: u64,
    /// Revision that the node has applied.
    pub applied_revision: Revision,
    /// Status of the minion; `None` at entries and at agents whose minion is not yet known.
    pub minion: Option<MinionStatus>,
    /// True while the process shuts down in an orderly way.
    pub leaving: bool,
    /// Newest acknowledgement received on this stream; 0 if there is none.
    pub received_acknowledgement: u64,
}

/// Record as it is sent to the nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PublishedRecord {
    /// Kind and name, which identify the record.
    pub key: RecordKey,
    /// Version of the record.
    pub generation: Generation,
    /// Revision of the change that created this version.
    pub revision: Revision,
    /// JSON document as it was submitted.
    pub document: Bytes,
}

impl PublishedRecord {
    /// Returns `true` if records of this kind are sent to nodes. Jobs, the most numerous kind, are
    /// not, because no node uses them.
    pub const fn is_published(kind: RecordKind) -> bool {
        match kind {
            RecordKind::Job => false,
            RecordKind::Organisation
            | RecordKind::Guarantee
            | RecordKind::Policy
            | RecordKind::Service
            | RecordKind::Objective
            | RecordKind::Membership => true,
        }
    }
}

impl From<(&RecordKey, &StoredRecord)> for PublishedRecord {
    fn from((key, stored): (&RecordKey, &StoredRecord)) -> Self {
        Self {
            key: key.clone(),
            generation: stored.generation,
            revision: stored.revision,
            document: Bytes::copy_from_slice(stored.document.as_bytes()),
        }
    }
}

/// Committed change that the control process passes to the publisher.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordUpdate {
    /// Revision of the record store after the change.
    pub revision: Revision,
    /// Records that the change submitted or replaced.
    pub changed: Vec<PublishedRecord>,
    /// Keys of the records that the change withdrew.
    pub removed: Vec<RecordKey>,
}

impl RecordUpdate {
    /// Returns the update for the last change that `store` applied, which changed `key`.
    pub fn from_last_change(store: &RecordStore, key: &RecordKey) -> Self {
        let stored = store.get(key);
        Self {
            revision: store.revision(),
            changed: stored
                .map(|stored| PublishedRecord::from((key, stored)))
                .into_iter()
                .collect(),
            removed: if stored.is_none() { vec![key.clone()] } else { Vec::new() },
        }
    }
}

/// Message from the leader to a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Newest revision that the leader has published.
    pub revision: Revision,
    /// Sequence of the newest report that the leader received before a confirmation of its
    /// leadership; 0 if there is none.
    pub acknowledged_sequence: u64,
    /// Upper bound of the time since the proof of liveness of each minion listed on this stream.
    pub oldest_minion_age: DurationMs,
    /// Changed records and minions; `None` if only the acknowledgement is new.
    pub body: Option<UpdateBody>,
}

/// Records and minions of an update.
#[derive(Clone, Debug, PartialEq)]
pub enum UpdateBody {
    /// Complete content of the view.
    Snapshot {
        /// All published records.
        records: Vec<Arc<PublishedRecord>>,
        /// All listed minions; empty for agents.
        minions: Vec<Arc<MinionEntry>>,
    },
    /// Changes since the revision that the node is at and the minions last sent on the stream.
    Delta(Delta),
}

/// Changes of records and minions since a base revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delta {
    /// Revision that the node must be at to apply the delta.
    pub base_revision: Revision,
    /// Records submitted or replaced after the base revision.
    pub changed_records: Vec<Arc<PublishedRecord>>,
    /// Keys of the records withdrawn after the base revision.
    pub removed_records: Vec<RecordKey>,
    /// Minions added or updated since the previous update.
    pub changed_minions: Vec<Arc<MinionEntry>>,
    /// Nodes whose minions are no longer listed.
    pub removed_minion_nodes: Vec<NodeName>,
}

impl Delta {
    /// Returns `true` if no record and no minion differs; the revision may still differ.
    pub const fn is_empty(&self) -> bool {
        self.changed_records.is_empty()
            && self.removed_records.is_empty()
            && self.changed_minions.is_empty()
            && self.removed_minion_nodes.is_empty()
    }
}
