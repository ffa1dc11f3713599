//! A new version under load, where the path of the folder that lasts is long.

use std::thread;
use std::time::Instant;

use crate::kit::*;

/// Longest time to be ready.
const READY_WITHIN: std::time::Duration = std::time::Duration::from_secs(30);

pub fn play() {
    let partner = Server::start(|_, stream| {
        thread::sleep(ms(100));
        answer(stream, "200 OK", "", "")
    });
    let entries = vec![Entry::up("s-1", partner.address, "station", 7)];
    let platform = Platform::start("platform", 1, entries.clone());
    let (listen, operator_1, operator_2) = (free_address(), free_address(), free_address());
    let class = Class {
        name: "episode-notice",
        effect: "keyed",
        in_order: false,
        aim_ms: 4000,
        deadline_ms: 20_000,
        window_ms: 20_000,
    };
    let path = write_config(&config(
        &Site::SanjoseCentral,
        platform.server.address,
        &[class],
        1,
        &entries,
    ));
    let folder = work_folder().join("radio-onda-tica-franquicias/deployments/sanjose-central/senders/n0/generation-0001/volumes/state");
    note(format!(
        "the folder's path has {} bytes",
        folder.as_os_str().len()
    ));
    let mut variables = variables(&path, listen, platform.server.address, &folder);
    variables.insert("NODE_OPERATOR", operator_1.to_string());
    let mut old = Sender::start("sender-1", "", &variables);
    wait_ready(listen);
    let mut violations = Vec::new();
    if trouble() {
        variables.insert("NODE_OPERATOR", operator_2.to_string());
        let started = Instant::now();
        let mut new = Sender::start("sender-2", "", &variables);
        loop {
            if operator(operator_2, "GET", "/_ready") == Some(true) {
                note(format!(
                    "sender-2: yes after {} ms",
                    started.elapsed().as_millis()
                ));
                break;
            }
            if let Some(code) = new.ended() {
                violations.push(format!(
                    "the new version ended with {code:?} {} ms after its start, never ready",
                    started.elapsed().as_millis()
                ));
                break;
            }
            if started.elapsed() > READY_WITHIN {
                violations.push("the new version is not ready after 30 s".to_owned());
                break;
            }
            thread::sleep(ms(20));
        }
    }
    let names = format!(
        "c=episode-notice,t=onda-central,d=20000,k={},dest=7",
        hex(2)
    );
    put(listen, "0000000000000000", &hex(1), &names, "body");
    let _ = old.ended();
    finish(&violations)
}
