//! Randomised runs of publishers and subscribers in virtual time, with lost and stalled streams,
//! suspended nodes and leaders, partitions, changes of leader and concurrent changes of records.
//!
//! `YUCCATACK_SEED` sets the first seed and `YUCCATACK_SEED_COUNT` the number of seeds.
#![allow(clippy::print_stdout, clippy::unwrap_used, missing_docs)]

mod faults;
mod invariants;
mod network;
mod node;
mod replica;
mod simulation;

use simulation::Simulation;

/// Duration of the phase with faults.
const FAULT_PHASE_MS: u64 = 60_000;
/// Time for the recovery after the faults. A departing process ends within 9 s and restarts within
/// 5 s, and a new leader confirms no change for 3.5 s.
const RECOVERY_PHASE_MS: u64 = 20_000;

fn seeds() -> std::ops::Range<u64> {
    let read = |name: &str| std::env::var(name).ok().map(|text| text.parse::<u64>().unwrap());
    let first = read("YUCCATACK_SEED").unwrap_or(1);
    first..first + read("YUCCATACK_SEED_COUNT").unwrap_or(20)
}

/// Guards against work at a revision older than one reported as in force everywhere, against a node
/// whose revision goes back, and against work for a minion that departed more than 3 s ago. Faults
/// that coincide with changes of records or of the leader can cause them.
#[test]
fn invariants_hold() {
    let mut summary = invariants::Summary::default();
    for seed in seeds() {
        let mut simulation = Simulation::new(seed);
        simulation.run(FAULT_PHASE_MS, true);
        simulation.run(RECOVERY_PHASE_MS, false);
        simulation.check_recovered();
        summary.add(&simulation.summary());
    }
    println!("{summary:?}");
    // Without these events, the runs would check nothing.
    assert!(summary.declared_revisions > 0 && summary.work_starts > 0);
    assert!(summary.refused_starts > 0 && summary.dispatches > 0 && summary.leader_changes > 0);
}
