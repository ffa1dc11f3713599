//! Starts a real sender as a process, with the configuration that a sweep needs.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::thread;
use std::time::{Duration, Instant};

use cranehill_scenario_runner::resource_usage::{self, ResourceUsage};
use serde_json::{Value, json};

/// Interval between two readings of a sender's processor time.
const USAGE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A sender that used no processor time for this long counts as idle.
const IDLE_TIME: Duration = Duration::from_millis(200);
/// Time from an event's acceptance to its deadline; long enough that no event expires during a measurement.
pub(super) const EVENT_DURATION: Duration = Duration::from_secs(3600);
/// Disk limit of a sender in MB: far more than any sweep writes.
const DISK_MB: f64 = 20_000.0;

/// The values of a sender's configuration that differ between sweeps.
#[derive(Clone, Debug)]
pub(super) struct SenderOptions {
    /// Address at which the directory listens.
    pub directory: SocketAddr,
    /// The endpoint list in the configuration, as JSON.
    pub endpoint_list: String,
    /// Limit of the sender's pending events.
    pub max_pending: u64,
}

/// The settings object of a sender or reducer in a sweep, with a limit of pending events.
pub(super) fn settings(max_pending: u64) -> Value {
    let nanos = EVENT_DURATION.as_nanos() as u64;
    let zones: Vec<String> = (0..6).map(|n| format!("zone-{n}")).collect();
    json!({
        "classes": [{"aim": nanos / 4, "deadline": nanos, "dedupScope": "all", "effect": "keyed", "lateShare": 0.4,
            "name": "event", "window": nanos, "worth": 1.0}],
        "familyInfo": {"callsOut": 16, "kindApart": [false], "losesWorth": "halving", "perCall": [1]},
        "membershipMode": "push",
        "models": ["station"],
        "nInstances": 1,
        "policyLimits": {"attemptsCap": 6, "connIdle": 15_000_000_000u64, "connectTimeout": 1_500_000_000u64,
            "maxRetryAfter": 2_000_000_000u64, "mostHeld": max_pending, "probes": false, "retryAfter": true},
        "rules": {"cold": 9_100_000_000u64, "coldFrom": 0.23, "fall": 3_000_000_000u64, "fallMultiple": 1.5,
            "graceToAnswer": 20_000_000},
        "tenants": [{"name": "tenant", "quotaRps": 1e9}],
        "tick": 5_000_000,
        "weightKind": "rough",
        "zone": 0,
        "zones": zones,
    })
}

impl SenderOptions {
    fn json(&self) -> String {
        let limits = json!({"cores": 1.0, "memory_mb": 192.0, "sockets": 1024, "disk_mb": DISK_MB});
        format!(
            r#"{{"name":"n0","seed":"1f","listen":"127.0.0.1:0","discovery":"{}","limits":{limits},"known":{},"settings":{}}}"#,
            self.directory,
            self.endpoint_list,
            settings(self.max_pending)
        )
    }
}

/// A running sender; killed when it is dropped.
#[derive(Debug)]
pub(super) struct Sender {
    child: Child,
    /// Time from the start of the process until it listened for clients.
    pub ready: Duration,
}

/// Why a sender did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The process could not be started, or its folder could not be written.
    #[error("{program}: {source}")]
    Spawn {
        /// Path of the program.
        program: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The process ended before it listened for clients.
    #[error("the sender process ended before it listened for clients; last log line: {last_line}")]
    Ended {
        /// The last line of its log.
        last_line: String,
    },
    /// The process did not listen for clients in time.
    #[error("the sender did not listen for clients within {timeout:?}")]
    NotReady {
        /// Longest time allowed from the start of the process.
        timeout: Duration,
    },
}

impl Sender {
    /// Starts a sender in `folder` and waits until it listens for clients.
    pub(super) fn start(
        program: &Path,
        folder: &Path,
        options: &SenderOptions,
        timeout: Duration,
    ) -> Result<Sender, StartError> {
        let failed = |source| StartError::Spawn {
            program: program.to_owned(),
            source,
        };
        std::fs::create_dir_all(folder).map_err(failed)?;
        let config = folder.join("config.json");
        std::fs::write(&config, options.json()).map_err(failed)?;
        let started = Instant::now();
        let mut child = Command::new(program)
            .arg("serve")
            .env("NODE_CONFIG", &config)
            .env("NODE_STATE", folder.join("state"))
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY")
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(failed)?;
        let (line_sender, lines) = channel();
        if let Some(stderr) = child.stderr.take() {
            // Read until the end of the stream: a full pipe would block the sender.
            thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    let _ = line_sender.send(line);
                }
            });
        }
        let mut sender = Sender {
            child,
            ready: Duration::ZERO,
        };
        sender.wait_ready(&lines, started + timeout, timeout)?;
        sender.ready = started.elapsed();
        Ok(sender)
    }

    /// Waits until the log shows that the sender listens for clients.
    fn wait_ready(
        &self,
        lines: &Receiver<String>,
        end: Instant,
        timeout: Duration,
    ) -> Result<(), StartError> {
        let mut last_line = String::new();
        loop {
            let remaining = end.saturating_duration_since(Instant::now());
            match lines.recv_timeout(remaining) {
                Ok(line) if line.contains("listening for clients at ") => return Ok(()),
                Ok(line) => last_line = line,
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(StartError::Ended { last_line });
                }
                Err(RecvTimeoutError::Timeout) => return Err(StartError::NotReady { timeout }),
            }
        }
    }

    /// Processor time and memory that the process has used so far.
    pub(super) fn used(&self) -> ResourceUsage {
        resource_usage::of_process(self.child.id())
    }

    /// Waits until the process is idle, or for at most `timeout`, and returns what it has used by then.
    pub(super) fn wait_until_idle(&self, timeout: Duration) -> ResourceUsage {
        let end = Instant::now() + timeout;
        let (mut idle_since, mut last) = (Instant::now(), self.used());
        while idle_since.elapsed() < IDLE_TIME && Instant::now() < end {
            thread::sleep(USAGE_CHECK_INTERVAL);
            let used = self.used();
            if used.cpu != last.cpu {
                (idle_since, last) = (Instant::now(), used);
            }
        }
        last
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
