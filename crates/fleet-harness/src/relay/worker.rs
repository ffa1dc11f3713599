//! The relay's thread: its event loop, sockets and timers.

use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

use cranehill_scenario_runner::timer_queue::TimerQueue;
use cranehill_simulation::fleet::NetworkFault;
use mio::{Events, Interest, Poll, Token};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::command::{Command, ConnectionPath, PacketPath};
use super::pair::Pair;
use super::traffic::SharedTraffic;

/// Token of the waker, which interrupts the poll after a command. Sockets have the tokens after it.
pub(super) const WAKE: Token = Token(0);
/// Largest number of events that one poll returns.
const EVENTS_PER_POLL: usize = 1024;

/// A socket of the relay.
pub(super) enum RelaySocket {
    /// Receives packets for one member.
    Packets(PacketPath),
    /// Accepts connections from one sender to one endpoint.
    Listener(ConnectionPath),
    /// A connection, under the token of the sender's side.
    Pair(Box<Pair>),
    /// The destination's side of the connection under the token `first`.
    SecondSide { first: usize },
}

/// What the relay does when a timer is due.
pub(super) enum TimerEvent {
    /// Delivers a delayed packet through the socket with this token.
    Deliver { token: usize, bytes: Vec<u8> },
    /// Continues to copy bytes of a connection whose delayed bytes are due.
    Pump { token: usize },
    /// Applies the beginning or end of a network fault.
    FaultEdge,
}

/// The state of the relay's thread.
pub(super) struct RelayWorker {
    pub(super) poll: Poll,
    commands: Receiver<Command>,
    pub(super) network_faults: Vec<NetworkFault>,
    /// Start of the clock of the network faults; `None` before [`Command::Begin`].
    began: Option<Instant>,
    pub(super) rng: ChaCha8Rng,
    next_token: usize,
    /// Sockets by token.
    pub(super) sockets: HashMap<usize, RelaySocket>,
    /// Member numbers by the address from which the member sends.
    pub(super) members: HashMap<SocketAddr, usize>,
    timers: TimerQueue<Duration, TimerEvent>,
    pub(super) traffic: SharedTraffic,
}

impl RelayWorker {
    pub(super) fn new(
        poll: Poll,
        commands: Receiver<Command>,
        network_faults: Vec<NetworkFault>,
        seed: u64,
        traffic: SharedTraffic,
    ) -> RelayWorker {
        RelayWorker {
            poll,
            commands,
            network_faults,
            began: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_token: WAKE.0 + 1,
            sockets: HashMap::new(),
            members: HashMap::new(),
            timers: TimerQueue::default(),
            traffic,
        }
    }

    /// Time since the clock of the faults started; `None` before.
    pub(super) fn now(&self) -> Option<Duration> {
        self.began.map(|began| began.elapsed())
    }

    /// Schedules a timer, at a time on the clock of the faults.
    pub(super) fn schedule(&mut self, at: Duration, event: TimerEvent) {
        self.timers.push(at, event);
    }

    /// Runs the event loop until [`Command::End`].
    pub(super) fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(EVENTS_PER_POLL);
        loop {
            let now = self.now().unwrap_or_default();
            let timeout = self.timers.next_due().map(|due| due.saturating_sub(now));
            match self.poll.poll(&mut events, timeout) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                other => other?,
            }
            let tokens: Vec<Token> = events.iter().map(mio::event::Event::token).collect();
            for token in tokens {
                if token != WAKE {
                    self.on_event(token.0);
                } else if !self.run_commands()? {
                    return Ok(());
                }
            }
            self.run_timers();
        }
    }

    fn run_timers(&mut self) {
        while let Some(now) = self.now()
            && let Some((_, event)) = self.timers.pop_due(now)
        {
            match event {
                TimerEvent::Deliver { token, bytes } => self.deliver(token, &bytes),
                TimerEvent::Pump { token } => self.pump(token),
                TimerEvent::FaultEdge => self.on_fault_edge(now),
            }
        }
    }

    /// Executes all queued commands; false after [`Command::End`].
    fn run_commands(&mut self) -> io::Result<bool> {
        while let Ok(command) = self.commands.try_recv() {
            match command {
                Command::AddPacketPath(path) => self.add_packet_path(path)?,
                Command::AddConnectionPath(path) => self.add_connection_path(path)?,
                Command::Begin(at) => self.begin(at),
                Command::End => return Ok(false),
            }
        }
        Ok(true)
    }

    fn add_packet_path(&mut self, mut path: PacketPath) -> io::Result<()> {
        let token = self.next_token();
        self.poll
            .registry()
            .register(&mut path.socket, Token(token), Interest::READABLE)?;
        self.members.insert(path.real, path.to);
        self.sockets.insert(token, RelaySocket::Packets(path));
        // Packets may have arrived before the socket was registered.
        self.on_event(token);
        Ok(())
    }

    fn add_connection_path(&mut self, mut path: ConnectionPath) -> io::Result<()> {
        let token = self.next_token();
        self.poll
            .registry()
            .register(&mut path.listener, Token(token), Interest::READABLE)?;
        self.sockets.insert(token, RelaySocket::Listener(path));
        Ok(())
    }

    fn begin(&mut self, at: Instant) {
        self.began = Some(at);
        let edges = self
            .network_faults
            .iter()
            .flat_map(|fault| [fault.at, fault.until]);
        for edge in edges {
            self.timers.push(edge, TimerEvent::FaultEdge);
        }
    }

    pub(super) fn next_token(&mut self) -> usize {
        let token = self.next_token;
        self.next_token += 1;
        token
    }

    fn on_event(&mut self, token: usize) {
        match self.sockets.get(&token) {
            Some(RelaySocket::Packets(_)) => self.receive_packets(token),
            Some(RelaySocket::Listener(_)) => self.accept(token),
            Some(RelaySocket::Pair(_)) => self.pump(token),
            Some(RelaySocket::SecondSide { first }) => self.pump(*first),
            None => {}
        }
    }
}
