//! A new version takes over while discovery is down: whether what the sender was told of endpoints before is kept.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;

/// Discovery is down for so long: the operators' page names 8 s.
const DOWN: Duration = Duration::from_millis(8000);
/// Discovery's word binds from 2 s after the new version's yes; the grace of a drain is 500 ms, and 50 ms more.
const BINDING: Duration = Duration::from_millis(2000 + 550);

/// A call that came to an address, and the partner that the address belonged to in discovery's list.
struct Arrival {
    at: Instant,
    id: String,
    body: String,
}

pub fn play() {
    // The partners' programs: partner 7 with two endpoints, of which the first goes. Its address is then that of a new endpoint
    // of partner 8, with a new id, as where machines are replaced.
    let (arrived, served): (Arc<Mutex<Vec<Arrival>>>, Arc<Mutex<Vec<Arrival>>>) = (Arc::default(), Arc::default());
    let log = |name: &'static str, arrivals: Arc<Mutex<Vec<Arrival>>>| {
        Server::start(move |request, stream| {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            note(format!("{name}: call {} body {body}", request.header("X-Txn")));
            lock(&arrivals).push(Arrival { at: Instant::now(), id: request.header("X-Txn").to_owned(), body });
            thread::sleep(ms(150));
            answer(stream, "200 OK", "", "")
        })
    };
    let moving = log("address A", arrived.clone());
    let staying = log("address B", served.clone());
    let before = vec![Entry::up("s-1", moving.address, "station", 7), Entry::up("s-2", staying.address, "station", 7)];
    let now = vec![Entry::up("s-2", staying.address, "station", 7), Entry::up("s-3", moving.address, "station", 8)];
    let platform = Platform::start("platform", 5, before.clone());
    let (listen, operator_1, operator_2) = (free_address(), free_address(), free_address());
    let class = Class { name: "episode-notice", effect: "keyed", in_order: false, aim_ms: 4000, deadline_ms: 20_000, window_ms: 20_000 };
    let path = write_config(&config(&Site::SanjoseCentral, platform.server.address, &[class], 5, &before));
    let mut variables = variables(&path, listen, platform.server.address, &work_folder().join("state"));
    variables.insert("NODE_OPERATOR", operator_1.to_string());
    let mut old = Sender::start("sender-1", "", &variables);
    wait_ready(listen);
    let mut next = 0;
    let mut hand_in = || {
        next += 1;
        let (id, key) = (hex(next), hex(next + 1000));
        let names = format!("c=episode-notice,t=onda-central,d=20000,k={key},dest=7");
        put(listen, "0000000000000000", &id, &names, &format!("for-partner-7-{next}"))
    };
    for _ in 0..6 {
        hand_in();
        thread::sleep(ms(100));
    }
    note("discovery: s-1 is gone; its address now belongs to s-3, an endpoint of partner 8");
    platform.publish(now);
    let told_at = Instant::now();
    thread::sleep(ms(1000));
    let binding = told_at + ms(550);
    // The sender was told and keeps to it.
    for _ in 0..10 {
        hand_in();
        thread::sleep(ms(100));
    }
    if lock(&arrived).iter().any(|arrival| arrival.at > binding) {
        give_up("calls to s-1 although the sender was told, before any disruption");
    }
    let mut from = binding;
    let mut new = None;
    let down_at = Instant::now();
    if trouble() {
        note("discovery is down: its agent is silent");
        platform.set_silent(true);
        thread::sleep(ms(500));
        variables.insert("NODE_OPERATOR", operator_2.to_string());
        let started = Instant::now();
        let mut sender = Sender::start("sender-2", "", &variables);
        while operator(operator_2, "GET", "/_ready") != Some(true) {
            if sender.ended().is_some() || started.elapsed() > ms(30_000) {
                give_up("the new version did not become ready");
            }
            thread::sleep(ms(10));
        }
        note(format!("sender-2: yes {} ms after its start", started.elapsed().as_millis()));
        from = Instant::now() + BINDING;
        if old.ended().is_none() {
            old.signal("TERM");
            let term_at = Instant::now();
            while term_at.elapsed() < ms(3700) && old.ended().is_none() {
                thread::sleep(ms(5));
            }
            old.kill();
        }
        new = Some(sender);
    }
    while down_at.elapsed() < DOWN {
        hand_in();
        thread::sleep(ms(100));
    }
    platform.set_silent(false);
    note("discovery is up");
    thread::sleep(ms(1500));
    let wrong: Vec<String> = lock(&arrived)
        .iter()
        .filter(|arrival| arrival.at > from)
        .map(|arrival| format!("{} ({})", arrival.id, arrival.body))
        .collect();
    note(format!("{} calls to the endpoint that stayed", lock(&served).len()));
    drop(new);
    let mut violations = Vec::new();
    if let Some(first) = wrong.first() {
        violations.push(format!(
            "{} messages of partner 7 were sent to the address of an endpoint that the sender had been told is gone, and that belongs to partner 8; the first is {first}",
            wrong.len()
        ));
    }
    finish(&violations)
}
