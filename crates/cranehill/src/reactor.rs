//! The mio loop: carries out what the core asks for, and tells it what came of it. One thread, no blocking
//! but in the poll. Everything decided is decided in the core; here are connections, bytes and clocks.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use tansycroft::Time;
use tansycroft::api::{EndpointId, Status};

use crate::closing::{self, Reports};
use crate::config::Site;
use crate::core::{Attempt, AttemptEnd, Core, Effect, Input, Listing, Origin};
use crate::directory;
use crate::http;
use crate::ledger::Ledger;
use crate::link::{ANSWER_MOST, Clock, Link, Out, Role};
use crate::partners::{self, Told, Verdict};
use crate::webpush::{self, Push};
use crate::{clients, core};

const CLIENTS: Token = Token(0);
const PUSHES: Token = Token(1);
/// For the caller's signals.
pub const SIGNALS: Token = Token(2);
const HALT: Token = Token(3);
const FIRST_LINK: usize = 16;
/// How long before a partner closes an idle connection we stop trusting it.
const IDLE_MARGIN: Duration = Duration::from_millis(1000);
/// The platform's front may still send new connections for 400 ms after SIGTERM.
const STOP_ACCEPTING: Duration = Duration::from_millis(450);
/// From here on no new attempts: they could hardly end before the process does.
const STOP_SENDING: Duration = Duration::from_millis(2600);
/// SIGKILL comes at 3.7 s.
const STOP_ALL: Duration = Duration::from_millis(3400);
/// Requests of one client that are dealt with before others have their turn.
const REQUESTS_A_TURN: usize = 32;
/// A client that has begun a request has so long to finish it.
const SLOW_CLIENT: Duration = Duration::from_secs(10);
/// Descriptors kept from clients, for partners, the directory, the ledger and its rewriting.
const KEPT_SOCKETS: usize = 300;

/// What a running sender is made of.
pub struct Setup {
    pub site: Site,
    pub seed: u64,
    /// The folder that lasts, and how many bytes it may hold.
    pub state: Option<(PathBuf, u64)>,
    pub listen: Option<SocketAddr>,
    pub discovery: Option<SocketAddr>,
    pub known_version: u64,
    pub known: Vec<Listing>,
    pub push: Option<webpush::File>,
    pub sockets: usize,
}

pub struct Reactor {
    poll: Poll,
    clock: Clock,
    site: Site,
    core: Core,
    ledger: Option<Ledger>,
    push: Option<Push>,
    clients: Option<TcpListener>,
    pushes: Option<TcpListener>,
    links: BTreeMap<usize, Link>,
    next_link: usize,
    clients_most: usize,
    discovery: Option<SocketAddr>,
    version: u64,
    watch_at: Option<Time>,
    watch_asked: Time,
    reports: Reports,
    report_at: Time,
    wakes: BTreeSet<Time>,
    /// Something has come in since the last turn.
    dirty: bool,
    last_turn: Time,
    stopping: Option<Time>,
    sending_stopped: bool,
    accept_again: Option<Time>,
    /// Connections with more to deal with at the next turn.
    resume: Vec<usize>,
    halted: Arc<AtomicBool>,
}

/// See [`Reactor::halter`].
#[derive(Clone)]
pub struct Halter {
    halted: Arc<AtomicBool>,
    waker: Arc<mio::Waker>,
}

impl Halter {
    pub fn halt(&self) {
        self.halted.store(true, Ordering::Relaxed);
        if let Err(e) = self.waker.wake() {
            log::error!("halt: {e}");
        }
    }
}

fn sockets_error(what: &str, address: SocketAddr, e: io::Error) -> String {
    format!("{what} {address}: {e}")
}

fn shown(listener: &Option<TcpListener>) -> String {
    listener.as_ref().and_then(|l| l.local_addr().ok()).map_or("nowhere".into(), |a| a.to_string())
}

