//! Discovery moves with a new configuration and SIGHUP; later a new version takes over under load.

use std::thread;
use std::time::{Duration, Instant};

use crate::kit::*;

/// The remaining time of the messages whose end is a notice: shorter than the partner's usual time.
const SHORT: Duration = Duration::from_millis(250);
/// A notice is owed by then: 300 ms after the time has run out, and 50 ms more.
const GRACE: Duration = Duration::from_millis(350);

pub fn play() {
    // A partner of the usual pace: 260 to 440 ms a call.
    let partner = Server::start(|request, stream| {
        note(format!("endpoint: call {}", request.header("X-Txn")));
        thread::sleep(ms(430));
        answer(stream, "200 OK", "", "")
    });
    let entries = vec![Entry::up("s-1", partner.address, "station", 7)];
    let before = Platform::start("platform, first address", 5, entries.clone());
    let after = Platform::start("platform, second address", 5, entries.clone());
    let (listen, operator_1, operator_2) = (free_address(), free_address(), free_address());
    let class = || Class {
        name: "episode-notice",
        effect: "keyed",
        in_order: false,
        aim_ms: 4000,
        deadline_ms: 20_000,
        window_ms: 20_000,
    };
    let path = write_config(&config(
        &Site::SanjoseCentral,
        before.server.address,
        &[class()],
        5,
        &entries,
    ));
    let state = work_folder().join("state");
    if state.as_os_str().len() > 98 {
        give_up("the temporary folder's path is too long for a hand-over: see review/10");
    }
    let mut variables = variables(&path, listen, before.server.address, &state);
    variables.insert("NODE_OPERATOR", operator_1.to_string());
    let mut old = Sender::start("sender-1", "", &variables);
    wait_ready(listen);
    let hand_in = |n: u64| {
        let (id, key) = (hex(n), hex(n + 1000));
        let names = format!(
            "c=episode-notice,t=onda-central,d={},k={key},dest=7",
            SHORT.as_millis()
        );
        let taken = put(listen, "0000000000000000", &id, &names, "body")
            .is_some_and(|answer| answer.starts_with('+'));
        (id, taken, Instant::now())
    };
    let (id, taken, at) = hand_in(1);
    if !taken || poll(SHORT + GRACE + ms(500), || before.notice_of(&id)).is_none() {
        give_up("no notice on a calm day");
    }
    note(format!(
        "notice {} ms after the message was taken on",
        at.elapsed().as_millis()
    ));
    // SIGHUP never comes in the first second.
    thread::sleep(ms(1500));
    // The new configuration names the second address. The first one closes after 1.5 s, and the second one counts after 4 s.
    let path_2 = write_config(&config(
        &Site::SanjoseCentral,
        after.server.address,
        &[class()],
        5,
        &entries,
    ));
    note("a new configuration moves discovery to the second address");
    old.signal("HUP");
    let moved_at = Instant::now();
    wait_for("a watch at the second address", ms(4000), || {
        (after.watches.load(std::sync::atomic::Ordering::SeqCst) > 0).then_some(())
    });
    thread::sleep(ms(1500).saturating_sub(moved_at.elapsed()));
    before.server.close();
    note("the first address is gone");
    thread::sleep(ms(4500).saturating_sub(moved_at.elapsed()));
    let (id, taken, _) = hand_in(2);
    if !taken || poll(SHORT + GRACE + ms(500), || after.notice_of(&id)).is_none() {
        give_up("no notice at the second address after SIGHUP");
    }
    let mut new = None;
    if trouble() {
        // The platform starts `run` again: a new second address, all else the same.
        variables.insert("NODE_OPERATOR", operator_2.to_string());
        assert_eq!(path, path_2);
        let started = Instant::now();
        let mut sender = Sender::start("sender-2", "", &variables);
        loop {
            if operator(operator_2, "GET", "/_ready") == Some(true) {
                break;
            }
            if let Some(code) = sender.ended() {
                give_up(&format!(
                    "the new version ended with {code:?} before it was ready"
                ));
            }
            if started.elapsed() > ms(30_000) {
                give_up("the new version is not ready after 30 s");
            }
            thread::sleep(ms(20));
        }
        note(format!(
            "sender-2: ready {} ms after its start",
            started.elapsed().as_millis()
        ));
        if old.ended().is_none() {
            old.signal("TERM");
            let term_at = Instant::now();
            while term_at.elapsed() < ms(3700) && old.ended().is_none() {
                thread::sleep(ms(5));
            }
            old.kill();
        }
        new = Some(sender);
        thread::sleep(ms(3000));
    }
    let mut messages = Vec::new();
    for n in 10..15 {
        messages.push(hand_in(n));
        thread::sleep(ms(300));
    }
    // Far longer than is owed, so that a late notice is told from none.
    thread::sleep(ms(8000));
    let mut violations = Vec::new();
    for (id, taken, at) in messages {
        if !taken {
            continue;
        }
        let owed_by = at + SHORT + GRACE;
        match after.notice_of(&id) {
            Some(notice) if notice.at <= owed_by => note(format!("{id}: notice in time")),
            Some(notice) => violations.push(format!(
                "{id}: notice {} ms late",
                (notice.at - owed_by).as_millis()
            )),
            None => violations.push(format!(
                "{id}: taken on with +OK, time over, never delivered in time nor ended by a notice"
            )),
        }
    }
    drop(new);
    finish(&violations)
}
