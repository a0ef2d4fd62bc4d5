//! State of one view stream on the leader.

use std::collections::{BTreeMap, VecDeque};

use yuccatack_core::prelude::*;

use crate::message::{NodeRole, Report};

/// Maximum number of reports that wait for a confirmation of leadership. A node sends two a second,
/// so the oldest report of a longer queue has waited for many seconds and is of no use any more.
const MAX_UNCONFIRMED_REPORTS: usize = 32;

/// Versions of a minion that were last sent on a stream; see `ListedMinion`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentMinion {
    pub route_version: u64,
    pub load_version: u64,
}

/// Maximum number of acknowledgements whose send time is kept until a report shows their receipt.
const MAX_SENT_ACKNOWLEDGEMENTS: usize = 32;

/// View stream of one node.
#[derive(Debug)]
pub struct Stream {
    pub(super) role: Option<NodeRole>,
    pub(super) last_report_at: TimestampMs,
    /// Revision that the node is at once it has applied every update sent.
    pub(super) sent_revision: Revision,
    /// True once the first update was sent.
    pub(super) started: bool,
    unconfirmed_reports: VecDeque<(u64, TimestampMs)>,
    pub(super) confirmed_sequence: u64,
    pub(super) acknowledged_sequence: u64,
    /// Sent acknowledgements whose receipt is not yet proven, and their send times, oldest first.
    sent_acknowledgements: VecDeque<(u64, TimestampMs)>,
    /// Latest time at or after which the node is proven to have run.
    alive_at: Option<TimestampMs>,
    pub(super) minions: BTreeMap<NodeName, SentMinion>,
    pub(super) sent_route_version: Option<u64>,
    pub(super) load_sent_at: TimestampMs,
}

impl Stream {
    /// Creates the state of a stream without reports.
    pub fn new(now: TimestampMs) -> Self {
        Self {
            role: None,
            last_report_at: now,
            sent_revision: Revision::default(),
            started: false,
            unconfirmed_reports: VecDeque::new(),
            confirmed_sequence: 0,
            acknowledged_sequence: 0,
            sent_acknowledgements: VecDeque::new(),
            alive_at: None,
            minions: BTreeMap::new(),
            sent_route_version: None,
            load_sent_at: now,
        }
    }

    /// Records a report and returns the latest time at or after which the node is proven to have
    /// sent it; `None` before the node has received an acknowledgement.
    ///
    /// The time of receipt proves nothing, because a report can be delayed in transit.
    pub fn handle_report(&mut self, report: &Report, now: TimestampMs) -> Option<TimestampMs> {
        self.last_report_at = now;
        if self.role.is_none() {
            self.role = Some(report.role);
            self.sent_revision = report.applied_revision;
        }
        self.unconfirmed_reports.push_back((report.sequence, now));
        if self.unconfirmed_reports.len() > MAX_UNCONFIRMED_REPORTS {
            self.unconfirmed_reports.pop_front();
        }
        while let Some((sequence, sent_at)) = self.sent_acknowledgements.front()
            && *sequence <= report.received_acknowledgement
        {
            self.alive_at = Some(*sent_at);
            self.sent_acknowledgements.pop_front();
        }
        self.alive_at
    }

    /// Records that all confirmed reports are acknowledged at `now`, and returns the sequence of
    /// the newest one.
    pub fn acknowledge(&mut self, now: TimestampMs) -> u64 {
        if self.acknowledged_sequence != self.confirmed_sequence {
            self.acknowledged_sequence = self.confirmed_sequence;
            self.sent_acknowledgements.push_back((self.acknowledged_sequence, now));
            if self.sent_acknowledgements.len() > MAX_SENT_ACKNOWLEDGEMENTS {
                self.sent_acknowledgements.pop_front();
            }
        }
        self.acknowledged_sequence
    }

    /// Marks the reports received before `confirmed_at` as ready for acknowledgement.
    pub fn confirm(&mut self, confirmed_at: TimestampMs) {
        while let Some((sequence, received_at)) = self.unconfirmed_reports.front() {
            // Equal times do not count, because both are rounded down to milliseconds.
            if *received_at >= confirmed_at {
                return;
            }
            self.confirmed_sequence = self.confirmed_sequence.max(*sequence);
            self.unconfirmed_reports.pop_front();
        }
    }
}
