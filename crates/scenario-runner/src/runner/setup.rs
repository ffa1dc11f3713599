//! Before a day begins: simulated servers with their listeners, senders with their configurations, and the day's timers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cranehill_simulation::clients::Clients;
use cranehill_simulation::destination::SimulatedDestination;
use cranehill_simulation::directory::{Directory, Listed, Row};
use cranehill_simulation::fault::Kind;
use cranehill_simulation::scenario::Scenario;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token, Waker};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;

use super::connections::{ConnectionId, Listener, Service};
use super::event_log::EventLog;
use super::timers::{Timer, TimerQueue};
use super::{Endpoint, IdleConnections, Restart, Runner, Sender, WAKE, endpoint_id, fleet};
use crate::network::Network;
use crate::senders::{Process, PushService, configuration, push_file};
use crate::{Outcome, Plan, RunError};

/// All senders must be ready within this.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// How often the wait for the senders is checked.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const READY_EVENTS_PER_POLL: usize = 256;

/// Last bytes of the addresses of a sender's listeners: 127.0.N.1 for endpoints, 127.0.N.2 for its directory.
const ENDPOINT_HOST: u8 = 1;
const DIRECTORY_HOST: u8 = 2;

/// Streams of the seeded generator. Each user has its own, so that one's draws leave those of the others as they are.
/// Destinations have those from 0.
const CLIENT_STREAM: u64 = 1 << 32;
const DAMAGE_STREAM: u64 = 1 << 33;

/// The destinations of a day, with their listeners.
#[derive(Default)]
struct Destinations {
    listeners: Vec<Listener>,
    endpoints: Vec<Endpoint>,
    models: Vec<SimulatedDestination>,
    /// By sender: the push services that it is configured with.
    push_services: Vec<Vec<PushService>>,
}

