//! A second process over the same folder, as operators start it for a new version.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use common::{Client, Running, SOON, list, platform, put, start_as};
use cranehill::simulated_server::{Reply, SimulatedServer};
use cranehill_daemon::http;
use cranehill_daemon::reactor::State;
use cranehill_journal_tools::{Row, Snapshot, rows};
use cranehill_scenario_runner::{Limits, Plan, play, report};
use cranehill_simulation::audit::AuditEvent;
use cranehill_simulation::scenario;

fn state_file(known: &str, platform: &SimulatedServer, dir: &Path) -> Running {
    start_as(known, platform, |setup| {
        setup.operator = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
        setup.state = Some(State {
            dir: dir.to_owned(),
            disk: 1_000_000,
            key: None,
        });
    })
}

type Calls = Receiver<(String, Instant)>;

/// Tells of each call, and answers as `reply` says.
fn endpoint(reply: impl Fn(&str) -> Reply + Send + Sync + 'static) -> (SimulatedServer, Calls) {
    let (printed, heard) = channel();
    let printed = std::sync::Mutex::new(printed);
    let stand_in = SimulatedServer::new(move |request, _| {
        let id = http::header(&request.headers, "X-Txn")
            .unwrap_or_default()
            .to_owned();
        let reply = reply(&id);
        if let Ok(printed) = printed.lock() {
            let _ = printed.send((id, Instant::now()));
        }
        reply
    });
    (stand_in.expect("endpoint"), heard)
}

/// Waits until the outcome of the message's first attempt is in the journal: the sender has applied the answer by then.
fn wait_for_finished_attempt(folder: &Path, id: &str) {
    let is_finished = || {
        let snapshot = Snapshot::take(folder, None).ok()?;
        let rows = rows(&snapshot, |_, _| {}).ok()?;
        let finished = |row: &Row| row.kind == "back" && row.id.as_deref() == Some(id);
        rows.iter().any(finished).then_some(())
    };
    let until = Instant::now() + SOON;
    while is_finished().is_none() {
        assert!(Instant::now() < until, "no outcome of {id} in the journal");
        std::thread::sleep(Duration::from_millis(5));
    }
}

const SEVEN: &str = "c=episode-notice,t=onda-central,d=15000,dest=7";
const EIGHT: &str = "c=episode-notice,t=onda-central,d=15000,dest=8";

/// Guards the whole way: the listener, a connection in the middle of a request, a message that is held, and a Retry-After wait all
/// pass from one process to the other, and nobody is closed on.
#[test]
fn new_process_continues_where_the_old_one_stops() {
    let (plain, calls) = endpoint(|_| Reply::status(200));
    let waits = Duration::from_secs(3);
    let (notified, evicted_connections) = endpoint(|id| match id {
        "00000000000000a8" => Reply::wait(429, "3"),
        _ => Reply::status(200),
    });
    let known = list(
        1,
        &[
            ("a", plain.address, 7, "station"),
            ("b", notified.address, 8, "station"),
        ],
    );
    let (platform, folder) = (platform(), tempfile::tempdir().expect("a folder"));
    let old = state_file(&known, &platform, folder.path());
    let mut client = Client::new(old.clients);
    assert_eq!(client.put("00000000000000a7", SEVEN, b"first"), "+OK");
    assert_eq!(
        calls.recv_timeout(SOON).expect("a call").0,
        "00000000000000a7"
    );
    assert_eq!(
        client.put("00000000000000a8", EIGHT, b"told to wait"),
        "+OK"
    );
    let (_, first) = evicted_connections.recv_timeout(SOON).expect("a call");
    wait_for_finished_attempt(folder.path(), "00000000000000a8");
    assert_eq!(client.put("00000000000000b8", EIGHT, b"waits"), "+OK");
    let request = put("00000000000000b7", SEVEN, b"in two pieces");
    client.send(&request[..30]);
    let new = state_file(&known, &platform, folder.path());
    assert_eq!(new.clients, old.clients, "one listener");
    client.send(&request[30..]);
    assert_eq!(client.line(), "+OK");
    assert_eq!(
        calls.recv_timeout(SOON).expect("a call").0,
        "00000000000000b7"
    );
    // Once more inside the wait: the second process has never called that destination, and knows of the wait all the same.
    let old = new;
    let new = state_file(&known, &platform, folder.path());
    assert_eq!(new.clients, old.clients);
    let (_, again) = evicted_connections.recv_timeout(SOON).expect("a call");
    assert!(
        again - first >= waits,
        "the wait was told to one sender: {:?}",
        again - first
    );
    assert_eq!(
        Client::new(new.clients).put("00000000000000c7", SEVEN, b"new"),
        "+OK"
    );
}

