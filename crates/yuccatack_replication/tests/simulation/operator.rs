//! An operator that replaces wiped voters and changes the membership at random.

use rand::RngExt;
use yuccatack_replication::state::{Input, RoleView};
use yuccatack_replication::{ChangeNumber, Membership, MembershipChange, ReplicaId};

use super::world::{World, address};

/// How many replicas a run may create; more would only make it slow.
const MAX_REPLICA_NUMBER: u64 = 40;

/// A change that was requested and is not answered yet.
pub struct Requested {
    leader: ReplicaId,
    boot: u64,
    number: ChangeNumber,
    pub change: MembershipChange,
}

#[derive(Default)]
pub struct Operator {
    requested: Option<Requested>,
    next_replica: u64,
    pub promotions: u64,
    pub losses_after_repair: u64,
}

impl Operator {
    pub fn new(voter_count: u64) -> Self {
        Self { next_replica: voter_count, ..Self::default() }
    }

    /// Looks at the cluster once; returns a change that has just succeeded.
    pub fn act(&mut self, world: &mut World) -> Option<MembershipChange> {
        if let Some(requested) = self.requested.take() {
            let key = (requested.leader, requested.boot, requested.number);
            match world.finished_changes.remove(&key) {
                Some(Ok(())) => {
                    if let MembershipChange::Promote { .. } = requested.change {
                        self.promotions += 1;
                    }
                    return Some(requested.change);
                }
                Some(Err(_)) => return None,
                None => {
                    let alive = world.process(requested.leader).is_some_and(|process| {
                        process.boot == requested.boot
                            && process.replica.view().role == RoleView::Leader
                    });
                    if alive {
                        self.requested = Some(requested);
                        return None;
                    }
                }
            }
        }
        let leader = world.leader()?;
        let membership = world.process(leader)?.replica.membership().clone();
        let change = self.choose(world, &membership)?;
        self.request(world, leader, change);
        None
    }

    pub fn request(&mut self, world: &mut World, leader: ReplicaId, change: MembershipChange) {
        let number = ChangeNumber::new(world.number());
        let Some(process) = world.process(leader) else { return };
        let needed = process.replica.view().commit;
        let boot = process.boot;
        if let MembershipChange::Promote { replica, .. } = change {
            world.promotions.insert((leader, boot, number), (replica, needed));
        }
        self.requested = Some(Requested { leader, boot, number, change });
        world.input(leader, Input::ChangeMembership { number, change });
    }

    fn choose(&mut self, world: &mut World, members: &Membership) -> Option<MembershipChange> {
        let lost = members.voters.iter().find(|(id, member)| {
            world.nodes.get(id).is_none_or(|node| node.disk.incarnation != member.incarnation)
        });
        let lost = lost.map(|(id, _)| *id);
        let learner = members.learners.keys().next().copied();
        if let Some(replica) = learner {
            if world.random.random_range(0..10) == 0 {
                return Some(MembershipChange::RemoveLearner { replica });
            }
            return Some(MembershipChange::Promote { replica, replaces: lost });
        }
        let target = world.settings.voter_count as usize;
        if lost.is_some() || members.voters.len() < target || world.random.random_range(0..30) == 0
        {
            if let Some(replica) = lost
                && members.voters.len() > 1
                && world.random.random_range(0..4) == 0
            {
                return Some(MembershipChange::RemoveVoter { replica });
            }
            return self.add_learner(world, members);
        }
        if members.voters.len() > target {
            let position = world.random.random_range(0..members.voters.len());
            let replica = *members.voters.keys().nth(position).unwrap();
            return Some(MembershipChange::RemoveVoter { replica });
        }
        None
    }

    /// Adds a new replica, or a former one whose folder was wiped, under its old number.
    fn add_learner(&mut self, world: &mut World, members: &Membership) -> Option<MembershipChange> {
        let former: Vec<ReplicaId> = world
            .nodes
            .iter()
            .filter(|(id, node)| {
                let unformed = node.disk.hard_state == Default::default();
                unformed && members.member(**id).is_none() && node.process.is_some()
            })
            .map(|(id, _)| *id)
            .collect();
        let replica = match former.first() {
            Some(former) if world.random.random_bool(0.5) => *former,
            _ => {
                if self.next_replica >= MAX_REPLICA_NUMBER {
                    return None;
                }
                self.next_replica += 1;
                let replica = ReplicaId::new(self.next_replica);
                world.add_node(replica);
                replica
            }
        };
        Some(MembershipChange::AddLearner { replica, address: address(replica) })
    }
}
