//! The mio loop: carries out what the core asks for, and tells it what came of it. One thread, no blocking
//! but in the poll. Everything decided is decided in the core; here are connections, bytes and clocks.
//! `client_ingress` looks after those who hand messages in, `calls` after destinations, `platform` after the directory and
//! the final reports, `fleet` after the other senders, `operator` after the operators' calls. `effects` carries
//! out what the core asks for, `due` keeps the times, `journal` opens the journal and looks after it, `shutdown`
//! has the steps to the end.

mod client_ingress;
mod effects;
mod fleet;
mod handover;
mod journal;
mod operator;
mod platform;
mod shutdown;
mod timers;
mod upstream;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cranehill_scheduler::Time;
use cranehill_scheduler::api::{EndpointId, Status};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};

use crate::client_protocol;
use crate::clock::Clock;
use crate::config::PlatformSettings;
use crate::connection::{ANSWER_MOST, Connection, ConnectionKind, InFlightCall, consume};
use crate::connection_index::ConnectionIndex;
use crate::destination_protocol::{self, DestinationResponse, Verdict};
use crate::discovery_protocol;
use crate::final_report_queue::{self as final_report_protocol, FinalReportQueue};
use crate::fleet::Fleet;
use crate::handover as handover_exchange;
use crate::http;
use crate::state_file;
use crate::watch::{Failure, Watch};
use crate::webpush::{self, WebPushFront as Push};
use cranehill_core as core;
use cranehill_core::mutation::{self, Mutation};
use cranehill_core::{Attempt, AttemptOutcome, Core, Effect, Input, Listing, Origin, Persisted};
use cranehill_journal::{Folder, Journal, Key, Options, Recovered};

const CLIENTS: Token = Token(0);
const PUSHES: Token = Token(1);
/// For the caller's signals.
pub const SIGNALS: Token = Token(2);
const STOP: Token = Token(3);
const FLEET: Token = Token(4);
const STATUS: Token = Token(5);
const OPERATOR: Token = Token(6);
const HANDOVER: Token = Token(7);
const FIRST_CONNECTION: usize = 16;
/// Descriptors that are neither clients' nor destinations': the listeners, the poll, signals, the directory, the
/// reports, the journal's head and what it reads or writes besides, the fleet and who asks for its view.
const RESERVED_SOCKETS: usize = 24;
/// Connections to destinations kept idle besides the calls that may be out.
const IDLE_SOCKETS: usize = 32;

const COMPACTION_WARNING_INTERVAL: Duration = Duration::from_secs(5);

/// What a running sender is made of.
pub struct ReactorOptions {
    pub platform_settings: PlatformSettings,
    pub seed: u64,
    /// The folder that lasts.
    pub state: Option<State>,
    pub listen: Option<SocketAddr>,
    pub discovery: Option<SocketAddr>,
    pub known_version: u64,
    pub known: Vec<Listing>,
    pub push: Option<webpush::File>,
    /// Where this sender takes part in the fleet.
    pub fleet: Option<Fleet>,
    /// Where operators reach this sender.
    pub operator: Option<SocketAddr>,
    pub sockets: usize,
    /// Bytes that the process may use.
    pub memory: usize,
    /// Reads the configuration again and tells where the directory is now.
    pub read_config: Option<ConfigReader>,
}

/// The folder that lasts.
pub struct State {
    pub dir: PathBuf,
    /// Bytes that it may hold.
    pub disk: u64,
    /// An operator's key for the journal; else the folder has its own.
    pub key: Option<Key>,
}

/// See [`ReactorOptions::read_config`].
pub type ConfigReader =
    Box<dyn FnMut() -> Result<SocketAddr, Box<dyn std::error::Error + Send + Sync>> + Send>;

/// What the process is told by signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlCommand {
    /// Begin the end, as on SIGTERM.
    Stop,
    /// Read the configuration again, as on SIGHUP.
    Reload,
}

