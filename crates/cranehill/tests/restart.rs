//! What was accepted outlasts its process: the program itself, killed and ended, and started again.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use common::{Client, SOON, config_text, list, platform, put, reports, soon};
use cranehill::simulated_server::{Reply, SimulatedServer};

struct Process {
    child: Child,
    clients: SocketAddr,
    /// Reads the rest of its log.
    log: Option<JoinHandle<Vec<String>>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .expect("kill");
        assert!(status.success());
    }
}

fn spawn(folder: &Path, known: &str, platform: &SimulatedServer) -> Process {
    let config = folder.join("config.json");
    std::fs::write(&config, config_text(known)).expect("configuration");
    let mut child = Command::new(env!("CARGO_BIN_EXE_cranehill"))
        .arg("serve")
        .env("NODE_CONFIG", &config)
        .env("NODE_NAME", "n0")
        .env("NODE_LISTEN", "127.0.0.1:0")
        .env("NODE_DISCOVERY", platform.address.to_string())
        .env("NODE_STATE", folder.join("state"))
        .env("RUST_LOG", "info")
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut log = BufReader::new(child.stderr.take().expect("its log")).lines();
    let clients = loop {
        let line = log.next().expect("it says where it listens").expect("text");
        if let Some((_, address)) = line.split_once("listening for clients at ") {
            break address.parse().expect("an address");
        }
    };
    // The pipe must not fill.
    let log = std::thread::spawn(move || log.map_while(Result::ok).collect());
    Process {
        child,
        clients,
        log: Some(log),
    }
}

/// A destination that is silent until it is opened.
fn destination() -> (SimulatedServer, Arc<AtomicBool>) {
    let open = Arc::new(AtomicBool::new(false));
    let is_open = open.clone();
    let answer = move |_: &_, _| {
        if is_open.load(Ordering::Relaxed) {
            Reply::status(200)
        } else {
            Reply::Silent
        }
    };
    (SimulatedServer::new(answer).expect("partner"), open)
}

const NAMES: &str = "c=episode-notice,t=onda-central,d=20000,k=5c0f,dest=7";

fn bodies(destination: &SimulatedServer) -> Vec<Vec<u8>> {
    destination
        .seen()
        .into_iter()
        .map(|s| s.request.body)
        .collect()
}

#[test]
fn an_accepted_message_is_delivered_after_sigkill() {
    let folder = tempfile::tempdir().expect("a folder");
    let folder = folder.path();
    let (destination, open) = destination();
    let platform = platform();
    let known = list(1, &[("a", destination.address, 7, "station")]);
    let mut first = spawn(folder, &known, &platform);
    assert_eq!(
        Client::new(first.clients).put("m1", NAMES, b"one\r\n\0two"),
        "+OK"
    );
    assert!(destination.wait_for(1, SOON));
    first.child.kill().expect("killed");
    first.child.wait().expect("gone");
    open.store(true, Ordering::Relaxed);
    let _second = spawn(folder, &known, &platform);
    assert!(destination.wait_for(2, SOON), "the notice is sent again");
    assert_eq!(bodies(&destination), [b"one\r\n\0two", b"one\r\n\0two"]);
}

