//! Reload on SIGHUP: discovery and final reports move to the address in the changed configuration.

mod common;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use common::{Client, TIMEOUT, config, config_text, list, reports, wait_until};
use cranehill::simulated_server::{Reply, SimulatedServer};
use cranehill_daemon::config;
use cranehill_daemon::reactor::{ControlCommand, Reactor, ReactorOptions};

/// The results of the next reads of the configuration.
type ConfigResults = Arc<Mutex<VecDeque<Result<SocketAddr, String>>>>;

/// A platform that answers a request for the full list with `full_list` and leaves every watch unanswered.
fn platform_with_list(full_list: String) -> SimulatedServer {
    SimulatedServer::new(
        move |request, _| match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/endpoints") => Reply::Bytes(cranehill_daemon::http::write_response(
                200,
                "OK",
                &[],
                &full_list,
            )),
            ("GET", _) => Reply::Silent,
            _ => Reply::status(204),
        },
    )
    .expect("platform")
}

/// Starts a sender whose reloads read the queued results. Returns its address and a flag that triggers a reload.
fn start_reloadable(
    known: &str,
    platform: &SimulatedServer,
    config_results: ConfigResults,
) -> (SocketAddr, Arc<AtomicBool>) {
    let config = config(known, platform.address);
    let mut reactor = Reactor::new(ReactorOptions {
        platform_settings: config.platform_settings,
        seed: config.seed,
        state: None,
        listen: Some(config.listen),
        discovery: Some(config.discovery),
        known_version: config.known_version,
        initial_endpoints: config.known,
        fleet: None,
        operator: None,
        web_push: None,
        max_descriptors: 1024,
        memory_bytes: 192_000_000,
        read_config: Some(Box::new(move || {
            let mut config_results = config_results.lock().expect("configuration results lock");
            config_results
                .pop_front()
                .unwrap_or(Err("no configuration".into()))
                .map_err(Into::into)
        })),
    })
    .expect("the sender starts");
    let clients = reactor.addresses().0.expect("a listening address");
    let reload_requested = Arc::new(AtomicBool::new(false));
    let reload_flag = reload_requested.clone();
    std::thread::spawn(move || {
        reactor.run(|| {
            if reload_flag.swap(false, Ordering::Relaxed) {
                vec![ControlCommand::Reload]
            } else {
                Vec::new()
            }
        })
    });
    (clients, reload_requested)
}

#[test]
fn reload_switches_discovery_and_resends_unacknowledged_reports() {
    let destination = SimulatedServer::new(|_, _| Reply::status(400)).expect("destination server");
    let other = SimulatedServer::new(|_, _| Reply::status(200)).expect("destination server");
    // The first platform acknowledges no report, so it must be resent to the second.
    let first = SimulatedServer::new(|_, _| Reply::Silent).expect("platform");
    let second = platform_with_list(list(3, &[("b", other.address, 7, "station")]));
    let third = platform_with_list(list(2, &[("a", destination.address, 7, "station")]));
    let config_results = ConfigResults::default();
    let known = list(50, &[("a", destination.address, 7, "station")]);
    let (clients, reload_flag) = start_reloadable(&known, &first, config_results.clone());
    let mut client = Client::new(clients);
    let names = "c=episode-notice,d=20000,k=aa,dest=7";
    assert_eq!(client.put("m1", names, b"x"), "+OK");
    assert!(
        first.wait_for(2, TIMEOUT),
        "the watch and the report of the message that the destination rejects"
    );
    let reload = |results: Vec<Result<SocketAddr, String>>, client: &mut Client| {
        config_results
            .lock()
            .expect("configuration results lock")
            .extend(results);
        reload_flag.store(true, Ordering::Relaxed);
        // Wakes the event loop, as the signal does.
        client.send(b"*1\r\n$4\r\nPING\r\n");
        assert_eq!(client.line(), "+PONG");
    };
    // The first read finds an incomplete file.
    reload(
        vec![Err("half a file".into()), Ok(second.address)],
        &mut client,
    );
    wait_until("the report goes to the new platform", || {
        reports(&second).iter().any(|r| r.contains("m1"))
    });
    wait_until("a watch from the new list's version", || {
        second
            .seen()
            .iter()
            .any(|s| s.request.path.contains("from=3"))
    });
    assert_eq!(client.put("m2", names, b"y"), "+OK");
    wait_until("the new list is applied", || other.seen().len() == 1);
    reload(vec![Ok(third.address)], &mut client);
    wait_until("a second reload is applied too", || {
        third
            .seen()
            .iter()
            .any(|s| s.request.path.contains("from=2"))
    });
    assert_eq!(client.put("m3", names, b"z"), "+OK");
    wait_until("the report goes to the third platform", || {
        reports(&third).iter().any(|r| r.contains("m3"))
    });
    // An invalid file changes nothing.
    reload(vec![Err("not JSON".into())], &mut client);
    assert_eq!(client.put("m4", names, b"z"), "+OK");
    wait_until("the old platform is kept", || {
        reports(&third).iter().any(|r| r.contains("m4"))
    });
}

#[test]
fn reload_prefers_the_file_over_the_variable() {
    let folder = tempfile::tempdir().expect("temporary folder created");
    let path = folder.path().join("config.json");
    let var = |name: &str| match name {
        "NODE_CONFIG" => Some(path.display().to_string()),
        "NODE_LISTEN" => Some("127.0.0.1:0".to_owned()),
        "NODE_DISCOVERY" => Some("127.0.0.1:1".to_owned()),
        "NODE_STATE" => Some("unused".to_owned()),
        _ => None,
    };
    let text = config_text(&list(1, &[])).replacen('{', r#"{"discovery":"127.0.0.1:2","#, 1);
    std::fs::write(&path, &text).expect("file written");
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
    std::fs::write(&path, &text[..text.len() - 2]).expect("file written");
    assert!(
        config::current_discovery_address(var).is_err(),
        "an incomplete file gives no address"
    );
}
