//! Simulated node with its subscriber and minion.

use yuccatack_core::prelude::*;
use yuccatack_view::{MinionState, MinionStatus, NodeIdentity, NodeRole, SubscriberState};

pub struct Node {
    pub name: NodeName,
    pub role: NodeRole,
    pub incarnation: Incarnation,
    pub state: SubscriberState,
    pub link: Option<u64>,
    pub hint: Option<usize>,
    pub reconnect_at: u64,
    pub idle_deadline: u64,
    pub report_at: u64,
    pub suspended_until: u64,
    /// Time of the restart; `None` while the process exists.
    pub restart_at: Option<u64>,
    pub minion_state: MinionState,
    /// Time at which the process ends; set once its end or the departure of its minion is decided.
    pub terminates_at: Option<u64>,
}

impl Node {
    pub fn new(index: usize, role: NodeRole, incarnation: u64) -> Self {
        let name = NodeName::new(&format!("node-{index}")).unwrap();
        let incarnation = Incarnation::new(incarnation);
        let identity = NodeIdentity {
            node: name.clone(),
            incarnation,
            role,
            data_centre: DataCentreName::new("desaru").unwrap(),
        };
        Self {
            name,
            role,
            incarnation,
            state: SubscriberState::new(identity),
            link: None,
            hint: None,
            reconnect_at: 0,
            idle_deadline: 0,
            report_at: 0,
            suspended_until: 0,
            restart_at: None,
            minion_state: MinionState::Ready,
            terminates_at: None,
        }
    }

    pub fn is_running(&self, now: u64) -> bool {
        self.restart_at.is_none() && now >= self.suspended_until
    }

    pub fn minion(&self, load: u32) -> Option<MinionStatus> {
        match self.role {
            NodeRole::Entry => None,
            NodeRole::Agent => Some(MinionStatus {
                minion: MinionName::new(self.name.as_str()).unwrap(),
                service: ServiceName::new("rank").unwrap(),
                agent_address: "127.0.0.1:9".parse().unwrap(),
                state: self.minion_state,
                slot_count: 8,
                slots_in_use: load,
                queued_count: 0,
                latency_us: 0,
            }),
        }
    }
}
