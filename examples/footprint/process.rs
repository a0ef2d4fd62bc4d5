//! Readings of one process.

use std::error::Error;
use std::time::Duration;

/// The length of a clock tick in the process statistics; 100 a second on Linux.
const TICK: Duration = Duration::from_millis(10);

/// A reading.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The role of the process.
    pub role: &'static str,
    /// Processor time since its start.
    pub processor_time: Duration,
    /// Resident memory.
    pub memory_kib: u64,
}

/// Reads the statistics of a process.
pub fn sample(role: &'static str, id: u32) -> Result<Sample, Box<dyn Error>> {
    let statistics = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The name in parentheses may hold spaces; the fields after it do not.
    let (_, fields) = statistics.rsplit_once(')').ok_or("no process name")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let user: u32 = fields.get(11).ok_or("no user time")?.parse()?;
    let system: u32 = fields.get(12).ok_or("no system time")?.parse()?;
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let memory_kib = memory.and_then(|text| text.split_whitespace().next()).ok_or("no memory")?;
    Ok(Sample { role, processor_time: TICK * (user + system), memory_kib: memory_kib.parse()? })
}

/// Bytes received on the loopback interface since the machine started.
pub fn loopback_bytes() -> Result<u64, Box<dyn Error>> {
    let text = std::fs::read_to_string("/proc/net/dev")?;
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line.and_then(|line| line.split_whitespace().next()).ok_or("no loopback")?;
    Ok(received.parse()?)
}
