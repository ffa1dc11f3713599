//! The `cranehill serve` program as a process of its own.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;

use cranehill::simulated_server::SimulatedServer;

use super::config_text;

/// Limit on the open descriptors of a sender that needs no lower one.
const MAX_DESCRIPTORS: usize = 1024;

/// A sender process; dropping it kills it.
pub(crate) struct Process {
    pub(crate) child: Child,
    pub(crate) clients: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
    log_reader: Option<JoinHandle<()>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Process {
    /// Starts a sender with the configuration file `config`, its state folder beside that file and at most `descriptors`
    /// open descriptors. Returns once it listens for clients.
    pub(crate) fn start(config: &Path, discovery: SocketAddr, descriptors: usize) -> Process {
        let mut command = Command::new("sh");
        command
            .args([
                "-c",
                "ulimit -n \"$0\" && exec \"$@\"",
                &descriptors.to_string(),
            ])
            .args([env!("CARGO_BIN_EXE_cranehill"), "serve"])
            .env("NODE_CONFIG", config)
            .env("NODE_NAME", "n0")
            .env("NODE_LISTEN", "127.0.0.1:0")
            .env("NODE_DISCOVERY", discovery.to_string())
            .env("NODE_STATE", config.with_file_name("state"));
        Process::start_command(command, "listening for clients at ")
    }

    /// Starts a sender whose configuration file is written to `folder`, where its state is kept as well.
    pub(crate) fn start_in(folder: &Path, known: &str, platform: &SimulatedServer) -> Process {
        let config = folder.join("config.json");
        std::fs::write(&config, config_text(known)).expect("configuration written");
        Process::start(&config, platform.address, MAX_DESCRIPTORS)
    }

    /// Starts a process, and returns once its log has a line with `marker` and the address of clients behind it.
    pub(crate) fn start_command(mut command: Command, marker: &str) -> Process {
        let mut child = command
            .env("RUST_LOG", "info")
            .stderr(Stdio::piped())
            .spawn()
            .expect("cranehill program started");
        let mut lines = BufReader::new(child.stderr.take().expect("a piped log")).lines();
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let clients = loop {
            let line = lines
                .next()
                .expect("a line with the listening address")
                .expect("UTF-8 text");
            log.lock().expect("log lock").push(line.clone());
            if let Some((_, address)) = line.split_once(marker) {
                break address.parse().expect("an address");
            }
        };
        let collected_lines = log.clone();
        // Keeps reading: the process would block on a full pipe.
        let log_reader = std::thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .for_each(|line| collected_lines.lock().expect("log lock").push(line));
        });
        Process {
            child,
            clients,
            log,
            log_reader: Some(log_reader),
        }
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal, such as `-TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .expect("kill command started");
        assert!(status.success(), "signal {name} not sent");
    }

    /// The whole log of a process that has ended.
    pub(crate) fn complete_log(&mut self) -> Vec<String> {
        if let Some(log_reader) = self.log_reader.take() {
            log_reader.join().expect("log thread completed");
        }
        self.log()
    }

    /// The log lines so far.
    pub(crate) fn log(&self) -> Vec<String> {
        self.log.lock().expect("log lock").clone()
    }

    /// The number of descriptors that the process has open.
    pub(crate) fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("/proc/PID/fd")
            .count()
    }
}
