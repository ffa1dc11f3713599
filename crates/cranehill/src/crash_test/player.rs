//! Runs a crash test.

use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use cranehill_scenario_runner::journal_damage::segments;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tempfile::TempDir;

use super::client::Client;
use super::delivery_log::SharedDeliveryLog;
use super::error::CrashTestError;
use super::outcome::Outcome;
use super::sender_process::SenderProcess;
use super::servers::{destination, platform};
use super::settings::{MESSAGE_LIFETIME, configuration};
use crate::simulated_server::SimulatedServer;
use crate::sync::lock;

/// A final report may arrive this long after the message has expired.
const FINAL_REPORT_GRACE: Duration = Duration::from_millis(2000);
const CLIENTS: usize = 3;
const DESTINATIONS: usize = 3;
/// Size of a segment's header, in which no byte is changed. A segment that is not larger has no records.
const SEGMENT_HEADER_BYTES: u64 = 72;
/// How long a process runs under load before it is killed, in microseconds.
const LIFETIME_MICROS: Range<u64> = 1_000..50_000;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The parameters of a crash test.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the sender's executable, which is started and killed.
    pub program: PathBuf,
    /// Number of kills.
    pub kills: u32,
    /// The seed of all random choices.
    pub seed: u64,
    /// A byte of the journal is changed after every this many kills; 0 for never.
    pub flip_every: u32,
    /// Size limit of the journal's folder, in MB.
    pub disk_mb: f64,
}

impl Plan {
    /// Whether a byte is changed after the kill with this number, from 0.
    fn flips_after(&self, kill: u32) -> bool {
        self.flip_every > 0 && kill % self.flip_every == self.flip_every - 1
    }
}

/// Runs a crash test; `progress` is called after each kill with the number of kills so far.
///
/// # Errors
/// If a simulated server, the folder or a sender can't be started.
pub fn play(plan: &Plan, mut progress: impl FnMut(u32)) -> Result<Outcome, CrashTestError> {
    let mut player = Player::new(plan)?;
    for kill in 0..plan.kills {
        player.kill_under_load(kill)?;
        progress(player.outcome.kills);
    }
    player.finish()
}

struct Player<'plan> {
    plan: &'plan Plan,
    folder: TempDir,
    delivery_log: SharedDeliveryLog,
    rng: ChaCha8Rng,
    outcome: Outcome,
}

impl Player<'_> {
    /// Starts the simulated servers and writes the sender's configuration.
    fn new(plan: &Plan) -> Result<Player<'_>, CrashTestError> {
        let folder = tempfile::tempdir()?;
        let delivery_log = SharedDeliveryLog::default();
        let platform = platform(delivery_log.clone())?;
        let destinations = (0..DESTINATIONS as u64)
            .map(|n| destination(delivery_log.clone(), plan.seed.wrapping_add(n)))
            .collect::<Result<Vec<SimulatedServer>, _>>()?;
        let addresses: Vec<SocketAddr> = destinations.iter().map(|d| d.address).collect();
        let config = configuration(platform.address, &addresses, plan.disk_mb);
        std::fs::write(folder.path().join("config.json"), config)?;
        Ok(Player {
            plan,
            folder,
            delivery_log,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            outcome: Outcome::default(),
        })
    }

    fn start_sender(&self) -> Result<SenderProcess, CrashTestError> {
        SenderProcess::start(&self.plan.program, self.folder.path())
    }

    /// Starts a sender, submits messages until it is killed, and changes a byte of its journal if one is due.
    fn kill_under_load(&mut self, kill: u32) -> Result<(), CrashTestError> {
        let process = self.start_sender()?;
        let stop = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|n| {
                let client = Client {
                    sender: process.clients,
                    delivery_log: self.delivery_log.clone(),
                    stop: stop.clone(),
                    seed: self.rng.random(),
                    destinations: DESTINATIONS,
                    name: format!("{kill:06x}{n:02x}"),
                };
                thread::spawn(move || client.run())
            })
            .collect();
        let lifetime = self.rng.random_range(LIFETIME_MICROS);
        thread::sleep(Duration::from_micros(lifetime));
        self.outcome.damage_lines += process.kill();
        stop.store(true, Ordering::Relaxed);
        for client in clients {
            let _ = client.join();
        }
        self.outcome.kills += 1;
        if self.plan.flips_after(kill) {
            let state = self.folder.path().join("state");
            self.outcome.flips += u32::from(flip_byte(&state, &mut self.rng)?);
        }
        Ok(())
    }

    /// Starts a last process, waits until all pending messages have ended or should have ended, and audits the log.
    fn finish(mut self) -> Result<Outcome, CrashTestError> {
        let process = self.start_sender()?;
        let end = Instant::now() + MESSAGE_LIFETIME + FINAL_REPORT_GRACE;
        while Instant::now() < end && lock(&self.delivery_log).has_outstanding() {
            thread::sleep(POLL_INTERVAL);
        }
        self.outcome.damage_lines += process.kill();
        self.outcome.audit(&lock(&self.delivery_log));
        Ok(self.outcome)
    }
}

/// Changes one byte of a random segment; false if no segment has records.
fn flip_byte(state: &Path, rng: &mut ChaCha8Rng) -> std::io::Result<bool> {
    let files: Vec<_> = segments(state)?
        .into_iter()
        .filter(|(_, size)| *size > SEGMENT_HEADER_BYTES)
        .collect();
    if files.is_empty() {
        return Ok(false);
    }
    let (path, size) = &files[rng.random_range(0..files.len())];
    let offset = rng.random_range(SEGMENT_HEADER_BYTES..*size) as usize;
    let mut bytes = std::fs::read(path)?;
    bytes[offset] ^= rng.random_range(1..=255u8);
    std::fs::write(path, bytes)?;
    Ok(true)
}
