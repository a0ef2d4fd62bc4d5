//! The decisions of the node's side of the view, free of I/O and clocks.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use snafu::Snafu;
use yuccatack_core::prelude::*;
use yuccatack_records::{RecordKey, decode};

use crate::limits::{FRESHNESS_DURATION, MINION_FRESHNESS_DURATION};
use crate::message::{Delta, NodeRole, PublishedRecord, Report, Update, UpdateBody};
use crate::state::{MinionEntry, MinionState, MinionStatus, RecordEntry, View};

/// Reports whose send time is remembered; two a second, and none is useful after 3 s.
const MAX_SENT_REPORTS: usize = 64;

/// What a node says of itself in every report.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// The node.
    pub node: NodeName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// What it is.
    pub role: NodeRole,
    /// Where it runs.
    pub data_centre: DataCentreName,
}

/// An update that cannot be applied; the stream is to be replaced.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum UpdateError {
    /// The sender is behind this node.
    #[snafu(display(
        "the control replica is at revision {offered} and this node at {applied}; the node looks \
         for the current leader; if the control replicas were set up anew, restart the node"
    ))]
    StaleLeader {
        /// The sender's revision.
        offered: Revision,
        /// The node's revision.
        applied: Revision,
    },
    /// A difference does not start where this node is.
    #[snafu(display(
        "a difference from revision {base} does not fit this node's {applied}; it subscribes again"
    ))]
    RevisionGap {
        /// Where the difference starts.
        base: Revision,
        /// The node's revision.
        applied: Revision,
    },
    /// A record cannot be read.
    #[snafu(display(
        "{key} cannot be read: {detail}; upgrade this node to the version of the control replicas"
    ))]
    Unreadable {
        /// The record.
        key: RecordKey,
        /// What is wrong.
        detail: String,
    },
}

/// The view of one node and what the leader has confirmed of it.
#[derive(Debug)]
pub struct SubscriberState {
    identity: NodeIdentity,
    view: Arc<View>,
    sequence: u64,
    /// Reports of the current stream without an acknowledgement, oldest first.
    sent: VecDeque<(u64, TimestampMs)>,
    /// The newest acknowledgement on the current stream.
    received_acknowledgement: u64,
    /// When the newest acknowledged report of the current stream was sent.
    confirmed_at: Option<TimestampMs>,
    fresh_until: Option<TimestampMs>,
    /// The minions listed on the current stream.
    listed: BTreeMap<NodeName, Arc<MinionEntry>>,
    /// Until when each known minion may get work.
    minion_limits: BTreeMap<NodeName, TimestampMs>,
}

impl SubscriberState {
    /// A node without a view.
    pub fn new(identity: NodeIdentity) -> Self {
        Self {
            identity,
            view: Arc::default(),
            sequence: 0,
            sent: VecDeque::new(),
            received_acknowledgement: 0,
            confirmed_at: None,
            fresh_until: None,
            listed: BTreeMap::new(),
            minion_limits: BTreeMap::new(),
        }
    }

    /// The current view.
    pub const fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Until when new work may start.
    ///
    /// That is 3 s after the newest confirmed report was sent, and not longer than every minion in
    /// the view may get work: a process that was suspended must not route by a view that has since
    /// become too old.
    pub fn fresh_until(&self) -> Option<TimestampMs> {
        let limit = self.fresh_until?;
        Some(self.next_expiry().map_or(limit, |expiry| limit.min(expiry)))
    }

    /// When [`Self::expire`] has something to do.
    pub fn next_expiry(&self) -> Option<TimestampMs> {
        let minions = self.view.minions.keys();
        minions.filter_map(|node| self.minion_limits.get(node)).copied().min()
    }

    /// A new stream starts: acknowledgements of the earlier one do not count any more.
    pub fn start_stream(&mut self) {
        self.sent.clear();
        self.received_acknowledgement = 0;
        self.confirmed_at = None;
        self.listed.clear();
    }

    /// The next report. Pass the time before it is sent.
    pub fn next_report(&mut self, minion: Option<MinionStatus>, now: TimestampMs) -> Report {
        self.sequence += 1;
        self.sent.push_back((self.sequence, now));
        if self.sent.len() > MAX_SENT_REPORTS {
            self.sent.pop_front();
        }
        let leaving = minion.as_ref().is_some_and(|m| m.state == MinionState::Leaving);
        Report {
            node: self.identity.node.clone(),
            incarnation: self.identity.incarnation,
            role: self.identity.role,
            data_centre: self.identity.data_centre.clone(),
            sequence: self.sequence,
            applied_revision: self.view.revision,
            minion,
            leaving,
            received_acknowledgement: self.received_acknowledgement,
        }
    }