impl<'a> Runner<'a> {
    /// Opens all listeners, configures the senders and starts them.
    pub(super) fn prepare(
        plan: &'a Plan,
        folder: &Path,
        network: &mut dyn Network,
    ) -> Result<Runner<'a>, RunError> {
        let scenario = &plan.scenario;
        let mut destinations = Destinations::open(scenario, plan.seed, network)?;
        let push_services = std::mem::take(&mut destinations.push_services);
        let mut runner = Runner::new(plan, folder, destinations)?;
        let fleet = fleet::addresses(scenario, network)?;
        for (sender, services) in push_services.iter().enumerate() {
            let directory = runner.open_directory(sender)?;
            if plan.against.is_none() {
                let list = runner.first_list(sender);
                let config = configuration(scenario, sender, directory, &list, plan.limits);
                let push = push_file(scenario, services);
                let process = &mut runner.senders[sender].process;
                process.configure(&config, push.as_deref(), fleet.get(sender))?;
            }
        }
        runner.register_listeners()?;
        for sender in 0..scenario.senders {
            runner.start(sender)?;
        }
        Ok(runner)
    }

    fn new(plan: &'a Plan, folder: &Path, destinations: Destinations) -> io::Result<Runner<'a>> {
        let scenario = &plan.scenario;
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        let directory = Directory::new(
            scenario.directory.clone(),
            first_rows(scenario, &destinations.endpoints),
        );
        Ok(Runner {
            plan,
            scenario,
            poll,
            waker,
            started: Instant::now(),
            started_unix: unix_time(),
            listeners: destinations.listeners,
            connections: HashMap::new(),
            next_connection: ConnectionId(0),
            next_serial: 0,
            next_audited_endpoint: destinations.endpoints.len(),
            endpoints: destinations.endpoints,
            destinations: destinations.models,
            replies: HashMap::new(),
            directory,
            clients: Clients::new(scenario.load.clone(), rng_stream(plan.seed, CLIENT_STREAM)),
            next_arrival: None,
            pending: BTreeMap::new(),
            senders: (0..scenario.senders)
                .map(|n| Sender::new(Process::new(n, &plan.program, folder)))
                .collect(),
            next_sender: 0,
            process_events: channel(),
            timers: TimerQueue::default(),
            log: EventLog::default(),
            damage_rng: rng_stream(plan.seed, DAMAGE_STREAM),
            outcome: Outcome::default(),
        })
    }

    /// Opens the listener of a sender's directory.
    fn open_directory(&mut self, sender: usize) -> io::Result<SocketAddr> {
        let (socket, address) = match &self.plan.against {
            Some(against) => (TcpListener::bind(against.directory)?, against.directory),
            None => bind(sender, DIRECTORY_HOST)?,
        };
        self.listeners.push(Listener {
            socket,
            serves: Service::Directory { sender },
        });
        Ok(address)
    }

    /// The list that stands in a sender's configuration.
    fn first_list(&self, sender: usize) -> Value {
        let whole = self.directory.whole(Duration::ZERO, sender);
        whole.map_or(Value::Null, |list| self.list_json(&list, sender))
    }

    /// Listeners have the first tokens, connections those that follow.
    fn register_listeners(&mut self) -> io::Result<()> {
        self.next_connection = ConnectionId(self.listeners.len());
        for (n, listener) in self.listeners.iter_mut().enumerate() {
            self.poll
                .registry()
                .register(&mut listener.socket, Token(n), Interest::READABLE)?;
        }
        Ok(())
    }

    /// Runs the loop until all senders are ready.
    pub(super) fn wait_ready(&mut self) -> Result<(), RunError> {
        let since = Instant::now();
        let mut events = Events::with_capacity(READY_EVENTS_PER_POLL);
        while !self.all_ready() {
            if since.elapsed() > READY_TIMEOUT {
                return Err(self.not_ready());
            }
            self.poll_once(&mut events, READY_CHECK_INTERVAL)?;
            if let Some(&sender) = self.outcome.crashed.first() {
                let why = self
                    .outcome
                    .warnings
                    .last()
                    .cloned()
                    .unwrap_or_else(|| "it ended".into());
                return Err(RunError::NotReady { sender, why });
            }
        }
        Ok(())
    }

    /// A sender that was started by somebody else is ready once it has asked for its list.
    fn all_ready(&self) -> bool {
        let asked = self.plan.against.is_none() || !self.senders[0].notified.is_empty();
        asked && self.senders.iter().all(|s| s.process.is_ready())
    }

    fn not_ready(&self) -> RunError {
        if let Some(against) = &self.plan.against {
            return RunError::NotAsked {
                clients: against.clients,
                directory: against.directory,
            };
        }
        let sender = self
            .senders
            .iter()
            .position(|s| !s.process.is_ready())
            .unwrap_or(0);
        RunError::NotReady {
            sender,
            why: format!("no word in {} s", READY_TIMEOUT.as_secs()),
        }
    }

    /// The day begins: its clock starts, and its timers are set.
    pub(super) fn begin(&mut self) {
        self.started = Instant::now();
        self.started_unix = unix_time();
        self.log.clear();
        for (n, change) in self.scenario.changes.iter().enumerate() {
            self.timers.insert(change.at, Timer::ListChange(n));
        }
        for (n, signal) in self.scenario.signals.iter().enumerate() {
            self.timers.insert(signal.at, Timer::Signal(n));
        }
        for (n, act) in self.scenario.scheduled_actions.iter().enumerate() {
            self.timers.insert(act.at, Timer::FleetAction(n));
        }
        self.schedule_fault_edges();
        self.schedule_outage_ends();
        self.schedule_arrival();
    }

    /// Faults that reset an endpoint's connections, at their beginning and end.
    fn schedule_fault_edges(&mut self) {
        for (endpoint, place) in self.endpoints.iter().enumerate() {
            let faults = &self.scenario.destinations[place.destination].faults[place.number];
            for fault in faults
                .iter()
                .filter(|f| matches!(f.kind, Kind::Refuse | Kind::Vanish))
            {
                self.timers
                    .insert(fault.start, Timer::FaultEdge { endpoint });
                self.timers
                    .insert(fault.end(), Timer::FaultEdge { endpoint });
            }
        }
    }

    fn schedule_outage_ends(&mut self) {
        for (destination, member) in self.scenario.destinations.iter().enumerate() {
            let outages = member.faults.iter().flatten().filter(|f| f.is_outage());
            let ends: BTreeSet<Duration> = outages.map(|f| f.end()).collect();
            for end in ends {
                self.timers.insert(end, Timer::OutageEnd { destination });
            }
        }
    }
}

