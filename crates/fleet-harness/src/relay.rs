//! The relay: one thread with a socket for each way, between every two senders (UDP) and between each sender and each
//! endpoint (TCP). It breaks ways as the day says.
//!
//! A sender's packets are known by the address that they come from, the way by the address that they go to: one socket
//! for each receiver serves all pairs. What arrives comes from the relay; members go by what a packet says, not by its
//! source. A cut connection is silent, as when a machine is cut off, and reset once the way is whole again.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use cranehill_scenario_runner::Network;
use cranehill_simulation::fleet::{NetworkFault, PathFault};
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Events, Interest, Poll, Token, Waker};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use socket2::SockRef;

use crate::path_faults::{PacketOutcome, outcome};

const WAKE: Token = Token(0);
/// What TCP waits at least before it sends a lost segment again (RFC 6298, as Linux has it).
const SENT_AGAIN: Duration = Duration::from_millis(200);
const PACKET_MOST: usize = 2048;
/// Bytes that one side of a connection may be ahead of the other.
const AHEAD_MOST: usize = 256 * 1024;

/// What passed, by sender.
#[derive(Clone, Debug, Default)]
pub struct Passed {
    /// Packets and bytes that a sender sent to others.
    pub packets: Vec<u64>,
    pub bytes: Vec<u64>,
    /// Packets that were lost on a broken way.
    pub lost: u64,
}

enum Order {
    Udp {
        socket: UdpSocket,
        to: usize,
        real: SocketAddr,
    },
    Tcp {
        listener: TcpListener,
        sender: usize,
        zone: usize,
        real: SocketAddr,
    },
    Begin(Instant),
    End,
}

/// Both ends of it: the rig holds this one, the thread the other.
pub struct Relay {
    orders: Sender<Order>,
    waker: Arc<Waker>,
    thread: Option<JoinHandle<()>>,
    passed: Arc<Mutex<Passed>>,
    listeners: u32,
}

