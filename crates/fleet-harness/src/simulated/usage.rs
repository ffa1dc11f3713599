//! Processor time and memory of this process.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Processor time of the calling thread.
pub(crate) fn thread_cpu() -> Duration {
    let spent = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(spent.tv_sec.unsigned_abs(), spent.tv_nsec as u32)
}

/// Resident bytes of this process; zero where there is no `/proc`.
pub(crate) fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes: Option<u64> = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kilobytes.unwrap_or(0) * 1024
}
