//! Case 1: after a kill, the sender sends by the list in its configuration, which may be old, before it has asked the agent.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::agent::{self, Agent, Entry};
use crate::client::Client;
use crate::endpoint;
use crate::http;
use crate::record::Record;
use crate::sender::Deployment;
use crate::settings::{self, Class};

/// The partner whose messages are handed in.
const PARTNER: u64 = 7;
/// The partner that later has an endpoint at an address which one of `PARTNER` had before.
const OTHER_PARTNER: u64 = 9;
/// Usual time of a call.
const PACE: Duration = Duration::from_millis(300);
/// Messages handed in just before the kill.
const MESSAGES: usize = 12;
/// The number of the first of them. Its endpoint is at its limit just then, and answers 429 with a wait, once.
const FIRST_MESSAGE: usize = 100;
/// The wait that it tells, in seconds. The other messages are held meanwhile, untried.
const WAIT: &str = "1.5";
/// How long a message may be delivered, in milliseconds.
const DEADLINE_MS: u64 = 8000;
/// Time from SIGKILL to the next start.
const DOWN: Duration = Duration::from_millis(600);

/// Calls with a message that arrived, by the name of the endpoint and the message's id.
type Calls = Arc<Mutex<Vec<(&'static str, String)>>>;

fn message_id(number: usize) -> String {
    format!("{:016x}", 0x9b1f_03aa_0000_0000_u64 + number as u64)
}

fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Starts an endpoint that answers each call with 200 after the usual time. It bears the first name until `moved` is set, then the
/// second.
fn start_endpoint(
    names: (&'static str, &'static str),
    moved: &Arc<AtomicBool>,
    calls: &Calls,
    record: &Record,
) -> Result<std::net::SocketAddr, String> {
    let (moved, calls, record) = (Arc::clone(moved), Arc::clone(calls), record.clone());
    endpoint::start(move |request, stream| {
        let name = if moved.load(Ordering::SeqCst) { names.1 } else { names.0 };
        let id = request.header("x-txn").to_owned();
        record.add(name, &format!("gets {} {id}", request.path));
        let repeated = calls.lock().unwrap().iter().any(|(_, called)| *called == id);
        calls.lock().unwrap().push((name, id.clone()));
        if id == message_id(FIRST_MESSAGE) && !repeated {
            let _ = http::respond(stream, 429, &format!("Retry-After: {WAIT}\r\n"), "");
            record.add(name, &format!("turns {id} away, wait {WAIT} s"));
            return;
        }
        std::thread::sleep(PACE);
        let answered = http::respond(stream, 200, "", "").is_ok();
        record.add(name, &format!("has run {id}, answer 200 written: {answered}"));
    })
}

/// Returns whether the rule was broken.
pub fn play(root: &Path, trouble: bool, record: &Record) -> Result<bool, String> {
    let (calls, not_moved, moved) = (Calls::default(), Arc::default(), Arc::new(AtomicBool::new(false)));
    // The first address has the endpoint s-e of partner 7, and after that has gone, s-f of partner 9.
    let first = start_endpoint(("s-e", "s-f"), &moved, &calls, record)?;
    let second = start_endpoint(("s-e2", "s-e2"), &not_moved, &calls, record)?;
    let other = start_endpoint(("s-g", "s-g"), &not_moved, &calls, record)?;
    let entry = |id, address, cell, state| Entry {
        id,
        address,
        kind: "station",
        cell,
        state,
        weight: 20.0,
    };
    let before = [entry("s-e", first, PARTNER, "up"), entry("s-g", other, OTHER_PARTNER, "up")];
    let agent = Agent::start("agent", 41, &before, record)?;
    let class = Class {
        name: "episode-notice",
        effect: "keyed",
        by_arrival: false,
    };
    // The list as it is at the deployment. The file is not written again.
    let known = agent::list_json(41, true, &before);
    let deployment = Deployment::new(root, agent.address, settings::json(&[class], false), known, record)?;
    let mut sender = deployment.start()?;
    deployment.wait_until_ready()?;

    let mut client = Client::new(deployment.listen, record);
    let mut handed_in = BTreeMap::new();
    let mut hand_in = |client: &mut Client, number: usize, cell: u64| {
        let id = message_id(number);
        let names = format!("c=episode-notice,t=onda-central,d={DEADLINE_MS},k={id},dest={cell}");
        let sent = record.now();
        let taken = client.put("0000000000000000", &id, &names);
        if taken {
            handed_in.insert(id, (cell, sent));
        }
        taken
    };
    for number in 0..6 {
        let cell = if number % 2 == 0 { PARTNER } else { OTHER_PARTNER };
        if !hand_in(&mut client, number, cell) {
            return Err("a message on the calm stretch was not taken on".into());
        }
        sleep_ms(150);
    }
    // A new endpoint under a new id replaces s-e, in the usual steps.
    agent.change(&[entry("s-e2", second, PARTNER, "up")]);
    agent.change(&[entry("s-e", first, PARTNER, "draining")]);
    sleep_ms(1500);
    agent.change(&[entry("s-e", first, PARTNER, "removed")]);
    sleep_ms(2000);
    // Two seconds later an endpoint of the other partner begins at the address of the one that has gone.
    moved.store(true, Ordering::SeqCst);
    agent.change(&[entry("s-f", first, OTHER_PARTNER, "up")]);
    // By then all of it counts as told by each sentence of the pages, whether or not it arrived.
    sleep_ms(6500);

    for number in 0..MESSAGES {
        if !hand_in(&mut client, FIRST_MESSAGE + number, PARTNER) {
            return Err("a message before the kill was not taken on".into());
        }
        // The answer 429 to the first one is there before the others come.
        sleep_ms(if number == 0 { 50 } else { 0 });
    }
    if trouble {
        sender.kill();
        std::thread::sleep(DOWN);
        sender = deployment.start()?;
        deployment.wait_until_ready()?;
    }
    sleep_ms(DEADLINE_MS + 1500);
    sender.kill();
    Ok(judge(&agent, &handed_in, &calls, first, record))
}

/// Whether a message was sent to an endpoint whose cell is not the message's `dest`.
fn judge(
    agent: &Agent,
    handed_in: &BTreeMap<String, (u64, Duration)>,
    calls: &Calls,
    first: std::net::SocketAddr,
    record: &Record,
) -> bool {
    record.add(
        "judge",
        &format!("discovery's list has cell {:?} at {first}", agent.cells_at(first)),
    );
    let cell_of = |name: &str| if matches!(name, "s-e" | "s-e2") { PARTNER } else { OTHER_PARTNER };
    let calls = calls.lock().unwrap();
    let mut foreign = 0;
    for (name, id) in calls.iter() {
        if let Some((dest, _)) = handed_in.get(id).filter(|(dest, _)| cell_of(name) != *dest) {
            foreign += 1;
            record.add(
                "judge",
                &format!(
                    "BROKEN: {id} has dest={dest} and was sent to {name}, whose cell is {}",
                    cell_of(name)
                ),
            );
        }
    }
    for (id, (dest, _)) in handed_in {
        let reached = calls.iter().any(|(name, called)| called == id && cell_of(name) == *dest);
        if !reached && agent.notice(id).is_none() {
            record.add(
                "judge",
                &format!("{id} reached no endpoint of its partner and was not ended by a notice"),
            );
        }
    }
    record.add(
        "judge",
        &format!(
            "{} messages taken on, {foreign} calls to an endpoint of another partner",
            handed_in.len()
        ),
    );
    foreign > 0
}
