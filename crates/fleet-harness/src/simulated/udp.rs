//! Plays a fleet over real UDP sockets on loopback: few threads, each with one poll for all sockets of its members.

use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, TryRecvError, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cranehill_scheduler::Time;
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Registry, Token, Waker};

use super::course::{Course, Usage};
use super::engine::{Common, Engine, Network};
use super::figures::SimulatedFleetFigures;
use super::member::{Packet, Setup};
use super::observer::Observation;
use super::plan::{SimulatedFleetError, SimulatedFleetPlan};
use super::setup::FleetSetup;
use super::usage;

/// Members that one thread drives, unless that takes more threads than the machine has processors: beside a crash, a
/// fleet of 200 keeps a hundredth of a processor busy with each member.
const MEMBERS_PER_THREAD: usize = 32;
/// Packets read from one socket before the others have their turn.
const PACKETS_PER_TURN: usize = 64;
/// Larger than any that a member sends.
const MAX_PACKET_BYTES: usize = 2048;
/// The longest wait for an observation.
const MAX_WAIT: Duration = Duration::from_millis(50);
const WAKE: Token = Token(usize::MAX);

/// The wall clock at the start, and a clock that does not jump since.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    started: Instant,
    unix: Duration,
}

impl Clock {
    /// Starts the clock.
    pub(super) fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix,
        }
    }

    /// The present time.
    pub(super) fn now(&self) -> Time {
        self.time(Instant::now())
    }

    /// The time of an instant.
    pub(super) fn time(&self, instant: Instant) -> Time {
        let unix = self.unix + instant.saturating_duration_since(self.started);
        Time(unix.as_nanos() as u64)
    }
}

/// Free addresses for `members` members from the member `first` on. Each member has an IP address to itself on loopback, so
/// that its port is still free when it starts again.
pub(super) fn free_addresses(first: usize, members: usize) -> io::Result<Vec<SocketAddr>> {
    let second = 10 + (std::process::id() % 200) as u8;
    let free = |member: usize| {
        let ip = Ipv4Addr::new(127, second, (member / 250) as u8, 1 + (member % 250) as u8);
        std::net::UdpSocket::bind((ip, 0))?.local_addr()
    };
    (first..first + members).map(free).collect()
}

/// Sockets of consecutive members.
#[derive(Debug)]
struct Sockets {
    registry: Registry,
    /// Index of the first simulated member of the fleet, and of the first here.
    first_simulated: usize,
    first: usize,
    /// Where each simulated member of the fleet listens.
    listen: Arc<Vec<SocketAddr>>,
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
            // It is closed in any case.
            let _ = self.registry.deregister(&mut socket);
        }
    }

    fn send(&mut self, from: usize, to: Option<usize>, packet: &Packet) -> Option<Duration> {
        let direct = to
            .filter(|to| *to >= self.first_simulated)
            .map(|to| self.listen[to - self.first_simulated]);
        if let Some(socket) = &self.open[from - self.first] {
            // A packet that can't be sent is lost.
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
                // Nobody listened where an earlier packet was sent.
                Err(_) => {}
            }
        }
    }
}

enum Command {
    Begin(Time),
    End,
}

/// Processor time of a thread.
struct ThreadCpu {
    /// When the script's clock started.
    at_begin: Duration,
    at_end: Duration,
}

type ThreadResult = Result<ThreadCpu, SimulatedFleetError>;

struct Shard {
    engine: Engine<Sockets>,
    poll: Poll,
    clock: Clock,
    commands: Receiver<Command>,
    observations: Sender<Observation>,
    cpu_at_begin: Duration,
    /// Sockets with packets that were not read yet.
    more: Vec<usize>,
}

