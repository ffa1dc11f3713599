//! The program itself, as a process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

/// A sender's process; it is killed in the end.
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
    /// Starts it with this configuration file; its state lies beside it. `descriptors`: as many as it may open.
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
            .expect("the program starts");
        let mut lines = BufReader::new(child.stderr.take().expect("its log")).lines();
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let clients = loop {
            let line = lines
                .next()
                .expect("it says where it listens")
                .expect("text");
            log.lock().expect("log").push(line.clone());
            if let Some((_, address)) = line.split_once("listening for clients at ") {
                break address.parse().expect("an address");
            }
        };
        let kept = log.clone();
        // The pipe must not fill.
        std::thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .for_each(|line| kept.lock().expect("log").push(line));
        });
        Process {
            child,
            clients,
            log,
        }
    }

    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The lines of its log so far.
    pub(crate) fn log(&self) -> Vec<String> {
        self.log.lock().expect("log").clone()
    }

    /// Descriptors that it has open.
    pub(crate) fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("its descriptors")
            .count()
    }
}
