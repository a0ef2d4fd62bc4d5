//! Replacement of lost voters, and rejected membership changes.
#![allow(clippy::unwrap_used, missing_docs)]

mod simulation;

use simulation::operator::Operator;
use simulation::seeds::for_each_seed;
use simulation::simulator::address;
use simulation::{Simulator, SimulatorSettings};
use yuccatack_replication::state::Input;
use yuccatack_replication::{
    ChangeError, ChangeNumber, MembershipChange, ReplicaId, ReplicationStatus,
};

fn simulator_with_entries(seed: u64) -> (Simulator, ReplicaId) {
    let settings =
        SimulatorSettings { voter_count: 3, snapshot_entry_count: 30, append_limit_bytes: 4_096 };
    let mut simulator = Simulator::new(seed, settings);
    simulator.run_for(3_000);
    let leader = simulator.leader().expect("a leader after 3 s without faults");
    for _ in 0..50 {
        simulator.propose(leader);
        simulator.run_for(5);
    }
    // Messages in flight would otherwise count as work of the test.
    simulator.run_for(500);
    (simulator, leader)
}

fn request(
    simulator: &mut Simulator,
    leader: ReplicaId,
    change: MembershipChange,
    wait_ms: u64,
) -> Option<Result<(), ChangeError>> {
    let boot = simulator.process(leader).unwrap().boot;
    let number = ChangeNumber::new(simulator.next_number());
    if let MembershipChange::Promote { replica, .. } = change {
        let commit = simulator.process(leader).unwrap().replica.view().commit;
        simulator.promotions.insert((leader, boot, number), (replica, commit));
    }
    simulator.input(leader, Input::ChangeMembership { number, change });
    simulator.run_for(wait_ms);
    simulator.finished_changes.remove(&(leader, boot, number))
}

/// Guards against losing acknowledged entries when a second voter is lost right after the first one
/// was replaced.
#[test]
fn second_loss_after_repair() {
    for_each_seed(40, |seed| {
        let (mut simulator, leader) = simulator_with_entries(seed);
        let lost = simulator.nodes.keys().copied().find(|id| *id != leader).unwrap();
        simulator.wipe(lost);
        simulator.propose(leader);
        let replica = ReplicaId::new(4);
        simulator.add_node(replica);
        let add = MembershipChange::AddLearner { replica, address: address(replica) };
        assert_eq!(request(&mut simulator, leader, add, 500), Some(Ok(())));
        simulator.propose(leader);
        let promote = MembershipChange::Promote { replica, replaces: Some(lost) };
        // Runs only until the change succeeds, so that no replica has time to catch up afterwards.
        let boot = simulator.process(leader).unwrap().boot;
        let number = ChangeNumber::new(simulator.next_number());
        let commit = simulator.process(leader).unwrap().replica.view().commit;
        simulator.promotions.insert((leader, boot, number), (replica, commit));
        simulator.input(leader, Input::ChangeMembership { number, change: promote });
        while !simulator.finished_changes.contains_key(&(leader, boot, number)) {
            simulator.run_for(1);
        }
        let survivor =
            simulator.nodes.keys().copied().find(|id| ![leader, lost, replica].contains(id));
        let second = if seed % 2 == 0 { leader } else { survivor.unwrap() };
        simulator.wipe(second);
        let committed = simulator.history.commands.len();
        let acknowledged = simulator.history.acknowledged_count;
        simulator.run_for(5_000);
        let leader = simulator.leader().expect("a leader among the two that are left");
        simulator.propose(leader);
        simulator.run_for(1_000);
        assert!(simulator.history.acknowledged_count > acknowledged);
        assert!(simulator.process(leader).unwrap().applied_count > committed);
    });
}

/// Starts the replacement of a follower by replica 4, and returns the follower and the key of the
/// promotion in `finished_changes`.
fn begin_replacement(
    simulator: &mut Simulator,
    leader: ReplicaId,
) -> (ReplicaId, (ReplicaId, u64, ChangeNumber)) {
    let lost = simulator.nodes.keys().copied().find(|id| *id != leader).unwrap();
    simulator.wipe(lost);
    let replica = ReplicaId::new(4);
    simulator.add_node(replica);
    let add = MembershipChange::AddLearner { replica, address: address(replica) };
    assert_eq!(request(simulator, leader, add, 500), Some(Ok(())));
    let process = simulator.process(leader).unwrap();
    let (boot, commit) = (process.boot, process.replica.view().commit);
    let key = (leader, boot, ChangeNumber::new(simulator.next_number()));
    simulator.promotions.insert(key, (replica, commit));
    let change = MembershipChange::Promote { replica, replaces: Some(lost) };
    simulator.input(leader, Input::ChangeMembership { number: key.2, change });
    (lost, key)
}

