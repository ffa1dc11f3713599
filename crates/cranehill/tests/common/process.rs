//! The `cranehill serve` program as a process of its own.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

/// A sender process; dropping it kills it.
pub(crate) struct Process {
    pub(crate) child: Child,
    pub(crate) clients: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
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
        let mut child = Command::new("sh")
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
            .env("NODE_STATE", config.with_file_name("state"))
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
            if let Some((_, address)) = line.split_once("listening for clients at ") {
                break address.parse().expect("an address");
            }
        };
        let collected_lines = log.clone();
        // Keeps reading: the process would block on a full pipe.
        std::thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .for_each(|line| collected_lines.lock().expect("log lock").push(line));
        });
        Process {
            child,
            clients,
            log,
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
