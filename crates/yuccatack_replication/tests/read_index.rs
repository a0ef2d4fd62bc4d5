//! Linearizable reads.
#![allow(clippy::unwrap_used, missing_docs)]

mod simulation;

use simulation::seeds::for_each_seed;
use simulation::{Simulator, SimulatorSettings};
use yuccatack_replication::state::Input;

/// Guards against a read by a leader that was replaced and does not know it. The transfer of
/// leadership needs no election timeout, so the old leader's contact with a quorum still looks
/// recent.
#[test]
fn deposed_leader_serves_no_read() {
    for_each_seed(40, |seed| {
        let settings = SimulatorSettings {
            voter_count: 3,
            snapshot_entry_count: 1_000,
            append_limit_bytes: 4_096,
        };
        let mut simulator = Simulator::new(seed, settings);
        simulator.run_for(3_000);
        let old = simulator.leader().expect("a leader");
        simulator.input(old, Input::TransferLeadership);
        simulator.run_for(1);
        let others: Vec<_> = simulator.nodes.keys().copied().filter(|id| *id != old).collect();
        simulator.blocked.extend(others.into_iter().map(|other| (other, old)));
        simulator.run_for(60);
        let new = simulator.leader_except(old).expect("a leader after the transfer");
        let acknowledged = simulator.history.acknowledged_count;
        simulator.propose(new);
        simulator.run_for(60);
        assert_eq!(simulator.history.acknowledged_count, acknowledged + 1);
        // The check of the history fails if this read is served without the new command.
        simulator.read(old);
        simulator.run_for(1_000);
    });
}