#[test]
fn final_report_is_resent_after_sigkill_until_acknowledged() {
    let folder = tempfile::tempdir().expect("a folder");
    let folder = folder.path();
    // The platform takes the report at the second try only.
    let tries = AtomicUsize::new(0);
    let platform = SimulatedServer::new(move |request, _| match request.method.as_str() {
        "GET" => Reply::Silent,
        _ if tries.fetch_add(1, Ordering::Relaxed) == 0 => Reply::status(500),
        _ => Reply::status(204),
    })
    .expect("platform");
    let known = list(
        1,
        &[(
            "a",
            "127.0.0.1:1".parse().expect("an address"),
            7,
            "station",
        )],
    );
    let mut first = spawn(folder, &known, &platform);
    let names = "c=episode-notice,d=700,k=5c0f,dest=7";
    assert_eq!(Client::new(first.clients).put("m1", names, b"x"), "+OK");
    first.child.kill().expect("killed");
    first.child.wait().expect("gone");
    let _second = spawn(folder, &known, &platform);
    soon("it is reported again", || reports(&platform).len() >= 2);
    let reports = reports(&platform);
    assert!(
        reports
            .iter()
            .all(|r| r.contains(r#""id":"m1""#) && r.contains(r#""state":"returned""#))
    );
    assert!(
        reports[0].contains(r#""after_ms":"#),
        "it tells when to come back: {reports:?}"
    );
}

#[test]
fn sigterm_drains_and_exits_with_the_rest_in_the_journal() {
    let folder = tempfile::tempdir().expect("a folder");
    let folder = folder.path();
    let (destination, open) = destination();
    let platform = platform();
    let known = list(1, &[("a", destination.address, 7, "station")]);
    let mut first = spawn(folder, &known, &platform);
    let mut client = Client::new(first.clients);
    assert_eq!(client.put("m1", NAMES, b"one"), "+OK");
    // A request that has begun is answered, whenever its rest comes.
    let mut late = Client::new(first.clients);
    let request = put("m2", NAMES, b"two");
    late.send(&request[..40]);
    assert_eq!(
        client.put("m1", NAMES, b"one"),
        "+OK",
        "the same notice again is no new one"
    );
    first.signal("-TERM");
    late.send(&request[40..]);
    assert_eq!(late.line(), "+OK");
    assert!(first.child.wait().expect("it ends").success());
    open.store(true, Ordering::Relaxed);
    let seen = destination.seen().len();
    let _second = spawn(folder, &known, &platform);
    assert!(
        destination.wait_for(seen + 2, SOON),
        "both are delivered by the next life"
    );
    let mut after = bodies(&destination)[seen..].to_vec();
    after.sort();
    assert_eq!(after, [b"one", b"two"]);
}

#[test]
fn every_accepted_message_ends_despite_repeated_sigkill() {
    let folder = tempfile::tempdir().expect("a folder");
    let folder = folder.path();
    // Slow enough that each kill finds attempts out and messages held; some answers are errors and refusals.
    let destination = SimulatedServer::new(|_, number| {
        std::thread::sleep(Duration::from_millis(15));
        match number % 7 {
            3 => Reply::status(500),
            5 => Reply::wait(429, "0.05"),
            _ => Reply::status(200),
        }
    })
    .expect("partner");
    let platform = platform();
    let known = list(1, &[("a", destination.address, 7, "station")]);
    let mut taken = Vec::new();
    for sender_process in 0..4 {
        let mut process = spawn(folder, &known, &platform);
        let mut client = Client::new(process.clients);
        for n in 0..12 {
            let id = format!("life{sender_process}-{n}");
            if client.put(&id, NAMES, id.as_bytes()) == "+OK" {
                taken.push(id);
            }
        }
        process.child.kill().expect("killed");
        process.child.wait().expect("gone");
    }
    assert!(taken.len() >= 24, "{taken:?}");
    let mut last = spawn(folder, &known, &platform);
    let ended = || {
        let seen: std::collections::BTreeSet<Vec<u8>> = bodies(&destination).into_iter().collect();
        taken.iter().all(|id| seen.contains(id.as_bytes()))
    };
    let until = Instant::now() + SOON * 2;
    while !ended() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
    }
    assert!(ended());
    // It goes on working on what is owed while it ends, and says what it leaves.
    last.signal("-TERM");
    assert!(last.child.wait().expect("it ends").success());
    let log = last.log.take().expect("a log").join().expect("read");
    let stopped = log
        .iter()
        .find(|l| l.contains("stopped:"))
        .expect("its last line");
    assert!(
        stopped.contains("second_copy: 0, unknown_message: 0, unlisted_endpoint: 0"),
        "{stopped}"
    );
    assert!(
        stopped.contains(" 0 messages and 0 final reports"),
        "{stopped}"
    );
}

#[test]
fn torn_last_record_is_dropped_and_the_rest_kept() {
    let folder = tempfile::tempdir().expect("a folder");
    let folder = folder.path();
    let (destination, open) = destination();
    let platform = platform();
    let known = list(1, &[("a", destination.address, 7, "station")]);
    let mut first = spawn(folder, &known, &platform);
    assert_eq!(Client::new(first.clients).put("m1", NAMES, b"one"), "+OK");
    first.child.kill().expect("killed");
    first.child.wait().expect("gone");
    // The head of a frame, as a kill in the middle of a write leaves it.
    let mut files: Vec<_> = std::fs::read_dir(folder.join("state"))
        .expect("a folder")
        .map(|f| f.expect("a file").path())
        .collect();
    files.retain(|f| f.extension().is_some_and(|e| e == "seg"));
    let head = files.iter().max().expect("a segment");
    let mut bytes = std::fs::read(head).expect("a segment");
    bytes.extend_from_slice(&[90, 0, 0]);
    std::fs::write(head, bytes).expect("written");
    open.store(true, Ordering::Relaxed);
    let before = destination.seen().len();
    let _second = spawn(folder, &known, &platform);
    assert!(destination.wait_for(before + 1, SOON));
}

#[test]
fn bad_configuration_is_one_line_and_exit_code_2() {
    let folder = tempfile::tempdir().expect("a folder");
    let folder = folder.path();
    let config = folder.join("config.json");
    for text in [
        "",
        "{",
        "{}",
        r#"{"settings":{}}"#,
        &config_text("{\"version\":1}"),
    ] {
        std::fs::write(&config, text).expect("written");
        let out = Command::new(env!("CARGO_BIN_EXE_cranehill"))
            .arg("serve")
            .env("NODE_CONFIG", &config)
            .env("NODE_LISTEN", "127.0.0.1:0")
            .env("NODE_DISCOVERY", "127.0.0.1:1")
            .env("NODE_STATE", folder.join("state"))
            .output()
            .expect("it runs");
        let err = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2), "{err}");
        assert_eq!(err.lines().count(), 1, "{err}");
    }
}

