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
use super::engine::{AddressBook, Common, Engine, Network};
use super::figures::SimulatedFleetFigures;
use super::member::{Packet, Setup};
use super::observer::Observation;
use super::plan::{SimulatedFleetError, SimulatedFleetPlan};
use super::script::Script;
use super::traffic::Traffic;
use super::{SEEDS, usage};

/// Members that one thread drives, unless that takes more threads than the machine has processors: beside a crash, a
/// fleet of 200 keeps a hundredth of a processor busy with each member.
const MEMBERS_PER_THREAD: usize = 32;
/// Packets read from one socket before the others have their turn.
const PACKETS_PER_TURN: usize = 64;
/// Larger than any that a member sends.
const PACKET_MOST: usize = 2048;
/// The thread that watches the course looks at the clock at least so often.
const LOOK_EVERY: Duration = Duration::from_millis(50);
const WAKE: Token = Token(usize::MAX);

/// The wall clock at the start, and a clock that does not jump since.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix: Duration,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix,
        }
    }

    pub fn now(&self) -> Time {
        self.time(Instant::now())
    }

    pub fn time(&self, instant: Instant) -> Time {
        let unix = self.unix + instant.saturating_duration_since(self.started);
        Time(unix.as_nanos() as u64)
    }
}

/// Free addresses for so many members from the member `first` on. Each member has an IP address to itself on loopback, so
/// that its port is still free when it starts again.
pub fn free_addresses(first: usize, members: usize) -> io::Result<Vec<SocketAddr>> {
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
    first_hollow: usize,
    first: usize,
    /// Where each simulated member of the fleet listens.
    listen: Arc<Vec<SocketAddr>>,
    open: Vec<Option<UdpSocket>>,
}

impl Network for Sockets {
    fn open(&mut self, member: usize) -> io::Result<()> {
        let slot = member - self.first;
        let mut socket = UdpSocket::bind(self.listen[member - self.first_hollow])?;
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
            .filter(|to| *to >= self.first_hollow)
            .map(|to| self.listen[to - self.first_hollow]);
        if let Some(socket) = &self.open[from - self.first] {
            // A packet that does not go is a packet lost.
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
                // Nobody listened where an earlier packet went.
                Err(_) => {}
            }
        }
    }
}

enum Order {
    Begin(Time),
    End,
}

/// Tells the processor time of the thread: at the start of the script, and at the end.
type ThreadResult = Result<[Duration; 2], SimulatedFleetError>;

struct Shard {
    engine: Engine<Sockets>,
    poll: Poll,
    clock: Clock,
    orders: Receiver<Order>,
    observations: Sender<Observation>,
    cpu_at_begin: Duration,
    /// Sockets with packets that were not read yet.
    more: Vec<usize>,
}

