//! Replays seeded job arrivals with the policy and with both baselines.
//!
//! `cargo run --release --package yuccatack_leases --example replay [timing|lending] [LOAD]`;
//! `YUCCATACK_SEED` and `YUCCATACK_SEED_COUNT` choose the seeds.
#![allow(clippy::print_stdout, missing_docs)]

mod engine;
mod mix;

use engine::{Outcome, replay};
use mix::{Deployment, scenario};
use yuccatack_leases::Strategy;

fn mean(values: &[f64]) -> f64 {
    if values.is_empty() { 0.0 } else { values.iter().sum::<f64>() / values.len() as f64 }
}

fn quantile(values: &[f64], quantile: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let position = (quantile * (sorted.len().saturating_sub(1)) as f64).round() as usize;
    sorted.get(position).copied().unwrap_or_default()
}

type Measure = (&'static str, fn(&Outcome) -> f64);

const MEASURES: [Measure; 14] = [
    ("urgent completion mean s", |o| mean(&o.urgent_completion_s)),
    ("urgent completion p99 s", |o| quantile(&o.urgent_completion_s, 0.99)),
    ("urgent start mean s", |o| mean(&o.urgent_start_s)),
    ("urgent start p99 s", |o| quantile(&o.urgent_start_s, 0.99)),
    ("gang wait mean s", |o| mean(&o.gang_wait_s)),
    ("gang wait p99 s", |o| quantile(&o.gang_wait_s, 0.99)),
    ("other completion mean s", |o| mean(&o.other_completion_s)),
    ("fragmentation", |o| mean(&o.unusable) / mean(&o.free)),
    ("remainder", |o| mean(&o.remainder) / mean(&o.free)),
    ("moves", |o| o.move_count as f64),
    ("utilisation mean", |o| mean(&o.utilisation)),
    ("reclaim p99 s", |o| quantile(&o.reclaim_s, 0.99)),
    ("reclaims", |o| o.reclaim_s.len() as f64),
    ("unfinished jobs", |o| o.unfinished as f64),
];

fn environment_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let deployment = match arguments.next().as_deref() {
        Some("lending") => Deployment::Lending,
        _ => Deployment::Timing,
    };
    let load: f64 = arguments.next().and_then(|text| text.parse().ok()).unwrap_or(1.0);
    let first = environment_number("YUCCATACK_SEED", 1);
    let seeds = first..first + environment_number("YUCCATACK_SEED_COUNT", 20);
    let strategies = [Strategy::Policy, Strategy::FirstFit, Strategy::BestFit];
    let handles: Vec<_> = strategies
        .into_iter()
        .map(|strategy| {
            let seeds = seeds.clone();
            std::thread::spawn(move || {
                let run = |seed| replay(&scenario(deployment, seed, load), strategy);
                seeds.map(run).collect::<Vec<Outcome>>()
            })
        })
        .collect();
    let results: Vec<Vec<Outcome>> =
        handles.into_iter().map(|handle| handle.join().unwrap_or_default()).collect();
    println!("{deployment:?}, load {load}, seeds {seeds:?}: median over seeds [least, most]");
    println!("{:28}{:>30}{:>30}{:>30}", "", "policy", "first fit", "best fit");
    for (name, measure) in MEASURES {
        let mut line = format!("{name:28}");
        for outcomes in &results {
            let values: Vec<f64> = outcomes.iter().map(measure).collect();
            let cell = format!(
                "{:.2} [{:.2}, {:.2}]",
                quantile(&values, 0.5),
                quantile(&values, 0.0),
                quantile(&values, 1.0)
            );
            line.push_str(&format!("{cell:>30}"));
        }
        println!("{line}");
    }
    compare(&results);
}

/// Prints for each target the number of seeds in which the policy reaches it.
fn compare(results: &[Vec<Outcome>]) {
    let [policy, first_fit, best_fit] = results else { return };
    let count = |reached: &dyn Fn(usize) -> bool| (0..policy.len()).filter(|i| reached(*i)).count();
    let urgent_mean = |o: &Outcome| mean(&o.urgent_completion_s);
    let urgent_p99 = |o: &Outcome| quantile(&o.urgent_completion_s, 0.99);
    let fragmentation = |o: &Outcome| mean(&o.unusable) / mean(&o.free);
    println!(
        "of {} seeds: urgent mean at least 30% below first fit in {}, urgent p99 no later than \
         best fit in {} and than first fit in {}, fragmentation at most half of first fit in {}",
        policy.len(),
        count(&|i| urgent_mean(&policy[i]) <= 0.7 * urgent_mean(&first_fit[i])),
        count(&|i| urgent_p99(&policy[i]) <= urgent_p99(&best_fit[i])),
        count(&|i| urgent_p99(&policy[i]) <= urgent_p99(&first_fit[i])),
        count(&|i| fragmentation(&policy[i]) <= 0.5 * fragmentation(&first_fit[i])),
    );
}