/// Returns `true` if the status of `id` lists replica 4 as a voter in place of `lost`.
fn reports_replacement(simulator: &Simulator, id: ReplicaId, lost: ReplicaId) -> bool {
    let Some(process) = simulator.process(id) else { return false };
    let status = ReplicationStatus::from_view(&process.replica.view());
    status.voters_in_force.contains_key(&ReplicaId::new(4))
        && !status.voters_in_force.contains_key(&lost)
}

/// Returns `true` if a majority of the new voters holds their final membership on disk.
fn replacement_is_held(simulator: &Simulator, lost: ReplicaId) -> bool {
    let new = ReplicaId::new(4);
    let holds = |id: &ReplicaId| {
        let membership = simulator.nodes[id].disk.membership();
        membership.outgoing.is_none() && membership.voters.contains_key(&new)
    };
    simulator.nodes.keys().filter(|id| **id != lost && holds(id)).count() >= 2
}

/// Guards against a status that lists the new voters while their membership is joint or not
/// committed. An operator who then stops the leader leaves too few of the old voters for an
/// election.
#[test]
fn status_waits_for_commit() {
    for_each_seed(40, |seed| {
        let (mut simulator, leader) = simulator_with_entries(seed);
        let (lost, change) = begin_replacement(&mut simulator, leader);
        let deadline = simulator.now + 5_000;
        while !simulator.finished_changes.contains_key(&change) {
            assert!(simulator.now < deadline, "the change did not end");
            simulator.run_for(1);
            for id in simulator.nodes.keys().copied() {
                assert!(
                    !reports_replacement(&simulator, id, lost)
                        || replacement_is_held(&simulator, lost),
                    "replica {id} lists the new voters before their membership is committed"
                );
            }
        }
        assert_eq!(simulator.finished_changes[&change], Ok(()));
        assert!(reports_replacement(&simulator, leader, lost), "complete, but not listed");
        simulator.run_for(500);
        for id in simulator.nodes.keys().copied().filter(|id| *id != lost) {
            assert!(reports_replacement(&simulator, id, lost), "replica {id} lists old voters");
        }
    });
}

/// Guards against a cluster that elects no leader or commits nothing because a second voter was
/// lost as soon as the leader's status listed the new voters.
#[test]
fn reported_replacement_survives_loss() {
    for_each_seed(40, |seed| {
        let (mut simulator, leader) = simulator_with_entries(seed);
        let (lost, _) = begin_replacement(&mut simulator, leader);
        let deadline = simulator.now + 5_000;
        while !reports_replacement(&simulator, leader, lost) {
            assert!(simulator.now < deadline, "the status never listed the new voters");
            simulator.run_for(1);
        }
        let others = [leader, lost, ReplicaId::new(4)];
        let follower = simulator.nodes.keys().copied().find(|id| !others.contains(id));
        simulator.wipe(if seed % 2 == 0 { leader } else { follower.unwrap() });
        let acknowledged = simulator.history.acknowledged_count;
        simulator.run_for(5_000);
        let successor = simulator.leader().expect("a leader among the two that are left");
        simulator.propose(successor);
        simulator.run_for(1_000);
        assert!(simulator.history.acknowledged_count > acknowledged);
    });
}

/// Guards against the promotion of a learner that does not hold the committed entries.
#[test]
fn silent_learner_is_not_promoted() {
    for_each_seed(10, |seed| {
        let (mut simulator, leader) = simulator_with_entries(seed);
        let replica = ReplicaId::new(4);
        simulator.add_node(replica);
        let add = MembershipChange::AddLearner { replica, address: address(replica) };
        for id in 1..=3 {
            simulator.blocked.insert((ReplicaId::new(id), replica));
        }
        assert_eq!(request(&mut simulator, leader, add, 500), Some(Ok(())));
        let lost = simulator.nodes.keys().copied().find(|id| ![leader, replica].contains(id));
        let promote = MembershipChange::Promote { replica, replaces: lost };
        let result = request(&mut simulator, leader, promote, 5_000);
        assert!(matches!(result, Some(Err(ChangeError::LearnerBehind { .. }))), "{result:?}");
    });
}

