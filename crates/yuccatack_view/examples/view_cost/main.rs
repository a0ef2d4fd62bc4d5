//! Measures the view on loopback: the time until a change is in force everywhere, and the traffic,
//! processor time and memory for each node.
//!
//! Start one process in each mode with the same port and number of nodes:
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

/// Time before the measurement; it covers the connection of all nodes and the 3.5 s for which a new
/// leader confirms no change.
const WARM_UP_DURATION: Duration = Duration::from_secs(6);
const MEASUREMENT_DURATION: Duration = Duration::from_secs(15);

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

/// Returns the user and system time that this process has used.
fn processor_time_ms() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap();
    // After the name in parentheses, the 12th and 13th fields are the user and system time in ticks
    // of 10 ms.
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    10 * (fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap())
}

/// Returns the resident memory of this process, for pages of 4 kB.
fn resident_kb() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    statm.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * 4
}
