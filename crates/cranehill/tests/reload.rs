//! SIGHUP: the directory and the final reports move to where the configuration says now.

mod common;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use common::{Client, SOON, config, config_text, list, reports, soon};
use cranehill::simulated_server::{Reply, SimulatedServer};
use cranehill_daemon::config;
use cranehill_daemon::reactor::{ControlCommand, Reactor, ReactorOptions};

type Answers = Arc<Mutex<VecDeque<Result<SocketAddr, String>>>>;

/// A platform that tells this whole list when asked for it, and holds every watch.
fn listing(whole: String) -> SimulatedServer {
    SimulatedServer::new(
        move |request, _| match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/endpoints") => Reply::Bytes(cranehill_daemon::http::write_response(
                200,
                "OK",
                &[],
                &whole,
            )),
            ("GET", _) => Reply::Silent,
            _ => Reply::status(204),
        },
    )
    .expect("platform")
}

/// A sender whose configuration, read again, says this; and how to tell it to read.
fn start_with(
    known: &str,
    platform: &SimulatedServer,
    description: Answers,
) -> (SocketAddr, Arc<AtomicBool>) {
    let config = config(known, platform.address);
    let mut reactor = Reactor::new(ReactorOptions {
        platform_settings: config.platform_settings,
        seed: config.seed,
        state: None,
        listen: Some(config.listen),
        discovery: Some(config.discovery),
        known_version: config.known_version,
        known: config.known,
        fleet: None,
        operator: None,
        push: None,
        sockets: 1024,
        memory: 192_000_000,
        read_config: Some(Box::new(move || {
            let mut description = description.lock().expect("answers");
            description
                .pop_front()
                .unwrap_or(Err("no configuration".into()))
                .map_err(Into::into)
        })),
    })
    .expect("the sender starts");
    let clients = reactor.addresses().0.expect("it listens");
    let asked = Arc::new(AtomicBool::new(false));
    let ask = asked.clone();
    std::thread::spawn(move || {
        reactor.run(|| {
            if ask.swap(false, Ordering::Relaxed) {
                vec![ControlCommand::Reload]
            } else {
                Vec::new()
            }
        })
    });
    (clients, asked)
}

#[test]
fn reload_switches_discovery_and_resends_unacknowledged_reports() {
    let destination = SimulatedServer::new(|_, _| Reply::status(400)).expect("partner");
    let other = SimulatedServer::new(|_, _| Reply::status(200)).expect("partner");
    // The first platform takes no report: it must go to the second.
    let first = SimulatedServer::new(|_, _| Reply::Silent).expect("platform");
    let second = listing(list(3, &[("b", other.address, 7, "station")]));
    let third = listing(list(2, &[("a", destination.address, 7, "station")]));
    let description = Answers::default();
    let known = list(50, &[("a", destination.address, 7, "station")]);
    let (clients, ask) = start_with(&known, &first, description.clone());
    let mut client = Client::new(clients);
    let names = "c=episode-notice,d=20000,k=aa,dest=7";
    assert_eq!(client.put("m1", names, b"x"), "+OK");
    assert!(
        first.wait_for(2, SOON),
        "the watch, and the report of what the partner rejects"
    );
    let reload = |answers: Vec<Result<SocketAddr, String>>, client: &mut Client| {
        description.lock().expect("answers").extend(answers);
        ask.store(true, Ordering::Relaxed);
        // Wakes it, as the signal does.
        client.send(b"*1\r\n$4\r\nPING\r\n");
        assert_eq!(client.line(), "+PONG");
    };
    // The file is found half written at first.
    reload(
        vec![Err("half a file".into()), Ok(second.address)],
        &mut client,
    );
    soon("the report goes to the new platform", || {
        reports(&second).iter().any(|r| r.contains("m1"))
    });
    soon("a watch from the new list's version", || {
        second
            .seen()
            .iter()
            .any(|s| s.request.path.contains("from=3"))
    });
    assert_eq!(client.put("m2", names, b"y"), "+OK");
    soon("the new list holds", || other.seen().len() == 1);
    reload(vec![Ok(third.address)], &mut client);
    soon("a second reload holds too", || {
        third
            .seen()
            .iter()
            .any(|s| s.request.path.contains("from=2"))
    });
    assert_eq!(client.put("m3", names, b"z"), "+OK");
    soon("by the third platform's list", || {
        reports(&third).iter().any(|r| r.contains("m3"))
    });
    // A bad file changes nothing.
    reload(vec![Err("not JSON".into())], &mut client);
    assert_eq!(client.put("m4", names, b"z"), "+OK");
    soon("the old one is kept", || {
        reports(&third).iter().any(|r| r.contains("m4"))
    });
}

#[test]
fn reload_prefers_the_file_over_the_variable() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("config.json");
    let var = |name: &str| match name {
        "NODE_CONFIG" => Some(path.display().to_string()),
        "NODE_LISTEN" => Some("127.0.0.1:0".to_owned()),
        "NODE_DISCOVERY" => Some("127.0.0.1:1".to_owned()),
        "NODE_STATE" => Some("unused".to_owned()),
        _ => None,
    };
    let text = config_text(&list(1, &[])).replacen('{', r#"{"discovery":"127.0.0.1:2","#, 1);
    std::fs::write(&path, &text).expect("written");
    assert_eq!(
        config::load(var).expect("configuration").discovery.port(),
        1
    );
    assert_eq!(
        config::current_discovery_address(var)
            .expect("configuration")
            .port(),
        2
    );
    std::fs::write(&path, &text[..text.len() - 2]).expect("written");
    assert!(
        config::current_discovery_address(var).is_err(),
        "half a file names nothing"
    );
}
