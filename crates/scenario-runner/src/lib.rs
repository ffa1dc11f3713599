//! Rehearsals: a whole day on loopback with simulated destinations, directory, platform and clients in one loop, faults by
//! script, real senders as processes, and the auditor's verdicts.
//!
//! Start at [`Plan`] and [`play`]. The behaviour of simulated servers is `cranehill_simulation`'s; here are sockets, processes and the
//! clock. Everything binds to 127.0.0.0/8.
#![forbid(unsafe_code)]

pub mod figures;
pub mod journal_damage;
pub mod measure;
pub mod mutations;
mod network;
pub mod report;
pub mod report_files;
pub mod resource_usage;
mod runner;
mod senders;
mod wire;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use cranehill_simulation::audit::{Line, Rule, Verdict};
use cranehill_simulation::scenario::Scenario;

pub use network::{Direct, Network};
pub use resource_usage::ResourceUsage;
pub use runner::{play, play_through};
pub use senders::Limits;

/// Why a rehearsal could not be played. Breaches are no errors: they are in the [`Outcome`].
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    #[error("{program}: {source}: is it built?")]
    Sender {
        program: PathBuf,
        source: std::io::Error,
    },
    #[error(
        "the sender at {clients} did not ask {directory} for its list in 30 s: its configuration must name that directory \
         (--write-config writes one that fits the day)"
    )]
    NotAsked {
        clients: SocketAddr,
        directory: SocketAddr,
    },
    #[error("sender {sender} did not start: {why}")]
    NotReady { sender: usize, why: String },
    #[error("the day that is to be measured: {0}")]
    Scenario(String),
    #[error("sockets: {0}")]
    Io(#[from] std::io::Error),
}

/// What to play, and with what.
#[derive(Clone, Debug)]
pub struct Plan {
    pub scenario: Scenario,
    pub seed: u64,
    /// The sender's program.
    pub program: PathBuf,
    pub limits: Limits,
    /// For builds that have some: the mutation to play.
    pub mutation: Option<String>,
    /// In place of starting any: a sender that runs already.
    pub against: Option<Against>,
}

/// A sender that was started by somebody else, on this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Against {
    /// Where it listens for clients.
    pub clients: SocketAddr,
    /// Where it asks for its list of endpoints, and sends its final reports.
    pub directory: SocketAddr,
}

/// The configuration that a sender needs for a day if it is started by somebody else.
pub fn node_config(plan: &Plan, directory: SocketAddr) -> String {
    let config = senders::configuration(
        &plan.scenario,
        0,
        directory,
        &serde_json::Value::Null,
        plan.limits,
    );
    format!("{config:#}\n")
}

/// What a day came to.
#[derive(Debug, Default)]
pub struct Outcome {
    pub verdicts: Vec<(Rule, Verdict)>,
    /// Everything that passed.
    pub lines: Vec<Line>,
    /// Worth delivered and asked for.
    pub worth: (f64, f64),
    /// The same by the second in which a message was first submitted.
    pub worth_over_time: Vec<(f64, f64)>,
    /// What the senders had used at the day's end, and the processor time of the rig's own loop.
    pub senders: Vec<ResourceUsage>,
    pub runner_cpu: Duration,
    pub submitted: u64,
    pub delivered: u64,
    /// Senders that ended without being told to.
    pub crashed: Vec<usize>,
    /// What voids a day: calls that nobody asked for, or that can't be read.
    pub void: Vec<String>,
    /// Warnings of the senders' logs, the first of each.
    pub warnings: Vec<String>,
    /// How late the rig itself was: at most, and 99 of 100 times.
    pub late: (Duration, Duration),
    pub lasted: Duration,
    /// When the day began, since 1970.
    pub began: Duration,
    /// On a day with a fleet: every line of the senders' logs, and each sender's view at the end, if it told one.
    pub logs: Vec<(usize, String)>,
    pub views: Vec<Option<serde_json::Value>>,
}

impl Outcome {
    /// No rule is broken, nothing crashed, nothing was void.
    pub fn holds(&self) -> bool {
        let broken = |v: &Verdict| matches!(v, Verdict::Broken(_));
        self.crashed.is_empty()
            && self.void.is_empty()
            && !self.verdicts.iter().any(|(_, v)| broken(v))
    }

    /// The machine was too busy to tell of some rule.
    pub fn unclear(&self) -> bool {
        self.verdicts
            .iter()
            .any(|(_, v)| matches!(v, Verdict::NotJudged { .. }))
    }
}
