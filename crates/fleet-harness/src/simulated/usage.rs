//! Processor time of the calling thread, and memory of this process.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Processor time used by the calling thread.
pub(crate) fn thread_cpu() -> Duration {
    let cpu_time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(cpu_time.tv_sec.unsigned_abs(), cpu_time.tv_nsec as u32)
}

/// Resident memory of this process in bytes; zero on systems without `/proc`.
pub(crate) fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes: Option<u64> = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kilobytes.unwrap_or(0) * 1024
}