impl Shard {
    fn run(mut self) -> ThreadResult {
        self.engine.start_all(self.clock.now())?;
        let mut events = Events::with_capacity(1024);
        while self.run_commands() {
            // Packets that have arrived by then are read before timers that are due by then: a reply that waits in a socket must
            // arrive before its timeout.
            let reached = self.clock.now();
            match self.poll.poll(&mut events, self.patience(reached)) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                other => other?,
            }
            self.read_ready(&events);
            while self.engine.run_next(reached, self.clock.now())? {}
            self.notify();
        }
        Ok(ThreadCpu {
            at_begin: self.cpu_at_begin,
            at_end: usage::thread_cpu(),
        })
    }

    fn read_ready(&mut self, events: &Events) {
        let mut ready = std::mem::take(&mut self.more);
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

    fn notify(&mut self) {
        for observation in self.engine.observations() {
            // Nobody receives observations once the run is over.
            let _ = self.observations.send(observation);
        }
    }

    /// How long to wait for packets.
    fn patience(&self, now: Time) -> Option<Duration> {
        if !self.more.is_empty() {
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
        self.more.push(slot);
    }

    /// False at the end.
    fn run_commands(&mut self) -> bool {
        loop {
            match self.commands.try_recv() {
                Ok(Command::Begin(at)) => {
                    self.cpu_at_begin = usage::thread_cpu();
                    self.engine.begin(at);
                }
                Err(TryRecvError::Empty) => return true,
                // The owner of the threads has ended.
                Ok(Command::End) | Err(TryRecvError::Disconnected) => return false,
            }
        }
    }
}

struct Thread {
    commands: Sender<Command>,
    waker: Waker,
    handle: JoinHandle<ThreadResult>,
}

/// Members that run on threads of their own until they are ended.
pub(super) struct Running {
    threads: Vec<Thread>,
    /// The clock of the observations.
    pub clock: Clock,
    /// Observations of all members.
    pub observations: Receiver<Observation>,
}

impl Running {
    /// Starts all members; `listen` are their addresses.
    pub(super) fn start(
        common: &Common,
        setups: Vec<Setup>,
        listen: Vec<SocketAddr>,
        clock: Clock,
    ) -> Result<Running, SimulatedFleetError> {
        let (reported, observations) = channel();
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
                first_simulated: common.first_simulated,
                first: setups[0].index,
                listen: Arc::clone(&listen),
                open: setups.iter().map(|_| None).collect(),
            };
            let (commands, received) = channel();
            let shard = Shard {
                engine: Engine::new(common.clone(), setups.to_vec(), network, false),
                poll,
                clock,
                commands: received,
                observations: reported.clone(),
                cpu_at_begin: Duration::ZERO,
                more: Vec::new(),
            };
            let handle = std::thread::spawn(move || shard.run());
            running.threads.push(Thread {
                commands,
                waker,
                handle,
            });
        }
        Ok(running)
    }

    /// The script's clock starts.
    pub(super) fn begin(&self, at: Time) {
        self.threads
            .iter()
            .for_each(|thread| thread.notify(Command::Begin(at)));
    }

    /// Ends all members; the processor time of their threads since the script's clock started.
    pub(super) fn end(self) -> Result<Duration, SimulatedFleetError> {
        self.threads
            .iter()
            .for_each(|thread| thread.notify(Command::End));
        let mut cpu = Duration::ZERO;
        for thread in self.threads {
            let ended = thread
                .handle
                .join()
                .map_err(|_| io::Error::other("a thread of members panicked"))?;
            let ThreadCpu { at_begin, at_end } = ended?;
            cpu += at_end.saturating_sub(at_begin);
        }
        Ok(cpu)
    }
}

impl Thread {
    fn notify(&self, command: Command) {
        // The error of a thread that has ended is returned when it is joined.
        let _ = self.commands.send(command);
        let _ = self.waker.wake();
    }
}

/// Plays a fleet.
pub(super) fn play(
    plan: &SimulatedFleetPlan,
) -> Result<SimulatedFleetFigures, SimulatedFleetError> {
    let resident = usage::resident_bytes();
    let listen = free_addresses(0, plan.members)?;
    let setup = FleetSetup::of(plan, &listen);
    let clock = Clock::start();
    let running = Running::start(&setup.common, setup.members, listen, clock)?;
    let mut course = Course::new(plan, &setup.common, clock.now());
    watch(&running, &mut course)?;
    let resident_bytes = usage::resident_bytes().saturating_sub(resident);
    let cpu = running.end()?;
    Ok(course.figures(Usage {
        cpu,
        resident_bytes,
    }))
}

/// Passes observations to the course until its end.
fn watch(running: &Running, course: &mut Course) -> Result<(), SimulatedFleetError> {
    loop {
        let now = running.clock.now();
        let left = course.ends().map_or(MAX_WAIT, |end| end - now.min(end));
        match running.observations.recv_timeout(left.min(MAX_WAIT)) {
            Ok(observation) => course.note(&observation),
            Err(RecvTimeoutError::Timeout) => {}
            // A thread has ended too early; its error is returned when it is joined.
            Err(RecvTimeoutError::Disconnected) => return Ok(()),
        }
        running
            .observations
            .try_iter()
            .for_each(|observation| course.note(&observation));
        let now = running.clock.now();
        if course.check(now) {
            course.begin(now);
            running.begin(now);
        }
        if course.ends().is_some_and(|end| now >= end) {
            return Ok(());
        }
    }
}
