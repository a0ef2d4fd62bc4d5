//! Faults that a run injects into replicas, nodes and the network.

use rand::RngExt;
use yuccatack_view::{MinionState, NodeRole};

use crate::simulation::{ENTRY_COUNT, REPLICA_COUNT, STEP_MS, Simulation};

impl Simulation {
    /// Returns `true` in a random step, on average once in `mean_interval_ms`.
    pub fn occurs(&mut self, mean_interval_ms: u64) -> bool {
        self.rng.random_range(0..mean_interval_ms) < STEP_MS
    }

    pub fn inject_faults(&mut self) {
        let now = self.now;
        let leader_unreachable = !self.replicas[self.leader].is_reachable(now);
        if self.occurs(if leader_unreachable { 500 } else { 8_000 }) {
            self.elect_leader();
        }
        if self.occurs(6_000) {
            let replica = self.rng.random_range(0..REPLICA_COUNT);
            let until = now + self.rng.random_range(100..8_000);
            if self.rng.random_bool(0.5) {
                self.replicas[replica].suspended_until = until;
            } else {
                self.replicas[replica].partitioned_until = until;
            }
        }
        if self.occurs(1_000) {
            self.inject_link_fault();
        }
        if self.occurs(1_500) {
            self.inject_node_fault();
        }
        self.apply_due_suspensions();
    }

    pub fn clear_faults(&mut self) {
        for replica in &mut self.replicas {
            replica.suspended_until = replica.suspended_until.min(self.now);
            replica.partitioned_until = replica.partitioned_until.min(self.now);
        }
        for node in &mut self.nodes {
            node.suspended_until = node.suspended_until.min(self.now);
        }
    }

    fn elect_leader(&mut self) {
        let now = self.now;
        let candidate = self.rng.random_range(0..REPLICA_COUNT);
        if !self.replicas[candidate].is_reachable(now) {
            return;
        }
        let previous = std::mem::replace(&mut self.leader, candidate);
        self.invariants.summary.leader_changes += 1;
        // A replaced leader learns of its successor late and may be suspended meanwhile.
        self.replicas[previous].leadership_known_at = now + self.rng.random_range(0..5_000);
        self.replicas[candidate].is_leader = false;
        self.replicas[candidate].state.become_follower(None);
        self.replicas[candidate].leadership_known_at = now + self.rng.random_range(0..100);
    }

    fn inject_link_fault(&mut self) {
        let ids: Vec<u64> = self.links.keys().copied().collect();
        if ids.is_empty() {
            return;
        }
        let id = ids[self.rng.random_range(0..ids.len())];
        let until = self.now + self.rng.random_range(50..6_000);
        let fault = self.rng.random_range(0..4);
        let Some(link) = self.links.get_mut(&id) else { return };
        match fault {
            0 => link.up.stall(until),
            1 => link.down.stall(until),
            // The connection hangs and neither end is notified.
            2 => {
                link.up.stall(u64::MAX);
                link.down.stall(u64::MAX);
            }
            _ => {
                let node = link.node;
                self.links.remove(&id);
                if self.nodes[node].link == Some(id) {
                    self.disconnect(node);
                }
            }
        }
    }

    fn inject_node_fault(&mut self) {
        let now = self.now;
        let index = self.rng.random_range(0..self.nodes.len());
        let until = now + self.rng.random_range(100..9_000);
        let fault = self.rng.random_range(0..5);
        if !self.nodes[index].is_running(now) {
            return;
        }
        match fault {
            0 => {
                self.nodes[index].suspended_until = until;
                self.invariants.record_departure(&self.nodes[index], now);
            }
            1 => self.kill(index),
            2 => self.kill_with_delayed_reports(index),
            3 => self.kill_and_suspend_entry(index),
            _ if self.nodes[index].role == NodeRole::Agent => {
                let node = &mut self.nodes[index];
                node.minion_state = MinionState::Leaving;
                node.report_at = now;
                node.terminates_at.get_or_insert(until);
                self.invariants.record_departure(&self.nodes[index], now);
            }
            _ => {}
        }
    }

    /// Delays the last reports of a process until long after its end.
    fn kill_with_delayed_reports(&mut self, index: usize) {
        let killed_at = self.now + self.rng.random_range(100..700);
        let until = killed_at + self.rng.random_range(100..1_400);
        if let Some(link) = self.nodes[index].link.and_then(|id| self.links.get_mut(&id)) {
            link.up.stall(until);
        }
        self.nodes[index].terminates_at.get_or_insert(killed_at);
    }

    /// Ends a process and soon suspends an entry, until about 3 s after the end of the process.
    fn kill_and_suspend_entry(&mut self, index: usize) {
        self.kill(index);
        let entry = self.rng.random_range(0..ENTRY_COUNT);
        let from = self.now + self.rng.random_range(0..1_500);
        let until = self.now + self.rng.random_range(2_500..4_500);
        self.suspensions.push((from, entry, until));
    }

    fn apply_due_suspensions(&mut self) {
        let now = self.now;
        let nodes = &mut self.nodes;
        self.suspensions.retain(|(from, index, until)| {
            let due = now >= *from;
            if due {
                nodes[*index].suspended_until = nodes[*index].suspended_until.max(*until);
            }
            !due
        });
    }

    pub fn kill(&mut self, index: usize) {
        self.invariants.record_departure(&self.nodes[index], self.now);
        let restart_at = self.now + self.rng.random_range(10..5_000);
        self.disconnect(index);
        self.nodes[index].restart_at = Some(restart_at);
    }

    /// Closes the stream on the side of the node. Messages that it has sent may still arrive.
    pub fn disconnect(&mut self, index: usize) {
        let pause = self.rng.random_range(10..250);
        let node = &mut self.nodes[index];
        node.reconnect_at = self.now + pause;
        if let Some(link) = node.link.take().and_then(|id| self.links.get_mut(&id)) {
            link.closed_by_node = true;
        }
    }
}
