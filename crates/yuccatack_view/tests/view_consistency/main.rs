//! Randomised runs of publishers and subscribers under virtual time, with lost and stalled streams,
//! suspended nodes and leaders, partitions, changes of leader and racing changes.
//!
//! `YUCCATACK_SEED` and `YUCCATACK_SEED_COUNT` choose other seeds.
#![allow(clippy::print_stdout, clippy::unwrap_used, missing_docs)]

mod faults;
mod invariants;
mod network;
mod node;
mod replica;
mod simulation;

use simulation::Simulation;

/// How long faults go on.
const FAULTY_MS: u64 = 60_000;
/// How long the system has to recover. A process that leaves ends within 9 s and restarts within
/// 5 s, and a leader waits for 3.5 s.
const RECOVERY_MS: u64 = 20_000;

fn seeds() -> std::ops::Range<u64> {
    let read = |name: &str| std::env::var(name).ok().map(|text| text.parse::<u64>().unwrap());
    let first = read("YUCCATACK_SEED").unwrap_or(1);
    first..first + read("YUCCATACK_SEED_COUNT").unwrap_or(20)
}

/// Guards against work by a revision older than one that is said to be in force everywhere, against
/// a node whose revision goes back, and against work for a minion that left over 3 s ago.
#[test]
fn invariants_hold() {
    let mut summary = invariants::Summary::default();
    for seed in seeds() {
        let mut simulation = Simulation::new(seed);
        simulation.run(FAULTY_MS, true);
        simulation.run(RECOVERY_MS, false);
        simulation.check_recovered();
        summary.add(&simulation.summary());
    }
    println!("{summary:?}");
    // A run without these events would guard against nothing.
    assert!(summary.declared_revisions > 0 && summary.work_starts > 0);
    assert!(summary.refused_starts > 0 && summary.dispatches > 0 && summary.leader_changes > 0);
}
