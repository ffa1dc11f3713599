//! Case 2: after some seconds of bad clients the sender refuses every message, for good.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::agent::{self, Agent, Entry};
use crate::client::Client;
use crate::endpoint;
use crate::http;
use crate::record::Record;
use crate::sender::Deployment;
use crate::settings::{self, Class};

const PARTNERS: u64 = 4;
/// Usual time of a call.
const PACE: Duration = Duration::from_millis(300);
/// Time between two messages of the usual clients.
const GAP: Duration = Duration::from_millis(400);
/// From the first message of the usual clients to the bad clients, which come for `BAD_FOR`.
const BEFORE: Duration = Duration::from_secs(2);
const BAD_FOR: Duration = Duration::from_secs(5);
/// How long the usual clients go on after that.
const AFTERWARDS: Duration = Duration::from_secs(20);
const BAD_CLIENTS: usize = 8;
/// Commands that a bad client sends at once. The sender ends a connection after 16 errors.
const AT_ONCE: usize = 16;
/// Sizes of their bodies, in turn.
const BODIES: [usize; 4] = [60_000, 60_000, 2_000, 0];
/// A bad client comes again this long after the sender has ended its connection.
const COMES_AGAIN: Duration = Duration::from_millis(20);
/// The rule: a sender may not reject all that it gets, so many messages or more, for so long, with no attempt in between.
const REJECTED: usize = 15;
const REJECTING_FOR: Duration = Duration::from_secs(4);

/// Sends messages of a class that does not exist, and the same again once the sender has ended the connection.
fn be_bad(address: SocketAddr, stop: &AtomicBool, sent: &AtomicUsize, errors: &AtomicUsize) {
    let mut bytes = Vec::new();
    for number in 0..AT_ONCE {
        let body = vec![b'x'; BODIES[number % BODIES.len()]];
        let names = "c=no-such-class,t=onda-central,d=10000,dest=1";
        let id = format!("{:016x}", 0xbad0_0000_0000_0000_u64 + number as u64);
        for argument in [b"MSG.PUT", &b"0000000000000000"[..], id.as_bytes(), names.as_bytes(), &body] {
            if bytes.is_empty() || argument == b"MSG.PUT" {
                bytes.extend_from_slice(b"*5\r\n");
            }
            bytes.extend(format!("${}\r\n", argument.len()).bytes());
            bytes.extend_from_slice(argument);
            bytes.extend_from_slice(b"\r\n");
        }
    }
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(address) else {
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
        let Ok(mut reading) = stream.try_clone() else {
            continue;
        };
        // It reads what it is sent, and counts the error lines.
        let reader = std::thread::spawn(move || {
            let (mut chunk, mut lines) = ([0; 4096], 0);
            while let Ok(n @ 1..) = reading.read(&mut chunk) {
                lines += chunk[..n].iter().filter(|&&byte| byte == b'\n').count();
            }
            lines
        });
        let _ = stream.write_all(&bytes);
        sent.fetch_add(AT_ONCE, Ordering::SeqCst);
        errors.fetch_add(reader.join().unwrap_or(0), Ordering::SeqCst);
        std::thread::sleep(COMES_AGAIN);
    }
}

/// Returns whether the rule was broken.
pub fn play(root: &Path, trouble: bool, record: &Record) -> Result<bool, String> {
    let attempts = Arc::new(AtomicUsize::new(0));
    let mut list = Vec::new();
    for (cell, id) in (1..=PARTNERS).zip(["s-a", "s-b", "s-c", "s-d"]) {
        let (record, attempts) = (record.clone(), Arc::clone(&attempts));
        let address = endpoint::start(move |request, stream| {
            attempts.fetch_add(1, Ordering::SeqCst);
            std::thread::sleep(PACE);
            let _ = http::respond(stream, 200, "", "");
            record.add(id, &format!("has run {}", request.header("x-txn")));
        })?;
        list.push(Entry {
            id,
            address,
            kind: "station",
            cell,
            state: "up",
            weight: 20.0,
        });
    }
    let agent = Agent::start("agent", 41, &list, record)?;
    let class = Class {
        name: "episode-notice",
        effect: "keyed",
        by_arrival: false,
    };
    let known = agent::list_json(41, true, &list);
    let deployment = Deployment::new(root, agent.address, settings::json(&[class], false), known, record)?;
    let mut sender = deployment.start()?;
    deployment.wait_until_ready()?;
    let (stop, sent, errors) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
        Arc::new(AtomicUsize::new(0)),
    );
    let mut bad_clients = Vec::new();
    let mut client = Client::new(deployment.listen, record);
    let mut rejecting = Rejecting::default();
    let (mut broken, mut came) = (false, false);
    let (mut number, started) = (0_u64, record.now());
    while record.now() - started < BEFORE + BAD_FOR + AFTERWARDS {
        let passed = record.now() - started;
        if trouble && !came && passed >= BEFORE {
            came = true;
            record.add("bad clients", &format!("{BAD_CLIENTS} of them come"));
            for _ in 0..BAD_CLIENTS {
                let (stop, sent, errors) = (Arc::clone(&stop), Arc::clone(&sent), Arc::clone(&errors));
                let address = deployment.listen;
                bad_clients.push(std::thread::spawn(move || be_bad(address, &stop, &sent, &errors)));
            }
        }
        if passed >= BEFORE + BAD_FOR && !stop.swap(true, Ordering::SeqCst) {
            for bad_client in bad_clients.drain(..) {
                let _ = bad_client.join();
            }
            let (sent, errors) = (sent.load(Ordering::SeqCst), errors.load(Ordering::SeqCst));
            record.add(
                "bad clients",
                &format!("have gone: {sent} messages sent, {errors} lines of answers"),
            );
        }
        let id = format!("{:016x}", 0x9b1f_0000_0000_0000 + number);
        let names = format!("c=episode-notice,t=onda-central,d=10000,k={id},dest={}", 1 + number % PARTNERS);
        let taken = client.put("0000000000000000", &id, &names);
        number += 1;
        // Only what comes after the bad clients have gone is judged.
        if stop.load(Ordering::SeqCst) {
            broken |= rejecting.add(taken, attempts.load(Ordering::SeqCst), record);
        }
        std::thread::sleep(GAP);
    }
    let alive = !sender.has_ended();
    record.add(
        "judge",
        &format!(
            "after the bad clients had gone: {} messages handed in, {} of them refused; the process is running: {alive}",
            rejecting.handed_in, rejecting.refused
        ),
    );
    sender.kill();
    Ok(broken)
}

/// The messages handed in since the sender last took one on or sent one.
#[derive(Default)]
struct Rejecting {
    since: Option<Duration>,
    in_a_row: usize,
    attempts: usize,
    handed_in: usize,
    refused: usize,
    reported: bool,
}

impl Rejecting {
    /// Counts a message; true once the rule is broken.
    fn add(&mut self, taken: bool, attempts: usize, record: &Record) -> bool {
        let now = record.now();
        self.handed_in += 1;
        if taken || attempts != self.attempts {
            (self.since, self.in_a_row, self.attempts) = (None, 0, attempts);
        }
        if taken {
            return false;
        }
        self.refused += 1;
        self.in_a_row += 1;
        let lasts = now - *self.since.get_or_insert(now);
        let broken = self.in_a_row >= REJECTED && lasts >= REJECTING_FOR;
        if broken && !self.reported {
            self.reported = true;
            record.add(
                "judge",
                &format!(
                    "BROKEN: the last {} messages, over {lasts:?}, were all refused, with no attempt in between",
                    self.in_a_row
                ),
            );
        }
        broken
    }
}
