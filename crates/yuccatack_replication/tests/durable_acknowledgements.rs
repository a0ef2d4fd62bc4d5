//! What was acknowledged survives the loss of everything that was not synced.
#![allow(clippy::unwrap_used, missing_docs)]

mod simulation;

use rand::RngExt;
use simulation::seeds::for_each_seed;
use simulation::{World, WorldSettings};
use yuccatack_replication::ReplicaId;

/// Guards against an acknowledgement, by a follower or of the leader itself, before the sync: all
/// replicas lose their unsynced writes at the moment when a client gets its answer.
#[test]
fn power_loss_after_answer() {
    for_each_seed(60, |seed| {
        let voter_count = [1, 3, 5][(seed % 3) as usize];
        let settings = WorldSettings {
            voter_count,
            snapshot_entry_count: 1_000_000,
            append_limit_bytes: 4_096,
        };
        let mut world = World::new(seed, settings);
        world.run_for(3_000);
        world.max_sync_ms = 100;
        for _ in 0..10 {
            answer_and_lose_power(&mut world);
        }
    });
}

fn answer_and_lose_power(world: &mut World) {
    let leader = world.leader().expect("a leader");
    let answered = world.history.acknowledged_count;
    for _ in 0..5 {
        world.propose(leader);
        let pause = world.random.random_range(0..10);
        world.run_for(pause);
    }
    while world.history.acknowledged_count == answered {
        world.run_for(1);
    }
    let ids: Vec<ReplicaId> = world.nodes.keys().copied().collect();
    for id in &ids {
        world.kill(*id);
    }
    let committed = world.history.commands.len();
    for id in &ids {
        world.start(*id);
    }
    world.run_for(5_000);
    let leader = world.leader().expect("a leader after the restart");
    let count = world.process(leader).unwrap().count;
    assert!(count >= committed, "{committed} commands were answered and {count} are left");
}
