//! What must hold at every moment of a run.

use std::collections::BTreeMap;

use yuccatack_core::prelude::*;
use yuccatack_view::{MinionState, NodeRole};

use crate::node::Node;

/// The promised limit for departures.
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

/// Generations by name at one revision.
pub type Contents = BTreeMap<String, u64>;

#[derive(Default)]
pub struct Invariants {
    pub seed: u64,
    /// The newest revision that any replica said is in force everywhere.
    pub declared: u64,
    /// The records at each revision.
    pub contents: Vec<Contents>,
    pub newest_seen: BTreeMap<(NodeName, Incarnation), Revision>,
    pub departures: BTreeMap<(NodeName, Incarnation), u64>,
    pub summary: Summary,
}

impl Invariants {
    /// A replica says that `revision` is in force everywhere.
    pub fn declare(&mut self, revision: u64) {
        if revision > self.declared {
            self.declared = revision;
            self.summary.declared_revisions += 1;
        }
    }

    /// A process ends, is suspended or announces its departure.
    pub fn depart(&mut self, node: &Node, now: u64) {
        self.departures.entry((node.name.clone(), node.incarnation)).or_insert(now);
    }

    /// A suspended process goes on.
    pub fn resume(&mut self, node: &Node) {
        self.departures.remove(&(node.name.clone(), node.incarnation));
    }

    /// A running node tries to start work.
    pub fn start_work(&mut self, node: &Node, now: u64) {
        let view = node.state.view();
        let seed = self.seed;
        let fresh = node.state.fresh_until().is_some_and(|limit| now < limit.get());
        if !fresh {
            self.summary.refused_starts += 1;
            return;
        }
        self.summary.work_starts += 1;
        assert!(
            view.revision.get() >= self.declared,
            "seed {seed}, {now} ms: {} started work by revision {}, but {} is in force everywhere",
            node.name,
            view.revision,
            self.declared
        );
        if node.role != NodeRole::Entry {
            return;
        }
        let ready = view.minions.values().filter(|m| m.status.state == MinionState::Ready);
        for minion in ready {
            self.summary.dispatches += 1;
            let departed = self.departures.get(&(minion.node.clone(), minion.incarnation));
            let late = departed.is_some_and(|at| now > at + DEPARTURE_LIMIT_MS);
            assert!(
                !late,
                "seed {seed}, {now} ms: {} chose the minion of {} that left at {departed:?} ms",
                node.name, minion.node
            );
        }
    }

    /// A node's view changed.
    pub fn check_view(&mut self, node: &Node, now: u64) {
        let view = node.state.view();
        let seed = self.seed;
        let key = (node.name.clone(), node.incarnation);
        let newest = self.newest_seen.entry(key).or_default();
        assert!(
            view.revision >= *newest,
            "seed {seed}, {now} ms: {} went back from revision {newest} to {}",
            node.name,
            view.revision
        );
        *newest = view.revision;
        let held: Contents = view
            .records
            .iter()
            .map(|(key, entry)| (key.name.to_string(), entry.generation.get()))
            .collect();
        let index = usize::try_from(view.revision.get()).unwrap();
        assert_eq!(held, self.contents[index], "seed {seed}, {now} ms: {}", node.name);
    }
}