impl Shard {
    fn run(mut self) -> ThreadResult {
        self.engine.start_all(self.clock.now())?;
        let mut events = Events::with_capacity(1024);
        while self.obey() {
            // What has come by then is read before what is due by then runs: an answer that waits in a socket must not be
            // missed by the timer that asks for it.
            let reached = self.clock.now();
            match self.poll.poll(&mut events, self.patience(reached)) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                other => other?,
            }
            self.read_ready(&events);
            while self.engine.run_next(reached, self.clock.now())? {}
            self.notify();
        }
        Ok([self.cpu_at_begin, usage::thread_cpu()])
    }

    fn read_ready(&mut self, events: &Events) {
        let mut ready = std::mem::take(&mut self.more);
        ready.extend(
            events
                .iter()
                .map(|event| event.token())
                .filter(|token| *token != WAKE)
                .map(|t| t.0),
        );
        ready.sort_unstable();
        ready.dedup();
        ready.into_iter().for_each(|slot| self.read(slot));
    }

    fn notify(&mut self) {
        for observation in self.engine.observations() {
            // Nobody listens any more once the play is over.
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
        let mut bytes = [0; PACKET_MOST];
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
    fn obey(&mut self) -> bool {
        loop {
            match self.orders.try_recv() {
                Ok(Order::Begin(at)) => {
                    self.cpu_at_begin = usage::thread_cpu();
                    self.engine.begin(at);
                }
                Err(TryRecvError::Empty) => return true,
                // Whoever started the play has given it up.
                Ok(Order::End) | Err(TryRecvError::Disconnected) => return false,
            }
        }
    }
}

struct Thread {
    orders: Sender<Order>,
    waker: Waker,
    handle: JoinHandle<ThreadResult>,
}

/// Members that run on threads of their own until they are told to end.
pub struct Running {
    threads: Vec<Thread>,
    pub clock: Clock,
    pub observations: Receiver<Observation>,
}

impl Running {
    /// Starts all members; `listen` tells where each of them does.
    pub fn start(
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
                first_hollow: common.first_hollow,
                first: setups[0].index,
                listen: Arc::clone(&listen),
                open: setups.iter().map(|_| None).collect(),
            };
            let (orders, heard) = channel();
            let shard = Shard {
                engine: Engine::new(common.clone(), setups.to_vec(), network, false),
                poll,
                clock,
                orders: heard,
                observations: reported.clone(),
                cpu_at_begin: Duration::ZERO,
                more: Vec::new(),
            };
            let handle = std::thread::spawn(move || shard.run());
            running.threads.push(Thread {
                orders,
                waker,
                handle,
            });
        }
        Ok(running)
    }

    /// The script's clock starts.
    pub fn begin(&self, at: Time) {
        self.threads
            .iter()
            .for_each(|thread| thread.notify(Order::Begin(at)));
    }

    /// Ends all members; tells the processor time of their threads since the script's clock started.
    pub fn end(self) -> Result<Duration, SimulatedFleetError> {
        self.threads
            .iter()
            .for_each(|thread| thread.notify(Order::End));
        let mut cpu = Duration::ZERO;
        for thread in self.threads {
            let ended = thread
                .handle
                .join()
                .map_err(|_| io::Error::other("a thread of members panicked"))?;
            let [at_begin, at_end] = ended?;
            cpu += at_end.saturating_sub(at_begin);
        }
        Ok(cpu)
    }
}

impl Thread {
    fn notify(&self, order: Order) {
        // One that has ended tells why when it is joined.
        let _ = self.orders.send(order);
        let _ = self.waker.wake();
    }
}

pub fn play(plan: &SimulatedFleetPlan) -> Result<SimulatedFleetFigures, SimulatedFleetError> {
    let resident = usage::resident_bytes();
    let listen = free_addresses(0, plan.members)?;
    let traffic = Arc::new(Traffic::new(plan.members));
    let script = Arc::new(Script::of(plan));
    let common = Common {
        delivery_log: Arc::new(AddressBook::new(&listen)),
        traffic: Arc::clone(&traffic),
        script: Arc::clone(&script),
        first_hollow: 0,
        seed: plan.seed,
    };
    let seeds: Vec<SocketAddr> = listen.iter().copied().take(SEEDS).collect();
    let setup = |(index, address): (usize, &SocketAddr)| Setup {
        index,
        address: *address,
        seeds: seeds.clone(),
        fleet_size: plan.members,
        timing: plan.timing,
    };
    let setups = listen.iter().enumerate().map(setup).collect();
    let clock = Clock::start();
    let running = Running::start(&common, setups, listen, clock)?;
    let mut course = Course::new(plan, script, traffic, clock.now());
    watch(&running, &mut course)?;
    let resident_bytes = usage::resident_bytes().saturating_sub(resident);
    let cpu = running.end()?;
    Ok(course.figures(Usage {
        cpu,
        resident_bytes,
    }))
}

/// Follows the course to its end.
fn watch(running: &Running, course: &mut Course) -> Result<(), SimulatedFleetError> {
    loop {
        let now = running.clock.now();
        let left = course.ends().map_or(LOOK_EVERY, |end| end - now.min(end));
        match running.observations.recv_timeout(left.min(LOOK_EVERY)) {
            Ok(observation) => course.note(&observation),
            Err(RecvTimeoutError::Timeout) => {}
            // A thread has ended too early; its error is told when it is joined.
            Err(RecvTimeoutError::Disconnected) => return Ok(()),
        }
        running
            .observations
            .try_iter()
            .for_each(|observation| course.note(&observation));
        let now = running.clock.now();
        if course.look(now) {
            course.begin(now);
            running.begin(now);
        }
        if course.ends().is_some_and(|end| now >= end) {
            return Ok(());
        }
    }
}
