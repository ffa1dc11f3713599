//! Runs the exchanges in `tests/exchanges/*.txt` against a sender and compares the resulting transcripts with snapshots.
//!
//! One instruction a line:
//! - `endpoint ID DESTINATION KIND` defines a simulated endpoint.
//! - `ID < BYTES` queues an answer of that endpoint; `close` closes the connection instead. Without one it answers 200.
//! - `client > BYTES` sends bytes; `client < N` waits for N answer lines.
//! - `ID = N` waits until the endpoint has received N requests, `platform = N` until the platform has received N final reports.
//!
//! Escapes in BYTES: `\r`, `\n`, `\\`.

mod common;

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};

use common::{Client, TIMEOUT, list, platform, start, transcript_entry};
use cranehill::simulated_server::{Reply, SimulatedServer};

fn unescape(text: &str) -> Vec<u8> {
    let (mut bytes, mut chars) = (Vec::new(), text.chars());
    while let Some(c) = chars.next() {
        match (c, c == '\\') {
            (_, true) => match chars.next() {
                Some('r') => bytes.push(b'\r'),
                Some('n') => bytes.push(b'\n'),
                other => bytes.extend(other.map(|c| c as u8)),
            },
            (c, false) => bytes.extend(c.to_string().as_bytes()),
        }
    }
    bytes
}

/// A simulated endpoint and its queued answers.
struct Endpoint {
    server: SimulatedServer,
    answers: Arc<Mutex<VecDeque<Reply>>>,
    destination: u64,
    kind: String,
}

impl Endpoint {
    /// `description`: the number of the destination and its kind, with a space between.
    fn new(description: &str) -> Endpoint {
        let (destination, kind) = description.split_once(' ').expect("destination and kind");
        let answers: Arc<Mutex<VecDeque<Reply>>> = Arc::default();
        let next = answers.clone();
        let server = SimulatedServer::new(move |_, _| {
            let answer = next.lock().expect("answers lock").pop_front();
            answer.unwrap_or_else(|| Reply::status(200))
        });
        Endpoint {
            server: server.expect("endpoint"),
            answers,
            destination: destination.parse().expect("a number"),
            kind: kind.to_owned(),
        }
    }

    fn add_answer(&self, bytes: &str) {
        let reply = if bytes == "close" {
            Reply::Close
        } else {
            Reply::Bytes(unescape(bytes))
        };
        self.answers.lock().expect("answers lock").push_back(reply);
    }
}

fn count(text: &str) -> usize {
    text.parse().expect("a count")
}

/// Runs one exchange and returns its transcript.
fn run_exchange(text: &str) -> String {
    let lines: Vec<Vec<&str>> = text
        .lines()
        .filter(|l| !l.is_empty() && !l.starts_with('#'))
        .map(|l| l.splitn(3, ' ').collect())
        .collect();
    let endpoints: BTreeMap<&str, Endpoint> = lines
        .iter()
        .filter_map(|line| match line[..] {
            ["endpoint", id, description] => Some((id, Endpoint::new(description))),
            _ => None,
        })
        .collect();
    let rows: Vec<_> = endpoints
        .iter()
        .map(|(id, e)| (*id, e.server.address, e.destination, e.kind.as_str()))
        .collect();
    let platform = platform();
    let sender = start(&list(1, &rows), &platform);
    let mut client = Client::new(sender.clients);
    let mut transcript = String::new();
    for line in &lines {
        match line[..] {
            ["endpoint", ..] => {}
            ["client", ">", bytes] => client.send(&unescape(bytes)),
            ["client", "<", answers] => {
                for _ in 0..count(answers) {
                    transcript.push_str(&format!("client < {}\n", client.line()));
                }
            }
            ["platform", "=", requests] => {
                // One more than the final reports: the watch is a request too.
                assert!(platform.wait_for(count(requests) + 1, TIMEOUT), "{line:?}");
            }
            [id, "<", bytes] => endpoints[id].add_answer(bytes),
            [id, "=", requests] => {
                let server = &endpoints[id].server;
                assert!(server.wait_for(count(requests), TIMEOUT), "{line:?}");
            }
            _ => panic!("unknown instruction: {line:?}"),
        }
    }
    transcript.push_str(&received(&endpoints, &platform));
    transcript
}

/// The requests that the endpoints have received, then the final reports.
fn received(endpoints: &BTreeMap<&str, Endpoint>, platform: &SimulatedServer) -> String {
    let mut text = String::new();
    for (id, endpoint) in endpoints {
        for seen in endpoint.server.seen() {
            text.push_str(&format!("--- {id}\n{}", transcript_entry(&seen.request)));
        }
    }
    for seen in platform.seen() {
        if seen.request.method == "POST" {
            text.push_str(&format!(
                "--- platform\n{}",
                transcript_entry(&seen.request)
            ));
        }
    }
    text
}

#[test]
fn recorded_exchanges() {
    insta::glob!("exchanges/*.txt", |path| {
        let text = std::fs::read_to_string(path).expect("a readable exchange file");
        insta::assert_snapshot!(run_exchange(&text));
    });
}