/// Guards against a replacement that commits with a majority of the new voters only, while the old
/// voters elect another leader; joint membership prevents this.
#[test]
fn replacement_needs_both_majorities() {
    for_each_seed(20, |seed| {
        let (mut simulator, leader) = simulator_with_entries(seed);
        let replica = ReplicaId::new(4);
        simulator.add_node(replica);
        let add = MembershipChange::AddLearner { replica, address: address(replica) };
        assert_eq!(request(&mut simulator, leader, add, 500), Some(Ok(())));
        let old: Vec<_> = (1..=3).map(ReplicaId::new).filter(|id| *id != leader).collect();
        for id in &old {
            for other in [leader, replica] {
                simulator.blocked.insert((*id, other));
                simulator.blocked.insert((other, *id));
            }
        }
        let promote = MembershipChange::Promote { replica, replaces: Some(old[0]) };
        let result = request(&mut simulator, leader, promote, 200);
        assert_ne!(result, Some(Ok(())), "changed without a majority of the old voters");
        simulator.propose(leader);
        simulator.run_for(3_000);
        let successor = simulator.leader_except(leader).expect("a leader of the old voters");
        simulator.propose(successor);
        simulator.blocked.clear();
        simulator.run_for(3_000);
        assert!(simulator.leader().is_some());
    });
}

/// Guards against a change after which fewer than a quorum of voters hold the committed log.
#[test]
fn change_without_quorum_is_rejected() {
    for_each_seed(10, |seed| {
        let (mut simulator, leader) = simulator_with_entries(seed);
        let mut followers = simulator.nodes.keys().copied().filter(|id| *id != leader);
        let (stopped, present) = (followers.next().unwrap(), followers.next().unwrap());
        simulator.kill(stopped);
        simulator.run_for(1_000);
        let remove = MembershipChange::RemoveVoter { replica: present };
        let result = request(&mut simulator, leader, remove, 100);
        let expected = ChangeError::TooFewHolders { holders: 1, needed: 2 };
        assert_eq!(result, Some(Err(expected)));
        let remove = MembershipChange::RemoveVoter { replica: stopped };
        assert_eq!(request(&mut simulator, leader, remove, 500), Some(Ok(())));
    });
}

/// Guards against a wiped replica that votes or acknowledges under its old number.
#[test]
fn wiped_replica_is_ignored() {
    for_each_seed(20, |seed| {
        let (mut simulator, leader) = simulator_with_entries(seed);
        let mut followers = simulator.nodes.keys().copied().filter(|id| *id != leader);
        let (wiped, stopped) = (followers.next().unwrap(), followers.next().unwrap());
        simulator.kill(stopped);
        simulator.wipe(wiped);
        simulator.start(wiped);
        let acknowledged = simulator.history.acknowledged_count;
        simulator.propose(leader);
        simulator.run_for(3_000);
        assert_eq!(
            simulator.history.acknowledged_count, acknowledged,
            "committed by one voter of 3"
        );
        assert_eq!(simulator.leader(), None, "elected by one voter of 3");
        simulator.start(stopped);
        simulator.run_for(3_000);
        let leader = simulator.leader().expect("a leader of the two voters");
        simulator.propose(leader);
        simulator.run_for(500);
        assert!(simulator.history.acknowledged_count > acknowledged);
    });
}

/// Guards against a repair that does not complete unless the operator retries it.
#[test]
fn operator_restores_redundancy() {
    for_each_seed(10, |seed| {
        let (mut simulator, leader) = simulator_with_entries(seed);
        let mut operator = Operator::new(3);
        let lost = simulator.nodes.keys().copied().find(|id| *id != leader).unwrap();
        simulator.wipe(lost);
        for _ in 0..100 {
            operator.step(&mut simulator);
            simulator.run_for(100);
        }
        assert!(operator.promotions > 0);
    });
}
