//! Sets a scenario up: opens the listeners of the simulated servers, and configures and starts the senders.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use cranehill_simulation::clients::Clients;
use cranehill_simulation::directory::{Directory, Listed, Row};
use cranehill_simulation::scenario::Scenario;
use mio::net::TcpListener;
use mio::{Interest, Poll, Token, Waker};
use serde_json::Value;

use super::clock::unix_time;
use super::connection::{ConnectionId, Listener, ListenerOwner, WAKE};
use super::endpoint_listeners::{Destinations, bind, rng_stream};
use super::event_log::EventLog;
use super::fleet;
use super::state::{Endpoint, Runner, Sender};
use super::timers::Timers;
use crate::error::RunError;
use crate::network::Network;
use crate::outcome::Outcome;
use crate::plan::Plan;
use crate::senders::{EventSink, Process, configuration, web_push_file};

/// Last byte of the address at which a sender's directory listens: 127.0.N.2.
const DIRECTORY_HOST: u8 = 2;

/// Number of the random stream of the clients. Clients, destinations and journal damage have separate streams of the plan's seed, so
/// that the draws of one do not change those of another. Destinations have the streams from 0 on.
const CLIENT_STREAM: u64 = 1 << 32;
/// Number of the random stream that determines where journals are damaged.
const DAMAGE_STREAM: u64 = 1 << 33;

impl<'a> Runner<'a> {
    /// Opens all listeners, then configures and starts the senders.
    ///
    /// # Errors
    /// A listener can't be opened, a configuration can't be written, or a sender can't be started.
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
                let push = web_push_file(scenario, services);
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
        let (channel, process_events) = channel();
        let directory = Directory::new(
            scenario.directory.clone(),
            first_rows(scenario, &destinations.endpoints),
        );
        Ok(Runner {
            plan,
            scenario,
            poll,
            started: Instant::now(),
            started_unix: unix_time(),
            listeners: destinations.listeners,
            connections: HashMap::new(),
            next_connection: ConnectionId(0),
            last_serial: 0,
            next_audit_number: destinations.endpoints.len(),
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
            event_sink: EventSink::new(channel, waker),
            process_events,
            timers: Timers::default(),
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
            owner: ListenerOwner::Directory { sender },
        });
        Ok(address)
    }

    /// The endpoint list for a sender's configuration; `Value::Null` if the directory is down at the start.
    fn first_list(&self, sender: usize) -> Value {
        let list = self.directory.whole(Duration::ZERO, sender);
        list.map_or(Value::Null, |list| self.list_json(&list, sender))
    }

    /// Registers the listeners with the poll. Their tokens are their indices; connections have the tokens that follow.
    fn register_listeners(&mut self) -> io::Result<()> {
        self.next_connection = ConnectionId(self.listeners.len());
        for (n, listener) in self.listeners.iter_mut().enumerate() {
            self.poll
                .registry()
                .register(&mut listener.socket, Token(n), Interest::READABLE)?;
        }
        Ok(())
    }
}

/// The directory's rows at the start: all endpoints except those of push services.
fn first_rows(scenario: &Scenario, endpoints: &[Endpoint]) -> Vec<Row> {
    let listed = endpoints
        .iter()
        .enumerate()
        .filter(|(_, e)| !scenario.destinations[e.destination].push);
    let row = |(endpoint, endpoint_entry): (usize, &Endpoint)| Row {
        id: endpoint_entry.id.clone(),
        endpoint,
        destination: endpoint_entry.destination as u64,
        listed: Listed::Up,
        started: None,
    };
    listed.map(row).collect()
}