impl Reactor {
    /// Takes up what the ledger holds, then listens.
    pub fn new(setup: Setup) -> Result<Reactor, String> {
        let Setup { mut site, seed, state, listen, discovery, known_version, known, push, sockets } = setup;
        let poll = Poll::new().map_err(|e| format!("poll: {e}"))?;
        let clock = Clock::new();
        let now = clock.now();
        let push_listen = push.as_ref().and_then(webpush::File::listen);
        let push = push.map(|file| Push::new(file, &mut site)).transpose()?;
        let mut core = Core::new(site.settings.clone(), seed, now).map_err(|e| e.to_string())?;
        let mut list = known;
        list.extend(push.iter().flat_map(Push::listings));
        core.step(now, Input::Listed { whole: true, list });
        let (mut ledger, mut recovered) = (None, Vec::new());
        if let Some((dir, disk)) = state {
            let opened = Ledger::open(&dir, disk).map_err(|e| format!("{}: {e}", dir.display()))?;
            recovered = opened.1;
            ledger = Some(opened.0);
        }
        let found = recovered.len();
        let effects = core.step(now, Input::Recovered(recovered));
        let mut reactor = Reactor {
            poll,
            clock,
            site,
            core,
            ledger,
            push,
            clients: None,
            pushes: None,
            links: BTreeMap::new(),
            next_link: FIRST_LINK,
            clients_most: sockets.saturating_sub(KEPT_SOCKETS).max(16),
            discovery,
            version: known_version,
            watch_at: discovery.map(|_| now),
            watch_asked: now,
            reports: Reports::default(),
            report_at: now,
            wakes: BTreeSet::new(),
            dirty: true,
            last_turn: Time(0),
            stopping: None,
            sending_stopped: false,
            accept_again: None,
            resume: Vec::new(),
            halted: Arc::default(),
        };
        reactor.carry_out(effects);
        reactor.rewrite_ledger();
        let (held, reports) = reactor.core.owed();
        log::info!("started: {found} records in the ledger, {held} notices held, {reports} reports due");
        if let Some(address) = listen {
            reactor.clients = Some(reactor.listen(address, CLIENTS)?);
            log::info!("listening for clients at {}", shown(&reactor.clients));
        }
        if let Some(address) = push_listen {
            reactor.pushes = Some(reactor.listen(address, PUSHES)?);
            log::info!("listening for Web Push at {}", shown(&reactor.pushes));
        }
        Ok(reactor)
    }

    fn listen(&self, address: SocketAddr, token: Token) -> Result<TcpListener, String> {
        let mut listener = TcpListener::bind(address).map_err(|e| sockets_error("listen", address, e))?;
        let registry = self.poll.registry();
        registry
            .register(&mut listener, token, Interest::READABLE)
            .map_err(|e| sockets_error("listen", address, e))?;
        Ok(listener)
    }

    /// Where clients, and where app partners, reach this sender.
    pub fn addresses(&self) -> (Option<SocketAddr>, Option<SocketAddr>) {
        let at = |l: &Option<TcpListener>| l.as_ref().and_then(|l| l.local_addr().ok());
        (at(&self.clients), at(&self.pushes))
    }

    pub fn registry(&self) -> &mio::Registry {
        self.poll.registry()
    }

    /// A handle that ends [`Reactor::run`] from another thread, at once and without the steps of a SIGTERM.
    pub fn halter(&self) -> io::Result<Halter> {
        let waker = mio::Waker::new(self.poll.registry(), HALT)?;
        Ok(Halter { halted: self.halted.clone(), waker: Arc::new(waker) })
    }

    /// Begins the end: as on SIGTERM.
    pub fn stop(&mut self) {
        if self.stopping.is_none() {
            let (held, reports) = self.core.owed();
            log::info!("stopping: {held} notices held, {reports} reports due");
            self.stopping = Some(self.clock.now());
        }
    }

    /// Serves until stopped. `signalled` is asked after each wake-up whether to stop.
    pub fn run(&mut self, mut signalled: impl FnMut() -> bool) -> io::Result<()> {
        let mut events = Events::with_capacity(512);
        loop {
            if signalled() {
                self.stop();
            }
            if self.halted.load(Ordering::Relaxed) {
                return Ok(());
            }
            if self.turn(&mut events)? {
                let (held, reports) = self.core.owed();
                let breaches = self.core.breaches;
                log::info!("stopped: {held} notices and {reports} reports left to the ledger; {breaches:?}");
                return Ok(());
            }
        }
    }

    /// Waits for something to happen and deals with it; true once all is over.
    fn turn(&mut self, events: &mut Events) -> io::Result<bool> {
        let now = self.clock.now();
        let wait = self.next_due(now).map(|t| t - now);
        match self.poll.poll(events, wait.map(|w| w + Duration::from_micros(50))) {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            other => other?,
        }
        let tokens: Vec<Token> = events.iter().map(|e| e.token()).collect();
        for token in tokens {
            match token {
                CLIENTS | PUSHES => self.accept(token),
                SIGNALS | HALT => {}
                Token(link) => self.pump(link),
            }
        }
        for link in std::mem::take(&mut self.resume) {
            self.pump(link);
        }
        self.timers();
        let now = self.clock.now();
        // The decisions run once a tick, as in the simulator: what comes in together is decided together.
        if self.dirty && now - self.last_turn >= self.site.settings.tick {
            self.last_turn = now;
            self.dirty = false;
            let effects = self.core.step(now, Input::TurnOver);
            self.carry_out(effects);
        }
        self.send_reports();
        Ok(self.wind_down())
    }