pub struct Reactor {
    poll: Poll,
    clock: Clock,
    platform_settings: PlatformSettings,
    core: Core,
    journal: Option<Journal<Folder>>,
    push: Option<Push>,
    /// The folder that lasts, and when the log may say again that it takes nothing.
    state_dir: Option<PathBuf>,
    next_unsaved_warning: Time,
    fleet: Option<fleet::End>,
    clients: Option<TcpListener>,
    pushes: Option<TcpListener>,
    operators: Option<TcpListener>,
    /// The right to work in the folder, and the end of this process that passes on to a new one.
    _lock: Option<handover_exchange::FolderLock>,
    handover: Option<handover::End>,
    /// Since when operators have this sender emptied.
    draining_since: Option<Time>,
    connections: BTreeMap<usize, Connection>,
    connection_index: ConnectionIndex,
    next_connection: usize,
    clients_most: usize,
    max_destination_connections: usize,
    /// A connection to a destination that was idle for longer is not written to.
    trusted_idle: Duration,
    /// Bytes of requests that have not come whole, over all clients.
    unread_most: usize,
    /// The largest body of a list that is read.
    list_body_most: usize,
    /// Connections closed unserved since the log last told.
    evicted_connections: u64,
    next_eviction_warning: Time,
    /// Messages refused for want of room in the journal since the log last told.
    rejected_messages: u64,
    next_rejection_warning: Time,
    read_config: Option<ConfigReader>,
    /// When to read the configuration again, and until when to try.
    reload: Option<(Time, Time)>,
    discovery: Option<SocketAddr>,
    watch: Watch,
    reports: FinalReportQueue,
    report_at: Time,
    /// When the journal may take its next step of upkeep, and when the log may say again that it can't.
    upkeep_at: Time,
    next_compaction_warning: Time,
    wakes: BTreeSet<Time>,
    /// A mutation's: records that are answered for and not written.
    unwritten: Vec<core::Record>,
    /// Something has come in since the last turn.
    dirty: bool,
    last_turn: Time,
    stopping: Option<Time>,
    sending_stopped: bool,
    accept_again: Option<Time>,
    /// Connections with more to deal with at the next turn.
    resume: Vec<usize>,
    stop_requested: Arc<AtomicBool>,
}

/// See [`Reactor::stop_handle`].
#[derive(Clone)]
pub struct StopHandle {
    stop_requested: Arc<AtomicBool>,
    waker: Arc<mio::Waker>,
}

impl StopHandle {
    pub fn stop(&self) {
        self.stop_requested.store(true, Ordering::Relaxed);
        if let Err(e) = self.waker.wake() {
            log::error!("halt: {e}");
        }
    }
}

/// How many connections clients, and destinations, may have. Clients get what the calls that may be out leave, but
/// always enough for the third of the descriptors that their requests may take and as much again for those
/// who ask nothing.
fn connection_limits(sockets: usize, slots: usize) -> (usize, usize) {
    let free = sockets.saturating_sub(RESERVED_SOCKETS);
    let clients = free
        .saturating_sub(slots + IDLE_SOCKETS)
        .clamp(sockets * 9 / 20, sockets * 2 / 3);
    (clients, free.saturating_sub(clients).max(8))
}

fn sockets_error(what: &str, address: SocketAddr, e: io::Error) -> String {
    format!("{what} {address}: {e}")
}

fn shown(listener: &Option<TcpListener>) -> String {
    listener
        .as_ref()
        .and_then(|l| l.local_addr().ok())
        .map_or("nowhere".into(), |a| a.to_string())
}

fn millis(time: Time) -> u64 {
    time.0 / 1_000_000
}

