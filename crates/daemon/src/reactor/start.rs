//! Starting a sender: restoring the state of an earlier process, then listening.

use std::collections::BTreeSet;
use std::mem;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cranehill_core::{Core, Input, Listing};
use cranehill_journal::{Folder, Journal, Recovered};
use cranehill_scheduler::Time;

use super::Reactor;
use super::options::{ReactorOptions, StartError};
use crate::client_ingress::ClientIngress;
use crate::clock::Clock;
use crate::config_reload::ConfigReload;
use crate::connection::ConnectionKind;
use crate::connection_table::ConnectionTable;
use crate::discovery_client::DiscoveryClient;
use crate::drain::Drain;
use crate::final_report_sender::FinalReportSender;
use crate::fleet::Fleet;
use crate::fleet_endpoint::FleetEndpoint;
use crate::handover::{self, FolderLock, InheritedClient, InheritedSockets};
use crate::handover_endpoint::HandoverEndpoint;
use crate::journal_writer::{self, JournalWriter};
use crate::listeners::{self, Listeners};
use crate::operator_connections::MAX_OPERATOR_CONNECTIONS;
use crate::shutdown::Shutdown;
use crate::state_file::{DETACHED, LEARNED_STATE};
use crate::state_store::StateStore;
use crate::tokens::{CLIENTS, OPERATOR, WEB_PUSH};
use crate::upstream::UpstreamPool;
use crate::watch::Watch;
use crate::webpush::{self, WebPushGateway};

/// File descriptors for other uses than clients and destinations: listeners, the poll, signals, discovery, final reports, the
/// journal's open segment and other files, and the fleet's sockets.
const RESERVED_SOCKETS: usize = 24;
/// Idle connections to destinations in addition to those of calls in flight.
const IDLE_SOCKETS: usize = 32;
/// Minimum number of connections to destinations, whatever the limit on file descriptors.
const MIN_DESTINATION_CONNECTIONS: usize = 8;

/// Limits on the number of connections, derived from the limit on file descriptors.
struct ConnectionLimits {
    clients: usize,
    destinations: usize,
}

impl ConnectionLimits {
    /// Clients get the descriptors that calls in flight leave, but at least 9/20 and at most 2/3 of all: their requests may use a
    /// third of the descriptors, and as many again may be connected without sending anything.
    fn new(options: &ReactorOptions) -> ConnectionLimits {
        let operators = options.operator.map_or(0, |_| MAX_OPERATOR_CONNECTIONS + 1);
        let sockets = options.max_descriptors.saturating_sub(operators);
        let calls = options.platform_settings.settings.slots as usize;
        let free = sockets.saturating_sub(RESERVED_SOCKETS);
        let clients = free
            .saturating_sub(calls + IDLE_SOCKETS)
            .clamp(sockets * 9 / 20, sockets * 2 / 3);
        let destinations = free
            .saturating_sub(clients)
            .max(MIN_DESTINATION_CONNECTIONS);
        ConnectionLimits {
            clients,
            destinations,
        }
    }
}

/// The addresses to listen on.
struct ListenAddresses {
    clients: Option<SocketAddr>,
    operators: Option<SocketAddr>,
    web_push: Option<SocketAddr>,
}

impl Reactor {
    /// Starts a sender: restores the state that an earlier process left, then listens.
    ///
    /// # Errors
    /// The state folder or an address can't be used, or the settings are not valid.
    pub fn new(mut options: ReactorOptions) -> Result<Reactor, StartError> {
        let (folder_lock, inherited) = acquire_folder(&options)?;
        let mut clock = Clock::new();
        let (journal, recovered) = open_journal(&options, clock.now())?;
        // If the system's clock was set back, the restored messages must not get more time than they had left.
        clock.advance_to(Duration::from_millis(recovered.latest_ms));
        let addresses = ListenAddresses {
            clients: options.listen,
            operators: options.operator,
            web_push: options.web_push.as_ref().and_then(webpush::File::listen),
        };
        let (known, fleet) = (
            mem::take(&mut options.initial_endpoints),
            options.fleet.take(),
        );
        let seed = options.seed;
        let limits = ConnectionLimits::new(&options);
        let mut reactor = Reactor::assemble(options, clock, journal, &limits)?;
        reactor._folder_lock = folder_lock;
        let records = recovered.records.len();
        reactor.restore(known, fleet, seed, recovered)?;
        reactor.log_started(records, &limits);
        reactor.open_listeners(&addresses, inherited)?;
        Ok(reactor)
    }

