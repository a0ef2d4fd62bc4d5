//! Randomised runs of racing operators with lost answers, late resends and deposed leaders.
//!
//! `YUCCATACK_SEED` and `YUCCATACK_SEED_COUNT` choose other seeds.
#![allow(clippy::print_stdout, clippy::unwrap_used, missing_docs)]

#[path = "../support/mod.rs"]
mod support;

mod history;
mod simulation;

use simulation::Simulation;
use support::seeds::seeds;

/// Guards against a change that is applied twice, overwrites another unseen, is answered in two
/// ways, or leaves replicas with different records.
#[test]
fn history_is_consistent() {
    let mut accepted = 0;
    let mut repeated = 0;
    let mut forgotten = 0;
    let mut conflicts = 0;
    for seed in seeds(1, 20) {
        let mut simulation = Simulation::new(seed);
        for _ in 0..1_500 {
            simulation.step();
        }
        let summary = simulation.finish();
        accepted += summary.accepted;
        repeated += summary.repeated;
        forgotten += summary.resent_when_forgotten;
        conflicts += summary.conflicts;
    }
    println!(
        "{accepted} changes accepted, {conflicts} conflicts, {repeated} resends answered again, \
         {forgotten} resends of forgotten changes"
    );
    // A run without these events would guard against nothing.
    assert!(accepted > 0 && repeated > 0 && forgotten > 0 && conflicts > 0);
}
