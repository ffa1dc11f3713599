//! The memory that clients' input takes, over sockets of which the test owns both ends. The time is an input.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};

use cranehill_core::Input;

use super::*;
use crate::client_memory::SMALL_INPUT_BYTES;
use crate::clock::Clock;
use crate::webpush::{WebPushGateway, parse_file};

const CLIENTS: usize = 24;
/// Memory of the process: of it, an eighth has room for two large requests.
const MEMORY_BYTES: usize = 16 * MAX_HTTP_MESSAGE_BYTES;
const LARGE_BODY_BYTES: usize = 60_000;
/// A push service at which nothing listens.
const WEB_PUSH_FILE: &str = r#"
    [[upstream]]
    name = "app"
    [[upstream.server]]
    address = "127.0.0.1:1"
    [[location]]
    path = "/push/"
    upstream = "app"
"#;

/// Client connections of the sender, and the ends of the clients.
struct Fixture {
    platform_settings: PlatformSettings,
    core: Core,
    journal: JournalWriter,
    gateway: WebPushGateway,
    ingress: ClientIngress,
    connections: ConnectionTable,
    ids: Vec<usize>,
    clients: Vec<TcpStream>,
    clock: Clock,
}

impl Fixture {
    fn new(kind: impl Fn() -> ConnectionKind) -> Fixture {
        let clock = Clock::new();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address");
        let mut platform_settings = webpush::standalone_settings();
        let file = parse_file(WEB_PUSH_FILE).expect("a Web Push file");
        let gateway = WebPushGateway::new(file, &mut platform_settings).expect("a gateway");
        let settings = platform_settings.settings.clone();
        let mut fixture = Fixture {
            journal: JournalWriter::new(None, settings.tick, clock.now()),
            core: Core::new(settings, 1, clock.now()).expect("settings"),
            platform_settings,
            gateway,
            ingress: ClientIngress::new(CLIENTS, MEMORY_BYTES, clock.now()),
            connections: ConnectionTable::new().expect("a poll"),
            ids: Vec::new(),
            clients: Vec::new(),
            clock,
        };
        for _ in 0..CLIENTS {
            let client = TcpStream::connect(address).expect("connected");
            let (stream, _) = listener.accept().expect("accepted");
            stream.set_nonblocking(true).expect("non-blocking");
            let stream = mio::net::TcpStream::from_std(stream);
            let now = fixture.clock.now();
            let id = fixture.connections.add(stream, kind(), true, now);
            fixture.ids.push(id.expect("registered"));
            fixture.clients.push(client);
        }
        fixture
    }

    fn of_web_push() -> Fixture {
        Fixture::new(|| ConnectionKind::WebPushClient {
            pending: None,
            close: false,
        })
    }

    /// Every client sends these bytes. Loopback takes them whole, so that the sender can read them now.
    fn send_all(&mut self, bytes: &[u8]) {
        for client in &mut self.clients {
            client.write_all(bytes).expect("sent");
        }
    }

    /// Reads every connection as after an event of the poll, and serves it.
    fn serve_all(&mut self, now: Time) {
        for id in self.ids.clone() {
            self.connections.transfer(id, &self.clock);
            while let Progress::MoreReceived = self.serve(id, now) {}
        }
    }

    /// Serves a connection, and passes what is submitted to the core. No tick ends, so that nothing is answered or sent.
    fn serve(&mut self, id: usize, now: Time) -> Progress {
        let admission = Admission {
            platform_settings: &self.platform_settings,
            core: &self.core,
            journal: &mut self.journal,
            draining: false,
            now,
        };
        let gateway = Some(&mut self.gateway);
        let progress = self
            .ingress
            .serve_web_push(&mut self.connections, id, gateway, &admission);
        if let Progress::Submitted(message) = progress {
            self.core.step(now, Input::Submitted(message));
            return Progress::MoreReceived;
        }
        progress
    }

    fn on_room_timeout(&mut self, id: usize, now: Time) -> usize {
        self.ingress
            .on_room_timeout(&mut self.connections, id, &self.core, now)
    }

    fn input_bytes(&self) -> usize {
        let connections = self.connections.values();
        connections
            .map(|connection| connection.input.capacity())
            .sum()
    }

    fn assert_within_memory(&self) {
        let limit = MEMORY_BYTES / 8 + CLIENTS * SMALL_INPUT_BYTES;
        let held = self.input_bytes();
        assert!(held <= limit, "{held} bytes of input, limit {limit}");
    }

    /// Connections that hold more than a small part of a request.
    fn large_inputs(&self) -> Vec<usize> {
        let is_large = |connection: &Connection| connection.input.len() > SMALL_INPUT_BYTES;
        self.connections.ids(is_large)
    }
}

fn post(body_bytes: usize) -> Vec<u8> {
    let head = format!("POST /push/a HTTP/1.1\r\nTTL: 20\r\nContent-Length: {body_bytes}\r\n\r\n");
    [head.as_bytes(), &vec![b'x'; body_bytes]].concat()
}

