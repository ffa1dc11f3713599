//! Compatibility with earlier builds: the state files next to the journal, and the exchange by which a running process hands over to
//! a new version, must match the bytes in tests/golden. Each test takes one side against the sender's other side.

#[path = "../../recovery/tests/common/golden_file.rs"]
mod golden_file;

use std::fs::File;
use std::io::{ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use cranehill_daemon::config;
use cranehill_daemon::fleet::Fleet;
use cranehill_daemon::reactor::{Reactor, ReactorOptions, State, StopHandle};
use cranehill_daemon::webpush;
use cranehill_recovery::{MaxAges, decode_state_file, encode_state_file};
use cranehill_scheduler::{LearnedState, Time};
use rustix::fs::{FlockOperation, flock};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};

/// Timeout of all waits; reached only if a test fails.
const TIMEOUT: Duration = Duration::from_secs(10);
const LOCALHOST: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// The bytes that the new process sends: its greeting, and the same bytes as confirmation that it has received everything.
const NEW_TO_OLD: &str = "handover-new-to-old.bin";
const GREETING_LENGTH: usize = 8;
/// The messages of an old process without learned state.
const OLD_TO_NEW: &str = "handover-old-to-new.bin";
/// The first message of an old process with learned state.
const LEARNED_STATE_MESSAGE: &str = "handover-learned-state.bin";
/// Whether each message of `OLD_TO_NEW` comes with a descriptor.
const WITH_DESCRIPTOR: [bool; 7] = [false, true, true, true, true, true, false];
/// The blocked destination in `LEARNED_STATE_MESSAGE`, and until when it is blocked, in Unix nanoseconds. That is in 2100, so it is
/// in the future in every run.
const LEARNED_BLOCKED_UNTIL: (u64, u64) = (7, 4_102_444_800_000_000_000);
const LEARNED_STATE_EMPTY: &str = "learned-state-empty.bin";
const DETACHED: &str = "detached.json";
/// Replaces the time of writing in the golden files, in Unix nanoseconds. It is later than any run, so it is read as the time of
/// that run.
const COMMITTED_TIME: u64 = 4_000_000_000_000_000_000;

/// Three endpoints, among them those that the tests detach.
const CONFIG: &str = r#"{"name":"n0","seed":"1f","limits":{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3},"known":{"version":1,"full":true,"servers":[
{"id":"a/1 %","addr":"127.0.0.1:1","zone":"sanjose-1","kind":"station","cell":7,"state":"up","weight":0.0,"started_ms":0},
{"id":"b","addr":"127.0.0.1:1","zone":"sanjose-1","kind":"station","cell":7,"state":"up","weight":0.0,"started_ms":0},
{"id":"c","addr":"127.0.0.1:1","zone":"sanjose-1","kind":"station","cell":7,"state":"up","weight":0.0,"started_ms":0}]},
"settings":{"classes":[{"aim":4000000000,"deadline":20000000000,"dedupScope":"all","effect":"keyed","lateShare":0.4,"name":"episode-notice","window":20000000000,"worth":1.0}],
"familyInfo":{"callsOut":8,"kindApart":[false,false],"losesWorth":"halving","perCall":[5,1]},"membershipMode":"push","models":["bulk-directory","station"],"nInstances":1,
"policyLimits":{"attemptsCap":6,"connIdle":15000000000,"connectTimeout":1500000000,"maxRetryAfter":2000000000,"mostHeld":64,"probes":true,"retryAfter":true},
"rules":{"cold":9100000000,"coldFrom":0.23,"fall":3000000000,"fallMultiple":1.5,"graceToAnswer":20000000},
"tenants":[{"name":"onda-central","quotaRps":10.0}],"tick":5000000,"weightKind":"rough","zone":0,"zones":["sanjose-1"]}}"#;

/// An empty state folder, which is removed at the end.
struct StateFolder(PathBuf);