    /// Creates the components, before anything is restored.
    fn assemble(
        options: ReactorOptions,
        clock: Clock,
        journal: Option<Journal<Folder>>,
        limits: &ConnectionLimits,
    ) -> Result<Reactor, StartError> {
        let now = clock.now();
        let mut platform_settings = options.platform_settings;
        let web_push = match options.web_push {
            Some(file) => Some(WebPushGateway::new(file, &mut platform_settings)?),
            None => None,
        };
        let settings = &platform_settings.settings;
        let core = Core::new(settings.clone(), options.seed, now).map_err(StartError::Settings)?;
        let watch = Watch::new(
            options.known_version,
            settings.instances,
            settings.rules.max_poll_interval,
            options.seed,
            now,
        );
        let (memory, connect_timeout) = (options.memory_bytes, settings.connect_timeout);
        Ok(Reactor {
            clock,
            core,
            dirty: true,
            last_tick: Time(0),
            wakeups: BTreeSet::new(),
            connections: ConnectionTable::new().map_err(StartError::Poll)?,
            listeners: Listeners::default(),
            ingress: ClientIngress::new(limits.clients, memory, now),
            web_push,
            drain: Drain::default(),
            upstream: UpstreamPool::new(limits.destinations, settings, now),
            discovery: DiscoveryClient::new(options.discovery, watch, memory, connect_timeout),
            final_reports: FinalReportSender::new(now),
            reload: ConfigReload::new(options.read_config),
            journal: JournalWriter::new(journal, settings.tick, now),
            state_store: StateStore::new(options.state.map(|state| state.dir), now),
            handover: None,
            fleet: None,
            shutdown: Shutdown::default(),
            stop_requested: Arc::default(),
            _folder_lock: None,
            platform_settings,
        })
    }

    /// Passes the state of an earlier process to the core, and joins the fleet.
    fn restore(
        &mut self,
        known: Vec<Listing>,
        fleet: Option<Fleet>,
        seed: u64,
        mut recovered: Recovered,
    ) -> Result<(), StartError> {
        let now = self.clock.now();
        let mut list = known;
        list.extend(self.web_push.iter().flat_map(WebPushGateway::listings));
        self.core
            .step(now, Input::EndpointsChanged { whole: true, list });
        if let Some(fleet) = fleet {
            self.join_fleet(fleet, seed.rotate_left(32), now)?;
        }
        if let Some(detachments) = self.state_store.read_detachments() {
            if !detachments.out.is_empty() {
                let out = &detachments.out;
                log::info!(event = "detached", endpoints = out.len(); "operator: endpoints still detached: {out:?}");
            }
            self.core.restore_detachments(detachments);
        }
        journal_writer::log_recovered(&recovered);
        let records = mem::take(&mut recovered.records);
        let effects = self.core.step(now, Input::Recovered(records));
        self.carry_out(effects);
        Ok(())
    }

    fn join_fleet(&mut self, fleet: Fleet, seed: u64, now: Time) -> Result<(), StartError> {
        let registry = self.connections.registry();
        self.fleet = Some(FleetEndpoint::open(&fleet, registry, now)?);
        self.core.join(fleet.settings, seed);
        if let Some(settings) = fleet.zones {
            self.core.manage_zones(settings);
        }
        if let Some(settings) = fleet.recovery {
            self.core.start_recovery(settings);
            if let Some(bytes) = self.state_store.read_learned_state() {
                self.core.step(now, Input::LearnedStateRestored(bytes));
            }
            let (pending, _) = self.core.pending_and_report_counts();
            log::info!(event = "recovery-started", pending; "recovery: started");
        }
        Ok(())
    }

    fn log_started(&self, records: usize, limits: &ConnectionLimits) {
        let (pending, reports) = self.core.pending_and_report_counts();
        log::info!(records, pending, reports;
            "started: {records} records in the journal, {pending} messages pending, {reports} final reports due");
        log::info!(
            "connection limits: {} for clients, {} for destinations",
            limits.clients,
            limits.destinations
        );
        if let Some(address) = self.discovery.address() {
            log::info!("discovery: address is {address}");
        }
        let status = self.fleet.as_ref().and_then(FleetEndpoint::status_address);
        if let Some(status) = status {
            log::info!("fleet: status at {status}");
        }
    }

