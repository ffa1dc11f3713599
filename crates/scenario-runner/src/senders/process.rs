//! The process of a sender: its configuration files, start, upgrade, signals and end.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;

use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use super::events::{EventSink, LogReader};
use super::fleet::{FLEET_KEY, FleetSettings};
use crate::error::RunError;
use crate::journal_damage::{Damage, damage};
use crate::resource_usage::{self, ResourceUsage};

/// One sender: its folder, its process while it has one, and a second process during an upgrade.
#[derive(Debug)]
pub(crate) struct Process {
    index: usize,
    program: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
    /// During an upgrade: the old process, which hands its state over.
    predecessor: Option<Predecessor>,
    /// Whether processes that are started from now on listen for operators.
    pub has_operator_address: bool,
    /// Number of starts and kills so far; identifies the current process, see [`Process::is_current`].
    incarnation: u32,
    /// Whether it is configured to accept Web Push.
    has_web_push: bool,
    /// Whether it is a member of a fleet; if so, its log is JSON and all lines are kept.
    has_fleet: bool,
    /// Address at which it listens for RESP2 clients; `None` until its log reports it.
    pub client_address: Option<SocketAddr>,
    /// Address at which it listens for Web Push; `None` until its log reports it.
    pub web_push_address: Option<SocketAddr>,
    /// Address at which it serves its view of the fleet's members; `None` until its log reports it.
    pub status_address: Option<SocketAddr>,
}

/// The old process of an upgrade.
#[derive(Debug)]
struct Predecessor {
    child: Child,
    incarnation: u32,
}

impl Process {
    /// A sender that is not started yet. It uses the subfolder `sender-INDEX` of `folder`.
    pub(crate) fn new(index: usize, program: &Path, folder: &Path) -> Process {
        Process {
            index,
            program: program.to_owned(),
            folder: folder.join(format!("sender-{index}")),
            child: None,
            predecessor: None,
            has_operator_address: false,
            incarnation: 0,
            has_web_push: false,
            has_fleet: false,
            client_address: None,
            web_push_address: None,
            status_address: None,
        }
    }

    /// Writes its configuration, and those for Web Push and for its fleet if given, into its folder.
    pub(crate) fn configure(
        &mut self,
        config: &Value,
        web_push: Option<&str>,
        fleet: Option<&FleetSettings>,
    ) -> io::Result<()> {
        std::fs::create_dir_all(&self.folder)?;
        if let Some(fleet) = fleet {
            self.has_fleet = true;
            std::fs::write(self.folder.join("fleet.toml"), fleet.to_toml())?;
            std::fs::write(self.folder.join("fleet.key"), FLEET_KEY)?;
        }
        if let Some(web_push) = web_push {
            self.has_web_push = true;
            std::fs::write(self.folder.join("webpush.toml"), web_push)?;
        }
        std::fs::write(self.folder.join("config.json"), config.to_string())
    }

    /// Starts its process. A `mutation` requires an executable that was built with mutations.
    ///
    /// # Errors
    /// The executable can't be started.
    pub(crate) fn start(
        &mut self,
        sink: EventSink,
        mutation: Option<&str>,
    ) -> Result<(), RunError> {
        let mut child = self
            .command(mutation)
            .spawn()
            .map_err(|source| RunError::Sender {
                program: self.program.clone(),
                source,
            })?;
        if let Some(stderr) = child.stderr.take() {
            self.incarnation += 1;
            let reader = LogReader {
                sender: self.index,
                incarnation: self.incarnation,
                keep_lines: self.has_fleet,
                sink,
            };
            thread::spawn(move || reader.run(stderr));
        }
        self.child = Some(child);
        Ok(())
    }

    fn command(&self, mutation: Option<&str>) -> Command {
        let mut command = Command::new(&self.program);
        if self.has_fleet {
            command.args(["--log-format", "json"]);
        }
        command
            .arg("serve")
            .env("NODE_CONFIG", self.folder.join("config.json"))
            .env("NODE_STATE", self.state_folder())
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY")
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        if self.has_operator_address {
            command.env("NODE_OPERATOR", "127.0.0.1:0");
        }
        if self.has_web_push {
            command
                .arg("--webpush")
                .arg(self.folder.join("webpush.toml"));
        }
        if self.has_fleet {
            command.arg("--fleet").arg(self.folder.join("fleet.toml"));
        }
        if let Some(mutation) = mutation {
            command.env("CRANEHILL_BREAK", mutation);
        }
        command
    }

