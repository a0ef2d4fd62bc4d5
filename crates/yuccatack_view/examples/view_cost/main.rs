//! Measures the view on loopback: time until a change is in force everywhere, and the bytes,
//! processor time and memory that it costs a node.
//!
//! Start one process of each kind, with equal port and number of nodes:
//!
//! ```text
//! cargo run --release --package yuccatack_view --example view_cost -- serve PORT NODES CHANGES_PER_10_S
//! cargo run --release --package yuccatack_view --example view_cost -- subscribe PORT NODES
//! ```
#![allow(clippy::print_stdout, clippy::unwrap_used)]

mod counted;
mod serve;
mod subscribe;

use std::time::Duration;

/// Left out of the measurement: connecting, and the 3.5 s that a new leader waits.
const WARM_UP: Duration = Duration::from_secs(6);
/// The measured time.
const MEASURED: Duration = Duration::from_secs(15);

#[tokio::main(worker_threads = 2)]
async fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |index: usize| arguments[index].parse::<u64>().unwrap();
    let port = u16::try_from(number(1)).unwrap();
    match arguments[0].as_str() {
        "serve" => serve::run(port, number(2), number(3)).await,
        "subscribe" => subscribe::run(port, number(2)).await,
        other => println!("unknown mode `{other}`; use serve or subscribe"),
    }
}

/// The processor time of this process so far.
fn processor_time_ms() -> u64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap();
    // The fields after the parenthesised name; user and system time are the 12th and 13th there,
    // in ticks of 10 ms.
    let fields: Vec<&str> = text.rsplit_once(')').unwrap().1.split_whitespace().collect();
    10 * (fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap())
}

/// The resident memory of this process.
fn resident_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    text.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * 4
}
