//! Messages of one key in a class that keeps its order; the connection under the first one's call breaks in the middle of the
//! answer.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::Shutdown;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;

const KEYS: u64 = 10;
/// After a reset the key rests for 100 ms; every limit has 50 ms of slack.
const REST: Duration = Duration::from_millis(100);
const SLACK: Duration = Duration::from_millis(50);

#[derive(Default)]
struct Account {
    /// When the connection under the first message's call broke.
    broken_at: Option<Instant>,
    /// When the second message's call came whole.
    second_at: Option<Instant>,
    /// The bodies of the messages in the order in which they took effect.
    effects: Vec<String>,
}

pub fn play() {
    let accounts: Arc<Mutex<BTreeMap<String, Account>>> = Arc::default();
    let books = accounts.clone();
    let partner = Server::start(move |request, stream| {
        let arrived = Instant::now();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let (account, order) = body
            .split_once('/')
            .map(|(a, b)| (a.to_owned(), b.to_owned()))
            .unwrap_or_default();
        note(format!(
            "partner: call {} body {body}",
            request.header("X-Txn")
        ));
        let takes_effect = {
            let (books, account, body) = (books.clone(), account.clone(), body.clone());
            move || {
                note(format!("partner: {body} takes effect"));
                lock(&books).entry(account).or_default().effects.push(body);
            }
        };
        if order == "second" {
            lock(&books).entry(account.clone()).or_default().second_at = Some(arrived);
        }
        if order == "second" || !trouble() {
            thread::sleep(ms(40));
            takes_effect();
            return answer(stream, "200 OK", "", "");
        }
        // The work on the first order goes on while the connection breaks after a part of the first line.
        thread::sleep(ms(150));
        let _ = stream.write_all(b"HTTP/1.1 2");
        thread::sleep(ms(20));
        let _ = stream.shutdown(Shutdown::Both);
        lock(&books).entry(account).or_default().broken_at = Some(Instant::now());
        note(format!("partner: the connection of {body} breaks"));
        thread::sleep(ms(80));
        takes_effect();
        Next::Close
    });
    let entries = vec![Entry::up("s-1", partner.address, "bulk-host", 7)];
    let platform = Platform::start("platform", 1, entries.clone());
    let listen = free_address();
    let class = Class {
        name: "licence-order",
        effect: "unsafe",
        in_order: true,
        aim_ms: 4000,
        deadline_ms: 24_000,
        window_ms: 0,
    };
    let path = write_config(&config(
        &Site::RecifeCampus,
        platform.server.address,
        &[class],
        1,
        &entries,
    ));
    let variables = variables(
        &path,
        listen,
        platform.server.address,
        &work_folder().join("state"),
    );
    let sender = Sender::start("sender-1", "", &variables);
    wait_ready(listen);
    for account in 1..=KEYS {
        let key = hex(account + 500);
        for (n, order) in ["first", "second"].iter().enumerate() {
            let names = "c=licence-order,t=sonora-main,d=24000,dest=7";
            let body = format!("{key}/{order}");
            let answer = put(listen, &key, &hex(account * 2 + n as u64), names, &body);
            if !answer.is_some_and(|answer| answer.starts_with('+')) {
                give_up("a message was not taken on");
            }
        }
        thread::sleep(ms(900));
    }
    thread::sleep(ms(1500));
    let accounts = lock(&accounts);
    let mut violations = Vec::new();
    for (key, account) in accounts.iter() {
        let (Some(second_at), Some(broken_at)) = (account.second_at, account.broken_at) else {
            continue;
        };
        let rested = second_at.saturating_duration_since(broken_at);
        let in_order = account
            .effects
            .first()
            .is_some_and(|body| body.ends_with("first"));
        note(format!(
            "{key}: rested {} ms, effects {}",
            rested.as_millis(),
            if in_order { "in order" } else { "out of order" }
        ));
        if rested + SLACK < REST {
            violations.push(format!(
                "key {key}: the second message was sent {} ms after the connection of the first one's call broke; effects {}",
                rested.as_millis(),
                if in_order { "in order" } else { "out of order" }
            ));
        }
    }
    drop(sender);
    finish(&violations)
}