    fn next_due(&self, now: Time) -> Option<Time> {
        let mut next: Option<Time> = None;
        let mut consider = |t: Time| next = Some(next.map_or(t, |n| n.min(t)));
        if self.dirty {
            consider(self.last_turn + self.site.settings.tick);
        }
        if !self.resume.is_empty() {
            consider(now);
        }
        self.wakes.first().copied().into_iter().for_each(&mut consider);
        self.watch_at.into_iter().chain(self.accept_again).for_each(&mut consider);
        if self.reports.ready() {
            consider(self.report_at);
        }
        for link in self.links.values() {
            self.link_due(link).into_iter().for_each(&mut consider);
        }
        if let Some(since) = self.stopping {
            consider((now + Duration::from_millis(20)).max(since));
        }
        next.map(|t| t.max(now))
    }

    /// When a connection needs attention though nothing happens on it.
    fn link_due(&self, link: &Link) -> Option<Time> {
        let set = &self.site.settings;
        match &link.role {
            Role::Partner { call: Some(call), .. } => {
                let first = call.attempts.iter().map(|a| a.until).min();
                let connect = (!link.up).then(|| call.started + set.connect_timeout);
                first.into_iter().chain(connect).min()
            }
            Role::Partner { check: Some(at), .. } => Some(*at + set.connect_timeout),
            Role::Partner { .. } => Some(link.used + self.idle_limit()),
            Role::Directory => Some(link.used + directory::OVERDUE),
            Role::Closing if !self.reports.idle() => Some(link.used + closing::OVERDUE),
            Role::Client { busy: false } | Role::Pusher { busy: None, .. } if !link.input.is_empty() => {
                Some(link.used + SLOW_CLIENT)
            }
            Role::Client { .. } | Role::Pusher { .. } | Role::Closing => None,
        }
    }

    fn idle_limit(&self) -> Duration {
        let limit = self.site.settings.conn_idle;
        limit.saturating_sub(IDLE_MARGIN).max(limit / 2)
    }