    /// Opens the listeners, or continues with those of the old process, and adopts its client connections.
    fn open_listeners(
        &mut self,
        addresses: &ListenAddresses,
        inherited: InheritedSockets,
    ) -> Result<(), StartError> {
        let registry = self.connections.registry();
        if let Some(address) = addresses.clients {
            let listener = match inherited.clients {
                Some(listener) => listeners::inherit(listener, CLIENTS, registry)?,
                None => listeners::bind("listen", address, CLIENTS, registry)?,
            };
            let listener = self.listeners.clients.insert(listener);
            log_listening("clients", listeners::local_address(Some(listener)));
        }
        if let Some(address) = addresses.operators {
            let listener = listeners::bind("listen", address, OPERATOR, registry)?;
            let listener = self.listeners.operators.insert(listener);
            log_listening("operators", listeners::local_address(Some(listener)));
        }
        if let Some(address) = addresses.web_push {
            let listener = match inherited.web_push {
                Some(listener) => listeners::inherit(listener, WEB_PUSH, registry)?,
                None => listeners::bind("listen", address, WEB_PUSH, registry)?,
            };
            let listener = self.listeners.web_push.insert(listener);
            log_listening("Web Push", listeners::local_address(Some(listener)));
        }
        // A second process is started only by operators, for a hand-over.
        if let Some(dir) = self
            .state_store
            .dir()
            .filter(|_| addresses.operators.is_some())
        {
            self.handover = HandoverEndpoint::open(dir, registry);
        }
        if let Some(learned_state) = inherited.learned_state {
            self.step(Input::LearnedStateInherited(learned_state));
        }
        self.inherit_clients(inherited.connections);
        Ok(())
    }

    fn inherit_clients(&mut self, clients: Vec<InheritedClient>) {
        let count = clients.len();
        for client in clients {
            self.inherit_client(client);
        }
        if count > 0 {
            log::info!(event = "handover-inherited", clients = count; "hand-over: {count} client connections inherited");
        }
    }

    fn inherit_client(&mut self, client: InheritedClient) {
        let InheritedClient {
            stream,
            input,
            request_received,
        } = client;
        let now = self.clock.now();
        let added = stream.set_nonblocking(true).and_then(|()| {
            let stream = mio::net::TcpStream::from_std(stream);
            let kind = ConnectionKind::Client { busy: false };
            self.connections.add(stream, kind, true, now)
        });
        match added {
            Ok(id) => {
                if let Some(connection) = self.connections.get_mut(id) {
                    connection.input = input;
                    connection.request_received = request_received;
                    self.ingress.adopt_input(connection, now);
                }
                self.connections.resume(id);
            }
            Err(e) => log::error!("hand-over: inherited client connection failed: {e}"),
        }
    }
}

fn log_listening(purpose: &str, address: Option<SocketAddr>) {
    let shown = address.map_or("an unknown address".into(), |address| address.to_string());
    log::info!("listening for {purpose} at {shown}");
}

/// Acquires the state folder. It is locked only if there is an operators' interface, since only operators start a second process.
fn acquire_folder(
    options: &ReactorOptions,
) -> Result<(Option<FolderLock>, InheritedSockets), StartError> {
    match &options.state {
        Some(state) if options.operator.is_some() => {
            let (lock, inherited) = handover::acquire_folder(&state.dir)?;
            Ok((Some(lock), inherited))
        }
        _ => Ok((None, InheritedSockets::default())),
    }
}

/// Opens the journal. It may use the disk space that the other files of the folder leave.
fn open_journal(
    options: &ReactorOptions,
    now: Time,
) -> Result<(Option<Journal<Folder>>, Recovered), StartError> {
    let Some(state) = &options.state else {
        return Ok((None, Recovered::default()));
    };
    let mut disk = state.disk;
    if options.operator.is_some() {
        disk = disk.saturating_sub(DETACHED.disk_bytes());
    }
    if options.fleet.as_ref().is_some_and(|f| f.recovery.is_some()) {
        disk = disk.saturating_sub(LEARNED_STATE.disk_bytes());
    }
    let (journal, recovered) = journal_writer::open(&state.dir, disk, state.key, now)?;
    Ok((Some(journal), recovered))
}
