//! The state of the event loop.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use cranehill_simulation::audit::AuditEvent;
use cranehill_simulation::clients::Clients;
use cranehill_simulation::destination::{Reply, SimulatedDestination};
use cranehill_simulation::directory::{Directory, Listed};
use cranehill_simulation::fleet::Folder;
use cranehill_simulation::scenario::Scenario;
use mio::Poll;
use rand_chacha::ChaCha8Rng;

use super::connection::{Connection, ConnectionId, IdleConnections, Listener};
use super::event_log::EventLog;
use super::timers::Timers;
use crate::outcome::Outcome;
use crate::plan::Plan;
use crate::senders::{EventSink, Process, ProcessEvent};

/// How long after its end a sender is restarted, unless the scenario specifies another delay.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Upper bound on the reasons kept in [`Outcome::void`].
const MAX_VOID_REASONS: usize = 50;

/// The event loop of a run, with the simulated servers, the clients and the senders under test.
pub(super) struct Runner<'a> {
    pub(super) plan: &'a Plan,
    pub(super) scenario: &'a Scenario,
    pub(super) poll: Poll,
    /// Start of the scenario; until then, the time at which the runner was created.
    pub(super) started: Instant,
    /// `started` as time since the Unix epoch (1970).
    pub(super) started_unix: Duration,
    /// All listeners. The token of a listener is its index, from 0; connections have the tokens that follow.
    pub(super) listeners: Vec<Listener>,
    pub(super) connections: HashMap<ConnectionId, Connection>,
    pub(super) next_connection: ConnectionId,
    /// Serial number of the latest call or connection to an endpoint. Both are numbered from this one counter, from 1.
    pub(super) last_serial: u64,
    /// The endpoints of all destinations.
    pub(super) endpoints: Vec<Endpoint>,
    /// The audit number of the next replacement endpoint. The original endpoints have their indices as audit numbers.
    pub(super) next_audit_number: usize,
    pub(super) destinations: Vec<SimulatedDestination>,
    /// Replies of destinations that are not due yet, by the serial number of their call.
    pub(super) replies: HashMap<u64, Reply>,
    pub(super) directory: Directory,
    pub(super) clients: Clients,
    /// The time for which the timer of the next submission is set, if one is set.
    pub(super) next_arrival: Option<Duration>,
    /// Messages that were accepted, or submitted over Web Push, and are not completed, by id: index of their sender.
    pub(super) pending: BTreeMap<String, usize>,
    pub(super) senders: Vec<Sender>,
    /// Index of the sender that the load balancer considers first in its next choice.
    pub(super) next_sender: usize,
    pub(super) event_sink: EventSink,
    pub(super) process_events: Receiver<ProcessEvent>,
    pub(super) timers: Timers,
    pub(super) log: EventLog,
    /// Draws the places at which journals are damaged.
    pub(super) damage_rng: ChaCha8Rng,
    pub(super) outcome: Outcome,
}

/// An endpoint of a simulated destination.
#[derive(Debug)]
pub(super) struct Endpoint {
    /// Index into [`Runner::destinations`].
    pub(super) destination: usize,
    /// Index among the endpoints of its destination.
    pub(super) number: usize,
    /// Its id in the directory's list. Changes when another endpoint replaces it.
    pub(super) id: String,
    /// Number by which audit events refer to it. Changes when another endpoint replaces it.
    pub(super) audit_number: usize,
    /// By sender: the address at which this sender reaches the endpoint.
    pub(super) addresses: Vec<SocketAddr>,
}

/// A sender under test.
#[derive(Debug)]
pub(super) struct Sender {
    pub(super) process: Process,
    /// Whether the load balancer sends messages to it.
    pub(super) routed: bool,
    /// Whether the end of its current process must not be recorded as a crash: the scenario ends the process, or its crash is
    /// already recorded.
    pub(super) end_expected: bool,
    pub(super) restart: Restart,
    /// Connections of clients to it without a request in flight.
    pub(super) idle: IdleConnections,
    /// By audit number of an endpoint: its state in the latest endpoint list or change that the sender has received.
    pub(super) listed_states: BTreeMap<usize, Listed>,
}

/// What the runner does after the end of a sender's process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Restart {
    /// Delay until the sender is started again; `None` for never.
    pub(super) after: Option<Duration>,
    /// Whether its state folder is kept or deleted, or its journal damaged, before the restart.
    pub(super) folder: Folder,
}

impl Restart {
    /// Restart after the default delay with the state folder unchanged.
    pub(super) const DEFAULT: Restart = Restart {
        after: Some(RESTART_DELAY),
        folder: Folder::Kept,
    };
}

impl Sender {
    /// A sender that is not started yet.
    pub(super) fn new(process: Process) -> Sender {
        Sender {
            process,
            routed: false,
            end_expected: false,
            restart: Restart::DEFAULT,
            idle: IdleConnections::default(),
            listed_states: BTreeMap::new(),
        }
    }
}

impl Runner<'_> {
    /// Time since the start of the scenario.
    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Records an event at the current time; `wire` is its evidence: bytes from the wire, or a sentence.
    pub(super) fn record(&mut self, sender: Option<usize>, event: AuditEvent, wire: &str) {
        let now = self.now();
        self.log.record(now, sender, event, wire);
    }

    /// Makes the run void, so that it can't be judged; `reason` goes into [`Outcome::void`].
    pub(super) fn void(&mut self, reason: String) {
        if self.outcome.void.len() < MAX_VOID_REASONS {
            self.outcome.void.push(reason);
        }
    }
}

/// The id of the endpoint with this audit number in the directory's list.
pub(super) fn endpoint_id(audit_number: usize) -> String {
    format!("s-{audit_number:08x}")
}
