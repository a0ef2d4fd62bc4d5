//! Random faults that the protocol must tolerate.

use std::collections::BTreeMap;

use rand::RngExt;
use yuccatack_replication::state::Input;
use yuccatack_replication::{ClusterId, Member, MembershipChange, ReplicaId};

use super::operator::Operator;
use super::simulator::Simulator;

/// Duration of a run, and its faults besides loss, delay, kills, freezes and partitions.
#[derive(Clone, Copy, Debug)]
pub struct FaultPlan {
    pub wipes: bool,
    pub membership_changes: bool,
    pub disk_stalls: bool,
    pub duration_ms: u64,
}

/// Returns `true` if `id` may lose its data folder: in every set of voters that some replica still
/// uses, a majority must keep its folders.
pub fn may_wipe(simulator: &Simulator, id: ReplicaId) -> bool {
    let is_lost = |(replica, member): (&ReplicaId, &Member)| {
        let kept = simulator
            .nodes
            .get(replica)
            .is_some_and(|node| node.disk.incarnation == member.incarnation && *replica != id);
        !kept
    };
    let keeps_majority = |voters: &BTreeMap<ReplicaId, Member>| {
        let lost = voters.iter().filter(|entry| is_lost(*entry)).count();
        !voters.contains_key(&id) || lost <= voters.len().saturating_sub(1) / 2
    };
    let memberships = simulator.nodes.values().map(|node| match &node.process {
        Some(process) => process.replica.membership().clone(),
        None => node.disk.membership(),
    });
    let formed = !simulator.history.commands.is_empty();
    // If every initial voter lost its folder, they would form a second cluster. The operating
    // instructions forbid restarting all of them with the initial settings, so no run does it.
    let initial_voters = (1..=simulator.settings.voter_count).map(ReplicaId::new);
    let cluster_is_known = initial_voters
        .filter(|voter| *voter != id)
        .any(|voter| simulator.nodes[&voter].disk.hard_state.cluster != ClusterId::NONE);
    let all_keep_majority = { memberships }.all(|membership| {
        // A learner that is lost during its promotion counts as a lost voter.
        let mut next = membership.voters.clone();
        next.extend(membership.learners.get(&id).map(|member| (id, *member)));
        keeps_majority(&next) && membership.outgoing.as_ref().is_none_or(keeps_majority)
    });
    formed && cluster_is_known && all_keep_majority
}

fn random_node(simulator: &mut Simulator) -> ReplicaId {
    let position = simulator.random.random_range(0..simulator.nodes.len());
    *simulator.nodes.keys().nth(position).unwrap()
}

fn random_node_or_leader(simulator: &mut Simulator) -> ReplicaId {
    if simulator.random.random_bool(0.4)
        && let Some(leader) = simulator.leader()
    {
        return leader;
    }
    random_node(simulator)
}

fn partition(simulator: &mut Simulator) {
    let ids: Vec<ReplicaId> = simulator.nodes.keys().copied().collect();
    match simulator.random.random_range(0..3) {
        0 => {
            // Cuts one replica's outgoing messages, its incoming messages, or both.
            let isolated = random_node_or_leader(simulator);
            let (block_outgoing, block_incoming) =
                (simulator.random.random_bool(0.7), simulator.random.random_bool(0.7));
            for other in ids {
                if block_outgoing {
                    simulator.blocked.insert((isolated, other));
                }
                if block_incoming {
                    simulator.blocked.insert((other, isolated));
                }
            }
        }
        1 => {
            let side: Vec<bool> = ids.iter().map(|_| simulator.random.random_bool(0.5)).collect();
            for (from, from_side) in ids.iter().zip(&side) {
                for (to, to_side) in ids.iter().zip(&side) {
                    if from_side != to_side {
                        simulator.blocked.insert((*from, *to));
                    }
                }
            }
        }
        _ => {
            for from in &ids {
                for to in &ids {
                    if simulator.random.random_bool(0.25) {
                        simulator.blocked.insert((*from, *to));
                    }
                }
            }
        }
    }
}

fn block_incoming(simulator: &mut Simulator, receiver: ReplicaId) {
    let ids: Vec<ReplicaId> = simulator.nodes.keys().copied().collect();
    simulator.blocked.extend(ids.into_iter().map(|other| (other, receiver)));
}

/// Kills several processes at once and starts most of them again.
fn restart_several(simulator: &mut Simulator) {
    let ids: Vec<ReplicaId> = simulator.nodes.keys().copied().collect();
    let share = [0.5, 1.0][simulator.random.random_range(0..2)];
    let killed: Vec<ReplicaId> =
        ids.into_iter().filter(|_| simulator.random.random_bool(share)).collect();
    for id in &killed {
        simulator.kill(*id);
    }
    for id in killed {
        if simulator.random.random_bool(0.8) {
            simulator.start(id);
        }
    }
}

/// Lets disks become full or hang, all of them in some cases, or ends that.
fn stall_disks(simulator: &mut Simulator) {
    let ids: Vec<ReplicaId> = simulator.nodes.keys().copied().collect();
    let share = [0.3, 1.0][simulator.random.random_range(0..2)];
    let stalled = simulator.random.random_bool(0.4);
    let full = simulator.random.random_bool(0.5);
    for id in ids {
        if simulator.random.random_bool(share) {
            simulator.stall_disk(id, stalled, full || !stalled);
        }
    }
}

