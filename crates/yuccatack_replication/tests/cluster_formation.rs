//! Formation of the cluster at the first start of a deployment.
#![allow(clippy::unwrap_used, missing_docs)]

mod simulation;

use rand::RngExt;
use simulation::seeds::for_each_seed;
use simulation::simulator::ELECTION_TIMEOUT_MS;
use simulation::{Simulator, SimulatorSettings};
use yuccatack_replication::state::RoleView;
use yuccatack_replication::{ClusterId, HardState, ReplicaId, Term};

fn new_simulator(seed: u64, voter_count: u64) -> Simulator {
    let settings =
        SimulatorSettings { voter_count, snapshot_entry_count: 1_000, append_limit_bytes: 4_096 };
    Simulator::new(seed, settings)
}

/// Guards against the formation of two clusters when replicas are killed during the first start and
/// one of them loses its data folder at any point of it.
#[test]
fn wipe_during_formation() {
    for_each_seed(100, |seed| {
        let voter_count = [3, 5][(seed % 2) as usize];
        let mut simulator = new_simulator(seed, voter_count);
        simulator.loss_percent = 20;
        simulator.duplicate_percent = 20;
        simulator.max_delay_ms = 150;
        simulator.max_sync_ms = 100;
        let wipe_at = simulator.random.random_range(0..1_500);
        let lost = ReplicaId::new(simulator.random.random_range(1..=voter_count));
        let mut wiped = false;
        while simulator.now < 3_000 {
            let pause = simulator.random.random_range(1..100);
            simulator.run_for(pause);
            let id = ReplicaId::new(simulator.random.random_range(1..=voter_count));
            if !wiped && simulator.now >= wipe_at {
                wiped = true;
                simulator.wipe(lost);
                simulator.start(lost);
            } else if simulator.random.random_range(0..10) == 0 {
                simulator.kill(id);
                simulator.start(id);
            }
            simulator.propose(id);
        }
        simulator.loss_percent = 0;
        simulator.max_delay_ms = 3;
        simulator.max_sync_ms = 3;
        simulator.run_for(5_000);
        check_outcome(&mut simulator);
    });
}

/// Checks that the log works, unless the founder's folder was lost before the first election; the
/// operating instructions list that case.
fn check_outcome(simulator: &mut Simulator) {
    let Some(leader) = simulator.leader() else {
        let founder = &simulator.nodes[&ReplicaId::new(1)].disk;
        assert_eq!(founder.hard_state.cluster, ClusterId::NONE, "{}", simulator.describe());
        assert!(simulator.history.commands.is_empty(), "committed, and no leader");
        return;
    };
    let acknowledged = simulator.history.acknowledged_count;
    simulator.propose(leader);
    simulator.run_for(1_000);
    assert_eq!(simulator.history.acknowledged_count, acknowledged + 1);
    simulator.history.check_rejected();
}

/// Guards against a cluster that is formed without one of its voters. A voter that starts later
/// could not be distinguished from one that lost its data folder.
#[test]
fn formation_needs_all_voters() {
    for_each_seed(10, |seed| {
        let mut simulator = new_simulator(seed, 3);
        let late = ReplicaId::new(1 + seed % 3);
        simulator.kill(late);
        simulator.run_for(5_000);
        assert_eq!(simulator.leader(), None);
        for node in simulator.nodes.values() {
            let Some(process) = &node.process else { continue };
            assert_eq!(process.replica.view().role, RoleView::Unformed);
        }
        simulator.start(late);
        simulator.run_for(2_000);
        let leader = simulator.leader().expect("a leader once all have started");
        simulator.propose(leader);
        simulator.run_for(100);
        assert_eq!(simulator.history.acknowledged_count, 1);
    });
}

/// Guards against a deployment that never elects a leader because its founder was killed between
/// writing its hard state and its first entry.
#[test]
fn founder_killed_while_forming() {
    for_each_seed(10, |seed| {
        let mut simulator = new_simulator(seed, 3);
        let founder = ReplicaId::new(1);
        simulator.kill(founder);
        let disk = &mut simulator.nodes.get_mut(&founder).unwrap().disk;
        let cluster = ClusterId::new(disk.incarnation.get());
        disk.hard_state = HardState { term: Term::new(1), voted_for: founder, cluster };
        assert!(disk.entries.is_empty());
        simulator.start(founder);
        simulator.run_for(3_000);
        assert!(simulator.leader().is_some(), "{}", simulator.describe());
    });
}

/// Guards against a new group that waits for an election timeout, since its founder still writes the
/// cluster when its election is due.
#[test]
fn first_leader() {
    for_each_seed(20, |seed| {
        let mut simulator = new_simulator(seed, 3);
        simulator.run_for(ELECTION_TIMEOUT_MS);
        assert!(simulator.leader().is_some(), "no leader after an election timeout");
    });
}
