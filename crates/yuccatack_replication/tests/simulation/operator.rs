//! Simulated operator that replaces wiped voters and changes the membership at random.

use rand::RngExt;
use yuccatack_replication::state::{Input, RoleView};
use yuccatack_replication::{ChangeNumber, Membership, MembershipChange, ReplicaId};

use super::simulator::{Simulator, address};

/// Highest replica number that a run may create; more would only slow the run down.
const MAX_REPLICA_NUMBER: u64 = 40;

/// Requested change without a result yet.
pub struct RequestedChange {
    leader: ReplicaId,
    boot: u64,
    number: ChangeNumber,
    pub change: MembershipChange,
}

#[derive(Default)]
pub struct Operator {
    requested: Option<RequestedChange>,
    next_replica: u64,
    pub promotions: u64,
    pub losses_after_promotion: u64,
}

impl Operator {
    pub fn new(voter_count: u64) -> Self {
        Self { next_replica: voter_count, ..Self::default() }
    }

    /// Checks the requested change and requests the next one; returns a change that has just
    /// succeeded.
    pub fn step(&mut self, simulator: &mut Simulator) -> Option<MembershipChange> {
        if let Some(requested) = self.requested.take() {
            let key = (requested.leader, requested.boot, requested.number);
            match simulator.finished_changes.remove(&key) {
                Some(Ok(())) => {
                    if let MembershipChange::Promote { .. } = requested.change {
                        self.promotions += 1;
                    }
                    return Some(requested.change);
                }
                Some(Err(_)) => return None,
                None => {
                    let still_leading =
                        simulator.process(requested.leader).is_some_and(|process| {
                            process.boot == requested.boot
                                && process.replica.view().role == RoleView::Leader
                        });
                    if still_leading {
                        self.requested = Some(requested);
                        return None;
                    }
                }
            }
        }
        let leader = simulator.leader()?;
        let membership = simulator.process(leader)?.replica.membership().clone();
        let change = self.choose(simulator, &membership)?;
        self.request(simulator, leader, change);
        None
    }

    pub fn request(
        &mut self,
        simulator: &mut Simulator,
        leader: ReplicaId,
        change: MembershipChange,
    ) {
        let number = ChangeNumber::new(simulator.next_number());
        let Some(process) = simulator.process(leader) else { return };
        let needed = process.replica.view().commit;
        let boot = process.boot;
        if let MembershipChange::Promote { replica, .. } = change {
            simulator.promotions.insert((leader, boot, number), (replica, needed));
        }
        self.requested = Some(RequestedChange { leader, boot, number, change });
        simulator.input(leader, Input::ChangeMembership { number, change });
    }

    fn choose(
        &mut self,
        simulator: &mut Simulator,
        members: &Membership,
    ) -> Option<MembershipChange> {
        let lost = members.voters.iter().find(|(id, member)| {
            simulator.nodes.get(id).is_none_or(|node| node.disk.incarnation != member.incarnation)
        });
        let lost = lost.map(|(id, _)| *id);
        let learner = members.learners.keys().next().copied();
        if let Some(replica) = learner {
            if simulator.random.random_range(0..10) == 0 {
                return Some(MembershipChange::RemoveLearner { replica });
            }
            return Some(MembershipChange::Promote { replica, replaces: lost });
        }
        let target = simulator.settings.voter_count as usize;
        if lost.is_some()
            || members.voters.len() < target
            || simulator.random.random_range(0..30) == 0
        {
            if let Some(replica) = lost
                && members.voters.len() > 1
                && simulator.random.random_range(0..4) == 0
            {
                return Some(MembershipChange::RemoveVoter { replica });
            }
            return self.add_learner(simulator, members);
        }
        if members.voters.len() > target {
            let position = simulator.random.random_range(0..members.voters.len());
            let replica = *members.voters.keys().nth(position).unwrap();
            return Some(MembershipChange::RemoveVoter { replica });
        }
        None
    }

    /// Adds a new replica, or a wiped former member under its old number.
    fn add_learner(
        &mut self,
        simulator: &mut Simulator,
        members: &Membership,
    ) -> Option<MembershipChange> {
        let former: Vec<ReplicaId> = simulator
            .nodes
            .iter()
            .filter(|(id, node)| {
                let unformed = node.disk.hard_state == Default::default();
                unformed && members.member(**id).is_none() && node.process.is_some()
            })
            .map(|(id, _)| *id)
            .collect();
        let replica = match former.first() {
            Some(former) if simulator.random.random_bool(0.5) => *former,
            _ => {
                if self.next_replica >= MAX_REPLICA_NUMBER {
                    return None;
                }
                self.next_replica += 1;
                let replica = ReplicaId::new(self.next_replica);
                simulator.add_node(replica);
                replica
            }
        };
        Some(MembershipChange::AddLearner { replica, address: address(replica) })
    }
}
