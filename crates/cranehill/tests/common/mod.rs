//! Helpers of the socket tests: configurations, a simulated platform, senders and clients.
#![allow(dead_code)]

pub(crate) mod process;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use cranehill::simulated_server::{Reply, SimulatedServer};
use cranehill_daemon::config::{self, Config};
use cranehill_daemon::http;
use cranehill_daemon::reactor::{Reactor, ReactorOptions, StopHandle};
use socket2::{Domain, Socket, Type};

/// Limit of each wait for an event. Longer than any takes, so that only a failing test reaches it.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(10);

/// The `settings` object of the configuration: one class, one tenant, one zone.
pub(crate) const SETTINGS: &str = r#"{"classes":[{"aim":4000000000,"deadline":20000000000,"dedupScope":"all","effect":"keyed","lateShare":0.4,"name":"episode-notice","window":20000000000,"worth":1.0}],
"familyInfo":{"callsOut":8,"kindApart":[false,false],"losesWorth":"halving","perCall":[5,1]},"membershipMode":"push","models":["bulk-directory","station"],"nInstances":1,
"policyLimits":{"attemptsCap":6,"connIdle":15000000000,"connectTimeout":1500000000,"maxRetryAfter":2000000000,"mostHeld":64,"probes":true,"retryAfter":true},
"rules":{"cold":9100000000,"coldFrom":0.23,"fall":3000000000,"fallMultiple":1.5,"graceToAnswer":20000000},
"tenants":[{"name":"onda-central","quotaRps":10.0}],"tick":5000000,"weightKind":"rough","zone":0,"zones":["sanjose-1"]}"#;

