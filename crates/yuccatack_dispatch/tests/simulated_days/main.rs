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

use day::{Day, DayPlan};

/// Number of seeds of each test that run unless the environment chooses others.
const SEED_COUNT: u64 = 10;

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

/// Plays a day for each seed and reports the violations of all of them.
fn play<Plan>(plan: Plan)
where
    Plan: Fn(u64) -> DayPlan,
{
    let first = number("YUCCATACK_SEED").unwrap_or(1);
    let count = number("YUCCATACK_SEED_COUNT").unwrap_or(SEED_COUNT);
    let mut violations = Vec::new();
    for seed in first..first + count {
        let found = Day::new(plan(seed), seed).play();
        violations.extend(found.into_iter().map(|violation| format!("seed {seed}: {violation}")));
    }
    assert!(violations.is_empty(), "{} violations:\n{}", violations.len(), violations.join("\n"));
}

#[test]
fn calm_days() {
    play(|_| DayPlan::default());
}

#[test]
fn mixed_faults() {
    play(|_| DayPlan { fault_count: 6, hopeless_percent: 3, ..DayPlan::default() });
}

#[test]
fn hopeless_jobs() {
    play(|_| DayPlan { hopeless_percent: 30, ..DayPlan::default() });
}

#[test]
fn small_pools() {
    play(|_| DayPlan { worker_count: 11, rack_size: 3, fault_count: 3, ..DayPlan::default() });
}

#[test]
fn lost_leaders() {
    play(|_| DayPlan { leader_change_count: 4, fault_count: 3, ..DayPlan::default() });
}

#[test]
fn failed_proposals() {
    play(|_| DayPlan { failed_proposal_percent: 10, ..DayPlan::default() });
}

#[test]
fn slow_commits() {
    play(|seed| DayPlan {
        worker_count: 54,
        commit_ms: 50 * (1 + seed % 4),
        spread_polls: true,
        ..DayPlan::default()
    });
}
