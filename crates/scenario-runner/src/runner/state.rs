//! State of the event loop.

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

/// A sender is started again this long after its end, where the scenario does not say otherwise.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Reasons for a void run that are kept.
const MAX_VOID_REASONS: usize = 50;

/// All simulated servers and senders of a scenario, and what the loop knows of them.
pub(super) struct Runner<'a> {
    pub(super) plan: &'a Plan,
    pub(super) scenario: &'a Scenario,
    pub(super) poll: Poll,
    /// When the scenario began.
    pub(super) started: Instant,
    /// The same since 1970.
    pub(super) started_unix: Duration,
    /// By token, from 0; connections have the tokens that follow.
    pub(super) listeners: Vec<Listener>,
    pub(super) connections: HashMap<ConnectionId, Connection>,
    pub(super) next_connection: ConnectionId,
    /// Numbers calls, and connections for the auditor.
    pub(super) next_serial: u64,
    /// All destinations' endpoints.
    pub(super) endpoints: Vec<Endpoint>,
    /// The auditor's number of the next endpoint.
    pub(super) next_audited_endpoint: usize,
    pub(super) destinations: Vec<SimulatedDestination>,
    /// Replies of destinations that are not due yet, by the serial of their call.
    pub(super) replies: HashMap<u64, Reply>,
    pub(super) directory: Directory,
    pub(super) clients: Clients,
    /// When the next message is submitted, if a timer is set for it.
    pub(super) next_arrival: Option<Duration>,
    /// Messages that were accepted, or posted, and are not completed, with the sender that has them.
    pub(super) pending: BTreeMap<String, usize>,
    pub(super) senders: Vec<Sender>,
    /// The sender that the load balancer chooses next.
    pub(super) next_sender: usize,
    pub(super) event_sink: EventSink,
    pub(super) process_events: Receiver<ProcessEvent>,
    pub(super) timers: Timers,
    pub(super) log: EventLog,
    /// Draws where journals are damaged.
    pub(super) damage_rng: ChaCha8Rng,
    pub(super) outcome: Outcome,
}

/// One endpoint of a destination.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) destination: usize,
    /// Its number at the destination.
    pub(super) number: usize,
    /// Its id in the directory's list. An endpoint that replaces it has a new one.
    pub(super) id: String,
    /// Its number for the auditor. An endpoint that replaces it has a new one.
    pub(super) audited: usize,
    /// Its address for each sender.
    pub(super) addresses: Vec<SocketAddr>,
}

/// One sender under test.
#[derive(Debug)]
pub(super) struct Sender {
    pub(super) process: Process,
    /// The load balancer sends it new connections.
    pub(super) routed: bool,
    /// Its end is scheduled, or was reported already.
    pub(super) end_expected: bool,
    pub(super) restart: Restart,
    /// Connections of clients without a request.
    pub(super) idle: IdleConnections,
    /// The state of each endpoint in the lists that it has received.
    pub(super) notified: BTreeMap<usize, Listed>,
}

/// What follows the end of a sender's process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Restart {
    /// It is started again after this time, if at all.
    pub(super) after: Option<Duration>,
    /// What happens to its state folder.
    pub(super) folder: Folder,
}

impl Restart {
    /// What follows an end that the scenario does not describe further.
    pub(super) const USUAL: Restart = Restart {
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
            restart: Restart::USUAL,
            idle: IdleConnections::default(),
            notified: BTreeMap::new(),
        }
    }
}

impl Runner<'_> {
    /// Time since the scenario began.
    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Records an event that is noticed now.
    pub(super) fn record(&mut self, sender: Option<usize>, what: AuditEvent, wire: &str) {
        let now = self.now();
        self.log.record(now, sender, what, wire);
    }

    /// Notes why the run can't be judged.
    pub(super) fn void(&mut self, why: String) {
        if self.outcome.void.len() < MAX_VOID_REASONS {
            self.outcome.void.push(why);
        }
    }
}

/// The id in the directory's list of the endpoint with this number for the auditor.
pub(super) fn endpoint_id(audited: usize) -> String {
    format!("s-{audited:08x}")
}
