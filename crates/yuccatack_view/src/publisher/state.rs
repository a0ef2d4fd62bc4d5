//! Decisions of the publisher, without I/O or access to a clock.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use yuccatack_core::prelude::*;

use super::nodes::{ListedMinion, NodeTable};
use super::records::PublishedRecords;
use super::stream::{SentMinion, Stream};
use crate::limits::{
    CLOCK_MARGIN, FRESHNESS_DURATION, LOAD_UPDATE_INTERVAL, MAX_LOAD_ENTRIES, STREAM_IDLE_TIMEOUT,
};
use crate::message::{Delta, NodeRole, PublishedRecord, RecordUpdate, Report, Update, UpdateBody};
use crate::state::MinionEntry;

/// Maximum number of revisions that wait for a confirmation of leadership, which arrives several
/// times a second.
const MAX_UNCONFIRMED_REVISIONS: usize = 10_000;

/// Number of a stream, unique within one process.
pub type StreamId = u64;

/// Leadership of this replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Leadership {
    Follower { leader: Option<SocketAddr> },
    Leader { since: TimestampMs },
}

/// Error returned by a replica that is not the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NotLeader {
    /// Address of the leader; `None` if it is not known.
    pub leader: Option<SocketAddr>,
}

/// Progress of a change towards being in force on all nodes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InForceStatus {
    /// True if no node can start work at an older revision any more.
    pub everywhere: bool,
    /// Nodes that have recently reported an older revision.
    pub missing_nodes: Vec<NodeName>,
}

/// Published records, known nodes and open streams of a control replica.
#[derive(Debug)]
pub struct PublisherState {
    leadership: Leadership,
    records: PublishedRecords,
    nodes: NodeTable,
    streams: BTreeMap<StreamId, Stream>,
    /// Revisions published since the last confirmation of leadership, oldest first, and the time of
    /// their publication.
    unconfirmed_revisions: VecDeque<(Revision, TimestampMs)>,
    /// Newest revision whose publication was followed by a confirmation of leadership.
    confirmed_revision: Revision,
}

impl Default for PublisherState {
    fn default() -> Self {
        Self {
            leadership: Leadership::Follower { leader: None },
            records: PublishedRecords::default(),
            nodes: NodeTable::default(),
            streams: BTreeMap::new(),
            unconfirmed_revisions: VecDeque::new(),
            confirmed_revision: Revision::default(),
        }
    }
}

impl PublisherState {
    /// Returns the newest published revision.
    pub const fn revision(&self) -> Revision {
        self.records.revision()
    }

    /// Replaces all records by those of a snapshot at `revision`.
    pub fn reset(&mut self, revision: Revision, records: Vec<PublishedRecord>, now: TimestampMs) {
        self.records.reset(revision, records);
        self.track_unconfirmed_revision(now);
    }

    /// Publishes one committed change, on the leader and on followers.
    pub fn publish(&mut self, update: RecordUpdate, now: TimestampMs) {
        self.records.apply(update);
        self.track_unconfirmed_revision(now);
    }

    /// Starts to act as the leader. The state of nodes from an earlier term is discarded.
    pub fn become_leader(&mut self, now: TimestampMs) {
        self.leadership = Leadership::Leader { since: now };
        self.nodes = NodeTable::default();
        self.streams.clear();
        self.confirmed_revision = Revision::default();
        self.unconfirmed_revisions.clear();
        self.track_unconfirmed_revision(now);
    }

    /// Starts to act as a follower of `leader`, which removes every stream.
    pub fn become_follower(&mut self, leader: Option<SocketAddr>) {
        self.leadership = Leadership::Follower { leader };
        self.streams.clear();
        self.unconfirmed_revisions.clear();
    }

    /// Opens a stream, or returns an error on a follower.
    pub fn open(&mut self, stream: StreamId, now: TimestampMs) -> Result<(), NotLeader> {
        match self.leadership {
            Leadership::Follower { leader } => Err(NotLeader { leader }),
            Leadership::Leader { .. } => {
                self.streams.insert(stream, Stream::new(now));
                Ok(())
            }
        }
    }

    /// Removes a stream; its node stays known.
    pub fn close(&mut self, stream: StreamId) {
        self.streams.remove(&stream);
    }

    /// Records a report of an open stream and ignores a report of a closed one.
    pub fn handle_report(&mut self, stream: StreamId, report: &Report, now: TimestampMs) {
        let Some(stream) = self.streams.get_mut(&stream) else { return };
        let alive_at = stream.handle_report(report, now);
        self.nodes.handle_report(report, alive_at, now);
    }

    /// Records that a quorum confirmed after `confirmed_at` that this replica is the leader.
    ///
    /// Reports received before that time are acknowledged, because no other leader can have
    /// committed a change before a node sent them. Every change committed by then must already be
    /// published here.
    pub fn confirm_leadership(&mut self, confirmed_at: TimestampMs) {
        while let Some((revision, published_at)) = self.unconfirmed_revisions.front().copied()
            && published_at < confirmed_at
        {
            self.confirmed_revision = revision;
            self.unconfirmed_revisions.pop_front();
        }
        for stream in self.streams.values_mut() {
            stream.confirm(confirmed_at);
        }
    }

    /// Removes expired minions and closes idle streams, and returns the closed streams.
    pub fn expire(&mut self, now: TimestampMs) -> Vec<StreamId> {
        self.nodes.expire(now);
        let idle_streams: Vec<StreamId> = self
            .streams
            .iter()
            .filter(|(_, stream)| now.since(stream.last_report_at) > STREAM_IDLE_TIMEOUT)
            .map(|(id, _)| *id)
            .collect();
        for id in &idle_streams {
            self.streams.remove(id);
        }
        idle_streams
    }

