//! Measures the processor time and memory of each role process for given numbers of workers. The
//! slopes over the number of workers are in `docs/CAPACITY.md`.
//!
//! `cargo run --release --example footprint -- 0 100 300`; build the binary first with
//! `cargo build --release`.

#![allow(clippy::print_stdout)]

mod process;
mod roles;

use std::error::Error;
use std::time::Duration;

use roles::Roles;

/// Time for the election and the first heartbeats before the measurement.
const WARM_UP_DURATION: Duration = Duration::from_secs(6);

/// Time over which processor time and traffic are measured.
const MEASURE_DURATION: Duration = Duration::from_secs(20);

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let counts: Vec<usize> =
        std::env::args().skip(1).map(|text| text.parse()).collect::<Result<_, _>>()?;
    println!("workers role processor_percent memory_kib loopback_bytes_per_s");
    for count in counts {
        measure(count).await?;
    }
    Ok(())
}

async fn measure(worker_count: usize) -> Result<(), Box<dyn Error>> {
    let roles = Roles::start(worker_count).await?;
    tokio::time::sleep(WARM_UP_DURATION).await;
    let before: Vec<_> = roles.samples()?;
    let bytes_before = process::loopback_bytes()?;
    tokio::time::sleep(MEASURE_DURATION).await;
    let bytes = process::loopback_bytes()? - bytes_before;
    for (before, after) in before.iter().zip(roles.samples()?) {
        let busy = after.processor_time - before.processor_time;
        println!(
            "{worker_count} {} {:.2} {} {}",
            after.role,
            100.0 * busy.as_secs_f64() / MEASURE_DURATION.as_secs_f64(),
            after.memory_kib,
            bytes / MEASURE_DURATION.as_secs()
        );
    }
    Ok(())
}
