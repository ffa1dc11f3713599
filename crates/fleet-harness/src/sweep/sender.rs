//! One real sender as a process, with the configuration that a sweep needs.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::thread;
use std::time::{Duration, Instant};

use cranehill_scenario_runner::resource_usage::{self, ResourceUsage};
use serde_json::json;

/// Where a sender's processor time is looked at, until it has been still for [`STILL`].
const LOOK: Duration = Duration::from_millis(20);
const STILL: Duration = Duration::from_millis(200);
/// How long an event of a sweep may be delivered: it must not run out while it is measured.
pub const DURATION: Duration = Duration::from_secs(3600);
/// Far more than any sweep writes.
const DISK_MB: f64 = 20_000.0;

/// What a sender is told.
#[derive(Clone, Debug)]
pub struct Setting {
    pub directory: SocketAddr,
    /// The list in its configuration, as JSON.
    pub known: String,
    /// Events that it may hold.
    pub most_held: u64,
}

/// The settings object of a sweep.
pub fn settings(most_held: u64) -> String {
    let nanos = DURATION.as_nanos() as u64;
    let zones: Vec<String> = (0..6).map(|n| format!("zone-{n}")).collect();
    json!({
        "classes": [{"aim": nanos / 4, "deadline": nanos, "dedupScope": "all", "effect": "keyed", "lateShare": 0.4,
            "name": "event", "window": nanos, "worth": 1.0}],
        "familyInfo": {"callsOut": 16, "kindApart": [false], "losesWorth": "halving", "perCall": [1]},
        "membershipMode": "push",
        "models": ["station"],
        "nInstances": 1,
        "policyLimits": {"attemptsCap": 6, "connIdle": 15_000_000_000u64, "connectTimeout": 1_500_000_000u64,
            "maxRetryAfter": 2_000_000_000u64, "mostHeld": most_held, "probes": false, "retryAfter": true},
        "rules": {"cold": 9_100_000_000u64, "coldFrom": 0.23, "fall": 3_000_000_000u64, "fallMultiple": 1.5,
            "graceToAnswer": 20_000_000},
        "tenants": [{"name": "tenant", "quotaRps": 1e9}],
        "tick": 5_000_000,
        "weightKind": "rough",
        "zone": 0,
        "zones": zones,
    })
    .to_string()
}

impl Setting {
    fn text(&self) -> String {
        let limits = json!({"cores": 1.0, "memory_mb": 192.0, "sockets": 1024, "disk_mb": DISK_MB});
        format!(
            r#"{{"name":"n0","seed":"1f","listen":"127.0.0.1:0","discovery":"{}","limits":{limits},"known":{},"settings":{}}}"#,
            self.directory,
            self.known,
            settings(self.most_held)
        )
    }
}

/// A running sender; killed when it is dropped.
#[derive(Debug)]
pub struct Sender {
    child: Child,
    /// From the start of the process until it listened for clients.
    pub ready: Duration,
}

/// Why there is no sender.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("{program}: {source}")]
    Spawn {
        program: PathBuf,
        source: std::io::Error,
    },
    #[error("the sender ended: {0}")]
    Ended(String),
    #[error("the sender was not ready after {0:?}")]
    Late(Duration),
}

impl Sender {
    /// Starts a sender in `folder` and waits until it listens for clients.
    pub fn start(
        program: &Path,
        folder: &Path,
        setting: &Setting,
        most: Duration,
    ) -> Result<Sender, StartError> {
        let failed = |source| StartError::Spawn {
            program: program.to_owned(),
            source,
        };
        std::fs::create_dir_all(folder).map_err(failed)?;
        let config = folder.join("config.json");
        std::fs::write(&config, setting.text()).map_err(failed)?;
        let begun = Instant::now();
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
        let (heard, blocks) = channel();
        if let Some(stderr) = child.stderr.take() {
            // Read to its end: a full pipe would stop the sender.
            thread::spawn(move || {
                for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                    let _ = heard.send(line);
                }
            });
        }
        let mut sender = Sender {
            child,
            ready: Duration::ZERO,
        };
        sender.listens(&blocks, begun + most, most)?;
        sender.ready = begun.elapsed();
        Ok(sender)
    }

    fn listens(
        &self,
        blocks: &Receiver<String>,
        end: Instant,
        most: Duration,
    ) -> Result<(), StartError> {
        let mut last = String::new();
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match blocks.recv_timeout(left) {
                Ok(line) if line.contains("listening for clients at ") => return Ok(()),
                Ok(line) => last = line,
                Err(RecvTimeoutError::Disconnected) => return Err(StartError::Ended(last)),
                Err(RecvTimeoutError::Timeout) => return Err(StartError::Late(most)),
            }
        }
    }

    /// What its process has used so far.
    pub fn used(&self) -> ResourceUsage {
        resource_usage::of_process(self.child.id())
    }

    /// Waits until it uses no processor time any more, or for so long at most; what it has used by then.
    pub fn settled(&self, most: Duration) -> ResourceUsage {
        let end = Instant::now() + most;
        let (mut since, mut before) = (Instant::now(), self.used());
        while since.elapsed() < STILL && Instant::now() < end {
            thread::sleep(LOOK);
            let used = self.used();
            if used.cpu != before.cpu {
                (since, before) = (Instant::now(), used);
            }
        }
        before
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