    fn state_folder(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// Resources that its process has used; zero if it has no process.
    pub(crate) fn resource_usage(&self) -> ResourceUsage {
        self.child
            .as_ref()
            .map_or_else(ResourceUsage::default, |child| {
                resource_usage::of_process(child.id())
            })
    }

    /// Whether it listens for clients, and for Web Push if it accepts that.
    pub(crate) fn is_ready(&self) -> bool {
        self.client_address.is_some() && (self.web_push_address.is_some() || !self.has_web_push)
    }

    /// Whether its process runs; if not, its addresses are cleared.
    pub(crate) fn is_running(&mut self) -> bool {
        let running = self.child.as_mut().is_some_and(is_running);
        if !running {
            self.child = None;
            self.clear_addresses();
        }
        running
    }

    /// Whether the current process has this incarnation. Events of an earlier process may be read after its end and must be ignored:
    /// clients would connect to an address at which nothing listens any more, or another sender.
    pub(crate) fn is_current(&self, incarnation: u32) -> bool {
        incarnation == self.incarnation
    }

    /// Kills its process by SIGKILL, and during an upgrade the old one too, and waits for their end.
    pub(crate) fn kill(&mut self) {
        self.incarnation += 1;
        let predecessor = self.predecessor.take().map(|predecessor| predecessor.child);
        self.child
            .take()
            .into_iter()
            .chain(predecessor)
            .for_each(kill_and_wait);
        self.clear_addresses();
    }

    fn clear_addresses(&mut self) {
        self.client_address = None;
        self.web_push_address = None;
        self.status_address = None;
    }

    /// Starts an upgrade: a second process over the same state folder. The current process becomes the predecessor.
    pub(crate) fn start_successor(
        &mut self,
        sink: EventSink,
        mutation: Option<&str>,
    ) -> Result<(), RunError> {
        let incarnation = self.incarnation;
        self.predecessor = self
            .child
            .take()
            .map(|child| Predecessor { child, incarnation });
        self.start(sink, mutation)
    }

    /// Sends SIGTERM to the old process of an upgrade, if there is one. To be called once the new process is ready, as it has the state
    /// then.
    pub(crate) fn terminate_predecessor(&mut self) {
        if let Some(predecessor) = &self.predecessor {
            send_signal(&predecessor.child, "TERM");
        }
    }

    /// Kills the old process of an upgrade; false if there is none, or it had exited already.
    pub(crate) fn kill_predecessor(&mut self) -> bool {
        let Some(mut predecessor) = self.predecessor.take() else {
            return false;
        };
        let running = is_running(&mut predecessor.child);
        kill_and_wait(predecessor.child);
        running
    }

    /// Kills the new process of an upgrade, so that the old one is the current process again. Returns false, and kills nothing, if there
    /// is no old process or it has exited already.
    pub(crate) fn kill_successor(&mut self) -> bool {
        let Some(mut predecessor) = self.predecessor.take() else {
            return false;
        };
        if !is_running(&mut predecessor.child) {
            return false;
        }
        if let Some(child) = self.child.replace(predecessor.child) {
            kill_and_wait(child);
        }
        self.incarnation = predecessor.incarnation;
        true
    }

    /// Deletes its state folder.
    pub(crate) fn remove_state(&self) {
        let _ = std::fs::remove_dir_all(self.state_folder());
    }

    /// Damages its journal; see [`damage`].
    pub(crate) fn damage_journal(&self, rng: &mut ChaCha8Rng) -> io::Result<Option<Damage>> {
        damage(&self.state_folder(), rng)
    }

    /// Sends a signal to its process; `name` is without `SIG`, as for kill(1).
    pub(crate) fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            send_signal(child, name);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn is_running(child: &mut Child) -> bool {
    matches!(child.try_wait(), Ok(None))
}

fn kill_and_wait(mut child: Child) {
    let _ = child.kill();
    let _ = child.wait();
}

fn send_signal(child: &Child, name: &str) {
    let _ = Command::new("kill")
        .args([&format!("-{name}"), &child.id().to_string()])
        .status();
}