/// Guards the old process against a new one that never gets ready, and against anybody else at its socket.
#[test]
fn disconnected_handover_request_changes_nothing() {
    let (plain, calls) = endpoint(|_| Reply::status(200));
    let known = list(1, &[("a", plain.address, 7, "station")]);
    let (platform, folder) = (platform(), tempfile::tempdir().expect("a folder"));
    let old = state_file(&known, &platform, folder.path());
    let ask = |bytes: &[u8]| {
        let mut stream = UnixStream::connect(folder.path().join("handover")).expect("the socket");
        stream.write_all(bytes).expect("written");
        stream
    };
    for round in 0..3 {
        let silent = ask(b"");
        let noise = ask(b"GET / HTTP/1.1\r\n\r\n");
        let removed = ask(b"hand-o1\n");
        drop((silent, noise, removed));
        let id = format!("{round:016x}");
        assert_eq!(Client::new(old.clients).put(&id, SEVEN, b"x"), "+OK");
        assert_eq!(calls.recv_timeout(SOON).expect("a call").0, id);
    }
}

/// Guards the one writer: while the old one can't be asked, the new one waits; once it has died, the new one starts as after a
/// kill, with all that was accepted.
#[test]
fn folder_of_a_dead_process_is_free_for_the_next() {
    let (silent, calls) = endpoint(|_| Reply::Silent);
    let known = list(1, &[("a", silent.address, 7, "station")]);
    let (platform, folder) = (platform(), tempfile::tempdir().expect("a folder"));
    let old = state_file(&known, &platform, folder.path());
    assert_eq!(
        Client::new(old.clients).put("00000000000000a7", SEVEN, b"owed"),
        "+OK"
    );
    assert_eq!(
        calls.recv_timeout(SOON).expect("a call").0,
        "00000000000000a7"
    );
    std::fs::remove_file(folder.path().join("handover")).expect("the socket");
    let new = std::thread::scope(|scope| {
        let starting = scope.spawn(|| state_file(&known, &platform, folder.path()));
        assert_eq!(
            Client::new(old.clients).put("00000000000000b7", SEVEN, b"still served"),
            "+OK"
        );
        drop(old);
        starting.join().expect("it starts")
    });
    let mut outstanding: Vec<String> = (0..3)
        .map(|_| calls.recv_timeout(SOON).expect("a call").0)
        .collect();
    outstanding.sort();
    outstanding.dedup();
    assert_eq!(outstanding, ["00000000000000a7", "00000000000000b7"]);
    assert_eq!(
        Client::new(new.clients).put("00000000000000c7", SEVEN, b"new"),
        "+OK"
    );
}

/// Guards the promises over real processes: upgrades under load, with the old or the new process killed around the moment of the
/// hand-over. Whatever moment it hits, every message has one end in time, and no attempt is out twice.
#[test]
fn upgrades_under_load_lose_nothing_even_if_a_process_is_killed() {
    let text = include_str!("../../../rehearsals/days/upgrade.toml").replace("120/s", "40/s");
    let plan = Plan {
        scenario: scenario::parse(&text, 3).expect("a good day"),
        seed: 3,
        program: env!("CARGO_BIN_EXE_cranehill").into(),
        limits: Limits::default(),
        mutation: None,
        against: None,
    };
    let outcome = play(&plan, |_, _| {}).expect("it plays");
    let broken = report::broken(&outcome);
    assert!(
        outcome.holds() && broken.is_empty(),
        "seed 3: {broken:?} {:?} {:?}",
        outcome.crashed,
        outcome.warnings
    );
    for sender in 0..2 {
        let ready = |l: &&cranehill_simulation::audit::AuditRecord| {
            l.sender == Some(sender) && l.event == AuditEvent::Ready
        };
        let processes = outcome.lines.iter().filter(ready).count();
        assert!(
            processes >= 5,
            "{sender} was ready {processes} times: once, and after each of its four upgrades"
        );
    }
}
