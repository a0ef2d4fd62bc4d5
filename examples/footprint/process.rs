//! Resource usage of one process, and traffic of the loopback interface, from `/proc`.

use std::error::Error;
use std::time::Duration;

/// Clock tick of `/proc/PID/stat`; Linux counts 100 ticks per second.
const TICK_DURATION: Duration = Duration::from_millis(10);

/// Resource usage of a process at one time.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Role that the process runs.
    pub role: &'static str,
    /// User and system time since the start of the process.
    pub processor_time: Duration,
    /// Resident memory in KiB.
    pub memory_kib: u64,
}

/// Reads the resource usage of the process with this id.
pub fn sample(role: &'static str, id: u32) -> Result<Sample, Box<dyn Error>> {
    let statistics = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The process name in parentheses may contain spaces, so the fields are split after it.
    let (_, fields) = statistics
        .rsplit_once(')')
        .ok_or("/proc/PID/stat contains no process name in parentheses")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let user: u32 = fields.get(11).ok_or("/proc/PID/stat contains no user time")?.parse()?;
    let system: u32 = fields.get(12).ok_or("/proc/PID/stat contains no system time")?.parse()?;
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let memory_kib = memory
        .and_then(|text| text.split_whitespace().next())
        .ok_or("/proc/PID/status contains no value of VmRSS")?;
    Ok(Sample {
        role,
        processor_time: TICK_DURATION * (user + system),
        memory_kib: memory_kib.parse()?,
    })
}

/// Returns the number of bytes received on the loopback interface since the machine started.
pub fn loopback_bytes() -> Result<u64, Box<dyn Error>> {
    let text = std::fs::read_to_string("/proc/net/dev")?;
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line
        .and_then(|line| line.split_whitespace().next())
        .ok_or("/proc/net/dev contains no loopback interface")?;
    Ok(received.parse()?)
}
