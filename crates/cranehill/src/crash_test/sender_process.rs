//! A sender as a child process, from its start to its kill.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread::{self, JoinHandle};

use super::error::CrashTestError;

/// Text of the log line before the address at which the sender listens for clients.
const LISTENING: &str = "listening for clients at ";

/// A running `cranehill serve`.
pub(super) struct SenderProcess {
    child: Child,
    /// Address at which it listens for clients.
    pub(super) clients: SocketAddr,
    /// Reads the log to its end and returns the number of lines about damage.
    log: JoinHandle<u32>,
}

impl SenderProcess {
    /// Starts `program` with the configuration and the state in `folder`, and waits until it listens for clients.
    pub(super) fn start(program: &Path, folder: &Path) -> Result<SenderProcess, CrashTestError> {
        let mut child = Command::new(program)
            .arg("serve")
            .env("NODE_CONFIG", folder.join("config.json"))
            .env("NODE_STATE", folder.join("state"))
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY")
            .env("RUST_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|source| CrashTestError::Spawn {
                program: program.to_owned(),
                source,
            })?;
        let stderr = child.stderr.take().ok_or(CrashTestError::NoLog)?;
        let mut lines = BufReader::new(stderr).lines().map_while(Result::ok);
        let mut damage = 0;
        let mut last_line = String::new();
        for line in lines.by_ref() {
            damage += u32::from(is_damage(&line));
            if let Some((_, address)) = line.split_once(LISTENING) {
                let clients = parse_address(address)?;
                // The log is read to its end: if the pipe filled up, the sender would block on its next line.
                let log = thread::spawn(move || {
                    damage + lines.filter(|line| is_damage(line)).count() as u32
                });
                return Ok(SenderProcess {
                    child,
                    clients,
                    log,
                });
            }
            last_line = line;
        }
        let _ = child.wait();
        Err(CrashTestError::NotStarted { last_line })
    }

    /// Kills the process; returns the number of lines about damage in its log.
    pub(super) fn kill(mut self) -> u32 {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.log.join().unwrap_or(0)
    }
}

fn is_damage(line: &str) -> bool {
    line.contains("damage")
}

fn parse_address(text: &str) -> Result<SocketAddr, CrashTestError> {
    let address = text.split_whitespace().next().unwrap_or_default();
    address
        .parse()
        .map_err(|_| CrashTestError::Address(address.to_owned()))
}