impl Reactor {
    /// Takes up what the journal holds, then listens.
    pub fn new(options: ReactorOptions) -> Result<Reactor, String> {
        let ReactorOptions {
            mut platform_settings,
            seed,
            state,
            listen,
            discovery,
            known_version,
            known,
            push,
            ..
        } = options;
        let operators = options.operator.map_or(0, |_| operator::MOST + 1);
        let (clients_most, max_destination_connections) = connection_limits(
            options.sockets.saturating_sub(operators),
            platform_settings.settings.slots as usize,
        );
        let poll = Poll::new().map_err(|e| format!("poll: {e}"))?;
        let mut clock = Clock::new();
        let (mut journal, mut recovered, mut state_dir) = (None, Recovered::default(), None);
        let (mut lock, mut taken) = (None, handover_exchange::InheritedSockets::default());
        // Only operators start a second process beside this one.
        if let Some(state) = state.as_ref().filter(|_| options.operator.is_some()) {
            let (own, all) = handover_exchange::take_over(&state.dir).map_err(|e| e.to_string())?;
            (lock, taken) = (Some(own), all);
        }
        let remembers = options.fleet.as_ref().is_some_and(|f| f.recovery.is_some());
        if let Some(mut state) = state {
            state_dir = Some(state.dir.clone());
            if options.operator.is_some() {
                state.disk = state.disk.saturating_sub(state_file::DETACHED.disk());
            }
            if remembers {
                state.disk = state.disk.saturating_sub(state_file::LEARNED_STATE.disk());
            }
            let opened = journal::open_journal(state, millis(clock.now()))?;
            (journal, recovered) = (Some(opened.0), opened.1);
        }
        // A clock that was set back must not give messages more time than they had.
        clock.advance_to(Duration::from_millis(recovered.latest));
        let now = clock.now();
        let push_listen = push.as_ref().and_then(webpush::File::listen);
        let push = push
            .map(|file| Push::new(file, &mut platform_settings))
            .transpose()
            .map_err(|e| e.to_string())?;
        let mut core =
            Core::new(platform_settings.settings.clone(), seed, now).map_err(|e| e.to_string())?;
        let mut list = known;
        list.extend(push.iter().flat_map(Push::listings));
        core.step(now, Input::EndpointsChanged { whole: true, list });
        let mut fleet_end = None;
        if let Some(fleet) = options.fleet {
            fleet_end = Some(fleet::End::open(&fleet, poll.registry(), now)?);
            core.join(fleet.settings, seed.rotate_left(32));
            if let Some(settings) = fleet.zones {
                core.manage_zones(settings);
            }
            if let Some(settings) = fleet.recovery {
                core.recover(settings);
                fleet::restore_learned_state(state_dir.as_deref(), &mut core, now);
            }
        }
        if let Some(dir) = state_dir.as_deref() {
            operator::detached_before(dir, &mut core);
        }
        journal::log_recovered(&recovered);
        let found = recovered.records.len();
        let effects = core.step(
            now,
            Input::Recovered(std::mem::take(&mut recovered.records)),
        );
        let set = &platform_settings.settings;
        let watch = Watch::new(
            known_version,
            set.instances,
            set.rules.must_ask_in,
            seed,
            now,
        );
        let mut reactor = Reactor {
            poll,
            clock,
            platform_settings,
            core,
            journal,
            push,
            state_dir,
            next_unsaved_warning: now,
            fleet: fleet_end,
            clients: None,
            pushes: None,
            operators: None,
            _lock: lock,
            handover: None,
            draining_since: None,
            connections: BTreeMap::new(),
            connection_index: ConnectionIndex::default(),
            next_connection: FIRST_CONNECTION,
            clients_most,
            max_destination_connections,
            trusted_idle: Duration::MAX,
            unread_most: options.memory / 8,
            list_body_most: discovery_protocol::max_body_bytes(options.memory),
            evicted_connections: 0,
            next_eviction_warning: now,
            rejected_messages: 0,
            next_rejection_warning: now,
            read_config: options.read_config,
            reload: None,
            discovery,
            watch,
            reports: FinalReportQueue::default(),
            report_at: now,
            upkeep_at: now,
            next_compaction_warning: now,
            wakes: BTreeSet::new(),
            unwritten: Vec::new(),
            dirty: true,
            last_turn: Time(0),
            stopping: None,
            sending_stopped: false,
            accept_again: None,
            resume: Vec::new(),
            stop_requested: Arc::default(),
        };
        reactor.carry_out(effects);
        let (pending, reports) = reactor.core.outstanding();
        log::info!(records = found, pending, reports;
            "started: {found} records in the journal, {pending} messages pending, {reports} final reports due");
        log::info!(
            "connection limits: {clients_most} for clients, {max_destination_connections} for destinations"
        );
        if let Some(address) = discovery {
            log::info!("discovery: at {address}");
        }
        if let Some(status) = reactor.fleet.as_ref().and_then(fleet::End::status_at) {
            log::info!("fleet: status at {status}");
        }
        if let Some(address) = listen {
            reactor.clients = Some(match taken.clients.take() {
                Some(listener) => reactor.adopt_listener(listener, CLIENTS)?,
                None => reactor.listen(address, CLIENTS)?,
            });
            log::info!("listening for clients at {}", shown(&reactor.clients));
        }
        if let Some(address) = options.operator {
            reactor.operators = Some(reactor.listen(address, OPERATOR)?);
            log::info!("listening for operators at {}", shown(&reactor.operators));
        }
        if let Some(address) = push_listen {
            reactor.pushes = Some(match taken.web_push.take() {
                Some(listener) => reactor.adopt_listener(listener, PUSHES)?,
                None => reactor.listen(address, PUSHES)?,
            });
            log::info!("listening for Web Push at {}", shown(&reactor.pushes));
        }
        if let Some(dir) = reactor
            .state_dir
            .as_deref()
            .filter(|_| options.operator.is_some())
        {
            reactor.handover = handover::End::open(dir, reactor.poll.registry());
        }
        if let Some(learned_state) = taken.learned_state.take() {
            reactor.step(Input::LearnedStateInherited(learned_state));
        }
        let connections = taken.connections.len();
        taken
            .connections
            .into_iter()
            .for_each(|client| reactor.adopt(client));
        if connections > 0 {
            log::info!(event = "handover-inherited", clients = connections; "hand-over: {connections} client connections inherited");
        }
        Ok(reactor)
    }