    /// Applies an update of the current stream; an error leaves the view as it was.
    ///
    /// True means that a report is due at once: the revision changed, or the stream brought its
    /// first acknowledgement, which proves to the leader that the node is alive.
    pub fn apply(&mut self, update: Update, now: TimestampMs) -> Result<bool, UpdateError> {
        let applied = self.view.revision;
        let had_acknowledgement = self.received_acknowledgement > 0;
        if update.revision < applied {
            return Err(UpdateError::StaleLeader { offered: update.revision, applied });
        }
        match update.body {
            Some(body) => self.apply_body(update.revision, body)?,
            None if update.revision > applied => {
                return Err(UpdateError::RevisionGap { base: update.revision, applied });
            }
            None => {}
        }
        self.acknowledge(update.acknowledged_sequence);
        self.extend_minions(update.oldest_minion_age);
        self.list_minions(now);
        let first_acknowledgement = !had_acknowledgement && self.received_acknowledgement > 0;
        Ok(first_acknowledgement || self.view.revision != applied)
    }

    /// Drops the minions whose time has run out; tells whether the view changed.
    pub fn expire(&mut self, now: TimestampMs) -> bool {
        let expired =
            |node: &NodeName| self.minion_limits.get(node).is_none_or(|limit| *limit <= now);
        if !self.view.minions.keys().any(expired) {
            return false;
        }
        self.list_minions(now);
        true
    }

    fn apply_body(&mut self, revision: Revision, body: UpdateBody) -> Result<(), UpdateError> {
        debug_assert!(revision >= self.view.revision, "the node would go back to {revision}");
        let mut view = View::clone(&self.view);
        match body {
            UpdateBody::Snapshot { records, minions } => {
                view.records = read_records(&records)?.collect();
                self.listed = minions.into_iter().map(|m| (m.node.clone(), m)).collect();
            }
            UpdateBody::Delta(delta) => self.apply_delta(&mut view, delta)?,
        }
        view.revision = revision;
        self.view = Arc::new(view);
        Ok(())
    }

    fn apply_delta(&mut self, view: &mut View, delta: Delta) -> Result<(), UpdateError> {
        let applied = view.revision;
        if delta.base_revision != applied {
            return Err(UpdateError::RevisionGap { base: delta.base_revision, applied });
        }
        view.records.extend(read_records(&delta.changed_records)?);
        for key in &delta.removed_records {
            view.records.remove(key);
        }
        for minion in delta.changed_minions {
            self.listed.insert(minion.node.clone(), minion);
        }
        for node in &delta.removed_minion_nodes {
            self.listed.remove(node);
            self.minion_limits.remove(node);
        }
        Ok(())
    }

    fn acknowledge(&mut self, sequence: u64) {
        self.received_acknowledgement = self.received_acknowledgement.max(sequence);
        while let Some((oldest, sent_at)) = self.sent.front().copied() {
            if oldest > sequence {
                return;
            }
            self.sent.pop_front();
            self.confirmed_at = self.confirmed_at.max(Some(sent_at));
            self.fresh_until = self.fresh_until.max(Some(sent_at + FRESHNESS_DURATION));
        }
    }

    /// Each listed minion was alive at most `oldest_age` before the update was sent, and that was
    /// after this node had sent the confirmed report.
    fn extend_minions(&mut self, oldest_age: DurationMs) {
        let Some(confirmed_at) = self.confirmed_at else { return };
        let window =
            DurationMs::new(MINION_FRESHNESS_DURATION.get().saturating_sub(oldest_age.get()));
        for node in self.listed.keys() {
            let limit = self.minion_limits.entry(node.clone()).or_default();
            *limit = (confirmed_at + window).max(*limit);
        }
    }

    /// Puts the minions into the view that may get work now: those that the current stream lists,
    /// and those of earlier streams, which a new leader may not have heard of yet.
    fn list_minions(&mut self, now: TimestampMs) {
        self.minion_limits.retain(|_, limit| *limit > now);
        let mut minions = BTreeMap::new();
        for node in self.minion_limits.keys() {
            let entry = self.listed.get(node).or_else(|| self.view.minions.get(node));
            if let Some(entry) = entry {
                minions.insert(node.clone(), Arc::clone(entry));
            }
        }
        if minions != self.view.minions {
            Arc::make_mut(&mut self.view).minions = minions;
        }
    }
}

fn read_records(
    records: &[Arc<PublishedRecord>],
) -> Result<impl Iterator<Item = (RecordKey, Arc<RecordEntry>)> + use<>, UpdateError> {
    let mut entries = Vec::with_capacity(records.len());
    for published in records {
        let record = decode(&published.document).map_err(|problems| {
            let details: BTreeSet<String> = problems.iter().map(ToString::to_string).collect();
            let detail = details.into_iter().collect::<Vec<_>>().join("; ");
            UpdateError::Unreadable { key: published.key.clone(), detail }
        })?;
        let entry =
            RecordEntry { generation: published.generation, revision: published.revision, record };
        entries.push((published.key.clone(), Arc::new(entry)));
    }
    Ok(entries.into_iter())
}
