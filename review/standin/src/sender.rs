//! The sender under test, started by `run` of the deploy file.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::record::Record;

/// The processes that were started and have not been waited for, to be killed if a case does not end in time.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all senders that are still running.
pub fn kill_all() {
    for pid in RUNNING.lock().map(|r| r.clone()).unwrap_or_default() {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {pid}")).status();
    }
}

/// How long a sender may take until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// What the platform tells a sender.
pub struct Deployment {
    root: PathBuf,
    folder: PathBuf,
    pub listen: SocketAddr,
    /// The `settings` of the configuration, as JSON.
    settings: String,
    /// The `known` list of the configuration, as JSON.
    known: String,
    discovery: SocketAddr,
    record: Record,
}

/// An address at a port that is free now.
fn free_address() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

impl Deployment {
    pub fn new(root: &Path, discovery: SocketAddr, settings: String, known: String, record: &Record) -> Result<Deployment, String> {
        let folder = std::env::temp_dir().join(format!("cranehill-review-{}", std::process::id()));
        for part in ["state", "tmp"] {
            fs::create_dir_all(folder.join(part)).map_err(|e| format!("{}: {e}", folder.display()))?;
        }
        let deployment = Deployment {
            root: root.to_owned(),
            folder,
            listen: free_address()?,
            settings,
            known,
            discovery,
            record: record.clone(),
        };
        deployment.write_config()?;
        Ok(deployment)
    }

    /// Writes the configuration's file.
    fn write_config(&self) -> Result<(), String> {
        let text = format!(
            r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":512,"disk_mb":3}},
 "known":{},
 "settings":{}}}"#,
            self.listen, self.discovery, self.known, self.settings
        );
        fs::write(self.folder.join("config.json"), text).map_err(|e| e.to_string())
    }

    /// The value of `run` in the deploy file.
    fn run_command(&self) -> Result<String, String> {
        let path = self.root.join("deploy/balancer.toml");
        let text = fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        let line = text.lines().find(|line| line.starts_with("run ") || line.starts_with("run="));
        let value = line.and_then(|line| line.split('"').nth(1));
        Ok(value.ok_or("no `run` in the deploy file")?.to_owned())
    }

    /// Starts a sender.
    pub fn start(&self) -> Result<Sender, String> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("sender.log"))
            .map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command
            .arg("-c")
            .arg(self.run_command()?)
            .current_dir(&self.root)
            .env("TMPDIR", self.folder.join("tmp"))
            .env("NODE_NAME", "n0")
            .env("NODE_LISTEN", self.listen.to_string())
            .env("NODE_DISCOVERY", self.discovery.to_string())
            .env("NODE_STATE", self.folder.join("state"))
            .env("NODE_CONFIG", self.folder.join("config.json"))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors);
        let child = command.spawn().map_err(|e| format!("sender: {e}"))?;
        self.record.add("platform", &format!("starts `run`, process {}", child.id()));
        RUNNING.lock().unwrap().push(child.id());
        Ok(Sender {
            child,
            record: self.record.clone(),
        })
    }

    /// Waits until the sender answers `PING` with `+PONG`.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let end = Instant::now() + READY_TIMEOUT;
        while Client::new(self.listen, &self.record).ping().as_deref() != Some("+PONG") {
            if Instant::now() > end {
                return Err(format!("no +PONG within {READY_TIMEOUT:?}"));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.record.add("sender", "+PONG");
        Ok(())
    }

    /// Removes the temporary folder, and keeps the sender's log beside the record if `KEEP_LOG` names a file.
    pub fn remove(&self) {
        if let Some(kept) = std::env::var_os("KEEP_LOG") {
            let _ = fs::copy(self.folder.join("sender.log"), kept);
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.remove();
    }
}

/// A running sender. It is killed when the value is dropped.
pub struct Sender {
    child: Child,
    record: Record,
}

impl Sender {
    pub fn signal(&mut self, name: &str) {
        self.record.add("platform", &format!("SIG{name} to process {}", self.child.id()));
        let pid = self.child.id().to_string();
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
    }

    /// SIGKILL, and the end of the process.
    pub fn kill(&mut self) {
        if !self.has_ended() {
            self.record.add("platform", &format!("SIGKILL to process {}", self.child.id()));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|pid| *pid != self.child.id());
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.kill();
    }
}
