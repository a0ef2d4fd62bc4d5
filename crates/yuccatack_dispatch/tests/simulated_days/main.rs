//! Guards against accepted jobs that could run and do not while most of the capacity is free, and
//! against tasks that run twice, over random days with all faults of workers, agents and leaders.
//!
//! Seeds are fixed; `YUCCATACK_SEED` and `YUCCATACK_SEED_COUNT` choose others.

#![allow(clippy::unwrap_used, missing_docs)]

#[path = "../support/mod.rs"]
mod support;

mod checks;
mod day;
mod faults;
mod jobs;
mod worker;

use day::{Day, DayPlan, KnownSpeeds};

/// Number of seeds of each test that run unless the environment chooses others.
const SEED_COUNT: u64 = 10;

/// Seeds of `lasting_faults` with gangs that never completed, since no rack had enough workers that did
/// not keep failing.
const FAILING_RACK_SEEDS: [u64; 3] = [30, 53, 70];

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

/// Returns the seeds that the environment chooses, or the first ones and those of earlier failures.
fn seeds(earlier_failures: &[u64]) -> Vec<u64> {
    match (number("YUCCATACK_SEED"), number("YUCCATACK_SEED_COUNT")) {
        (None, None) => (1..=SEED_COUNT).chain(earlier_failures.iter().copied()).collect(),
        (first, count) => {
            let first = first.unwrap_or(1);
            (first..first + count.unwrap_or(SEED_COUNT)).collect()
        }
    }
}

/// Plays a day for each seed and reports the violations of all of them.
fn play<Plan>(plan: Plan, seeds: &[u64])
where
    Plan: Fn(u64) -> DayPlan,
{
    let mut violations = Vec::new();
    for seed in seeds {
        let found = Day::new(plan(*seed), *seed).play();
        violations.extend(found.into_iter().map(|violation| format!("seed {seed}: {violation}")));
    }
    assert!(violations.is_empty(), "{} violations:\n{}", violations.len(), violations.join("\n"));
}

#[test]
fn calm_days() {
    play(|_| DayPlan::default(), &seeds(&[]));
}

#[test]
fn mixed_faults() {
    let plan = DayPlan { fault_count: 6, hopeless_percent: 3, ..DayPlan::default() };
    play(|_| plan.clone(), &seeds(&[]));
}

#[test]
fn hopeless_jobs() {
    let plan = DayPlan { hopeless_percent: 30, ..DayPlan::default() };
    play(|_| plan.clone(), &seeds(&[]));
}

#[test]
fn small_pools() {
    let plan = DayPlan { worker_count: 11, rack_size: 3, fault_count: 3, ..DayPlan::default() };
    play(|_| plan.clone(), &seeds(&[]));
}

#[test]
fn lasting_faults() {
    let plan = DayPlan { lasting_fault_count: 2, ..DayPlan::default() };
    play(|_| plan.clone(), &seeds(&FAILING_RACK_SEEDS));
}

#[test]
fn lost_leaders() {
    let plan = DayPlan { leader_change_count: 4, fault_count: 3, ..DayPlan::default() };
    play(|_| plan.clone(), &seeds(&[]));
}

#[test]
fn failed_proposals() {
    let plan = DayPlan { failed_proposal_percent: 10, ..DayPlan::default() };
    play(|_| plan.clone(), &seeds(&[]));
}

#[test]
fn slow_commits() {
    let plan = DayPlan { worker_count: 54, spread_polls: true, ..DayPlan::default() };
    play(|seed| DayPlan { commit_ms: 50 * (1 + seed % 4), ..plan.clone() }, &seeds(&[]));
}

#[test]
fn uneven_machines() {
    let plan = DayPlan { speeds_percent: [42, 100, 110], fault_count: 3, ..DayPlan::default() };
    let known = [KnownSpeeds::Exact, KnownSpeeds::Inverted];
    play(|seed| DayPlan { known_speeds: known[seed as usize % 2], ..plan.clone() }, &seeds(&[]));
}

#[test]
fn cut_lists() {
    // Two ends at a time: more wait after each loss of the leader.
    let plan = DayPlan {
        worker_count: 11,
        rack_size: 3,
        leader_change_count: 6,
        fault_count: 2,
        listed_end_count: 2,
        ..DayPlan::default()
    };
    play(|_| plan.clone(), &seeds(&[]));
}