/// Guards the sender's memory against clients that send further large requests while one is in progress (review/8).
#[test]
fn requests_behind_one_in_progress_stay_in_the_kernel() {
    let mut fixture = Fixture::new(|| ConnectionKind::Client { busy: true });
    fixture.send_all(&[b'x'; 2 * LARGE_BODY_BYTES]);
    for id in fixture.ids.clone() {
        fixture.connections.transfer(id, &fixture.clock);
    }
    let held = fixture.input_bytes();
    assert!(held <= CLIENTS * SMALL_INPUT_BYTES, "{held} bytes of input");
}

/// Guards the sender's memory against many clients that stop in the middle of a large request: those beyond the limit wait, and
/// small requests are read all the same.
#[test]
fn incomplete_large_requests_keep_to_the_memory_of_clients() {
    let mut fixture = Fixture::of_web_push();
    let large = post(LARGE_BODY_BYTES);
    fixture.send_all(&large[..LARGE_BODY_BYTES / 2]);
    let now = fixture.clock.now();
    fixture.serve_all(now);
    fixture.assert_within_memory();
    assert_eq!(fixture.large_inputs(), fixture.ids[..2], "the first two");
    fixture.send_all(&large[LARGE_BODY_BYTES / 2..]);
    for _ in 0..CLIENTS {
        fixture.serve_all(now);
        fixture.assert_within_memory();
        fixture.ingress.grant_room(&mut fixture.connections, now);
    }
    assert_eq!(fixture.input_bytes(), 0, "all were read in turn");
}

/// Guards clients that wait for room against those that hold it and send nothing: after a while these are rejected. A slow request that
/// goes on is not; then the one that waits is rejected.
#[test]
fn stalled_large_request_makes_room_for_one_that_waits() {
    let mut fixture = Fixture::of_web_push();
    fixture.send_all(&post(LARGE_BODY_BYTES)[..LARGE_BODY_BYTES / 2]);
    let begun = fixture.clock.now();
    fixture.serve_all(begun);
    let (slow, holder, waiting) = (fixture.ids[0], fixture.ids[1], fixture.ids[2]);
    let early = begun + ROOM_TIMEOUT / 2;
    let rejected = fixture.on_room_timeout(waiting, early);
    assert_eq!(rejected, waiting, "no request has held room for long");
    let late = fixture.clock.now() + ROOM_TIMEOUT;
    fixture.clients[0].write_all(b"x").expect("sent");
    fixture.serve(slow, late);
    let rejected = fixture.on_room_timeout(waiting, late);
    assert_eq!(rejected, holder, "the one without progress");
    begin_close(&mut fixture.connections, holder, late);
    fixture.ingress.grant_room(&mut fixture.connections, late);
    fixture.serve_all(late);
    assert_eq!(fixture.large_inputs(), [slow, waiting]);
    let client = &mut fixture.clients[1];
    client.shutdown(Shutdown::Write).expect("shut down");
    let mut answer = [0; 64];
    let length = client.read(&mut answer).expect("an answer");
    assert!(answer[..length].starts_with(b"HTTP/1.1 503 "));
}

/// Guards the sender's memory against posts that wait for a silent push service: their bodies have a limit, beyond which posts are
/// rejected at once.
#[test]
fn bodies_of_pending_posts_have_a_limit() {
    let mut fixture = Fixture::of_web_push();
    fixture.send_all(&post(LARGE_BODY_BYTES));
    let now = fixture.clock.now();
    for _ in 0..CLIENTS {
        fixture.serve_all(now);
        fixture.ingress.grant_room(&mut fixture.connections, now);
    }
    let fitting = MEMORY_BYTES / 4 / LARGE_BODY_BYTES;
    assert_eq!(fixture.core.pending_and_report_counts().0, fitting);
    assert_eq!(
        fixture.core.pending_body_bytes(),
        fitting * LARGE_BODY_BYTES
    );
    let mut answer = [0; 64];
    let client = fixture.clients.last_mut().expect("clients");
    let length = client.read(&mut answer).expect("an answer");
    assert!(answer[..length].starts_with(b"HTTP/1.1 503 "));
}

/// Guards the room of clients that leave: it is given back however a connection ends.
#[test]
fn room_is_given_back_when_clients_leave() {
    let mut fixture = Fixture::of_web_push();
    fixture.send_all(&post(LARGE_BODY_BYTES)[..LARGE_BODY_BYTES / 2]);
    let now = fixture.clock.now();
    fixture.serve_all(now);
    for id in fixture.ids.clone() {
        fixture.connections.close(id);
    }
    fixture.ingress.grant_room(&mut fixture.connections, now);
    assert_eq!(fixture.ingress.memory.reserved_bytes(), 0);
    assert_eq!(fixture.ingress.memory.queue_length(), 0);
}
