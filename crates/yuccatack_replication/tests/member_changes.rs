//! Repair of a cluster by a new member, and refused changes.
#![allow(clippy::unwrap_used, missing_docs)]

mod simulation;

use simulation::operator::Operator;
use simulation::seeds::for_each_seed;
use simulation::world::address;
use simulation::{World, WorldSettings};
use yuccatack_replication::state::Input;
use yuccatack_replication::{ChangeError, ChangeNumber, MembershipChange, ReplicaId};

fn busy_world(seed: u64) -> (World, ReplicaId) {
    let settings =
        WorldSettings { voter_count: 3, snapshot_entry_count: 30, append_limit_bytes: 4_096 };
    let mut world = World::new(seed, settings);
    world.run_for(3_000);
    let leader = world.leader().expect("a leader after 3 s without faults");
    for _ in 0..50 {
        world.propose(leader);
        world.run_for(5);
    }
    // What is on its way when a test begins would count as work of the test.
    world.run_for(500);
    (world, leader)
}

fn request(
    world: &mut World,
    leader: ReplicaId,
    change: MembershipChange,
    wait_ms: u64,
) -> Option<Result<(), ChangeError>> {
    let boot = world.process(leader).unwrap().boot;
    let number = ChangeNumber::new(world.number());
    if let MembershipChange::Promote { replica, .. } = change {
        let commit = world.process(leader).unwrap().replica.view().commit;
        world.promotions.insert((leader, boot, number), (replica, commit));
    }
    world.input(leader, Input::ChangeMembership { number, change });
    world.run_for(wait_ms);
    world.finished_changes.remove(&(leader, boot, number))
}

/// Guards against losing acknowledged entries when a second VM is lost right after a repair.
#[test]
fn second_loss_after_repair() {
    for_each_seed(40, |seed| {
        let (mut world, leader) = busy_world(seed);
        let lost = world.nodes.keys().copied().find(|id| *id != leader).unwrap();
        world.wipe(lost);
        world.propose(leader);
        let replica = ReplicaId::new(4);
        world.add_node(replica);
        let add = MembershipChange::AddLearner { replica, address: address(replica) };
        assert_eq!(request(&mut world, leader, add, 500), Some(Ok(())));
        world.propose(leader);
        let promote = MembershipChange::Promote { replica, replaces: Some(lost) };
        // Stops at the very moment of success, so that nothing has time to catch up afterwards.
        let boot = world.process(leader).unwrap().boot;
        let number = ChangeNumber::new(world.number());
        let commit = world.process(leader).unwrap().replica.view().commit;
        world.promotions.insert((leader, boot, number), (replica, commit));
        world.input(leader, Input::ChangeMembership { number, change: promote });
        while !world.finished_changes.contains_key(&(leader, boot, number)) {
            world.run_for(1);
        }
        let survivor = world.nodes.keys().copied().find(|id| ![leader, lost, replica].contains(id));
        let second = if seed % 2 == 0 { leader } else { survivor.unwrap() };
        world.wipe(second);
        let committed = world.history.commands.len();
        let acknowledged = world.history.acknowledged_count;
        world.run_for(5_000);
        let leader = world.leader().expect("a leader among the two that are left");
        world.propose(leader);
        world.run_for(1_000);
        assert!(world.history.acknowledged_count > acknowledged);
        assert!(world.process(leader).unwrap().count > committed);
    });
}

/// Guards against the promotion of a learner that does not hold what is committed.
#[test]
fn silent_learner_is_not_promoted() {
    for_each_seed(10, |seed| {
        let (mut world, leader) = busy_world(seed);
        let replica = ReplicaId::new(4);
        world.add_node(replica);
        let add = MembershipChange::AddLearner { replica, address: address(replica) };
        for id in 1..=3 {
            world.blocked.insert((ReplicaId::new(id), replica));
        }
        assert_eq!(request(&mut world, leader, add, 500), Some(Ok(())));
        let lost = world.nodes.keys().copied().find(|id| ![leader, replica].contains(id));
        let promote = MembershipChange::Promote { replica, replaces: lost };
        let result = request(&mut world, leader, promote, 5_000);
        assert!(matches!(result, Some(Err(ChangeError::LearnerBehind { .. }))), "{result:?}");
    });
}

