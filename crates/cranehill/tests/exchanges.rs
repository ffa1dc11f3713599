//! Recorded exchanges, `tests/exchanges/*.txt`, played against the sender; what each party saw is compared.
//!
//! Lines: `endpoint ID PARTNER KIND`; `ID < BYTES` an answer that the endpoint gives next (`close`: it ends
//! the connection instead; `200` otherwise); `client > BYTES`; `client < N` wait for so many answer lines;
//! `ID = N` and `platform = N` wait for so many requests there. Escapes: \r \n \\.

mod common;

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};

use common::{Client, SOON, list, platform, shown, start};
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

fn play(text: &str) -> String {
    let lines: Vec<Vec<&str>> = text
        .lines()
        .filter(|l| !l.is_empty() && !l.starts_with('#'))
        .map(|l| l.splitn(3, ' ').collect())
        .collect();
    type Answers = Arc<Mutex<VecDeque<Reply>>>;
    let mut endpoints: BTreeMap<&str, (SimulatedServer, Answers, u64, &str)> = BTreeMap::new();
    for line in &lines {
        if let ["endpoint", id, rest] = line[..] {
            let (destination, kind) = rest.split_once(' ').expect("partner and kind");
            let answers = Answers::default();
            let next = answers.clone();
            let stand_in = SimulatedServer::new(move |_, _| {
                next.lock()
                    .expect("answers")
                    .pop_front()
                    .unwrap_or_else(|| Reply::status(200))
            });
            endpoints.insert(
                id,
                (
                    stand_in.expect("endpoint"),
                    answers,
                    destination.parse().expect("a number"),
                    kind,
                ),
            );
        }
    }
    let rows: Vec<_> = endpoints
        .iter()
        .map(|(id, e)| (*id, e.0.address, e.2, e.3))
        .collect();
    let platform = platform();
    let sender = start(&list(1, &rows), &platform);
    let mut client = Client::new(sender.clients);
    let mut transcript = String::new();
    for line in &lines {
        match line[..] {
            ["endpoint", ..] => {}
            ["client", ">", bytes] => client.send(&unescape(bytes)),
            ["client", "<", count] => {
                for _ in 0..count.parse::<usize>().expect("a count") {
                    transcript.push_str(&format!("client < {}\n", client.line()));
                }
            }
            ["platform", "=", count] => {
                // Besides the one watch that is held.
                assert!(
                    platform.wait_for(count.parse::<usize>().expect("a count") + 1, SOON),
                    "{line:?}"
                );
            }
            [id, "<", bytes] => {
                let reply = if bytes == "close" {
                    Reply::Close
                } else {
                    Reply::Bytes(unescape(bytes))
                };
                endpoints[id].1.lock().expect("answers").push_back(reply);
            }
            [id, "=", count] => {
                assert!(
                    endpoints[id]
                        .0
                        .wait_for(count.parse().expect("a count"), SOON),
                    "{line:?}"
                );
            }
            _ => panic!("not understood: {line:?}"),
        }
    }
    for (id, (stand_in, ..)) in &endpoints {
        for seen in stand_in.seen() {
            transcript.push_str(&format!("--- {id}\n{}", shown(&seen.request)));
        }
    }
    for seen in platform
        .seen()
        .iter()
        .filter(|s| s.request.method == "POST")
    {
        transcript.push_str(&format!("--- platform\n{}", shown(&seen.request)));
    }
    transcript
}

#[test]
fn recorded_exchanges() {
    insta::glob!("exchanges/*.txt", |path| {
        let text = std::fs::read_to_string(path).expect("an exchange");
        insta::assert_snapshot!(play(&text));
    });
}