#[test]
fn push_only_sender_answers_waiting_clients_on_shutdown() {
    let service = SimulatedServer::new(|_, _| Reply::Silent).expect("service");
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("webpush.toml");
    let text = format!(
        "listen = \"127.0.0.1:0\"\n[[upstream]]\nname = \"s\"\n[[upstream.server]]\naddress = \"{}\"\n[[location]]\npath = \"/push/\"\nupstream = \"s\"\n",
        service.address
    );
    std::fs::write(&file, text).expect("written");
    let mut child = Command::new(env!("CARGO_BIN_EXE_cranehill"))
        .args(["serve", "--webpush", file.to_str().expect("a path")])
        .env_remove("NODE_CONFIG")
        .env("RUST_LOG", "info")
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut log = BufReader::new(child.stderr.take().expect("its log")).lines();
    let address: SocketAddr = log
        .find_map(|l| {
            Some(
                l.ok()?
                    .split_once("listening for Web Push at ")?
                    .1
                    .parse()
                    .expect("an address"),
            )
        })
        .expect("it says where it listens");
    let mut process = Process {
        child,
        clients: address,
        log: None,
    };
    let mut client = Client::new(address);
    client.send(b"POST /push/a HTTP/1.1\r\nTTL: 20\r\nTopic: t\r\nContent-Length: 1\r\n\r\nx");
    assert!(service.wait_for(1, SOON));
    process.signal("-TERM");
    assert_eq!(client.line(), "HTTP/1.1 503 Service Unavailable");
    assert_eq!(client.line(), "Retry-After: 5");
    assert!(process.child.wait().expect("it ends").success());
}