/// Guards against a replacement that the new voters alone agree on, while the old ones elect
/// another leader (joint membership).
#[test]
fn replacement_needs_both_majorities() {
    for_each_seed(20, |seed| {
        let (mut world, leader) = busy_world(seed);
        let replica = ReplicaId::new(4);
        world.add_node(replica);
        let add = MembershipChange::AddLearner { replica, address: address(replica) };
        assert_eq!(request(&mut world, leader, add, 500), Some(Ok(())));
        let old: Vec<_> = (1..=3).map(ReplicaId::new).filter(|id| *id != leader).collect();
        for id in &old {
            for other in [leader, replica] {
                world.blocked.insert((*id, other));
                world.blocked.insert((other, *id));
            }
        }
        let promote = MembershipChange::Promote { replica, replaces: Some(old[0]) };
        let result = request(&mut world, leader, promote, 200);
        assert_ne!(result, Some(Ok(())), "changed without a majority of the old voters");
        world.propose(leader);
        world.run_for(3_000);
        let successor = world.leader_except(leader).expect("a leader of the old voters");
        world.propose(successor);
        world.blocked.clear();
        world.run_for(3_000);
        assert!(world.leader().is_some());
    });
}

/// Guards against a change that leaves fewer than a quorum of voters with the committed log.
#[test]
fn change_without_holders_is_refused() {
    for_each_seed(10, |seed| {
        let (mut world, leader) = busy_world(seed);
        let mut followers = world.nodes.keys().copied().filter(|id| *id != leader);
        let (stopped, present) = (followers.next().unwrap(), followers.next().unwrap());
        world.kill(stopped);
        world.run_for(1_000);
        let remove = MembershipChange::RemoveVoter { replica: present };
        let result = request(&mut world, leader, remove, 100);
        let expected = ChangeError::TooFewHolders { holders: 1, needed: 2 };
        assert_eq!(result, Some(Err(expected)));
        let remove = MembershipChange::RemoveVoter { replica: stopped };
        assert_eq!(request(&mut world, leader, remove, 500), Some(Ok(())));
    });
}

/// Guards against a wiped replica that takes part under its old identity.
#[test]
fn wiped_replica_stays_outside() {
    for_each_seed(20, |seed| {
        let (mut world, leader) = busy_world(seed);
        let mut followers = world.nodes.keys().copied().filter(|id| *id != leader);
        let (wiped, stopped) = (followers.next().unwrap(), followers.next().unwrap());
        world.kill(stopped);
        world.wipe(wiped);
        world.start(wiped);
        let acknowledged = world.history.acknowledged_count;
        world.propose(leader);
        world.run_for(3_000);
        assert_eq!(world.history.acknowledged_count, acknowledged, "committed by one voter of 3");
        assert_eq!(world.leader(), None, "elected by one voter of 3");
        world.start(stopped);
        world.run_for(3_000);
        let leader = world.leader().expect("a leader of the two voters");
        world.propose(leader);
        world.run_for(500);
        assert!(world.history.acknowledged_count > acknowledged);
    });
}

/// Guards against a repair that does not come to an end without an operator's retry.
#[test]
fn operator_repairs_all() {
    for_each_seed(10, |seed| {
        let (mut world, leader) = busy_world(seed);
        let mut operator = Operator::new(3);
        let lost = world.nodes.keys().copied().find(|id| *id != leader).unwrap();
        world.wipe(lost);
        for _ in 0..100 {
            operator.act(&mut world);
            world.run_for(100);
        }
        assert!(operator.promotions > 0);
    });
}
