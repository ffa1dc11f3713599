//! Ordered classes over sockets: the messages of an ordering key are sent one at a time in the order of submission, whatever
//! the outcome of the one before.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::process::Process;
use common::{
    Client, TIMEOUT, config_text, list, platform, reports, start, start_with, wait_for, wait_until,
};
use cranehill::simulated_server::{Reply, SimulatedServer};
use cranehill_daemon::http;
use cranehill_daemon::reactor::{ReactorOptions, State};
use cranehill_scheduler::api::Effect;

/// Metadata argument of `MSG.PUT`: class, tenant, remaining time in milliseconds and destination.
const METADATA: &str = "c=episode-notice,t=onda-central,d=20000,dest=7";
/// The pause of an ordering key after a possibly executed attempt (`keyQuiet`).
const ORDERING_KEY_PAUSE: Duration = Duration::from_millis(100);

/// A `MSG.PUT` request with this ordering key.
fn put_with_key(key: &str, id: &str) -> Vec<u8> {
    common::put(id, METADATA, b"x").replace_key(key)
}

trait WithKey {
    fn replace_key(self, key: &str) -> Vec<u8>;
}

impl WithKey for Vec<u8> {
    /// Replaces the default ordering key, the first argument of zeros.
    fn replace_key(self, key: &str) -> Vec<u8> {
        let zeros = b"$16\r\n0000000000000000\r\n";
        let at = self
            .windows(zeros.len())
            .position(|w| w == zeros)
            .expect("the default ordering key");
        let key = format!("${}\r\n{key}\r\n", key.len());
        [&self[..at], key.as_bytes(), &self[at + zeros.len()..]].concat()
    }
}

/// Makes the only class ordered and its messages `unsafe`: they must not take effect twice.
fn use_ordered_class(options: &mut ReactorOptions) {
    let settings = &mut options.platform_settings.settings;
    (settings.classes[0].in_order, settings.classes[0].effect) = (true, Effect::Unsafe);
    settings.rules.ordering_pause = ORDERING_KEY_PAUSE;
}

/// Writes a configuration file with an ordered class of this effect, for a sender process.
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

/// A destination that answers calls of message `delayed_id` with `reply` once the returned flag is set, and all others at once.
fn destination(
    delayed_id: &'static str,
    reply: fn() -> Reply,
) -> (SimulatedServer, Arc<AtomicBool>) {
    let released = Arc::new(AtomicBool::new(false));
    let release_flag = released.clone();
    let server = SimulatedServer::new(move |request, _| {
        if message_id(request) == delayed_id && !released.load(Ordering::Relaxed) {
            wait_for(&released);
            return reply();
        }
        Reply::status(200)
    });
    (server.expect("destination"), release_flag)
}

/// The message id of a call.
fn message_id(request: &http::Request) -> &str {
    http::header(&request.headers, "X-Txn").unwrap_or_default()
}

/// The message ids of all calls, in order of arrival.
fn arrived_ids(destination: &SimulatedServer) -> Vec<String> {
    destination
        .seen()
        .iter()
        .map(|s| message_id(&s.request).to_owned())
        .collect()
}

fn arrival_time(destination: &SimulatedServer, id: &str) -> Instant {
    let seen = destination.seen();
    seen.iter()
        .find(|s| message_id(&s.request) == id)
        .expect("a call for the message")
        .at
}

fn known(destination: &SimulatedServer) -> String {
    list(1, &[("a", destination.address, 7, "station")])
}

fn submit(to: SocketAddr, key: &str, id: &str) {
    let mut client = Client::new(to);
    client.send(&put_with_key(key, id));
    assert_eq!(client.line(), "+OK", "{id}");
}

#[test]
fn messages_of_one_ordering_key_are_sent_one_at_a_time() {
    let (destination, release) = destination("a1", || Reply::status(200));
    let platform = platform();
    let sender = start_with(&known(&destination), &platform, use_ordered_class);
    submit(sender.clients, "aa01", "a1");
    assert!(destination.wait_for(1, TIMEOUT));
    submit(sender.clients, "aa01", "a2");
    // A blocked ordering key delays neither other keys nor messages without a key.
    submit(sender.clients, "aa02", "b1");
    submit(sender.clients, "0000000000000000", "c1");
    submit(sender.clients, "0000000000000000", "c2");
    assert!(destination.wait_for(4, TIMEOUT));
    let mut others = arrived_ids(&destination);
    others.sort();
    assert_eq!(others, ["a1", "b1", "c1", "c2"]);
    release.store(true, Ordering::Relaxed);
    assert!(destination.wait_for(5, TIMEOUT));
    assert_eq!(arrived_ids(&destination)[4], "a2");
}

