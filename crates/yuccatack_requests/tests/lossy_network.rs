//! Randomised simulation of dispatch, attempt table and claim table in virtual time.

#![allow(clippy::unwrap_used, clippy::print_stdout, missing_docs)]

mod simulation;

use simulation::{Faults, OutcomeCounts, Simulation};

const CALLER_COUNT: usize = 40;
const DEFAULT_SEED_COUNT: u64 = 500;

fn env_number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| text.parse().unwrap())
}

fn run_seeds(faults: Faults) -> OutcomeCounts {
    let first = env_number("YUCCATACK_SEED", 1);
    let count = env_number("YUCCATACK_SEED_COUNT", DEFAULT_SEED_COUNT);
    let mut total = OutcomeCounts::default();
    for seed in first..first + count {
        println!("seed {seed}");
        let counts = Simulation::new(seed, faults, CALLER_COUNT).run();
        total.completed += counts.completed;
        total.not_run += counts.not_run;
        total.unknown += counts.unknown;
        total.minion_runs += counts.minion_runs;
    }
    println!("{total:?}");
    total
}

/// Guards against answers that reach another caller, partial answers, a second run of a
/// non-idempotent request, and refusals of requests that ran. The simulation asserts each of these.
#[test]
fn all_faults() {
    let counts = run_seeds(Faults::all());
    // The assertions of the simulation are only exercised if every outcome occurs.
    assert!(counts.completed > 0 && counts.not_run > 0 && counts.unknown > 0, "{counts:?}");
}

/// Guards against refusing or abandoning requests needlessly: without faults almost every request
/// completes. A few may be refused because every slot of the chosen agents is in use.
#[test]
fn no_faults() {
    let counts = run_seeds(Faults::none());
    assert_eq!(counts.unknown, 0, "{counts:?}");
    assert!(counts.not_run * 100 <= counts.completed, "{counts:?}");
}
