//! Measures processor time and memory of the roles as separate processes against the number of
//! workers, as slopes for `docs/CAPACITY.md`.
//!
//! `cargo run --release --example footprint -- 0 100 300`; build the binary first with
//! `cargo build --release`.

#![allow(clippy::print_stdout)]

mod process;
mod roles;

use std::error::Error;
use std::time::Duration;

use roles::Roles;

/// How long the processes settle before the measurement.
const WARM_UP: Duration = Duration::from_secs(6);

/// How long processor time is counted.
const MEASURE: Duration = Duration::from_secs(20);

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
    tokio::time::sleep(WARM_UP).await;
    let before: Vec<_> = roles.samples()?;
    let bytes_before = process::loopback_bytes()?;
    tokio::time::sleep(MEASURE).await;
    let bytes = process::loopback_bytes()? - bytes_before;
    for (before, after) in before.iter().zip(roles.samples()?) {
        let busy = after.processor_time - before.processor_time;
        println!(
            "{worker_count} {} {:.2} {} {}",
            after.role,
            100.0 * busy.as_secs_f64() / MEASURE.as_secs_f64(),
            after.memory_kib,
            bytes / MEASURE.as_secs()
        );
    }
    Ok(())
}
