//! A node with its subscriber.

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
    pub silent_at: u64,
    pub report_at: u64,
    pub suspended_until: u64,
    /// Set while the process is dead.
    pub restart_at: Option<u64>,
    pub minion_state: MinionState,
    /// Set once the minion of this incarnation leaves; the process ends then.
    pub ends_at: Option<u64>,
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
            silent_at: 0,
            report_at: 0,
            suspended_until: 0,
            restart_at: None,
            minion_state: MinionState::Ready,
            ends_at: None,
        }
    }

    pub fn runs(&self, now: u64) -> bool {
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
