//! Measures the request path on real sockets, with an entry, agents and minions in one process.
//!
//! `cargo run --release -p yuccatack_entry --example measure_requests -- latency`, or `overload`,
//! `balance` or `idle`. The figures in docs/requests.md come from this program.

#![allow(clippy::unwrap_used, clippy::print_stdout, missing_docs)]

#[path = "../../tests/common/mod.rs"]
mod common;
mod load;

use std::time::{Duration, Instant};

use common::{ManualView, RunningAgent, System};
use hdrhistogram::Histogram;
use load::{OfferedLoad, Report, closed_loop, open_loop};
use yuccatack_requests::routing::RoutingPolicy;
use yuccatack_stand_ins::{MinionBehaviour, MinionStandIn};

#[tokio::main]
async fn main() {
    let mode = std::env::args().nth(1).unwrap_or_default();
    match mode.as_str() {
        "latency" => latency().await,
        "overload" => overload().await,
        "balance" => balance().await,
        "idle" => idle().await,
        _ => println!("usage: measure_requests latency|overload|balance|idle"),
    }
}

/// Raises the limits of all organisations so far that they do not affect the measurement.
fn raise_limits(system: &System) {
    for organisation in load::ORGANISATIONS {
        system.view.set_limits(organisation, 1_000_000, 1_000_000);
    }
}

fn quantile_us(histogram: &Histogram<u64>, quantile: f64) -> u64 {
    histogram.value_at_quantile(quantile)
}

/// Compares direct calls with calls through entry and agent. The two alternate, so that changes in
/// the load of the machine affect both.
async fn latency() {
    let system = System::start(&[MinionBehaviour::default()]).await;
    raise_limits(&system);
    let direct_address = system.minions[0].address();
    let entry_address = system.entry.address;
    for concurrency in [1, 4, 8] {
        let mut direct = Report::new();
        let mut through = Report::new();
        for _ in 0..4 {
            let span = Duration::from_secs(1);
            direct.add(closed_loop(direct_address, concurrency, span).await);
            through.add(closed_loop(entry_address, concurrency, span).await);
        }
        for (name, report) in [("direct", &direct), ("entry and agent", &through)] {
            println!(
                "{concurrency} callers, {name}: p50 {} us, p99 {} us, {:.0} requests/s, {} not 200",
                quantile_us(&report.latency_us, 0.5),
                quantile_us(&report.latency_us, 0.99),
                report.completed as f64 / report.elapsed.as_secs_f64(),
                report.refused + report.unknown,
            );
        }
    }
}

/// Measures goodput under overload. Two minions with 8 slots and 80 ms per request can answer 200
/// requests per second.
async fn overload() {
    let slow = MinionBehaviour { delay: Duration::from_millis(80), ..Default::default() };
    let system = System::start_with(&[slow; 2], |_, _| {}).await;
    raise_limits(&system);
    let capacity_per_s = 2.0 * 8.0 / 0.080;
    for factor in [0.25, 1.0, 2.0, 10.0] {
        let offered = OfferedLoad {
            rate_per_s: capacity_per_s * factor,
            span: Duration::from_secs(10),
            deadline: Duration::from_secs(1),
        };
        let reports = open_loop(system.entry.address, offered).await;
        let completed: u64 = reports.values().map(|report| report.completed_in_span).sum();
        let goodput = completed as f64 / offered.span.as_secs_f64();
        println!("{factor}x: offered {:.0}/s, goodput {goodput:.0}/s", offered.rate_per_s);
        for (class, report) in &reports {
            println!(
                "  {class:?}: {} completed, {} refused, {} unknown, completed p50 {} ms, p99 {} ms",
                report.completed,
                report.refused,
                report.unknown,
                quantile_us(&report.latency_us, 0.5) / 1000,
                quantile_us(&report.latency_us, 0.99) / 1000,
            );
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

/// Compares routing policies on eleven minions whose requests take from 50 ms to 200 ms, at 70% of
/// their capacity.
async fn balance() {
    let delays_ms = [50, 50, 50, 50, 50, 100, 100, 100, 200, 200, 200];
    let capacity_per_s: f64 = delays_ms.iter().map(|delay| 8.0 * 1000.0 / *delay as f64).sum();
    let policies =
        [RoutingPolicy::Random, RoutingPolicy::RoundRobin, RoutingPolicy::PowerOfTwoChoices];
    for policy in policies {
        let behaviours: Vec<MinionBehaviour> = delays_ms
            .iter()
            .map(|delay| MinionBehaviour {
                delay: Duration::from_millis(*delay),
                ..Default::default()
            })
            .collect();
        let system =
            System::start_with(&behaviours, |_, inputs| inputs.routing.policy = policy).await;
        raise_limits(&system);
        let offered = OfferedLoad {
            rate_per_s: capacity_per_s * 0.7,
            span: Duration::from_secs(10),
            deadline: Duration::from_secs(2),
        };
        let reports = open_loop(system.entry.address, offered).await;
        let mut all = Report::new();
        for (_, report) in reports {
            all.add(report);
        }
        let mut usage = Vec::new();
        for (minion, delay) in system.minions.iter().zip(delays_ms) {
            let busy_ms = minion.runs().await.len() as f64 * delay as f64;
            usage.push(busy_ms / (offered.span.as_millis() as f64 * 8.0) * 100.0);
        }
        let (least, most) = (
            usage.iter().copied().fold(f64::MAX, f64::min),
            usage.iter().copied().fold(0.0, f64::max),
        );
        println!(
            "{policy:?}: offered {:.0}/s, {} completed, {} refused, p50 {} ms, p99 {} ms, \
             slots used {least:.0}% to {most:.0}%",
            offered.rate_per_s,
            all.completed,
            all.refused,
            quantile_us(&all.latency_us, 0.5) / 1000,
            quantile_us(&all.latency_us, 0.99) / 1000,
        );
    }
}

fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap().split_whitespace().collect();
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    // Linux counts processor time in ticks of 10 ms.
    Duration::from_millis(ticks * 10)
}

fn memory_kib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = text.lines().find(|line| line.starts_with("VmRSS")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

/// Measures an agent without load. The figures include its minion test double.
async fn idle() {
    let view = ManualView::new();
    let minion = MinionStandIn::start(MinionBehaviour::default()).await.unwrap();
    let agent = RunningAgent::start("minion-0", minion.address(), &view).await;
    view.wait_for_ready(1).await;
    let (before, started) = (processor_time(), Instant::now());
    tokio::time::sleep(Duration::from_secs(20)).await;
    let used = processor_time() - before;
    println!(
        "idle agent with minion stand-in: {} KiB resident, {:.2}% of a core over {:?}",
        memory_kib(),
        used.as_secs_f64() / started.elapsed().as_secs_f64() * 100.0,
        started.elapsed(),
    );
    drop(agent);
}
