//! Runs a fleet over real UDP sockets on loopback. Each of a few threads has one event loop for all sockets of its members.

use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, TryRecvError, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cranehill_scheduler::Time;
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Registry, Token, Waker};

use super::engine::{Engine, Network, SharedContext};
use super::figures::SimulatedFleetFigures;
use super::member::{Packet, Setup};
use super::observer::Observation;
use super::phases::{RunPhases, Usage};
use super::plan::{SimulatedFleetError, SimulatedFleetPlan};
use super::setup::FleetSetup;
use super::usage;

/// Number of members that one thread runs, unless that takes more threads than the machine has processors. During a crash, each
/// member of a fleet of 200 uses a hundredth of a processor.
const MEMBERS_PER_THREAD: usize = 32;
/// Largest number of packets read from one socket before the other sockets are read.
const PACKETS_PER_TURN: usize = 64;
/// Size of the receive buffer: larger than any packet of a member.
const MAX_PACKET_BYTES: usize = 2048;
/// Longest wait for an observation before the phase of the run is checked again.
const MAX_WAIT: Duration = Duration::from_millis(50);
/// Token of the waker, which interrupts the poll after a command.
const WAKE: Token = Token(usize::MAX);

/// A clock that starts at the wall clock's time and then advances monotonically.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    started: Instant,
    /// Wall clock time at `started`, since 1970.
    started_unix: Duration,
}

impl Clock {
    /// Starts the clock.
    pub(super) fn start() -> Clock {
        let started_unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            started_unix,
        }
    }

    /// The current time.
    pub(super) fn now(&self) -> Time {
        self.time(Instant::now())
    }

    /// Converts an instant to a time on this clock.
    pub(super) fn time(&self, instant: Instant) -> Time {
        let unix = self.started_unix + instant.saturating_duration_since(self.started);
        Time(unix.as_nanos() as u64)
    }
}

/// Finds free addresses for `members` members, beginning with the member number `first`. Each member has its own loopback IP
/// address, so that its port is still free when it starts again.
pub(super) fn free_addresses(first: usize, members: usize) -> io::Result<Vec<SocketAddr>> {
    let second_octet = 10 + (std::process::id() % 200) as u8;
    let free = |member: usize| {
        let ip = Ipv4Addr::new(
            127,
            second_octet,
            (member / 250) as u8,
            1 + (member % 250) as u8,
        );
        std::net::UdpSocket::bind((ip, 0))?.local_addr()
    };
    (first..first + members).map(free).collect()
}

/// Sockets of members with consecutive numbers.
#[derive(Debug)]
struct Sockets {
    registry: Registry,
    /// Number of the fleet's first simulated member.
    first_simulated: usize,
    /// Number of the first member whose socket belongs to this thread.
    first: usize,
    /// Address at which each simulated member of the fleet listens.
    listen: Arc<Vec<SocketAddr>>,
    /// Open sockets of this thread's members; `None` for a member that does not run.
    open: Vec<Option<UdpSocket>>,
}

impl Network for Sockets {
    fn open(&mut self, member: usize) -> io::Result<()> {
        let slot = member - self.first;
        let mut socket = UdpSocket::bind(self.listen[member - self.first_simulated])?;
        self.registry
            .register(&mut socket, Token(slot), Interest::READABLE)?;
        self.open[slot] = Some(socket);
        Ok(())
    }

    fn close(&mut self, member: usize) {
        if let Some(mut socket) = self.open[member - self.first].take() {
            // The socket is closed in any case, so an error does not matter.
            let _ = self.registry.deregister(&mut socket);
        }
    }

    fn send(&mut self, from: usize, to: Option<usize>, packet: &Packet) -> Option<Duration> {
        let direct = to
            .filter(|to| *to >= self.first_simulated)
            .map(|to| self.listen[to - self.first_simulated]);
        if let Some(socket) = &self.open[from - self.first] {
            // A packet that can't be sent is lost, as on a real network.
            let _ = socket.send_to(&packet.bytes, direct.unwrap_or(packet.to));
        }
        None
    }
}