fn inject_fault(simulator: &mut Simulator, plan: FaultPlan) {
    if plan.disk_stalls && simulator.random.random_bool(0.3) {
        return stall_disks(simulator);
    }
    match simulator.random.random_range(0..17) {
        0..=2 => {
            let id = random_node_or_leader(simulator);
            simulator.kill(id);
        }
        3..=5 => {
            let id = random_node(simulator);
            simulator.start(id);
        }
        6 => {
            let id = random_node_or_leader(simulator);
            simulator.set_frozen(id, true);
        }
        7 => {
            let ids: Vec<ReplicaId> = simulator.nodes.keys().copied().collect();
            for id in ids {
                simulator.set_frozen(id, false);
            }
        }
        8 => partition(simulator),
        9..=10 => simulator.blocked.clear(),
        11 => {
            simulator.loss_percent = simulator.random.random_range(0..30);
            simulator.duplicate_percent = simulator.random.random_range(0..20);
            simulator.max_delay_ms = simulator.random.random_range(1..120);
            simulator.max_sync_ms = [2, 60, 500][simulator.random.random_range(0..3)];
        }
        12 => {
            if let Some(leader) = simulator.leader() {
                simulator.input(leader, Input::TransferLeadership);
                if simulator.random.random_bool(0.5) {
                    // The old leader receives no message of the new one.
                    simulator.run_for(1);
                    block_incoming(simulator, leader);
                }
            }
        }
        13 => restart_several(simulator),
        14..=15 => {
            // A leader is killed while it replicates a new entry.
            if let Some(leader) = simulator.leader() {
                simulator.propose(leader);
                let pause = simulator.random.random_range(0..30);
                simulator.run_for(pause);
                simulator.kill(leader);
            }
        }
        _ => {
            let id = random_node_or_leader(simulator);
            if plan.wipes && may_wipe(simulator, id) {
                simulator.wipe(id);
            }
        }
    }
}

fn issue_request(simulator: &mut Simulator) {
    let id = match simulator.leader() {
        Some(leader) if simulator.random.random_bool(0.7) => leader,
        _ => random_node(simulator),
    };
    if simulator.random.random_bool(0.6) {
        simulator.propose(id);
    } else {
        simulator.read(id);
    }
}

/// Runs clients, faults and the operator for the duration of the plan.
pub fn run(simulator: &mut Simulator, operator: &mut Operator, plan: FaultPlan) {
    let end = simulator.now + plan.duration_ms;
    let mut next_fault = simulator.now + 500;
    let mut next_operator_step = simulator.now + 100;
    while simulator.now < end {
        let pause = simulator.random.random_range(1..40);
        simulator.run_for(pause);
        issue_request(simulator);
        if simulator.now >= next_fault {
            inject_fault(simulator, plan);
            next_fault = simulator.now + simulator.random.random_range(20..700);
        }
        if plan.membership_changes && simulator.now >= next_operator_step {
            next_operator_step = simulator.now + 100;
            if let Some(MembershipChange::Promote { .. }) = operator.step(simulator) {
                fail_another_node(simulator, operator, plan);
            }
        }
    }
}

/// Wipes or kills a random replica, or neither, right after a promotion has completed.
fn fail_another_node(simulator: &mut Simulator, operator: &mut Operator, plan: FaultPlan) {
    let id = random_node_or_leader(simulator);
    if plan.wipes && simulator.random.random_bool(0.5) && may_wipe(simulator, id) {
        simulator.wipe(id);
        operator.losses_after_promotion += 1;
    } else if simulator.random.random_bool(0.3) {
        simulator.kill(id);
    }
}

/// Ends all faults, and checks that the log makes progress again and no committed entry is lost.
pub fn recover_and_check(simulator: &mut Simulator, operator: &mut Operator, plan: FaultPlan) {
    simulator.blocked.clear();
    simulator.loss_percent = 0;
    simulator.duplicate_percent = 0;
    simulator.max_delay_ms = 3;
    simulator.max_sync_ms = 3;
    let ids: Vec<ReplicaId> = simulator.nodes.keys().copied().collect();
    for id in ids {
        simulator.set_frozen(id, false);
        simulator.stall_disk(id, false, true);
        simulator.start(id);
    }
    let committed = simulator.history.commands.len();
    let mut acknowledged = simulator.history.acknowledged_count;
    for _ in 0..100 {
        simulator.run_for(100);
        if plan.membership_changes {
            operator.step(simulator);
        }
    }
    // The operator's last change may have removed the leader, so another one must be elected.
    simulator.run_for(3_000);
    acknowledged = acknowledged.max(simulator.history.acknowledged_count);
    let Some(leader) = simulator.leader() else {
        panic!("no leader 3 s after the last change\n{}", simulator.describe());
    };
    simulator.propose(leader);
    simulator.read(leader);
    simulator.run_for(2_000);
    assert!(
        simulator.history.acknowledged_count > acknowledged,
        "no progress after the last fault"
    );
    assert!(simulator.history.commands.len() > committed);
    let members = simulator.process(leader).unwrap().replica.membership().clone();
    for (id, member) in &members.voters {
        let node = &simulator.nodes[id];
        if node.disk.incarnation == member.incarnation {
            let count = node.process.as_ref().unwrap().applied_count;
            assert_eq!(
                count,
                simulator.history.commands.len(),
                "replica {id} lacks committed commands"
            );
        }
    }
    simulator.check_nothing_pending();
    simulator.history.check_rejected();
}
