//! Randomised simulation of concurrent operators with lost responses, late resends and deposed
//! leaders.
//!
//! `YUCCATACK_SEED` and `YUCCATACK_SEED_COUNT` override the seeds.
#![allow(clippy::print_stdout, clippy::unwrap_used, missing_docs)]

#[path = "../support/mod.rs"]
mod support;

mod history;
mod simulation;

use simulation::Simulation;
use support::seeds::seeds;

/// Guards against a change that is applied twice, loses another operator's update, gets two
/// different outcomes, or leaves replicas with different records.
#[test]
fn history_is_consistent() {
    let mut accepted = 0;
    let mut repeated = 0;
    let mut evicted = 0;
    let mut conflicts = 0;
    for seed in seeds(1, 20) {
        let mut simulation = Simulation::new(seed);
        for _ in 0..1_500 {
            simulation.step();
        }
        let summary = simulation.finish();
        accepted += summary.accepted;
        repeated += summary.repeated;
        evicted += summary.resent_after_eviction;
        conflicts += summary.conflicts;
    }
    println!(
        "{accepted} changes accepted, {conflicts} conflicts, {repeated} resends with the first \
         outcome, {evicted} resends of evicted changes"
    );
    // Without these events the checker would not be exercised.
    assert!(accepted > 0 && repeated > 0 && evicted > 0 && conflicts > 0);
}
