//! Random faults within what the protocol must survive.

use std::collections::BTreeMap;

use rand::RngExt;
use yuccatack_replication::state::Input;
use yuccatack_replication::{ClusterId, Member, MembershipChange, ReplicaId};

use super::operator::Operator;
use super::world::World;

/// Which faults a run has besides loss, delay, kills, freezes and partitions.
#[derive(Clone, Copy, Debug)]
pub struct FaultPlan {
    pub wipes: bool,
    pub membership_changes: bool,
    pub duration_ms: u64,
}

/// Whether `id` may lose its folder: of every set of voters that some replica still counts with,
/// a majority must keep its folders.
pub fn may_wipe(world: &World, id: ReplicaId) -> bool {
    let is_lost = |(replica, member): (&ReplicaId, &Member)| {
        let kept = world
            .nodes
            .get(replica)
            .is_some_and(|node| node.disk.incarnation == member.incarnation && *replica != id);
        !kept
    };
    let bearable = |voters: &BTreeMap<ReplicaId, Member>| {
        let lost = voters.iter().filter(|entry| is_lost(*entry)).count();
        !voters.contains_key(&id) || lost <= voters.len().saturating_sub(1) / 2
    };
    let memberships = world.nodes.values().map(|node| match &node.process {
        Some(process) => process.replica.membership().clone(),
        None => node.disk.membership(),
    });
    let formed = !world.history.commands.is_empty();
    // If every initial voter lost its folder, they could not tell a restart from the first start.
    // The operators' table forbids to start all of them again with the first settings.
    let initial_voters = (1..=world.settings.voter_count).map(ReplicaId::new);
    let cluster_is_known = initial_voters
        .filter(|voter| *voter != id)
        .any(|voter| world.nodes[&voter].disk.hard_state.cluster != ClusterId::NONE);
    let all_bearable = { memberships }.all(|membership| {
        // A learner that is lost just as it is promoted counts as a lost voter.
        let mut next = membership.voters.clone();
        next.extend(membership.learners.get(&id).map(|member| (id, *member)));
        bearable(&next) && membership.outgoing.as_ref().is_none_or(bearable)
    });
    formed && cluster_is_known && all_bearable
}

fn any_node(world: &mut World) -> ReplicaId {
    let position = world.random.random_range(0..world.nodes.len());
    *world.nodes.keys().nth(position).unwrap()
}

fn live_or_leader(world: &mut World) -> ReplicaId {
    if world.random.random_bool(0.4)
        && let Some(leader) = world.leader()
    {
        return leader;
    }
    any_node(world)
}

fn partition(world: &mut World) {
    let ids: Vec<ReplicaId> = world.nodes.keys().copied().collect();
    match world.random.random_range(0..3) {
        0 => {
            // One replica is silent, or does not hear, or both.
            let silent = live_or_leader(world);
            let (mute, deaf) = (world.random.random_bool(0.7), world.random.random_bool(0.7));
            for other in ids {
                if mute {
                    world.blocked.insert((silent, other));
                }
                if deaf {
                    world.blocked.insert((other, silent));
                }
            }
        }
        1 => {
            let side: Vec<bool> = ids.iter().map(|_| world.random.random_bool(0.5)).collect();
            for (from, from_side) in ids.iter().zip(&side) {
                for (to, to_side) in ids.iter().zip(&side) {
                    if from_side != to_side {
                        world.blocked.insert((*from, *to));
                    }
                }
            }
        }
        _ => {
            for from in &ids {
                for to in &ids {
                    if world.random.random_bool(0.25) {
                        world.blocked.insert((*from, *to));
                    }
                }
            }
        }
    }
}

fn deafen(world: &mut World, deaf: ReplicaId) {
    let ids: Vec<ReplicaId> = world.nodes.keys().copied().collect();
    world.blocked.extend(ids.into_iter().map(|other| (other, deaf)));
}

/// Several processes end at once, and start again.
fn lose_power(world: &mut World) {
    let ids: Vec<ReplicaId> = world.nodes.keys().copied().collect();
    let share = [0.5, 1.0][world.random.random_range(0..2)];
    let hit: Vec<ReplicaId> = ids.into_iter().filter(|_| world.random.random_bool(share)).collect();
    for id in &hit {
        world.kill(*id);
    }
    for id in hit {
        if world.random.random_bool(0.8) {
            world.start(id);
        }
    }
}

