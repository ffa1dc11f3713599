//! A class that keeps its order, on sockets: one message of a key at a time, as submitted, whatever ends the one before it.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::process::Process;
use common::{Client, SOON, config_text, list, platform, reports, soon, start, start_as, wait_for};
use cranehill::simulated_server::{Reply, SimulatedServer};
use cranehill_daemon::http;
use cranehill_daemon::reactor::{ReactorOptions, State};
use cranehill_scheduler::api::Effect;

const NAMES: &str = "c=episode-notice,t=onda-central,d=20000,dest=7";
const KEY_REST: Duration = Duration::from_millis(100);

fn in_order(key: &str, id: &str) -> Vec<u8> {
    common::put(id, NAMES, b"x").replace_key(key)
}

trait WithKey {
    fn replace_key(self, key: &str) -> Vec<u8>;
}

impl WithKey for Vec<u8> {
    /// Puts another first argument in place of the zeros.
    fn replace_key(self, key: &str) -> Vec<u8> {
        let zeros = b"$16\r\n0000000000000000\r\n";
        let at = self
            .windows(zeros.len())
            .position(|w| w == zeros)
            .expect("the usual key");
        let key = format!("${}\r\n{key}\r\n", key.len());
        [&self[..at], key.as_bytes(), &self[at + zeros.len()..]].concat()
    }
}

/// Its only class keeps its order, and its messages must not take effect twice.
fn keep_order(setup: &mut ReactorOptions) {
    let settings = &mut setup.platform_settings.settings;
    (settings.classes[0].in_order, settings.classes[0].effect) = (true, Effect::Unsafe);
    settings.rules.key_quiet = KEY_REST;
}

