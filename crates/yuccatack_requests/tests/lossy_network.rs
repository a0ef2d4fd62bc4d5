//! Randomised runs of dispatch, attempt table and claim table under virtual time.

#![allow(clippy::unwrap_used, clippy::print_stdout, missing_docs)]

mod world;

use world::{Faults, Tally, World};

const CALLER_COUNT: usize = 40;
const DEFAULT_SEED_COUNT: u64 = 500;

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| text.parse().unwrap())
}

fn run_seeds(faults: Faults) -> Tally {
    let first = number("YUCCATACK_SEED", 1);
    let count = number("YUCCATACK_SEED_COUNT", DEFAULT_SEED_COUNT);
    let mut total = Tally::default();
    for seed in first..first + count {
        println!("seed {seed}");
        let tally = World::new(seed, faults, CALLER_COUNT).run();
        total.completed += tally.completed;
        total.not_run += tally.not_run;
        total.unknown += tally.unknown;
        total.minion_runs += tally.minion_runs;
    }
    println!("{total:?}");
    total
}

/// Guards against answers that reach another caller, partial answers, a second run of a
/// non-idempotent request, and refusals of requests that ran; the model asserts each of them.
#[test]
fn all_faults() {
    let tally = run_seeds(Faults::all());
    // The run only proves something if every outcome occurs.
    assert!(tally.completed > 0 && tally.not_run > 0 && tally.unknown > 0, "{tally:?}");
}

/// Guards against safety bought by giving up: without faults almost every request completes.
/// Requests may still be refused when every slot of the chosen agents is in use.
#[test]
fn no_faults() {
    let tally = run_seeds(Faults::none());
    assert_eq!(tally.unknown, 0, "{tally:?}");
    assert!(tally.not_run * 100 <= tally.completed, "{tally:?}");
}
