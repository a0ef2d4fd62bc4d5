//! Elections, check-quorum and leadership transfer.
#![allow(clippy::unwrap_used, missing_docs)]

mod simulation;

use simulation::seeds::for_each_seed;
use simulation::simulator::ELECTION_TIMEOUT_MS;
use simulation::{Simulator, SimulatorSettings};
use yuccatack_replication::ReplicaId;
use yuccatack_replication::state::{Input, RoleView};

fn simulator_with_leader(seed: u64) -> (Simulator, ReplicaId) {
    let settings = SimulatorSettings {
        voter_count: 3,
        snapshot_entry_count: 1_000_000,
        append_limit_bytes: 4_096,
    };
    let mut simulator = Simulator::new(seed, settings);
    simulator.run_for(3_000);
    let leader = simulator.leader().expect("a leader after 3 s without faults");
    (simulator, leader)
}

fn others(simulator: &Simulator, id: ReplicaId) -> Vec<ReplicaId> {
    simulator.nodes.keys().copied().filter(|other| *other != id).collect()
}

fn isolate(simulator: &mut Simulator, id: ReplicaId) {
    for other in others(simulator, id) {
        simulator.blocked.insert((id, other));
        simulator.blocked.insert((other, id));
    }
}

fn role(simulator: &Simulator, id: ReplicaId) -> RoleView {
    simulator.process(id).unwrap().replica.view().role
}

/// Guards against a replica that increases its term while it is isolated and deposes a working
/// leader on its return; pre-votes prevent this.
#[test]
fn isolated_replica_keeps_term() {
    for_each_seed(20, |seed| {
        let (mut simulator, leader) = simulator_with_leader(seed);
        let term = simulator.process(leader).unwrap().replica.view().hard_state.term;
        let isolated = others(&simulator, leader)[0];
        isolate(&mut simulator, isolated);
        simulator.run_for(10_000);
        simulator.blocked.clear();
        simulator.run_for(2_000);
        let view = simulator.process(leader).unwrap().replica.view();
        assert_eq!((view.role, view.hard_state.term), (RoleView::Leader, term));
    });
}

/// Guards against a leader that does not step down without contact to a quorum (check-quorum).
#[test]
fn isolated_leader_steps_down() {
    for_each_seed(20, |seed| {
        let (mut simulator, leader) = simulator_with_leader(seed);
        isolate(&mut simulator, leader);
        simulator.run_for(ELECTION_TIMEOUT_MS + 100);
        assert_ne!(role(&simulator, leader), RoleView::Leader);
    });
}

/// Guards against a leader that receives no messages but whose heartbeats still arrive, so that
/// nothing commits and no other leader is elected (check-quorum under an asymmetric partition).
#[test]
fn leader_without_incoming_messages_is_replaced() {
    for_each_seed(20, |seed| {
        let (mut simulator, leader) = simulator_with_leader(seed);
        for other in others(&simulator, leader) {
            simulator.blocked.insert((other, leader));
        }
        simulator.run_for(3_000);
        let successor = simulator.leader().expect("a leader among the others");
        assert_ne!(successor, leader);
        let before = simulator.history.acknowledged_count;
        simulator.propose(successor);
        simulator.run_for(500);
        assert_eq!(simulator.history.acknowledged_count, before + 1);
    });
}

/// Guards against a paused leader that serves a read from outdated state when it resumes.
#[test]
fn paused_leader_steps_down() {
    for_each_seed(20, |seed| {
        let (mut simulator, leader) = simulator_with_leader(seed);
        simulator.set_frozen(leader, true);
        simulator.run_for(3_000);
        let successor = simulator.leader_except(leader).expect("a leader among the others");
        simulator.propose(successor);
        simulator.run_for(500);
        simulator.read(leader);
        simulator.set_frozen(leader, false);
        assert_ne!(role(&simulator, leader), RoleView::Leader);
        simulator.run_for(2_000);
    });
}

/// Guards against a leadership transfer that waits for an election timeout.
#[test]
fn transfer_needs_no_timeout() {
    for_each_seed(20, |seed| {
        let (mut simulator, leader) = simulator_with_leader(seed);
        simulator.input(leader, Input::TransferLeadership);
        simulator.run_for(100);
        let successor = simulator.leader().expect("a leader right after the transfer");
        assert_ne!(successor, leader);
    });
}
