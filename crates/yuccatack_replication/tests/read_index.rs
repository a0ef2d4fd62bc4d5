//! Linearizable reads.
#![allow(clippy::unwrap_used, missing_docs)]

mod simulation;

use simulation::seeds::for_each_seed;
use simulation::{World, WorldSettings};
use yuccatack_replication::state::Input;

/// Guards against a read by a leader that was replaced and does not know it: the hand-over needs no
/// election timeout, so the old leader's contact with a quorum still looks recent.
#[test]
fn deposed_leader_serves_no_read() {
    for_each_seed(40, |seed| {
        let settings = WorldSettings {
            voter_count: 3,
            snapshot_entry_count: 1_000,
            append_limit_bytes: 4_096,
        };
        let mut world = World::new(seed, settings);
        world.run_for(3_000);
        let old = world.leader().expect("a leader");
        world.input(old, Input::TransferLeadership);
        world.run_for(1);
        let others: Vec<_> = world.nodes.keys().copied().filter(|id| *id != old).collect();
        world.blocked.extend(others.into_iter().map(|other| (other, old)));
        world.run_for(60);
        let new = world.leader_except(old).expect("a leader after the hand-over");
        let answered = world.history.acknowledged_count;
        world.propose(new);
        world.run_for(60);
        assert_eq!(world.history.acknowledged_count, answered + 1);
        // The check of the history fails if this read is answered without the new command.
        world.read(old);
        world.run_for(1_000);
    });
}
