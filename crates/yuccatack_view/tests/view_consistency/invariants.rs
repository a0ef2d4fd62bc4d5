//! Invariants that hold throughout a run.

use std::collections::BTreeMap;

use yuccatack_core::prelude::*;
use yuccatack_view::{MinionState, NodeRole};

use crate::node::Node;

/// Longest time for which a departed minion may still receive work.
const DEPARTURE_LIMIT_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    pub declared_revisions: u64,
    pub work_starts: u64,
    pub refused_starts: u64,
    pub dispatches: u64,
    pub leader_changes: u64,
}

impl Summary {
    pub fn add(&mut self, other: &Self) {
        self.declared_revisions += other.declared_revisions;
        self.work_starts += other.work_starts;
        self.refused_starts += other.refused_starts;
        self.dispatches += other.dispatches;
        self.leader_changes += other.leader_changes;
    }
}

/// Generations of the records at one revision, by name.
pub type Contents = BTreeMap<String, u64>;

#[derive(Default)]
pub struct Invariants {
    pub seed: u64,
    /// Newest revision that any replica has reported as in force everywhere.
    pub in_force_revision: u64,
    /// Records at each revision.
    pub contents: Vec<Contents>,
    pub newest_revisions: BTreeMap<(NodeName, Incarnation), Revision>,
    pub departures: BTreeMap<(NodeName, Incarnation), u64>,
    pub summary: Summary,
}

impl Invariants {
    /// Records that a replica reports `revision` as in force everywhere.
    pub fn record_in_force(&mut self, revision: u64) {
        if revision > self.in_force_revision {
            self.in_force_revision = revision;
            self.summary.declared_revisions += 1;
        }
    }

    /// Records that a process ends, is suspended or announces its departure.
    pub fn record_departure(&mut self, node: &Node, now: u64) {
        self.departures.entry((node.name.clone(), node.incarnation)).or_insert(now);
    }

    /// Clears the departure of a process that runs again after a suspension.
    pub fn clear_departure(&mut self, node: &Node) {
        self.departures.remove(&(node.name.clone(), node.incarnation));
    }

    /// Lets a running node start work if its view is fresh, and checks the revision and the minions
    /// that it would use.
    pub fn try_work_start(&mut self, node: &Node, now: u64) {
        let view = node.state.view();
        let seed = self.seed;
        let fresh = node.state.fresh_until().is_some_and(|limit| now < limit.get());
        if !fresh {
            self.summary.refused_starts += 1;
            return;
        }
        self.summary.work_starts += 1;
        assert!(
            view.revision.get() >= self.in_force_revision,
            "seed {seed}, {now} ms: {} started work at revision {}, but {} is in force everywhere",
            node.name,
            view.revision,
            self.in_force_revision
        );
        if node.role != NodeRole::Entry {
            return;
        }
        let ready = view.minions.values().filter(|m| m.status.state == MinionState::Ready);
        for minion in ready {
            self.summary.dispatches += 1;
            let departed_at = self.departures.get(&(minion.node.clone(), minion.incarnation));
            let departed_too_long = departed_at.is_some_and(|at| now > at + DEPARTURE_LIMIT_MS);
            assert!(
                !departed_too_long,
                "seed {seed}, {now} ms: {} chose the minion of {} that departed at {departed_at:?} ms",
                node.name, minion.node
            );
        }
    }

    /// Checks that a changed view did not regress and contains the records of its revision.
    pub fn check_view(&mut self, node: &Node, now: u64) {
        let view = node.state.view();
        let seed = self.seed;
        let key = (node.name.clone(), node.incarnation);
        let newest = self.newest_revisions.entry(key).or_default();
        assert!(
            view.revision >= *newest,
            "seed {seed}, {now} ms: {} regressed from revision {newest} to {}",
            node.name,
            view.revision
        );
        *newest = view.revision;
        let view_contents: Contents = view
            .records
            .iter()
            .map(|(key, entry)| (key.name.to_string(), entry.generation.get()))
            .collect();
        let index = usize::try_from(view.revision.get()).unwrap();
        assert_eq!(
            view_contents, self.contents[index],
            "seed {seed}, {now} ms: records of {}",
            node.name
        );
    }
}
