//! Processor time, memory and descriptors of processes and of this thread, read from `/proc`. Zero where there is no `/proc`.

use std::fs;
use std::path::Path;
use std::time::Duration;

/// Resources that a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Processor time of all its threads.
    pub cpu: Duration,
    /// Largest resident memory so far, in kB.
    pub memory_kb: u64,
    /// Resident memory now, in kB.
    pub resident_kb: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Usage of a child process.
pub fn of_process(id: u32) -> ResourceUsage {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let kb = |name: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(name));
        line.and_then(|l| l.split_whitespace().next()?.parse().ok())
            .unwrap_or(0)
    };
    let threads = fs::read_dir(format!("/proc/{id}/task"));
    let cpu = threads
        .into_iter()
        .flatten()
        .flatten()
        .map(|t| cpu_time(&t.path().join("schedstat")));
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

/// The first number of a `schedstat` file: nanoseconds on a processor.
fn cpu_time(path: &Path) -> Duration {
    let text = fs::read_to_string(path).unwrap_or_default();
    Duration::from_nanos(
        text.split_whitespace()
            .next()
            .and_then(|n| n.parse().ok())
            .unwrap_or(0),
    )
}
