//! What the leader knows of each node from its reports.

use std::collections::BTreeMap;
use std::sync::Arc;

use yuccatack_core::prelude::*;

use crate::limits::{CLOCK_MARGIN, FRESHNESS_DURATION, MINION_LIVENESS_TIMEOUT, NODE_RETENTION};
use crate::message::Report;
use crate::state::{MinionEntry, MinionState};

/// A process: a restarted node is another one, and its predecessor may still be running.
type ProcessKey = (NodeName, Incarnation);

#[derive(Debug)]
struct Process {
    applied_revision: Revision,
    last_report_at: TimestampMs,
    /// A time after which it was alive for certain; see `Stream::report`.
    alive_at: Option<TimestampMs>,
    /// The order in which processes were first heard of.
    first_seen: u64,
    minion: Option<Arc<MinionEntry>>,
    /// Changes when a route must change.
    route_version: u64,
    /// Changes with every change of the entry.
    load_version: u64,
}

/// A minion as the entries should see it.
#[derive(Clone, Debug)]
pub struct ListedMinion {
    /// The minion.
    pub entry: Arc<MinionEntry>,
    /// Changes when a route must change.
    pub route_version: u64,
    /// Changes with every change of the entry.
    pub load_version: u64,
    /// A time after which its node was alive for certain.
    pub alive_at: TimestampMs,
}

/// The nodes that reported to this leader.
#[derive(Debug, Default)]
pub struct NodeTable {
    processes: BTreeMap<ProcessKey, Process>,
    minions: BTreeMap<NodeName, ListedMinion>,
    version: u64,
    route_version: u64,
}

impl NodeTable {
    /// Takes a report in. A minion is listed once it has a proof of life.
    pub fn report(&mut self, report: &Report, alive_at: Option<TimestampMs>, now: TimestampMs) {
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
            if routes_differ(process.minion.as_deref(), entry.as_deref()) {
                process.route_version = version;
            }
            process.load_version = version;
            process.minion = entry;
        }
        self.list_minion(&report.node, now);
    }

    /// Drops what has become too old.
    pub fn expire(&mut self, now: TimestampMs) {
        self.processes.retain(|_, process| now.since(process.last_report_at) <= NODE_RETENTION);
        let silent: Vec<NodeName> = self
            .minions
            .iter()
            .filter(|(_, minion)| now.since(minion.alive_at) >= MINION_LIVENESS_TIMEOUT)
            .map(|(node, _)| node.clone())
            .collect();
        for node in silent {
            self.list_minion(&node, now);
        }
    }

    /// The minions that the entries should see, by node.
    pub const fn minions(&self) -> &BTreeMap<NodeName, ListedMinion> {
        &self.minions
    }

    /// Changes whenever a minion appears, disappears or must be routed to differently.
    pub const fn route_version(&self) -> u64 {
        self.route_version
    }

    /// How many processes are known.
    pub fn process_count(&self) -> usize {
        self.processes.len()
    }

    /// The nodes that may still start work by an older revision than `revision`.
    pub fn missing(&self, revision: Revision, now: TimestampMs) -> Vec<NodeName> {
        let limit = FRESHNESS_DURATION + CLOCK_MARGIN;
        self.processes
            .iter()
            .filter(|(_, process)| process.applied_revision < revision)
            .filter(|(_, process)| now.since(process.last_report_at) <= limit)
            .map(|((node, _), _)| node.clone())
            .collect()
    }

    /// Lists the minion of the newest process of a node, if that is alive.
    fn list_minion(&mut self, node: &NodeName, now: TimestampMs) {
        let least = (node.clone(), Incarnation::new(0));
        let most = (node.clone(), Incarnation::new(u64::MAX));
        let newest = self
            .processes
            .range(least..=most)
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
        let earlier = self.minions.get(node).map(|minion| minion.route_version);
        if earlier != listed.as_ref().map(|minion| minion.route_version) {
            self.route_version += 1;
        }
        match listed {
            Some(minion) => self.minions.insert(node.clone(), minion),
            None => self.minions.remove(node),
        };
    }
}

/// Whether anything but the load differs.
fn routes_differ(earlier: Option<&MinionEntry>, later: Option<&MinionEntry>) -> bool {
    let (Some(earlier), Some(later)) = (earlier, later) else { return true };
    earlier.data_centre != later.data_centre || earlier.status.routing_differs_from(&later.status)
}