impl StateFolder {
    fn new() -> StateFolder {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir =
            std::env::temp_dir().join(format!("cranehill-golden-{}-{number}", std::process::id()));
        std::fs::create_dir(&dir).expect("a new folder");
        StateFolder(dir)
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for StateFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn options(dir: &Path) -> ReactorOptions {
    let var = |name: &str| match name {
        "NODE_LISTEN" | "NODE_DISCOVERY" => Some(LOCALHOST.to_string()),
        "NODE_STATE" => Some("unused".to_owned()),
        _ => None,
    };
    let config = config::parse(CONFIG, var).expect("configuration");
    ReactorOptions {
        platform_settings: config.platform_settings,
        seed: config.seed,
        state: Some(State {
            dir: dir.to_owned(),
            disk: 1_000_000,
            key: None,
        }),
        listen: Some(LOCALHOST),
        discovery: None,
        known_version: config.known_version,
        initial_endpoints: config.known,
        web_push: None,
        fleet: None,
        operator: Some(LOCALHOST),
        max_descriptors: 1024,
        memory_bytes: 192_000_000,
        read_config: None,
    }
}

/// Options with a listener for Web Push and one push service.
fn options_with_push(dir: &Path) -> ReactorOptions {
    let file = webpush::File {
        listen: Some(LOCALHOST.to_string()),
        vapid: None,
        upstream: vec![webpush::Upstream {
            name: "service".into(),
            rate: None,
            server: vec![webpush::Server {
                address: "127.0.0.1:1".into(),
                draining: false,
            }],
        }],
        location: vec![webpush::Location {
            path: "/push/".into(),
            upstream: "service".into(),
            to: None,
        }],
    };
    ReactorOptions {
        web_push: Some(file),
        ..options(dir)
    }
}

/// A sender's reactor in a separate thread.
struct RunningSender {
    clients: SocketAddr,
    web_push: Option<SocketAddr>,
    operator: SocketAddr,
    stop_handle: StopHandle,
    thread: Option<JoinHandle<std::io::Result<()>>>,
}

impl RunningSender {
    fn start(options: ReactorOptions) -> RunningSender {
        let mut reactor = Reactor::new(options).expect("the sender starts");
        let (clients, web_push) = reactor.addresses();
        let operator = reactor
            .operator_address()
            .expect("a listener for operators");
        let stop_handle = reactor.stop_handle().expect("a stop handle");
        let thread = Some(std::thread::spawn(move || reactor.run(Vec::new)));
        RunningSender {
            clients: clients.expect("a listener for clients"),
            web_push,
            operator,
            stop_handle,
            thread,
        }
    }

    /// Waits until the sender has ended without being stopped.
    fn join(mut self) {
        let thread = self.thread.take().expect("a thread");
        thread.join().expect("no panic").expect("no error");
    }

    /// Sends an operator's command, which must succeed.
    fn send_command(&self, path: &str) {
        let mut stream = connect(self.operator);
        write!(stream, "PUT {path} HTTP/1.1\r\nContent-Length: 0\r\n\r\n").expect("written");
        let mut response = String::new();
        stream.read_to_string(&mut response).expect("a response");
        assert!(response.starts_with("HTTP/1.1 200 "), "{path}: {response}");
    }
}

impl Drop for RunningSender {
    fn drop(&mut self) {
        self.stop_handle.stop();
        drop(self.thread.take().map(JoinHandle::join));
    }
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    stream
}

fn ping(stream: &mut TcpStream) {
    stream.write_all(b"*1\r\n$4\r\nPING\r\n").expect("written");
    let mut answer = [0; 7];
    stream.read_exact(&mut answer).expect("an answer");
    assert_eq!(&answer, b"+PONG\r\n");
}

/// An incomplete request. It is long enough for its length in a hand-over message to take two bytes.
fn incomplete_request() -> Vec<u8> {
    let mut request =
        b"*5\r\n$7\r\nMSG.PUT\r\n$16\r\n0000000000000000\r\n$16\r\n00000000000000a7\r\n".to_vec();
    request.extend_from_slice(b"$46\r\nc=episode-notice,t=onda-central,d=15000,dest=7\r\n$300\r\n");
    request.extend((0..=255).cycle().take(290));
    request
}

/// The bytes of a hand-over message, and the descriptor that came with the first one.
struct Message {
    bytes: Vec<u8>,
    descriptor: Option<OwnedFd>,
}

fn receive(stream: &mut UnixStream) -> Message {
    let mut bytes = vec![0; 4];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(4))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let received = recvmsg(
        &*stream,
        &mut [IoSliceMut::new(&mut bytes)],
        &mut control,
        RecvFlags::CMSG_CLOEXEC,
    )
    .expect("a message in time");
    assert_eq!(received.bytes, bytes.len(), "the message's length");
    let mut descriptors = Vec::new();
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(received) = message {
            descriptors.extend(received);
        }
    }
    assert!(descriptors.len() <= 1, "at most one descriptor per message");
    let length = u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
    bytes.resize(4 + length, 0);
    stream
        .read_exact(&mut bytes[4..])
        .expect("the rest of the message");
    Message {
        bytes,
        descriptor: descriptors.pop(),
    }
}