impl Sockets {
    fn receive(&self, slot: usize, bytes: &mut [u8]) -> Option<usize> {
        let socket = self.open[slot].as_ref()?;
        loop {
            match socket.recv_from(bytes) {
                Ok((len, _)) => return Some(len),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
                // An ICMP error for an earlier packet, to a port without a listener.
                Err(_) => {}
            }
        }
    }
}

/// A command to a thread that runs members.
enum Command {
    /// Start the script's clock at this time.
    Begin(Time),
    /// End the thread.
    End,
}

/// Processor time of a thread at two times.
struct ThreadCpu {
    /// When the script's clock started.
    at_begin: Duration,
    /// When the thread ended.
    at_end: Duration,
}

type ThreadResult = Result<ThreadCpu, SimulatedFleetError>;

/// One thread's members, with their sockets and timers.
struct MemberThread {
    engine: Engine<Sockets>,
    poll: Poll,
    clock: Clock,
    commands: Receiver<Command>,
    observations: Sender<Observation>,
    cpu_at_begin: Duration,
    /// Indices of sockets that were not read to the end, and may hold more packets.
    unread: Vec<usize>,
}

impl MemberThread {
    fn run(mut self) -> ThreadResult {
        self.engine.start_all(self.clock.now())?;
        let mut events = Events::with_capacity(1024);
        while self.run_commands() {
            // Packets that have arrived by `reached` are read before the timers due by then run: a reply that is already in a
            // socket must be processed before its timeout.
            let reached = self.clock.now();
            match self.poll.poll(&mut events, self.poll_timeout(reached)) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                other => other?,
            }
            self.read_ready(&events);
            while self.engine.run_next(reached, self.clock.now())? {}
            self.send_observations();
        }
        Ok(ThreadCpu {
            at_begin: self.cpu_at_begin,
            at_end: usage::thread_cpu(),
        })
    }

    fn read_ready(&mut self, events: &Events) {
        let mut ready = std::mem::take(&mut self.unread);
        ready.extend(
            events
                .iter()
                .map(mio::event::Event::token)
                .filter(|token| *token != WAKE)
                .map(|t| t.0),
        );
        ready.sort_unstable();
        ready.dedup();
        ready.into_iter().for_each(|slot| self.read(slot));
    }

    fn send_observations(&mut self) {
        for observation in self.engine.observations() {
            // The receiver is dropped when the run is over.
            let _ = self.observations.send(observation);
        }
    }

    /// How long to wait for packets; `None` to wait without a timeout.
    fn poll_timeout(&self, now: Time) -> Option<Duration> {
        if !self.unread.is_empty() {
            return Some(Duration::ZERO);
        }
        self.engine.due().map(|due| due - now)
    }

    fn read(&mut self, slot: usize) {
        let mut bytes = [0; MAX_PACKET_BYTES];
        let first = self.engine.network.first;
        for _ in 0..PACKETS_PER_TURN {
            let Some(len) = self.engine.network.receive(slot, &mut bytes) else {
                return;
            };
            self.engine
                .receive(self.clock.now(), first + slot, bytes[..len].to_vec());
        }
        self.unread.push(slot);
    }

    /// Executes all queued commands; false if the thread must end.
    fn run_commands(&mut self) -> bool {
        loop {
            match self.commands.try_recv() {
                Ok(Command::Begin(at)) => {
                    self.cpu_at_begin = usage::thread_cpu();
                    self.engine.start_script(at);
                }
                Err(TryRecvError::Empty) => return true,
                // A disconnected channel means that the owner has been dropped.
                Ok(Command::End) | Err(TryRecvError::Disconnected) => return false,
            }
        }
    }
}

/// The owner's end of a [`MemberThread`].
struct ThreadHandle {
    commands: Sender<Command>,
    waker: Waker,
    handle: JoinHandle<ThreadResult>,
}

/// Members that run on separate threads until [`Running::end`].
pub(super) struct Running {
    threads: Vec<ThreadHandle>,
    /// Clock of the observations' times.
    pub clock: Clock,
    /// Observations of all members.
    pub observations: Receiver<Observation>,
}