/// The same for a process of its own.
fn config_file(folder: &std::path::Path, known: &str, effect: &str) -> std::path::PathBuf {
    let text = config_text(known)
        .replace(
            r#""effect":"keyed""#,
            &format!(r#""effect":"{effect}","byArrival":true"#),
        )
        .replace(
            r#""graceToAnswer""#,
            r#""keyQuiet":100000000,"graceToAnswer""#,
        );
    let config = folder.join("config.json");
    std::fs::write(&config, text).expect("configuration");
    config
}

/// A destination that answers the first call of `held` when it is told to, with `reply`, and all others at once.
fn destination(held: &'static str, reply: fn() -> Reply) -> (SimulatedServer, Arc<AtomicBool>) {
    let notified = Arc::new(AtomicBool::new(false));
    let notify = notified.clone();
    let stand_in = SimulatedServer::new(move |request, _| {
        if txn(request) == held && !notified.load(Ordering::Relaxed) {
            wait_for(&notified);
            return reply();
        }
        Reply::status(200)
    });
    (stand_in.expect("destination"), notify)
}

fn txn(request: &http::Request) -> &str {
    http::header(&request.headers, "X-Txn").unwrap_or_default()
}

/// The messages that have come, in their order.
fn came(destination: &SimulatedServer) -> Vec<String> {
    destination
        .seen()
        .iter()
        .map(|s| txn(&s.request).to_owned())
        .collect()
}

fn when(destination: &SimulatedServer, id: &str) -> Instant {
    let seen = destination.seen();
    seen.iter()
        .find(|s| txn(&s.request) == id)
        .expect("it came")
        .at
}

fn known(destination: &SimulatedServer) -> String {
    list(1, &[("a", destination.address, 7, "station")])
}

fn hand_in(to: SocketAddr, key: &str, id: &str) {
    let mut client = Client::new(to);
    client.send(&in_order(key, id));
    assert_eq!(client.line(), "+OK", "{id}");
}

#[test]
fn messages_of_one_ordering_key_are_sent_one_at_a_time() {
    let (destination, release) = destination("a1", || Reply::status(200));
    let platform = platform();
    let sender = start_as(&known(&destination), &platform, keep_order);
    hand_in(sender.clients, "aa01", "a1");
    assert!(destination.wait_for(1, SOON));
    hand_in(sender.clients, "aa01", "a2");
    // One stuck head holds no other key up, and nothing where there is no key.
    hand_in(sender.clients, "aa02", "b1");
    hand_in(sender.clients, "0000000000000000", "c1");
    hand_in(sender.clients, "0000000000000000", "c2");
    assert!(destination.wait_for(4, SOON));
    let mut others = came(&destination);
    others.sort();
    assert_eq!(others, ["a1", "b1", "c1", "c2"]);
    release.store(true, Ordering::Relaxed);
    assert!(destination.wait_for(5, SOON));
    assert_eq!(came(&destination)[4], "a2");
}

/// Guards both rests of a key: after an attempt that may still run, and until the final report is answered.
#[test]
fn next_message_of_a_key_waits_for_the_acknowledged_final_report() {
    let (destination, release) = destination("a1", || Reply::Close);
    let answers = Arc::new(AtomicBool::new(false));
    let answered = answers.clone();
    let platform = SimulatedServer::new(move |request, _| match request.method.as_str() {
        "GET" => Reply::Silent,
        _ if answered.load(Ordering::Relaxed) => Reply::status(204),
        _ => Reply::status(500),
    })
    .expect("platform");
    let sender = start_as(&known(&destination), &platform, keep_order);
    hand_in(sender.clients, "aa01", "a1");
    assert!(destination.wait_for(1, SOON));
    hand_in(sender.clients, "aa01", "a2");
    let reset = Instant::now();
    release.store(true, Ordering::Relaxed);
    soon("a1 is reported", || {
        reports(&platform)
            .iter()
            .any(|r| r.contains(r#""id":"a1","state":"failed""#))
    });
    // The report goes again, and another key's message comes, while this key still waits.
    soon("the report goes again", || reports(&platform).len() >= 3);
    hand_in(sender.clients, "aa02", "b1");
    assert!(destination.wait_for(2, SOON));
    assert_eq!(came(&destination), ["a1", "b1"]);
    answers.store(true, Ordering::Relaxed);
    assert!(destination.wait_for(3, SOON));
    assert_eq!(came(&destination)[2], "a2");
    assert!(
        when(&destination, "a2") - reset >= KEY_REST,
        "the key rests after a reset"
    );
}

/// Kills a sender that the destination has answered, before it could write that down: it is stopped while the answer is written.
fn killed_behind_the_answer(effect: &str) -> (SimulatedServer, SimulatedServer) {
    let (destination, release) = destination("a1", || Reply::status(200));
    let (platform, folder) = (platform(), tempfile::tempdir().expect("a folder"));
    let config = config_file(folder.path(), &known(&destination), effect);
    let mut first = Process::start(&config, platform.address, 256);
    hand_in(first.clients, "aa01", "a1");
    hand_in(first.clients, "aa01", "a2");
    hand_in(first.clients, "aa01", "a3");
    assert!(destination.wait_for(1, SOON));
    signal(&first, "-STOP");
    release.store(true, Ordering::Relaxed);
    first.kill();
    let second = Process::start(&config, platform.address, 256);
    let last = || came(&destination).last().is_some_and(|id| id == "a3");
    soon("the last of the key comes", last);
    drop(second);
    (destination, platform)
}

fn signal(process: &Process, name: &str) {
    let id = process.child.id().to_string();
    let status = std::process::Command::new("kill")
        .args([name, &id])
        .status()
        .expect("kill");
    assert!(status.success());
}

#[test]
fn order_survives_a_kill_between_response_and_record() {
    let (destination, platform) = killed_behind_the_answer("unsafe");
    assert_eq!(came(&destination), ["a1", "a2", "a3"]);
    let reported = reports(&platform).concat();
    assert!(
        reported.contains(r#""id":"a1","state":"failed""#),
        "it may have run: {reported}"
    );
    // What may be repeated is, before those behind it.
    let (destination, _) = killed_behind_the_answer("keyed");
    assert_eq!(came(&destination), ["a1", "a1", "a2", "a3"]);
}

/// Hands over to a new process while the first of a key is in flight, answered meanwhile or cut off, and tells what came.
fn transferred(answered: bool) -> (Vec<String>, SimulatedServer) {
    let (destination, release) = destination("a1", || Reply::status(200));
    let (platform, folder) = (platform(), tempfile::tempdir().expect("a folder"));
    let state_file = || {
        start_as(&known(&destination), &platform, |setup| {
            keep_order(setup);
            setup.operator = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
            setup.state = Some(State {
                dir: folder.path().to_owned(),
                disk: 1_000_000,
                key: None,
            });
        })
    };
    let old = state_file();
    hand_in(old.clients, "aa01", "a1");
    assert!(destination.wait_for(1, SOON));
    hand_in(old.clients, "aa01", "a2");
    // Another key's message comes: a2 waits for its turn, and not for its way.
    hand_in(old.clients, "aa02", "b1");
    assert!(destination.wait_for(2, SOON));
    release.store(answered, Ordering::Relaxed);
    let new = state_file();
    release.store(true, Ordering::Relaxed);
    hand_in(new.clients, "aa01", "a3");
    soon("the last of the key comes", || {
        came(&destination).last().is_some_and(|id| id == "a3")
    });
    (came(&destination), platform)
}

/// Guards the order over a hand-over under load: the old process still waits for an answer as the new one takes over.
#[test]
fn order_survives_an_upgrade() {
    assert_eq!(transferred(true).0, ["a1", "b1", "a2", "a3"]);
    let (came, platform) = transferred(false);
    assert_eq!(came, ["a1", "b1", "a2", "a3"]);
    assert!(
        reports(&platform)
            .concat()
            .contains(r#""id":"a1","state":"failed""#),
        "it was cut off"
    );
}

#[test]
fn invalid_ordering_key_is_an_error_and_loses_nothing() {
    let (destination, release) = destination("none", || Reply::status(200));
    release.store(true, Ordering::Relaxed);
    let platform = platform();
    let sender = start_as(&known(&destination), &platform, keep_order);
    let mut client = Client::new(sender.clients);
    for key in ["", "with a space", "k\u{e9}y", &"k".repeat(65)] {
        client.send(&in_order(key, "bad"));
        assert!(
            client
                .line()
                .starts_with("-ERR the first argument is no key"),
            "{key:?}"
        );
    }
    client.send(&in_order(&"k".repeat(64), "good"));
    assert_eq!(client.line(), "+OK");
    assert!(destination.wait_for(1, SOON));
    assert_eq!(came(&destination), ["good"]);
    // Where no order is kept the key means nothing, and is not looked at.
    let other = start(&known(&destination), &platform);
    hand_in(other.clients, "with a space", "plain");
    assert!(destination.wait_for(2, SOON));
}
