//! Measures the time of one scheduling pass on a pool with slow machines.
//!
//! Usage: `cargo run --release --example pass_time [WORKERS] [REPETITIONS]`. Each worker runs a
//! less urgent task on half of its accelerators. The gang fits, but not on fast workers alone, so
//! that its pass also searches for runs that end soon and for runs to evict.

#![allow(clippy::print_stdout, clippy::unwrap_used, missing_docs)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Instant;

use support::{TestCluster, node, run, step};
use yuccatack_dispatch::MachineSpeeds;
use yuccatack_runs::StepSpec;

/// Creates a pool in which one worker in three is slow and all are half full.
fn pool(worker_count: usize) -> TestCluster {
    let mut cluster = TestCluster::new(worker_count);
    let speeds = (0..worker_count).fold(MachineSpeeds::new(), |speeds, index| {
        speeds.with_speed(node(index), if index % 3 == 0 { 0.42 } else { 1.0 })
    });
    cluster.dispatcher.set_speeds(speeds);
    let low = StepSpec { tasks_per_worker: Some(1), ..step(worker_count as u32, 4) };
    cluster.submit("low", 1, low);
    cluster.decide();
    for index in 0..worker_count {
        cluster.report_begun(&run("low", index as u32, 1));
    }
    cluster
}

/// Returns the times of one pass each, in microseconds and ascending order.
fn measure<Submit>(worker_count: usize, repetition_count: usize, submit: Submit) -> Vec<u128>
where
    Submit: Fn(&mut TestCluster),
{
    let mut times_us: Vec<u128> = (0..repetition_count)
        .map(|_| {
            let mut cluster = pool(worker_count);
            submit(&mut cluster);
            let (now, unix_ms) = (cluster.now, cluster.now.get());
            let began_at = Instant::now();
            cluster.dispatcher.decide(&cluster.table, &cluster.configuration, now, unix_ms);
            began_at.elapsed().as_micros()
        })
        .collect();
    times_us.sort_unstable();
    times_us
}

fn report(name: &str, times_us: &[u128]) {
    let quantile = |percent: usize| times_us[(times_us.len() - 1) * percent / 100];
    println!("{name}: p50 {} us, p99 {} us", quantile(50), quantile(99));
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(|argument| argument.parse().unwrap());
    let worker_count = arguments.next().unwrap_or(75);
    let repetition_count = arguments.next().unwrap_or(200);
    let single = measure(worker_count, repetition_count, |cluster| {
        cluster.submit_tight("urgent", None, step(1, 4));
    });
    report("one task", &single);
    let gang = measure(worker_count, repetition_count, |cluster| {
        cluster.submit_tight("urgent", None, StepSpec { gang: true, ..step(64, 4) });
    });
    report("gang of 64", &gang);
    let local = measure(worker_count, repetition_count, |cluster| {
        let gang = StepSpec { gang: true, rack_local: true, ..step(4, 2) };
        cluster.submit_tight("urgent", None, gang);
    });
    report("rack-local gang of 4", &local);
}
