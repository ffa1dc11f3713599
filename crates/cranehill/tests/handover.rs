//! Hand-over to a second process with the same state folder, as in an upgrade to a new version.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use common::{Client, RunningSender, TIMEOUT, list, platform, put, start_with};
use cranehill::simulated_server::{Reply, SimulatedServer};
use cranehill_daemon::http;
use cranehill_daemon::reactor::State;
use cranehill_journal_tools::{Row, Snapshot, rows};
use cranehill_scenario_runner::{Limits, Plan, play, report};
use cranehill_simulation::audit::AuditEvent;
use cranehill_simulation::scenario;

/// Starts a sender with the state folder `dir` and an operators' address.
fn start_with_state(known: &str, platform: &SimulatedServer, dir: &Path) -> RunningSender {
    start_with(known, platform, |options| {
        options.operator = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
        options.state = Some(State {
            dir: dir.to_owned(),
            disk: 1_000_000,
            key: None,
        });
    })
}

type Calls = Receiver<(String, Instant)>;

/// An endpoint that answers with `reply(message id)`, and a channel with the id and time of each call.
fn endpoint(reply: impl Fn(&str) -> Reply + Send + Sync + 'static) -> (SimulatedServer, Calls) {
    let (call_log, received_calls) = channel();
    let call_log = std::sync::Mutex::new(call_log);
    let server = SimulatedServer::new(move |request, _| {
        let id = http::header(&request.headers, "X-Txn")
            .unwrap_or_default()
            .to_owned();
        let reply = reply(&id);
        if let Ok(call_log) = call_log.lock() {
            let _ = call_log.send((id, Instant::now()));
        }
        reply
    });
    (server.expect("endpoint"), received_calls)
}

