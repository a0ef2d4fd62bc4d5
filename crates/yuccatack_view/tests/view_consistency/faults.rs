//! The faults of a run and their end.

use rand::RngExt;
use yuccatack_view::{MinionState, NodeRole};

use crate::simulation::{ENTRY_COUNT, REPLICA_COUNT, STEP_MS, Simulation};

impl Simulation {
    pub fn chance(&mut self, mean_interval_ms: u64) -> bool {
        self.random.random_range(0..mean_interval_ms) < STEP_MS
    }

    pub fn inject_faults(&mut self) {
        let now = self.now;
        let led_by_none = !self.replicas[self.leader].reachable(now);
        if self.chance(if led_by_none { 500 } else { 8_000 }) {
            self.elect();
        }
        if self.chance(6_000) {
            let replica = self.random.random_range(0..REPLICA_COUNT);
            let until = now + self.random.random_range(100..8_000);
            if self.random.random_bool(0.5) {
                self.replicas[replica].suspended_until = until;
            } else {
                self.replicas[replica].partitioned_until = until;
            }
        }
        if self.chance(1_000) {
            self.disturb_link();
        }
        if self.chance(1_500) {
            self.disturb_node();
        }
        self.suspend_due();
    }

    pub fn heal(&mut self) {
        for replica in &mut self.replicas {
            replica.suspended_until = replica.suspended_until.min(self.now);
            replica.partitioned_until = replica.partitioned_until.min(self.now);
        }
        for node in &mut self.nodes {
            node.suspended_until = node.suspended_until.min(self.now);
        }
    }

    fn elect(&mut self) {
        let now = self.now;
        let candidate = self.random.random_range(0..REPLICA_COUNT);
        if !self.replicas[candidate].reachable(now) {
            return;
        }
        let earlier = std::mem::replace(&mut self.leader, candidate);
        self.invariants.summary.leader_changes += 1;
        // A deposed leader hears of it late, and may be suspended meanwhile.
        self.replicas[earlier].learns_at = now + self.random.random_range(0..5_000);
        self.replicas[candidate].leads = false;
        self.replicas[candidate].state.become_follower(None);
        self.replicas[candidate].learns_at = now + self.random.random_range(0..100);
    }

    fn disturb_link(&mut self) {
        let ids: Vec<u64> = self.links.keys().copied().collect();
        if ids.is_empty() {
            return;
        }
        let id = ids[self.random.random_range(0..ids.len())];
        let until = self.now + self.random.random_range(50..6_000);
        let fault = self.random.random_range(0..4);
        let Some(link) = self.links.get_mut(&id) else { return };
        match fault {
            0 => link.up.stall(until),
            1 => link.down.stall(until),
            // Neither side notices.
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

    fn disturb_node(&mut self) {
        let now = self.now;
        let index = self.random.random_range(0..self.nodes.len());
        let until = now + self.random.random_range(100..9_000);
        let fault = self.random.random_range(0..5);
        if !self.nodes[index].runs(now) {
            return;
        }
        match fault {
            0 => {
                self.nodes[index].suspended_until = until;
                self.invariants.depart(&self.nodes[index], now);
            }
            1 => self.kill(index),
            2 => self.kill_behind_stall(index),
            3 => self.kill_before_suspension(index),
            _ if self.nodes[index].role == NodeRole::Agent => {
                let node = &mut self.nodes[index];
                node.minion_state = MinionState::Leaving;
                node.report_at = now;
                node.ends_at.get_or_insert(until);
                self.invariants.depart(&self.nodes[index], now);
            }
            _ => {}
        }
    }

    /// The last reports of a process arrive long after its end.
    fn kill_behind_stall(&mut self, index: usize) {
        let killed_at = self.now + self.random.random_range(100..700);
        let until = killed_at + self.random.random_range(100..1_400);
        if let Some(link) = self.nodes[index].link.and_then(|id| self.links.get_mut(&id)) {
            link.up.stall(until);
        }
        self.nodes[index].ends_at.get_or_insert(killed_at);
    }

    /// An entry is suspended soon after the end of a process, until about 3 s after it.
    fn kill_before_suspension(&mut self, index: usize) {
        self.kill(index);
        let entry = self.random.random_range(0..ENTRY_COUNT);
        let from = self.now + self.random.random_range(0..1_500);
        let until = self.now + self.random.random_range(2_500..4_500);
        self.suspensions.push((from, entry, until));
    }

    fn suspend_due(&mut self) {
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
        self.invariants.depart(&self.nodes[index], self.now);
        let restart_at = self.now + self.random.random_range(10..5_000);
        self.disconnect(index);
        self.nodes[index].restart_at = Some(restart_at);
    }

    /// The node gives its stream up; what it has sent may still arrive.
    pub fn disconnect(&mut self, index: usize) {
        let pause = self.random.random_range(10..250);
        let node = &mut self.nodes[index];
        node.reconnect_at = self.now + pause;
        if let Some(link) = node.link.take().and_then(|id| self.links.get_mut(&id)) {
            link.closed_by_node = true;
        }
    }
}
