//! Case 3: at a planned restart the sender ends while requests that it has read wait for their answers.

use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::agent::{self, Agent, Entry};
use crate::endpoint;
use crate::http;
use crate::record::Record;
use crate::sender::Deployment;
use crate::settings::{self, Class};

/// Partners, each with one endpoint.
const PARTNERS: u64 = 4;
/// Commands that the client sends at once.
const AT_ONCE: usize = 32;
/// It sends the next ones when no more than this many wait for their answers, so that each is answered within its 400 ms.
const FEW_LEFT: usize = 16;
/// A request written this long before the end of its connection did not cross that end: the slack of each time limit on sockets.
const NO_CROSSING: Duration = Duration::from_millis(50);
/// A client closes its connection when an answer takes longer.
const PATIENCE: Duration = Duration::from_millis(400);
/// From the start to SIGTERM.
const BEFORE: Duration = Duration::from_millis(1500);
/// From SIGTERM to SIGKILL.
const TERM_TO_KILL: Duration = Duration::from_millis(3700);

/// A request without an answer.
struct Unanswered {
    id: String,
    /// When its last byte was written.
    written: Duration,
}

/// How the client's connection ended.
struct End {
    at: Duration,
    /// The sender has closed or reset it.
    by_sender: bool,
    answered: usize,
    unanswered: VecDeque<Unanswered>,
    /// The longest time until an answer.
    longest: Duration,
}

/// Sends messages, many at once, until `stop` is set and all are answered, or until the sender ends the connection.
fn send_many_at_once(address: SocketAddr, stop: &AtomicBool, record: &Record) -> Result<End, String> {
    let text = |e: std::io::Error| e.to_string();
    let mut stream = TcpStream::connect(address).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    stream.set_read_timeout(Some(Duration::from_millis(2))).map_err(text)?;
    let mut waiting: VecDeque<Unanswered> = VecDeque::new();
    let (mut number, mut answered, mut longest) = (0_u64, 0, Duration::ZERO);
    let mut line = Vec::new();
    let mut ended = false;
    while !ended && !(stop.load(Ordering::SeqCst) && waiting.is_empty()) {
        if waiting.len() <= FEW_LEFT && !stop.load(Ordering::SeqCst) {
            let mut bytes = Vec::new();
            let first = number;
            for _ in 0..AT_ONCE {
                let id = format!("{:016x}", 0x9b1f_0000_0000_0000 + number);
                let names = format!("c=episode-notice,t=onda-central,d=10000,k={id},dest={}", 1 + number % PARTNERS);
                for argument in [
                    "*5",
                    "$7",
                    "MSG.PUT",
                    "$16",
                    "0000000000000000",
                    "$16",
                    &id,
                    &format!("${}", names.len()),
                    &names,
                    "$4",
                    "body",
                ] {
                    bytes.extend_from_slice(argument.as_bytes());
                    bytes.extend_from_slice(b"\r\n");
                }
                waiting.push_back(Unanswered {
                    id,
                    written: Duration::ZERO,
                });
                number += 1;
            }
            ended = stream.write_all(&bytes).is_err();
            let written = record.now();
            let new = waiting.len() - AT_ONCE;
            waiting.iter_mut().skip(new).for_each(|request| request.written = written);
            record.add_at(
                written,
                "client",
                &format!(
                    "{AT_ONCE} messages written at once, ids {first:x} to {:x} (last digits)",
                    number - 1
                ),
            );
        }
        if waiting.front().is_some_and(|oldest| record.now() - oldest.written > PATIENCE) {
            return Err("an answer took longer than 400 ms, and the client gave up".into());
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(0) => ended = true,
            Ok(n) => {
                for &byte in &chunk[..n] {
                    line.push(byte);
                    if !line.ends_with(b"\r\n") {
                        continue;
                    }
                    let answer = String::from_utf8_lossy(&line).trim_end().to_owned();
                    line.clear();
                    let Some(request) = waiting.pop_front() else {
                        return Err("an answer to no request".into());
                    };
                    let now = record.now();
                    longest = longest.max(now - request.written);
                    answered += 1;
                    record.add_at(now, "client", &format!("{}: {answer}", request.id));
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) => {
                record.add("client", &format!("connection: {e}"));
                ended = true;
            }
        }
    }
    Ok(End {
        at: record.now(),
        by_sender: ended,
        answered,
        unanswered: waiting,
        longest,
    })
}

/// Returns whether the rule was broken.
pub fn play(root: &Path, trouble: bool, record: &Record) -> Result<bool, String> {
    let mut list = Vec::new();
    for (cell, id) in (1..=PARTNERS).zip(["s-a", "s-b", "s-c", "s-d"]) {
        let record = record.clone();
        let address = endpoint::start(move |request, stream| {
            std::thread::sleep(Duration::from_millis(20));
            let _ = http::respond(stream, 200, "", "");
            record.add(id, &format!("has run {}", request.header("x-txn")));
        })?;
        list.push(Entry {
            id,
            address,
            kind: "station",
            cell,
            state: "up",
            weight: 200.0,
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
    let stop = Arc::new(AtomicBool::new(false));
    let (stopping, noted, address) = (Arc::clone(&stop), record.clone(), deployment.listen);
    let client = std::thread::spawn(move || send_many_at_once(address, &stopping, &noted));
    std::thread::sleep(BEFORE);
    if trouble {
        sender.signal("TERM");
    }
    std::thread::sleep(TERM_TO_KILL);
    let mut killed_at = None;
    if trouble {
        let ended = sender.has_ended();
        record.add("platform", &format!("3.7 s after SIGTERM, the process has ended: {ended}"));
        killed_at = (!ended).then(|| record.now());
        sender.kill();
    }
    stop.store(true, Ordering::SeqCst);
    let end = client.join().map_err(|_| "the client failed")??;
    sender.kill();
    // SIGKILL ends connections without the sender's doing: then nothing is judged.
    let by_platform = killed_at.is_some_and(|killed| end.at >= killed);
    Ok(judge(&end, by_platform, record))
}

/// Whether a request that was written whole long before its connection ended got no answer.
fn judge(end: &End, by_platform: bool, record: &Record) -> bool {
    let by = match (by_platform, end.by_sender) {
        (true, _) => "SIGKILL",
        (false, true) => "the sender",
        (false, false) => "the client",
    };
    record.add(
        "judge",
        &format!(
            "{} requests answered, the longest after {:?}; the connection was ended by {by}",
            end.answered, end.longest
        ),
    );
    let mut lost = 0;
    for request in &end.unanswered {
        let before = end.at.saturating_sub(request.written);
        if end.by_sender && !by_platform && before >= NO_CROSSING {
            lost += 1;
            record.add(
                "judge",
                &format!(
                    "BROKEN: {} was written whole {before:?} before the sender ended the connection, and got no answer",
                    request.id
                ),
            );
        } else {
            record.add(
                "judge",
                &format!("{} was written {before:?} before the end, and is not counted", request.id),
            );
        }
    }
    record.add("judge", &format!("{lost} requests lost"));
    lost > 0
}