fn strike(world: &mut World, plan: FaultPlan) {
    match world.random.random_range(0..17) {
        0..=2 => {
            let id = live_or_leader(world);
            world.kill(id);
        }
        3..=5 => {
            let id = any_node(world);
            world.start(id);
        }
        6 => {
            let id = live_or_leader(world);
            world.set_frozen(id, true);
        }
        7 => {
            let ids: Vec<ReplicaId> = world.nodes.keys().copied().collect();
            for id in ids {
                world.set_frozen(id, false);
            }
        }
        8 => partition(world),
        9..=10 => world.blocked.clear(),
        11 => {
            world.loss_percent = world.random.random_range(0..30);
            world.duplicate_percent = world.random.random_range(0..20);
            world.max_delay_ms = world.random.random_range(1..120);
            world.max_sync_ms = [2, 60, 500][world.random.random_range(0..3)];
        }
        12 => {
            if let Some(leader) = world.leader() {
                world.input(leader, Input::TransferLeadership);
                if world.random.random_bool(0.5) {
                    // The old leader does not hear of the new one.
                    world.run_for(1);
                    deafen(world, leader);
                }
            }
        }
        13 => lose_power(world),
        14..=15 => {
            // A new leader is lost while it replicates.
            if let Some(leader) = world.leader() {
                world.propose(leader);
                let pause = world.random.random_range(0..30);
                world.run_for(pause);
                world.kill(leader);
            }
        }
        _ => {
            let id = live_or_leader(world);
            if plan.wipes && may_wipe(world, id) {
                world.wipe(id);
            }
        }
    }
}

fn use_log(world: &mut World) {
    let id = match world.leader() {
        Some(leader) if world.random.random_bool(0.7) => leader,
        _ => any_node(world),
    };
    if world.random.random_bool(0.6) {
        world.propose(id);
    } else {
        world.read(id);
    }
}

/// Runs clients, faults and the operator for the planned time.
pub fn run(world: &mut World, operator: &mut Operator, plan: FaultPlan) {
    let end = world.now + plan.duration_ms;
    let mut next_fault = world.now + 500;
    let mut next_look = world.now + 100;
    while world.now < end {
        let pause = world.random.random_range(1..40);
        world.run_for(pause);
        use_log(world);
        if world.now >= next_fault {
            strike(world, plan);
            next_fault = world.now + world.random.random_range(20..700);
        }
        if plan.membership_changes && world.now >= next_look {
            next_look = world.now + 100;
            if let Some(MembershipChange::Promote { .. }) = operator.act(world) {
                lose_another(world, operator, plan);
            }
        }
    }
}

/// The case "a second VM is lost right after a repair".
fn lose_another(world: &mut World, operator: &mut Operator, plan: FaultPlan) {
    let id = live_or_leader(world);
    if plan.wipes && world.random.random_bool(0.5) && may_wipe(world, id) {
        world.wipe(id);
        operator.losses_after_repair += 1;
    } else if world.random.random_bool(0.3) {
        world.kill(id);
    }
}

/// Ends all faults, and checks that the log works again and nothing committed is missing.
pub fn recover_and_check(world: &mut World, operator: &mut Operator, plan: FaultPlan) {
    world.blocked.clear();
    world.loss_percent = 0;
    world.duplicate_percent = 0;
    world.max_delay_ms = 3;
    world.max_sync_ms = 3;
    let ids: Vec<ReplicaId> = world.nodes.keys().copied().collect();
    for id in ids {
        world.set_frozen(id, false);
        world.start(id);
    }
    let committed = world.history.commands.len();
    let mut acknowledged = world.history.acknowledged_count;
    for _ in 0..100 {
        world.run_for(100);
        if plan.membership_changes {
            operator.act(world);
        }
    }
    // The operator's last change may have removed the leader.
    world.run_for(3_000);
    acknowledged = acknowledged.max(world.history.acknowledged_count);
    let Some(leader) = world.leader() else {
        panic!("no leader 3 s after the last change\n{}", world.describe());
    };
    world.propose(leader);
    world.read(leader);
    world.run_for(2_000);
    assert!(world.history.acknowledged_count > acknowledged, "no progress after the last fault");
    assert!(world.history.commands.len() > committed);
    let members = world.process(leader).unwrap().replica.membership().clone();
    for (id, member) in &members.voters {
        let node = &world.nodes[id];
        if node.disk.incarnation == member.incarnation {
            let count = node.process.as_ref().unwrap().count;
            assert_eq!(
                count,
                world.history.commands.len(),
                "replica {id} lacks committed commands"
            );
        }
    }
    world.history.check_refused();
}
