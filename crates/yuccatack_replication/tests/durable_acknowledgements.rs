//! Acknowledged commands survive the loss of all unsynced writes.
#![allow(clippy::unwrap_used, missing_docs)]

mod simulation;

use rand::RngExt;
use simulation::seeds::for_each_seed;
use simulation::{Simulator, SimulatorSettings};
use yuccatack_replication::ReplicaId;

/// Guards against an acknowledgement before the sync, by a follower or by the leader itself. All
/// replicas lose their unsynced writes at the moment at which a client gets its response.
#[test]
fn power_loss_after_acknowledgement() {
    for_each_seed(60, |seed| {
        let voter_count = [1, 3, 5][(seed % 3) as usize];
        let settings = SimulatorSettings {
            voter_count,
            snapshot_entry_count: 1_000_000,
            append_limit_bytes: 4_096,
        };
        let mut simulator = Simulator::new(seed, settings);
        simulator.run_for(3_000);
        simulator.max_sync_ms = 100;
        for _ in 0..10 {
            acknowledge_and_lose_power(&mut simulator);
        }
    });
}

fn acknowledge_and_lose_power(simulator: &mut Simulator) {
    let leader = simulator.leader().expect("a leader");
    let acknowledged = simulator.history.acknowledged_count;
    for _ in 0..5 {
        simulator.propose(leader);
        let pause = simulator.random.random_range(0..10);
        simulator.run_for(pause);
    }
    while simulator.history.acknowledged_count == acknowledged {
        simulator.run_for(1);
    }
    let ids: Vec<ReplicaId> = simulator.nodes.keys().copied().collect();
    for id in &ids {
        simulator.kill(*id);
    }
    let committed = simulator.history.commands.len();
    for id in &ids {
        simulator.start(*id);
    }
    simulator.run_for(5_000);
    let leader = simulator.leader().expect("a leader after the restart");
    let count = simulator.process(leader).unwrap().applied_count;
    assert!(count >= committed, "{committed} commands were acknowledged and {count} are left");
}