/// A full endpoint list as discovery sends it. Each entry: endpoint id, address, destination, kind.
pub(crate) fn list(version: u64, endpoints: &[(&str, SocketAddr, u64, &str)]) -> String {
    let rows: Vec<String> = endpoints
        .iter()
        .map(|(id, addr, cell, kind)| {
            format!(
                r#"{{"id":"{id}","addr":"{addr}","zone":"sanjose-1","kind":"{kind}","cell":{cell},"state":"up","weight":0.0,"started_ms":0}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"full":true,"servers":[{}]}}"#,
        rows.join(",")
    )
}

/// The text of a configuration file whose initial endpoint list is `known`.
pub(crate) fn config_text(known: &str) -> String {
    format!(
        r#"{{"name":"n0","seed":"1f","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},"known":{known},"settings":{SETTINGS}}}"#
    )
}

/// The parsed configuration of a sender that uses `platform` for discovery and final reports.
pub(crate) fn config(known: &str, platform: SocketAddr) -> Config {
    let var = |name: &str| match name {
        "NODE_LISTEN" => Some("127.0.0.1:0".to_owned()),
        "NODE_DISCOVERY" => Some(platform.to_string()),
        "NODE_STATE" => Some("unused".to_owned()),
        _ => None,
    };
    config::parse(&config_text(known), var).expect("configuration")
}

/// A platform that never answers watches and accepts every final report.
pub(crate) fn platform() -> SimulatedServer {
    SimulatedServer::new(|request, _| match request.method.as_str() {
        "GET" => Reply::Silent,
        _ => Reply::status(204),
    })
    .expect("platform")
}

/// A sender that runs on a thread of the test process; dropping it stops it.
pub(crate) struct RunningSender {
    pub(crate) clients: SocketAddr,
    pub(crate) operator: Option<SocketAddr>,
    stop_handle: StopHandle,
    thread: Option<std::thread::JoinHandle<std::io::Result<()>>>,
}

impl Drop for RunningSender {
    fn drop(&mut self) {
        self.stop_handle.stop();
        // The thread must end before another sender uses the same state folder.
        drop(self.thread.take().map(std::thread::JoinHandle::join));
    }
}

/// Starts a sender with 1024 descriptors and no state folder.
pub(crate) fn start(known: &str, platform: &SimulatedServer) -> RunningSender {
    start_with_sockets(known, platform, 1024)
}

/// Starts a sender that may open `sockets` descriptors.
pub(crate) fn start_with_sockets(
    known: &str,
    platform: &SimulatedServer,
    sockets: usize,
) -> RunningSender {
    start_with(known, platform, |options| options.max_descriptors = sockets)
}

/// A sender that listens but does not run yet. It finds everything that peers send before [`PreparedSender::run`] in its
/// first tick.
pub(crate) struct PreparedSender {
    pub(crate) clients: SocketAddr,
    reactor: Reactor,
}

/// Creates a listening sender; `change` adapts its options.
pub(crate) fn prepare(
    known: &str,
    platform: &SimulatedServer,
    change: impl FnOnce(&mut ReactorOptions),
) -> PreparedSender {
    let config = config(known, platform.address);
    let mut options = ReactorOptions {
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
        read_config: None,
    };
    change(&mut options);
    let reactor = Reactor::new(options).expect("the sender starts");
    PreparedSender {
        clients: reactor.addresses().0.expect("a listening address"),
        reactor,
    }
}

impl PreparedSender {
    pub(crate) fn run(self) -> RunningSender {
        let PreparedSender {
            clients,
            mut reactor,
        } = self;
        let operator = reactor.operator_address();
        let stop_handle = reactor.stop_handle().expect("stop handle");
        let thread = Some(std::thread::spawn(move || reactor.run(Vec::new)));
        RunningSender {
            clients,
            operator,
            stop_handle,
            thread,
        }
    }
}

/// Starts a sender; `change` adapts its options.
pub(crate) fn start_with(
    known: &str,
    platform: &SimulatedServer,
    change: impl FnOnce(&mut ReactorOptions),
) -> RunningSender {
    prepare(known, platform, change).run()
}

/// A client of a tenant that submits messages over one connection.
pub(crate) struct Client(TcpStream);

impl Client {
    pub(crate) fn new(to: SocketAddr) -> Client {
        let stream = TcpStream::connect(to).expect("connect");
        stream
            .set_read_timeout(Some(TIMEOUT))
            .expect("read timeout set");
        Client(stream)
    }

    /// A second handle of the connection, for writing on another thread.
    pub(crate) fn writer(&self) -> TcpStream {
        self.0.try_clone().expect("a cloned handle")
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("write");
    }

    /// One line of an answer. If the connection ends or fails first: the bytes until then and `<end>` or the kind of error.
    pub(crate) fn line(&mut self) -> String {
        let (mut line, mut byte) = (Vec::new(), [0u8; 1]);
        while !line.ends_with(b"\r\n") {
            match self.0.read(&mut byte) {
                Ok(1) => line.push(byte[0]),
                Ok(_) => return format!("{}<end>", String::from_utf8_lossy(&line)),
                Err(e) => return format!("{}<{:?}>", String::from_utf8_lossy(&line), e.kind()),
            }
        }
        String::from_utf8_lossy(&line).trim_end().to_owned()
    }

    /// Submits one message and returns the answer line. `metadata`: the comma-separated `name=value` pairs of `MSG.PUT`.
    pub(crate) fn put(&mut self, id: &str, metadata: &str, body: &[u8]) -> String {
        self.send(&put(id, metadata, body));
        self.line()
    }
}

/// A `MSG.PUT` request in RESP, without an ordering key (all zeros).
pub(crate) fn put(id: &str, metadata: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = b"*5\r\n".to_vec();
    for argument in [
        b"MSG.PUT" as &[u8],
        b"0000000000000000",
        id.as_bytes(),
        metadata.as_bytes(),
        body,
    ] {
        bytes.extend_from_slice(format!("${}\r\n", argument.len()).as_bytes());
        bytes.extend_from_slice(argument);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// A request as a transcript shows it, with `#` for values that differ from run to run.
pub(crate) fn transcript_entry(request: &http::Request) -> String {
    let mut text = format!("{} {}\n", request.method, request.path);
    for (name, value) in &request.headers {
        let value = String::from_utf8_lossy(value);
        let value = match name.as_str() {
            "Host" => "#".into(),
            "X-Remaining" => format!(
                "#{}",
                value.trim_start_matches(|c: char| c.is_ascii_digit())
            ),
            _ => value.into_owned(),
        };
        text.push_str(&format!("{name}: {value}\n"));
    }
    format!("{text}\n{}\n", String::from_utf8_lossy(&request.body))
}

/// A listener with a full accept queue, and the connections that fill it. Further connections are not established until
/// it accepts.
pub(crate) fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("bound");
    socket.listen(0).expect("listening");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("an address");
    let short = Duration::from_millis(100);
    let queued_connections =
        std::iter::from_fn(|| TcpStream::connect_timeout(&address, short).ok())
            .take(64)
            .collect();
    (listener, queued_connections)
}

/// The bodies of the final reports that the platform has received.
pub(crate) fn reports(platform: &SimulatedServer) -> Vec<String> {
    let posts = platform
        .seen()
        .into_iter()
        .filter(|s| s.request.method == "POST");
    posts
        .map(|s| String::from_utf8_lossy(&s.request.body).into_owned())
        .collect()
}

/// Waits until `condition` returns true; panics with `what` after [`TIMEOUT`].
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Waits until the flag is set.
pub(crate) fn wait_for(flag: &AtomicBool) {
    while !flag.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A platform that answers the watch from version 1 with the list `to` once the returned flag is set.
pub(crate) fn updating_platform(to: String) -> (SimulatedServer, Arc<AtomicBool>) {
    let published = Arc::new(AtomicBool::new(false));
    let publish = published.clone();
    let platform = SimulatedServer::new(move |request, _| match request.path.as_str() {
        "/v1/notices" => Reply::status(204),
        path if path.contains("from=1&") => {
            wait_for(&published);
            Reply::Bytes(cranehill_daemon::http::write_response(200, "OK", &[], &to))
        }
        _ => Reply::Silent,
    });
    (platform.expect("platform"), publish)
}

/// A destination that does not answer until the returned flag is set.
pub(crate) fn silent_destination() -> (SimulatedServer, Arc<AtomicBool>) {
    let open = Arc::new(AtomicBool::new(false));
    let is_open = open.clone();
    let answer = move |_: &_, _| {
        if is_open.load(Ordering::Relaxed) {
            Reply::status(200)
        } else {
            Reply::Silent
        }
    };
    (
        SimulatedServer::new(answer).expect("destination server"),
        open,
    )
}
