//! Measures the longest scheduling pass, and the memory, under one shape of heavy but legal work.
//!
//! Usage: `cargo run --release --example pass_load SHAPE COUNT [WORKERS]`. SHAPE says what there are
//! COUNT of: `steps` of one job, `blocked` steps of one job that fit nowhere, `occurrences` of a
//! schedule that are all due, `jobs` of one task, `tasks` of one gang, or `mentions` of one step by
//! another. Each pass is applied to the table; the starts are not answered.

#![allow(clippy::print_stdout, clippy::unwrap_used, missing_docs)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::fs;
use std::time::Instant;

use support::{TestCluster, tiny};
use yuccatack_core::{DurationMs, Resources};
use yuccatack_dispatch::TableChange;
use yuccatack_runs::{Schedule, StepSpec};

const PASS_COUNT: usize = 5;

fn submit(cluster: &mut TestCluster, shape: &str, count: u32) {
    let too_large = Resources { cores_milli: 1 << 20, ..Resources::default() };
    let blocked = StepSpec { demand: too_large, ..tiny() };
    let steps = match shape {
        "steps" => vec![tiny(); count as usize],
        "blocked" => vec![blocked; count as usize],
        "occurrences" => vec![tiny()],
        "tasks" => vec![StepSpec { task_count: count, gang: true, ..tiny() }],
        "mentions" => vec![tiny(), StepSpec { after: vec![0; count as usize], ..tiny() }],
        "jobs" => {
            (0..count).for_each(|job| cluster.submit(&format!("heavy-{job}"), 1, tiny()));
            return;
        }
        other => panic!("unknown shape {other}"),
    };
    let schedule = (shape == "occurrences").then_some(Schedule {
        first_at_unix_ms: 0,
        period_ms: DurationMs::new(0),
        occurrence_count: count,
    });
    cluster.submit_steps("heavy", steps, schedule);
}

fn peak_memory_mb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() / 1024
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let shape = arguments.next().unwrap();
    let count = arguments.next().unwrap().parse().unwrap();
    let worker_count = arguments.next().map_or(11, |count| count.parse().unwrap());
    let mut cluster = TestCluster::new(worker_count);
    submit(&mut cluster, &shape, count);
    let (mut longest_ms, mut started_count) = (0, 0);
    for _ in 0..PASS_COUNT {
        let (now, unix_ms) = (cluster.now, cluster.now.get());
        let began_at = Instant::now();
        let changes =
            cluster.dispatcher.decide(&cluster.table, &cluster.configuration, now, unix_ms);
        longest_ms = longest_ms.max(began_at.elapsed().as_millis());
        let starts = changes.iter().map(|change| match change {
            TableChange::Begin(group) => group.len(),
            _ => 0,
        });
        started_count += starts.sum::<usize>();
        cluster.apply(changes);
        let began_at = Instant::now();
        cluster.dispatcher.orders(&cluster.table, now);
        longest_ms = longest_ms.max(began_at.elapsed().as_millis());
        cluster.advance(50);
    }
    println!(
        "{shape} {count} on {worker_count} workers: longest pass {longest_ms} ms, {started_count} \
         started in {PASS_COUNT} passes, peak memory {} MB",
        peak_memory_mb()
    );
}
