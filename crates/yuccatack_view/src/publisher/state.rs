//! The decisions of the leader's side of the view, free of I/O and clocks.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use yuccatack_core::prelude::*;

use super::nodes::{ListedMinion, NodeTable};
use super::records::PublishedRecords;
use super::stream::{SentMinion, Stream};
use crate::limits::{
    CLOCK_MARGIN, FRESHNESS_DURATION, LOAD_INTERVAL, MAX_LOAD_ENTRIES, STREAM_IDLE_TIMEOUT,
};
use crate::message::{Delta, NodeRole, PublishedRecord, RecordUpdate, Report, Update, UpdateBody};
use crate::state::MinionEntry;

/// Revisions that may wait for a confirmation of leadership, which comes several times a second.
const MAX_UNCONFIRMED_REVISIONS: usize = 10_000;

/// The number of a stream within one process.
pub type StreamId = u64;

/// Whether this replica leads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Leadership {
    Follower { leader: Option<SocketAddr> },
    Leader { since: TimestampMs },
}

/// The refusal of a replica that does not lead.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NotLeader {
    /// The leader's address, if it is known.
    pub leader: Option<SocketAddr>,
}

/// Whether a change is in force everywhere.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InForceStatus {
    /// True when no node starts work by an older revision any more.
    pub everywhere: bool,
    /// The nodes that report an older revision.
    pub missing_nodes: Vec<NodeName>,
}

/// The published records, the known nodes and the open streams.
#[derive(Debug)]
pub struct PublisherState {
    leadership: Leadership,
    records: PublishedRecords,
    nodes: NodeTable,
    streams: BTreeMap<StreamId, Stream>,
    /// Revisions published since the last confirmation of leadership, oldest first.
    unconfirmed: VecDeque<(Revision, TimestampMs)>,
    /// The newest revision whose publication was followed by a confirmation of leadership.
    confirmed_revision: Revision,
}

impl Default for PublisherState {
    fn default() -> Self {
        Self {
            leadership: Leadership::Follower { leader: None },
            records: PublishedRecords::default(),
            nodes: NodeTable::default(),
            streams: BTreeMap::new(),
            unconfirmed: VecDeque::new(),
            confirmed_revision: Revision::default(),
        }
    }
}

impl PublisherState {
    /// The newest published revision.
    pub const fn revision(&self) -> Revision {
        self.records.revision()
    }

    /// Replaces all records.
    pub fn reset(&mut self, revision: Revision, records: Vec<PublishedRecord>, now: TimestampMs) {
        self.records.reset(revision, records);
        self.await_confirmation(now);
    }

    /// Takes one committed change in, on leaders and followers alike.
    pub fn publish(&mut self, update: RecordUpdate, now: TimestampMs) {
        self.records.apply(update);
        self.await_confirmation(now);
    }

    /// This replica leads from now on; what it knew of nodes from an earlier term is void.
    pub fn become_leader(&mut self, now: TimestampMs) {
        self.leadership = Leadership::Leader { since: now };
        self.nodes = NodeTable::default();
        self.streams.clear();
        self.confirmed_revision = Revision::default();
        self.unconfirmed.clear();
        self.await_confirmation(now);
    }

    /// This replica does not lead; every stream ends.
    pub fn become_follower(&mut self, leader: Option<SocketAddr>) {
        self.leadership = Leadership::Follower { leader };
        self.streams.clear();
        self.unconfirmed.clear();
    }

    /// Opens a stream.
    pub fn open(&mut self, stream: StreamId, now: TimestampMs) -> Result<(), NotLeader> {
        match self.leadership {
            Leadership::Follower { leader } => Err(NotLeader { leader }),
            Leadership::Leader { .. } => {
                self.streams.insert(stream, Stream::new(now));
                Ok(())
            }
        }
    }

    /// Forgets a stream.
    pub fn close(&mut self, stream: StreamId) {
        self.streams.remove(&stream);
    }

    /// Takes a report of an open stream in; one of a stream that was cut changes nothing.
    pub fn report(&mut self, stream: StreamId, report: &Report, now: TimestampMs) {
        let Some(stream) = self.streams.get_mut(&stream) else { return };
        let alive_at = stream.report(report, now);
        self.nodes.report(report, alive_at, now);
    }

    /// A quorum confirmed, after `confirmed_at`, that this replica leads.
    ///
    /// Reports received before that are acknowledged: no other leader can have committed a change
    /// before a node sent them. Every change committed by then must have been published here.
    pub fn confirm_leadership(&mut self, confirmed_at: TimestampMs) {
        while let Some((revision, published_at)) = self.unconfirmed.front().copied()
            && published_at < confirmed_at
        {
            self.confirmed_revision = revision;
            self.unconfirmed.pop_front();
        }
        for stream in self.streams.values_mut() {
            stream.confirm(confirmed_at);
        }
    }