    fn listen(&self, address: SocketAddr, token: Token) -> Result<TcpListener, String> {
        let mut listener =
            TcpListener::bind(address).map_err(|e| sockets_error("listen", address, e))?;
        let registry = self.poll.registry();
        registry
            .register(&mut listener, token, Interest::READABLE)
            .map_err(|e| sockets_error("listen", address, e))?;
        Ok(listener)
    }

    /// Where clients, and where app destinations, reach this sender.
    pub fn addresses(&self) -> (Option<SocketAddr>, Option<SocketAddr>) {
        let at = |l: &Option<TcpListener>| l.as_ref().and_then(|l| l.local_addr().ok());
        (at(&self.clients), at(&self.pushes))
    }

    /// Where operators reach this sender.
    pub fn operator_address(&self) -> Option<SocketAddr> {
        self.operators.as_ref().and_then(|l| l.local_addr().ok())
    }

    pub fn registry(&self) -> &mio::Registry {
        self.poll.registry()
    }

    /// A handle that ends [`Reactor::run`] from another thread, at once and without the steps of a SIGTERM.
    pub fn stop_handle(&self) -> io::Result<StopHandle> {
        let waker = mio::Waker::new(self.poll.registry(), STOP)?;
        Ok(StopHandle {
            stop_requested: self.stop_requested.clone(),
            waker: Arc::new(waker),
        })
    }

    /// Begins the end: as on SIGTERM.
    pub fn stop(&mut self) {
        if self.stopping.is_none() {
            let (pending, reports) = self.core.outstanding();
            log::info!("stopping: {pending} messages pending, {reports} final reports due");
            self.stopping = Some(self.clock.now());
            self.step_fleet(cranehill_membership::Input::Leave);
        }
    }

    /// Serves until stopped. `orders` is asked after each wake-up what else to do.
    pub fn run(&mut self, mut orders: impl FnMut() -> Vec<ControlCommand>) -> io::Result<()> {
        let mut events = Events::with_capacity(512);
        loop {
            for order in orders() {
                match order {
                    ControlCommand::Stop => self.stop(),
                    ControlCommand::Reload => self.on_reload(),
                }
            }
            if self.stop_requested.load(Ordering::Relaxed) {
                return Ok(());
            }
            if self.turn(&mut events)? {
                let (pending, reports) = self.core.outstanding();
                let violations = self.core.violations;
                log::info!(
                    "stopped: {pending} messages and {reports} final reports left to the journal; {violations:?}"
                );
                return Ok(());
            }
        }
    }

    /// Waits for something to happen and deals with it; true once all is over.
    fn turn(&mut self, events: &mut Events) -> io::Result<bool> {
        let now = self.clock.now();
        let wait = self.next_due(now).map(|t| t - now);
        match self
            .poll
            .poll(events, wait.map(|w| w + Duration::from_micros(50)))
        {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            other => other?,
        }
        let mut tokens: Vec<Token> = events.iter().map(|e| e.token()).collect();
        // Operators wait for nobody: what they ask goes before all that clients and destinations have brought.
        if self.operators.is_some() {
            tokens.sort_by_key(|t| !self.is_operators(*t));
        }
        for token in tokens {
            match token {
                CLIENTS | PUSHES => self.accept(token),
                SIGNALS | STOP => {}
                HANDOVER => self.handover.iter_mut().for_each(|end| end.called = true),
                FLEET => self.hear_fleet(),
                STATUS | OPERATOR => self.accept_operators(token),
                Token(connection) => self.pump(connection),
            }
        }
        for connection in std::mem::take(&mut self.resume) {
            self.pump(connection);
        }
        self.timers();
        self.empty();
        let now = self.clock.now();
        // The decisions run once a tick, as in the simulator: what comes in together is decided together.
        if self.dirty && now - self.last_turn >= self.platform_settings.settings.tick {
            self.last_turn = now;
            self.dirty = false;
            let effects = self.core.step(now, Input::TickEnded);
            self.carry_out(effects);
        }
        if now >= self.upkeep_at && self.wants_compaction(now) {
            self.compact();
        }
        self.send_reports();
        Ok(self.pass_on() || self.wind_down())
    }

