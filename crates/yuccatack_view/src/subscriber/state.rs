//! Decisions of the subscriber, without I/O or access to a clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use snafu::Snafu;
use yuccatack_core::prelude::*;
use yuccatack_records::{RecordKey, decode};

use crate::limits::{FRESHNESS_DURATION, MINION_FRESHNESS_DURATION};
use crate::message::{Delta, NodeRole, PublishedRecord, Report, Update, UpdateBody};
use crate::state::{MinionEntry, MinionState, MinionStatus, RecordEntry, View};

/// Maximum number of reports whose send time is kept. A node sends two a second, and a report is of
/// no use after 3 s.
const MAX_UNACKNOWLEDGED_REPORTS: usize = 64;

/// Properties of a node that are the same in all its reports.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Name of the node, which stays the same across restarts.
    pub node: NodeName,
    /// Distinguishes the process from earlier and later processes of the same node.
    pub incarnation: Incarnation,
    /// Role of the process, which decides whether it receives minions.
    pub role: NodeRole,
    /// Data centre that the node runs in.
    pub data_centre: DataCentreName,
}

/// Error for an update that cannot be applied, after which the stream must be replaced.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum UpdateError {
    /// The sender has applied fewer changes than this node.
    #[snafu(display(
        "the control replica is at revision {offered}, behind this node at {applied}; searching \
         for the current leader; if the control replicas were reset to an empty state, restart the node"
    ))]
    StaleLeader {
        /// Revision of the sender.
        offered: Revision,
        /// Revision that the node has applied.
        applied: Revision,
    },
    /// An update does not start at the revision of this node.
    #[snafu(display(
        "the update starts at revision {base}, but this node is at {applied}; subscribing again"
    ))]
    RevisionGap {
        /// Revision at which the update starts.
        base: Revision,
        /// Revision that the node has applied.
        applied: Revision,
    },
    /// A record cannot be decoded, for example because its schema version is newer than this node.
    #[snafu(display(
        "record {key} cannot be decoded: {detail}; upgrade this node to the version of the control \
         replicas"
    ))]
    Unreadable {
        /// Kind and name of the record.
        key: RecordKey,
        /// Decoding errors, separated by semicolons.
        detail: String,
    },
}

/// View of one node, and the confirmations on which its freshness is based.
#[derive(Debug)]
pub struct SubscriberState {
    identity: NodeIdentity,
    view: Arc<View>,
    sequence: u64,
    /// Reports of the current stream without an acknowledgement, oldest first.
    unacknowledged_reports: VecDeque<(u64, TimestampMs)>,
    /// Newest acknowledgement received on the current stream; 0 if there is none.
    received_acknowledgement: u64,
    /// Send time of the newest acknowledged report of the current stream.
    confirmed_at: Option<TimestampMs>,
    fresh_until: Option<TimestampMs>,
    /// Minions that the leader has listed on the current stream.
    listed_minions: BTreeMap<NodeName, Arc<MinionEntry>>,
    /// Time until which each known minion may receive work.
    minion_expiries: BTreeMap<NodeName, TimestampMs>,
}

impl SubscriberState {
    /// Creates the state of a node that has received no update.
    pub fn new(identity: NodeIdentity) -> Self {
        Self {
            identity,
            view: Arc::default(),
            sequence: 0,
            unacknowledged_reports: VecDeque::new(),
            received_acknowledgement: 0,
            confirmed_at: None,
            fresh_until: None,
            listed_minions: BTreeMap::new(),
            minion_expiries: BTreeMap::new(),
        }
    }

    /// Returns the current view.
    pub const fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Returns the time until which new work may start; `None` before the first confirmation.
    ///
    /// This is 3 s after the newest confirmed report was sent, but not later than the first expiry
    /// of a minion in the view, because a process that was suspended must not route by a view that
    /// has expired meanwhile.
    pub fn fresh_until(&self) -> Option<TimestampMs> {
        let confirmed_until = self.fresh_until?;
        Some(self.next_expiry().map_or(confirmed_until, |expiry| confirmed_until.min(expiry)))
    }

    /// Returns the time at which the first minion in the view expires and [`Self::expire`] is due.
    pub fn next_expiry(&self) -> Option<TimestampMs> {
        let minions = self.view.minions.keys();
        minions.filter_map(|node| self.minion_expiries.get(node)).copied().min()
    }

    /// Starts a new stream. Acknowledgements of the previous one no longer count, because its
    /// leader may have been replaced.
    pub fn start_stream(&mut self) {
        self.unacknowledged_reports.clear();
        self.received_acknowledgement = 0;
        self.confirmed_at = None;
        self.listed_minions.clear();
    }

