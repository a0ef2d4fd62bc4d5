//! Who may lead, and for how long.
#![allow(clippy::unwrap_used, missing_docs)]

mod simulation;

use simulation::seeds::for_each_seed;
use simulation::world::ELECTION_TIMEOUT_MS;
use simulation::{World, WorldSettings};
use yuccatack_replication::ReplicaId;
use yuccatack_replication::state::{Input, RoleView};

fn settled_world(seed: u64) -> (World, ReplicaId) {
    let settings = WorldSettings {
        voter_count: 3,
        snapshot_entry_count: 1_000_000,
        append_limit_bytes: 4_096,
    };
    let mut world = World::new(seed, settings);
    world.run_for(3_000);
    let leader = world.leader().expect("a leader after 3 s without faults");
    (world, leader)
}

fn others(world: &World, id: ReplicaId) -> Vec<ReplicaId> {
    world.nodes.keys().copied().filter(|other| *other != id).collect()
}

fn isolate(world: &mut World, id: ReplicaId) {
    for other in others(world, id) {
        world.blocked.insert((id, other));
        world.blocked.insert((other, id));
    }
}

fn role(world: &World, id: ReplicaId) -> RoleView {
    world.process(id).unwrap().replica.view().role
}

/// Guards against an isolated replica that raises its term and deposes a working leader on its
/// return (pre-vote).
#[test]
fn returning_replica_does_not_disturb() {
    for_each_seed(20, |seed| {
        let (mut world, leader) = settled_world(seed);
        let term = world.process(leader).unwrap().replica.view().hard_state.term;
        let isolated = others(&world, leader)[0];
        isolate(&mut world, isolated);
        world.run_for(10_000);
        world.blocked.clear();
        world.run_for(2_000);
        let view = world.process(leader).unwrap().replica.view();
        assert_eq!((view.role, view.hard_state.term), (RoleView::Leader, term));
    });
}

/// Guards against a leader that goes on leading without contact to a quorum (check-quorum).
#[test]
fn isolated_leader_steps_down() {
    for_each_seed(20, |seed| {
        let (mut world, leader) = settled_world(seed);
        isolate(&mut world, leader);
        world.run_for(ELECTION_TIMEOUT_MS + 100);
        assert_ne!(role(&world, leader), RoleView::Leader);
    });
}

/// Guards against a leader that hears of nobody but is heard by all, so that nothing commits and
/// nobody else is elected (check-quorum under an asymmetric partition).
#[test]
fn deaf_leader_is_replaced() {
    for_each_seed(20, |seed| {
        let (mut world, leader) = settled_world(seed);
        for other in others(&world, leader) {
            world.blocked.insert((other, leader));
        }
        world.run_for(3_000);
        let successor = world.leader().expect("a leader among the others");
        assert_ne!(successor, leader);
        let before = world.history.acknowledged_count;
        world.propose(successor);
        world.run_for(500);
        assert_eq!(world.history.acknowledged_count, before + 1);
    });
}

/// Guards against a leader that was paused and serves a read from its old state when it resumes.
#[test]
fn paused_leader_steps_down() {
    for_each_seed(20, |seed| {
        let (mut world, leader) = settled_world(seed);
        world.set_frozen(leader, true);
        world.run_for(3_000);
        let successor = world.leader_except(leader).expect("a leader among the others");
        world.propose(successor);
        world.run_for(500);
        world.read(leader);
        world.set_frozen(leader, false);
        assert_ne!(role(&world, leader), RoleView::Leader);
        world.run_for(2_000);
    });
}

/// Guards against a hand-over that waits for an election timeout.
#[test]
fn handover_takes_no_timeout() {
    for_each_seed(20, |seed| {
        let (mut world, leader) = settled_world(seed);
        world.input(leader, Input::TransferLeadership);
        world.run_for(100);
        let successor = world.leader().expect("a leader right after the hand-over");
        assert_ne!(successor, leader);
    });
}