    fn add_connection(
        &mut self,
        mut stream: TcpStream,
        kind: ConnectionKind,
        up: bool,
    ) -> io::Result<usize> {
        let connection = self.next_connection;
        self.next_connection += 1;
        self.poll.registry().register(
            &mut stream,
            Token(connection),
            Interest::READABLE | Interest::WRITABLE,
        )?;
        let now = self.clock.now();
        let _ = stream.set_nodelay(true);
        self.connection_index.add(&kind, connection);
        self.connections.insert(
            connection,
            Connection {
                stream,
                kind,
                input: Vec::new(),
                output: Vec::new(),
                written: 0,
                up,
                ended: false,
                used: now,
                answered: 0,
                gap: Duration::ZERO,
                since: now,
                asked: false,
                faults: 0,
                close_after: false,
            },
        );
        Ok(connection)
    }

    fn drop_connection(&mut self, connection: usize) -> Option<Connection> {
        let id = connection;
        let mut connection = self.connections.remove(&connection)?;
        self.connection_index.remove(&connection.kind, id);
        log::trace!(
            "connection {id}: {} closed, ended by the other side: {}, {} bytes read, {} not written",
            connection.kind.name(),
            connection.ended,
            connection.input.len(),
            connection.output.len() - connection.written
        );
        let _ = self.poll.registry().deregister(&mut connection.stream);
        Some(connection)
    }

    /// Moves bytes on a connection and deals with what has come.
    fn pump(&mut self, id: usize) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        if upstream::write_by(connection).is_some_and(|t| t <= self.clock.now()) {
            log::debug!("connection {id}: a call is not sent, it may not be repeated any more");
            self.withhold(id);
        }
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        match connection.check_up() {
            Ok(true) => {}
            Ok(false) => return,
            Err(e) => return self.broken(id, &e.to_string()),
        }
        let due = !connection.written_out();
        let flushed = connection.flush();
        if due
            && connection.written_out()
            && matches!(connection.kind, ConnectionKind::Destination { .. })
        {
            log::trace!("connection {id}: all of the call is written");
        }
        let before = connection.input.len();
        connection.fill();
        if connection.input.len() > before {
            let now = self.clock.now();
            if !matches!(connection.kind, ConnectionKind::Directory { .. }) {
                connection.used = now;
            }
            // A request has begun; the first one's time runs from the connecting.
            if before == 0 && connection.asked && connection.written_out() {
                connection.since = now;
            }
        }
        match connection.kind {
            ConnectionKind::Client { .. } => self.on_client(id),
            ConnectionKind::Pusher { .. } => self.on_pusher(id),
            ConnectionKind::Destination { .. } => self.on_destination(id, !flushed),
            ConnectionKind::Directory { .. } | ConnectionKind::FinalReports => {
                self.on_platform(id, !flushed)
            }
            ConnectionKind::Operator { .. } => self.on_operator(id),
            ConnectionKind::Ending { .. } => self.on_ending(id),
        }
    }

    /// The connection never came up.
    fn broken(&mut self, id: usize, why: &str) {
        let Some(connection) = self.drop_connection(id) else {
            return;
        };
        match connection.kind {
            ConnectionKind::Destination {
                endpoint,
                call: Some(out),
                ..
            } => {
                log::debug!("endpoint {endpoint}: no connection, {why}");
                self.end_call(
                    out,
                    &DestinationResponse::all(Verdict::of(Status::NoConnection)),
                );
            }
            ConnectionKind::Destination {
                endpoint,
                check: Some(_),
                ..
            } => {
                self.step(Input::HealthChecked {
                    endpoint,
                    status: Status::NoConnection,
                });
            }
            ConnectionKind::Directory { .. } => self.watch_failed(why, Failure::ConnectFailed),
            ConnectionKind::FinalReports => self.report_later(),
            ConnectionKind::Destination { .. }
            | ConnectionKind::Client { .. }
            | ConnectionKind::Pusher { .. }
            | ConnectionKind::Ending { .. }
            | ConnectionKind::Operator { .. } => {}
        }
    }
}