    /// Returns the next report. `now` must not be later than the time at which it is sent.
    pub fn next_report(&mut self, minion: Option<MinionStatus>, now: TimestampMs) -> Report {
        self.sequence += 1;
        self.unacknowledged_reports.push_back((self.sequence, now));
        if self.unacknowledged_reports.len() > MAX_UNACKNOWLEDGED_REPORTS {
            self.unacknowledged_reports.pop_front();
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

    /// Applies an update of the current stream. If it fails, the view is unchanged.
    ///
    /// Returns `true` if a report is due immediately. This is the case if the revision has changed,
    /// and at the first acknowledgement of the stream, whose receipt proves to the leader that the
    /// node is alive.
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
        self.extend_minion_expiries(update.oldest_minion_age);
        self.update_minions(now);
        let first_acknowledgement = !had_acknowledgement && self.received_acknowledgement > 0;
        Ok(first_acknowledgement || self.view.revision != applied)
    }

    /// Removes expired minions and returns `true` if the view has changed.
    pub fn expire(&mut self, now: TimestampMs) -> bool {
        let expired =
            |node: &NodeName| self.minion_expiries.get(node).is_none_or(|expiry| *expiry <= now);
        if !self.view.minions.keys().any(expired) {
            return false;
        }
        self.update_minions(now);
        true
    }

    fn apply_body(&mut self, revision: Revision, body: UpdateBody) -> Result<(), UpdateError> {
        debug_assert!(
            revision >= self.view.revision,
            "the view would regress to revision {revision}"
        );
        let mut view = View::clone(&self.view);
        match body {
            UpdateBody::Snapshot { records, minions } => {
                view.records = decode_records(&records)?.collect();
                self.listed_minions = minions.into_iter().map(|m| (m.node.clone(), m)).collect();
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
        view.records.extend(decode_records(&delta.changed_records)?);
        for key in &delta.removed_records {
            view.records.remove(key);
        }
        for minion in delta.changed_minions {
            self.listed_minions.insert(minion.node.clone(), minion);
        }
        for node in &delta.removed_minion_nodes {
            self.listed_minions.remove(node);
            self.minion_expiries.remove(node);
        }
        Ok(())
    }

    fn acknowledge(&mut self, sequence: u64) {
        self.received_acknowledgement = self.received_acknowledgement.max(sequence);
        while let Some((oldest, sent_at)) = self.unacknowledged_reports.front().copied() {
            if oldest > sequence {
                return;
            }
            self.unacknowledged_reports.pop_front();
            self.confirmed_at = self.confirmed_at.max(Some(sent_at));
            self.fresh_until = self.fresh_until.max(Some(sent_at + FRESHNESS_DURATION));
        }
    }

    /// Extends the time for which the listed minions may receive work. Each of them was alive at
    /// most `oldest_age` before the update was sent, and the update was sent after the confirmed
    /// report.
    fn extend_minion_expiries(&mut self, oldest_age: DurationMs) {
        let Some(confirmed_at) = self.confirmed_at else { return };
        let window =
            DurationMs::new(MINION_FRESHNESS_DURATION.get().saturating_sub(oldest_age.get()));
        for node in self.listed_minions.keys() {
            let expiry = self.minion_expiries.entry(node.clone()).or_default();
            *expiry = (confirmed_at + window).max(*expiry);
        }
    }

    /// Sets the minions of the view to those that may receive work at `now`: the minions listed on
    /// the current stream, and those of earlier streams, which a new leader may not know yet.
    fn update_minions(&mut self, now: TimestampMs) {
        self.minion_expiries.retain(|_, expiry| *expiry > now);
        let mut minions = BTreeMap::new();
        for node in self.minion_expiries.keys() {
            let entry = self.listed_minions.get(node).or_else(|| self.view.minions.get(node));
            if let Some(entry) = entry {
                minions.insert(node.clone(), Arc::clone(entry));
            }
        }
        if minions != self.view.minions {
            Arc::make_mut(&mut self.view).minions = minions;
        }
    }
}

fn decode_records(
    records: &[Arc<PublishedRecord>],
) -> Result<impl Iterator<Item = (RecordKey, Arc<RecordEntry>)> + use<>, UpdateError> {
    let mut entries = Vec::with_capacity(records.len());
    for published in records {
        let record = decode(&published.document).map_err(|errors| {
            let details: BTreeSet<String> = errors.iter().map(ToString::to_string).collect();
            let detail = details.into_iter().collect::<Vec<_>>().join("; ");
            UpdateError::Unreadable { key: published.key.clone(), detail }
        })?;
        let entry =
            RecordEntry { generation: published.generation, revision: published.revision, record };
        entries.push((published.key.clone(), Arc::new(entry)));
    }
    Ok(entries.into_iter())
}
