//! The first start of a deployment.
#![allow(clippy::unwrap_used, missing_docs)]

mod simulation;

use rand::RngExt;
use simulation::seeds::for_each_seed;
use simulation::{World, WorldSettings};
use yuccatack_replication::state::RoleView;
use yuccatack_replication::{ClusterId, HardState, ReplicaId, Term};

fn new_world(seed: u64, voter_count: u64) -> World {
    let settings =
        WorldSettings { voter_count, snapshot_entry_count: 1_000, append_limit_bytes: 4_096 };
    World::new(seed, settings)
}

/// Guards against two clusters out of one first start, when replicas are killed and one of them
/// loses its folder at any moment of it.
#[test]
fn loss_during_the_first_start() {
    for_each_seed(100, |seed| {
        let voter_count = [3, 5][(seed % 2) as usize];
        let mut world = new_world(seed, voter_count);
        world.loss_percent = 20;
        world.duplicate_percent = 20;
        world.max_delay_ms = 150;
        world.max_sync_ms = 100;
        let wipe_at = world.random.random_range(0..1_500);
        let lost = ReplicaId::new(world.random.random_range(1..=voter_count));
        let mut wiped = false;
        while world.now < 3_000 {
            let pause = world.random.random_range(1..100);
            world.run_for(pause);
            let id = ReplicaId::new(world.random.random_range(1..=voter_count));
            if !wiped && world.now >= wipe_at {
                wiped = true;
                world.wipe(lost);
                world.start(lost);
            } else if world.random.random_range(0..10) == 0 {
                world.kill(id);
                world.start(id);
            }
            world.propose(id);
        }
        world.loss_percent = 0;
        world.max_delay_ms = 3;
        world.max_sync_ms = 3;
        world.run_for(5_000);
        check_outcome(&mut world);
    });
}

/// Either the log works, or the founder's folder was lost before the first leader, which the
/// operators' table names.
fn check_outcome(world: &mut World) {
    let Some(leader) = world.leader() else {
        let founder = &world.nodes[&ReplicaId::new(1)].disk;
        assert_eq!(founder.hard_state.cluster, ClusterId::NONE, "{}", world.describe());
        assert!(world.history.commands.is_empty(), "committed, and no leader");
        return;
    };
    let answered = world.history.acknowledged_count;
    world.propose(leader);
    world.run_for(1_000);
    assert_eq!(world.history.acknowledged_count, answered + 1);
    world.history.check_refused();
}

/// Guards against a cluster that is formed without one of its voters: if that voter came later, it
/// could not be told from one that lost its folder.
#[test]
fn all_initial_voters_are_needed() {
    for_each_seed(10, |seed| {
        let mut world = new_world(seed, 3);
        let late = ReplicaId::new(1 + seed % 3);
        world.kill(late);
        world.run_for(5_000);
        assert_eq!(world.leader(), None);
        for node in world.nodes.values() {
            let Some(process) = &node.process else { continue };
            assert_eq!(process.replica.view().role, RoleView::Unformed);
        }
        world.start(late);
        world.run_for(2_000);
        let leader = world.leader().expect("a leader once all have started");
        world.propose(leader);
        world.run_for(100);
        assert_eq!(world.history.acknowledged_count, 1);
    });
}

/// Guards against a deployment that never starts because its founder was killed between writing
/// its hard state and its first entry.
#[test]
fn founder_killed_while_forming() {
    for_each_seed(10, |seed| {
        let mut world = new_world(seed, 3);
        let founder = ReplicaId::new(1);
        world.kill(founder);
        let disk = &mut world.nodes.get_mut(&founder).unwrap().disk;
        let cluster = ClusterId::new(disk.incarnation.get());
        disk.hard_state = HardState { term: Term::new(1), voted_for: founder, cluster };
        assert!(disk.entries.is_empty());
        world.start(founder);
        world.run_for(3_000);
        assert!(world.leader().is_some(), "{}", world.describe());
    });
}