impl Relay {
    /// Starts the thread.
    pub fn start(
        senders: usize,
        network_faults: Vec<NetworkFault>,
        seed: u64,
    ) -> io::Result<Relay> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        let (orders, heard) = channel();
        let none = || vec![0; senders];
        let passed = Arc::new(Mutex::new(Passed {
            packets: none(),
            bytes: none(),
            lost: 0,
        }));
        let mut works = Works {
            poll,
            orders: heard,
            network_faults,
            begun: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next: 1,
            path_faults: HashMap::new(),
            by_source: HashMap::new(),
            later: BinaryHeap::new(),
            numbered: 0,
            passed: Arc::clone(&passed),
        };
        let thread = std::thread::spawn(move || {
            if let Err(e) = works.run() {
                log::error!("relay: {e}");
            }
        });
        Ok(Relay {
            orders,
            waker,
            thread: Some(thread),
            passed,
            listeners: 0,
        })
    }

    pub fn passed(&self) -> Passed {
        self.passed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn say(&self, order: Order) -> io::Result<()> {
        self.orders
            .send(order)
            .map_err(|_| io::Error::other("the relay has ended"))?;
        self.waker.wake()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.say(Order::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Network for Relay {
    fn destination_address(
        &mut self,
        sender: usize,
        zone: usize,
        real: SocketAddr,
    ) -> io::Result<SocketAddr> {
        // Spread over addresses: no one of them runs out of ports.
        self.listeners += 1;
        let ip = Ipv4Addr::new(127, 2, (self.listeners % 250) as u8, 1);
        let listener = TcpListener::bind(SocketAddr::from((ip, 0)))?;
        let at = listener.local_addr()?;
        self.say(Order::Tcp {
            listener,
            sender,
            zone,
            real,
        })?;
        Ok(at)
    }

    fn sender_address(&mut self, sender: usize, real: SocketAddr) -> io::Result<SocketAddr> {
        let ip = Ipv4Addr::new(127, 3, (sender / 250) as u8, 1 + (sender % 250) as u8);
        let socket = UdpSocket::bind(SocketAddr::from((ip, 0)))?;
        let at = socket.local_addr()?;
        self.say(Order::Udp {
            socket,
            to: sender,
            real,
        })?;
        Ok(at)
    }

    fn begin(&mut self, at: Instant) {
        let _ = self.say(Order::Begin(at));
    }
}

/// One direction of a connection.
#[derive(Default)]
struct Flow {
    /// What waits, and until when.
    waiting: VecDeque<(Duration, Vec<u8>)>,
    ahead: usize,
    ended: bool,
}

struct Pair {
    sender: usize,
    /// Of the endpoint.
    zone: usize,
    /// The token of the destination's side.
    second: usize,
    /// The sender's side and the destination's.
    sides: [TcpStream; 2],
    /// From the sender to the destination, and back.
    flows: [Flow; 2],
    /// Cut off at some time: it ends with the cut.
    cut: bool,
}

enum Kind {
    Packets {
        socket: UdpSocket,
        to: usize,
        real: SocketAddr,
    },
    Ingress {
        listener: TcpListener,
        sender: usize,
        zone: usize,
        real: SocketAddr,
    },
    /// Both tokens of a pair lead to the place of the first.
    Pair(Box<Pair>),
    Other(usize),
}

enum Later {
    Packet { path_fault: usize, bytes: Vec<u8> },
    Pump(usize),
    Edge,
}

struct Works {
    poll: Poll,
    orders: Receiver<Order>,
    network_faults: Vec<NetworkFault>,
    begun: Option<Instant>,
    rng: ChaCha8Rng,
    next: usize,
    path_faults: HashMap<usize, Kind>,
    by_source: HashMap<SocketAddr, usize>,
    /// By time and number: places in `parked`.
    later: BinaryHeap<Reverse<(Duration, u64, Parked)>>,
    numbered: u64,
    passed: Arc<Mutex<Passed>>,
}

/// Ordered by what stands before it alone.
struct Parked(Later);

impl PartialEq for Parked {
    fn eq(&self, _: &Parked) -> bool {
        true
    }
}
impl Eq for Parked {}
impl PartialOrd for Parked {
    fn partial_cmp(&self, other: &Parked) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Parked {
    fn cmp(&self, _: &Parked) -> std::cmp::Ordering {
        std::cmp::Ordering::Equal
    }
}

impl Works {
    fn now(&self) -> Option<Duration> {
        self.begun.map(|b| b.elapsed())
    }

    fn park(&mut self, at: Duration, later: Later) {
        self.numbered += 1;
        self.later.push(Reverse((at, self.numbered, Parked(later))));
    }

    fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        loop {
            let now = self.now().unwrap_or_default();
            let next = self
                .later
                .peek()
                .map(|Reverse((at, ..))| at.saturating_sub(now));
            match self.poll.poll(&mut events, next) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                other => other?,
            }
            let tokens: Vec<usize> = events.iter().map(|e| e.token().0).collect();
            for token in tokens {
                match token {
                    0 => {
                        if !self.obey()? {
                            return Ok(());
                        }
                    }
                    token => self.on_event(token),
                }
            }
            while let Some(now) = self.now()
                && self
                    .later
                    .peek()
                    .is_some_and(|Reverse((at, ..))| *at <= now)
            {
                let Some(Reverse((_, _, Parked(later)))) = self.later.pop() else {
                    break;
                };
                match later {
                    Later::Packet { path_fault, bytes } => self.deliver(path_fault, &bytes),
                    Later::Pump(pair) => self.pump(pair),
                    Later::Edge => self.edge(now),
                }
            }
        }
    }

    /// False at the end.
    fn obey(&mut self) -> io::Result<bool> {
        while let Ok(order) = self.orders.try_recv() {
            match order {
                Order::Udp {
                    mut socket,
                    to,
                    real,
                } => {
                    let token = self.token();
                    self.poll
                        .registry()
                        .register(&mut socket, Token(token), Interest::READABLE)?;
                    self.by_source.insert(real, to);
                    self.path_faults
                        .insert(token, Kind::Packets { socket, to, real });
                    // It may have come before it was watched.
                    self.on_event(token);
                }
                Order::Tcp {
                    mut listener,
                    sender,
                    zone,
                    real,
                } => {
                    let token = self.token();
                    self.poll.registry().register(
                        &mut listener,
                        Token(token),
                        Interest::READABLE,
                    )?;
                    self.path_faults.insert(
                        token,
                        Kind::Ingress {
                            listener,
                            sender,
                            zone,
                            real,
                        },
                    );
                }
                Order::Begin(at) => {
                    self.begun = Some(at);
                    let edges: Vec<Duration> = self
                        .network_faults
                        .iter()
                        .flat_map(|b| [b.at, b.until])
                        .collect();
                    edges.into_iter().for_each(|at| self.park(at, Later::Edge));
                }
                Order::End => return Ok(false),
            }
        }
        Ok(true)
    }

    fn token(&mut self) -> usize {
        self.next += 1;
        self.next - 1
    }

    fn on_event(&mut self, token: usize) {
        match self.path_faults.get(&token) {
            Some(Kind::Packets { .. }) => self.packets(token),
            Some(Kind::Ingress { .. }) => self.accept(token),
            Some(Kind::Pair(_)) => self.pump(token),
            Some(Kind::Other(first)) => self.pump(*first),
            None => {}
        }
    }

    // Between senders.

    fn packets(&mut self, path_fault: usize) {
        let mut bytes = [0; PACKET_MOST];
        loop {
            let Some(Kind::Packets { socket, to, .. }) = self.path_faults.get(&path_fault) else {
                return;
            };
            let (len, source) = match socket.recv_from(&mut bytes) {
                Ok(got) => got,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // Nobody listened where an earlier packet went.
                Err(_) => continue,
            };
            let to = *to;
            let Some(&from) = self.by_source.get(&source) else {
                continue;
            };
            {
                let mut passed = self.passed.lock().unwrap_or_else(PoisonError::into_inner);
                passed.packets[from] += 1;
                passed.bytes[from] += len as u64;
            }
            match self.packet_outcome(from, to) {
                PacketOutcome::Lost => {
                    self.passed
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .lost += 1
                }
                PacketOutcome::Through { at } if at.is_zero() => {
                    self.deliver(path_fault, &bytes[..len])
                }
                PacketOutcome::Through { at } => self.park(
                    at,
                    Later::Packet {
                        path_fault,
                        bytes: bytes[..len].to_vec(),
                    },
                ),
            }
        }
    }

    fn packet_outcome(&mut self, from: usize, to: usize) -> PacketOutcome {
        match self.now() {
            Some(now) => outcome(&self.network_faults, from, to, now, &mut self.rng),
            None => PacketOutcome::Through { at: Duration::ZERO },
        }
    }

    fn deliver(&mut self, path_fault: usize, bytes: &[u8]) {
        if let Some(Kind::Packets { socket, real, .. }) = self.path_faults.get(&path_fault) {
            // To one that is not there it is lost.
            let _ = socket.send_to(bytes, *real);
        }
    }

    // Between senders and destinations.

    fn accept(&mut self, client_ingress: usize) {
        loop {
            let Some(Kind::Ingress {
                listener,
                sender,
                zone,
                real,
            }) = self.path_faults.get(&client_ingress)
            else {
                return;
            };
            let (sender, zone, real) = (*sender, *zone, *real);
            let near = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) =>
                {
                    continue;
                }
                Err(_) => return,
            };
            let Ok(far) = TcpStream::connect(real) else {
                continue;
            };
            let (first, second) = (self.token(), self.token());
            let mut sides = [near, far];
            let watched = sides.iter_mut().zip([first, second]).all(|(side, token)| {
                let _ = side.set_nodelay(true);
                let interest = Interest::READABLE | Interest::WRITABLE;
                self.poll
                    .registry()
                    .register(side, Token(token), interest)
                    .is_ok()
            });
            if !watched {
                continue;
            }
            let cut = self.now().is_some_and(|now| self.cut(sender, zone, now));
            let flows = [Flow::default(), Flow::default()];
            self.path_faults.insert(
                first,
                Kind::Pair(Box::new(Pair {
                    sender,
                    zone,
                    second,
                    sides,
                    flows,
                    cut,
                })),
            );
            self.path_faults.insert(second, Kind::Other(first));
            self.pump(first);
        }
    }

    fn cut(&self, sender: usize, zone: usize, now: Duration) -> bool {
        self.network_faults.iter().any(|b| {
            b.path_fault == PathFault::Cut && b.is_on(now) && b.at_destinations(sender, zone, false)
        })
    }

    /// Until when a piece is held on its way, in one direction.
    fn held(&mut self, sender: usize, zone: usize, back: bool) -> Duration {
        let Some(now) = self.now() else {
            return Duration::ZERO;
        };
        let mut at = Duration::ZERO;
        for b in self
            .network_faults
            .iter()
            .filter(|b| b.is_on(now) && b.at_destinations(sender, zone, back))
        {
            match b.path_fault {
                PathFault::Cut | PathFault::Stall => at = at.max(b.until),
                PathFault::Delay { by } => at = at.max(now + by),
                PathFault::Drop { share } if self.rng.random_bool(share) => {
                    at = at.max(now + SENT_AGAIN)
                }
                PathFault::Drop { .. } | PathFault::Reset => {}
            }
        }
        at
    }

    fn pump(&mut self, id: usize) {
        let Some(Kind::Pair(mut pair)) = self.path_faults.remove(&id) else {
            return;
        };
        let now = self.now().unwrap_or_default();
        let mut broke = false;
        for back in [false, true] {
            let (from, to) = (usize::from(back), usize::from(!back));
            let mut chunk = [0; 16 * 1024];
            while !pair.flows[from].ended && pair.flows[from].ahead < AHEAD_MOST {
                match pair.sides[from].read(&mut chunk) {
                    Ok(0) => pair.flows[from].ended = true,
                    Ok(n) => {
                        // Nothing overtakes what went before it.
                        let before = pair.flows[from]
                            .waiting
                            .back()
                            .map_or(Duration::ZERO, |w| w.0);
                        let at = self.held(pair.sender, pair.zone, back).max(before);
                        if at > now {
                            self.park(at, Later::Pump(id));
                        }
                        pair.flows[from].ahead += n;
                        pair.flows[from]
                            .waiting
                            .push_back((at, chunk[..n].to_vec()));
                    }
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e)
                        if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) =>
                    {
                        break;
                    }
                    Err(_) => {
                        broke = true;
                        break;
                    }
                }
            }
            let flow = &mut pair.flows[from];
            while let Some((at, bytes)) = flow.waiting.front_mut() {
                if *at > now || pair.cut {
                    break;
                }
                match pair.sides[to].write(bytes) {
                    Ok(n) => {
                        flow.ahead -= n;
                        bytes.drain(..n);
                        if bytes.is_empty() {
                            flow.waiting.pop_front();
                        }
                    }
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e)
                        if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) =>
                    {
                        break;
                    }
                    Err(_) => {
                        broke = true;
                        break;
                    }
                }
            }
        }
        if broke && !pair.cut {
            return self.end_pair(*pair, true);
        }
        // A side that has ended, and whose last bytes are through: the other hears of it.
        let over = pair.flows.iter().any(|f| f.ended && f.waiting.is_empty());
        if over && !pair.cut {
            return self.end_pair(*pair, false);
        }
        self.path_faults.insert(id, Kind::Pair(pair));
    }

    fn end_pair(&mut self, mut pair: Pair, reset: bool) {
        for side in &mut pair.sides {
            let _ = self.poll.registry().deregister(side);
            if reset {
                let _ = SockRef::from(&*side).set_linger(Some(Duration::ZERO));
            }
        }
        self.path_faults.remove(&pair.second);
    }

    /// A break begins or ends.
    fn edge(&mut self, now: Duration) {
        let mut ended = Vec::new();
        let (mut cut, mut whole) = (Vec::new(), Vec::new());
        for (&id, kind) in &self.path_faults {
            let Kind::Pair(pair) = kind else { continue };
            let resets = |b: &NetworkFault| {
                b.path_fault == PathFault::Reset
                    && b.is_on(now)
                    && b.at_destinations(pair.sender, pair.zone, false)
            };
            if self.network_faults.iter().any(resets) {
                ended.push(id);
            } else if self.cut(pair.sender, pair.zone, now) {
                cut.push(id);
            } else if pair.cut {
                whole.push(id);
            }
        }
        for id in cut {
            if let Some(Kind::Pair(pair)) = self.path_faults.get_mut(&id) {
                pair.cut = true;
            }
        }
        for id in ended.into_iter().chain(whole) {
            if let Some(Kind::Pair(pair)) = self.path_faults.remove(&id) {
                self.end_pair(*pair, true);
            }
        }
    }
}
