//! What nodes and the leader tell each other, apart from its encoding.

use std::sync::Arc;

use bytes::Bytes;
use yuccatack_core::prelude::*;
use yuccatack_records::{RecordKey, RecordKind, RecordStore, StoredRecord};

use crate::state::{MinionEntry, MinionStatus};

/// What a subscribed process is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NodeRole {
    /// It routes requests and so needs the minions.
    Entry,
    /// It runs requests against its minion.
    Agent,
}

/// What a node says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The node.
    pub node: NodeName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// What it is.
    pub role: NodeRole,
    /// Where it runs.
    pub data_centre: DataCentreName,
    /// Grows with each report of a process.
    pub sequence: u64,
    /// The revision that it applies.
    pub applied_revision: Revision,
    /// Its minion; agents only.
    pub minion: Option<MinionStatus>,
    /// Whether it shuts down on purpose.
    pub leaving: bool,
    /// The newest acknowledgement received on this stream; 0 for none.
    pub received_acknowledgement: u64,
}

/// A record on its way to the nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PublishedRecord {
    /// The kind and name.
    pub key: RecordKey,
    /// The version of the record.
    pub generation: Generation,
    /// The change that brought this version.
    pub revision: Revision,
    /// The document as written.
    pub document: Bytes,
}

impl PublishedRecord {
    /// Whether nodes need records of this kind; they have no use for jobs, the most numerous kind.
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

/// One committed change, as the control process hands it to the publisher.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordUpdate {
    /// The position of the change.
    pub revision: Revision,
    /// Records that were submitted or changed.
    pub changed: Vec<PublishedRecord>,
    /// Records that were withdrawn.
    pub removed: Vec<RecordKey>,
}

impl RecordUpdate {
    /// The update for the change of `key` that `store` has applied last.
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

/// What the leader tells a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// The newest committed revision.
    pub revision: Revision,
    /// The newest report whose receipt is followed by a confirmation of leadership; 0 for none.
    pub acknowledged_sequence: u64,
    /// An upper bound for the silence of every minion listed on this stream.
    pub oldest_minion_age: DurationMs,
    /// What changed; `None` when only the acknowledgement is new.
    pub body: Option<UpdateBody>,
}

/// The changed part of an update.
#[derive(Clone, Debug, PartialEq)]
pub enum UpdateBody {
    /// Everything.
    Snapshot {
        /// Every record.
        records: Vec<Arc<PublishedRecord>>,
        /// Every minion.
        minions: Vec<Arc<MinionEntry>>,
    },
    /// The difference to what this stream held before.
    Delta(Delta),
}

/// A difference.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Delta {
    /// The revision that the node must hold.
    pub base_revision: Revision,
    /// Records that are new or changed.
    pub changed_records: Vec<Arc<PublishedRecord>>,
    /// Records that are gone.
    pub removed_records: Vec<RecordKey>,
    /// Minions that are new or changed.
    pub changed_minions: Vec<Arc<MinionEntry>>,
    /// Nodes whose minions are gone.
    pub removed_minion_nodes: Vec<NodeName>,
}

impl Delta {
    /// Whether nothing differs but possibly the revision.
    pub const fn is_empty(&self) -> bool {
        self.changed_records.is_empty()
            && self.removed_records.is_empty()
            && self.changed_minions.is_empty()
            && self.removed_minion_nodes.is_empty()
    }
}
