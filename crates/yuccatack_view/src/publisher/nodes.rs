//! State of each node as known from its reports.

use std::collections::BTreeMap;
use std::sync::Arc;

use yuccatack_core::prelude::*;

use crate::limits::{CLOCK_MARGIN, FRESHNESS_DURATION, MINION_LIVENESS_TIMEOUT, NODE_RETENTION};
use crate::message::Report;
use crate::state::{MinionEntry, MinionState};

/// Identifies a process. A restarted node is a new process, and the old one may still be running.
type ProcessKey = (NodeName, Incarnation);

#[derive(Debug)]
struct Process {
    applied_revision: Revision,
    last_report_at: TimestampMs,
    /// Latest time at or after which the process is proven to have run; see
    /// `Stream::handle_report`.
    alive_at: Option<TimestampMs>,
    /// Version of the table at the first report, which orders the processes of a node.
    first_seen: u64,
    minion: Option<Arc<MinionEntry>>,
    /// Changes when anything but the load changes.
    route_version: u64,
    /// Changes with every change of the entry, including its load.
    load_version: u64,
}

/// Minion that is included in the views of the entries.
#[derive(Clone, Debug)]
pub struct ListedMinion {
    pub entry: Arc<MinionEntry>,
    /// Changes when anything but the load changes.
    pub route_version: u64,
    /// Changes with every change of the entry, including its load.
    pub load_version: u64,
    /// Latest time at or after which its node is proven to have run.
    pub alive_at: TimestampMs,
}

/// Nodes that reported to this leader, and their minions.
#[derive(Debug, Default)]
pub struct NodeTable {
    processes: BTreeMap<ProcessKey, Process>,
    minions: BTreeMap<NodeName, ListedMinion>,
    version: u64,
    route_version: u64,
}

impl NodeTable {
    /// Records a report. A minion is listed once there is a proof of liveness of its node.
    pub fn handle_report(
        &mut self,
        report: &Report,
        alive_at: Option<TimestampMs>,
        now: TimestampMs,
    ) {
        self.version += 1;
        let version = self.version;
        let entry = report.minion.clone().map(|mut status| {
            if report.leaving {
                status.state = MinionState::Leaving;
            }
            Arc::new(MinionEntry {
                node: report.node.clone(),
                incarnation: report.incarnation,
                data_centre: report.data_centre.clone(),
                status,
            })
        });
        let key = (report.node.clone(), report.incarnation);
        let process = self.processes.entry(key).or_insert_with(|| Process {
            applied_revision: Revision::default(),
            last_report_at: now,
            alive_at: None,
            first_seen: version,
            minion: None,
            route_version: version,
            load_version: version,
        });
        process.last_report_at = now;
        process.alive_at = process.alive_at.max(alive_at);
        process.applied_revision = process.applied_revision.max(report.applied_revision);
        if process.minion != entry {
            if routing_differs(process.minion.as_deref(), entry.as_deref()) {
                process.route_version = version;
            }
            process.load_version = version;
            process.minion = entry;
        }
        self.update_listing(&report.node, now);
    }

    /// Removes processes without recent reports and minions without a recent proof of liveness.
    pub fn expire(&mut self, now: TimestampMs) {
        self.processes.retain(|_, process| now.since(process.last_report_at) <= NODE_RETENTION);
        let expired_nodes: Vec<NodeName> = self
            .minions
            .iter()
            .filter(|(_, minion)| now.since(minion.alive_at) >= MINION_LIVENESS_TIMEOUT)
            .map(|(node, _)| node.clone())
            .collect();
        for node in expired_nodes {
            self.update_listing(&node, now);
        }
    }

    /// Returns the minions for the views of the entries, by node.
    pub const fn minions(&self) -> &BTreeMap<NodeName, ListedMinion> {
        &self.minions
    }

    /// Returns a version that changes when a minion is added, removed or routed differently.
    pub const fn route_version(&self) -> u64 {
        self.route_version
    }

    /// Returns the number of processes in the table.
    pub fn process_count(&self) -> usize {
        self.processes.len()
    }

    /// Returns the nodes that may still start work at a revision older than `revision`.
    pub fn nodes_behind(&self, revision: Revision, now: TimestampMs) -> Vec<NodeName> {
        let max_silence = FRESHNESS_DURATION + CLOCK_MARGIN;
        self.processes
            .iter()
            .filter(|(_, process)| process.applied_revision < revision)
            .filter(|(_, process)| now.since(process.last_report_at) <= max_silence)
            .map(|((node, _), _)| node.clone())
            .collect()
    }

    /// Updates the listed minion of `node` to that of its newest process, if that process is proven
    /// to be alive.
    fn update_listing(&mut self, node: &NodeName, now: TimestampMs) {
        let first_key = (node.clone(), Incarnation::new(0));
        let last_key = (node.clone(), Incarnation::new(u64::MAX));
        let newest = self
            .processes
            .range(first_key..=last_key)
            .map(|(_, process)| process)
            .max_by_key(|process| process.first_seen);
        let listed = newest.and_then(|process| {
            let alive_at =
                process.alive_at.filter(|at| now.since(*at) < MINION_LIVENESS_TIMEOUT)?;
            Some(ListedMinion {
                entry: Arc::clone(process.minion.as_ref()?),
                route_version: process.route_version,
                load_version: process.load_version,
                alive_at,
            })
        });
        let previous = self.minions.get(node).map(|minion| minion.route_version);
        if previous != listed.as_ref().map(|minion| minion.route_version) {
            self.route_version += 1;
        }
        match listed {
            Some(minion) => self.minions.insert(node.clone(), minion),
            None => self.minions.remove(node),
        };
    }
}

/// Returns `true` if anything but the load differs.
fn routing_differs(previous: Option<&MinionEntry>, current: Option<&MinionEntry>) -> bool {
    let (Some(previous), Some(current)) = (previous, current) else { return true };
    previous.data_centre != current.data_centre
        || previous.status.routing_differs_from(&current.status)
}