impl Running {
    /// Starts all members; `listen` are the addresses of the simulated members, by number.
    ///
    /// # Errors
    /// The operating system can't create a poll or waker.
    pub(super) fn start(
        context: &SharedContext,
        setups: Vec<Setup>,
        listen: Vec<SocketAddr>,
        clock: Clock,
    ) -> Result<Running, SimulatedFleetError> {
        let (observation_sender, observations) = channel();
        let listen = Arc::new(listen);
        let processors = std::thread::available_parallelism().map_or(1, usize::from);
        let threads = (setups.len() / MEMBERS_PER_THREAD + 1).min(processors);
        let per_thread = setups.len().div_ceil(threads);
        let mut running = Running {
            threads: Vec::new(),
            clock,
            observations,
        };
        for setups in setups.chunks(per_thread) {
            let poll = Poll::new()?;
            let waker = Waker::new(poll.registry(), WAKE)?;
            let network = Sockets {
                registry: poll.registry().try_clone()?,
                first_simulated: context.first_simulated,
                first: setups[0].index,
                listen: Arc::clone(&listen),
                open: setups.iter().map(|_| None).collect(),
            };
            let (commands, received) = channel();
            let member_thread = MemberThread {
                engine: Engine::new(context.clone(), setups.to_vec(), network, false),
                poll,
                clock,
                commands: received,
                observations: observation_sender.clone(),
                cpu_at_begin: Duration::ZERO,
                unread: Vec::new(),
            };
            let handle = std::thread::spawn(move || member_thread.run());
            running.threads.push(ThreadHandle {
                commands,
                waker,
                handle,
            });
        }
        Ok(running)
    }

    /// Starts the script's clock at this time.
    pub(super) fn begin(&self, at: Time) {
        self.threads
            .iter()
            .for_each(|thread| thread.send(Command::Begin(at)));
    }

    /// Ends all members. Returns the processor time of their threads since the script's clock started.
    ///
    /// # Errors
    /// A thread failed or panicked.
    pub(super) fn end(self) -> Result<Duration, SimulatedFleetError> {
        self.threads
            .iter()
            .for_each(|thread| thread.send(Command::End));
        let mut cpu = Duration::ZERO;
        for thread in self.threads {
            let ended = thread
                .handle
                .join()
                .map_err(|_| io::Error::other("a thread that runs simulated members panicked"))?;
            let ThreadCpu { at_begin, at_end } = ended?;
            cpu += at_end.saturating_sub(at_begin);
        }
        Ok(cpu)
    }
}

impl ThreadHandle {
    fn send(&self, command: Command) {
        // If the thread has ended, its error is returned when it is joined.
        let _ = self.commands.send(command);
        let _ = self.waker.wake();
    }
}

/// Runs a fleet to the end of its measured duration.
pub(super) fn play(
    plan: &SimulatedFleetPlan,
) -> Result<SimulatedFleetFigures, SimulatedFleetError> {
    let resident_before = usage::resident_bytes();
    let listen = free_addresses(0, plan.members)?;
    let setup = FleetSetup::of(plan, &listen);
    let clock = Clock::start();
    let running = Running::start(&setup.context, setup.members, listen, clock)?;
    let mut phases = RunPhases::new(plan, &setup.context, clock.now());
    watch(&running, &mut phases)?;
    let resident_bytes = usage::resident_bytes().saturating_sub(resident_before);
    let cpu = running.end()?;
    Ok(phases.figures(Usage {
        cpu,
        resident_bytes,
    }))
}

/// Collects observations and advances the phases until the measured duration ends.
fn watch(running: &Running, phases: &mut RunPhases) -> Result<(), SimulatedFleetError> {
    loop {
        let now = running.clock.now();
        let remaining = phases
            .measurement_end()
            .map_or(MAX_WAIT, |end| end - now.min(end));
        match running.observations.recv_timeout(remaining.min(MAX_WAIT)) {
            Ok(observation) => phases.add(&observation),
            Err(RecvTimeoutError::Timeout) => {}
            // All threads have ended too early; their errors are returned when they are joined.
            Err(RecvTimeoutError::Disconnected) => return Ok(()),
        }
        running
            .observations
            .try_iter()
            .for_each(|observation| phases.add(&observation));
        let now = running.clock.now();
        if phases.check(now) {
            phases.begin_measurement(now);
            running.begin(now);
        }
        if phases.measurement_end().is_some_and(|end| now >= end) {
            return Ok(());
        }
    }
}