impl Destinations {
    /// Opens a listener for each endpoint and sender.
    fn open(scenario: &Scenario, seed: u64, network: &mut dyn Network) -> io::Result<Destinations> {
        let mut all = Destinations {
            push_services: vec![Vec::new(); scenario.senders],
            ..Default::default()
        };
        for (n, member) in scenario.destinations.iter().enumerate() {
            let rng = rng_stream(seed, n as u64);
            all.models.push(SimulatedDestination::new(
                member.spec.clone(),
                member.faults.clone(),
                rng,
            ));
            for number in 0..member.spec.endpoints {
                let addresses = all.open_endpoint(scenario, n, number, network)?;
                if member.push {
                    all.add_push_server(n, &addresses);
                }
                let audited = all.endpoints.len();
                let id = endpoint_id(audited);
                all.endpoints.push(Endpoint {
                    destination: n,
                    number,
                    id,
                    audited,
                    addresses,
                });
            }
        }
        Ok(all)
    }

    /// The addresses of the next endpoint, by sender.
    fn open_endpoint(
        &mut self,
        scenario: &Scenario,
        destination: usize,
        number: usize,
        network: &mut dyn Network,
    ) -> io::Result<Vec<SocketAddr>> {
        let endpoint = self.endpoints.len();
        let zone = scenario.destinations[destination].zones[number];
        let mut addresses = Vec::with_capacity(scenario.senders);
        for sender in 0..scenario.senders {
            let (socket, address) = bind(sender, ENDPOINT_HOST)?;
            self.listeners.push(Listener {
                socket,
                serves: Service::Endpoint { sender, endpoint },
            });
            addresses.push(network.destination_address(sender, zone, address)?);
        }
        Ok(addresses)
    }

    /// One more server of a push service, by its address for each sender.
    fn add_push_server(&mut self, destination: usize, addresses: &[SocketAddr]) {
        for (services, &address) in self.push_services.iter_mut().zip(addresses) {
            match services
                .last_mut()
                .filter(|service| service.destination == destination)
            {
                Some(service) => service.addresses.push(address),
                None => services.push(PushService {
                    destination,
                    addresses: vec![address],
                }),
            }
        }
    }
}

impl Sender {
    fn new(process: Process) -> Sender {
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

/// The directory's rows at the beginning: all endpoints but those of push services.
fn first_rows(scenario: &Scenario, endpoints: &[Endpoint]) -> Vec<Row> {
    let listed = endpoints
        .iter()
        .enumerate()
        .filter(|(_, e)| !scenario.destinations[e.destination].push);
    let row = |(endpoint, place): (usize, &Endpoint)| Row {
        id: place.id.clone(),
        endpoint,
        destination: place.destination as u64,
        listed: Listed::Up,
        started: None,
    };
    listed.map(row).collect()
}

/// A listener with a port of its own, at an address that only this sender uses.
fn bind(sender: usize, host: u8) -> io::Result<(TcpListener, SocketAddr)> {
    let ip = Ipv4Addr::new(127, 0, 1 + (sender % 250) as u8, host);
    let socket = TcpListener::bind(SocketAddr::from((ip, 0)))?;
    let address = socket.local_addr()?;
    Ok((socket, address))
}

fn rng_stream(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(stream + 1);
    rng
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