/// Guards both pauses of an ordering key: after a possibly executed attempt, and until the final report is acknowledged.
#[test]
fn next_message_of_a_key_waits_for_the_acknowledged_final_report() {
    let (destination, release) = destination("a1", || Reply::Close);
    let accept_reports = Arc::new(AtomicBool::new(false));
    let reports_accepted = accept_reports.clone();
    let platform = SimulatedServer::new(move |request, _| match request.method.as_str() {
        "GET" => Reply::Silent,
        _ if reports_accepted.load(Ordering::Relaxed) => Reply::status(204),
        _ => Reply::status(500),
    })
    .expect("platform");
    let sender = start_with(&known(&destination), &platform, use_ordered_class);
    submit(sender.clients, "aa01", "a1");
    assert!(destination.wait_for(1, TIMEOUT));
    submit(sender.clients, "aa01", "a2");
    let reset_at = Instant::now();
    release.store(true, Ordering::Relaxed);
    wait_until("a1 is reported", || {
        reports(&platform)
            .iter()
            .any(|r| r.contains(r#""id":"a1","state":"failed""#))
    });
    // The report is resent and a message of another key is delivered while this key still waits.
    wait_until("the report is resent", || reports(&platform).len() >= 3);
    submit(sender.clients, "aa02", "b1");
    assert!(destination.wait_for(2, TIMEOUT));
    assert_eq!(arrived_ids(&destination), ["a1", "b1"]);
    accept_reports.store(true, Ordering::Relaxed);
    assert!(destination.wait_for(3, TIMEOUT));
    assert_eq!(arrived_ids(&destination)[2], "a2");
    assert!(
        arrival_time(&destination, "a2") - reset_at >= ORDERING_KEY_PAUSE,
        "the key pauses after a connection reset"
    );
}

/// Kills a sender after the destination has answered a1 and before the sender records that: it is paused (SIGSTOP) while the
/// answer is written. Then starts a second process and waits for a3.
fn kill_before_recording_answer(effect: &str) -> (SimulatedServer, SimulatedServer) {
    let (destination, release) = destination("a1", || Reply::status(200));
    let (platform, folder) = (
        platform(),
        tempfile::tempdir().expect("temporary folder created"),
    );
    let config = config_file(folder.path(), &known(&destination), effect);
    let mut first = Process::start(&config, platform.address, 256);
    submit(first.clients, "aa01", "a1");
    submit(first.clients, "aa01", "a2");
    submit(first.clients, "aa01", "a3");
    assert!(destination.wait_for(1, TIMEOUT));
    signal(&first, "-STOP");
    release.store(true, Ordering::Relaxed);
    first.kill();
    let second = Process::start(&config, platform.address, 256);
    let last = || {
        arrived_ids(&destination)
            .last()
            .is_some_and(|id| id == "a3")
    };
    wait_until("the last message of the key arrives", last);
    drop(second);
    (destination, platform)
}

fn signal(process: &Process, name: &str) {
    let id = process.child.id().to_string();
    let status = std::process::Command::new("kill")
        .args([name, &id])
        .status()
        .expect("kill command started");
    assert!(status.success());
}

#[test]
fn order_survives_a_kill_between_response_and_record() {
    let (destination, platform) = kill_before_recording_answer("unsafe");
    assert_eq!(arrived_ids(&destination), ["a1", "a2", "a3"]);
    let reported = reports(&platform).concat();
    assert!(
        reported.contains(r#""id":"a1","state":"failed""#),
        "the attempt is possibly executed, so a1 must be reported: {reported}"
    );
    // A repeatable message is repeated before the next of its key.
    let (destination, _) = kill_before_recording_answer("keyed");
    assert_eq!(arrived_ids(&destination), ["a1", "a1", "a2", "a3"]);
}

/// Hands over to a new process while a1, the first message of its key, is in flight. `answered`: the destination may answer a1
/// before the hand-over; otherwise only after it, when the attempt has been cut off. Returns the message ids in order of
/// arrival and the platform.
fn run_handover(answered: bool) -> (Vec<String>, SimulatedServer) {
    let (destination, release) = destination("a1", || Reply::status(200));
    let (platform, folder) = (
        platform(),
        tempfile::tempdir().expect("temporary folder created"),
    );
    let start_with_state = || {
        start_with(&known(&destination), &platform, |options| {
            use_ordered_class(options);
            options.operator = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
            options.state = Some(State {
                dir: folder.path().to_owned(),
                disk: 1_000_000,
                key: None,
            });
        })
    };
    let old = start_with_state();
    submit(old.clients, "aa01", "a1");
    assert!(destination.wait_for(1, TIMEOUT));
    submit(old.clients, "aa01", "a2");
    // A message of another key is delivered: a2 waits for a1 alone, not for a connection.
    submit(old.clients, "aa02", "b1");
    assert!(destination.wait_for(2, TIMEOUT));
    release.store(answered, Ordering::Relaxed);
    let new = start_with_state();
    release.store(true, Ordering::Relaxed);
    submit(new.clients, "aa01", "a3");
    wait_until("the last message of the key arrives", || {
        arrived_ids(&destination)
            .last()
            .is_some_and(|id| id == "a3")
    });
    (arrived_ids(&destination), platform)
}

/// Guards the order across a hand-over that begins while the old process waits for an answer.
#[test]
fn order_survives_an_upgrade() {
    assert_eq!(run_handover(true).0, ["a1", "b1", "a2", "a3"]);
    let (arrived_ids, platform) = run_handover(false);
    assert_eq!(arrived_ids, ["a1", "b1", "a2", "a3"]);
    assert!(
        reports(&platform)
            .concat()
            .contains(r#""id":"a1","state":"failed""#),
        "the attempt was cut off by the hand-over, so a1 must be reported"
    );
}

#[test]
fn invalid_ordering_key_is_an_error_and_loses_nothing() {
    let (destination, release) = destination("none", || Reply::status(200));
    release.store(true, Ordering::Relaxed);
    let platform = platform();
    let sender = start_with(&known(&destination), &platform, use_ordered_class);
    let mut client = Client::new(sender.clients);
    for key in ["", "with a space", "k\u{e9}y", &"k".repeat(65)] {
        client.send(&put_with_key(key, "bad"));
        assert!(
            client
                .line()
                .starts_with("-ERR the first argument is no key"),
            "{key:?}"
        );
    }
    client.send(&put_with_key(&"k".repeat(64), "good"));
    assert_eq!(client.line(), "+OK");
    assert!(destination.wait_for(1, TIMEOUT));
    assert_eq!(arrived_ids(&destination), ["good"]);
    // In a class without order the ordering key is not validated.
    let other = start(&known(&destination), &platform);
    submit(other.clients, "with a space", "plain");
    assert!(destination.wait_for(2, TIMEOUT));
}