    /// Returns the open streams.
    pub fn stream_ids(&self) -> Vec<StreamId> {
        self.streams.keys().copied().collect()
    }

    /// Returns the number of processes that reported within the retention time of nodes.
    pub fn node_count(&self) -> usize {
        self.nodes.process_count()
    }

    /// Returns the minions in the views of the entries.
    pub fn minions(&self) -> Vec<Arc<MinionEntry>> {
        self.nodes.minions().values().map(|minion| Arc::clone(&minion.entry)).collect()
    }

    /// Returns whether `revision` is in force everywhere, and the nodes that have not applied it.
    pub fn in_force(&self, revision: Revision, now: TimestampMs) -> InForceStatus {
        let missing_nodes = self.nodes.nodes_behind(revision, now);
        let all_nodes_known = match self.leadership {
            Leadership::Follower { .. } => false,
            // Until then, a node that has reported only to the previous leader is not known here
            // and may still be fresh.
            Leadership::Leader { since } => now.since(since) > FRESHNESS_DURATION + CLOCK_MARGIN,
        };
        // A replaced leader does not know the nodes that subscribe to the new leader, so the
        // revision counts only once the leadership is confirmed after its publication.
        let confirmed = revision <= self.confirmed_revision;
        InForceStatus {
            everywhere: all_nodes_known && confirmed && missing_nodes.is_empty(),
            missing_nodes,
        }
    }

    fn track_unconfirmed_revision(&mut self, now: TimestampMs) {
        match self.leadership {
            Leadership::Follower { .. } => {}
            Leadership::Leader { .. } => {
                self.unconfirmed_revisions.push_back((self.records.revision(), now));
                // The revision of a removed entry is confirmed together with the next one.
                if self.unconfirmed_revisions.len() > MAX_UNCONFIRMED_REVISIONS {
                    self.unconfirmed_revisions.pop_front();
                }
            }
        }
    }

    /// Returns `true` if `revision` is in force everywhere.
    pub fn in_force_everywhere(&self, revision: Revision, now: TimestampMs) -> bool {
        self.in_force(revision, now).everywhere
    }

    /// Returns the update that is due on a stream, if there is one, and marks it as sent. It must
    /// be called only if the stream has capacity for it.
    pub fn next_update(&mut self, stream: StreamId, now: TimestampMs) -> Option<Update> {
        let stream = self.streams.get_mut(&stream)?;
        let role = stream.role?;
        let revision = self.records.revision();
        // A leader that is still behind the node must not send it an older revision.
        if stream.sent_revision > revision {
            return None;
        }
        let empty = BTreeMap::new();
        let minions = match role {
            NodeRole::Entry => self.nodes.minions(),
            NodeRole::Agent => &empty,
        };
        let body = if !stream.started && !self.records.can_resume_from(stream.sent_revision) {
            Some(build_snapshot(stream, &self.records, minions))
        } else {
            let route_version = self.nodes.route_version();
            build_delta(stream, &self.records, minions, route_version, now).map(UpdateBody::Delta)
        };
        if body.is_none()
            && stream.confirmed_sequence == stream.acknowledged_sequence
            && stream.started
        {
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

fn build_snapshot(
    stream: &mut Stream,
    records: &PublishedRecords,
    minions: &BTreeMap<NodeName, ListedMinion>,
) -> UpdateBody {
    stream.minions =
        minions.iter().map(|(node, minion)| (node.clone(), sent_minion(minion))).collect();
    UpdateBody::Snapshot {
        records: records.all(),
        minions: minions.values().map(|minion| Arc::clone(&minion.entry)).collect(),
    }
}

const fn sent_minion(minion: &ListedMinion) -> SentMinion {
    SentMinion { route_version: minion.route_version, load_version: minion.load_version }
}

fn build_delta(
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
    let load_due = now.since(stream.load_sent_at) >= LOAD_UPDATE_INTERVAL;
    if load_due || stream.sent_route_version != Some(route_version) {
        add_minion_changes(stream, minions, load_due, &mut delta);
        stream.sent_route_version = Some(route_version);
        if load_due {
            stream.load_sent_at = now;
        }
    }
    let changed = !delta.is_empty() || records.revision() != stream.sent_revision;
    changed.then_some(delta)
}

fn add_minion_changes(
    stream: &mut Stream,
    minions: &BTreeMap<NodeName, ListedMinion>,
    load_due: bool,
    delta: &mut Delta,
) {
    let is_removed = |node: &NodeName| !minions.contains_key(node);
    delta.removed_minion_nodes =
        stream.minions.keys().filter(|node| is_removed(node)).cloned().collect();
    for node in &delta.removed_minion_nodes {
        stream.minions.remove(node);
    }
    let mut outdated_loads: Vec<(u64, &NodeName, &ListedMinion)> = Vec::new();
    for (node, minion) in minions {
        match stream.minions.get(node) {
            Some(sent) if sent.route_version == minion.route_version => {
                if load_due && sent.load_version != minion.load_version {
                    outdated_loads.push((sent.load_version, node, minion));
                }
            }
            _ => {
                stream.minions.insert(node.clone(), sent_minion(minion));
                delta.changed_minions.push(Arc::clone(&minion.entry));
            }
        }
    }
    // The loads that were sent longest ago come first, so that each minion is updated eventually.
    outdated_loads.sort_unstable_by_key(|(load_version, _, _)| *load_version);
    for (_, node, minion) in outdated_loads.into_iter().take(MAX_LOAD_ENTRIES) {
        stream.minions.insert(node.clone(), sent_minion(minion));
        delta.changed_minions.push(Arc::clone(&minion.entry));
    }
}