fn send(stream: &UnixStream, bytes: &[u8], descriptor: Option<BorrowedFd<'_>>) {
    let descriptors: Vec<BorrowedFd<'_>> = descriptor.into_iter().collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() {
        assert!(control.push(SendAncillaryMessage::ScmRights(&descriptors)));
    }
    let sent = sendmsg(
        stream,
        &[IoSlice::new(bytes)],
        &mut control,
        SendFlags::NOSIGNAL,
    )
    .expect("sent");
    assert_eq!(sent, bytes.len());
}

/// Requests a hand-over as a new process, and returns the old process's messages once it has ended.
fn request_handover(dir: &Path) -> Vec<Message> {
    let greetings = golden_file::read(NEW_TO_OLD);
    let (greeting, confirmation) = greetings.split_at(GREETING_LENGTH);
    let mut stream = UnixStream::connect(dir.join("handover")).expect("the sender's socket");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    stream.write_all(greeting).expect("written");
    let messages = WITH_DESCRIPTOR
        .iter()
        .map(|_| receive(&mut stream))
        .collect();
    stream.write_all(confirmation).expect("written");
    let mut rest = Vec::new();
    stream
        .read_to_end(&mut rest)
        .expect("the end of the connection");
    assert!(rest.is_empty(), "nothing follows the last message");
    messages
}

/// The messages of an old process in the golden file.
fn committed_messages() -> Vec<Vec<u8>> {
    let (mut messages, committed) = (Vec::new(), golden_file::read(OLD_TO_NEW));
    let mut rest = &committed[..];
    while let Some((head, _)) = rest.split_first_chunk::<4>() {
        let (message, following) = rest.split_at(4 + u32::from_le_bytes(*head) as usize);
        messages.push(message.to_vec());
        rest = following;
    }
    assert_eq!(messages.len(), WITH_DESCRIPTOR.len());
    messages
}

fn joined(messages: &[Message]) -> Vec<u8> {
    messages
        .iter()
        .flat_map(|message| message.bytes.clone())
        .collect()
}

fn with_descriptor(messages: &[Message]) -> Vec<bool> {
    messages
        .iter()
        .map(|message| message.descriptor.is_some())
        .collect()
}

/// Replaces the time of this run by [`COMMITTED_TIME`] in a message with one record of learned state.
fn with_committed_time(message: &[u8]) -> Vec<u8> {
    let start = message
        .windows(4)
        .position(|bytes| bytes == b"CRL\x01")
        .expect("learned state");
    let (head, learned_state) = message.split_at(start);
    let mut learned = decode_state_file(learned_state).expect("valid learned state");
    let [record] = &mut learned[..] else {
        panic!("expected one record: {learned:?}")
    };
    assert_eq!(
        (record.destination, record.blocked_until.map(|end| end.0)),
        (LEARNED_BLOCKED_UNTIL.0, Some(LEARNED_BLOCKED_UNTIL.1))
    );
    assert!(
        record.at < Time(COMMITTED_TIME),
        "{record:?} was not written in this run"
    );
    record.at = Time(COMMITTED_TIME);
    [head, &encode_state_file(&learned)].concat()
}

/// Guards against changes of the messages that the old process sends in a hand-over.
#[test]
fn handover_messages_of_the_old_process_are_unchanged() {
    let folder = StateFolder::new();
    let old = RunningSender::start(options_with_push(&folder.0));
    // Connections are handed over in the order in which they are accepted.
    let mut incomplete = connect(old.clients);
    let mut new_client = connect(old.clients);
    let mut idle = connect(old.clients);
    ping(&mut incomplete);
    incomplete
        .write_all(&incomplete_request())
        .expect("written");
    new_client.write_all(b"*1\r\n").expect("written");
    ping(&mut idle);
    let (clients, web_push) = (old.clients, old.web_push);
    let messages = request_handover(&folder.0);
    old.join();
    golden_file::assert_unchanged(OLD_TO_NEW, &joined(&messages));
    assert_eq!(with_descriptor(&messages), WITH_DESCRIPTOR);
    let mut descriptors = messages
        .into_iter()
        .filter_map(|message| message.descriptor);
    let listener = |descriptor: Option<OwnedFd>| {
        TcpListener::from(descriptor.expect("a listener"))
            .local_addr()
            .expect("an address")
    };
    assert_eq!(listener(descriptors.next()), clients);
    assert_eq!(Some(listener(descriptors.next())), web_push);
    for (client, descriptor) in [&incomplete, &new_client, &idle].iter().zip(descriptors) {
        let handed_over = TcpStream::from(descriptor).peer_addr().expect("connected");
        assert_eq!(handed_over, client.local_addr().expect("an address"));
    }
}