#[test]
fn sighup_with_an_invalid_file_does_not_end_the_process() {
    let folder = tempfile::tempdir().expect("a folder");
    let folder = folder.path();
    let (destination, open) = destination();
    open.store(true, Ordering::Relaxed);
    let platform = platform();
    let known = list(1, &[("a", destination.address, 7, "station")]);
    let mut first = spawn(folder, &known, &platform);
    let other = self::platform();
    let config = folder.join("config.json");
    std::fs::write(&config, "{").expect("written");
    first.signal("-HUP");
    assert_eq!(Client::new(first.clients).put("m1", NAMES, b"one"), "+OK");
    let text =
        config_text(&known).replacen('{', &format!(r#"{{"discovery":"{}","#, other.address), 1);
    std::fs::write(&config, text).expect("written");
    first.signal("-HUP");
    assert!(
        other.wait_for(1, SOON),
        "the file goes before the variable that was told at start"
    );
    assert_eq!(Client::new(first.clients).put("m2", NAMES, b"two"), "+OK");
    assert!(destination.wait_for(2, SOON));
    first.signal("-TERM");
    assert!(first.child.wait().expect("it ends").success());
}

/// A process whose call for m1 is answered so after the wait for it: it is stopped over the moment, so that it finds the
/// end of the wait and the answer at once.
fn answered_late(
    folder: &Path,
    platform: &SimulatedServer,
    answer: &[u8],
) -> (Process, TcpListener) {
    let destination = TcpListener::bind("127.0.0.1:0").expect("bound");
    let known = list(
        1,
        &[(
            "a",
            destination.local_addr().expect("an address"),
            7,
            "station",
        )],
    );
    let process = spawn(folder, &known, platform);
    let names = "c=episode-notice,d=900,k=5c0f,dest=7";
    assert_eq!(Client::new(process.clients).put("m1", names, b"one"), "+OK");
    let (mut call, _) = destination.accept().expect("its connection");
    let mut request = Vec::new();
    while !request.ends_with(b"one") {
        let mut byte = [0];
        call.read_exact(&mut byte).expect("the call");
        request.push(byte[0]);
    }
    process.signal("-STOP");
    let over = Instant::now() + Duration::from_millis(900);
    while Instant::now() < over {
        std::thread::sleep(Duration::from_millis(5));
    }
    call.write_all(answer).expect("written");
    process.signal("-CONT");
    soon("its end is reported", || {
        reports(platform).iter().any(|r| r.contains(r#""id":"m1""#))
    });
    (process, destination)
}

/// Guards an answer that comes as the wait for it ends: the destination, which was told how long the sender waits, held the
/// call for given up, and the sender took the answer for a delivery and told nobody (narrow days of an own site, seed 205:
/// one message lost).
#[test]
fn response_after_the_timeout_is_ignored() {
    let folder = tempfile::tempdir().expect("a folder");
    answered_late(
        folder.path(),
        &platform(),
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    );
}

/// Guards a wait that is told by such an answer: it binds all the same.
#[test]
fn retry_after_in_a_late_response_is_respected() {
    let folder = tempfile::tempdir().expect("a folder");
    let platform = platform();
    let answer = b"HTTP/1.1 429 No\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n";
    let (process, destination) = answered_late(folder.path(), &platform, answer);
    let names = "c=episode-notice,d=900,k=5c10,dest=7";
    assert_eq!(Client::new(process.clients).put("m2", names, b"two"), "+OK");
    soon("it is given up", || {
        reports(&platform)
            .iter()
            .any(|r| r.contains(r#""id":"m2""#))
    });
    destination.set_nonblocking(true).expect("set");
    assert!(destination.accept().is_err(), "a call inside the wait");
}

/// Guards an end that is asked for more than once, with a reload between, while the endpoint hangs and the platform takes no
/// reports: the process ends by itself, and the next process has all that is owed, the report too.
#[test]
fn repeated_signals_during_shutdown_change_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let folder = folder.path();
    let (destination, open) = destination();
    let rejects = SimulatedServer::new(|_, _| Reply::status(400)).expect("partner");
    let silent = SimulatedServer::new(|_, _| Reply::Silent).expect("platform");
    let known = list(
        1,
        &[
            ("a", destination.address, 7, "station"),
            ("r", rejects.address, 8, "station"),
        ],
    );
    let mut first = spawn(folder, &known, &silent);
    let mut client = Client::new(first.clients);
    assert_eq!(client.put("m1", NAMES, b"one"), "+OK");
    assert_eq!(
        client.put("m2", &NAMES.replace("dest=7", "dest=8"), b"two"),
        "+OK"
    );
    soon("a report is out", || !reports(&silent).is_empty());
    for signal in ["-TERM", "-HUP", "-TERM"] {
        first.signal(signal);
    }
    assert!(first.child.wait().expect("it ends").success());
    let log = first.log.take().expect("a log").join().expect("read");
    let stopped = log
        .iter()
        .find(|l| l.contains("stopped:"))
        .expect("its last line");
    assert!(
        stopped.contains(" 1 messages and 1 final reports"),
        "{stopped}"
    );
    open.store(true, Ordering::Relaxed);
    let before = destination.seen().len();
    let platform = platform();
    let _second = spawn(folder, &known, &platform);
    assert!(destination.wait_for(before + 1, SOON), "the notice");
    soon("the report", || {
        reports(&platform)
            .iter()
            .any(|r| r.contains(r#""id":"m2","state":"failed""#))
    });
}