/// Waits until the journal has the outcome of the message's first attempt; the sender has processed the answer by then.
fn wait_for_finished_attempt(folder: &Path, id: &str) {
    let is_finished = || {
        let snapshot = Snapshot::take(folder, None).ok()?;
        let rows = rows(&snapshot, |_, _| {}).ok()?;
        let finished = |row: &Row| row.kind == "back" && row.id.as_deref() == Some(id);
        rows.iter().any(finished).then_some(())
    };
    let deadline = Instant::now() + TIMEOUT;
    while is_finished().is_none() {
        assert!(
            Instant::now() < deadline,
            "no outcome of {id} in the journal"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Metadata of messages for destinations 7 and 8: class, tenant, remaining time in milliseconds and destination.
const TO_DESTINATION_7: &str = "c=episode-notice,t=onda-central,d=15000,dest=7";
const TO_DESTINATION_8: &str = "c=episode-notice,t=onda-central,d=15000,dest=8";

/// Guards a complete hand-over: the listener, a connection with half a request, a pending message and a Retry-After wait pass to
/// the new process, and no client connection is closed.
#[test]
fn new_process_continues_where_the_old_one_stops() {
    let (plain, calls) = endpoint(|_| Reply::status(200));
    let retry_after = Duration::from_secs(3);
    let (limited, limited_calls) = endpoint(|id| match id {
        "00000000000000a8" => Reply::wait(429, "3"),
        _ => Reply::status(200),
    });
    let known = list(
        1,
        &[
            ("a", plain.address, 7, "station"),
            ("b", limited.address, 8, "station"),
        ],
    );
    let (platform, folder) = (
        platform(),
        tempfile::tempdir().expect("temporary folder created"),
    );
    let old = start_with_state(&known, &platform, folder.path());
    let mut client = Client::new(old.clients);
    assert_eq!(
        client.put("00000000000000a7", TO_DESTINATION_7, b"first"),
        "+OK"
    );
    assert_eq!(
        calls.recv_timeout(TIMEOUT).expect("a call in time").0,
        "00000000000000a7"
    );
    assert_eq!(
        client.put("00000000000000a8", TO_DESTINATION_8, b"told to wait"),
        "+OK"
    );
    let (_, first) = limited_calls.recv_timeout(TIMEOUT).expect("a call in time");
    wait_for_finished_attempt(folder.path(), "00000000000000a8");
    assert_eq!(
        client.put("00000000000000b8", TO_DESTINATION_8, b"waits"),
        "+OK"
    );
    let request = put("00000000000000b7", TO_DESTINATION_7, b"in two pieces");
    client.send(&request[..30]);
    let new = start_with_state(&known, &platform, folder.path());
    assert_eq!(new.clients, old.clients, "one listener");
    client.send(&request[30..]);
    assert_eq!(client.line(), "+OK");
    assert_eq!(
        calls.recv_timeout(TIMEOUT).expect("a call in time").0,
        "00000000000000b7"
    );
    // A second hand-over during the wait: the second process has it from the first only, and must pass it on.
    let old = new;
    let new = start_with_state(&known, &platform, folder.path());
    assert_eq!(new.clients, old.clients);
    let (_, resumed) = limited_calls.recv_timeout(TIMEOUT).expect("a call in time");
    assert!(
        resumed - first >= retry_after,
        "called before the Retry-After wait had passed: {:?}",
        resumed - first
    );
    assert_eq!(
        Client::new(new.clients).put("00000000000000c7", TO_DESTINATION_7, b"new"),
        "+OK"
    );
}

/// Guards the old process against a new one that disconnects before it is ready, and against other peers at its socket.
#[test]
fn disconnected_handover_request_changes_nothing() {
    let (plain, calls) = endpoint(|_| Reply::status(200));
    let known = list(1, &[("a", plain.address, 7, "station")]);
    let (platform, folder) = (
        platform(),
        tempfile::tempdir().expect("temporary folder created"),
    );
    let old = start_with_state(&known, &platform, folder.path());
    let connect_and_send = |bytes: &[u8]| {
        let mut stream =
            UnixStream::connect(folder.path().join("handover")).expect("hand-over socket");
        stream.write_all(bytes).expect("bytes written");
        stream
    };
    for round in 0..3 {
        let silent = connect_and_send(b"");
        let noise = connect_and_send(b"GET / HTTP/1.1\r\n\r\n");
        let abandoned = connect_and_send(b"hand-o1\n");
        drop((silent, noise, abandoned));
        let id = format!("{round:016x}");
        assert_eq!(
            Client::new(old.clients).put(&id, TO_DESTINATION_7, b"x"),
            "+OK"
        );
        assert_eq!(calls.recv_timeout(TIMEOUT).expect("a call in time").0, id);
    }
}

/// Guards the folder against two writers: without the old process's socket the new one waits until that process ends, then
/// starts as after a kill, with all accepted messages.
#[test]
fn folder_of_a_dead_process_is_free_for_the_next() {
    let (silent, calls) = endpoint(|_| Reply::Silent);
    let known = list(1, &[("a", silent.address, 7, "station")]);
    let (platform, folder) = (
        platform(),
        tempfile::tempdir().expect("temporary folder created"),
    );
    let old = start_with_state(&known, &platform, folder.path());
    assert_eq!(
        Client::new(old.clients).put("00000000000000a7", TO_DESTINATION_7, b"owed"),
        "+OK"
    );
    assert_eq!(
        calls.recv_timeout(TIMEOUT).expect("a call in time").0,
        "00000000000000a7"
    );
    std::fs::remove_file(folder.path().join("handover")).expect("hand-over socket");
    let new = std::thread::scope(|scope| {
        let starting = scope.spawn(|| start_with_state(&known, &platform, folder.path()));
        assert_eq!(
            Client::new(old.clients).put("00000000000000b7", TO_DESTINATION_7, b"still served"),
            "+OK"
        );
        drop(old);
        starting.join().expect("the sender starts")
    });
    let mut delivered: Vec<String> = (0..3)
        .map(|_| calls.recv_timeout(TIMEOUT).expect("a call in time").0)
        .collect();
    delivered.sort();
    delivered.dedup();
    assert_eq!(delivered, ["00000000000000a7", "00000000000000b7"]);
    assert_eq!(
        Client::new(new.clients).put("00000000000000c7", TO_DESTINATION_7, b"new"),
        "+OK"
    );
}

/// Guards upgrades of real processes under load, with the old or the new process killed around the hand-over: at whatever
/// moment, every message ends once and in time, and none has two attempts in flight.
#[test]
fn upgrades_under_load_lose_nothing_even_if_a_process_is_killed() {
    let text = include_str!("../../../rehearsals/days/upgrade.toml").replace("120/s", "40/s");
    let plan = Plan {
        scenario: scenario::parse(&text, 3).expect("scenario is valid"),
        seed: 3,
        program: env!("CARGO_BIN_EXE_cranehill").into(),
        limits: Limits::default(),
        mutation: None,
        against: None,
    };
    let outcome = play(&plan, |_, _| {}).expect("scenario run completed");
    let broken = report::broken(&outcome);
    assert!(
        outcome.holds() && broken.is_empty(),
        "seed 3: {broken:?} {:?} {:?}",
        outcome.crashed,
        outcome.warnings
    );
    for sender in 0..2 {
        let is_ready = |record: &&cranehill_simulation::audit::AuditRecord| {
            record.sender == Some(sender) && record.event == AuditEvent::Ready
        };
        let processes = outcome.lines.iter().filter(is_ready).count();
        assert!(
            processes >= 5,
            "sender {sender} was ready {processes} times, expected 5 or more: at start and after each of four upgrades"
        );
    }
}
