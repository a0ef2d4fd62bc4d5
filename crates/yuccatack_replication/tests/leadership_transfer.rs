//! Guards against requests that get no answer, or more than one, because a leadership transfer is
//! in progress, and against a transfer that does not end.
#![allow(clippy::unwrap_used, missing_docs)]

mod simulation;

use rand::RngExt;
use simulation::seeds::for_each_seed;
use simulation::simulator::{ELECTION_TIMEOUT_MS, HEARTBEAT_MS, address};
use simulation::{Simulator, SimulatorSettings};
use yuccatack_replication::state::Input;
use yuccatack_replication::{ChangeError, ChangeNumber, MembershipChange, ReplicaId};

/// Time after which a transfer has ended: the leader checks its deadline with its heartbeats.
const TRANSFER_LIMIT_MS: u64 = ELECTION_TIMEOUT_MS + 2 * HEARTBEAT_MS;

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

/// Starts a transfer to a voter that the leader's messages do not reach; the leader keeps the other
/// one, so it goes on leading.
fn start_lost_transfer(simulator: &mut Simulator, leader: ReplicaId) {
    // Of voters with equal logs the one with the highest number is asked to take over.
    let target = simulator.nodes.keys().copied().filter(|id| *id != leader).max().unwrap();
    simulator.blocked.insert((leader, target));
    simulator.input(leader, Input::TransferLeadership);
}

fn transfers(simulator: &Simulator, id: ReplicaId) -> bool {
    simulator.process(id).unwrap().replica.view().transferring_leadership
}

fn request_learner(simulator: &mut Simulator, leader: ReplicaId) -> (ReplicaId, u64, ChangeNumber) {
    let number = ChangeNumber::new(simulator.next_number());
    let replica = ReplicaId::new(4);
    let change = MembershipChange::AddLearner { replica, address: address(replica) };
    let boot = simulator.process(leader).unwrap().boot;
    simulator.input(leader, Input::ChangeMembership { number, change });
    (leader, boot, number)
}

#[test]
fn lost_transfer_ends() {
    for_each_seed(40, |seed| {
        let (mut simulator, leader) = simulator_with_leader(seed);
        start_lost_transfer(&mut simulator, leader);
        let acknowledged = simulator.history.acknowledged_count;
        let read_count = simulator.history.read_count;
        simulator.propose(leader);
        simulator.read(leader);
        let change = request_learner(&mut simulator, leader);
        simulator.run_for(HEARTBEAT_MS);
        assert!(transfers(&simulator, leader), "the transfer has ended early");
        assert_eq!(simulator.history.acknowledged_count, acknowledged, "proposed in a transfer");
        assert_eq!(simulator.history.read_count, read_count + 1, "no read in a transfer");
        assert_eq!(simulator.finished_changes[&change], Err(ChangeError::InProgress));
        assert!(simulator.process(leader).unwrap().open_proposals.is_empty());

        simulator.run_for(TRANSFER_LIMIT_MS - HEARTBEAT_MS);
        assert!(!transfers(&simulator, leader), "the transfer has not ended");
        simulator.propose(leader);
        let change = request_learner(&mut simulator, leader);
        simulator.run_for(HEARTBEAT_MS);
        assert_eq!(simulator.history.acknowledged_count, acknowledged + 1);
        assert_eq!(simulator.finished_changes[&change], Ok(()));
        simulator.check_nothing_pending();
        simulator.history.check_rejected();
    });
}

/// Guards against a deadline that further requests move, so that the first caller waits, and
/// proposals are refused, for as long as requests come. The target answers heartbeats, but its disk
/// is too slow for it to take over.
#[test]
fn deadline_stays() {
    for_each_seed(20, |seed| {
        let (mut simulator, leader) = simulator_with_leader(seed);
        simulator.max_sync_ms = 60_000;
        simulator.propose(leader);
        simulator.run_for(10);
        let started = simulator.now;
        simulator.input(leader, Input::TransferLeadership);
        while transfers(&simulator, leader) {
            let elapsed_ms = simulator.now - started;
            assert!(elapsed_ms <= TRANSFER_LIMIT_MS, "still transferring after {elapsed_ms} ms");
            simulator.run_for(HEARTBEAT_MS);
            if transfers(&simulator, leader) {
                simulator.input(leader, Input::TransferLeadership);
            }
        }
    });
}

#[test]
fn requests_answered_once() {
    for_each_seed(200, |seed| {
        let (mut simulator, leader) = simulator_with_leader(seed);
        simulator.add_node(ReplicaId::new(4));
        simulator.loss_percent = simulator.random.random_range(0..40);
        if simulator.random.random_bool(0.5) {
            request_learner(&mut simulator, leader);
        }
        for _ in 0..simulator.random.random_range(1..30) {
            simulator.propose(leader);
            simulator.read(leader);
            match simulator.random.random_range(0..10) {
                0 => {
                    request_learner(&mut simulator, leader);
                }
                1 | 2 => simulator.input(leader, Input::TransferLeadership),
                _ => {}
            }
            let pause = simulator.random.random_range(0..60);
            simulator.run_for(pause);
        }
        simulator.loss_percent = 0;
        simulator.run_for(5_000);
        simulator.check_nothing_pending();
        simulator.history.check_rejected();
    });
}