    /// Drops silent minions and returns the streams whose nodes fell silent.
    pub fn expire(&mut self, now: TimestampMs) -> Vec<StreamId> {
        self.nodes.expire(now);
        let silent: Vec<StreamId> = self
            .streams
            .iter()
            .filter(|(_, stream)| now.since(stream.last_report_at) > STREAM_IDLE_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        for id in &silent {
            self.streams.remove(id);
        }
        silent
    }

    /// The open streams.
    pub fn stream_ids(&self) -> Vec<StreamId> {
        self.streams.keys().copied().collect()
    }

    /// How many processes reported to this leader lately.
    pub fn node_count(&self) -> usize {
        self.nodes.process_count()
    }

    /// The minions that get work.
    pub fn minions(&self) -> Vec<Arc<MinionEntry>> {
        self.nodes.minions().values().map(|minion| Arc::clone(&minion.entry)).collect()
    }

    /// Whether no node starts work by an older revision than `revision` any more.
    pub fn in_force(&self, revision: Revision, now: TimestampMs) -> InForceStatus {
        let missing_nodes = self.nodes.missing(revision, now);
        let settled = match self.leadership {
            Leadership::Follower { .. } => false,
            // Nodes that reported only to the leader before are not known here until then.
            Leadership::Leader { since } => now.since(since) > FRESHNESS_DURATION + CLOCK_MARGIN,
        };
        // A deposed leader does not know the nodes that follow the new one.
        let confirmed = revision <= self.confirmed_revision;
        InForceStatus {
            everywhere: settled && confirmed && missing_nodes.is_empty(),
            missing_nodes,
        }
    }

    fn await_confirmation(&mut self, now: TimestampMs) {
        match self.leadership {
            Leadership::Follower { .. } => {}
            Leadership::Leader { .. } => {
                self.unconfirmed.push_back((self.records.revision(), now));
                // Without the oldest entry its revision is confirmed together with the next one.
                if self.unconfirmed.len() > MAX_UNCONFIRMED_REVISIONS {
                    self.unconfirmed.pop_front();
                }
            }
        }
    }

    /// [`Self::in_force`] without the names.
    pub fn in_force_everywhere(&self, revision: Revision, now: TimestampMs) -> bool {
        self.in_force(revision, now).everywhere
    }

    /// What a stream should be sent now, if anything. Call it only when the stream can take it.
    pub fn next_update(&mut self, stream: StreamId, now: TimestampMs) -> Option<Update> {
        let stream = self.streams.get_mut(&stream)?;
        let role = stream.role?;
        let revision = self.records.revision();
        // A leader that has not yet applied what the node has seen must not take it back.
        if stream.sent_revision > revision {
            return None;
        }
        let empty = BTreeMap::new();
        let minions = match role {
            NodeRole::Entry => self.nodes.minions(),
            NodeRole::Agent => &empty,
        };
        let body = if !stream.started && !self.records.can_resume_from(stream.sent_revision) {
            Some(snapshot(stream, &self.records, minions))
        } else {
            let route_version = self.nodes.route_version();
            difference(stream, &self.records, minions, route_version, now).map(UpdateBody::Delta)
        };
        if body.is_none() && stream.acknowledgeable == stream.acknowledged && stream.started {
            return None;
        }
        stream.started = true;
        stream.sent_revision = revision;
        let acknowledged_sequence = stream.acknowledge(now);
        let ages = stream.minions.keys().filter_map(|node| minions.get(node));
        let oldest_minion_age =
            ages.map(|minion| now.since(minion.alive_at)).max().unwrap_or_default();
        Some(Update { revision, acknowledged_sequence, oldest_minion_age, body })
    }
}

fn snapshot(
    stream: &mut Stream,
    records: &PublishedRecords,
    minions: &BTreeMap<NodeName, ListedMinion>,
) -> UpdateBody {
    stream.minions = minions.iter().map(|(node, minion)| (node.clone(), sent(minion))).collect();
    UpdateBody::Snapshot {
        records: records.all(),
        minions: minions.values().map(|minion| Arc::clone(&minion.entry)).collect(),
    }
}

const fn sent(minion: &ListedMinion) -> SentMinion {
    SentMinion { route_version: minion.route_version, load_version: minion.load_version }
}

fn difference(
    stream: &mut Stream,
    records: &PublishedRecords,
    minions: &BTreeMap<NodeName, ListedMinion>,
    route_version: u64,
    now: TimestampMs,
) -> Option<Delta> {
    let mut delta = Delta { base_revision: stream.sent_revision, ..Delta::default() };
    if records.revision() > stream.sent_revision {
        (delta.changed_records, delta.removed_records) =
            records.changes_after(stream.sent_revision);
    }
    let load_due = now.since(stream.load_sent_at) >= LOAD_INTERVAL;
    if load_due || stream.seen_route_version != Some(route_version) {
        collect_minions(stream, minions, load_due, &mut delta);
        stream.seen_route_version = Some(route_version);
        if load_due {
            stream.load_sent_at = now;
        }
    }
    let changed = !delta.is_empty() || records.revision() != stream.sent_revision;
    changed.then_some(delta)
}

fn collect_minions(
    stream: &mut Stream,
    minions: &BTreeMap<NodeName, ListedMinion>,
    load_due: bool,
    delta: &mut Delta,
) {
    let gone = |node: &NodeName| !minions.contains_key(node);
    delta.removed_minion_nodes = stream.minions.keys().filter(|node| gone(node)).cloned().collect();
    for node in &delta.removed_minion_nodes {
        stream.minions.remove(node);
    }
    let mut stale_loads: Vec<(u64, &NodeName, &ListedMinion)> = Vec::new();
    for (node, minion) in minions {
        match stream.minions.get(node) {
            Some(earlier) if earlier.route_version == minion.route_version => {
                if load_due && earlier.load_version != minion.load_version {
                    stale_loads.push((earlier.load_version, node, minion));
                }
            }
            _ => {
                stream.minions.insert(node.clone(), sent(minion));
                delta.changed_minions.push(Arc::clone(&minion.entry));
            }
        }
    }
    // The oldest loads first, so that every minion gets its turn.
    stale_loads.sort_unstable_by_key(|(load_version, _, _)| *load_version);
    for (_, node, minion) in stale_loads.into_iter().take(MAX_LOAD_ENTRIES) {
        stream.minions.insert(node.clone(), sent(minion));
        delta.changed_minions.push(Arc::clone(&minion.entry));
    }
}
