//! Processor time, memory and file descriptors of processes and of the calling thread, read from `/proc`. Values that can't be read
//! are zero.

use std::fs;
use std::path::Path;
use std::time::Duration;

/// Resources that a process uses, or has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Processor time of all threads that the process has now.
    pub cpu: Duration,
    /// Largest resident memory so far (`VmHWM`), in kB.
    pub memory_kb: u64,
    /// Resident memory now (`VmRSS`), in kB.
    pub resident_kb: u64,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

/// Resource usage of the process with this id.
pub fn of_process(id: u32) -> ResourceUsage {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let kb = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|value| value.split_whitespace().next()?.parse().ok())
            .unwrap_or(0)
    };
    let threads = fs::read_dir(format!("/proc/{id}/task"));
    let cpu = threads
        .into_iter()
        .flatten()
        .flatten()
        .map(|thread| cpu_time(&thread.path().join("schedstat")));
    let descriptors = fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
    ResourceUsage {
        cpu: cpu.sum(),
        memory_kb: kb("VmHWM:"),
        resident_kb: kb("VmRSS:"),
        descriptors,
    }
}

/// Processor time of the calling thread.
pub fn of_this_thread() -> Duration {
    cpu_time("/proc/thread-self/schedstat".as_ref())
}

/// The first number of a `schedstat` file: nanoseconds spent on a processor.
fn cpu_time(path: &Path) -> Duration {
    let text = fs::read_to_string(path).unwrap_or_default();
    Duration::from_nanos(
        text.split_whitespace()
            .next()
            .and_then(|n| n.parse().ok())
            .unwrap_or(0),
    )
}