    fn step(&mut self, input: Input) {
        self.dirty = true;
        let effects = self.core.step(self.clock.now(), input);
        self.carry_out(effects);
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Keep(records) => {
                    let kept = match self.ledger.as_mut().map_or(Ok(()), |l| l.append(&records)) {
                        Ok(()) => true,
                        Err(e) => {
                            log::error!("ledger: {} records not written: {e}", records.len());
                            false
                        }
                    };
                    // What could not be kept has ended in the core: another turn must take that in.
                    self.dirty |= !kept;
                    let effects = self.core.step(self.clock.now(), Input::Kept(kept));
                    self.carry_out(effects);
                    if self.ledger.as_ref().is_some_and(Ledger::wants_rewrite) {
                        self.rewrite_ledger();
                    }
                }
                Effect::Answer { to: Origin::Client(link), answer, .. } => {
                    self.answer(link, clients::answer(answer));
                }
                Effect::Answer { to: Origin::Waiting(link), id, answer } => {
                    self.answer(link, webpush::answer(answer, &id));
                }
                Effect::Answer { to: Origin::Ledger, .. } => {}
                Effect::Call { endpoint, address, attempts } => self.call(endpoint, address, attempts),
                Effect::Report { id, closing } => self.reports.add(id, closing),
                Effect::HoldBack { endpoints } => self.hold_back(&endpoints),
                Effect::CloseIdle(endpoint) => self.close_idle(&endpoint),
                Effect::Check { endpoint, address } => self.check(endpoint, address),
                Effect::WakeAt(at) => {
                    self.wakes.insert(at);
                }
            }
        }
    }

    fn rewrite_ledger(&mut self) {
        if let Some(ledger) = &mut self.ledger
            && let Err(e) = ledger.rewrite(&self.core.snapshot())
        {
            log::error!("ledger: not rewritten: {e}");
        }
    }

    fn add_link(&mut self, mut stream: TcpStream, role: Role, up: bool) -> io::Result<usize> {
        let link = self.next_link;
        self.next_link += 1;
        self.poll.registry().register(&mut stream, Token(link), Interest::READABLE | Interest::WRITABLE)?;
        let now = self.clock.now();
        let _ = stream.set_nodelay(true);
        self.links.insert(
            link,
            Link {
                stream,
                role,
                input: Vec::new(),
                output: Vec::new(),
                written: 0,
                up,
                ended: false,
                used: now,
                close_after: false,
            },
        );
        Ok(link)
    }

    fn drop_link(&mut self, link: usize) -> Option<Link> {
        let mut link = self.links.remove(&link)?;
        let _ = self.poll.registry().deregister(&mut link.stream);
        Some(link)
    }

    fn accept(&mut self, token: Token) {
        loop {
            let listener = if token == CLIENTS { &self.clients } else { &self.pushes };
            let Some(listener) = listener else { return };
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {
                    continue;
                }
                Err(e) => {
                    // Out of descriptors: what waits is asked for again, since no event will tell.
                    log::error!("accept: {e}");
                    self.accept_again = Some(self.clock.now() + Duration::from_millis(50));
                    return;
                }
            };
            let from_clients = |l: &&Link| matches!(l.role, Role::Client { .. } | Role::Pusher { .. });
            if self.links.values().filter(from_clients).count() >= self.clients_most {
                log::warn!("accept: {} client connections are open; one more is closed", self.clients_most);
                continue;
            }
            let role = match token {
                CLIENTS => Role::Client { busy: false },
                _ => Role::Pusher { busy: None, close: false },
            };
            match self.add_link(stream, role, true) {
                Ok(link) => self.pump(link),
                Err(e) => log::error!("accept: {e}"),
            }
        }
    }

    /// Moves bytes on a connection and deals with what has come.
    fn pump(&mut self, id: usize) {
        let Some(link) = self.links.get_mut(&id) else { return };
        match link.check_up() {
            Ok(true) => {}
            Ok(false) => return,
            Err(e) => return self.broken(id, &e.to_string()),
        }
        let flushed = link.flush();
        let before = link.input.len();
        link.fill();
        if link.input.len() > before && !matches!(link.role, Role::Directory) {
            link.used = self.clock.now();
        }
        match link.role {
            Role::Client { .. } => self.on_client(id),
            Role::Pusher { .. } => self.on_pusher(id),
            Role::Partner { .. } => self.on_partner(id, !flushed),
            Role::Directory | Role::Closing => self.on_platform(id, !flushed),
        }
    }

    fn answer(&mut self, id: usize, bytes: Vec<u8>) {
        let Some(link) = self.links.get_mut(&id) else { return };
        match &mut link.role {
            Role::Client { busy } => *busy = false,
            Role::Pusher { busy, close } => {
                *busy = None;
                link.close_after |= *close;
            }
            _ => return,
        }
        // At the end of the process a connection closes between requests.
        link.close_after |= self.clients.is_none() && self.pushes.is_none();
        self.say(id, &bytes);
        // Not dealt with here: a client that pipelines what is answered at once would have us call ourselves
        // until the stack is full.
        self.resume.push(id);
    }

    /// Queues bytes and writes what goes at once.
    fn say(&mut self, id: usize, bytes: &[u8]) {
        let now = self.clock.now();
        let Some(link) = self.links.get_mut(&id) else { return };
        if link.written_out() {
            link.output.clear();
            link.written = 0;
        }
        link.output.extend_from_slice(bytes);
        link.used = now;
        if !link.flush() {
            link.ended = true;
        }
    }

    fn on_client(&mut self, id: usize) {
        for _ in 0..REQUESTS_A_TURN {
            let Some(link) = self.links.get_mut(&id) else { return };
            let written = link.written_out();
            let Role::Client { busy } = &mut link.role else { return };
            if *busy || !written {
                return;
            }
            if link.close_after {
                self.drop_link(id);
                return;
            }
            let parsed = clients::parse(&link.input);
            let request = match parsed {
                Ok(Some((request, used))) => {
                    link.input.drain(..used);
                    request
                }
                Ok(None) if link.ended || link.input.len() >= clients::REQUEST_MOST => {
                    self.drop_link(id);
                    return;
                }
                Ok(None) => return,
                Err(clients::Broken(why)) => {
                    log::debug!("client: {why}");
                    link.close_after = true;
                    link.input.clear();
                    self.say(id, &clients::error(why));
                    continue;
                }
            };
            match request {
                clients::Request::Ping => self.say(id, b"+PONG\r\n"),
                clients::Request::Quit => {
                    link.close_after = true;
                    self.say(id, b"+OK\r\n");
                }
                clients::Request::Unknown(why) => self.say(id, &clients::error(why)),
                clients::Request::Put { id: name, names, body } => {
                    // What the ledger can't hold must not be taken on.
                    let room = self.ledger.as_ref().is_none_or(|l| l.has_room(body.len() + 1024));
                    match clients::notice(&self.site, id, name, &names, body) {
                        Ok(notice) if room => {
                            *busy = true;
                            self.step(Input::Handed(notice));
                        }
                        Ok(_) => {
                            log::warn!("ledger: full; a notice is refused");
                            let after = Some(self.site.settings.max_retry_after);
                            self.say(id, &clients::answer(core::Answer::Refused { after }));
                        }
                        Err(why) => self.say(id, &clients::error(why)),
                    }
                }
            }
            // More may have waited for room in the buffer.
            if let Some(link) = self.links.get_mut(&id) {
                link.fill();
            }
        }
        // The rest waits: one client's stream of requests must not keep the others from their turn.
        self.resume.push(id);
    }

    fn on_pusher(&mut self, id: usize) {
        while let Some(link) = self.links.get_mut(&id) {
            let written = link.written_out();
            let Role::Pusher { busy, close } = &mut link.role else { return };
            if let Some(notice) = busy {
                // Whoever waited has left: nobody would hear of the notice's end.
                if link.ended {
                    let notice = std::mem::take(notice);
                    self.drop_link(id);
                    self.step(Input::Withdrawn(notice));
                }
                return;
            }
            if !written {
                return;
            }
            if link.close_after {
                self.drop_link(id);
                return;
            }
            let request = match http::request(&link.input) {
                Ok(Some((request, used))) => {
                    link.input.drain(..used);
                    request
                }
                Ok(None) if link.ended || link.input.len() >= ANSWER_MOST => {
                    self.drop_link(id);
                    return;
                }
                Ok(None) => {
                    // RFC 9110: a client that waits for leave to send its body gets it.
                    let head = String::from_utf8_lossy(&link.input).to_ascii_lowercase();
                    if head.contains("\r\n\r\n")
                        && head.contains("expect: 100-continue")
                        && link.output.is_empty()
                    {
                        self.say(id, b"HTTP/1.1 100 Continue\r\n\r\n");
                    }
                    return;
                }
                Err(wrong) => {
                    link.close_after = true;
                    link.input.clear();
                    let status = if wrong == http::TOO_LARGE { 413 } else { 400 };
                    self.say(id, &webpush::error(status, wrong.0));
                    continue;
                }
            };
            *close = request.close;
            let Some(push) = &mut self.push else { return };
            match push.accept(request, id, &self.site, self.clock.now()) {
                Ok(notice) => {
                    *busy = Some(notice.id.clone());
                    self.step(Input::Handed(notice));
                }
                Err((status, why)) => {
                    link.close_after |= *close;
                    self.say(id, &webpush::error(status, why));
                }
            }
        }
    }

    /// A connection to this endpoint that is free and can be trusted.
    fn free_link(&mut self, endpoint: &EndpointId, address: &str) -> Option<usize> {
        let (now, limit) = (self.clock.now(), self.idle_limit());
        loop {
            let fits = |l: &Link| match &l.role {
                Role::Partner { endpoint: e, address: a, call: None, check: None } => {
                    e == endpoint && a == address && l.up
                }
                _ => false,
            };
            let (&id, link) = self.links.iter().filter(|(_, l)| fits(l)).max_by_key(|(_, l)| l.used)?;
            // One that the other side has closed, or may be about to close, would lose what is written to it.
            let alive = matches!(link.stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
            if alive && !link.ended && now - link.used < limit {
                return Some(id);
            }
            self.drop_link(id);
        }
    }

    fn connect(&mut self, role: Role, address: &str) -> io::Result<usize> {
        let address: SocketAddr = address.parse().map_err(|_| ErrorKind::InvalidInput)?;
        self.add_link(TcpStream::connect(address)?, role, false)
    }

    fn call(&mut self, endpoint: EndpointId, address: String, attempts: Vec<Attempt>) {
        let now = self.clock.now();
        let bytes = match (&mut self.push, attempts.first()) {
            (Some(push), Some(first)) if first.envelope.is_some() => push.call(&address, first, now),
            _ => partners::call(&address, &attempts, now),
        };
        let ids = attempts.iter().map(|a| a.id.clone()).collect();
        let out = Out { attempts, ids, started: now };
        let id = match self.free_link(&endpoint, &address) {
            Some(id) => id,
            None => {
                let role = Role::Partner {
                    endpoint: endpoint.clone(),
                    address: address.clone(),
                    call: None,
                    check: None,
                };
                match self.connect(role, &address) {
                    Ok(id) => id,
                    Err(e) => {
                        log::info!("partner {endpoint} at {address}: {e}");
                        return self.end_call(out, &Told::all(Status::NoConnection));
                    }
                }
            }
        };
        if let Some(link) = self.links.get_mut(&id) {
            if let Role::Partner { call, .. } = &mut link.role {
                *call = Some(out);
            }
            link.output = bytes;
            link.written = 0;
            link.used = now;
        }
        self.pump(id);
    }

    fn check(&mut self, endpoint: EndpointId, address: String) {
        let now = self.clock.now();
        let role = Role::Partner {
            endpoint: endpoint.clone(),
            address: address.clone(),
            call: None,
            check: Some(now),
        };
        match self.connect(role, &address) {
            Ok(id) => {
                if let Some(link) = self.links.get_mut(&id) {
                    link.output = http::write_request("GET", "/health", &address, &[], b"");
                }
            }
            Err(_) => self.step(Input::Checked { endpoint, status: Status::NoConnection }),
        }
    }

    /// Tells the core how a call ended.
    fn end_call(&mut self, out: Out, told: &Told) {
        let now = self.clock.now();
        let mut ends = Vec::new();
        for attempt in out.attempts {
            let place = out.ids.iter().position(|id| *id == attempt.id).unwrap_or(0);
            let Verdict { status, over } = told
                .verdicts
                .get(place)
                .or(told.verdicts.first())
                .copied()
                .unwrap_or(Verdict::of(Status::Error));
            ends.push(AttemptEnd {
                id: attempt.id,
                attempt: attempt.number,
                status,
                over,
                took: now - out.started,
                told_wait: told.wait,
                report: told.report,
            });
        }
        self.step(Input::Ended(ends));
    }

    fn on_partner(&mut self, id: usize, write_broke: bool) {
        let unix_now = Duration::from_nanos(self.clock.now().0);
        let Some(link) = self.links.get_mut(&id) else { return };
        let ended = link.ended || write_broke;
        let written = link.written_out();
        let Role::Partner { endpoint, call, check, .. } = &mut link.role else { return };
        let Some(out) = call else {
            if check.is_some() {
                let status = match http::response(&link.input, ended) {
                    Ok(Some((r, _))) if r.status == 200 => Status::Served,
                    Ok(Some(_)) => Status::Refused,
                    Ok(None) if !ended => return,
                    _ => Status::Reset,
                };
                let endpoint = endpoint.clone();
                self.drop_link(id);
                return self.step(Input::Checked { endpoint, status });
            }
            // Idle: closed by the other side, or talking out of turn.
            if ended || !link.input.is_empty() {
                self.drop_link(id);
            }
            return;
        };
        let push = out.attempts.iter().any(|a| a.envelope.is_some());
        match http::response(&link.input, ended) {
            Ok(Some((response, used))) => {
                let Some(out) = call.take() else { return };
                let ids: Vec<&str> = out.ids.iter().map(String::as_str).collect();
                let told = if push {
                    webpush::read(&response, unix_now)
                } else {
                    partners::read(&response, &ids, unix_now)
                };
                if let Some(wait) = told.wait {
                    log::debug!("partner {endpoint}: told to wait {} ms", wait.as_millis());
                }
                if let [Verdict { status: Status::Rejected, .. }, ..] = told.verdicts[..] {
                    log::error!("partner {endpoint}: answered {} to {}", response.status, out.ids[0]);
                }
                if response.close || ended || !written || link.input.len() > used {
                    self.drop_link(id);
                } else {
                    link.input.clear();
                    link.output.clear();
                    link.written = 0;
                }
                self.end_call(out, &told);
            }
            Ok(None) if !ended => {}
            result => {
                // The first line says it all for one notice; for several, the whole answer would.
                let told = match http::first_line(&link.input) {
                    Some(200) if out.ids.len() == 1 => Told {
                        verdicts: vec![Verdict { status: Status::Served, over: true }],
                        wait: None,
                        report: None,
                    },
                    _ if !written => Told::all(Status::NoConnection),
                    _ => Told::all(Status::Reset),
                };
                log::debug!("partner {endpoint}: call broken off, {result:?}");
                let Some(out) = call.take() else { return };
                self.drop_link(id);
                self.end_call(out, &told);
            }
        }
    }

    /// The connection never came up.
    fn broken(&mut self, id: usize, why: &str) {
        let Some(link) = self.drop_link(id) else { return };
        match link.role {
            Role::Partner { endpoint, call: Some(out), .. } => {
                log::debug!("partner {endpoint}: no connection, {why}");
                self.end_call(out, &Told::all(Status::NoConnection));
            }
            Role::Partner { endpoint, check: Some(_), .. } => {
                self.step(Input::Checked { endpoint, status: Status::NoConnection });
            }
            Role::Directory => self.watch_later(why),
            Role::Closing => self.report_later(),
            Role::Partner { .. } | Role::Client { .. } | Role::Pusher { .. } => {}
        }
    }

    fn watch_later(&mut self, why: &str) {
        log::info!("directory: {why}; the last list is kept");
        self.watch_at = Some(self.clock.now() + directory::AGAIN);
    }

    fn report_later(&mut self) {
        self.reports.lost();
        self.report_at = self.clock.now() + closing::AGAIN;
    }

    fn on_platform(&mut self, id: usize, write_broke: bool) {
        let Some(link) = self.links.get_mut(&id) else { return };
        let ended = link.ended || write_broke;
        let watching = matches!(link.role, Role::Directory);
        match http::response(&link.input, ended) {
            Ok(Some((response, used))) => {
                link.input.drain(..used);
                // A watch that was answered with anything but a list is asked anew on a new connection, later:
                // the old one must not stay behind as a second watch.
                let refused = watching && response.status != 200;
                let reuse = !response.close && !ended && !refused;
                if !reuse {
                    self.drop_link(id);
                }
                if watching {
                    let before = self.version;
                    self.on_list(&response);
                    // A directory that does not hold the watch would have us ask without end; so soon after, the
                    // next watch still continues this one.
                    let now = self.clock.now();
                    if self.version == before && now - self.watch_asked < directory::AGAIN {
                        self.watch_at.get_or_insert(now + directory::AGAIN);
                    }
                    // The next watch goes at once: within 200 ms it continues this one.
                    match (reuse, self.watch_at) {
                        (true, None) => self.watch(Some(id)),
                        (true, Some(_)) => drop(self.drop_link(id)),
                        (false, None) => self.watch_at = Some(self.clock.now()),
                        (false, Some(_)) => {}
                    }
                } else {
                    let told = self.reports.answered(response.status);
                    if told.is_empty() {
                        self.report_at = self.clock.now() + closing::AGAIN;
                    } else {
                        self.step(Input::Reported(told));
                    }
                }
            }
            Ok(None) if !ended => {}
            Ok(None) | Err(_) => {
                self.broken(id, "the connection ended without an answer");
            }
        }
    }

    fn on_list(&mut self, response: &http::Response) {
        let read = directory::read(response).and_then(|list| {
            let (version, whole) = (list.version, list.full);
            list.into_listings(&self.site).map(|list| (version, whole, list))
        });
        match read {
            Ok((version, whole, mut list)) => {
                self.version = version;
                if !list.is_empty() || whole {
                    log::info!(
                        "directory: version {version}, {} endpoints{}",
                        list.len(),
                        if whole { ", all" } else { " changed" }
                    );
                }
                if whole {
                    list.extend(self.push.iter().flat_map(Push::listings));
                }
                self.step(Input::Listed { whole, list });
            }
            Err(why) => self.watch_later(&why),
        }
    }

    fn watch(&mut self, link: Option<usize>) {
        let Some(address) = self.discovery else { return };
        let host = address.to_string();
        let bytes = directory::watch(&host, self.version);
        self.watch_asked = self.clock.now();
        let id = match link {
            Some(id) => id,
            None => match self.connect(Role::Directory, &host) {
                Ok(id) => id,
                Err(e) => return self.watch_later(&e.to_string()),
            },
        };
        self.queue(id, bytes);
    }

    /// Sets a connection's next request; it goes as soon as the connection is up.
    fn queue(&mut self, id: usize, bytes: Vec<u8>) {
        let now = self.clock.now();
        if let Some(link) = self.links.get_mut(&id) {
            (link.output, link.written, link.used) = (bytes, 0, now);
            if link.up && !link.flush() {
                link.ended = true;
            }
        }
    }

    fn send_reports(&mut self) {
        let Some(address) = self.discovery else { return };
        let now = self.clock.now();
        if !self.reports.ready() || now < self.report_at {
            return;
        }
        let host = address.to_string();
        let open =
            self.links.iter().find(|(_, l)| matches!(l.role, Role::Closing) && !l.ended).map(|(&id, _)| id);
        let id = match open {
            Some(id) => id,
            None => match self.connect(Role::Closing, &host) {
                Ok(id) => id,
                Err(e) => {
                    log::info!("closing: {e}");
                    return self.report_later();
                }
            },
        };
        if let Some(bytes) = self.reports.next(&host) {
            self.queue(id, bytes);
        }
    }

    /// Ends calls of which nothing has been written yet: they would arrive inside a told wait, or at an
    /// endpoint that drains or is gone.
    fn hold_back(&mut self, endpoints: &[EndpointId]) {
        let waits = |l: &Link| match &l.role {
            Role::Partner { endpoint, call: Some(_), .. } => l.written == 0 && endpoints.contains(endpoint),
            _ => false,
        };
        let ids: Vec<usize> = self.links.iter().filter(|(_, l)| waits(l)).map(|(&id, _)| id).collect();
        for id in ids {
            let Some(link) = self.links.get_mut(&id) else { continue };
            link.output.clear();
            if let Role::Partner { call, .. } = &mut link.role
                && let Some(out) = call.take()
            {
                self.end_call(out, &Told::all(Status::NotSent));
            }
        }
    }

    fn close_idle(&mut self, endpoint: &EndpointId) {
        let idle = |l: &Link| match &l.role {
            Role::Partner { endpoint: e, call: None, check: None, .. } => e == endpoint,
            _ => false,
        };
        let ids: Vec<usize> = self.links.iter().filter(|(_, l)| idle(l)).map(|(&id, _)| id).collect();
        ids.into_iter().for_each(|id| drop(self.drop_link(id)));
    }

    fn timers(&mut self) {
        let now = self.clock.now();
        if self.accept_again.take_if(|t| *t <= now).is_some() {
            self.accept(CLIENTS);
            self.accept(PUSHES);
        }
        while self.wakes.first().is_some_and(|&t| t <= now) {
            self.wakes.pop_first();
            self.step(Input::Due);
        }
        if self.watch_at.take_if(|t| *t <= now).is_some() {
            self.watch(None);
        }
        let due: Vec<usize> = self
            .links
            .iter()
            .filter(|(_, l)| self.link_due(l).is_some_and(|t| t <= now))
            .map(|(&i, _)| i)
            .collect();
        for id in due {
            self.on_due(id, now);
        }
    }

    fn on_due(&mut self, id: usize, now: Time) {
        // The answer may have come while we were busy.
        self.pump(id);
        let still = self.links.get(&id).is_some_and(|l| self.link_due(l).is_some_and(|t| t <= now));
        let Some(link) = self.links.get_mut(&id).filter(|_| still) else { return };
        let sent = link.up && link.written_out();
        match &mut link.role {
            Role::Partner { call: Some(out), .. } if sent => {
                // A notice that is out of time ends alone; one that may be tried again must not have a copy
                // out, so its call is broken off, with all that it carries.
                let (due, rest): (Vec<Attempt>, Vec<Attempt>) =
                    std::mem::take(&mut out.attempts).into_iter().partition(|a| a.until <= now);
                let alone = !rest.is_empty() && due.iter().all(|a| a.last);
                let ended = if alone {
                    out.attempts = rest;
                    Out { attempts: due, ids: out.ids.clone(), started: out.started }
                } else {
                    let ended = Out {
                        attempts: due.into_iter().chain(rest).collect(),
                        ids: out.ids.clone(),
                        started: out.started,
                    };
                    self.drop_link(id);
                    ended
                };
                if !ended.attempts.is_empty() {
                    self.end_call(ended, &Told::all(Status::TimedOut));
                }
            }
            Role::Partner { call: Some(_), .. } | Role::Partner { check: Some(_), .. } => {
                self.broken(id, "no answer in time");
            }
            Role::Directory | Role::Closing => self.broken(id, "no answer in time"),
            Role::Partner { .. } | Role::Client { .. } | Role::Pusher { .. } => {
                self.drop_link(id);
            }
        }
    }

    /// The steps from SIGTERM to the end of the process; true at the end.
    fn wind_down(&mut self) -> bool {
        let Some(since) = self.stopping else { return false };
        let passed = self.clock.now() - since;
        if passed < STOP_ACCEPTING {
            return false;
        }
        if self.clients.is_some() || self.pushes.is_some() {
            self.accept(CLIENTS);
            self.accept(PUSHES);
            let listeners = self.clients.take().into_iter().chain(self.pushes.take());
            for mut listener in listeners {
                let _ = self.poll.registry().deregister(&mut listener);
            }
            // Between requests only: what has been read is answered first.
            let ids: Vec<usize> = self.links.keys().copied().collect();
            for id in ids {
                self.pump(id);
                let free = |l: &Link| match l.role {
                    Role::Client { busy } => !busy && l.input.is_empty() && l.written_out(),
                    Role::Pusher { ref busy, .. } => busy.is_none() && l.input.is_empty() && l.written_out(),
                    _ => false,
                };
                if self.links.get(&id).is_some_and(free) {
                    self.drop_link(id);
                }
            }
        }
        if passed >= STOP_SENDING && !self.sending_stopped {
            self.sending_stopped = true;
            self.step(Input::Stopping);
        }
        let (held, reports) = self.core.owed();
        let over = held == 0 && reports == 0
            || self.sending_stopped && self.core.attempts_out() == 0 && reports == 0;
        if !over && passed < STOP_ALL {
            return false;
        }
        // Who still waits here for a notice's end is told to come back; nothing of it was promised.
        let waiting = |l: &Link| matches!(&l.role, Role::Pusher { busy: Some(_), .. });
        let ids: Vec<usize> = self.links.iter().filter(|(_, l)| waiting(l)).map(|(&id, _)| id).collect();
        for id in ids {
            let after = Some(Duration::from_secs(5));
            self.say(id, &webpush::answer(core::Answer::Refused { after }, ""));
        }
        true
    }
}

impl Told {
    fn all(status: Status) -> Told {
        Told { verdicts: vec![Verdict::of(status)], wait: None, report: None }
    }
}
