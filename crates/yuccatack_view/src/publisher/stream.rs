//! What the leader knows of one view stream.

use std::collections::{BTreeMap, VecDeque};

use yuccatack_core::prelude::*;

use crate::message::{NodeRole, Report};

/// Reports that wait for a confirmation of leadership; a node sends two a second, so more than
/// this many mean that no confirmation comes, and the oldest ones are of no use any more.
const MAX_UNCONFIRMED_REPORTS: usize = 32;

/// What a stream was told of a minion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SentMinion {
    /// See `ListedMinion`.
    pub route_version: u64,
    /// See `ListedMinion`.
    pub load_version: u64,
}

/// Acknowledgements whose time is remembered until a report shows that they were received.
const MAX_UNANSWERED_ACKNOWLEDGEMENTS: usize = 32;

/// One view stream.
#[derive(Debug)]
pub struct Stream {
    pub(super) role: Option<NodeRole>,
    pub(super) last_report_at: TimestampMs,
    /// The revision that the node holds once it has taken in everything sent.
    pub(super) sent_revision: Revision,
    /// Whether the first update was sent.
    pub(super) started: bool,
    unconfirmed: VecDeque<(u64, TimestampMs)>,
    pub(super) acknowledgeable: u64,
    pub(super) acknowledged: u64,
    /// When each acknowledgement was sent, oldest first.
    acknowledgements: VecDeque<(u64, TimestampMs)>,
    /// A time after which the node was alive for certain.
    alive_at: Option<TimestampMs>,
    pub(super) minions: BTreeMap<NodeName, SentMinion>,
    pub(super) seen_route_version: Option<u64>,
    pub(super) load_sent_at: TimestampMs,
}

impl Stream {
    /// A stream that has brought no report yet.
    pub fn new(now: TimestampMs) -> Self {
        Self {
            role: None,
            last_report_at: now,
            sent_revision: Revision::default(),
            started: false,
            unconfirmed: VecDeque::new(),
            acknowledgeable: 0,
            acknowledged: 0,
            acknowledgements: VecDeque::new(),
            alive_at: None,
            minions: BTreeMap::new(),
            seen_route_version: None,
            load_sent_at: now,
        }
    }

    /// Takes a report in; returns a time at or after which the node sent it, if one is certain.
    ///
    /// The time of receipt is of no use: a report may have been on its way for long.
    pub fn report(&mut self, report: &Report, now: TimestampMs) -> Option<TimestampMs> {
        self.last_report_at = now;
        if self.role.is_none() {
            self.role = Some(report.role);
            self.sent_revision = report.applied_revision;
        }
        self.unconfirmed.push_back((report.sequence, now));
        if self.unconfirmed.len() > MAX_UNCONFIRMED_REPORTS {
            self.unconfirmed.pop_front();
        }
        while let Some((sequence, sent_at)) = self.acknowledgements.front()
            && *sequence <= report.received_acknowledgement
        {
            self.alive_at = Some(*sent_at);
            self.acknowledgements.pop_front();
        }
        self.alive_at
    }

    /// Notes that everything acknowledgeable is being acknowledged.
    pub fn acknowledge(&mut self, now: TimestampMs) -> u64 {
        if self.acknowledged != self.acknowledgeable {
            self.acknowledged = self.acknowledgeable;
            self.acknowledgements.push_back((self.acknowledged, now));
            if self.acknowledgements.len() > MAX_UNANSWERED_ACKNOWLEDGEMENTS {
                self.acknowledgements.pop_front();
            }
        }
        self.acknowledged
    }

    /// Makes the reports that were received before `confirmed_at` ready for acknowledgement.
    pub fn confirm(&mut self, confirmed_at: TimestampMs) {
        while let Some((sequence, received_at)) = self.unconfirmed.front() {
            // Strictly before: both times are rounded down to milliseconds.
            if *received_at >= confirmed_at {
                return;
            }
            self.acknowledgeable = self.acknowledgeable.max(*sequence);
            self.unconfirmed.pop_front();
        }
    }
}