/// The next connection; panics if there is none before the timeout.
fn accept_in_time(server: &UnixListener) -> UnixStream {
    server
        .set_nonblocking(true)
        .expect("a nonblocking listener");
    let deadline = Instant::now() + TIMEOUT;
    loop {
        match server.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("a blocking stream");
                return stream;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => panic!("no connection: {error}"),
        }
        assert!(
            Instant::now() < deadline,
            "no connection before the timeout"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against a new process that misreads the messages of an earlier build: the sender receives the golden messages, and hands
/// the same over to the next process.
#[test]
fn handover_messages_of_earlier_builds_are_understood_by_the_new_process() {
    let folder = StateFolder::new();
    let lock = File::create(folder.path("lock")).expect("a lock");
    flock(&lock, FlockOperation::NonBlockingLockExclusive).expect("locked");
    let server = UnixListener::bind(folder.path("handover")).expect("a socket");
    let [clients, web_push] = [(); 2].map(|()| TcpListener::bind(LOCALHOST).expect("a listener"));
    let address = clients.local_addr().expect("an address");
    let client_ends: Vec<TcpStream> = (0..3).map(|_| connect(address)).collect();
    let server_ends: Vec<TcpStream> = (0..3)
        .map(|_| clients.accept().expect("a client").0)
        .collect();
    let new = std::thread::spawn({
        let options = options_with_push(&folder.0);
        move || RunningSender::start(options)
    });
    let mut stream = accept_in_time(&server);
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    let mut greetings = vec![0; GREETING_LENGTH];
    stream.read_exact(&mut greetings).expect("a greeting");
    let mut committed = committed_messages();
    committed[0] = golden_file::read(LEARNED_STATE_MESSAGE);
    let mut descriptors = [clients.as_fd(), web_push.as_fd()]
        .into_iter()
        .chain(server_ends.iter().map(AsFd::as_fd));
    for (message, with_descriptor) in committed.iter().zip(WITH_DESCRIPTOR) {
        send(
            &stream,
            message,
            with_descriptor.then(|| descriptors.next().expect("a descriptor")),
        );
    }
    stream
        .read_to_end(&mut greetings)
        .expect("a confirmation, then the end of the connection");
    golden_file::assert_unchanged(NEW_TO_OLD, &greetings);
    drop((server, lock));
    let new = new.join().expect("it starts");
    assert_eq!(
        (new.clients, new.web_push),
        (address, web_push.local_addr().ok())
    );
    ping(&mut connect(new.clients));
    let messages = request_handover(&folder.0);
    new.join();
    // The blocked destination has not been called, so its learned state is unchanged except for the time of the hand-over.
    golden_file::assert_unchanged(
        LEARNED_STATE_MESSAGE,
        &with_committed_time(&messages[0].bytes),
    );
    let handed_over = [committed_messages()[0].clone(), joined(&messages[1..])].concat();
    golden_file::assert_unchanged(OLD_TO_NEW, &handed_over);
    assert_eq!(with_descriptor(&messages), WITH_DESCRIPTOR);
    for (client, message) in client_ends.iter().zip(messages.into_iter().skip(3)) {
        let handed_over = TcpStream::from(message.descriptor.expect("a client"))
            .peer_addr()
            .expect("connected");
        assert_eq!(handed_over, client.local_addr().expect("an address"));
    }
}

/// Replaces the time of this run by [`COMMITTED_TIME`] in the file of detached endpoints.
fn normalize_time(written: &str) -> String {
    let digit = |c: char| c.is_ascii_digit();
    let start = written.find("[\"b\",").expect("an attached endpoint") + "[\"b\",".len();
    let end = start
        + written[start..]
            .find(|c| !digit(c))
            .expect("the end of the number");
    let time: u64 = written[start..end].parse().expect("Unix nanoseconds");
    assert!(time < COMMITTED_TIME, "{time} is later than this run");
    format!("{}{COMMITTED_TIME}{}", &written[..start], &written[end..])
}

/// Guards against changes of the format in which detached endpoints are persisted.
#[test]
fn detached_endpoints_file_is_written_unchanged() {
    let folder = StateFolder::new();
    let sender = RunningSender::start(options(&folder.0));
    for path in ["detach/b", "detach/a%2F1%20%25", "attach/b"] {
        sender.send_command(&format!("/_endpoints/{path}"));
    }
    let written = std::fs::read_to_string(folder.path("detached")).expect("the state file");
    golden_file::assert_unchanged(DETACHED, normalize_time(&written).as_bytes());
}

/// Guards against misreading the file of an earlier build: the sender starts with the golden file, and writes it unchanged after a
/// command without effect.
#[test]
fn detached_endpoints_file_is_read_unchanged() {
    let folder = StateFolder::new();
    std::fs::write(folder.path("detached"), golden_file::read(DETACHED)).expect("written");
    let sender = RunningSender::start(options(&folder.0));
    sender.send_command("/_endpoints/detach/a%2F1%20%25");
    let written = std::fs::read_to_string(folder.path("detached")).expect("the state file");
    golden_file::assert_unchanged(DETACHED, normalize_time(&written).as_bytes());
}

/// Options with recovery, so that learned state is restored from the folder and persisted.
fn options_with_recovery(dir: &Path) -> ReactorOptions {
    let age = Duration::from_secs(10);
    let fleet = Fleet {
        listen: LOCALHOST,
        status: None,
        settings: cranehill_membership::Settings {
            name: "n0".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            seeds: Vec::new(),
            key: [7; 32],
            probe_period: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            suspicion_timeout: None,
            eviction_delay: None,
            max_packet_age: Duration::from_secs(5),
            configured_members: 1,
        },
        recovery: Some(cranehill_recovery::Settings {
            bounds: MaxAges {
                window: age,
                limit: age,
                state: age,
                max_clock_difference: Duration::from_secs(5),
            },
            request_interval: Duration::from_millis(500),
            peer_timeout: Duration::from_secs(2),
            persist_interval: Duration::from_secs(1),
        }),
        zones: None,
    };
    ReactorOptions {
        fleet: Some(fleet),
        ..options(dir)
    }
}

/// The bytes of the learned state file once it exists and differs from `before`.
fn learned_state_after(folder: &StateFolder, before: Option<&[u8]>) -> Vec<u8> {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let written = std::fs::read(folder.path("learnt")).ok();
        if let Some(written) = written.filter(|written| Some(&written[..]) != before) {
            return written;
        }
        assert!(
            Instant::now() < deadline,
            "the learned state is not written"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against changes of the format of an empty learned state file.
#[test]
fn learned_state_file_is_written_unchanged() {
    let folder = StateFolder::new();
    let _sender = RunningSender::start(options_with_recovery(&folder.0));
    golden_file::assert_unchanged(LEARNED_STATE_EMPTY, &learned_state_after(&folder, None));
}

/// Guards against learned state that is lost in a restart. A restored block lasts a day at most, so the file is created in the test;
/// its format is covered by the golden files of `cranehill-recovery`. The sender writes the record again with its own time.
#[test]
fn learned_state_file_is_read_and_written_again() {
    let folder = StateFolder::new();
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("after 1970");
    let now = Time(now.as_nanos() as u64);
    let blocked = LearnedState {
        destination: LEARNED_BLOCKED_UNTIL.0,
        route_id: None,
        at: now,
        window: None,
        limit: None,
        blocked_until: Some(now + Duration::from_secs(3600)),
        state: None,
    };
    let original = encode_state_file(std::slice::from_ref(&blocked));
    std::fs::write(folder.path("learnt"), &original).expect("written");
    let _sender = RunningSender::start(options_with_recovery(&folder.0));
    let mut written =
        decode_state_file(&learned_state_after(&folder, Some(&original))).expect("learned state");
    written.iter_mut().for_each(|learned| learned.at = now);
    assert_eq!(written, [blocked]);
}
